#ifndef FILBERTVANE_DECISION_TARGETLOAD_H
#define FILBERTVANE_DECISION_TARGETLOAD_H

#include "filbertvane/core/Time.h"
#include <compare>
#include <cstdint>

namespace filbertvane::decision {

/// @brief Load and response times of a target.
struct TargetLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// Mean response time of recent requests.
  core::Milliseconds MeanResponseTime{0};
  /// Mean response time on the route of the request whose answer carries the
  /// load; 0 in reports, which belong to no request.
  core::Milliseconds RouteResponseTime{0};
  /// Time that a large request or answer waits for the link of the host.
  core::Milliseconds LinkQueueTime{0};

  friend auto operator<=>(const TargetLoad &, const TargetLoad &) = default;
};

} // namespace filbertvane::decision

#endif // FILBERTVANE_DECISION_TARGETLOAD_H
