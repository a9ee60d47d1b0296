#include "Reduction.h"
#include "filbertvane/decision/request/Ejection.h"
#include <algorithm>

namespace filbertvane::decision::request {

namespace {

/// Shares in force on this node: a local rollback sets the candidate's to 0.
config::TrafficSplit withoutRolledBack(config::TrafficSplit Versions,
                                       const core::ServiceName &Service,
                                       const ConfigurationChanged &What) {
  const auto Rolled = [&](const config::MoveId &Move) {
    if (Move.Service != Service)
      return false;
    // A later order for the same service is another move.
    return std::any_of(What.State->Moves.begin(), What.State->Moves.end(),
                       [&](const config::MoveStatus &Status) {
                         return Status.Id == Move &&
                                Status.Order.To == Versions.Candidate;
                       });
  };
  if (std::any_of(What.LocalRollbacks.begin(), What.LocalRollbacks.end(),
                  Rolled))
    Versions.CandidateShare = 0;
  return Versions;
}

void addMember(ServiceState &Service, const Target &Member, TargetIndex At) {
  VersionPool *Pool = Service.poolOf(Member.Announcement.Version);
  if (!Pool) {
    Service.Pools.emplace_back().Version = Member.Announcement.Version;
    Pool = &Service.Pools.back();
  }
  Pool->Members[static_cast<std::size_t>(Member.Distance)].push_back(At);
}

} // namespace

void Reduction::operator()(const ConfigurationChanged &What) {
  Fields.Fleet = What.State;
  Fields.Routes = RouteTable(What.State->CurrentSheet.Routes);
  std::unordered_map<core::ServiceName, ServiceState> Services;
  for (const auto &[Name, Versions] : What.State->TrafficByService) {
    const auto Known = Fields.Services.find(Name);
    ServiceState Service;
    if (Known != Fields.Services.end())
      Service = std::move(Known->second);
    else
      Service.Selector = VersionSelector(
          static_cast<config::Permille>(Fields.Rng.below(config::FullShare)));
    Service.Name = Name;
    Service.Versions = withoutRolledBack(Versions, Name, What);
    Service.HasIdempotentRoute = false;
    Services.emplace(Name, std::move(Service));
  }
  for (const config::RouteSpec &Route : What.State->CurrentSheet.Routes)
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
  for (TargetIndex At = 0; At < All.size(); ++At) {
    const auto Service = Fields.Services.find(All[At].Announcement.Service);
    if (!All[At].Removed && Service != Fields.Services.end())
      addMember(Service->second, All[At], At);
  }
  for (auto &[Name, Service] : Fields.Services)
    for (VersionPool &Pool : Service.Pools) {
      for (const auto &Members : Pool.Members)
        limitEjections(Fields.Targets, Members, Now.Mono);
      refreshActive(Pool);
    }
}

void Reduction::operator()(const EndpointsChanged &What) {
  Fields.Targets.update(What.Endpoints, Fields.Config.Self,
                        Fields.Config.DataCentre, Fields.Config.Region);
  const std::span<const Target> All = Fields.Targets.all();
  for (TargetIndex At = 0; At < All.size(); ++At) {
    const Target &Which = All[At];
    const auto Known = Fields.LocalTargets.find(At);
    if (!Which.Local) {
      // The place was taken over by another target.
      if (Known != Fields.LocalTargets.end())
        Fields.LocalTargets.erase(Known);
      continue;
    }
    if (!Which.Removed && !Fields.Draining)
      openTarget(At);
  }
  rebuildPools();
  for (auto &[At, Own] : Fields.LocalTargets)
    if (Fields.Targets[At].Removed)
      closeTarget(At);
    else
      serveQueue(At);
}

void Reduction::openTarget(TargetIndex At) {
  const Limits &Bounds = Fields.Config.Bounds;
  const std::uint32_t Slots = Fields.Targets[At].Announcement.Slots;
  const Admission::Bounds Own{Bounds.MaxQueueEntries, Bounds.MaxBulkBytes,
                              Bounds.ShedByDeadline};
  Fields.LocalTargets.try_emplace(At, Slots, Own).first->second.open(Slots);
}

/// Waiting requests are refused as not run, so that the entry node can send
/// them to another target; those in progress go on.
void Reduction::closeTarget(TargetIndex At) {
  const auto Own = Fields.LocalTargets.find(At);
  if (Own == Fields.LocalTargets.end() || Own->second.closed())
    return;
  log(observe::EventId::RequestTargetLeaving,
      Fields.Targets[At].Announcement.Target.value());
  for (core::CallId Id : Own->second.close())
    if (Call *Which = find(Id))
      refuseQueued(*Which, core::ErrorCode::RequestDraining);
}

void Reduction::operator()(const TargetLeaving &What) {
  const TargetIndex At = Fields.Targets.markLeaving(What.Target);
  if (At == NoTarget)
    return;
  rebuildPools();
  closeTarget(At);
}

void Reduction::operator()(const DrainStarted &) {
  Fields.Draining = true;
  for (const auto &[At, Own] : Fields.LocalTargets)
    Fields.Targets[At].Removed = Fields.Targets[At].Leaving = true;
  rebuildPools();
  for (const auto &[At, Own] : Fields.LocalTargets)
    closeTarget(At);
}

void Reduction::operator()(const SuspectLearned &What) {
  if (Fields.KnownSuspects.record(What.RequestDigest, What.Crashes, Now.Mono))
    log(observe::EventId::RequestSuspectLimit, "");
}

} // namespace filbertvane::decision::request
