#ifndef FILBERTVANE_DECISION_REQUEST_EJECTION_H
#define FILBERTVANE_DECISION_REQUEST_EJECTION_H

#include "filbertvane/decision/request/TargetTable.h"

namespace filbertvane::decision::request {

/// Consecutive faults after which a target is ejected.
inline constexpr std::uint32_t ConsecutiveFaultLimit = 5;
/// Duration of the first ejection; it doubles with each further one.
inline constexpr core::Seconds BaseEjectionTime{5};
inline constexpr core::Seconds MaxEjectionTime{80};

/// @brief Records how an attempt at a target ended.
/// @param Latency time to the first byte, or to the failure
/// @return true when the target reached `ConsecutiveFaultLimit`
bool recordAttempt(TargetHealth &Health, bool Fault,
                   core::Microseconds Latency);

/// @brief Records a refusal, which raises the cost of the target.
///
/// A target that refuses immediately has few outstanding requests and would
/// otherwise attract more.
void recordRefusal(TargetHealth &Health);

/// @brief Finds members of a group that are outliers by faults or by latency.
/// Complexity: n log n in the members.
std::vector<TargetIndex> findOutliers(std::span<const TargetIndex> Members,
                                      std::span<const Target> Targets);

/// @brief Ejects a target unless more than half of its group would be ejected.
/// @param Members the whole group, including ejected members
/// @return whether it was ejected
bool eject(TargetTable &Targets, std::span<const TargetIndex> Members,
           TargetIndex Index, core::TimePoint Now);

/// @brief Ends ejections, those that expire first before others, until at most
///        half of a group is ejected; needed when members leave the group.
void limitEjections(TargetTable &Targets, std::span<const TargetIndex> Members,
                    core::TimePoint Now);

/// @brief Re-admits members whose ejection expired and restarts their warm-up.
/// @return the members re-admitted
std::vector<TargetIndex> readmit(TargetTable &Targets,
                                 std::span<const TargetIndex> Members,
                                 core::TimePoint Now);

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_EJECTION_H
