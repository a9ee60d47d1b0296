#ifndef FILBERTVANE_CORE_TIME_H
#define FILBERTVANE_CORE_TIME_H

#include <chrono>

namespace filbertvane::core {

/// @brief Monotonic clock, local to one process.
///
/// Has no `now()`: the event loop or a test's fake clock passes the time with
/// each event.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // Name fixed by the standard clock requirements.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// Time on the local monotonic clock; has no meaning on other hosts.
using TimePoint = MonotonicClock::time_point;

/// Calendar time; may be sent to other hosts and is subject to clock skew.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// @brief Readings of both clocks, taken together when an event arrives.
struct Instant {
  TimePoint Mono;
  WallTime Wall;

  friend auto operator<=>(const Instant &, const Instant &) = default;
};

/// @brief Converts a calendar time into a local deadline.
/// @param Wall time from another host
/// @return the same time on the local monotonic clock, with an error equal to
///         the clock skew between the hosts
inline TimePoint toMonotonic(WallTime Wall, Instant Now) {
  return Now.Mono + (Wall - Now.Wall);
}

/// @brief Converts a local deadline into a calendar time for other hosts.
inline WallTime toWall(TimePoint Mono, Instant Now) {
  return Now.Wall + std::chrono::duration_cast<Milliseconds>(Mono - Now.Mono);
}

} // namespace filbertvane::core

#endif // FILBERTVANE_CORE_TIME_H
