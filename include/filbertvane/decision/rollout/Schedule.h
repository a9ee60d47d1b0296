#ifndef FILBERTVANE_DECISION_ROLLOUT_SCHEDULE_H
#define FILBERTVANE_DECISION_ROLLOUT_SCHEDULE_H

#include "filbertvane/config/FleetState.h"
#include "filbertvane/decision/rollout/Evidence.h"

namespace filbertvane::decision::rollout {

/// @name Parameters of the schedule
/// @{

/// Share during the warm-up. Latencies are not evaluated then, so that the
/// share must be small in case the version is slow; 5 of 1000 requests still
/// warm up the targets.
inline constexpr config::Permille WarmUpShare = 5;

/// Share until there is enough evidence. It is below the 5% that a bad version
/// may get, so that requests in flight at the end of a short move do not exceed
/// that limit.
inline constexpr config::Permille CanaryShare = 40;

/// Intermediate shares of a move, in increasing order.
inline constexpr std::array<config::Permille, 7> ShareSteps{
    WarmUpShare, CanaryShare, 100, 250, 500, 750, 950};

/// Highest share that is reached ahead of schedule. Above it the old version
/// answers too few requests to tell a shared fault from a fault of the new
/// version, so that higher shares are confined to the last part of the move.
inline constexpr config::Permille MaxComparableShare = 500;

/// Answers of the new version per busy route that end the canary early. A
/// version that fails 5% of its requests is detected after about 110 answers,
/// and within 400 in more than 99 of 100 cases.
inline constexpr std::uint64_t MinCanaryAnswers = 400;

/// Answers of the new version per busy route between two early steps.
inline constexpr std::uint64_t MinStepAnswers = 400;

/// Minimum time at one share, so that it takes effect on all nodes.
inline constexpr core::Seconds MinStepDuration{2};

/// Minimum time from acceptance to the deadline. Covers a takeover of the lease
/// (about 8 s), the steps, and the reserve before the deadline.
inline constexpr core::Seconds MinMoveDuration{120};

/// Minimum time between the planned completion and the deadline. Covers a
/// takeover of the lease and a short outage of the log.
inline constexpr core::Seconds MinDeadlineReserve{20};
/// @}

/// @brief Slots of the ready targets of a move.
struct ReadySlots {
  std::uint32_t New = 0;
  std::uint32_t Old = 0;
  /// Slots of both versions that are running a request.
  std::uint32_t InUse = 0;

  friend bool operator==(const ReadySlots &, const ReadySlots &) = default;
};

/// @brief Evidence collected for a move.
struct MoveProgress {
  /// Since acceptance.
  MoveCounts TotalCounts;
  /// Total at the last step.
  MoveCounts CountsAtStep;
  /// Time before which no further step is made.
  core::WallTime EarliestStepAt;
};

/// @brief Scheduled time of a share, which does not depend on evidence.
core::WallTime dueAt(const config::MoveStatus &Move, config::Permille Share);

/// @brief Whether each busy route has had MinCanaryAnswers answers of the new
///        version.
///
/// A route is busy when it is expected to reach that number before the
/// scheduled end of the canary. Routes with few requests do not delay a move.
bool hasEnoughEvidence(const config::MoveStatus &Move, const MoveCounts &Counts,
                       core::WallTime Now);

/// @brief Whether the canary may end, because there is enough evidence or its
///        scheduled end has passed.
bool canaryMayEnd(const config::MoveStatus &Move, const MoveProgress &Progress,
                  core::WallTime Now);

/// @brief Highest share that the ready targets of the new version can serve.
config::Permille capacityShare(const ReadySlots &Slots);

/// @brief Share that the move should have now; never below its current share.
config::Permille nextShare(const config::MoveStatus &Move,
                           const MoveProgress &Progress,
                           const ReadySlots &Slots, core::WallTime Now);

/// @brief Checks at acceptance whether the deadline of a move can be met.
/// @return SheetTimePassed or SheetTimeTooShort when it cannot
core::Status checkDeadline(const config::MoveOrder &Order, core::WallTime Now);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_SCHEDULE_H
