#include "filbertvane/decision/rollout/LocalRollback.h"
#include <algorithm>
#include <tuple>

namespace filbertvane::decision::rollout {

namespace {

/// Total order of the rollbacks of one move and data centre; the greatest one
/// is stored. A higher share means that the rollback is newer. At the same
/// share a proven fault precedes a suspicion, then the earlier decision
/// precedes.
auto precedence(const LocalRollback &Rollback) {
  return std::tuple(Rollback.Share, Rollback.Proven,
                    -Rollback.CreatedAt.time_since_epoch(), Rollback.Verdict);
}

bool isObsolete(const LocalRollback &Rollback,
                const config::FleetState &Fleet) {
  const config::MoveStatus *Move = findMove(Fleet, Rollback.Move);
  // A move ordered in a later configuration version is not known here yet.
  if (Move == nullptr)
    return Rollback.Move.OrderedIn <= Fleet.Version;
  return Move->Stage != config::MoveStage::InProgress ||
         Move->Share > Rollback.Share;
}

} // namespace

const config::MoveStatus *findMove(const config::FleetState &Fleet,
                                   const config::MoveId &Id) {
  const auto Found = std::find_if(
      Fleet.Moves.begin(), Fleet.Moves.end(),
      [&](const config::MoveStatus &Move) { return Move.Id == Id; });
  return Found == Fleet.Moves.end() ? nullptr : &*Found;
}

bool LocalRollbackSet::add(const LocalRollback &Rollback) {
  const Key EntryKey(Rollback.Move, Rollback.DataCentre);
  const auto Found = Rollbacks.find(EntryKey);
  if (Found != Rollbacks.end()) {
    if (precedence(Rollback) <= precedence(Found->second))
      return false;
    Found->second = Rollback;
    return true;
  }
  if (Rollbacks.size() >= MaxRollbacks)
    return false;
  Rollbacks.emplace(EntryKey, Rollback);
  return true;
}

std::vector<LocalRollback>
LocalRollbackSet::prune(const config::FleetState &Fleet) {
  std::vector<LocalRollback> Dropped;
  for (const auto &[EntryKey, Rollback] : Rollbacks)
    if (isObsolete(Rollback, Fleet))
      Dropped.push_back(Rollback);
  for (const LocalRollback &Rollback : Dropped)
    Rollbacks.erase({Rollback.Move, Rollback.DataCentre});
  return Dropped;
}

std::vector<LocalRollback>
LocalRollbackSet::forMove(const config::MoveId &Move) const {
  std::vector<LocalRollback> Result;
  for (const auto &[EntryKey, Rollback] : Rollbacks)
    if (EntryKey.first == Move)
      Result.push_back(Rollback);
  return Result;
}

std::vector<LocalRollback>
LocalRollbackSet::forDataCentre(const core::DataCentreId &Id) const {
  std::vector<LocalRollback> Result;
  for (const auto &[EntryKey, Rollback] : Rollbacks)
    if (EntryKey.second == Id)
      Result.push_back(Rollback);
  return Result;
}

std::vector<config::MoveId>
LocalRollbackSet::activeMoves(const core::DataCentreId &DataCentre) const {
  std::vector<config::MoveId> Moves;
  for (const auto &[EntryKey, Rollback] : Rollbacks)
    if (EntryKey.second == DataCentre ||
        EntryKey.second == core::DataCentreId())
      Moves.push_back(EntryKey.first);
  Moves.erase(std::unique(Moves.begin(), Moves.end()), Moves.end());
  return Moves;
}

} // namespace filbertvane::decision::rollout
