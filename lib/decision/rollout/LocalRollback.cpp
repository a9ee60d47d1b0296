#include "filbertvane/decision/rollout/LocalRollback.h"
#include <algorithm>
#include <tuple>

namespace filbertvane::decision::rollout {

namespace {

/// Total order of the overlays of one move and data centre; the greater one is
/// kept. A higher share means that it was made later; a proven one outranks a
/// suspicion; of two like ones the earlier decided.
auto rank(const LocalRollback &Value) {
  return std::tuple(Value.Share, Value.Proven,
                    -Value.CreatedAt.time_since_epoch(), Value.Verdict);
}

bool isObsolete(const LocalRollback &Value, const config::FleetState &Fleet) {
  const config::MoveStatus *Move = findMove(Fleet, Value.Move);
  // A move ordered beyond the own version is not known here yet.
  if (Move == nullptr)
    return Value.Move.OrderedIn <= Fleet.Version;
  return Move->Stage != config::MoveStage::InProgress ||
         Move->Share > Value.Share;
}

} // namespace

const config::MoveStatus *findMove(const config::FleetState &Fleet,
                                   const config::MoveId &Id) {
  const auto Found = std::find_if(
      Fleet.Moves.begin(), Fleet.Moves.end(),
      [&](const config::MoveStatus &Move) { return Move.Id == Id; });
  return Found == Fleet.Moves.end() ? nullptr : &*Found;
}

bool LocalRollbackSet::add(const LocalRollback &Added) {
  const Key Place(Added.Move, Added.DataCentre);
  const auto Found = Rollbacks.find(Place);
  if (Found != Rollbacks.end()) {
    if (rank(Added) <= rank(Found->second))
      return false;
    Found->second = Added;
    return true;
  }
  if (Rollbacks.size() >= MaxRollbacks)
    return false;
  Rollbacks.emplace(Place, Added);
  return true;
}

std::vector<LocalRollback>
LocalRollbackSet::prune(const config::FleetState &Fleet) {
  std::vector<LocalRollback> Dropped;
  for (const auto &[Place, Value] : Rollbacks)
    if (isObsolete(Value, Fleet))
      Dropped.push_back(Value);
  for (const LocalRollback &Value : Dropped)
    Rollbacks.erase({Value.Move, Value.DataCentre});
  return Dropped;
}

std::vector<LocalRollback>
LocalRollbackSet::forMove(const config::MoveId &Move) const {
  std::vector<LocalRollback> Result;
  for (const auto &[Place, Value] : Rollbacks)
    if (Place.first == Move)
      Result.push_back(Value);
  return Result;
}

std::vector<LocalRollback>
LocalRollbackSet::forDataCentre(const core::DataCentreId &Id) const {
  std::vector<LocalRollback> Result;
  for (const auto &[Place, Value] : Rollbacks)
    if (Place.second == Id)
      Result.push_back(Value);
  return Result;
}

std::vector<config::MoveId>
LocalRollbackSet::activeMoves(const core::DataCentreId &Here) const {
  std::vector<config::MoveId> Moves;
  for (const auto &[Place, Value] : Rollbacks)
    if (Place.second == Here || Place.second == core::DataCentreId())
      Moves.push_back(Place.first);
  Moves.erase(std::unique(Moves.begin(), Moves.end()), Moves.end());
  return Moves;
}

} // namespace filbertvane::decision::rollout
