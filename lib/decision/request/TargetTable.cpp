#include "filbertvane/decision/request/TargetTable.h"
#include <algorithm>

namespace filbertvane::decision::request {

namespace {

Locality localityOf(const Endpoint &Place, const core::DataCentreId &DataCentre,
                    const core::RegionId &Region) {
  if (Place.DataCentre == DataCentre)
    return Locality::DataCentre;
  return Place.Region == Region ? Locality::Region : Locality::Elsewhere;
}

} // namespace

TargetIndex TargetTable::freeSlot() {
  const auto Free =
      std::find_if(Slots.begin(), Slots.end(), [](const Target &Slot) {
        return Slot.Gone && !Slot.Listed && Slot.Outstanding == 0;
      });
  if (Free == Slots.end()) {
    Slots.emplace_back();
    return static_cast<TargetIndex>(Slots.size() - 1);
  }
  IndexOf.erase(Free->Place.Target);
  *Free = Target{};
  return static_cast<TargetIndex>(Free - Slots.begin());
}

void TargetTable::update(const std::vector<Endpoint> &Endpoints,
                         const core::NodeId &Self,
                         const core::DataCentreId &DataCentre,
                         const core::RegionId &Region) {
  for (Target &Slot : Slots) {
    Slot.Gone = true;
    Slot.Listed = false;
  }
  std::vector<const Endpoint *> Added;
  for (const Endpoint &Place : Endpoints) {
    const TargetIndex At = find(Place.Target);
    if (At == NoTarget) {
      Added.push_back(&Place);
      continue;
    }
    Slots[At].Place = Place;
    Slots[At].Gone = Slots[At].Leaving;
    Slots[At].Listed = true;
  }
  for (const Endpoint *Place : Added) {
    const TargetIndex At = freeSlot();
    Target &Slot = Slots[At];
    Slot.Place = *Place;
    Slot.Listed = true;
    Slot.Near = localityOf(*Place, DataCentre, Region);
    Slot.Own = Place->Node == Self;
    Slot.WarmSince = Place->Since;
    IndexOf[Place->Target] = At;
  }
}

TargetIndex TargetTable::markGone(const core::TargetId &Id) {
  const TargetIndex At = find(Id);
  if (At != NoTarget)
    Slots[At].Gone = Slots[At].Leaving = true;
  return At;
}

TargetIndex TargetTable::find(const core::TargetId &Id) const {
  const auto Found = IndexOf.find(Id);
  return Found == IndexOf.end() ? NoTarget : Found->second;
}

} // namespace filbertvane::decision::request
