#include "NodeFixture.h"
#include <criterion/criterion.h>

using namespace request_fixture;

namespace {

/// Host node with one slot: call 1 is running, call 2 is waiting.
NodeFixture busyHost() {
  NodeFixture Node(shopFleet(),
                   {endpoint("n0", "1", "dc1", 1), endpoint("n1")});
  Node.arriveHosted(1);
  Node.arriveHosted(2);
  return Node;
}

} // namespace

// Guards against new requests for a leaving target, and against cancelling
// requests in progress (I8, I9).
Test(drain, a_leaving_target_finishes_and_gets_nothing_new) {
  NodeFixture Node = busyHost();
  Node.handle(TargetLeaving{core::TargetId("t-n0")});
  const auto *Refused = Node.first<Refuse>();
  cr_assert(Refused && Refused->Id == core::CallId(2),
            "the waiting request was not refused");
  cr_assert(Refused->Result == Outcome::NotRun && !Refused->Retried,
            "the entry node cannot retry it on another target");
  cr_assert(!Node.first<CancelAttempt>(),
            "a request in progress was cancelled");
  Node.arriveHosted(3);
  cr_assert(Node.first<Refuse>(), "a new request was accepted");
  // An outdated list that still contains the target must not restore it.
  Node.handle(
      EndpointsChanged{{endpoint("n0", "1", "dc1", 1), endpoint("n1")}});
  Node.arriveHosted(4);
  cr_assert(Node.first<Refuse>(),
            "a new request was accepted after an outdated list");
  Node.arrive(5);
  cr_assert(Node.first<StartAttempt>()->To.Node == core::NodeId("n1"),
            "routed to the leaving target");
  Node.end(1, AttemptEnd::Answered);
  cr_assert(Node.Now->Calls.size() == 1, "the call in progress did not end");
}

// Guards against a node that accepts requests while it shuts down.
Test(drain, a_draining_node_finishes_and_refuses_as_not_run) {
  NodeFixture Node = busyHost();
  Node.handle(DrainStarted{});
  cr_assert(Node.first<Refuse>()->Id == core::CallId(2),
            "the waiting request was not refused");
  Node.arrive(3);
  cr_assert(Node.first<Refuse>()->Reason.Code ==
                core::ErrorCode::RequestDraining,
            "a new request was accepted");
  Node.end(1, AttemptEnd::Answered);
  cr_assert(Node.Now->Calls.empty(), "the call in progress did not end");
}

// Guards against lost slots when a target is missing from the endpoints for a
// short time.
Test(drain, slots_survive_a_short_absence_of_the_target) {
  NodeFixture Node(shopFleet(), {endpoint("n0", "1", "dc1", 1)});
  Node.arriveHosted(1);
  Node.handle(EndpointsChanged{{}});
  Node.handle(EndpointsChanged{{endpoint("n0", "1", "dc1", 1)}});
  Node.arriveHosted(2);
  cr_assert(!Node.first<StartAttempt>(),
            "more requests run than there are slots");
  Node.end(1, AttemptEnd::Answered);
  cr_assert(Node.first<StartAttempt>(), "the slot was lost");
}
