#include "FleetModel.h"
#include <algorithm>
#include <cmath>

namespace meshbench {

using request::AttemptEnd;
using request::AttemptEnded;

namespace {

/// Requests that crash targets have this digest and higher ones.
const core::Digest CrashingRequests(~std::uint64_t{0xffff});
/// Time for which a target runs the request that crashes it.
constexpr milliseconds CrashTime{20};
constexpr milliseconds TargetRestartTime{3000};
constexpr std::uint64_t PopularRequests = 40;

config::Routing routingOf(const std::map<std::string, TargetModel> &Targets) {
  config::Routing Routing;
  for (const auto &[Service, Model] : Targets) {
    Routing.Services.push_back({core::ServiceName(Service)});
    config::HostRoute Route = shopRoute(Service, true);
    Route.Services = {{core::ServiceName(Service), 1}};
    Route.MaxTargets = 3;
    Routing.Routes.push_back(Route);
  }
  return Routing;
}

} // namespace

std::shared_ptr<const config::RoutingTable> FleetModel::routing() const {
  config::Routing Routing = routingOf(Targets);
  Routing.Version = core::ConfigVersion(ConfigVersion);
  Routing.Tenants = Tenants;
  return std::make_shared<const config::RoutingTable>(std::move(Routing));
}

void FleetModel::configure(const std::vector<config::Tenant> &NewTenants) {
  Tenants = NewTenants;
  ++ConfigVersion;
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
    if (Nodes[Index].State)
      deliver(Index, RoutingLoaded{routing()});
}

void FleetModel::shutDown(std::size_t Index) {
  constexpr milliseconds StopTime{2000};
  deliver(Index, ShutdownRequested{Now + StopTime});
  afterAt(Index, StopTime, [this, Index] { kill(Index); });
}

std::size_t FleetModel::addNode(const std::string &Service,
                                const std::string &Version) {
  Node New;
  New.Name = fmt::format("n{}", Nodes.size());
  New.Service = Service;
  New.Version = Version;
  Nodes.push_back(std::move(New));
  start(Nodes.size() - 1);
  return Nodes.size() - 1;
}

void FleetModel::start(std::size_t Index) {
  Node &Starting = Nodes[Index];
  MeshSettings Settings = Bench::settings(Starting.Name);
  ++Starting.Starts;
  Settings.Incarnation = core::Incarnation(
      static_cast<std::uint64_t>(Now.time_since_epoch().count()));
  Settings.Address = Starting.Name;
  Settings.DataCentre =
      core::DataCentreId(fmt::format("dc{}", Index % DataCentres));
  Settings.Region = core::RegionId(fmt::format("r{}", Index % Regions));
  Settings.Service = core::ServiceName(Starting.Service);
  Settings.Budget = Budget;
  // The first processes have no predecessors.
  Settings.RetriesKnownSince = Starting.Starts > 1 ? Now : Now - Budget.Window;
  Settings.StartedAt = Starting.Starts > 1 ? Now : Now - quota::LoanTerm;
  Settings.RandomSeed = Source.next();
  Starting.State.emplace(std::move(Settings));
  Starting.Origins.clear();
  Starting.Active.clear();
  Starting.FrozenUntil = Now;
  deliver(Index, RoutingLoaded{routing()});
  // A process reads the reports in the store before it replaces its own.
  if (!StoreAway) {
    StoredReportsRead Stored;
    for (const Node &Other : Nodes)
      if (Other.Published)
        Stored.Reports.push_back(*Other.Published);
    deliver(Index, StoreReachabilityChanged{true});
    deliver(Index, Stored);
  }
  if (!Starting.TargetDown)
    announceTarget(Index);
  // Ticks of different nodes are spread over the period.
  afterAt(Index, milliseconds(Source.below(TickPeriod.count())),
          [this, Index] { tick(Index); });
}

void FleetModel::announceTarget(std::size_t Index) {
  const Node &Host = Nodes[Index];
  deliver(Index,
          TargetAnnounced{
              core::TargetId("t-" + Host.Name), core::ServiceName(Host.Service),
              core::TargetVersion(Host.Version), Targets.at(Host.Service).Slots,
              false, milliseconds(0), Host.TargetStarts, Host.Starts});
}

void FleetModel::crashTarget(std::size_t Index, const std::string &Id) {
  Node &Host = Nodes[Index];
  if (std::exchange(Host.TargetDown, true))
    return;
  Crashes.emplace_back(Now, Id);
  after(TargetRestartTime, [this, Index] {
    ++Nodes[Index].TargetStarts;
    Nodes[Index].TargetDown = false;
    if (Nodes[Index].State)
      announceTarget(Index);
  });
  if (!Host.State)
    return;
  if (SilentCrashes) {
    std::erase_if(Host.Active, [&Host](const auto &Entry) {
      return Host.State->Calls.at(Entry.first).Phase == CallPhase::AtTarget;
    });
    return;
  }
  std::vector<AttemptEnded> Lost;
  for (const auto &[Call, Attempt] : Host.Active)
    if (Host.State->Calls.at(Call).Phase == CallPhase::AtTarget) {
      AttemptEnded Ended;
      Ended.Id = Call;
      Ended.Attempt = Attempt;
      Ended.End = AttemptEnd::NoAnswer;
      Ended.TargetCrashed = true;
      Lost.push_back(Ended);
    }
  for (const AttemptEnded &Ended : Lost)
    end(Index, Ended);
}

void FleetModel::sendCrashing(std::size_t Index, const std::string &Service,
                              std::uint16_t Which) {
  request(Index, Service, fmt::format("crash{}-{}", Which, ++LastClient),
          core::Digest(CrashingRequests.value() + Which), [](int) {});
}

void FleetModel::afterAt(std::size_t Index, core::Microseconds Delay,
                         std::function<void()> Run) {
  after(Delay,
        [this, Index, Start = Nodes[Index].Starts, Run = std::move(Run)] {
          if (Nodes[Index].State && Nodes[Index].Starts == Start)
            Run();
        });
}

void FleetModel::tick(std::size_t Index) {
  deliver(Index, request::Tick{});
  afterAt(Index, TickPeriod, [this, Index] { tick(Index); });
}

void FleetModel::addClients(std::size_t Index, const std::string &Service,
                            double PerSecond) {
  addTenant(Index, Service, "", PerSecond);
}

void FleetModel::addTenant(std::size_t Index, const std::string &Service,
                           const std::string &Tenant, double PerSecond) {
  const core::Microseconds Gap(static_cast<std::int64_t>(1e6 / PerSecond));
  after(
      core::Microseconds(Source.below(static_cast<std::uint64_t>(Gap.count()))),
      [this, Index, Service, Gap, Tenant] {
        sendClients(Index, Service, Gap, Tenant);
      });
}

void FleetModel::sendClients(std::size_t Index, const std::string &Service,
                             core::Microseconds Gap,
                             const std::string &Tenant) {
  // Some requests are sent often, others once.
  const std::uint64_t Digest =
      Source.unit() < 0.5 ? Source.below(PopularRequests) : Source.next();
  request(
      Index, Service, fmt::format("c{}", ++LastClient), core::Digest(Digest),
      [this, Tenant](int Status) {
        ++Answers[Status];
        ++TenantAnswers[Tenant][Status];
      },
      Tenant);
  after(Gap, [this, Index, Service, Gap, Tenant] {
    sendClients(Index, Service, Gap, Tenant);
  });
}

void FleetModel::runUntil(std::int64_t Millis) {
  const core::TimePoint End = at(100000 + Millis);
  while (!Queue.empty() && Queue.top().At <= End) {
    const Scheduled Next = Queue.top();
    Queue.pop();
    Now = Next.At;
    Next.Run();
  }
  Now = End;
}

void FleetModel::request(std::size_t Index, const std::string &Service,
                         const std::string &Id, core::Digest Digest,
                         Done OnDone, const std::string &Tenant) {
  if (!Nodes[Index].State)
    return OnDone(0);
  Requests.emplace_back(Now, Service);
  request::CallArrived Call;
  Call.Id = core::CallId(++Nodes[Index].LastCall);
  Call.Path = fmt::format("/{}/1", Service);
  Call.VirtualHost = "shop.example";
  Call.CallerId = Id;
  Call.RequestDigest = Digest;
  if (!Tenant.empty()) {
    Call.Credential = config::KeyDigest::of(Tenant);
    TenantRequests[Id] = {Tenant, Now};
  }
  const std::size_t Dot = Id.rfind('.');
  if (Dot != std::string::npos)
    Call.ParentId = Id.substr(0, Dot);
  Nodes[Index].Origins[Call.Id] = {{}, {},    {}, Index, std::move(OnDone),
                                   0,  Digest};
  deliver(Index, Call);
}

void FleetModel::deliver(std::size_t Index, const Event &What) {
  if (Nodes[Index].FrozenUntil > Now)
    return afterAt(Index, Nodes[Index].FrozenUntil - Now,
                   [this, Index, What] { deliver(Index, What); });
  for (const Effect &Each : reduce(*Nodes[Index].State, What, Now))
    std::visit([&](const auto &Do) { handle(Index, Do); }, Each);
}

void FleetModel::handle(std::size_t Index, const request::StartAttempt &Start) {
  Nodes[Index].Active[Start.Id] = Start.Attempt;
  if (Start.To.Local)
    runAtTarget(Index, Start);
  else
    sendToPeer(Index, Start);
}

void FleetModel::sendToPeer(std::size_t Index,
                            const request::StartAttempt &Start) {
  const std::size_t Peer = indexOf(Start.To.Node);
  request::CallArrived Call;
  Call.FromNode = true;
  Call.Target = Start.To.Target;
  Call.CallerId = Nodes[Index].State->Calls.at(Start.Id).CallerId;
  Call.Terms = Start.Terms;
  Call.TimeLeft =
      std::chrono::duration_cast<core::Milliseconds>(Start.Deadline - Now);
  const Origin &Here = Nodes[Index].Origins.at(Start.Id);
  Call.RequestDigest = Here.Digest;
  Call.VirtualHost = "shop.example";
  Call.Caller = Start.Caller;
  Call.Sender = core::NodeId(Nodes[Index].Name);
  const Origin From{Index, Start.Id, Start.Attempt, Here.Entry,
                    {},    0,        Here.Digest};
  after(Latency, [this, Peer, Call, From]() mutable {
    if (!Nodes[Peer].State || !reaches(*From.Peer, Peer)) {
      AttemptEnded Ended;
      Ended.Id = From.PeerCall;
      Ended.Attempt = From.PeerAttempt;
      Ended.End = AttemptEnd::NotRun;
      Ended.Unreachable = true;
      afterAt(*From.Peer, Latency,
              [this, From, Ended] { end(*From.Peer, Ended); });
      return;
    }
    Call.Id = core::CallId(++Nodes[Peer].LastCall);
    Nodes[Peer].Origins[Call.Id] = From;
    deliver(Peer, Call);
  });
}

void FleetModel::runAtTarget(std::size_t Index,
                             const request::StartAttempt &Start) {
  const Node &Host = Nodes[Index];
  const std::string Id = Host.State->Calls.at(Start.Id).CallerId;
  const std::size_t Dot = Id.rfind('.');
  const bool OfRepeat =
      Dot != std::string::npos && RepeatedRuns.contains(Id.substr(0, Dot));
  const bool Repeat = !Seen.insert(Id).second || OfRepeat;
  if (Repeat)
    RepeatedRuns.insert(Id);
  Arrivals.push_back({Now, Host.Service, Id, Host.Origins.at(Start.Id).Entry,
                      Index, Host.Version, Repeat});
  // A target that crashed in silence still takes connections, as it seems.
  if (Host.TargetDown)
    return;
  if (Host.Origins.at(Start.Id).Digest >= CrashingRequests)
    return after(CrashTime, [this, Index, Id] { crashTarget(Index, Id); });
  const TargetModel &Model = Targets.at(Host.Service);
  if (Model.ShedProbability > 0 && Source.unit() < Model.ShedProbability) {
    AttemptEnded Shed;
    Shed.Id = Start.Id;
    Shed.Attempt = Start.Attempt;
    Shed.End = AttemptEnd::NotRun;
    Shed.Status = 503;
    Shed.ReachedTarget = true;
    afterAt(Index, Latency, [this, Index, Shed] { end(Index, Shed); });
    return;
  }
  if (Source.unit() < Model.LossProbability) {
    AttemptEnded Lost;
    Lost.Id = Start.Id;
    Lost.Attempt = Start.Attempt;
    afterAt(Index, Latency, [this, Index, Lost] { end(Index, Lost); });
    return;
  }
  makeCalls(Index, Start, Id, 0, false);
}

bool FleetModel::drawOverloadFault(Node &Host, const TargetModel &Model) {
  if (Host.Version != Model.OverloadedVersion)
    return false;
  std::deque<core::TimePoint> &Arrivals = Host.ArrivalsOfSecond;
  Arrivals.push_back(Now);
  while (Arrivals.front() < Now - core::Seconds(1))
    Arrivals.pop_front();
  const bool Fails =
      Arrivals.size() > Model.FailsAbovePerSecond && Source.unit() < 0.5;
  if (Fails)
    BadAnswers.push_back(Now);
  return Fails;
}

milliseconds FleetModel::drawRunTime(const Node &Host,
                                     const TargetModel &Model) {
  double Factor = Host.TimeFactor;
  if (Model.Spread > 1)
    Factor *= std::pow(Model.Spread, 2 * Source.unit() - 1);
  const bool Slow =
      Host.Version == Model.SlowVersion && Source.unit() < Model.SlowShare;
  if (Slow)
    Factor *= 8;
  const milliseconds RunTime(static_cast<std::int64_t>(
      Factor * static_cast<double>(Model.RunTime.count())));
  if (Slow)
    BadAnswers.push_back(Now + RunTime);
  return RunTime;
}

void FleetModel::makeCalls(std::size_t Index,
                           const request::StartAttempt &Start,
                           const std::string &Id, std::size_t Next,
                           bool Failed) {
  const TargetModel &Model = Targets.at(Nodes[Index].Service);
  if (Failed || Next == Model.Calls.size()) {
    AttemptEnded Ended;
    Ended.Id = Start.Id;
    Ended.Attempt = Start.Attempt;
    Ended.End = AttemptEnd::Held;
    const bool Overloaded = drawOverloadFault(Nodes[Index], Model);
    Ended.Status = Failed || Overloaded ? 500 : 200;
    Ended.ReachedTarget = true;
    Ended.Statement = request::TargetStatement{Nodes[Index].Limit};
    afterAt(Index, drawRunTime(Nodes[Index], Model),
            [this, Index, Ended] { end(Index, Ended); });
    return;
  }
  request(Index, Model.Calls[Next], fmt::format("{}.{}", Id, Next),
          core::Digest(Source.next()),
          [this, Index, Start, Id, Next](int Status) {
            makeCalls(Index, Start, Id, Next + 1, Status != 200);
          });
}

void FleetModel::end(std::size_t Index, const AttemptEnded &Ended) {
  Node &At = Nodes[Index];
  const auto Found = At.Active.find(Ended.Id);
  if (Found == At.Active.end() || Found->second != Ended.Attempt)
    return;
  At.Active.erase(Found);
  At.Origins.at(Ended.Id).Status = Ended.Status;
  deliver(Index, Ended);
}

void FleetModel::conclude(std::size_t Index, core::CallId Id,
                          AttemptEnded Ended) {
  const auto Found = Nodes[Index].Origins.find(Id);
  if (Found == Nodes[Index].Origins.end())
    return;
  const Origin From = std::move(Found->second);
  Nodes[Index].Origins.erase(Found);
  if (!From.Peer)
    return From.OnDone(Ended.Status);
  Ended.Id = From.PeerCall;
  Ended.Attempt = From.PeerAttempt;
  afterAt(*From.Peer, Latency, [this, From, Ended] { end(*From.Peer, Ended); });
}

void FleetModel::handle(std::size_t Index,
                        const request::DeliverAnswer &Answer) {
  AttemptEnded Ended;
  Ended.End = AttemptEnd::Held;
  Ended.Status = Nodes[Index].Origins.at(Answer.Id).Status;
  Ended.Load = Answer.Load;
  Ended.ReachedTarget = true;
  conclude(Index, Answer.Id, Ended);
}

void FleetModel::handle(std::size_t Index, const request::Refuse &Refusal) {
  AttemptEnded Ended;
  const bool NotRun = Refusal.Result == request::Outcome::NotRun;
  Ended.End = NotRun ? AttemptEnd::NotRun : AttemptEnd::NoAnswer;
  Ended.Status = NotRun ? 503 : 502;
  if (Refusal.Status != 0)
    Ended.Status = Refusal.Status;
  Ended.Load = Refusal.Load;
  Ended.ReachedTarget = Refusal.ReachedTarget;
  Ended.TargetCrashed = Refusal.TargetCrashed;
  conclude(Index, Refusal.Id, Ended);
}

void FleetModel::handle(std::size_t Index,
                        const request::CancelAttempt &Cancel) {
  Nodes[Index].Active.erase(Cancel.Id);
  // The connection to the other node closes.
  for (std::size_t Peer = 0; Peer < Nodes.size(); ++Peer)
    for (const auto &[Id, From] : Nodes[Peer].Origins)
      if (From.Peer == Index && From.PeerCall == Cancel.Id &&
          From.PeerAttempt == Cancel.Attempt)
        afterAt(Peer, Latency, [this, Peer, Id = Id] {
          deliver(Peer, request::CallerDisconnected{Id});
        });
}

void FleetModel::handle(std::size_t Index, const SendReport &Report) {
  for (const std::string &Address : Report.Addresses) {
    const std::size_t Receiver = indexOf(core::NodeId(Address));
    if (!reaches(Index, Receiver))
      continue;
    after(Latency, [this, Receiver, Sent = Report.Report] {
      if (Nodes[Receiver].State)
        deliver(Receiver, ReportReceived{Sent});
    });
  }
}

void FleetModel::handle(std::size_t Index, const SendQuota &Sent) {
  const std::size_t Receiver = indexOf(core::NodeId(Sent.Address));
  if (!reaches(Index, Receiver))
    return;
  after(Latency, [this, Receiver, Message = Sent.Message] {
    if (!Nodes[Receiver].State)
      return;
    if (const auto *Request = std::get_if<quota::QuotaRequest>(&Message))
      deliver(Receiver, QuotaRequestReceived{*Request});
    else
      deliver(Receiver,
              QuotaReplyReceived{std::get<quota::QuotaReply>(Message)});
  });
}

std::size_t FleetModel::mostInWindow(const std::string &Tenant,
                                     milliseconds Window,
                                     core::TimePoint From) const {
  std::vector<std::pair<core::TimePoint, core::TimePoint>> Runs;
  for (const Arrival &Each : Arrivals) {
    const auto Sent = TenantRequests.find(Each.RequestId);
    if (Sent != TenantRequests.end() && Sent->second.Tenant == Tenant &&
        Sent->second.SentAt >= From)
      Runs.emplace_back(Sent->second.SentAt, Each.At);
  }
  std::ranges::sort(Runs);
  std::size_t Most = 0;
  constexpr milliseconds Step{50};
  for (core::TimePoint Begin = From; Begin < Now; Begin += Step) {
    const auto First = std::ranges::lower_bound(
        Runs, std::pair(Begin, core::TimePoint::min()));
    Most = std::max(Most, static_cast<std::size_t>(std::count_if(
                              First, Runs.end(), [&](const auto &Run) {
                                return Run.second <= Begin + Window;
                              })));
  }
  return Most;
}

void FleetModel::handle(std::size_t, const WriteMove &Write) {
  if (Write.Phase < MovePhase::Completed)
    return;
  const std::string &Service = Write.Service.value();
  if (!MoveEnds.try_emplace(Service, Write.Phase, Now).second)
    return;
  after(Latency, [this, Write] {
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
      if (Nodes[Index].State &&
          (MoveEndLoss <= 0 || Source.unit() >= MoveEndLoss))
        deliver(Index,
                MoveStateRead{Write.Service, Write.NewVersion, Write.Phase});
  });
}

std::size_t FleetModel::indexOf(const core::NodeId &Name) const {
  return std::stoul(Name.value().substr(1));
}

double retryBudgetExcess(const FleetModel &Fleet, const std::string &Service,
                         const SharedRetryBudgetSettings &Budget) {
  const auto CountBetween = [](const std::vector<core::TimePoint> &Times,
                               core::TimePoint From, core::TimePoint To) {
    return static_cast<double>(std::ranges::lower_bound(Times, To) -
                               std::ranges::lower_bound(Times, From));
  };
  std::vector<core::TimePoint> Requests;
  std::vector<core::TimePoint> Repeats;
  for (const auto &[At, Name] : Fleet.Requests)
    if (Name == Service)
      Requests.push_back(At);
  for (const FleetModel::Arrival &Arrival : Fleet.Arrivals)
    if (Arrival.Service == Service && Arrival.Repeat)
      Repeats.push_back(Arrival.At);
  double Excess = 0;
  for (const core::TimePoint From : Repeats) {
    double Most = 0;
    for (const core::Microseconds Earlier :
         {core::Microseconds(0), core::Microseconds(Budget.Window) / 2,
          core::Microseconds(Budget.Window)})
      Most = std::max(Most, CountBetween(Requests, From - Earlier,
                                         From - Earlier + Budget.Window));
    const double Allowed = Budget.Ratio * Most + Budget.Slack;
    Excess = std::max(
        Excess, CountBetween(Repeats, From, From + Budget.Window) - Allowed);
  }
  return Excess;
}

} // namespace meshbench
