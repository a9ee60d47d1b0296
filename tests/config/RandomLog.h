#ifndef FILBERTVANE_TESTS_CONFIG_RANDOMLOG_H
#define FILBERTVANE_TESTS_CONFIG_RANDOMLOG_H

#include "filbertvane/config/FleetState.h"
#include "filbertvane/core/Random.h"

namespace filbertvane::tests {

/// Fixed time at which the sheets of the tests are published.
inline constexpr core::WallTime PublishTime{core::Milliseconds(1796378400000)};
inline constexpr core::WallTime LaterTime = PublishTime + std::chrono::hours(1);

/// @brief Seeded source of log records, most of them valid in a given state.
class RandomLog {
public:
  explicit RandomLog(std::uint64_t Seed) : Dice(Seed) {}

  config::LogRecord record(const config::FleetState &State);
  config::Sheet sheet(const config::FleetState &State);
  std::string bytes(std::size_t MaxLength);
  bool oneIn(std::uint64_t Count) { return Dice.below(Count) == 0; }
  std::uint64_t below(std::uint64_t Bound) { return Dice.below(Bound); }

private:
  config::RecordBody body(const config::FleetState &State);
  config::ServiceSpec service(const config::FleetState &State,
                              const std::string &Name);
  config::MoveId move(const config::FleetState &State);
  config::MoveDecision verdict();
  core::Epoch epoch(const config::FleetState &State);

  core::Random Dice;
};

} // namespace filbertvane::tests

#endif // FILBERTVANE_TESTS_CONFIG_RANDOMLOG_H
