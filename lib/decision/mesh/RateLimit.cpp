#include "filbertvane/decision/mesh/RateLimit.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Tokens that accumulate while no request starts, as a time at the limit. It
/// spans two ticks of the process, at which waiting requests start.
constexpr double BurstSeconds = 0.1;
/// Requests start at least this often, in requests per second: only an answer
/// tells that a limit was raised or withdrawn.
constexpr double MinimumPerSecond = 0.25;

} // namespace

double RateLimit::capacity() const {
  return std::max(1.0, *PerSecond * BurstSeconds);
}

double RateLimit::tokensAt(core::TimePoint Now) const {
  const double Seconds = std::chrono::duration<double>(Now - CountedAt).count();
  return std::min(capacity(), Tokens + *PerSecond * Seconds);
}

void RateLimit::set(std::optional<double> NewPerSecond, core::TimePoint Now) {
  if (!NewPerSecond) {
    PerSecond.reset();
    return;
  }
  const double Rate = std::max(*NewPerSecond, MinimumPerSecond);
  if (PerSecond == Rate)
    return;
  // Before the target stated a limit, requests started at a higher rate.
  Tokens = PerSecond ? tokensAt(Now) : 0;
  CountedAt = Now;
  PerSecond = Rate;
  Tokens = std::min(Tokens, capacity());
}

bool RateLimit::admits(core::TimePoint Now) const {
  return !PerSecond || tokensAt(Now) >= 1;
}

void RateLimit::take(core::TimePoint Now) {
  if (!PerSecond)
    return;
  Tokens = tokensAt(Now) - 1;
  CountedAt = Now;
}

core::Microseconds RateLimit::interval() const {
  if (!PerSecond)
    return core::Microseconds(0);
  return core::Microseconds(static_cast<std::int64_t>(1e6 / *PerSecond));
}

} // namespace filbertvane::decision::mesh
