#ifndef FILBERTVANE_DECISION_REQUEST_EJECTION_H
#define FILBERTVANE_DECISION_REQUEST_EJECTION_H

#include "filbertvane/decision/request/TargetTable.h"

namespace filbertvane::decision::request {

/// Faults in a row after which a target is ejected.
inline constexpr std::uint32_t ConsecutiveFaultLimit = 5;
/// First ejection; it doubles with each further one.
inline constexpr core::Seconds BaseEjectionTime{5};
inline constexpr core::Seconds MaxEjectionTime{80};

/// @brief Records how an attempt at a target ended.
/// @param Latency time to the first byte, or to the failure
/// @return true when the target should be considered for ejection at once
bool recordAttempt(TargetHealth &Seen, bool Fault, core::Microseconds Latency);

/// @brief Records a refusal; refusals raise the cost of a target, because one
///        that refuses at once always has few outstanding requests.
void recordRefusal(TargetHealth &Seen);

/// @brief Members of a group that are outliers by faults or by latency.
/// Complexity: n log n in the members.
std::vector<TargetIndex> findOutliers(std::span<const TargetIndex> Members,
                                      std::span<const Target> Targets);

/// @brief Ejects a target unless half of its group is ejected already.
/// @param Members the group, ejected members included
/// @return whether it was ejected
bool eject(TargetTable &Targets, std::span<const TargetIndex> Members,
           TargetIndex At, core::TimePoint Now);

/// @brief Ends ejections, the earliest first, until at most half of a group is
///        ejected: other members may have left since.
void limitEjections(TargetTable &Targets, std::span<const TargetIndex> Members,
                    core::TimePoint Now);

/// @brief Re-admits members whose ejection is over; they warm up again.
/// @return the members re-admitted
std::vector<TargetIndex> readmit(TargetTable &Targets,
                                 std::span<const TargetIndex> Members,
                                 core::TimePoint Now);

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_EJECTION_H
