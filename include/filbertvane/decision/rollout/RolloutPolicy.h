#ifndef FILBERTVANE_DECISION_ROLLOUT_ROLLOUTPOLICY_H
#define FILBERTVANE_DECISION_ROLLOUT_ROLLOUTPOLICY_H

#include "filbertvane/decision/rollout/LocalRollback.h"
#include "filbertvane/decision/rollout/Schedule.h"
#include "filbertvane/decision/rollout/Windows.h"

namespace filbertvane::decision::rollout {

/// @brief Whether the new version of a move has to be withdrawn at once.
///
/// A suspicion is enough only above MaxComparableShare. Up to that share the
/// old version answers enough requests to confirm or refute it within a few
/// answers. Above it, waiting would cost more faults than a withdrawal, after
/// which the old version shows whether it fails too.
bool shouldWithdraw(const config::MoveStatus &Move, const RouteFinding &Found);

/// @brief Moves for which the counts of an unknown sender are a baseline.
/// @param IsTakeover true at a new coordinator, which counts the first reports
///        for moves at the canary: their share has hardly changed, so that the
///        counts form one window. A new lead must not do so, since the previous
///        lead has already counted them.
std::set<config::MoveId> baselineMoves(const config::FleetState &Fleet,
                                       core::WallTime Now,
                                       bool IsTakeover = false);

/// @brief Moves for which answers are counted.
std::set<config::MoveId> monitoredMoves(const config::FleetState &Fleet,
                                        core::WallTime Now);

/// @brief First proven rollback; null when there is none.
const LocalRollback *findProven(const std::vector<LocalRollback> &Rollbacks);

/// @brief Formats a move as `service@version` for log lines.
std::string toString(const config::MoveId &Move);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_ROLLOUTPOLICY_H
