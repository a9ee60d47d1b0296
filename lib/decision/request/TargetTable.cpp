#include "filbertvane/decision/request/TargetTable.h"
#include <algorithm>

namespace filbertvane::decision::request {

namespace {

Locality localityOf(const Endpoint &NewEndpoint,
                    const core::DataCentreId &DataCentre,
                    const core::RegionId &Region) {
  if (NewEndpoint.DataCentre == DataCentre)
    return Locality::DataCentre;
  return NewEndpoint.Region == Region ? Locality::Region
                                      : Locality::OtherRegion;
}

} // namespace

TargetIndex TargetTable::allocateEntry() {
  const auto Free =
      std::find_if(Entries.begin(), Entries.end(), [](const Target &Entry) {
        return Entry.Removed && !Entry.Announced && Entry.Outstanding == 0;
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
  for (Target &Entry : Entries) {
    Entry.Removed = true;
    Entry.Announced = false;
  }
  std::vector<const Endpoint *> Added;
  for (const Endpoint &NewEndpoint : Endpoints) {
    const TargetIndex Index = find(NewEndpoint.Target);
    if (Index == NoTarget) {
      Added.push_back(&NewEndpoint);
      continue;
    }
    Entries[Index].Announcement = NewEndpoint;
    Entries[Index].Removed = Entries[Index].Leaving;
    Entries[Index].Announced = true;
  }
  for (const Endpoint *NewEndpoint : Added) {
    const TargetIndex Index = allocateEntry();
    Target &Entry = Entries[Index];
    Entry.Announcement = *NewEndpoint;
    Entry.Announced = true;
    Entry.Distance = localityOf(*NewEndpoint, DataCentre, Region);
    Entry.Local = NewEndpoint->Node == Self;
    Entry.WarmUpStart = NewEndpoint->AnnouncedAt;
    IndexOf[NewEndpoint->Target] = Index;
  }
}

TargetIndex TargetTable::markLeaving(const core::TargetId &Id) {
  const TargetIndex Index = find(Id);
  if (Index != NoTarget)
    Entries[Index].Removed = Entries[Index].Leaving = true;
  return Index;
}

TargetIndex TargetTable::find(const core::TargetId &Id) const {
  const auto Found = IndexOf.find(Id);
  return Found == IndexOf.end() ? NoTarget : Found->second;
}

} // namespace filbertvane::decision::request
