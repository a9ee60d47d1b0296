#include "Bench.h"
#include <criterion/criterion.h>

using namespace bench;

namespace {

/// Host node with one slot: call 1 runs, call 2 waits.
Bench busyHost() {
  Bench Node(shopFleet(), {endpoint("n0", "1", "dc1", 1), endpoint("n1")});
  Node.arriveHosted(1);
  Node.arriveHosted(2);
  return Node;
}

} // namespace

// Guards against new work for a leaving target, and against requests in
// progress that are cut (I8, I9).
Test(drain, a_leaving_target_finishes_and_gets_nothing_new) {
  Bench Node = busyHost();
  Node.handle(TargetLeaving{core::TargetId("t-n0")});
  const auto *Waiting = Node.first<Refuse>();
  cr_assert(Waiting && Waiting->Id == core::CallId(2), "keeps waiting");
  cr_assert(Waiting->Result == Outcome::NotRun && !Waiting->Retried,
            "the entry node cannot send it elsewhere");
  cr_assert(!Node.first<CancelAttempt>(), "cut");
  Node.arriveHosted(3);
  cr_assert(Node.first<Refuse>(), "new work");
  // An old list that still names the target must not bring it back.
  Node.handle(
      EndpointsChanged{{endpoint("n0", "1", "dc1", 1), endpoint("n1")}});
  Node.arriveHosted(4);
  cr_assert(Node.first<Refuse>(), "new work after an old list");
  Node.arrive(5);
  cr_assert(Node.first<StartAttempt>()->To.Node == core::NodeId("n1"),
            "routed to the leaving target");
  Node.end(1, AttemptEnd::Answered);
  cr_assert(Node.Now->Calls.size() == 1, "not finished");
}

// Guards against a node that takes work while it shuts down.
Test(drain, a_draining_node_finishes_and_refuses_as_not_run) {
  Bench Node = busyHost();
  Node.handle(DrainStarted{});
  cr_assert(Node.first<Refuse>()->Id == core::CallId(2), "keeps waiting");
  Node.arrive(3);
  cr_assert(Node.first<Refuse>()->Reason.Code ==
                core::ErrorCode::RequestDraining,
            "takes work");
  Node.end(1, AttemptEnd::Answered);
  cr_assert(Node.Now->Calls.empty(), "not finished");
}

// Guards against slots that are lost when a target is briefly not listed.
Test(drain, slots_survive_a_short_absence_of_the_target) {
  Bench Node(shopFleet(), {endpoint("n0", "1", "dc1", 1)});
  Node.arriveHosted(1);
  Node.handle(EndpointsChanged{{}});
  Node.handle(EndpointsChanged{{endpoint("n0", "1", "dc1", 1)}});
  Node.arriveHosted(2);
  cr_assert(!Node.first<StartAttempt>(), "more requests than slots");
  Node.end(1, AttemptEnd::Answered);
  cr_assert(Node.first<StartAttempt>(), "slot lost");
}
