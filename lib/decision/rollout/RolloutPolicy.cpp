#include "filbertvane/decision/rollout/RolloutPolicy.h"
#include <fmt/format.h>

namespace filbertvane::decision::rollout {

bool shouldWithdraw(const config::MoveStatus &Move, const RouteFinding &Found) {
  if (Move.Stage != config::MoveStage::InProgress)
    return false;
  return Found.Level == Finding::Proven ||
         (Found.Level == Finding::Suspected && Move.Share > MaxComparableShare);
}

std::set<config::MoveId> baselineMoves(const config::FleetState &Fleet,
                                       core::WallTime Now, bool IsTakeover) {
  std::set<config::MoveId> Moves;
  for (const config::MoveStatus &Move : Fleet.Moves)
    if (Now > Move.AcceptedAt + FirstReportWindow &&
        !(IsTakeover && Move.Share <= CanaryShare))
      Moves.insert(Move.Id);
  return Moves;
}

std::set<config::MoveId> monitoredMoves(const config::FleetState &Fleet,
                                        core::WallTime Now) {
  std::set<config::MoveId> Moves;
  for (const config::MoveStatus &Move : Fleet.Moves)
    if (isMonitored(Move, Now))
      Moves.insert(Move.Id);
  return Moves;
}

const LocalRollback *findProven(const std::vector<LocalRollback> &Rollbacks) {
  for (const LocalRollback &Rollback : Rollbacks)
    if (Rollback.Proven)
      return &Rollback;
  return nullptr;
}

std::string toString(const config::MoveId &Move) {
  return fmt::format("{}@{}", Move.Service.value(), Move.OrderedIn.value());
}

} // namespace filbertvane::decision::rollout
