#include "FleetModel.h"

using namespace meshbench;

namespace {

const SharedRetryBudgetSettings Budget{0.2, 60, milliseconds(10000)};
constexpr std::int64_t FaultBeginMs = 12000;
constexpr std::int64_t EndMs = 30000;

/// A service `page` whose runs call `price` twice, with clients at each node.
FleetModel chain(std::uint64_t Seed) {
  FleetModel Fleet(Seed, Budget);
  Fleet.Targets["page"].Calls = {"price", "price"};
  Fleet.Targets["price"].RunTime = milliseconds(20);
  for (int I = 0; I < 16; ++I)
    Fleet.addNode("page");
  for (int I = 0; I < 8; ++I)
    Fleet.addNode("price");
  for (std::size_t Node = 0; Node < Fleet.size(); ++Node) {
    Fleet.addClients(Node, "page", 10);
    Fleet.addClients(Node, "price", 4);
  }
  return Fleet;
}

} // namespace

// Guards against calls of repeated runs that a service gets beyond its budget.
Test(retry_chain, calls_of_repeated_runs_stay_within_the_budget) {
  for (const std::uint64_t Seed : {1, 2, 3}) {
    // The called service loses answers: both services retry.
    {
      FleetModel Fleet = chain(Seed);
      Fleet.runUntil(FaultBeginMs);
      Fleet.Targets["price"].LossProbability = 0.6;
      Fleet.runUntil(EndMs);
      const double Excess = retryBudgetExcess(Fleet, "price", Budget);
      cr_assert(Excess <= 0, "seed %d: %g too many", int(Seed), Excess);
    }
    // Both lose answers.
    {
      FleetModel Fleet = chain(Seed);
      Fleet.runUntil(FaultBeginMs);
      Fleet.Targets["page"].LossProbability = 0.4;
      Fleet.Targets["price"].LossProbability = 0.4;
      Fleet.runUntil(EndMs);
      const double Excess = retryBudgetExcess(Fleet, "price", Budget);
      cr_assert(Excess <= 0, "seed %d: %g too many", int(Seed), Excess);
    }
  }
}

// Guards against a budget that hosts spend before they are replaced by others,
// which then spend it a second time within the window.
Test(retry_chain, shed_calls_stay_within_the_budget_when_hosts_are_replaced) {
  constexpr std::size_t PageHosts = 8;
  for (const std::uint64_t Seed : {1, 2, 3}) {
    FleetModel Fleet(Seed, Budget);
    Fleet.Targets["page"].Calls = {"price"};
    Fleet.Targets["price"].RunTime = milliseconds(20);
    for (std::size_t I = 0; I < PageHosts; ++I)
      Fleet.addClients(Fleet.addNode("page"), "page", 75);
    for (int I = 0; I < 8; ++I)
      Fleet.addNode("price");
    Fleet.runUntil(FaultBeginMs);
    Fleet.Targets["price"].ShedProbability = 0.9;
    Fleet.runUntil(FaultBeginMs + 1000);
    for (std::size_t Host = 0; Host < PageHosts; ++Host) {
      Fleet.kill(Host);
      Fleet.addClients(Fleet.addNode("page"), "page", 75);
    }
    Fleet.runUntil(EndMs);
    const double Excess = retryBudgetExcess(Fleet, "price", Budget);
    cr_assert(Excess <= 0, "seed %d: %g too many", int(Seed), Excess);
  }
}

// Guards against processes that know few others and each take a large part of
// the fixed number for their own.
Test(retry_chain, processes_that_know_no_list_stay_within_the_budget) {
  const SharedRetryBudgetSettings MostlyFixed{0.02, 200, milliseconds(10000)};
  constexpr std::size_t Size = 12;
  constexpr std::size_t Survivors = 3;
  FleetModel Fleet(1, MostlyFixed);
  Fleet.Targets["price"].RunTime = milliseconds(20);
  for (std::size_t Node = 0; Node < Size; ++Node)
    Fleet.addClients(Fleet.addNode("price"), "price", 10);
  Fleet.runUntil(FaultBeginMs);
  // A host that restarts hears from those that went on, and from no other.
  Fleet.StoreAway = true;
  for (std::size_t Node = Survivors; Node < Size; ++Node)
    Fleet.kill(Node);
  Fleet.runUntil(FaultBeginMs + 500);
  for (std::size_t Node = Survivors; Node < Size; ++Node)
    Fleet.start(Node);
  Fleet.Targets["price"].ShedProbability = 0.7;
  Fleet.runUntil(FaultBeginMs + 30000);
  const double Excess = retryBudgetExcess(Fleet, "price", MostlyFixed);
  cr_assert(Excess <= 0, "%g too many", Excess);
}

// Guards against a budget that is kept by not retrying at all.
Test(retry_chain, retries_still_hide_lost_answers) {
  FleetModel Fleet = chain(4);
  Fleet.runUntil(FaultBeginMs);
  Fleet.Answers.clear();
  Fleet.Targets["page"].LossProbability = 0.05;
  Fleet.runUntil(EndMs);
  const auto Failed = static_cast<double>(Fleet.Answers[502]);
  const auto Served = static_cast<double>(Fleet.Answers[200]);
  cr_assert(Failed < 0.01 * Served, "%g failed, %g served", Failed, Served);
}
