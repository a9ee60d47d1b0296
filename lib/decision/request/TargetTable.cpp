#include "filbertvane/decision/request/TargetTable.h"
#include <algorithm>

namespace filbertvane::decision::request {

namespace {

Locality localityOf(const Endpoint &Place, const core::DataCentreId &DataCentre,
                    const core::RegionId &Region) {
  if (Place.DataCentre == DataCentre)
    return Locality::DataCentre;
  return Place.Region == Region ? Locality::Region : Locality::OtherRegion;
}

} // namespace

TargetIndex TargetTable::allocateEntry() {
  const auto Free =
      std::find_if(Entries.begin(), Entries.end(), [](const Target &Slot) {
        return Slot.Removed && !Slot.Announced && Slot.Outstanding == 0;
      });
  if (Free == Entries.end()) {
    Entries.emplace_back();
    return static_cast<TargetIndex>(Entries.size() - 1);
  }
  IndexOf.erase(Free->Announcement.Target);
  *Free = Target{};
  return static_cast<TargetIndex>(Free - Entries.begin());
}

void TargetTable::update(const std::vector<Endpoint> &Endpoints,
                         const core::NodeId &Self,
                         const core::DataCentreId &DataCentre,
                         const core::RegionId &Region) {
  for (Target &Slot : Entries) {
    Slot.Removed = true;
    Slot.Announced = false;
  }
  std::vector<const Endpoint *> Added;
  for (const Endpoint &Place : Endpoints) {
    const TargetIndex At = find(Place.Target);
    if (At == NoTarget) {
      Added.push_back(&Place);
      continue;
    }
    Entries[At].Announcement = Place;
    Entries[At].Removed = Entries[At].Leaving;
    Entries[At].Announced = true;
  }
  for (const Endpoint *Place : Added) {
    const TargetIndex At = allocateEntry();
    Target &Slot = Entries[At];
    Slot.Announcement = *Place;
    Slot.Announced = true;
    Slot.Distance = localityOf(*Place, DataCentre, Region);
    Slot.Local = Place->Node == Self;
    Slot.WarmUpStart = Place->AnnouncedAt;
    IndexOf[Place->Target] = At;
  }
}

TargetIndex TargetTable::markLeaving(const core::TargetId &Id) {
  const TargetIndex At = find(Id);
  if (At != NoTarget)
    Entries[At].Removed = Entries[At].Leaving = true;
  return At;
}

TargetIndex TargetTable::find(const core::TargetId &Id) const {
  const auto Found = IndexOf.find(Id);
  return Found == IndexOf.end() ? NoTarget : Found->second;
}

} // namespace filbertvane::decision::request
