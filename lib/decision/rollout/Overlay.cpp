#include "filbertvane/decision/rollout/Overlay.h"
#include <algorithm>
#include <tuple>

namespace filbertvane::decision::rollout {

namespace {

/// Total order of the overlays of one move and data centre; the greater one is
/// kept. A higher share means that it was made later; a proven one outranks a
/// suspicion; of two like ones the earlier decided.
auto rank(const Overlay &Value) {
  return std::tuple(Value.Share, Value.Proven, -Value.At.time_since_epoch(),
                    Value.Decided);
}

bool isObsolete(const Overlay &Value, const config::FleetState &Fleet) {
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

bool OverlaySet::add(const Overlay &Added) {
  const Key Place(Added.Move, Added.DataCentre);
  const auto Found = Of.find(Place);
  if (Found != Of.end()) {
    if (rank(Added) <= rank(Found->second))
      return false;
    Found->second = Added;
    return true;
  }
  if (Of.size() >= MaxOverlays)
    return false;
  Of.emplace(Place, Added);
  return true;
}

std::vector<Overlay> OverlaySet::prune(const config::FleetState &Fleet) {
  std::vector<Overlay> Dropped;
  for (const auto &[Place, Value] : Of)
    if (isObsolete(Value, Fleet))
      Dropped.push_back(Value);
  for (const Overlay &Value : Dropped)
    Of.erase({Value.Move, Value.DataCentre});
  return Dropped;
}

std::vector<Overlay> OverlaySet::of(const config::MoveId &Move) const {
  std::vector<Overlay> Result;
  for (const auto &[Place, Value] : Of)
    if (Place.first == Move)
      Result.push_back(Value);
  return Result;
}

std::vector<Overlay>
OverlaySet::inDataCentre(const core::DataCentreId &Id) const {
  std::vector<Overlay> Result;
  for (const auto &[Place, Value] : Of)
    if (Place.second == Id)
      Result.push_back(Value);
  return Result;
}

std::vector<config::MoveId>
OverlaySet::inForce(const core::DataCentreId &Here) const {
  std::vector<config::MoveId> Moves;
  for (const auto &[Place, Value] : Of)
    if (Place.second == Here || Place.second == core::DataCentreId())
      Moves.push_back(Place.first);
  Moves.erase(std::unique(Moves.begin(), Moves.end()), Moves.end());
  return Moves;
}

} // namespace filbertvane::decision::rollout
