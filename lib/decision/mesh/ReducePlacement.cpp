#include "Reduction.h"
#include "filbertvane/decision/mesh/LinkPacer.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

using core::ErrorCode;

namespace {

/// Bytes of the heads of a request and its answer on the way between nodes.
constexpr double HeadBytes = 900;

bool contains(const std::vector<core::NodeId> &Nodes,
              const core::NodeId &Node) {
  return std::ranges::find(Nodes, Node) != Nodes.end();
}

bool takes(const HostReport &Host, const core::ServiceName &Service) {
  return !Host.Leaving && Host.Target && Host.Target->Service == Service &&
         Host.Target->State == TargetState::Ready;
}

} // namespace

bool Reduction::hasReady(const core::ServiceName &Service,
                         const core::TargetVersion &Version) const {
  if (State.Target && State.Target->State == TargetState::Ready &&
      State.Target->Last.Service == Service &&
      State.Target->Last.Version == Version)
    return true;
  return std::ranges::any_of(State.Hosts.hosts(), [&](const auto &Entry) {
    const HostReport &Host = Entry.second.Report;
    return takes(Host, Service) && Host.Target->Version == Version;
  });
}

void Reduction::chooseVersion(MeshCall &Call, const VersionShares &Shares) {
  if (Call.ToCandidate || !Shares.Candidate)
    return;
  const std::uint32_t Permille = Shares.CandidatePermille;
  if (!hasReady(Call.Service, *Shares.Candidate)) {
    Call.ToCandidate = false;
    return;
  }
  const std::vector<config::WeightedService> Parts = {
      {core::ServiceName("old"), 1000 - Permille},
      {core::ServiceName("new"), Permille}};
  Call.ToCandidate =
      memoryOf(Call.Service).Candidates.next(Parts).value() == "new";
}

bool Reduction::versionTakes(const MeshCall &Call, const VersionShares &Shares,
                             const core::TargetVersion &Version) const {
  if (Shares.Banned.contains(Version))
    return false;
  if (Shares.Candidate)
    return (Version == *Shares.Candidate) == Call.ToCandidate.value_or(false);
  if (Shares.Only && hasReady(Call.Service, *Shares.Only))
    return Version == *Shares.Only;
  return true;
}

std::vector<Candidate> Reduction::candidates(MeshCall &Call) {
  const VersionShares Shares = State.Moves.shares(Call.Service, Now);
  chooseVersion(Call, Shares);
  const bool Large =
      memoryOf(Call.Terms.Route).AnswerBytes > LinkPacer::BulkBytes;
  std::vector<Candidate> Found;
  const auto Skipped = [&](const core::NodeId &Node) {
    return contains(Call.Tried, Node) || contains(Call.Late, Node);
  };
  const auto Own = ownTargetReport(State);
  if (Own && Own->Service == Call.Service && Own->State == TargetState::Ready &&
      !Skipped(State.Own.Node) && versionTakes(Call, Shares, Own->Version)) {
    const TargetLoad &Load = Own->Load;
    Found.push_back({State.Own.Node, Distance::Own, Load.Running + Load.Waiting,
                     Load.Slots, Load.MeanTime, Own->FaultPermille, false,
                     loadFor(Call).RouteTime});
  }
  for (const auto &[Node, Host] : State.Hosts.hosts()) {
    if (!takes(Host.Report, Call.Service) || Skipped(Node) ||
        !versionTakes(Call, Shares, Host.Report.Target->Version))
      continue;
    // Asking a host of the own data centre again costs no paid bytes, and its
    // answer is worth more.
    if (Host.Away != Distance::DataCentre &&
        HostDirectory::full(Host, {Call.Terms.Route, Call.Terms.AcceptLate},
                            Now)) {
      Call.FullSeen = true;
      continue;
    }
    const TargetReport &Target = *Host.Report.Target;
    const std::uint32_t Reported =
        Target.Load.Running + Target.Load.Waiting + Host.SentSince;
    const auto OnRoute = Host.RouteTimes.find(Call.Terms.Route);
    Found.push_back({Node, Host.Away, std::max(Reported, Host.InFlight),
                     Target.Load.Slots, Target.Load.MeanTime,
                     Target.FaultPermille, State.Hosts.doubtful(Host, Now),
                     OnRoute != Host.RouteTimes.end()
                         ? OnRoute->second
                         : memoryOf(Call.Terms.Route).Time,
                     Large ? Target.Load.LinkWait : core::Milliseconds(0)});
  }
  return Found;
}

void Reduction::place(MeshCall &Call) {
  if (++Call.Placements > MostPlacements)
    return refuse(Call, ErrorCode::RequestRefusedByTarget);
  std::vector<Candidate> Among = candidates(Call);
  const PlacementQuery Query{Call.Route->Objective,
                             HeadBytes +
                                 memoryOf(Call.Terms.Route).AnswerBytes};
  auto Best = choose(Among, Query, State.Source);
  // A large answer from far costs more than one that comes late from near by.
  const bool MustAccept = !Best || Call.Late.size() >= PlacementsOnTime ||
                          expectedLoss(Among[*Best], Query) > LateAnswerLoss;
  if (MustAccept && !Call.Terms.AcceptLate) {
    Call.Terms.AcceptLate = true;
    Call.Late.clear();
    Among = candidates(Call);
    Best = choose(Among, Query, State.Source);
  }
  if (!Best)
    return refuse(Call, Call.FullSeen ? ErrorCode::RequestWouldBeLate
                                      : ErrorCode::RequestNoTarget);
  const Candidate &Chosen = Among[*Best];
  if (Chosen.Away == Distance::Own)
    return enterQueue(Call);
  sendToPeer(Call, Chosen.Node);
}

void Reduction::sendToPeer(MeshCall &Call, const core::NodeId &To) {
  KnownHost &Host = *State.Hosts.find(To);
  ++Host.InFlight;
  ++Host.SentSince;
  Call.Phase = CallPhase::AtPeer;
  Call.At = To;
  Call.Attempt = core::AttemptId(++State.LastAttempt);
  Call.SentAt = Now;
  request::StartAttempt Start;
  Start.Id = Call.Id;
  Start.Attempt = Call.Attempt;
  Start.To.Node = To;
  Start.To.Address =
      fmt::format("{}:{}", Host.Report.Address, State.Own.PeerPort);
  Start.To.Target = Host.Report.Target->Id;
  Start.To.Version = Host.Report.Target->Version;
  Start.Deadline = Call.Deadline;
  Start.Service = Call.Service;
  Start.Route = Call.Terms.Route;
  Start.Caller = Call.Caller;
  Start.HoldAnswer = true;
  Start.NeedsVerifiedConnection = !Call.Terms.Idempotent;
  Start.Terms = Call.Terms;
  // The host sees neither the way of the request nor that of the answer.
  Start.Terms->ObjectiveLeft = std::chrono::duration_cast<core::Milliseconds>(
      Call.Objective - Now - roundTrip(Host.Away));
  Out.emplace_back(std::move(Start));
}

/// A caller that comes back should find room: the time until the least loaded
/// target has worked off what exceeds its slots. It is spread, so that callers
/// who were refused together do not return together.
core::Milliseconds Reduction::returnTime(const MeshCall &Call) {
  double LeastMs = static_cast<double>(LongestReturn.count());
  const auto Consider = [&LeastMs](const TargetLoad &Load) {
    const double Total = Load.Running + Load.Waiting + 1.0;
    const double Slots = std::max<std::uint32_t>(Load.Slots, 1);
    const double Excess = std::max(0.0, Total - Slots);
    LeastMs = std::min(LeastMs, Excess / Slots *
                                    static_cast<double>(Load.MeanTime.count()));
  };
  for (const TargetReport *Target : targetsOf(Call.Service))
    if (Target->State == TargetState::Ready)
      Consider(Target->Load);
  const double Spread = 0.75 + 0.5 * State.Source.unit();
  const core::Milliseconds Time(static_cast<std::int64_t>(LeastMs * Spread));
  return std::clamp(Time, ShortestReturn, LongestReturn);
}

} // namespace filbertvane::decision::mesh
