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
  VersionPool *Pool = Service.poolOf(Member.Place.Version);
  if (!Pool) {
    Service.Pools.emplace_back().Version = Member.Place.Version;
    Pool = &Service.Pools.back();
  }
  Pool->Members[static_cast<std::size_t>(Member.Near)].push_back(At);
}

} // namespace

void Reduction::operator()(const ConfigurationChanged &What) {
  Next.Fleet = What.State;
  Next.Routes = RouteTable(What.State->CurrentSheet.Routes);
  std::unordered_map<core::ServiceName, ServiceState> Services;
  for (const auto &[Name, Versions] : What.State->TrafficByService) {
    const auto Known = Next.Services.find(Name);
    ServiceState Service;
    if (Known != Next.Services.end())
      Service = std::move(Known->second);
    else
      Service.Selector = VersionSelector(
          static_cast<config::Permille>(Next.Source.below(config::FullShare)));
    Service.Name = Name;
    Service.Versions = withoutRolledBack(Versions, Name, What);
    Service.HasIdempotentRoute = false;
    Services.emplace(Name, std::move(Service));
  }
  for (const config::RouteSpec &Route : What.State->CurrentSheet.Routes)
    if (const auto Found = Services.find(Route.Service);
        Found != Services.end() && Route.Idempotent)
      Found->second.HasIdempotentRoute = true;
  Next.Services = std::move(Services);
  rebuildPools();
}

void Reduction::rebuildPools() {
  for (auto &[Name, Service] : Next.Services)
    Service.Pools.clear();
  const std::span<const Target> All = Next.Targets.all();
  for (TargetIndex At = 0; At < All.size(); ++At) {
    const auto Service = Next.Services.find(All[At].Place.Service);
    if (!All[At].Gone && Service != Next.Services.end())
      addMember(Service->second, All[At], At);
  }
  for (auto &[Name, Service] : Next.Services)
    for (VersionPool &Pool : Service.Pools) {
      for (const auto &Members : Pool.Members)
        keepHalf(Next.Targets, Members, Now.Mono);
      refreshActive(Pool);
    }
}

void Reduction::operator()(const EndpointsChanged &What) {
  Next.Targets.update(What.Endpoints, Next.Own.Self, Next.Own.DataCentre,
                      Next.Own.Region);
  const std::span<const Target> All = Next.Targets.all();
  for (TargetIndex At = 0; At < All.size(); ++At) {
    const Target &Which = All[At];
    const auto Known = Next.OwnTargets.find(At);
    if (!Which.Own) {
      // The place was taken over by another target.
      if (Known != Next.OwnTargets.end())
        Next.OwnTargets.erase(Known);
      continue;
    }
    if (!Which.Gone && !Next.Draining)
      openTarget(At);
  }
  rebuildPools();
  for (auto &[At, Own] : Next.OwnTargets)
    if (Next.Targets[At].Gone)
      closeTarget(At);
    else
      serveQueue(At);
}

void Reduction::openTarget(TargetIndex At) {
  const Limits &Bounds = Next.Own.Bounds;
  const std::uint32_t Slots = Next.Targets[At].Place.Slots;
  const Admission::Bounds Own{Bounds.QueueEntries, Bounds.BulkBytes,
                              Bounds.ShedByDeadline};
  Next.OwnTargets.try_emplace(At, Slots, Own).first->second.open(Slots);
}

/// Waiting requests are refused as not run, so that the entry node can send
/// them to another target; those in progress go on.
void Reduction::closeTarget(TargetIndex At) {
  const auto Own = Next.OwnTargets.find(At);
  if (Own == Next.OwnTargets.end() || Own->second.closed())
    return;
  log(observe::EventId::RequestTargetLeaving,
      Next.Targets[At].Place.Target.value());
  for (core::CallId Id : Own->second.close())
    if (Call *Which = find(Id))
      refuseQueued(*Which, core::ErrorCode::RequestDraining);
}

void Reduction::operator()(const TargetLeaving &What) {
  const TargetIndex At = Next.Targets.markGone(What.Target);
  if (At == NoTarget)
    return;
  rebuildPools();
  closeTarget(At);
}

void Reduction::operator()(const DrainStarted &) {
  Next.Draining = true;
  for (const auto &[At, Own] : Next.OwnTargets)
    Next.Targets[At].Gone = Next.Targets[At].Leaving = true;
  rebuildPools();
  for (const auto &[At, Own] : Next.OwnTargets)
    closeTarget(At);
}

void Reduction::operator()(const SuspectLearned &What) {
  if (Next.Crashed.note(What.RequestDigest, What.Crashes, Now.Mono))
    log(observe::EventId::RequestSuspectLimit, "");
}

} // namespace filbertvane::decision::request
