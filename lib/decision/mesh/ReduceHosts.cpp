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

void Reduction::operator()(const ReportReceived &What) {
  const HostReport &Report = What.Report;
  const auto Change = State.Hosts.applyReport(Report, Now);
  if (!Change)
    return;
  for (const MoveReport &Move : Report.Moves)
    State.Moves.applyReport(Move, Now);
  if (Change->New || Change->Restarted) {
    log(observe::EventId::MeshHostJoined,
        fmt::format("host={} start={} address={} restarted={}",
                    Report.Node.value(), Report.Incarnation.value(),
                    Report.Address, Change->Restarted));
    // The other one may not know this node yet.
    reportTo({Report.Address});
  }
}

void Reduction::operator()(const StoredReportsRead &What) {
  std::vector<std::string> Fresh;
  for (const HostReport &Report : What.Reports) {
    if (Report.Node == State.Settings.Node)
      applyFormerReport(Report);
    else if (State.Hosts.addFromStore(Report, Now))
      Fresh.push_back(Report.Address);
  }
  if (!Fresh.empty())
    reportTo(std::move(Fresh));
}

/// A former process of this node may have acknowledged that the target leaves.
void Reduction::applyFormerReport(const HostReport &Former) {
  if (Former.Departed && !State.Departed) {
    State.Departed = Former.Departed;
    State.DepartedAt = Now;
    if (State.Target && hasDeparted(State.Target->Announcement))
      setTargetState(TargetState::Draining, "known_to_leave");
  }
  if (!State.Target && Former.Target &&
      Former.Address == State.Settings.Address)
    inheritTarget(*Former.Target);
}

/// The target goes on while its node is restarted, and announces itself seconds
/// later. A request names the target that it is for, so that another one at the
/// same address runs nothing.
void Reduction::inheritTarget(const TargetReport &Former) {
  const bool Left = State.Departed && State.Departed->Id == Former.Id;
  if (Left || Former.State != TargetState::Ready || Former.Load.Slots == 0 ||
      Former.Service != State.Settings.Service)
    return;
  TargetAnnounced Known;
  Known.Id = Former.Id;
  Known.Service = Former.Service;
  Known.Version = Former.Version;
  Known.Slots = Former.Load.Slots;
  replaceTarget(Known);
  State.Target->Inherited = true;
  State.Target->Announcement = Known;
  State.Target->LastAnnouncedAt = Now;
  State.Target->WarmAt = Now;
  State.Slots.resize(Known.Slots);
  reportToAll();
}

void Reduction::operator()(const RoutingLoaded &What) {
  const core::ConfigVersion Version = What.Table->routing().Version;
  if (State.Routing && State.Routing->routing().Version >= Version)
    return;
  State.Routing = What.Table;
  std::erase_if(State.Routes, [&](const auto &Entry) {
    return std::ranges::none_of(
        What.Table->routing().Routes,
        [&](const auto &Route) { return Route.Name == Entry.first; });
  });
  log(observe::EventId::MeshRoutingApplied,
      fmt::format("config={} routes={}", Version.value(),
                  What.Table->routing().Routes.size()));
  updateReadiness();
}

void Reduction::operator()(const PositionReached &What) {
  if (What.Position <= State.Position)
    return;
  State.Position = What.Position;
  fetchMissingRecords();
  reportPosition();
}

void Reduction::operator()(const StoreReachabilityChanged &What) {
  if (State.StoreReachable == What.Reachable)
    return;
  State.StoreReachable = What.Reachable;
  log(What.Reachable ? observe::EventId::MeshStoreReachable
                     : observe::EventId::MeshStoreUnreachable,
      fmt::format("position={}", State.Position.value()));
  // A new node publishes once its target is known, so that one write tells
  // both; `MeshProcess` does so later where no target announces itself.
  if (What.Reachable)
    Produced.emplace_back(PublishReport{makeHostReport(State, Now)});
  // Where the store turns this node away, another one has to follow it.
  if (!What.Reachable)
    reportToAll();
}

void Reduction::operator()(const ServiceAssigned &What) {
  State.Settings.Service = What.Service;
}

void Reduction::operator()(const ShutdownRequested &What) {
  if (State.Draining)
    return;
  State.Draining = true;
  State.ShutdownDeadline = What.Deadline;
  State.AcceptsAllUntil = Now + TakeAllAfterStop;
  State.ReportLeavingAt = Now + ServeOthersAfterStop;
  updateReadiness();
}

void Reduction::reportLeavingIfDue() {
  if (!State.Draining || State.LeavingReported || Now < State.ReportLeavingAt)
    return;
  State.LeavingReported = true;
  reportToAll();
}

void Reduction::updateReadiness() {
  const bool Ready = State.Routing && !State.Draining;
  if (Ready == State.Ready)
    return;
  State.Ready = Ready;
  Produced.emplace_back(ReadinessChanged{Ready});
}

void Reduction::reportTo(std::vector<std::string> Addresses) {
  if (!Addresses.empty())
    Produced.emplace_back(
        SendReport{makeHostReport(State, Now), std::move(Addresses)});
}

void Reduction::reportToAll() {
  std::vector<std::string> All;
  for (const auto &[Node, Host] : State.Hosts.hosts())
    All.push_back(Host.Report.Address);
  reportTo(std::move(All));
}

/// Hosts of the own data centre hear in each period, others in each of their
/// own, longer ones.
void Reduction::sendPeriodicReports() {
  if (Now < State.NextReportAt)
    return;
  // The spread keeps nodes that started together from reporting together.
  const auto Spread = core::Milliseconds(State.RandomSource.below(50));
  State.NextReportAt = Now + ReportPeriod + Spread;
  const bool FarToo = Now >= State.NextRemoteReportAt;
  if (FarToo)
    State.NextRemoteReportAt =
        Now + State.Hosts.remoteReportPeriod() - ReportPeriod / 2;
  std::vector<std::string> Chosen;
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (Host.HostDistance == Distance::SameDataCentre || FarToo)
      Chosen.push_back(Host.Report.Address);
  reportTo(std::move(Chosen));
}

/// The own connection to the store usually brings records first. Where it does
/// not, for a cut or a silent connection, another node has them.
void Reduction::fetchMissingRecords() {
  std::vector<const KnownHost *> Nearest;
  for (const auto &[Node, Host] : State.Hosts.hosts()) {
    if (Host.Report.Position <= State.Position ||
        State.Hosts.isSuspect(Host, Now))
      continue;
    if (!Nearest.empty() && Host.HostDistance < Nearest.front()->HostDistance)
      Nearest.clear();
    if (Nearest.empty() || Host.HostDistance == Nearest.front()->HostDistance)
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
  const KnownHost *Ahead = Nearest[State.RandomSource.below(Nearest.size())];
  const bool Near =
      Ahead->HostDistance == Distance::SameDataCentre && !State.FollowsStore;
  if (Now - *State.BehindSince < (Near ? NearFetchAfter : FetchAfter))
    return;
  State.BehindSince = Now;
  Produced.emplace_back(FetchRecords{Ahead->Report.Address});
}

/// New records are told at once to the own data centre and to some hosts of
/// each other one.
void Reduction::reportPosition() {
  std::vector<std::string> Told;
  std::map<core::DataCentreId, std::vector<std::string>> Others;
  for (const auto &[Node, Host] : State.Hosts.hosts()) {
    if (Host.Report.Position >= State.Position)
      continue;
    if (Host.HostDistance == Distance::SameDataCentre)
      Told.push_back(Host.Report.Address);
    else if (State.FollowsStore)
      Others[Host.Report.DataCentre].push_back(Host.Report.Address);
  }
  for (const auto &[Centre, Addresses] : Others) {
    const std::size_t First = State.RandomSource.below(Addresses.size());
    const std::size_t Count =
        std::min(NotifiedHostsPerDataCentre, Addresses.size());
    for (std::size_t I = 0; I < Count; ++I)
      Told.push_back(Addresses[(First + I) % Addresses.size()]);
  }
  reportTo(std::move(Told));
}

/// The first nodes of the data centre by rank follow the store. A node that the
/// store does not answer keeps trying, but does not count as a follower.
void Reduction::updateStoreFollowing() {
  const std::uint64_t Own =
      core::rendezvousScore(FollowDuty, State.Settings.Node.value());
  std::size_t Before = 0;
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (Host.HostDistance == Distance::SameDataCentre &&
        Host.Report.StoreReachable && !Host.Report.Leaving &&
        !State.Hosts.isSuspect(Host, Now) &&
        core::rendezvousScore(FollowDuty, Node.value()) > Own)
      ++Before;
  const bool Follow = Before < StoreFollowersPerDataCentre || !State.Routing ||
                      !State.StoreReachable;
  if (Follow == State.FollowsStore)
    return;
  State.FollowsStore = Follow;
  Produced.emplace_back(FollowStore{Follow});
}

std::size_t Reduction::rankFor(const std::string &Duty) const {
  const std::uint64_t Own =
      core::rendezvousScore(Duty, State.Settings.Node.value());
  std::size_t Rank = 0;
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (!Host.Report.Leaving && !State.Hosts.isSuspect(Host, Now) &&
        core::rendezvousScore(Duty, Node.value()) > Own)
      ++Rank;
  return Rank;
}

} // namespace filbertvane::decision::mesh
