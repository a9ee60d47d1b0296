#ifndef FILBERTVANE_CORE_TIME_H
#define FILBERTVANE_CORE_TIME_H

#include <chrono>

namespace filbertvane::core {

/// @brief Clock of decisions: monotonic, local to one process.
///
/// It has no `now()`: the event loop, or a test's fake clock, supplies the
/// time with each event.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // Name fixed by the standard clock requirements.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// Instant on the local monotonic clock; never crosses a host.
using TimePoint = MonotonicClock::time_point;

/// Instant of calendar time; crosses hosts and is subject to clock skew.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// @brief Both clocks, read together at the arrival of an event.
struct Instant {
  TimePoint Mono;
  WallTime Wall;

  friend auto operator<=>(const Instant &, const Instant &) = default;
};

/// @brief Converts a calendar time into a local deadline.
/// @param Wall instant from another host
/// @param Now both local clocks
/// @return the same instant on the local monotonic clock, wrong by the skew
///         between the hosts
inline TimePoint toMonotonic(WallTime Wall, Instant Now) {
  return Now.Mono + (Wall - Now.Wall);
}

/// @brief Converts a local deadline into a calendar time for other hosts.
inline WallTime toWall(TimePoint Mono, Instant Now) {
  return Now.Wall + std::chrono::duration_cast<Milliseconds>(Mono - Now.Mono);
}

} // namespace filbertvane::core

#endif // FILBERTVANE_CORE_TIME_H
