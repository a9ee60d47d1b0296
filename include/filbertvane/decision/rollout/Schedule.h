#ifndef FILBERTVANE_DECISION_ROLLOUT_SCHEDULE_H
#define FILBERTVANE_DECISION_ROLLOUT_SCHEDULE_H

#include "filbertvane/config/FleetState.h"
#include "filbertvane/decision/rollout/Evidence.h"

namespace filbertvane::decision::rollout {

/// @name Constants of the schedule
/// @{

/// Share during the warm-up. Latency is not judged then, so that a slow version
/// must not reach many callers; 5 of 1000 requests still warm the targets.
inline constexpr config::Permille WarmUpShare = 5;

/// Share until the evidence is in. Below the 5% that a bad version may get, so
/// that requests in flight at the end of a short move do not exceed it.
inline constexpr config::Permille CanaryShare = 40;

/// Shares on the way to the full one.
inline constexpr std::array<config::Permille, 7> ShareSteps{
    WarmUpShare, CanaryShare, 100, 250, 500, 750, 950};

/// Highest share that plain evidence alone allows. Above it the old version
/// answers too little to tell a shared fault from a fault of the new version,
/// so that the higher shares are held only for the last part of the move.
inline constexpr config::Permille MaxComparableShare = 500;

/// Answers of the new version per busy route that end the canary early. A
/// version that fails 5% of its requests needs about 110 answers to be found,
/// and is found within 400 in more than 99 of 100 cases.
inline constexpr std::uint64_t MinCanaryAnswers = 400;

/// Answers of the new version per busy route before the next early step.
inline constexpr std::uint64_t MinStepAnswers = 400;

/// Shortest time at one share, so that all nodes act on it.
inline constexpr core::Seconds MinStepDuration{2};

/// Shortest time from acceptance to the deadline: a takeover of the lease
/// (about 8 s), the steps, and the reserve before the deadline.
inline constexpr core::Seconds MinMoveDuration{120};

/// Reserve between the planned completion and the deadline: a takeover of the
/// lease and a short log outage fit into it.
inline constexpr core::Seconds MinDeadlineReserve{20};
/// @}

/// @brief Slots of the ready targets of both versions of a move.
struct ReadySlots {
  std::uint32_t New = 0;
  std::uint32_t Old = 0;
  /// Slots of both versions that run a request now.
  std::uint32_t InUse = 0;

  friend bool operator==(const ReadySlots &, const ReadySlots &) = default;
};

/// @brief Progress of the evidence of a move.
struct MoveProgress {
  /// Counts per route since acceptance.
  MoveCounts TotalCounts;
  /// Counts per route at the last step.
  MoveCounts CountsAtStep;
  /// Time from which the next early step is allowed.
  core::WallTime EarliestStepAt;
};

/// @brief Time at which a share is due even without plain evidence.
core::WallTime dueAt(const config::MoveStatus &Move, config::Permille Share);

/// @brief Whether each busy route has had GateAnswers of the new version.
///
/// A route is busy when it would reach the number before the canary is due to
/// end; quiet routes do not hold up a move.
bool hasEnoughEvidence(const config::MoveStatus &Move, const MoveCounts &Counts,
                       core::WallTime Now);

/// @brief Whether the canary may end: the evidence is in, or it is due.
bool canaryMayEnd(const config::MoveStatus &Move, const MoveProgress &Seen,
                  core::WallTime Now);

/// @brief Highest share that the ready targets of the new version can take.
config::Permille capacityShare(const ReadySlots &Slots);

/// @brief Share that the move should have now; never below its share.
config::Permille nextShare(const config::MoveStatus &Move,
                           const MoveProgress &Seen, const ReadySlots &Slots,
                           core::WallTime Now);

/// @brief Checks at acceptance whether a deadline can be met.
/// @return SheetTimePassed or SheetTimeTooShort with the reason
core::Status checkDeadline(const config::MoveOrder &Order, core::WallTime Now);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_SCHEDULE_H
