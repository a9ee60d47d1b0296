#include "Reduction.h"
#include "filbertvane/core/Digest.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

namespace {

/// Time that the own connection to the store has for records that another node
/// already holds; the store's answers to both leave it together.
constexpr core::Milliseconds FetchAfter{300};
/// The same where a node of the data centre holds the records and this one does
/// not follow the store; it gathers changes in quick succession.
constexpr core::Milliseconds NearFetchAfter{20};
constexpr const char *FollowDuty = "follow-store";
/// Time for which a stopping node serves other nodes like before. Its target
/// goes on while callers of the host learn of the stop, so that only the rest
/// of the stop and the start of the next process leave the target without work.
constexpr core::Milliseconds ServeOthersAfterStop{1500};
/// Time for which a stopping node takes requests of any deadline. Callers know
/// by then; one that still comes is taken only if it ends before the process.
constexpr core::Milliseconds TakeAllAfterStop{2500};

} // namespace

void Reduction::operator()(const ReportHeard &What) {
  const HostReport &Report = What.What;
  const auto Change = State.Hosts.hear(Report, Now);
  if (!Change)
    return;
  for (const MoveReport &Move : Report.Moves)
    State.Moves.hear(Move, Now);
  if (Change->New || Change->Restarted) {
    log(observe::EventId::MeshHostHeard,
        fmt::format("host={} start={} address={} restarted={}",
                    Report.Node.value(), Report.Start.value(), Report.Address,
                    Change->Restarted));
    // The other one may not know this node yet.
    reportTo({Report.Address});
  }
}

void Reduction::operator()(const ReportsLearned &What) {
  std::vector<std::string> Fresh;
  for (const HostReport &Report : What.All) {
    if (Report.Node == State.Own.Node)
      learnOwn(Report);
    else if (State.Hosts.learn(Report, Now))
      Fresh.push_back(Report.Address);
  }
  if (!Fresh.empty())
    reportTo(std::move(Fresh));
}

/// A former process of this node may have acknowledged that the target leaves.
void Reduction::learnOwn(const HostReport &Former) {
  if (Former.Left && !State.Left) {
    State.Left = Former.Left;
    State.LeftAt = Now;
    if (State.Target && leaves(State.Target->Last))
      setTargetState(TargetState::Draining, "known_to_leave");
  }
  if (!State.Target && Former.Target && Former.Address == State.Own.Address)
    inheritTarget(*Former.Target);
}

/// The target goes on while its node is restarted, and announces itself seconds
/// later. A request names the target that it is for, so that another one at the
/// same address runs nothing.
void Reduction::inheritTarget(const TargetReport &Former) {
  const bool Left = State.Left && State.Left->Id == Former.Id;
  if (Left || Former.State != TargetState::Ready || Former.Load.Slots == 0 ||
      Former.Service != State.Own.Service)
    return;
  TargetAnnounced Known;
  Known.Id = Former.Id;
  Known.Service = Former.Service;
  Known.Version = Former.Version;
  Known.Slots = Former.Load.Slots;
  targetReplaced(Known);
  State.Target->Inherited = true;
  State.Target->Last = Known;
  State.Target->HeardAt = Now;
  State.Target->WarmAt = Now;
  State.Slots.resize(Known.Slots);
  reportToAll();
}

void Reduction::operator()(const RoutingLearned &What) {
  const core::ConfigVersion Version = What.Table->routing().Version;
  if (State.Routing && State.Routing->routing().Version >= Version)
    return;
  State.Routing = What.Table;
  std::erase_if(State.Routes, [&](const auto &Entry) {
    return std::ranges::none_of(
        What.Table->routing().Routes,
        [&](const auto &Route) { return Route.Name == Entry.first; });
  });
  log(observe::EventId::MeshRoutingInForce,
      fmt::format("config={} routes={}", Version.value(),
                  What.Table->routing().Routes.size()));
  checkReady();
}

void Reduction::operator()(const PositionReached &What) {
  if (What.Position <= State.Position)
    return;
  State.Position = What.Position;
  checkPosition();
  tellPosition();
}

void Reduction::operator()(const StoreChanged &What) {
  if (State.StoreReachable == What.Reachable)
    return;
  State.StoreReachable = What.Reachable;
  log(What.Reachable ? observe::EventId::MeshStoreRegained
                     : observe::EventId::MeshStoreLost,
      fmt::format("position={}", State.Position.value()));
  // A new node publishes once its target is known, so that one write tells
  // both; `MeshProcess` does so later where no target announces itself.
  if (What.Reachable)
    Out.emplace_back(PublishReport{ownReport(State, Now)});
  // Where the store turns this node away, another one has to follow it.
  if (!What.Reachable)
    reportToAll();
}

void Reduction::operator()(const ServiceAssigned &What) {
  State.Own.Service = What.Service;
}

void Reduction::operator()(const StopAnnounced &What) {
  if (State.Draining)
    return;
  State.Draining = true;
  State.StopsAt = What.Latest;
  State.TakesAllUntil = Now + TakeAllAfterStop;
  State.LeavesAt = Now + ServeOthersAfterStop;
  checkReady();
}

void Reduction::checkLeaving() {
  if (!State.Draining || State.LeavingTold || Now < State.LeavesAt)
    return;
  State.LeavingTold = true;
  reportToAll();
}

void Reduction::checkReady() {
  const bool Ready = State.Routing && !State.Draining;
  if (Ready == State.Ready)
    return;
  State.Ready = Ready;
  Out.emplace_back(ReadinessChanged{Ready});
}

void Reduction::reportTo(std::vector<std::string> Addresses) {
  if (!Addresses.empty())
    Out.emplace_back(SendReport{ownReport(State, Now), std::move(Addresses)});
}

void Reduction::reportToAll() {
  std::vector<std::string> All;
  for (const auto &[Node, Host] : State.Hosts.hosts())
    All.push_back(Host.Report.Address);
  reportTo(std::move(All));
}

/// Hosts of the own data centre hear in each period, others in each of their
/// own, longer ones.
void Reduction::reportInTurn() {
  if (Now < State.NextReport)
    return;
  // The spread keeps nodes that started together from reporting together.
  const auto Spread = core::Milliseconds(State.Source.below(50));
  State.NextReport = Now + ReportPeriod + Spread;
  const bool FarToo = Now >= State.NextFarReport;
  if (FarToo)
    State.NextFarReport = Now + State.Hosts.farPeriod() - ReportPeriod / 2;
  std::vector<std::string> Chosen;
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (Host.Away == Distance::DataCentre || FarToo)
      Chosen.push_back(Host.Report.Address);
  reportTo(std::move(Chosen));
}

/// The own connection to the store usually brings records first. Where it does
/// not, for a cut or a silent connection, another node has them.
void Reduction::checkPosition() {
  std::vector<const KnownHost *> Nearest;
  for (const auto &[Node, Host] : State.Hosts.hosts()) {
    if (Host.Report.Position <= State.Position ||
        State.Hosts.doubtful(Host, Now))
      continue;
    if (!Nearest.empty() && Host.Away < Nearest.front()->Away)
      Nearest.clear();
    if (Nearest.empty() || Host.Away == Nearest.front()->Away)
      Nearest.push_back(&Host);
  }
  if (Nearest.empty()) {
    State.BehindSince.reset();
    return;
  }
  if (!State.BehindSince)
    State.BehindSince = Now;
  // Each host that has the records hands them on, so that no link carries them
  // for the whole data centre.
  const KnownHost *Ahead = Nearest[State.Source.below(Nearest.size())];
  const bool Near = Ahead->Away == Distance::DataCentre && !State.Follows;
  if (Now - *State.BehindSince < (Near ? NearFetchAfter : FetchAfter))
    return;
  State.BehindSince = Now;
  Out.emplace_back(FetchRecords{Ahead->Report.Address});
}

/// New records are told at once to the own data centre and to some hosts of
/// each other one.
void Reduction::tellPosition() {
  std::vector<std::string> Told;
  std::map<core::DataCentreId, std::vector<std::string>> Others;
  for (const auto &[Node, Host] : State.Hosts.hosts()) {
    if (Host.Report.Position >= State.Position)
      continue;
    if (Host.Away == Distance::DataCentre)
      Told.push_back(Host.Report.Address);
    else if (State.Follows)
      Others[Host.Report.DataCentre].push_back(Host.Report.Address);
  }
  for (const auto &[Centre, Addresses] : Others) {
    const std::size_t First = State.Source.below(Addresses.size());
    const std::size_t Count = std::min(ToldPerDataCentre, Addresses.size());
    for (std::size_t I = 0; I < Count; ++I)
      Told.push_back(Addresses[(First + I) % Addresses.size()]);
  }
  reportTo(std::move(Told));
}

/// The first nodes of the data centre by rank follow the store. A node that the
/// store does not answer keeps trying, but does not count as a follower.
void Reduction::checkReading() {
  const std::uint64_t Own =
      core::rendezvousScore(FollowDuty, State.Own.Node.value());
  std::size_t Before = 0;
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (Host.Away == Distance::DataCentre && Host.Report.StoreReachable &&
        !Host.Report.Leaving && !State.Hosts.doubtful(Host, Now) &&
        core::rendezvousScore(FollowDuty, Node.value()) > Own)
      ++Before;
  const bool Follow = Before < FollowersPerDataCentre || !State.Routing ||
                      !State.StoreReachable;
  if (Follow == State.Follows)
    return;
  State.Follows = Follow;
  Out.emplace_back(FollowStore{Follow});
}

std::size_t Reduction::rankFor(const std::string &Duty) const {
  const std::uint64_t Own = core::rendezvousScore(Duty, State.Own.Node.value());
  std::size_t Rank = 0;
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (!Host.Report.Leaving && !State.Hosts.doubtful(Host, Now) &&
        core::rendezvousScore(Duty, Node.value()) > Own)
      ++Rank;
  return Rank;
}

} // namespace filbertvane::decision::mesh
