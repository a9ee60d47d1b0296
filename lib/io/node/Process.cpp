#include "Process.h"
#include "LogFold.h"
#include "filbertvane/wire/RecordCodec.h"
#include <fmt/format.h>
#include <unistd.h>

namespace filbertvane::io {

using decision::NodeEvent;

namespace {

constexpr core::Milliseconds TickPeriod{50};
constexpr core::Milliseconds AppendTimeout{2000};
constexpr core::Milliseconds LogWait{1000};
constexpr core::Milliseconds LeaseRetry{500};
constexpr std::size_t LogReadBytes = std::size_t{512} * 1024;
/// Leave messages are repeated for 1 s; members act on them within it.
constexpr core::Milliseconds DrainAnnounceTime{2000};
constexpr std::size_t AdoptionsKept = 64;

decision::NodeSettings nodeSettings(const config::Settings &From,
                                    core::Incarnation Number) {
  decision::NodeSettings Own;
  Own.Node = From.Node.Id;
  Own.DataCentre = From.Node.DataCentre;
  Own.Region = From.Node.Region;
  Own.Incarnation = Number;
  Own.ControlAddress = From.Advertise.Control;
  Own.ExternalControlAddress = From.Advertise.OtherRegions;
  Own.PeerAddress = From.Advertise.Peers;
  for (const config::Seed &Each : From.Seeds) {
    const bool Inside = Each.DataCentre == From.Node.DataCentre;
    auto &Seeds = Inside ? Own.LocalSeeds : Own.RemoteSeeds;
    if (Each.Control != From.Advertise.Control)
      Seeds.push_back(Each.Control);
  }
  Own.LogRetention = From.LogRetention;
  // Nodes started at the same time must not make the same random choices.
  Own.RandomSeed = core::digestOf(From.Node.Id.value()).value() ^
                   Number.value() ^ static_cast<std::uint64_t>(getpid());
  Own.Folding = decision::distribution::foldOf<LogFold>();
  return Own;
}

template <typename T>
constexpr bool IsRequestEffect =
    std::is_constructible_v<decision::request::Effect, T> &&
    !std::is_same_v<T, observe::LogEvent>;

} // namespace

Process::Process(EventLoop &Loop, const config::Settings &Settings)
    : Loop(Loop), Settings(Settings),
      Number(decision::membership::firstIncarnation(Loop.now().Wall)),
      State(nodeSettings(Settings, Number)), Http(HttpClient::create(Loop, {})),
      Log(*Http, Settings.LogUrl), Ticker(Loop, [this] { tick(); }) {}

core::Status Process::open() {
  for (const auto Open :
       {&Process::openControl, &Process::openEngine, &Process::openAdmin}) {
    core::Status Opened = (this->*Open)();
    if (!core::ok(Opened))
      return Opened;
  }
  Claims = std::make_unique<ClaimStreams>(
      ClaimStreams::Surroundings{
          Loop, Log, *Control,
          [this](std::uint32_t Partition) {
            return decision::claimKeeper(State, Partition);
          },
          [this](const decision::request::ClaimDecided &What) {
            Engine->handle(What);
          }},
      Settings.Node.Id, Settings.Advertise.Peers,
      decision::writerOf(State.Local), Settings.LogRetention);
  Spans = std::make_unique<observe::Tracer>(
      Loop, *Http,
      observe::Tracer::Options{Settings.TracesUrl.value_or(""), "filbertvane",
                               Settings.Node.Id.value()});
  observe::writeLog(
      {observe::EventId::ProcessStarted, Settings.Node.Id.value()});
  handle(decision::Started{});
  Ticker.arm(Loop.now().Mono + TickPeriod);
  return std::monostate();
}

core::Status Process::openControl() {
  ControlServer::Options Options;
  Options.Address = Settings.Listen.Control;
  Options.Own.Node = Settings.Node.Id;
  Options.Own.DataCentre = Settings.Node.DataCentre;
  Options.Own.Region = Settings.Node.Region;
  Options.Own.Number = Number;
  Options.Own.ControlAddress = Settings.Advertise.Control;
  Options.SharedKey = Settings.SharedKey;
  Options.Seed = State.Local.RandomSeed;
  auto Opened = ControlServer::listen(
      Loop, Options,
      [this](const wire::Hello &From, wire::ControlMessage What) {
        handle(decision::ControlReceived{{From.Node, From.ControlAddress},
                                         From.DataCentre,
                                         std::move(What)});
      },
      [this](const observe::LogEvent &Event) { carryOut(Event); });
  if (!core::ok(Opened))
    return core::failure(Opened);
  Control = core::take(std::move(Opened));
  return std::monostate();
}

core::Status Process::openEngine() {
  ProxyEngine::Options Options;
  Options.Callers = Settings.Listen.Callers;
  Options.Peers = Settings.Listen.Peers;
  Options.PeerKey = Settings.SharedKey;
  Options.Self = Settings.Node.Id;
  Options.Seed = State.Local.RandomSeed;
  auto Opened = ProxyEngine::create(
      Loop, *Http, Options,
      [this](const decision::request::Event &What) { return dispatch(What); },
      engineCallbacks());
  if (!core::ok(Opened))
    return core::failure(Opened);
  Engine = core::take(std::move(Opened));
  return std::monostate();
}

ProxyEngine::Callbacks Process::engineCallbacks() {
  ProxyEngine::Callbacks Calls;
  Calls.OnClaim = [this](const decision::request::RequestClaim &What) {
    Claims->request(What);
  };
  Calls.OnAnswerFromOwner =
      [this](const decision::request::AnswerFromOwner &What) {
        askOwner(What);
      };
  Calls.OnLog = [this](const observe::LogEvent &Event) { carryOut(Event); };
  Calls.OnHop = [this](const HopRecord &Hop) { noteHop(Hop); };
  return Calls;
}

void Process::askOwner(const decision::request::AnswerFromOwner &What) {
  const std::string Address = Claims->addressOf(What.Owner.Node);
  if (!Address.empty()) {
    Engine->askOwner(What, Address);
    return;
  }
  // An owner that cannot be asked may have run the request.
  Engine->handle(decision::request::OwnerReplied{
      What.Id, decision::request::KeptResultState::Unknown});
}

core::Status Process::openAdmin() {
  AdminServer::Callbacks Calls;
  Calls.Metrics = [this] { return metrics(); };
  Calls.Healthy = [this] { return State.Distribution.Ready && !DrainEarliest; };
  Calls.Status = [this] { return status(); };
  Calls.OnTarget = [this](const TargetAnnouncement &What) {
    handle(decision::TargetAnnounced{{What.Id, What.Service, What.Version,
                                      What.Slots, Loop.now().Wall, false},
                                     What.Address});
  };
  Calls.OnTargetGone = [this](const core::TargetId &Id, bool Expired) {
    handle(decision::TargetGone{Id, Expired});
  };
  auto Opened = AdminServer::listen(Loop, Settings.Listen.Admin, Calls);
  if (!core::ok(Opened))
    return core::failure(Opened);
  Admin = core::take(std::move(Opened));
  return std::monostate();
}

decision::request::Effects Process::dispatch(NodeEvent What) {
  auto Next = decision::reduce(std::move(State), std::move(What), Loop.now());
  State = std::move(Next.NextState);
  decision::request::Effects Requests;
  for (const decision::NodeEffect &Each : Next.EmittedEffects)
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

void Process::handle(NodeEvent What) {
  const decision::request::Effects Requests = dispatch(std::move(What));
  if (Engine)
    Engine->execute(Requests);
}

void Process::tick() {
  handle(decision::Tick{});
  Claims->tick(State.Distribution.Ready && !DrainEarliest);
  if (State.Directory.IsLead && !LeaseReading &&
      Loop.now().Mono >= LeaseRetryAt)
    readLeaseStream();
  noteConnects();
  finishDrainWhenIdle();
  Ticker.arm(Loop.now().Mono + TickPeriod);
}

void Process::drain() {
  if (DrainEarliest)
    return;
  const core::TimePoint Now = Loop.now().Mono;
  DrainEarliest = Now + DrainAnnounceTime;
  DrainLatest = Now + Settings.DrainDeadline;
  observe::writeLog({observe::EventId::ProcessDraining, ""});
  handle(decision::DrainStarted{});
}

void Process::finishDrainWhenIdle() {
  const core::TimePoint Now = Loop.now().Mono;
  if (!DrainEarliest || Now < *DrainEarliest)
    return;
  Engine->quiesce();
  if (Engine->active() == 0 || Now >= DrainLatest)
    Loop.stop();
}

void Process::carryOut(const decision::SendControl &What) {
  const core::Status Sent = Control->send(What.To, What.Payload);
  if (!core::ok(Sent))
    Figures.count("filbertvane_control_dropped_total");
}

void Process::carryOut(const decision::AppendConfig &What) {
  std::string Bytes = wire::encode(What.Record);
  LogBytesOut += Bytes.size();
  const bool IsClaim =
      std::holds_alternative<config::LeaseClaimed>(What.Record.Body);
  Log.append(
      "config", std::move(Bytes), Loop.now().Mono + AppendTimeout,
      [this, IsClaim](const core::Result<core::LogOffset> &Done) {
        const bool Rejected =
            !core::ok(Done) &&
            core::failure(Done).Code == core::ErrorCode::LogRejected;
        if (IsClaim && Rejected)
          handle(decision::lease::Event(decision::lease::ClaimNotAppended{}));
      });
}

void Process::carryOut(const decision::ClaimReceived &What) {
  Claims->requested(What.From, What.Request);
}

void Process::carryOut(const decision::ClaimReplied &What) {
  Claims->replied(What.Reply);
}

void Process::carryOut(const decision::distribution::ReadLog &What) {
  const core::Milliseconds Wait =
      What.LongPoll ? LogWait : core::Milliseconds(0);
  Log.read("config", What.Offset, Wait, LogReadBytes, Loop.now().Mono,
           [this](const core::Result<LogRead> &Done) { logRead(Done); });
}

void Process::carryOut(const decision::distribution::CheckLogEnd &What) {
  Log.read("config", What.Offset, core::Milliseconds(0), LogReadBytes,
           Loop.now().Mono, [this, What](const core::Result<LogRead> &Done) {
             using enum decision::distribution::LogEndStatus;
             // `logRead` tells of an outage; here it is an answer.
             const bool Read = core::ok(Done) && !core::value(Done).Trimmed;
             handle(decision::distribution::Event(
                 decision::distribution::LogEndChecked{
                     !Read                               ? Unavailable
                     : core::value(Done).Records.empty() ? Reached
                                                         : NotReached,
                     What.Offset}));
           });
}

void Process::logRead(const core::Result<LogRead> &Done) {
  namespace distribution = decision::distribution;
  noteLogAvailability(core::ok(Done));
  if (!core::ok(Done)) {
    handle(distribution::Event(distribution::LogUnavailable{}));
    return;
  }
  const LogRead &Read = core::value(Done);
  if (Read.Trimmed) {
    handle(distribution::Event(distribution::LogTrimmed{Read.First}));
    return;
  }
  distribution::LogRead Event;
  for (std::size_t I = 0; I < Read.Records.size(); ++I) {
    LogBytesIn += Read.Records[I].size();
    Event.Records.push_back(
        {core::LogOffset(Read.First.value() + I), Read.Records[I]});
  }
  // An answer that holds records may have been cut at the size limit, so only
  // an empty one proves that the end was reached.
  const std::uint64_t More = Read.Records.empty() ? 0 : 1;
  Event.EndOffset = core::LogOffset(Read.Next.value() + More);
  handle(distribution::Event(std::move(Event)));
}

void Process::noteLogAvailability(bool Up) {
  if (Up == LogUp)
    return;
  LogUp = Up;
  handle(decision::rollout::ControllerEvent(
      decision::rollout::LogAvailabilityChanged{Up}));
}

void Process::readLeaseStream() {
  LeaseReading = true;
  const core::TimePoint SentAt = Loop.now().Mono;
  Log.read("lease", LeaseNext, LogWait, LogReadBytes, SentAt,
           [this, SentAt](const core::Result<LogRead> &Done) {
             leaseRead(Done, SentAt);
           });
}

void Process::leaseRead(const core::Result<LogRead> &Done,
                        core::TimePoint SentAt) {
  LeaseReading = false;
  if (!core::ok(Done)) {
    LeaseRetryAt = Loop.now().Mono + LeaseRetry;
    return;
  }
  const LogRead &Read = core::value(Done);
  LeaseNext = Read.Trimmed ? Read.First : Read.Next;
  if (Read.Trimmed)
    return;
  decision::lease::LeaseRead Event{SentAt, {}};
  for (const std::string &Bytes : Read.Records) {
    LogBytesIn += Bytes.size();
    const auto Decoded = wire::decodeRenewal(Bytes);
    if (!core::ok(Decoded))
      continue;
    const wire::LeaseRenewed &Renewal = core::value(Decoded);
    Event.Records.push_back(
        {Renewal.Holder, Renewal.LeaseEpoch, Renewal.Sequence});
  }
  handle(decision::lease::Event(std::move(Event)));
}

void Process::carryOut(const decision::lease::AppendRenewal &What) {
  std::string Bytes = wire::encode(wire::LeaseRenewed{
      What.Record.Holder, What.Record.LeaseEpoch, What.Record.Sequence});
  LogBytesOut += Bytes.size();
  // A renewal counts when it is read back; the acknowledgement adds nothing.
  Log.append("lease", std::move(Bytes), Loop.now().Mono + AppendTimeout,
             [](const core::Result<core::LogOffset> &) {});
}

void Process::carryOut(const decision::distribution::StateAdopted &What) {
  const std::int64_t Now = Loop.now().Wall.time_since_epoch().count();
  for (const decision::distribution::AppliedRecord &Each : What.Records) {
    const auto *Accepted = std::get_if<config::Accepted>(&Each.Outcome);
    if (Accepted == nullptr)
      continue;
    std::int64_t PublishedMs = 0;
    if (Each.Record)
      if (const auto *Sheet =
              std::get_if<config::SheetPublished>(&Each.Record->Body))
        PublishedMs = Sheet->PublishedAt.time_since_epoch().count();
    Adopted.push_back({Accepted->Version.value(), Now, PublishedMs});
  }
  while (Adopted.size() > AdoptionsKept)
    Adopted.pop_front();
}

void Process::carryOut(const decision::distribution::ReadyChanged &) {}

void Process::carryOut(const observe::LogEvent &What) {
  observe::writeLog(What);
  Figures.count("filbertvane_events_total",
                {{"event", std::to_string(static_cast<int>(What.Id))}});
}

core::Result<std::unique_ptr<NodeProcess>>
NodeProcess::create(EventLoop &Loop, const config::Settings &Settings) {
  auto Made = std::make_unique<Process>(Loop, Settings);
  const core::Status Opened = Made->open();
  if (!core::ok(Opened))
    return core::failure(Opened);
  return std::unique_ptr<NodeProcess>(std::move(Made));
}

} // namespace filbertvane::io
