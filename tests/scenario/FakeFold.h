#ifndef FILBERTVANE_TESTS_SCENARIO_FAKEFOLD_H
#define FILBERTVANE_TESTS_SCENARIO_FAKEFOLD_H

#include "filbertvane/decision/distribution/Fold.h"

namespace filbertvane::scenario {

/// @brief Simplified records and fold of the configuration for tests.
///
/// A record is text: `<writer> <sequence> <kind> <argument> ...`.
struct FakeFold {
  static decision::distribution::FoldedRecord apply(config::FleetState State,
                                                    core::LogOffset Offset,
                                                    const std::string &Bytes);
  static core::Digest digestOf(const config::FleetState &State);
  static std::string encode(const config::FleetState &State);
  static core::Result<config::FleetState> decode(const std::string &Bytes);
  static std::optional<std::string> reduced(const std::string &Bytes);
};

/// @name Encoded records
/// @{
std::string sheetRecord(std::uint64_t Sequence, std::uint64_t Base);
std::string claimRecord(const std::string &Writer, std::uint64_t Sequence,
                        const std::string &Holder, std::uint64_t Epoch);
std::string stepRecord(std::uint64_t Sequence, std::uint64_t Epoch);
std::string snapshotRecord(std::uint64_t Sequence,
                           const config::FleetState &State);
/// @}

} // namespace filbertvane::scenario

#endif // FILBERTVANE_TESTS_SCENARIO_FAKEFOLD_H
