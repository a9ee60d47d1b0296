#include "Cost.h"
#include "filbertvane/decision/request/Reducer.h"
#include <algorithm>
#include <chrono>
#include <fmt/core.h>

namespace filbertvane::policy {

using namespace decision::request;

namespace {

constexpr std::size_t Nodes = 105;
constexpr std::size_t Services = 93;
constexpr std::size_t Calls = 20000;
constexpr std::size_t Rounds = 5;
/// Calls in progress while one is measured.
constexpr std::size_t Open = 64;

State loaded(std::uint64_t Seed) {
  Settings Own;
  Own.Self = core::NodeId("n0");
  Own.DataCentre = core::DataCentreId("dc");
  Own.Region = core::RegionId("r");
  Own.Seed = Seed;
  config::FleetState Fleet;
  std::vector<Endpoint> Places;
  for (std::size_t At = 0; At < Services; ++At) {
    const std::string Name = "service-" + std::to_string(At);
    config::RouteSpec Route;
    Route.Name = core::RouteName(Name + "-list");
    Route.Prefix = "/" + Name;
    Route.Service = core::ServiceName(Name);
    Fleet.CurrentSheet.Routes.push_back(Route);
    Fleet.TrafficByService[Route.Service] = {core::TargetVersion("1"), {}, 0};
  }
  for (std::size_t At = 1; At <= Nodes; ++At) {
    const std::string Name = "n" + std::to_string(At);
    Places.push_back(
        {core::TargetId(Name),
         core::ServiceName("service-" + std::to_string(At % Services)),
         core::TargetVersion("1"), core::NodeId(Name), core::DataCentreId("dc"),
         core::RegionId("r"), Name, 18, core::TimePoint()});
  }
  const core::Instant Now{core::TimePoint(core::Seconds(100)), {}};
  const auto Shared =
      std::make_shared<const config::FleetState>(std::move(Fleet));
  auto Next = reduce(State(Own), ConfigurationChanged{Shared, {}}, Now);
  return reduce(std::move(Next.NextState), EndpointsChanged{Places}, Now)
      .NextState;
}

/// Nanoseconds per event over all calls of one round.
double measure(State &Node, std::uint64_t &LastId) {
  const core::Instant Now{core::TimePoint(core::Seconds(100)), {}};
  std::size_t Events = 0;
  std::chrono::nanoseconds Spent{0};
  const auto Timed = [&](const Event &What) {
    const auto Before = std::chrono::steady_clock::now();
    auto Next = reduce(std::move(Node), What, Now);
    Node = std::move(Next.NextState);
    Spent += std::chrono::steady_clock::now() - Before;
    ++Events;
    return std::move(Next.EmittedEffects);
  };
  std::vector<std::pair<core::CallId, core::AttemptId>> Started;
  for (std::size_t Call = 0; Call < Calls; ++Call) {
    CallArrived What;
    What.Id = core::CallId(++LastId);
    What.Path =
        "/service-" + std::to_string(LastId % Services) + "/items/17?page=2";
    What.RequestDigest = core::Digest(LastId);
    for (const Effect &One : Timed(What))
      if (const auto *To = std::get_if<StartAttempt>(&One))
        Started.emplace_back(To->Id, To->Attempt);
    if (Started.size() < Open)
      continue;
    const auto [Id, Attempt] = Started.front();
    Started.erase(Started.begin());
    Timed(AnswerStarted{Id, Attempt, 200, 0});
    AttemptEnded Ended;
    Ended.Id = Id;
    Ended.Attempt = Attempt;
    Ended.End = AttemptEnd::Answered;
    Ended.Status = 200;
    Timed(Ended);
  }
  return static_cast<double>(Spent.count()) / static_cast<double>(Events);
}

/// Nanoseconds of an event about a call that ended: moves and dispatch only.
double measureIdle(State &Node) {
  const core::Instant Now{core::TimePoint(core::Seconds(100)), {}};
  const Event What = CallerDisconnected{core::CallId(0)};
  const auto Before = std::chrono::steady_clock::now();
  for (std::size_t Call = 0; Call < Calls; ++Call) {
    auto Next = reduce(std::move(Node), What, Now);
    Node = std::move(Next.NextState);
  }
  const std::chrono::nanoseconds Spent =
      std::chrono::steady_clock::now() - Before;
  return static_cast<double>(Spent.count()) / static_cast<double>(Calls);
}

} // namespace

void printCost(std::uint64_t Seed) {
  State Node = loaded(Seed);
  std::uint64_t LastId = 0;
  std::vector<double> PerEvent;
  for (std::size_t Round = 0; Round < Rounds; ++Round)
    PerEvent.push_back(measure(Node, LastId));
  std::sort(PerEvent.begin(), PerEvent.end());
  fmt::print("cost: nodes={} services={} ns_per_event_min={:.0f} "
             "ns_per_event_median={:.0f} ns_idle_event={:.0f}\n",
             Nodes, Services, PerEvent.front(), PerEvent[Rounds / 2],
             measureIdle(Node));
}

} // namespace filbertvane::policy
