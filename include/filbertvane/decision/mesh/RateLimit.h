#ifndef FILBERTVANE_DECISION_MESH_RATELIMIT_H
#define FILBERTVANE_DECISION_MESH_RATELIMIT_H

#include "filbertvane/core/Time.h"
#include <optional>

namespace filbertvane::decision::mesh {

/// @brief Rate of requests that the local target accepts from all callers
///        together, as a token bucket.
///
/// The target can be reached from its own host only. One bucket there keeps the
/// rate of all entry nodes together, however many send requests.
class RateLimit {
public:
  /// @brief Applies what the last answer of the target states.
  /// @param NewPerSecond none when the target states no limit
  void set(std::optional<double> NewPerSecond, core::TimePoint Now);
  /// @brief Whether a request may start now.
  bool admits(core::TimePoint Now) const;
  /// @brief Counts a request that starts.
  void take(core::TimePoint Now);

  /// @brief Limit in requests per second; none while the target states none.
  std::optional<double> perSecond() const { return PerSecond; }
  /// @brief Time between two requests at the limit; 0 without a limit.
  core::Microseconds interval() const;

private:
  double capacity() const;
  double tokensAt(core::TimePoint Now) const;

  std::optional<double> PerSecond;
  double Tokens = 0;
  core::TimePoint CountedAt;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_RATELIMIT_H
