#ifndef FILBERTVANE_DECISION_DISTRIBUTION_FOLD_H
#define FILBERTVANE_DECISION_DISTRIBUTION_FOLD_H

#include "filbertvane/config/FleetState.h"
#include <concepts>

namespace filbertvane::decision::distribution {

/// @brief Result of applying one encoded record to a state.
struct FoldedRecord {
  config::FleetState State;
  /// None when the bytes could not be decoded; such a record has no effect.
  std::optional<config::LogRecord> Record;
  config::RecordOutcome Outcome;
};

/// @brief Type that applies encoded records to a state, so that distribution
///        does not depend on the content of records.
template <typename F>
concept RecordFold = requires(config::FleetState State, core::LogOffset Offset,
                              const std::string &Bytes,
                              const config::SnapshotTaken &Snapshot) {
  /// Applies one record and sets `State.NextOffset` to `Offset` plus 1, also
  /// for bytes that cannot be decoded.
  { F::apply(State, Offset, Bytes) } -> std::same_as<FoldedRecord>;
  { F::digestOf(State) } -> std::same_as<core::Digest>;
  { F::encode(State) } -> std::same_as<std::string>;
  { F::decode(Bytes) } -> std::same_as<core::Result<config::FleetState>>;
  /// Returns a smaller record that may have the same effect, for example a
  /// snapshot without its state; the caller compares the digests.
  { F::reduced(Bytes) } -> std::same_as<std::optional<std::string>>;
};

/// @brief Function table of a type that models `RecordFold`.
struct Fold {
  FoldedRecord (*Apply)(config::FleetState State, core::LogOffset Offset,
                        const std::string &Bytes) = nullptr;
  core::Digest (*DigestOf)(const config::FleetState &State) = nullptr;
  std::string (*Encode)(const config::FleetState &State) = nullptr;
  core::Result<config::FleetState> (*Decode)(const std::string &Bytes) =
      nullptr;
  std::optional<std::string> (*Reduced)(const std::string &Bytes) = nullptr;
};

/// @brief Returns the function table of `F`.
template <RecordFold F> constexpr Fold foldOf() {
  return {&F::apply, &F::digestOf, &F::encode, &F::decode, &F::reduced};
}

} // namespace filbertvane::decision::distribution

#endif // FILBERTVANE_DECISION_DISTRIBUTION_FOLD_H
