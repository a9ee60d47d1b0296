#include "MeshProcessImpl.h"
#include "filbertvane/core/Digest.h"
#include "filbertvane/decision/mesh/Gauges.h"
#include "filbertvane/wire/HostReportCodec.h"
#include "filbertvane/wire/QuotaCodec.h"
#include <fmt/format.h>
#include <unistd.h>

namespace filbertvane::io::mesh {

using decision::request::Effects;

namespace {

/// Deadlines of requests are checked at this period.
constexpr core::Milliseconds TickPeriod{50};
/// A longer gap between two ticks is told: the process did not run.
constexpr core::Milliseconds PauseTold{1000};
/// The list of hosts in the store is read again after this time; hosts that
/// start later report to this node themselves.
constexpr core::Seconds HostsReadPeriod{60};
/// While no other host is known, the list is read more often.
constexpr core::Seconds LonelyReadPeriod{2};
/// Idle connections between nodes; a host that lost power closes none of its
/// own, and each kept one takes memory.
constexpr core::Seconds PeerIdleTimeout{16};
/// Callers keep idle connections for less than the configured time.
constexpr core::Seconds IdleReserve{2};
/// Time for the records of another node; they are at most some 100 KB, and a
/// full link delays each packet by a second or more.
constexpr core::Milliseconds FetchTime{5000};
/// Time to open a connection for them; one lost packet is sent again after a
/// second.
constexpr core::Milliseconds FetchConnectTime{1500};
/// Time after which another node is asked as well.
constexpr core::Milliseconds FetchHedgeDelay{400};
constexpr std::size_t MaxFetches = 3;
constexpr std::size_t MaxFetchBytes = std::size_t{4} * 1024 * 1024;

/// Differs between two processes of a host, also when the time of day jumps.
core::Incarnation startNumber(const core::Instant &Now) {
  return core::Incarnation(
      static_cast<std::uint64_t>(Now.Wall.time_since_epoch().count()) * 1024 +
      static_cast<std::uint64_t>(getpid()) % 1024);
}

decide::MeshSettings settingsOf(const MeshPlace &Place,
                                const core::Instant &Now) {
  decide::MeshSettings Own;
  Own.Node = Place.Node;
  Own.DataCentre = Place.DataCentre;
  Own.Region = Place.Region;
  Own.Incarnation = startNumber(Now);
  Own.Address = Place.Address;
  const std::size_t Colon = Place.Peers.rfind(':');
  Own.PeerPort =
      static_cast<std::uint16_t>(std::stoul(Place.Peers.substr(Colon + 1)));
  Own.TargetAddress = Place.TargetAddress;
  Own.Service = Place.Service;
  Own.Budget = Place.Budget;
  Own.TargetDrainTime = Place.TargetDrainTime;
  Own.ConfigurationTime = Place.ConfigurationTime;
  // At the first start of a fleet, no process before this one spent retries.
  Own.RetriesKnownSince =
      Place.FirstStart ? Now.Mono - Place.Budget.Window : Now.Mono;
  // At the first start of a fleet, no process before this one lent anything.
  Own.StartedAt =
      Place.FirstStart ? Now.Mono - decide::quota::LoanTerm : Now.Mono;
  Own.RandomSeed =
      core::digestOf(Place.Node.value()).value() ^ Own.Incarnation.value();
  return Own;
}

template <typename T>
constexpr bool IsRequestEffect =
    std::is_constructible_v<decision::request::Effect, T> &&
    !std::is_same_v<T, observe::LogEvent>;

} // namespace

Process::Process(EventLoop &Loop, HttpClient &Http, MeshPlace Where,
                 std::shared_ptr<const Environment> Surroundings,
                 SharedStore &Store)
    : Loop(Loop), Http(Http), Place(std::move(Where)),
      Surroundings(std::move(Surroundings)), Store(Store),
      State(settingsOf(Place, Loop.now())),
      Log(STDOUT_FILENO, Place.Node.value()), Ticker(Loop, [this] { tick(); }),
      HostsRead(Place.FirstStart) {}

core::Status Process::open() {
  for (const auto Open : {&Process::openEngine, &Process::openReports,
                          &Process::openSmallPorts}) {
    core::Status Opened = (this->*Open)();
    if (!core::ok(Opened))
      return Opened;
  }
  carryOut(observe::LogEvent{
      observe::EventId::ProcessStarted,
      fmt::format("address={} data_centre={} service={}", Place.Address,
                  Place.DataCentre.value(), Place.Service.value())});
  startStore();
  LastTick = Loop.now().Mono;
  HostsReadAt = LastTick;
  Ticker.arm(LastTick + TickPeriod);
  return std::monostate();
}

core::Status Process::openEngine() {
  ProxyEngine::Options Options;
  Options.Callers = Place.Callers;
  Options.Peers = Place.Peers;
  Options.Self = Place.Node;
  Options.MaxConnections = Place.MaxConnections;
  Options.Inputs = Inputs;
  Options.Seed = State.Settings.RandomSeed;
  Options.PeerIdleTimeout = PeerIdleTimeout;
  Options.LinkBytesPerSecond = Place.LinkBytesPerSecond;
  Options.Dialect = Surroundings->dialect();
  ProxyEngine::Callbacks Calls;
  Calls.OnLog = [this](const observe::LogEvent &Event) { carryOut(Event); };
  Calls.OnHop = [this](const HopRecord &Hop) { noteHop(Hop); };
  auto Opened = ProxyEngine::create(
      Loop, Http, Options,
      [this](const decision::request::Event &E) { return decideRequest(E); },
      Calls);
  if (!core::ok(Opened))
    return core::failure(Opened);
  Engine = core::take(std::move(Opened));
  return std::monostate();
}

core::Status Process::openReports() {
  auto Opened = ReportSocket::open(
      Loop, Place.Address, Place.InternalPort,
      [this](std::string_view Datagram) { takeReport(Datagram); });
  if (!core::ok(Opened))
    return core::failure(Opened);
  Reports = core::take(std::move(Opened));
  return std::monostate();
}

core::Status Process::openSmallPorts() {
  struct Port {
    std::unique_ptr<HttpServer> &Server;
    std::string Address;
    SmallHandler Handle;
  };
  const Port Ports[] = {
      {Readiness, Place.Readiness,
       [this](const RequestHead &, const std::string &) {
         return SmallAnswer{Ready ? 200 : 503, "", "text/plain"};
       }},
      {Control, Place.Control,
       [this](const RequestHead &Head, const std::string &Body) {
         return announced(Head, Body);
       }},
      {Records, fmt::format("{}:{}", Place.Address, Place.InternalPort),
       [this](const RequestHead &, const std::string &) {
         return SmallAnswer{200, encodedRecords(), "application/octet-stream"};
       }},
      {MetricsPort, Place.Metrics,
       [this](const RequestHead &, const std::string &) {
         return SmallAnswer{200, metrics(), "text/plain; version=0.0.4"};
       }},
  };
  for (const Port &Each : Ports) {
    if (Each.Address.empty())
      continue;
    auto Opened = listenSmall(Loop, Each.Address, Each.Handle, Inputs);
    if (!core::ok(Opened))
      return core::failure(Opened);
    Each.Server = core::take(std::move(Opened));
  }
  return std::monostate();
}

void Process::startStore() {
  StoreFollower::Callbacks Calls;
  Calls.OnRecord = [this](const decide::RecordSet::Change &Change,
                          bool History) { takeRecord(Change, History); };
  Calls.OnPosition = [this](const decide::RecordSet &Records) {
    handle(decide::PositionReached{Records.position(), Records.lostCount(),
                                   Records.lostDigest()});
  };
  Calls.OnReachable = [this](bool Reachable) {
    handle(decide::StoreReachabilityChanged{Reachable});
    if (Reachable && MovesWanted)
      readMoves();
  };
  Calls.OnFault = [this](const core::Error &Why) { storeFault(Why); };
  Calls.OnListRead = [this](const OperatorRecords &List) {
    Figures.count("filbertvane_store_lists_read_total");
    carryOut(observe::LogEvent{
        observe::EventId::MeshRecordListRead,
        fmt::format("era={} position={} records={} before_era={} before={}",
                    List.Position.era().value(), List.Position.offset().value(),
                    List.Records.size(), State.Position.era().value(),
                    State.Position.offset().value())});
  };
  Store.onRestored([this](core::StoreEra Era) {
    Figures.count("filbertvane_store_restores_total");
    handle(decide::StoreRestored{Era});
  });
  Calls.OnOverdue = [this](core::Milliseconds Hold) {
    carryOut(
        observe::LogEvent{observe::EventId::MeshStoreReadOverdue,
                          fmt::format("hold_ms={} position={}", Hold.count(),
                                      State.Position.offset().value())});
  };
  Follower = std::make_unique<StoreFollower>(
      Loop, Store, State.Settings.RandomSeed,
      [this](const OperatorRecord &Record) {
        return Surroundings->versionOf(Record);
      },
      std::move(Calls));
  Follower->start();
}

Effects Process::dispatch(const decide::Event &What) {
  Effects Requests;
  for (const decide::Effect &Each :
       decide::reduce(State, What, Loop.now().Mono))
    std::visit(
        [&](const auto &Do) {
          using T = std::decay_t<decltype(Do)>;
          if constexpr (IsRequestEffect<T>)
            Requests.emplace_back(Do);
          else
            carryOut(Do);
        },
        Each);
  return Requests;
}

void Process::handle(const decide::Event &What) {
  const Effects Requests = dispatch(What);
  if (Engine)
    Engine->execute(Requests);
}

Effects Process::decideRequest(const decision::request::Event &Happened) {
  return std::visit(
      [this](const auto &E) -> Effects {
        if constexpr (std::is_constructible_v<decide::Event, decltype(E)>)
          return dispatch(E);
        else
          return {};
      },
      Happened);
}

void Process::carryOut(const decide::SendReport &What) {
  const std::string Bytes = wire::encode(What.Report);
  const std::size_t Dropped = Reports->send(Bytes, What.Addresses);
  Figures.count("filbertvane_reports_sent_total", {}, What.Addresses.size());
  if (Dropped > 0)
    Figures.count("filbertvane_reports_dropped_total", {}, Dropped);
}

/// The first report replaces the one of the former process, which may tell that
/// the target leaves; so that one is read before.
void Process::carryOut(const decide::PublishReport &What) {
  if (!HostsRead)
    return readHosts();
  const bool Early = Loop.now().Mono - HostsReadAt < LonelyReadPeriod;
  if (!HostPublished && !What.Report.Target && Early)
    return;
  Store.publishHost(Place.Node, wire::encode(What.Report),
                    [this](const core::Status &Done) {
                      const bool Before = HostPublished;
                      HostPublished = core::ok(Done);
                      if (!core::ok(Done))
                        storeFault(core::failure(Done));
                      // Of two nodes that publish at the same time, one at
                      // least reads the other's report then. A copy of the
                      // store has the reports of nodes that joined earlier.
                      if (!Before && hasJoinedLately())
                        readHosts();
                      if (HostPublished && !JoinedAt)
                        JoinedAt = Loop.now().Mono;
                    });
}

void Process::storeFault(const core::Error &Why) {
  Figures.count("filbertvane_store_failures_total",
                {{"code", std::to_string(static_cast<int>(Why.Code))}});
  carryOut(observe::LogEvent{observe::EventId::MeshStoreRequestFailed,
                             core::toString(Why)});
}

void Process::carryOut(const decide::WriteMove &What) {
  Store.writeMove(What,
                  [this, What](const core::Result<decide::MovePhase> &Done) {
                    if (!core::ok(Done))
                      return storeFault(core::failure(Done));
                    if (core::value(Done) >= decide::MovePhase::Completed)
                      handle(decide::MoveStateRead{
                          What.Service, What.NewVersion, core::value(Done)});
                  });
}

void Process::carryOut(const decide::FetchRecords &What) {
  const core::TimePoint Now = Loop.now().Mono;
  if (Fetches >= MaxFetches || (Fetches > 0 && Now < NextFetchAt))
    return;
  ++Fetches;
  NextFetchAt = Now + FetchHedgeDelay;
  HttpClient::Request Ask;
  Ask.Url =
      fmt::format("http://{}:{}/records", What.PeerAddress, Place.InternalPort);
  Ask.Deadline = Now + FetchTime;
  Ask.ConnectBy = Now + FetchConnectTime;
  Ask.MaxAnswerBytes = MaxFetchBytes;
  Http.fetch(std::move(Ask), "",
             [this, From = What.PeerAddress,
              Begin = Now](ClientEnd End, int Status, const std::string &Body) {
               --Fetches;
               if (End != ClientEnd::Complete || Status != 200)
                 return carryOut(observe::LogEvent{
                     observe::EventId::MeshFetchFailed,
                     fmt::format("from={} status={} end={} ms={}", From, Status,
                                 nameOf(End),
                                 std::chrono::duration_cast<core::Milliseconds>(
                                     Loop.now().Mono - Begin)
                                     .count())});
               const auto Read = wire::decodeRecordEntries(Body);
               if (core::ok(Read))
                 Follower->adopt(core::value(Read));
               else
                 carryOut(
                     observe::LogEvent{observe::EventId::MeshRecordMalformed,
                                       core::toString(core::failure(Read))});
             });
}

void Process::carryOut(const decide::FollowStore &What) {
  Follower->follow(What.Follow);
}

void Process::carryOut(const decide::RecoverFromRestore &Plan) {
  Follower->readListAt(Plan.Era, Plan.ReadListAt);
  // What was published may be lost; `readStoreInTurn` publishes it again, and
  // then reads the hosts that did so as well.
  HostPublished = false;
  HostsReadAt = Plan.PublishAt - LonelyReadPeriod;
}

void Process::carryOut(const decide::SetReadHold &Change) {
  Follower->setHold(Change.Hold);
}

void Process::carryOut(const decide::ReadinessChanged &What) {
  Ready = What.Ready;
}

void Process::carryOut(const observe::LogEvent &What) {
  Log.write(What, Loop.now());
  Figures.count("filbertvane_events_total",
                {{"event", std::to_string(static_cast<int>(What.Id))}});
}

SmallAnswer Process::announced(const RequestHead &Head,
                               const std::string &Body) {
  const auto Read =
      Surroundings->decodeAnnouncement(Head, Body, Place.TargetAddress);
  if (!core::ok(Read)) {
    carryOut(observe::LogEvent{observe::EventId::MeshAnnouncementRejected,
                               core::toString(core::failure(Read))});
    return {400, "", "text/plain"};
  }
  std::visit([this](const auto &What) { handle(What); }, core::value(Read));
  return {200, "{}", "application/json"};
}

void Process::carryOut(const decide::SendQuota &Outgoing) {
  const std::string Bytes = std::visit(
      [](const auto &Message) {
        return wire::encode(wire::QuotaMessage(Message));
      },
      Outgoing.Message);
  Figures.count("filbertvane_quota_messages_sent_total");
  if (Reports->send(Bytes, {Outgoing.Address}) > 0)
    Figures.count("filbertvane_reports_dropped_total");
}

void Process::takeQuotaMessage(std::string_view Datagram) {
  const auto Read = wire::decodeQuotaMessage(Datagram);
  if (!core::ok(Read))
    return carryOut(observe::LogEvent{observe::EventId::MeshQuotaMalformed,
                                      core::toString(core::failure(Read))});
  std::visit(
      core::Overloaded{[this](const decide::quota::QuotaRequest &Request) {
                         handle(decide::QuotaRequestReceived{Request});
                       },
                       [this](const decide::quota::QuotaReply &Reply) {
                         handle(decide::QuotaReplyReceived{Reply});
                       }},
      core::value(Read));
}

void Process::takeReport(std::string_view Datagram) {
  if (wire::isQuotaMessage(Datagram))
    return takeQuotaMessage(Datagram);
  const auto Read = wire::decodeHostReport(Datagram);
  if (!core::ok(Read)) {
    carryOut(observe::LogEvent{observe::EventId::MeshReportMalformed,
                               core::toString(core::failure(Read))});
    return;
  }
  handle(decide::ReportReceived{core::value(Read)});
}

void Process::takeRecord(const decide::RecordSet::Change &Change,
                         bool History) {
  const OperatorRecord &Record = Change.Record;
  const auto Read = Surroundings->decode(Record);
  if (!core::ok(Read)) {
    carryOut(
        observe::LogEvent{observe::EventId::MeshRoutingRejected,
                          fmt::format("key={} offset={} {}", Record.Key,
                                      Record.Position.offset().value(),
                                      core::toString(core::failure(Read)))});
    return;
  }
  const std::optional<OperatorOrder> &Order = core::value(Read);
  if (!Order)
    return;
  if (const auto *Routing = std::get_if<config::Routing>(&*Order)) {
    Engine->setCallerIdleTimeout(
        std::chrono::ceil<core::Seconds>(Routing->Limits.IdleTimeout) +
        IdleReserve);
    handle(decide::RoutingLoaded{
        std::make_shared<const config::RoutingTable>(*Routing)});
    return;
  }
  if (const auto *Evacuation =
          std::get_if<decide::EvacuationOrdered>(&*Order)) {
    auto Ordered = *Evacuation;
    Ordered.Renumbered = Change.Renumbered;
    return handle(Ordered);
  }
  auto Move = std::get<decide::MoveOrdered>(*Order);
  Move.FromHistory = History;
  Move.SeenAt = Change.SeenAt;
  Move.Renumbered = Change.Renumbered;
  handle(Move);
  // An order of unknown age may have ended long ago.
  if (History && !Change.Renumbered && !MovesWanted) {
    MovesWanted = true;
    readMoves();
  }
}

const std::string &Process::encodedRecords() {
  const decide::RecordSet &Known = Follower->known();
  if (EncodedRecords.empty() || EncodedRevision != Known.revision()) {
    EncodedRecords = wire::encode(Known.entries());
    EncodedRevision = Known.revision();
  }
  return EncodedRecords;
}

void Process::readHosts() {
  HostsReadAt = Loop.now().Mono;
  Store.readHosts([this](const auto &Read) { hostsRead(Read); });
}

void Process::hostsRead(const core::Result<std::vector<std::string>> &Read) {
  if (!core::ok(Read))
    return storeFault(core::failure(Read));
  const bool First = !HostsRead;
  HostsRead = true;
  bool Listed = false;
  decide::StoredReportsRead Learned;
  for (const std::string &Bytes : core::value(Read)) {
    const auto Report = wire::decodeHostReport(Bytes);
    if (core::ok(Report)) {
      Listed = Listed || tellsOfThis(core::value(Report));
      Learned.Reports.push_back(core::value(Report));
    } else {
      carryOut(observe::LogEvent{observe::EventId::MeshRecordMalformed,
                                 core::toString(core::failure(Report))});
    }
  }
  handle(Learned);
  HostPublished = HostPublished || Listed;
  if (Listed && !JoinedAt)
    JoinedAt = Loop.now().Mono;
  if (First && !Listed)
    carryOut(
        decide::PublishReport{decide::makeHostReport(State, Loop.now().Mono)});
}

bool Process::hasJoinedLately() const {
  return !JoinedAt || Loop.now().Mono - *JoinedAt < HostsReadPeriod;
}

/// Others find this node by what its former process published.
bool Process::tellsOfThis(const decide::HostReport &Published) const {
  return Published.Node == Place.Node && Published.Address == Place.Address &&
         Published.DataCentre == Place.DataCentre && !Published.Leaving;
}

void Process::readMoves() {
  MovesReadAt = Loop.now().Mono;
  Store.readMoves([this](const auto &Read) {
    if (!core::ok(Read))
      return storeFault(core::failure(Read));
    MovesWanted = false;
    for (const decide::MoveStateRead &End : core::value(Read))
      handle(End);
  });
}

void Process::noteHop(const HopRecord &Hop) {
  Figures.observe("filbertvane_request_seconds",
                  {{"role", Hop.FromNode ? "host" : "entry"},
                   {"status", std::to_string(Hop.Status)}},
                  Hop.End.Mono - Hop.Begin.Mono);
}

void Process::tick() {
  const core::Instant Now = Loop.now();
  if (Now.Mono - LastTick > PauseTold)
    carryOut(observe::LogEvent{
        observe::EventId::MeshLoopStalled,
        fmt::format("ms={}", std::chrono::duration_cast<core::Milliseconds>(
                                 Now.Mono - LastTick)
                                 .count())});
  LastTick = Now.Mono;
  handle(decision::request::Tick{});
  readStoreInTurn(Now.Mono);
  advanceStop();
  tellRefusals(Now.Mono);
  Log.flush(Now);
  Ticker.arm(Now.Mono + TickPeriod);
}

void Process::readStoreInTurn(core::TimePoint Now) {
  if (!State.StoreReachable)
    return;
  const bool Lonely = State.Hosts.hosts().empty() || !HostPublished;
  const core::Seconds Period = Lonely ? LonelyReadPeriod : HostsReadPeriod;
  if (Now - HostsReadAt > Period) {
    HostsReadAt = Now;
    if (Lonely)
      carryOut(decide::PublishReport{decide::makeHostReport(State, Now)});
    else
      readHosts();
  }
  if (MovesWanted && Now - MovesReadAt > LonelyReadPeriod)
    readMoves();
}

void Process::drain() {
  if (Stop)
    return;
  Stop = decide::ShutdownSchedule(Loop.now().Mono, Place.StopTime);
  carryOut(observe::LogEvent{observe::EventId::ProcessDraining, ""});
  handle(decide::ShutdownRequested{Stop->deadline()});
  Engine->closeAfterAnswers();
}

void Process::advanceStop() {
  if (!Stop)
    return;
  const decide::ShutdownStep Step =
      Stop->stepAt(Loop.now().Mono, Engine->active());
  if (Step == decide::ShutdownStep::Accept)
    return;
  // A caller that still comes would be cut at the end; without a listener it
  // learns at once that its request was not taken.
  Engine->quiesce();
  if (Step == decide::ShutdownStep::Drain)
    return;
  if (!std::exchange(ExitBegun, true)) {
    carryOut(observe::LogEvent{observe::EventId::ProcessStopped,
                               fmt::format("active={}", Engine->active())});
    handle(decide::ExitDue{});
    // The next tick comes after the loop has written the last answers.
    return;
  }
  Log.flush(Loop.now());
  Loop.stop();
}

void Process::reload(const MeshPlace &Fresh) {
  if (Fresh == Place)
    return;
  carryOut(observe::LogEvent{observe::EventId::MeshSettingsReloaded,
                             fmt::format("service={}", Fresh.Service.value())});
  Place.Service = Fresh.Service;
  Place.TargetAddress = Fresh.TargetAddress;
  State.Settings.TargetAddress = Fresh.TargetAddress;
  handle(decide::ServiceAssigned{Fresh.Service});
}

std::string Process::metrics() {
  decide::writeGauges(State, Loop.now().Mono, Figures);
  Figures.set("filbertvane_uploads_waiting", {},
              static_cast<double>(Engine->uploadsWaiting()));
  Figures.set("filbertvane_upload_wait_seconds", {},
              std::chrono::duration<double>(Engine->uploadWait()).count());
  Figures.set("filbertvane_input_bytes", {},
              static_cast<double>(Inputs->total()));
  return Figures.render();
}

core::Result<std::unique_ptr<MeshProcess>>
MeshProcess::create(EventLoop &Loop, HttpClient &Http, MeshPlace Place,
                    std::shared_ptr<const Environment> Surroundings,
                    SharedStore &Store) {
  auto Made = std::make_unique<Process>(Loop, Http, std::move(Place),
                                        std::move(Surroundings), Store);
  const core::Status Opened = Made->open();
  if (!core::ok(Opened))
    return core::failure(Opened);
  return std::unique_ptr<MeshProcess>(std::move(Made));
}

} // namespace filbertvane::io::mesh
