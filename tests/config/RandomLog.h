#ifndef FILBERTVANE_TESTS_CONFIG_RANDOMLOG_H
#define FILBERTVANE_TESTS_CONFIG_RANDOMLOG_H

#include "filbertvane/config/FleetState.h"
#include "filbertvane/core/Random.h"

namespace filbertvane::tests {

/// Publication time of the sheets in tests.
inline constexpr core::WallTime PublishTime{core::Milliseconds(1796378400000)};
inline constexpr core::WallTime LaterTime = PublishTime + std::chrono::hours(1);

/// @brief Seeded generator of log records, most of them valid for a given
///        state.
class RandomLog {
public:
  explicit RandomLog(std::uint64_t Seed) : Generator(Seed) {}

  config::LogRecord record(const config::FleetState &State);
  config::Sheet sheet(const config::FleetState &State);
  std::string bytes(std::size_t MaxLength);
  bool oneIn(std::uint64_t Count) { return Generator.below(Count) == 0; }
  std::uint64_t below(std::uint64_t Bound) { return Generator.below(Bound); }

private:
  config::RecordBody body(const config::FleetState &State);
  config::ServiceSpec service(const config::FleetState &State,
                              const std::string &Name);
  config::MoveId move(const config::FleetState &State);
  config::MoveDecision moveDecision();
  core::Epoch epoch(const config::FleetState &State);

  core::Random Generator;
};

} // namespace filbertvane::tests

#endif // FILBERTVANE_TESTS_CONFIG_RANDOMLOG_H
