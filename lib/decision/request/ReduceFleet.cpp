#include "Reduction.h"
#include "filbertvane/decision/request/Ejection.h"
#include <algorithm>

namespace filbertvane::decision::request {

namespace {

/// Traffic shares that apply on this node: a local rollback sets the share of
/// the candidate to 0.
config::TrafficSplit applyLocalRollbacks(config::TrafficSplit Versions,
                                         const core::ServiceName &Service,
                                         const ConfigurationChanged &Change) {
  const auto IsRolledBack = [&](const config::MoveId &Move) {
    if (Move.Service != Service)
      return false;
    // A later order for the same service is a different move.
    return std::any_of(Change.State->Moves.begin(), Change.State->Moves.end(),
                       [&](const config::MoveStatus &Status) {
                         return Status.Id == Move &&
                                Status.Order.To == Versions.Candidate;
                       });
  };
  if (std::any_of(Change.LocalRollbacks.begin(), Change.LocalRollbacks.end(),
                  IsRolledBack))
    Versions.CandidateShare = 0;
  return Versions;
}

void addMember(ServiceState &Service, const Target &Member, TargetIndex Index) {
  VersionPool *Pool = Service.poolOf(Member.Announcement.Version);
  if (!Pool) {
    Service.Pools.emplace_back().Version = Member.Announcement.Version;
    Pool = &Service.Pools.back();
  }
  Pool->Members[static_cast<std::size_t>(Member.Distance)].push_back(Index);
}

} // namespace

void Reduction::operator()(const ConfigurationChanged &Change) {
  Fields.Fleet = Change.State;
  Fields.Routes = RouteTable(Change.State->CurrentSheet.Routes);
  std::unordered_map<core::ServiceName, ServiceState> Services;
  for (const auto &[Name, Versions] : Change.State->TrafficByService) {
    const auto Known = Fields.Services.find(Name);
    ServiceState Service;
    if (Known != Fields.Services.end())
      Service = std::move(Known->second);
    else
      Service.Selector = VersionSelector(
          static_cast<config::Permille>(Fields.Rng.below(config::FullShare)));
    Service.Name = Name;
    Service.Versions = applyLocalRollbacks(Versions, Name, Change);
    Service.HasIdempotentRoute = false;
    Services.emplace(Name, std::move(Service));
  }
  for (const config::RouteSpec &Route : Change.State->CurrentSheet.Routes)
    if (const auto Found = Services.find(Route.Service);
        Found != Services.end() && Route.Idempotent)
      Found->second.HasIdempotentRoute = true;
  Fields.Services = std::move(Services);
  rebuildPools();
}

void Reduction::rebuildPools() {
  for (auto &[Name, Service] : Fields.Services)
    Service.Pools.clear();
  const std::span<const Target> All = Fields.Targets.all();
  for (TargetIndex Index = 0; Index < All.size(); ++Index) {
    const auto Service = Fields.Services.find(All[Index].Announcement.Service);
    if (!All[Index].Removed && Service != Fields.Services.end())
      addMember(Service->second, All[Index], Index);
  }
  for (auto &[Name, Service] : Fields.Services)
    for (VersionPool &Pool : Service.Pools) {
      for (const auto &Members : Pool.Members)
        limitEjections(Fields.Targets, Members, Now.Mono);
      refreshActive(Pool);
    }
}

void Reduction::operator()(const EndpointsChanged &Change) {
  Fields.Targets.update(Change.Endpoints, Fields.Config.Self,
                        Fields.Config.DataCentre, Fields.Config.Region);
  const std::span<const Target> All = Fields.Targets.all();
  for (TargetIndex Index = 0; Index < All.size(); ++Index) {
    const Target &Entry = All[Index];
    const auto Known = Fields.LocalTargets.find(Index);
    if (!Entry.Local) {
      // The table index was reused for another target.
      if (Known != Fields.LocalTargets.end())
        Fields.LocalTargets.erase(Known);
      continue;
    }
    if (!Entry.Removed && !Fields.Draining)
      openTarget(Index);
  }
  rebuildPools();
  for (auto &[Index, Local] : Fields.LocalTargets)
    if (Fields.Targets[Index].Removed)
      closeTarget(Index);
    else
      serveQueue(Index);
}

void Reduction::openTarget(TargetIndex Index) {
  const Limits &Bounds = Fields.Config.Bounds;
  const std::uint32_t Slots = Fields.Targets[Index].Announcement.Slots;
  const Admission::Bounds QueueLimits{
      Bounds.MaxQueueEntries, Bounds.MaxBulkBytes, Bounds.ShedByDeadline};
  Fields.LocalTargets.try_emplace(Index, Slots, QueueLimits)
      .first->second.open(Slots);
}

/// Waiting requests are refused as not run, so that the entry node can send
/// them to another target; requests in progress continue.
void Reduction::closeTarget(TargetIndex Index) {
  const auto Local = Fields.LocalTargets.find(Index);
  if (Local == Fields.LocalTargets.end() || Local->second.closed())
    return;
  log(observe::EventId::RequestTargetLeaving,
      Fields.Targets[Index].Announcement.Target.value());
  for (core::CallId Id : Local->second.close())
    if (Call *ActiveCall = find(Id))
      refuseQueued(*ActiveCall, core::ErrorCode::RequestDraining);
}

void Reduction::operator()(const TargetLeaving &Leaving) {
  const TargetIndex Index = Fields.Targets.markLeaving(Leaving.Target);
  if (Index == NoTarget)
    return;
  rebuildPools();
  closeTarget(Index);
}

void Reduction::operator()(const DrainStarted &) {
  Fields.Draining = true;
  for (const auto &[Index, Local] : Fields.LocalTargets)
    Fields.Targets[Index].Removed = Fields.Targets[Index].Leaving = true;
  rebuildPools();
  for (const auto &[Index, Local] : Fields.LocalTargets)
    closeTarget(Index);
}

void Reduction::operator()(const SuspectLearned &Report) {
  if (Fields.KnownSuspects.record(Report.RequestDigest, Report.Crashes,
                                  Now.Mono))
    log(observe::EventId::RequestSuspectLimit, "");
}

} // namespace filbertvane::decision::request
