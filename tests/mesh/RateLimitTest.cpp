#include "FleetModel.h"
#include <algorithm>

using namespace meshbench;

namespace {

const SharedRetryBudgetSettings Budget{0.2, 60, milliseconds(10000)};
constexpr std::int64_t LimitedMs = 5000;
/// Time after which a target that named a limit gets no more than it.
constexpr std::int64_t KnownMs = 500;
constexpr std::int64_t EndMs = 20000;
constexpr milliseconds Window{4000};

/// Most requests that a target got in any window after a time.
std::size_t mostInWindow(const FleetModel &Fleet, std::size_t Host,
                         std::int64_t SinceMs) {
  std::vector<core::TimePoint> Times;
  for (const FleetModel::Arrival &Arrival : Fleet.Arrivals)
    if (Arrival.Host == Host && Arrival.At >= at(100000 + SinceMs))
      Times.push_back(Arrival.At);
  std::size_t Most = 0;
  for (auto First = Times.begin(); First != Times.end(); ++First)
    Most = std::max(
        Most,
        static_cast<std::size_t>(
            std::lower_bound(First, Times.end(), *First + Window) - First));
  return Most;
}

/// A service of some targets; clients at some of the nodes.
FleetModel shop(std::size_t Size, std::size_t NodesWithClients,
                double PerSecond, std::uint64_t Seed = 1) {
  FleetModel Fleet(Seed, Budget);
  Fleet.Targets["shop"] = {};
  Fleet.Targets["other"] = {};
  for (std::size_t I = 0; I < Size; ++I)
    Fleet.addNode(I < Size / 2 ? "shop" : "other");
  for (std::size_t Node = Size - NodesWithClients; Node < Size; ++Node)
    Fleet.addClients(Node, "shop",
                     PerSecond / static_cast<double>(NodesWithClients));
  return Fleet;
}

void assertLimited(const FleetModel &Fleet, std::size_t Host, double PerSecond,
                   std::int64_t SinceMs, const char *Story) {
  const std::size_t Most = mostInWindow(Fleet, Host, SinceMs);
  // Four seconds at the limit, and what may start at once.
  const double Allowed = PerSecond * 4 + std::max(1.0, PerSecond * 0.1) + 1;
  cr_assert(static_cast<double>(Most) <= Allowed, "%s: %zu of %g", Story, Most,
            Allowed);
}

} // namespace

// Guards against a target that gets more requests than the limit it named.
Test(rate_limit, the_nodes_together_keep_the_limit_of_a_target) {
  // Many nodes with little work each, and few of many with all of it.
  for (const std::size_t NodesWithClients : {12, 1}) {
    FleetModel Fleet = shop(12, NodesWithClients, 300);
    Fleet.runUntil(LimitedMs);
    Fleet.limitTarget(0, 20);
    Fleet.runUntil(EndMs);
    assertLimited(Fleet, 0, 20, LimitedMs + KnownMs, "one target");
    cr_assert(mostInWindow(Fleet, 0, LimitedMs + KnownMs) >= 4 * 20 * 0.8,
              "the target is hardly used");
    cr_assert(Fleet.Answers[503] == 0, "others had room");
  }
  // Several targets at once, with different limits, also very low ones.
  {
    FleetModel Fleet = shop(12, 12, 300);
    Fleet.runUntil(LimitedMs);
    const double Limits[] = {40, 10, 1.5, 0.25};
    for (std::size_t Host = 0; Host < std::size(Limits); ++Host)
      Fleet.limitTarget(Host, Limits[Host]);
    Fleet.runUntil(EndMs);
    for (std::size_t Host = 0; Host < std::size(Limits); ++Host)
      assertLimited(Fleet, Host, Limits[Host], LimitedMs + KnownMs, "several");
  }
}

// Guards against a limit that is exceeded when nodes join, restart, or lose
// contact with each other.
Test(rate_limit, the_limit_holds_while_nodes_come_and_go) {
  // A node that joins later sends requests as well.
  {
    FleetModel Fleet = shop(8, 8, 200);
    Fleet.runUntil(LimitedMs);
    Fleet.limitTarget(0, 15);
    Fleet.runUntil(LimitedMs + 3000);
    Fleet.addClients(Fleet.addNode("other"), "shop", 100);
    Fleet.runUntil(EndMs);
    assertLimited(Fleet, 0, 15, LimitedMs + KnownMs, "late joiner");
  }
  // The node beside the target restarts; the limit may be far below the slots.
  for (const double PerSecond : {15.0, 0.5}) {
    FleetModel Fleet = shop(8, 8, 200);
    Fleet.Targets["shop"].RunTime = milliseconds(200);
    Fleet.runUntil(LimitedMs);
    Fleet.limitTarget(0, PerSecond);
    Fleet.runUntil(LimitedMs + 6000);
    Fleet.kill(0);
    Fleet.runUntil(LimitedMs + 6500);
    Fleet.start(0);
    Fleet.runUntil(EndMs);
    assertLimited(Fleet, 0, PerSecond, LimitedMs + KnownMs, "restart");
  }
  // Half of the nodes hear nothing from the other half.
  {
    FleetModel Fleet = shop(8, 8, 200);
    Fleet.runUntil(LimitedMs);
    Fleet.cut({0, 1, 4, 5});
    Fleet.limitTarget(0, 15);
    Fleet.runUntil(LimitedMs + 5000);
    Fleet.cut({});
    Fleet.runUntil(EndMs);
    assertLimited(Fleet, 0, 15, LimitedMs + KnownMs, "cut");
  }
}

// Guards against a burst after a restart, when the target announces itself
// before the node has read the store.
Test(rate_limit, a_restarted_node_takes_the_limit_from_the_store) {
  HostReport Former = report("n0");
  Former.Address = "10.0.0.1";
  Former.Target->Id = core::TargetId("own");
  Former.Target->RequestsPerSecond = 2;
  const auto StartedBy = [&Former](bool AnnouncedFirst) {
    Bench Node;
    Node.State.Settings.Service = core::ServiceName("shop");
    Node.configure();
    if (AnnouncedFirst)
      Node.announce();
    Node.send(StoredReportsRead{{Former}});
    if (!AnnouncedFirst)
      Node.announce();
    std::size_t Started = 0;
    for (std::uint64_t Id = 1; Id <= 2; ++Id) {
      Node.arriveFromPeer(Id);
      Started += Node.count<request::StartAttempt>();
    }
    return Started;
  };
  cr_assert(StartedBy(false) == 0);
  cr_assert(StartedBy(true) == 0);
}

// Guards against a limit that outlives its statement.
Test(rate_limit, a_withdrawn_limit_has_no_effect) {
  FleetModel Fleet = shop(2, 2, 100);
  Fleet.runUntil(LimitedMs);
  Fleet.limitTarget(0, 5);
  Fleet.runUntil(LimitedMs + 6000);
  Fleet.limitTarget(0, std::nullopt);
  Fleet.runUntil(LimitedMs + 7000);
  Fleet.Answers.clear();
  Fleet.runUntil(EndMs);
  cr_assert(Fleet.Answers[503] == 0, "%zu refused", Fleet.Answers[503]);
  cr_assert(mostInWindow(Fleet, 0, LimitedMs + 7000) > 350);
}

// Guards against requests above the limit that wait for their deadline, or that
// are said not to have run though they did.
Test(rate_limit, what_exceeds_the_limit_is_refused_at_once) {
  Bench Node;
  Node.configure();
  Node.announce(1, false, 1000, "own", 8);
  Node.arriveFromPeer(1);
  const auto First = Node.first<request::StartAttempt>();
  request::AttemptEnded Ended;
  Ended.Id = First->Id;
  Ended.Attempt = First->Attempt;
  Ended.End = request::AttemptEnd::Held;
  Ended.Status = 200;
  Ended.Statement = request::TargetStatement{2.0};
  Node.Now += milliseconds(100);
  Node.send(Ended);
  Node.Now += milliseconds(500);
  Node.arriveFromPeer(2);
  cr_assert(Node.first<request::StartAttempt>().has_value());
  // Eight slots are free, but the next start is half a second away.
  Node.arriveFromPeer(3);
  cr_assert(Node.first<request::Refuse>()->Result == request::Outcome::NotRun);
  // The refusal tells the entry node that the target has no room.
  cr_assert(Node.first<request::Refuse>()->Load->Slots == 1);
}

// Guards against a limit of zero that never ends, since no answer could tell.
Test(rate_limit, a_target_that_takes_nothing_is_still_asked_now_and_then) {
  RateLimit Limit;
  Limit.set(0, at(0));
  cr_assert(!Limit.admits(at(3900)));
  cr_assert(Limit.admits(at(4000)));
  Limit.take(at(4000));
  cr_assert(!Limit.admits(at(7900)));
}

// Guards against tokens that accumulate during a pause, or are given again with
// each answer that names the limit.
Test(rate_limit, a_pause_or_a_repeated_statement_gives_no_burst) {
  RateLimit Limit;
  Limit.set(100, at(0));
  std::size_t Started = 0;
  for (int Ms = 60000; Ms < 61000; ++Ms) {
    Limit.set(100, at(Ms));
    for (; Limit.admits(at(Ms)); ++Started)
      Limit.take(at(Ms));
  }
  cr_assert(Started >= 100 && Started <= 110, "%zu", Started);
}
