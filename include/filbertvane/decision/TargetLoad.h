#ifndef FILBERTVANE_DECISION_TARGETLOAD_H
#define FILBERTVANE_DECISION_TARGETLOAD_H

#include "filbertvane/core/Time.h"
#include <compare>
#include <cstdint>

namespace filbertvane::decision {

/// @brief Requests at a target and the time that its answers take.
struct TargetLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// Mean time of recent answers.
  core::Milliseconds MeanResponseTime{0};
  /// The same on the route of the request that the load is told with; 0 in
  /// reports, which concern no request.
  core::Milliseconds RouteResponseTime{0};
  /// Time that the large answers now queued take on the host's link.
  core::Milliseconds LinkQueueTime{0};

  friend auto operator<=>(const TargetLoad &, const TargetLoad &) = default;
};

} // namespace filbertvane::decision

#endif // FILBERTVANE_DECISION_TARGETLOAD_H
