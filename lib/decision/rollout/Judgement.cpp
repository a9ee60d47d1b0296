#include "filbertvane/decision/rollout/Judgement.h"
#include <fmt/format.h>

namespace filbertvane::decision::rollout {

bool withdraws(const config::MoveStatus &Move, const RouteFinding &Found) {
  if (Move.Stage != config::MoveStage::InProgress)
    return false;
  return Found.Level == Finding::Proven ||
         (Found.Level == Finding::Suspected && Move.Share > ControlShare);
}

std::set<config::MoveId> inheritedMoves(const config::FleetState &Fleet,
                                        core::WallTime Now, bool IsTakeover) {
  std::set<config::MoveId> Moves;
  for (const config::MoveStatus &Move : Fleet.Moves)
    if (Now > Move.AcceptedAt + FreshMove &&
        !(IsTakeover && Move.Share <= CanaryShare))
      Moves.insert(Move.Id);
  return Moves;
}

std::set<config::MoveId> watchedMoves(const config::FleetState &Fleet,
                                      core::WallTime Now) {
  std::set<config::MoveId> Moves;
  for (const config::MoveStatus &Move : Fleet.Moves)
    if (watched(Move, Now))
      Moves.insert(Move.Id);
  return Moves;
}

const Overlay *provenOne(const std::vector<Overlay> &Overlays) {
  for (const Overlay &Value : Overlays)
    if (Value.Proven)
      return &Value;
  return nullptr;
}

std::string toString(const config::MoveId &Move) {
  return fmt::format("{}@{}", Move.Service.value(), Move.OrderedIn.value());
}

} // namespace filbertvane::decision::rollout
