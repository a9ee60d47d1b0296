#include "Reduction.h"
#include "filbertvane/decision/mesh/Evacuations.h"
#include "filbertvane/decision/mesh/EvenPlacement.h"
#include "filbertvane/decision/mesh/LinkPacer.h"
#include "filbertvane/decision/mesh/UploadGate.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

using core::ErrorCode;

namespace {

/// Size of the headers of a request and its answer between nodes, in bytes.
constexpr double HeaderBytes = 900;

bool contains(const std::vector<core::NodeId> &Nodes,
              const core::NodeId &Node) {
  return std::ranges::find(Nodes, Node) != Nodes.end();
}

/// @param Candidates at least one
double lowestLoss(const std::vector<Candidate> &Candidates,
                  const PlacementQuery &Request) {
  double Lowest = expectedLoss(Candidates.front(), Request);
  for (const Candidate &Target : Candidates)
    Lowest = std::min(Lowest, expectedLoss(Target, Request));
  return Lowest;
}

bool isReadyFor(const HostReport &Host, const core::ServiceName &Service) {
  return !Host.Leaving && Host.Target && Host.Target->Service == Service &&
         Host.Target->State == TargetState::Ready;
}

} // namespace

/// A configuration that adds or withdraws a region also binds requests that
/// were accepted before. A route that it removed binds as when the request
/// arrived.
AllowedRegions Reduction::regionsOf(const MeshCall &Call) const {
  if (!State.Routing)
    return {{}, {}};
  auto Route = State.Routing->findRoute(Call.Terms.Route);
  if (!Route)
    Route = Call.Route;
  const auto Tenant = Call.Terms.Tenant
                          ? State.Routing->findTenant(*Call.Terms.Tenant)
                          : nullptr;
  return {Route ? Route->AllowedRegions : std::vector<core::RegionId>(),
          Tenant ? Tenant->AllowedRegions : std::vector<core::RegionId>()};
}

bool Reduction::mayRunHere(const MeshCall &Call) const {
  return regionsOf(Call).includes(State.Settings.Region);
}

/// Requests wait here since before the configuration withdrew this region.
void Reduction::refuseQueuedOutsideRegions() {
  refuseQueued(ErrorCode::RequestOutsideRegions,
               [this](const MeshCall &Call) { return !mayRunHere(Call); });
}

bool Reduction::hasReadyTarget(const core::ServiceName &Service,
                               const core::TargetVersion &Version,
                               const AllowedRegions &Regions) const {
  if (State.Target && State.Target->State == TargetState::Ready &&
      Regions.includes(State.Settings.Region) &&
      !isEvacuated(State, State.Settings.DataCentre) &&
      State.Target->Announcement.Service == Service &&
      State.Target->Announcement.Version == Version)
    return true;
  return std::ranges::any_of(State.Hosts.hosts(), [&](const auto &Entry) {
    const HostReport &Host = Entry.second.Report;
    return isReadyFor(Host, Service) && Host.Target->Version == Version &&
           Regions.includes(Host.Region) &&
           !isEvacuated(State, Host.DataCentre) &&
           !HostDirectory::hasLeavingTarget(Entry.second, Now);
  });
}

bool Reduction::hasReadyTargetOfOtherVersion(
    const MeshCall &Call, const VersionShares &Shares) const {
  const auto IsOther = [&](const TargetReport &Target) {
    return Target.State == TargetState::Ready &&
           Target.Version != *Shares.Candidate &&
           !Shares.Excluded.contains(Target.Version);
  };
  const AllowedRegions Regions = regionsOf(Call);
  const auto Local = localTargetReport(State);
  if (Local && Local->Service == Call.Service && IsOther(*Local) &&
      Regions.includes(State.Settings.Region) &&
      !isEvacuated(State, State.Settings.DataCentre) &&
      !contains(Call.TriedHosts, State.Settings.Node))
    return true;
  return std::ranges::any_of(State.Hosts.hosts(), [&](const auto &Entry) {
    return isReadyFor(Entry.second.Report, Call.Service) &&
           IsOther(*Entry.second.Report.Target) &&
           Regions.includes(Entry.second.Report.Region) &&
           !isEvacuated(State, Entry.second.Report.DataCentre) &&
           !contains(Call.TriedHosts, Entry.first) &&
           !HostDirectory::hasLeavingTarget(Entry.second, Now);
  });
}

void Reduction::chooseVersion(MeshCall &Call, const VersionShares &Shares) {
  if (!Shares.Candidate)
    return;
  if (Call.ToCandidate) {
    // A request reaches the candidate once at most: with its retries the
    // candidate would get more than its share.
    if (*Call.ToCandidate && Call.ReachedTargets > 0 &&
        hasReadyTargetOfOtherVersion(Call, Shares))
      Call.ToCandidate = false;
    return;
  }
  const std::uint32_t Permille = Shares.CandidatePermille;
  if (!hasReadyTarget(Call.Service, *Shares.Candidate, regionsOf(Call))) {
    Call.ToCandidate = false;
    return;
  }
  const std::vector<config::WeightedService> Split = {
      {core::ServiceName("old"), 1000 - Permille},
      {core::ServiceName("new"), Permille}};
  Call.ToCandidate =
      stateOf(Call.Service).CandidateSplit.next(Split).value() == "new";
}

bool Reduction::acceptsVersion(const MeshCall &Call,
                               const VersionShares &Shares,
                               const core::TargetVersion &Version) const {
  if (Shares.Excluded.contains(Version))
    return false;
  if (Shares.Candidate)
    return (Version == *Shares.Candidate) == Call.ToCandidate.value_or(false);
  if (Shares.Exclusive &&
      hasReadyTarget(Call.Service, *Shares.Exclusive, regionsOf(Call)))
    return Version == *Shares.Exclusive;
  return true;
}

std::vector<Candidate> Reduction::candidates(MeshCall &Call) {
  const VersionShares Shares = State.Moves.shares(Call.Service, Now);
  chooseVersion(Call, Shares);
  const bool IsLarge =
      stateOf(Call.Terms.Route).MeanAnswerBytes > LinkPacer::LargeAnswerBytes ||
      Call.BodyBytes > UploadGate::SmallBodyBytes;
  const AllowedRegions Regions = regionsOf(Call);
  std::vector<Candidate> Found;
  const auto IsSkipped = [&](const core::NodeId &Node) {
    return contains(Call.TriedHosts, Node) || contains(Call.LateHosts, Node);
  };
  const auto Local = localTargetReport(State);
  if (Local && Local->Service == Call.Service &&
      Local->State == TargetState::Ready && !IsSkipped(State.Settings.Node) &&
      Regions.includes(State.Settings.Region) &&
      !isEvacuated(State, State.Settings.DataCentre) &&
      acceptsVersion(Call, Shares, Local->Version)) {
    const TargetLoad &Load = Local->Load;
    Found.push_back({State.Settings.Node, Distance::Local,
                     Load.Running + Load.Waiting, Load.Slots,
                     Load.MeanResponseTime, Local->FaultPermille, false,
                     loadFor(Call).RouteResponseTime});
  }
  for (const auto &[Node, Host] : State.Hosts.hosts()) {
    if (!isReadyFor(Host.Report, Call.Service) || IsSkipped(Node) ||
        !Regions.includes(Host.Report.Region) ||
        isEvacuated(State, Host.Report.DataCentre) ||
        HostDirectory::hasLeavingTarget(Host, Now) ||
        !acceptsVersion(Call, Shares, Host.Report.Target->Version))
      continue;
    // Hosts of the same data centre are asked again: this costs no billed
    // bytes, and their answers are worth more.
    if (Host.HostDistance != Distance::SameDataCentre &&
        HostDirectory::isAtCapacity(
            Host, {Call.Terms.Route, Call.Terms.AcceptLate}, Now)) {
      Call.SkippedAtCapacity = true;
      continue;
    }
    const TargetReport &Target = *Host.Report.Target;
    const std::uint32_t ReportedLoad =
        Target.Load.Running + Target.Load.Waiting + Host.SentSinceLoadUpdate;
    const auto RouteTime = Host.RouteTimes.find(Call.Terms.Route);
    Found.push_back(
        {Node, Host.HostDistance, std::max(ReportedLoad, Host.InFlight),
         Target.Load.Slots, Target.Load.MeanResponseTime, Target.FaultPermille,
         State.Hosts.isSuspect(Host, Now),
         RouteTime != Host.RouteTimes.end()
             ? RouteTime->second
             : stateOf(Call.Terms.Route).LastMeanTime,
         IsLarge ? Target.Load.LinkQueueTime : core::Milliseconds(0)});
  }
  return Found;
}

void Reduction::place(MeshCall &Call) {
  State.Runs.removeWaiting(Call.CallerId);
  if (Call.Placements > 0 && !renewTenant(Call))
    return refuse(Call, ErrorCode::RequestKeyWithdrawn);
  if (++Call.Placements > MaximumPlacements)
    return refuse(Call, ErrorCode::RequestRefusedByTarget);
  std::vector<Candidate> Candidates = candidates(Call);
  const PlacementQuery Query{Call.Route->LatencyObjective,
                             HeaderBytes +
                                 stateOf(Call.Terms.Route).MeanAnswerBytes};
  const auto Choose = hasOldReports(State.Hosts.largestSize())
                          ? chooseByFreeSlots
                          : chooseTarget;
  auto Best = Choose(Candidates, Query, State.RandomSource);
  // A large answer from another region costs more than a late one from a nearby
  // host.
  const bool MustAcceptLate = !Best ||
                              Call.LateHosts.size() >= OnTimePlacements ||
                              lowestLoss(Candidates, Query) > LateAnswerLoss;
  if (MustAcceptLate && !Call.Terms.AcceptLate) {
    Call.Terms.AcceptLate = true;
    Call.LateHosts.clear();
    Candidates = candidates(Call);
    Best = Choose(Candidates, Query, State.RandomSource);
  }
  if (!Best && Call.SkippedAtCapacity)
    return refuse(Call, ErrorCode::RequestWouldMissObjective);
  if (!Best)
    return refuse(Call, regionsOf(Call).includesAll()
                            ? ErrorCode::RequestNoTarget
                            : ErrorCode::RequestOutsideRegions);
  const Candidate &Chosen = Candidates[*Best];
  if (Chosen.HostDistance == Distance::Local)
    return enqueue(Call);
  sendToPeer(Call, Chosen.Node);
}

void Reduction::sendToPeer(MeshCall &Call, const core::NodeId &Peer) {
  KnownHost &Host = *State.Hosts.find(Peer);
  ++Host.InFlight;
  ++Host.SentSinceLoadUpdate;
  Call.Phase = CallPhase::AtPeer;
  Call.CurrentHost = Peer;
  Call.CurrentTarget = Host.Report.Target->Id;
  Call.Attempt = core::AttemptId(++State.LastAttempt);
  Call.SentAt = Now;
  request::StartAttempt Start;
  Start.Id = Call.Id;
  Start.Attempt = Call.Attempt;
  Start.To.Node = Peer;
  Start.To.Address =
      fmt::format("{}:{}", Host.Report.Address, State.Settings.PeerPort);
  Start.To.Target = Host.Report.Target->Id;
  Start.To.Version = Host.Report.Target->Version;
  Start.Deadline = Call.Deadline;
  Start.Service = Call.Service;
  Start.Route = Call.Terms.Route;
  Start.Caller = Call.Caller;
  Start.HoldAnswer = true;
  Start.NeedsVerifiedConnection = !Call.Terms.Idempotent;
  Start.Terms = Call.Terms;
  // The host observes neither the transfer of the request nor that of the
  // answer.
  Start.Terms->ObjectiveLeft = std::chrono::duration_cast<core::Milliseconds>(
      Call.Objective - Now - roundTripTime(Host.HostDistance));
  Produced.emplace_back(std::move(Start));
}

/// Estimates when a retry finds capacity: the time until the least loaded
/// target has processed the requests that exceed its slots. Jitter keeps
/// callers that were refused together from retrying together.
core::Milliseconds Reduction::retryAfter(const MeshCall &Call) {
  double MinimumMs = static_cast<double>(MaximumRetryAfter.count());
  const auto Consider = [&MinimumMs](const TargetLoad &Load) {
    const double Total = Load.Running + Load.Waiting + 1.0;
    const double Slots = std::max<std::uint32_t>(Load.Slots, 1);
    const double Excess = std::max(0.0, Total - Slots);
    MinimumMs = std::min(
        MinimumMs,
        Excess / Slots * static_cast<double>(Load.MeanResponseTime.count()));
  };
  const AllowedRegions Regions = regionsOf(Call);
  const auto Local = localTargetReport(State);
  if (Local && Local->Service == Call.Service &&
      Local->State == TargetState::Ready &&
      Regions.includes(State.Settings.Region) &&
      !isEvacuated(State, State.Settings.DataCentre))
    Consider(Local->Load);
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (Host.Report.Target && Host.Report.Target->Service == Call.Service &&
        Host.Report.Target->State == TargetState::Ready &&
        Regions.includes(Host.Report.Region) &&
        !isEvacuated(State, Host.Report.DataCentre))
      Consider(Host.Report.Target->Load);
  const double Jitter = 0.75 + 0.5 * State.RandomSource.unit();
  const core::Milliseconds Delay(static_cast<std::int64_t>(MinimumMs * Jitter));
  return std::clamp(Delay, MinimumRetryAfter, MaximumRetryAfter);
}

} // namespace filbertvane::decision::mesh
