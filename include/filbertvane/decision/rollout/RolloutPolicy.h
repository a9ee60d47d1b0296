#ifndef FILBERTVANE_DECISION_ROLLOUT_ROLLOUTPOLICY_H
#define FILBERTVANE_DECISION_ROLLOUT_ROLLOUTPOLICY_H

#include "filbertvane/decision/rollout/LocalRollback.h"
#include "filbertvane/decision/rollout/Schedule.h"
#include "filbertvane/decision/rollout/Windows.h"

namespace filbertvane::decision::rollout {

/// @brief Whether a finding withdraws the new version of a move at once.
///
/// A suspicion does so only above ControlShare. Below it the old version
/// answers enough to prove or dispel the suspicion within a few answers; above
/// it the proof would cost more faults than the withdrawal, after which the old
/// version shows whether it fails too.
bool shouldWithdraw(const config::MoveStatus &Move, const RouteFinding &Found);

/// @brief Moves that an unknown sender's counts are a baseline for.
/// @param IsTakeover the reader has just become the coordinator: counts of a
///        move at the canary form one window then, since its share hardly
///        changed; a new lead would count what another one counted already
std::set<config::MoveId> baselineMoves(const config::FleetState &Fleet,
                                       core::WallTime Now,
                                       bool IsTakeover = false);

/// @brief Moves whose answers still count.
std::set<config::MoveId> monitoredMoves(const config::FleetState &Fleet,
                                        core::WallTime Now);

/// @brief Whether one of the overlays is proven.
const LocalRollback *findProven(const std::vector<LocalRollback> &Overlays);

/// @brief `service@version` for log lines.
std::string toString(const config::MoveId &Move);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_ROLLOUTPOLICY_H
