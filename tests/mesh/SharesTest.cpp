#include "MeshBench.h"
#include "filbertvane/decision/mesh/Limits.h"
#include "filbertvane/decision/mesh/ShutdownSchedule.h"

using namespace meshbench;

namespace {

/// Budget of a process that runs for longer than a window at time 0.
SharedRetryBudget longRunning(const SharedRetryBudgetSettings &Terms) {
  return {Terms, at(0) - Terms.Window};
}

std::size_t takeAll(SharedRetryBudget &Budget, std::size_t Nodes,
                    core::TimePoint Now) {
  std::size_t Taken = 0;
  while (Budget.tryTake(Nodes, Now))
    ++Taken;
  return Taken;
}

} // namespace

// Guards against retries that exceed the shared budget when each node sees only
// its own requests.
Test(shared_retry_budget, all_nodes_together_stay_within_it) {
  const SharedRetryBudgetSettings Terms{0.2, 64, milliseconds(10000)};
  constexpr std::size_t Nodes = 18;
  std::vector<SharedRetryBudget> Budgets(Nodes, longRunning(Terms));
  std::size_t Requests = 0;
  std::size_t Retries = 0;
  for (int Ms = 0; Ms < 10000; Ms += 10)
    for (std::size_t Node = 0; Node < Nodes; ++Node) {
      if (Ms % 40 == 0) {
        Budgets[Node].recordRequest(at(Ms));
        ++Requests;
      }
      // Every node requests a retry at every step.
      Retries += Budgets[Node].tryTake(Nodes, at(Ms)) ? 1 : 0;
    }
  const double Budget = 0.2 * static_cast<double>(Requests) + 64;
  cr_assert(static_cast<double>(Retries) <= Budget, "%zu", Retries);
  cr_assert(static_cast<double>(Retries) >= 0.4 * Budget, "%zu", Retries);
}

// Guards against a budget that is never refilled, or refilled at once.
Test(shared_retry_budget, it_is_that_of_the_last_window) {
  SharedRetryBudget Budget = longRunning({0.2, 10, milliseconds(10000)});
  std::size_t Taken = 0;
  while (Budget.tryTake(1, at(0)))
    ++Taken;
  cr_assert(Taken == 6, "%zu", Taken);
  cr_assert(!Budget.tryTake(1, at(9000)));
  cr_assert(Budget.tryTake(1, at(10000)));
}

// Guards against a share that is spent twice within one window, the first time
// shortly before a slice of the count ends.
Test(shared_retry_budget, a_retry_counts_until_the_window_has_passed) {
  constexpr int WindowMs = 10000;
  for (const int SpentAt : {0, 300, 950, 999}) {
    SharedRetryBudget Budget = longRunning({0.2, 10, milliseconds(WindowMs)});
    while (Budget.tryTake(1, at(SpentAt))) {
    }
    for (int Ms = SpentAt; Ms < SpentAt + WindowMs; Ms += 50)
      cr_assert(!Budget.tryTake(1, at(Ms)), "spent at %d, again at %d", SpentAt,
                Ms);
    cr_assert(Budget.tryTake(1, at(SpentAt + WindowMs)));
  }
}

// Guards against nodes that spend what they earned before their traffic moved
// to other nodes, which earn and spend it again within the window.
Test(shared_retry_budget, traffic_that_moves_to_other_nodes_earns_no_more) {
  const SharedRetryBudgetSettings Terms{0.2, 64, milliseconds(10000)};
  constexpr std::size_t Nodes = 16;
  constexpr int WindowMs = 10000;
  constexpr int PerMs = 2;
  std::vector<SharedRetryBudget> Budgets(Nodes, longRunning(Terms));
  // All of the traffic is at the first node, which spends its share at the end
  // of the window.
  for (int Ms = 0; Ms < WindowMs; ++Ms)
    for (int I = 0; I < PerMs; ++I)
      Budgets[0].recordRequest(at(Ms));
  std::size_t Retries = takeAll(Budgets[0], Nodes, at(WindowMs - 1));
  // Then it is spread over the others, which spend theirs within a window.
  for (int Ms = WindowMs; Ms < 2 * WindowMs - 1; ++Ms)
    for (int I = 0; I < PerMs; ++I) {
      SharedRetryBudget &Budget = Budgets[1 + (Ms + I) % (Nodes - 1)];
      Budget.recordRequest(at(Ms));
      Retries += takeAll(Budget, Nodes, at(Ms));
    }
  const double Allowed = 0.2 * PerMs * WindowMs + 64;
  cr_assert(static_cast<double>(Retries) <= Allowed, "%zu of %g", Retries,
            Allowed);
}

// Guards against a share that a restarted node spends a second time within the
// window.
Test(shared_retry_budget, a_restart_does_not_renew_the_share_of_a_node) {
  const SharedRetryBudgetSettings Terms{0.2, 160, milliseconds(10000)};
  constexpr std::size_t Nodes = 16;
  constexpr int RequestEveryMs = 20;
  constexpr double Budget = 0.2 * 10000 / RequestEveryMs + 160.0 / Nodes;
  // One restart, after the whole share was spent at once.
  {
    SharedRetryBudget Before = longRunning(Terms);
    for (int Ms = 0; Ms < 10000; Ms += RequestEveryMs)
      Before.recordRequest(at(Ms));
    std::size_t Retries = takeAll(Before, Nodes, at(9999));
    SharedRetryBudget After(Terms, at(10000));
    for (int Ms = 10000; Ms < 19990; Ms += RequestEveryMs) {
      After.recordRequest(at(Ms));
      Retries += takeAll(After, Nodes, at(Ms));
    }
    cr_assert(static_cast<double>(Retries) <= Budget, "%zu of %g", Retries,
              Budget);
  }
  // A node whose process ends again and again, without requests.
  {
    std::size_t Retries = 0;
    for (int Start = 0; Start < 10000; Start += 500) {
      SharedRetryBudget ShortLived({0.2, 160, milliseconds(10000)}, at(Start));
      for (int Ms = Start; Ms < Start + 500; Ms += 50)
        Retries += takeAll(ShortLived, Nodes, at(Ms));
    }
    cr_assert(static_cast<double>(Retries) <= 160.0 / Nodes, "%zu", Retries);
  }
}

// Guards against nodes that lost contact with each other and each take the
// fixed part of the budget for themselves.
Test(shared_retry_budget, a_cut_does_not_enlarge_the_share_of_a_node) {
  Bench Node;
  Node.State.Settings.Budget = {0, 100, milliseconds(10000)};
  Node.configure();
  for (int I = 1; I < 10; ++I)
    Node.send(ReportReceived{report("n" + std::to_string(I))});
  Node.Now += HostEvictionTimeout + milliseconds(1);
  Node.send(request::Tick{});
  cr_assert(Node.State.Hosts.hosts().empty());
  Node.send(ReportReceived{report("n1", 2)});
  Node.send(ReportReceived{report("n2", 2)});
  std::size_t Retries = 0;
  for (std::uint64_t Id = 1; Id <= 40; ++Id) {
    Node.arrive(Id);
    const auto Sent = Node.first<request::StartAttempt>();
    Node.end(*Sent, request::AttemptEnd::NoAnswer);
    Retries += Node.count<request::StartAttempt>();
  }
  cr_assert(Retries > 0 && Retries <= 100 / 10, "%zu", Retries);
}

// Guards against retries that take the part of the share that calls of admitted
// repeated runs need, and against calls beyond the share.
Test(shared_retry_budget, calls_of_repeated_runs_stay_within_the_share) {
  Bench Node;
  Node.State.Settings.Budget = {0, 20, milliseconds(10000)};
  config::Routing Routing = shopRouting();
  Routing.Services.push_back({core::ServiceName("price")});
  Routing.Routes.push_back(shopRoute("price", true));
  Routing.Routes.back().Services = {{core::ServiceName("price"), 1}};
  Node.configure(Routing);
  Node.announce();
  for (const char *Host : {"n1", "n2"}) {
    HostReport Report = report(Host);
    Report.Target->Service = core::ServiceName("price");
    Node.send(ReportReceived{Report});
  }
  const auto Run = [&](std::uint64_t Id, bool Repeat) {
    request::CallArrived Call;
    Call.Id = core::CallId(Id);
    Call.FromNode = true;
    Call.Sender = core::NodeId("n1");
    Call.Target = core::TargetId("own");
    Call.CallerId = "c" + std::to_string(Id);
    Call.TimeLeft = milliseconds(1000);
    Call.Terms = request::HopTerms{core::RouteName("list"), milliseconds(400),
                                   1, true, false};
    Call.Terms->Repeat = Repeat;
    Node.send(Call);
    return Node.first<request::StartAttempt>();
  };
  const auto CallPrice = [&](std::uint64_t Id, const std::string &Parent) {
    request::CallArrived Call;
    Call.Id = core::CallId(Id);
    Call.Path = "/price/1";
    Call.VirtualHost = "shop.example";
    Call.CallerId = Parent + "." + std::to_string(Id);
    Call.ParentId = Parent;
    Node.send(Call);
    return Node.first<request::StartAttempt>();
  };
  const auto Left = [&] {
    return Node.State.Services.at(core::ServiceName("price"))
        .Budget.remaining(3, Node.Now);
  };
  // Runs of the route make one call each.
  const auto First = Run(1, false);
  Node.end(*CallPrice(2, "c1"), request::AttemptEnd::Held, 200, true);
  Node.end(*First, request::AttemptEnd::Held, 200, true);
  cr_assert(Left() == 4);
  // While a repeated one runs, ordinary calls are refused by their targets.
  cr_assert(Run(3, true).has_value());
  for (std::uint64_t Id = 10; Id < 20; ++Id)
    Node.end(*CallPrice(Id, ""), request::AttemptEnd::NotRun, 503, true);
  cr_assert(Left() == 1, "%g", Left());
  cr_assert(CallPrice(4, "c3").has_value());
  cr_assert(Left() == 0, "%g", Left());
  // It makes more calls than the mean.
  cr_assert(!CallPrice(5, "c3").has_value());
  const auto Refused = Node.first<request::Refuse>();
  cr_assert(Refused && Refused->Result == request::Outcome::NotRun);
  cr_assert(Left() == 0, "%g", Left());
}

// Guards against a service of a split that gets more or less than its weight.
Test(split, each_service_gets_its_weight_in_each_window) {
  const std::vector<config::WeightedService> Services = {
      {core::ServiceName("a"), 90},
      {core::ServiceName("b"), 10},
      {core::ServiceName("none"), 0}};
  for (const double Phase : {0.0, 0.3, 0.99}) {
    SplitSelector Split(Phase);
    for (int Window = 0; Window < 20; ++Window) {
      std::size_t CountOfB = 0;
      for (int I = 0; I < 100; ++I) {
        const std::string Name = Split.next(Services).value();
        cr_assert(Name != "none");
        CountOfB += Name == "b" ? 1 : 0;
      }
      cr_assert(CountOfB >= 9 && CountOfB <= 11, "%zu", CountOfB);
    }
  }
}

// Guards against a shutdown that does not drain under load and cuts off
// requests.
Test(shutdown_schedule, a_loaded_node_drains_before_it_exits) {
  const ShutdownSchedule Schedule(at(0), milliseconds(6000));
  cr_assert(Schedule.stepAt(at(2000), 0) == ShutdownStep::Accept);
  cr_assert(Schedule.stepAt(at(2400), 3) == ShutdownStep::Drain);
  cr_assert(Schedule.stepAt(at(2400), 0) == ShutdownStep::Exit);
  cr_assert(Schedule.stepAt(at(5700), 3) == ShutdownStep::Exit);
}
