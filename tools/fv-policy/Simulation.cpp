#include "Simulation.h"
#include <algorithm>
#include <cmath>

namespace filbertvane::policy {

using namespace decision::request;

namespace {

constexpr core::Microseconds Hop{500};
constexpr core::Milliseconds TickPeriod{50};
const core::TimePoint Start{core::Seconds(1000)};

Settings settingsOf(const std::string &Name, const Trial &What) {
  Settings Own;
  Own.Self = core::NodeId(Name);
  Own.DataCentre = core::DataCentreId("dc");
  Own.Region = core::RegionId("r");
  Own.Seed = core::digestOf(Name, What.Seed).value();
  Own.Picker = What.Picker;
  Own.Bounds.ShedByDeadline = What.ShedByDeadline;
  return Own;
}

std::shared_ptr<const config::FleetState> fleet() {
  config::FleetState Made;
  config::RouteSpec Route;
  Route.Name = core::RouteName("list");
  Route.Prefix = "/list";
  Route.Service = core::ServiceName("shop");
  Made.CurrentSheet.Routes.push_back(Route);
  Made.TrafficByService[Route.Service] = {core::TargetVersion("1"), {}, 0};
  return std::make_shared<const config::FleetState>(std::move(Made));
}

std::vector<Endpoint> endpoints(const Trial &What) {
  std::vector<Endpoint> Places;
  for (std::size_t At = 0; At < What.Targets.size(); ++At) {
    const TargetModel &Model = What.Targets[At];
    const std::string Name = std::to_string(At);
    // Targets that are not cold were announced long ago.
    const core::TimePoint Since =
        Model.ColdFactor > 1 ? Start : core::TimePoint();
    Places.push_back({core::TargetId(Name), core::ServiceName("shop"),
                      core::TargetVersion("1"), core::NodeId(Name),
                      core::DataCentreId("dc"), core::RegionId("r"), Name,
                      Model.Announced, Since});
  }
  return Places;
}

} // namespace

double Figures::successShare() const {
  return Calls == 0 ? 0
                    : static_cast<double>(InTime) / static_cast<double>(Calls);
}

double Figures::percentileMs(double Rank) {
  if (LatenciesMs.empty())
    return 0;
  std::sort(LatenciesMs.begin(), LatenciesMs.end());
  const auto Last = static_cast<double>(LatenciesMs.size() - 1);
  return LatenciesMs[static_cast<std::size_t>(Last * Rank)];
}

Simulation::Simulation(Trial Given)
    : What(std::move(Given)), Source(What.Seed), Clock(Start) {
  const Event Configured = ConfigurationChanged{fleet(), {}};
  const Event Announced = EndpointsChanged{endpoints(What)};
  for (std::size_t At = 0; At < What.EntryNodes; ++At) {
    Entries.emplace_back(settingsOf("entry" + std::to_string(At), What));
    handle(Entries.back(), Configured, At);
    handle(Entries.back(), Announced, At);
  }
  for (std::size_t At = 0; At < What.Targets.size(); ++At) {
    Hosts.push_back(
        {State(settingsOf(std::to_string(At), What)), What.Targets[At]});
    handle(Hosts.back().Node, Configured, At);
    handle(Hosts.back().Node, Announced, At);
  }
}

core::Instant Simulation::now() const {
  return {Clock, core::WallTime(std::chrono::duration_cast<core::Milliseconds>(
                     Clock.time_since_epoch()))};
}

void Simulation::at(core::TimePoint When, std::function<void()> Run) {
  Queue.push({When, ++Order, std::move(Run)});
}

void Simulation::after(core::Microseconds Time, std::function<void()> Run) {
  at(Clock + Time, std::move(Run));
}

Figures Simulation::run() {
  const core::TimePoint End = Start + core::Seconds(What.Seconds);
  for (core::TimePoint When = Start; When < End;) {
    arrive(When);
    const double Gap = -std::log(1 - Source.unit()) / What.PerSecond;
    When += core::Microseconds(std::max(1LL, std::llround(Gap * 1e6)));
  }
  for (core::TimePoint When = Start; When < End + core::Seconds(2);
       When += TickPeriod)
    at(When, [this] { tick(); });
  while (!Queue.empty()) {
    const Due Next = Queue.top();
    Queue.pop();
    Clock = Next.At;
    Next.Run();
  }
  return std::move(Result);
}

void Simulation::tick() {
  for (std::size_t At = 0; At < Entries.size(); ++At)
    handle(Entries[At], Tick{}, At);
  for (std::size_t At = 0; At < Hosts.size(); ++At)
    handle(Hosts[At].Node, Tick{}, At);
}

void Simulation::arrive(core::TimePoint When) {
  at(When, [this] {
    const std::size_t Entry = Source.below(Entries.size());
    CallArrived Call;
    Call.Id = core::CallId(++LastCall * Entries.size() + Entry);
    Call.Path = "/list";
    Call.RequestDigest = core::Digest(LastCall);
    Call.Deadline = now().Wall + core::Milliseconds(What.DeadlineMs);
    Traces[Call.Id.value()] = {Clock};
    ++Result.Calls;
    handle(Entries[Entry], Call, Entry);
  });
}

void Simulation::handle(State &Node, const Event &Event, std::size_t Place) {
  auto Next = reduce(std::move(Node), Event, now());
  Node = std::move(Next.NextState);
  const bool IsHost = Node->LocalTargets.size() == 1;
  for (const Effect &One : Next.EmittedEffects) {
    if (const auto *To = std::get_if<StartAttempt>(&One))
      IsHost ? serve(Place, *To) : send(*To);
    const auto *No = std::get_if<Refuse>(&One);
    if (No && IsHost)
      after(Hop, [this, Id = No->Id] {
        endAtEntry(Id.value() % Entries.size(), Id, false);
      });
  }
}

void Simulation::send(const StartAttempt &To) {
  Attempts[To.Id.value()] = To.Attempt;
  const std::size_t Place = std::stoul(To.To.Node.value());
  CallArrived Call;
  Call.Id = To.Id;
  Call.FromNode = true;
  Call.Path = "/list";
  Call.RequestDigest = core::Digest(To.Id.value());
  Call.Deadline = core::toWall(To.Deadline, now());
  Call.Service = To.Service;
  Call.Version = To.To.Version;
  Call.Target = To.To.Target;

  after(Hop, [this, Place, Call] { handle(Hosts[Place].Node, Call, Place); });
}

core::Microseconds Simulation::serviceTime(const Host &At) {
  // Half fixed, half exponential.
  double Ms = At.Model.MeanMs * (0.5 - 0.5 * std::log(1 - Source.unit()));
  const bool Cold = Clock < Start + core::Seconds(10);
  Ms *= Cold ? At.Model.ColdFactor : 1;
  const double Over = static_cast<double>(At.Running) / At.Model.Real;
  return core::Microseconds(std::llround(Ms * std::max(1.0, Over) * 1000));
}

void Simulation::serve(std::size_t Place, const StartAttempt &To) {
  ++Hosts[Place].Running;
  after(serviceTime(Hosts[Place]),
        [this, Place, Id = To.Id, Attempt = To.Attempt] {
          endAtHost(Place, Id, Attempt);
        });
}

void Simulation::endAtHost(std::size_t Place, core::CallId Id,
                           core::AttemptId Attempt) {
  --Hosts[Place].Running;
  const bool Wanted = Hosts[Place].Node->Calls.contains(Id);
  AttemptEnded Ended;
  Ended.Id = Id;
  Ended.Attempt = Attempt;
  Ended.End = AttemptEnd::Answered;
  Ended.Status = 200;
  handle(Hosts[Place].Node, Ended, Place);
  if (Wanted)
    after(Hop,
          [this, Id] { endAtEntry(Id.value() % Entries.size(), Id, true); });
}

void Simulation::endAtEntry(std::size_t Entry, core::CallId Id, bool Answered) {
  const auto Trace = Traces.find(Id.value());
  const bool Waits = Entries[Entry]->Calls.contains(Id);
  if (Answered && Waits && Trace != Traces.end()) {
    const core::Microseconds Took = Clock - Trace->second.Began;
    Result.LatenciesMs.push_back(static_cast<double>(Took.count()) / 1000);
    Result.InTime += Took <= core::Milliseconds(What.DeadlineMs) ? 1 : 0;
  }
  AttemptEnded Ended;
  Ended.Id = Id;
  Ended.Attempt = Attempts[Id.value()];
  Ended.End = Answered ? AttemptEnd::Answered : AttemptEnd::NotRun;
  Ended.Status = Answered ? 200 : 503;
  handle(Entries[Entry], Ended, Entry);
}

} // namespace filbertvane::policy
