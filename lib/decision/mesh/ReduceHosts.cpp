#include "Reduction.h"
#include "filbertvane/core/Digest.h"
#include "filbertvane/decision/mesh/Evacuations.h"
#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace filbertvane::decision::mesh {

using core::ErrorCode;

namespace {

/// Time that this node waits for its own store connection to deliver records
/// that another node already holds; the store sends its answers to both at the
/// same time.
constexpr core::Milliseconds RemoteFetchDelay{300};
/// The same when a node of the data centre holds the records and this node does
/// not follow the store; combines changes in quick succession.
constexpr core::Milliseconds LocalFetchDelay{20};
/// Time in which a follower reads a change and reports it: it waits 700 ms
/// between two reads.
constexpr core::Milliseconds NoticeTime{1000};
/// Interval at which records that differ are fetched from one node again.
constexpr core::Milliseconds LostFetchInterval{2000};
/// After a restore, difference between the times at which two nodes of a data
/// centre read the list, and the latest of them. A change has to be in force
/// 2.5 s after its acknowledgement.
constexpr core::Milliseconds ListReadStagger{250};
constexpr core::Milliseconds MaximumListReadDelay{2000};
/// Time between the reports that two nodes write again: 200 a second, half of
/// what the smallest store takes.
constexpr core::Milliseconds RepublishInterval{5};
constexpr const char *FollowTask = "follow-store";
constexpr const char *WatchTask = "watch-store";
/// Time for which a node that shuts down keeps serving other nodes. Its target
/// goes on running, so that only the rest of the shutdown and the start of the
/// next process leave the target without requests.
constexpr core::Milliseconds PeerServiceAfterShutdown{1500};
/// Time for which a node that shuts down accepts requests with any deadline.
/// Callers have noticed the shutdown by then; a later request is accepted only
/// if its deadline is before the exit of the process.
constexpr core::Milliseconds FullServiceAfterShutdown{2500};

} // namespace

void Reduction::operator()(const ReportReceived &Received) {
  const HostReport &Report = Received.Report;
  const auto Change = State.Hosts.applyReport(Report, Now);
  if (!Change)
    return;
  State.Lag.note(Report.Position, State.Position, Now);
  for (const MoveReport &Move : Report.Moves)
    State.Moves.applyReport(Move, Now, State.Position.era());
  recordPeerExit(Report);
  recordSuspects(Report);
  if (Report.RecipientDeparted && adoptDeparture(*Report.RecipientDeparted) &&
      State.StoreReachable)
    Produced.emplace_back(PublishReport{makeHostReport(State, Now)});
  if (Change->Restarted)
    State.Quotas.endLoansBefore({Report.Node, Report.Incarnation}, Now);
  const bool Joined = Change->New || Change->Restarted;
  if (Joined)
    log(observe::EventId::MeshHostJoined,
        fmt::format("host={} start={} address={} restarted={}",
                    Report.Node.value(), Report.Incarnation.value(),
                    Report.Address, Change->Restarted));
  const KnownHost &Sender = *State.Hosts.find(Report.Node);
  // The sender may not know this node yet. It is told of a departure until its
  // own reports have it, since a datagram can be lost.
  if (Joined || Sender.FormerDeparted) {
    HostReport Reply = makeHostReport(State, Now);
    Reply.RecipientDeparted = Sender.FormerDeparted;
    Produced.emplace_back(SendReport{std::move(Reply), {Report.Address}});
  }
}

void Reduction::recordPeerExit(const HostReport &Report) {
  if (!Report.ExitsIn) {
    State.PeerExits.erase(Report.Node);
    return;
  }
  const auto [Entry, First] =
      State.PeerExits.insert_or_assign(Report.Node, Now + *Report.ExitsIn);
  // Later reports of one shutdown differ by the time that they travelled.
  if (First)
    boundQueuedCallsByExit();
}

void Reduction::operator()(const StoredReportsRead &Stored) {
  State.HostListRead = true;
  std::vector<std::string> NewAddresses;
  for (const HostReport &Report : Stored.Reports) {
    recordSuspects(Report);
    if (Report.Node == State.Settings.Node) {
      State.KnownToAll = true;
      applyFormerReport(Report);
    } else if (State.Hosts.addFromStore(Report, Now)) {
      NewAddresses.push_back(Report.Address);
    }
  }
  if (!NewAddresses.empty())
    reportTo(std::move(NewAddresses));
}

/// A previous process of this node may have acknowledged the departure of the
/// target. It may also have done so while it could not reach the store; that
/// the report says nothing of a departure is therefore no reason to use the
/// target before it announces itself.
void Reduction::applyFormerReport(const HostReport &Former) {
  if (Former.Departed)
    adoptDeparture(*Former.Departed);
  if (!Former.Target || Former.Address != State.Settings.Address)
    return;
  State.FormerLimit = {Former.Target->Id, Former.Target->RequestsPerSecond};
  applyFormerLimit();
}

/// An answer of the target itself counts more than what the previous process
/// knew. The target may announce itself before or after the store is read.
void Reduction::applyFormerLimit() {
  if (!State.FormerLimit || !State.Target || State.Target->Answered ||
      State.Target->Announcement.Id != State.FormerLimit->Target)
    return;
  State.Slots.setRateLimit(State.FormerLimit->PerSecond, Now);
  State.RateLimitPublished = State.FormerLimit->PerSecond.has_value();
  State.FormerLimit.reset();
}

void Reduction::operator()(const EvacuationOrdered &Order) {
  const auto Known = State.Evacuations.find(Order.DataCentre);
  if (Known != State.Evacuations.end() && Order.Renumbered) {
    Known->second.OrderPosition = Order.OrderPosition;
    return;
  }
  if (Known != State.Evacuations.end() &&
      Known->second.OrderPosition >= Order.OrderPosition)
    return;
  State.Evacuations.insert_or_assign(Order.DataCentre, Order);
  log(observe::EventId::MeshEvacuationOrdered,
      fmt::format("data_centre={} active={} offset={}",
                  Order.DataCentre.value(), Order.Active,
                  Order.OrderPosition.offset().value()));
  // Requests that run end in order; those that wait would reach the target
  // after the evacuation.
  if (Order.Active && Order.DataCentre == State.Settings.DataCentre)
    refuseQueued(ErrorCode::RequestEvacuated, {});
  if (!Order.Active && Order.DataCentre == State.Settings.DataCentre &&
      State.Target) {
    State.Target->MayBeCold = true;
    applyColdLimit();
  }
}

void Reduction::operator()(const RoutingLoaded &Loaded) {
  const core::ConfigVersion Version = Loaded.Table->routing().Version;
  if (State.Routing && State.Routing->routing().Version >= Version)
    return;
  State.Routing = Loaded.Table;
  State.TargetCalls.configured(Loaded.Table->routing(), State.Settings.Service,
                               State.Settings.RetriesKnownSince);
  std::erase_if(State.Routes, [&](const auto &Entry) {
    return std::ranges::none_of(
        Loaded.Table->routing().Routes,
        [&](const auto &Route) { return Route.Name == Entry.first; });
  });
  log(observe::EventId::MeshRoutingApplied,
      fmt::format("config={} routes={}", Version.value(),
                  Loaded.Table->routing().Routes.size()));
  for (const config::HostRoute &Route : Loaded.Table->routing().Routes)
    if (Route.UnknownKind)
      log(observe::EventId::MeshRouteKindUnknown,
          fmt::format("route={} kind={}", Route.Name.value(),
                      *Route.UnknownKind));
  State.Quotas.setRouting(Loaded.Table);
  State.NextQuotaFleetAt = Now;
  updateQuotaFleet();
  serveAwaitingQuota();
  applyColdLimit();
  refuseWithdrawnKeys();
  refuseQueuedOutsideRegions();
  updateReadiness();
}

void Reduction::operator()(const PositionReached &Reached) {
  recordLost(Reached);
  if (!isLater(Reached.Position, State.Position))
    return;
  State.Position = Reached.Position;
  enterEra(Reached.Position.era());
  State.Lag.reach(State.Position);
  fetchMissingRecords();
  updateOutdated();
  reportPosition();
}

void Reduction::recordLost(const PositionReached &Reached) {
  if (Reached.LostDigest == State.LostDigest)
    return;
  State.LostRecords = Reached.LostRecords;
  State.LostDigest = Reached.LostDigest;
  const bool Any = State.LostRecords > 0;
  if (!Any)
    State.LostSince.reset();
  else if (!State.LostSince)
    State.LostSince = Now;
  log(Any ? observe::EventId::MeshRecordsLost
          : observe::EventId::MeshRecordsBack,
      fmt::format("records={} era={} position={}", State.LostRecords,
                  Reached.Position.era().value(),
                  Reached.Position.offset().value()));
}

void Reduction::operator()(const StoreRestored &Restored) {
  enterEra(Restored.Era);
}

/// The first nodes of the data centre read the list at once; the others wait
/// for what they find, so that a restore doesn't make the whole fleet read it.
/// A node that calls the store seldom learns of the era from other nodes.
void Reduction::enterEra(core::StoreEra Era) {
  if (State.Era && Era <= *State.Era)
    return;
  const bool IsFirst = !State.Era;
  State.Era = Era;
  if (IsFirst && State.Position.era() == Era)
    return;
  log(observe::EventId::MeshStoreRestored,
      fmt::format("era={} read_era={} position={}", Era.value(),
                  State.Position.era().value(),
                  State.Position.offset().value()));
  const std::size_t Rank = localFollowRank();
  const core::Milliseconds ListDelay =
      Rank < StoreFollowersPerDataCentre
          ? core::Milliseconds(0)
          : std::min(ListReadStagger * static_cast<int>(Rank),
                     MaximumListReadDelay);
  const core::Milliseconds Spread =
      RepublishInterval * static_cast<int>(State.Hosts.hosts().size() + 1);
  State.PublishNotBefore =
      Now + core::Milliseconds(State.RandomSource.below(
                static_cast<std::uint64_t>(Spread.count())));
  Produced.emplace_back(
      RecoverFromRestore{Era, Now + ListDelay, State.PublishNotBefore});
  rewriteMoveStates();
}

/// Rank of this node among those of its data centre that may follow the store,
/// whether or not they reach it now.
std::size_t Reduction::localFollowRank() const {
  const std::uint64_t LocalScore =
      core::rendezvousScore(FollowTask, State.Settings.Node.value());
  return static_cast<std::size_t>(
      std::ranges::count_if(State.Hosts.hosts(), [&](const auto &Entry) {
        const auto &[Node, Host] = Entry;
        return Host.HostDistance == Distance::SameDataCentre &&
               !Host.Report.Leaving && !State.Hosts.isSuspect(Host, Now) &&
               core::rendezvousScore(FollowTask, Node.value()) > LocalScore;
      }));
}

void Reduction::operator()(const StoreReachabilityChanged &Change) {
  if (State.StoreReachable == Change.Reachable)
    return;
  State.StoreReachable = Change.Reachable;
  log(Change.Reachable ? observe::EventId::MeshStoreReachable
                       : observe::EventId::MeshStoreUnreachable,
      fmt::format("position={}", State.Position.offset().value()));
  // A new node publishes once its target is known, so that one write covers
  // both; `MeshProcess` publishes later if no target announces itself.
  if (Change.Reachable && Now >= State.PublishNotBefore)
    Produced.emplace_back(PublishReport{makeHostReport(State, Now)});
  // When this node loses the store, another one has to follow it.
  if (!Change.Reachable)
    reportToAll();
}

void Reduction::operator()(const ServiceAssigned &Assigned) {
  State.Settings.Service = Assigned.Service;
}

void Reduction::operator()(const ShutdownRequested &Shutdown) {
  if (State.Draining)
    return;
  State.Draining = true;
  State.ShutdownDeadline = Shutdown.Deadline;
  State.AcceptsAllUntil = Now + FullServiceAfterShutdown;
  State.ReportLeavingAt = Now + PeerServiceAfterShutdown;
  updateReadiness();
  // Requests of this node wait at other hosts as well.
  reportToAll();
  boundQueuedCallsByExit();
}

/// A request without a whole answer is told its outcome; the end of the
/// connection alone would not tell whether it ran.
void Reduction::operator()(const ExitDue &) {
  std::vector<core::CallId> Open;
  for (const auto &[Id, Call] : State.Calls)
    if (!Call.AnswerStarted)
      Open.push_back(Id);
  for (const core::CallId Id : Open) {
    MeshCall *Call = find(Id);
    if (Call == nullptr)
      continue;
    const bool Unsent = Call->isUnsent();
    abandon(*Call);
    if (Unsent)
      refuse(*Call, ErrorCode::RequestDraining);
    else
      endWithUnknownOutcome(*Call, ErrorCode::RequestDraining);
  }
}

void Reduction::reportLeavingIfDue() {
  if (!State.Draining || State.LeavingReported || Now < State.ReportLeavingAt)
    return;
  State.LeavingReported = true;
  reportToAll();
  // Processes that start later divide the quotas among the nodes that are left.
  State.Quotas.retire();
  if (State.StoreReachable && State.Routing && State.Routing->hasQuotas())
    Produced.emplace_back(PublishReport{makeHostReport(State, Now)});
}

void Reduction::updateReadiness() {
  const bool Ready = State.Routing && !State.Draining && !State.Outdated;
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
  std::vector<std::string> Addresses;
  for (const auto &[Node, Host] : State.Hosts.hosts())
    Addresses.push_back(Host.Report.Address);
  reportTo(std::move(Addresses));
}

/// Sends reports to the same data centre once per report period, and to other
/// data centres once per remote report period.
void Reduction::sendPeriodicReports() {
  if (Now < State.NextReportAt)
    return;
  // The jitter keeps nodes that started together from reporting simultaneously.
  const auto Jitter = core::Milliseconds(State.RandomSource.below(50));
  State.NextReportAt = Now + ReportPeriod + Jitter;
  const bool RemoteDue = Now >= State.NextRemoteReportAt;
  if (RemoteDue)
    State.NextRemoteReportAt =
        Now + State.Hosts.remoteReportPeriod() - ReportPeriod / 2;
  std::vector<std::string> Addresses;
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (Host.HostDistance == Distance::SameDataCentre || RemoteDue)
      Addresses.push_back(Host.Report.Address);
  reportTo(std::move(Addresses));
}

/// At the same position, another node may have records that the store has lost,
/// know that a record of the store is an older one, or have read the removal of
/// a record that this node takes for lost. What was fetched is not fetched
/// again soon: entries may have changed on the way.
bool Reduction::hasMissingRecords(const KnownHost &Host) const {
  const HostReport &Report = Host.Report;
  if (isLater(Report.Position, State.Position))
    return true;
  return Report.Position == State.Position &&
         Report.LostRecords != State.LostDigest &&
         (Report.LostRecords != State.FetchedDigest ||
          Now - State.LastFetchAt >= LostFetchInterval);
}

/// Records usually arrive over the node's own store connection first. When it
/// is cut or silent, they are fetched from another node.
void Reduction::fetchMissingRecords() {
  std::vector<const KnownHost *> Nearest;
  for (const auto &[Node, Host] : State.Hosts.hosts()) {
    if (!hasMissingRecords(Host) || State.Hosts.isSuspect(Host, Now))
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
  // A random host among the nearest is asked, so that no single link carries
  // the records for the whole data centre.
  const KnownHost *Ahead = Nearest[State.RandomSource.below(Nearest.size())];
  const bool WithinDataCentre =
      Ahead->HostDistance == Distance::SameDataCentre && !State.FollowsStore;
  if (Now - std::max(*State.BehindSince, State.LastFetchAt) <
      (WithinDataCentre ? LocalFetchDelay : RemoteFetchDelay))
    return;
  State.LastFetchAt = Now;
  State.FetchedDigest = Ahead->Report.LostRecords;
  Produced.emplace_back(FetchRecords{Ahead->Report.Address});
}

/// One host that alone has a change and can't hand it out must not stop the
/// others; hosts that have not reported since may be gone.
bool Reduction::lacksRecords() const {
  const auto Missing = State.Lag.oldest();
  if (!Missing || !State.Settings.ConfigurationTime)
    return false;
  const core::Microseconds Allowed = std::max<core::Microseconds>(
      core::Microseconds(0), *State.Settings.ConfigurationTime - NoticeTime);
  if (Now < Missing->ReportedAt + Allowed)
    return false;
  std::size_t Reporting = 0;
  std::size_t Having = 0;
  for (const auto &[Node, Host] : State.Hosts.hosts()) {
    if (Host.FromStoreOnly || Host.LastReportAt < Missing->ReportedAt)
      continue;
    ++Reporting;
    Having += isLater(Missing->Position, Host.Report.Position) ? 0 : 1;
  }
  return 2 * Having > Reporting;
}

void Reduction::updateOutdated() {
  const bool Outdated = lacksRecords();
  if (Outdated == State.Outdated)
    return;
  State.Outdated = Outdated;
  log(Outdated ? observe::EventId::MeshConfigurationOutdated
               : observe::EventId::MeshConfigurationCurrent,
      fmt::format("position={} missing={}", State.Position.offset().value(),
                  Outdated ? State.Lag.oldest()->Position.offset().value()
                           : 0));
  updateReadiness();
}

/// Notifies the own data centre and some hosts of each other data centre of new
/// records at once.
void Reduction::reportPosition() {
  std::vector<std::string> Recipients;
  std::map<core::DataCentreId, std::vector<std::string>> RemoteAddresses;
  for (const auto &[Node, Host] : State.Hosts.hosts()) {
    if (!isLater(State.Position, Host.Report.Position))
      continue;
    if (Host.HostDistance == Distance::SameDataCentre)
      Recipients.push_back(Host.Report.Address);
    else if (State.FollowsStore)
      RemoteAddresses[Host.Report.DataCentre].push_back(Host.Report.Address);
  }
  for (const auto &[Centre, Addresses] : RemoteAddresses) {
    const std::size_t First = State.RandomSource.below(Addresses.size());
    const std::size_t Count =
        std::min(NotifiedHostsPerDataCentre, Addresses.size());
    for (std::size_t I = 0; I < Count; ++I)
      Recipients.push_back(Addresses[(First + I) % Addresses.size()]);
  }
  reportTo(std::move(Recipients));
}

bool Reduction::canFollow(const KnownHost &Host) const {
  return Host.Report.StoreReachable && !Host.Report.Leaving &&
         !State.Hosts.isSuspect(Host, Now);
}

/// An answer can be lost while its connection seems to be open, which only the
/// end of the read shows. The first follower of some data centres therefore has
/// its reads answered soon; the nodes whose long reads were lost fetch the
/// records that it finds.
void Reduction::updateStoreWatching(bool FirstFollower) {
  const std::uint64_t LocalScore =
      core::rendezvousScore(WatchTask, State.Settings.DataCentre.value());
  std::set<core::DataCentreId> RankedHigher;
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (Host.HostDistance != Distance::SameDataCentre && canFollow(Host) &&
        core::rendezvousScore(WatchTask, Host.Report.DataCentre.value()) >
            LocalScore)
      RankedHigher.insert(Host.Report.DataCentre);
  const bool Watches =
      FirstFollower && RankedHigher.size() < WatchingDataCentres;
  if (Watches == State.WatchesStore)
    return;
  State.WatchesStore = Watches;
  Produced.emplace_back(SetReadHold{Watches ? WatchReadHold : LongReadHold});
}

/// The nodes of the data centre with the highest rendezvous scores follow the
/// store. A node that cannot reach the store keeps trying, but does not count
/// as a follower.
void Reduction::updateStoreFollowing() {
  const std::uint64_t LocalScore =
      core::rendezvousScore(FollowTask, State.Settings.Node.value());
  std::size_t RankedHigher = 0;
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (Host.HostDistance == Distance::SameDataCentre && canFollow(Host) &&
        core::rendezvousScore(FollowTask, Node.value()) > LocalScore)
      ++RankedHigher;
  updateStoreWatching(RankedHigher == 0);
  const bool Follow = RankedHigher < StoreFollowersPerDataCentre ||
                      !State.Routing || !State.StoreReachable;
  if (Follow == State.FollowsStore)
    return;
  State.FollowsStore = Follow;
  Produced.emplace_back(FollowStore{Follow});
}

std::size_t Reduction::rankFor(const std::string &Task) const {
  const std::uint64_t LocalScore =
      core::rendezvousScore(Task, State.Settings.Node.value());
  std::size_t Rank = 0;
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (!Host.Report.Leaving && !State.Hosts.isSuspect(Host, Now) &&
        core::rendezvousScore(Task, Node.value()) > LocalScore)
      ++Rank;
  return Rank;
}

} // namespace filbertvane::decision::mesh
