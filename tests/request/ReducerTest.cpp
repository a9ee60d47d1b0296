#include "Bench.h"
#include <criterion/criterion.h>

using namespace bench;

TestSuite(request_reducer);

// Guards against a first path that does not work from arrival to end.
Test(request_reducer, a_request_is_routed_sent_and_ended) {
  Bench Node(shopFleet(), {endpoint("n1")});
  Node.arrive(1, "/list/of/books?page=2");
  const auto *Start = Node.first<StartAttempt>();
  cr_assert(Start && Start->To.Node == core::NodeId("n1"), "not sent");
  cr_assert(Start->Route == core::RouteName("list"), "wrong route");
  Node.end(1, AttemptEnd::Answered);
  const auto *Seen = Node.first<ObservedAnswer>();
  cr_assert(Seen && !Seen->Fault, "no evidence of the answer");
  cr_assert(Node.Now->Calls.empty(), "call not ended");
}

// Guards against serving before a configuration is known (I2).
Test(request_reducer, without_a_configuration_it_refuses) {
  Bench Node;
  Node.arrive(1);
  const auto *Refused = Node.first<Refuse>();
  cr_assert(Refused && Refused->Result == Outcome::NotRun, "not refused");
  cr_assert(Refused->Reason.Code == core::ErrorCode::RequestNotReady, "why");
}

// Guards against requests to services that the proxy does not know (I2).
Test(request_reducer, an_unknown_service_is_refused) {
  config::FleetState Fleet = shopFleet();
  Fleet.CurrentSheet.Routes.push_back(route("x", "/x", false, "absent"));
  Bench Node(Fleet, {endpoint("n1")});
  Node.arrive(1, "/x");
  cr_assert(!Node.first<StartAttempt>(), "sent to an unknown service");
  cr_assert(Node.first<Refuse>(), "not refused");
}

// Guards against an idempotent request that fails with its first target.
Test(request_reducer, a_refused_request_is_retried_elsewhere) {
  Bench Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  Node.arrive(1);
  const core::NodeId First = Node.first<StartAttempt>()->To.Node;
  Node.end(1, AttemptEnd::NotRun);
  const auto *Second = Node.first<StartAttempt>();
  cr_assert(Second && Second->To.Node != First, "not retried elsewhere");
  Node.end(1, AttemptEnd::NotRun);
  const auto *Refused = Node.first<Refuse>();
  cr_assert(Refused && Refused->Result == Outcome::NotRun, "not truthful");
  cr_assert(Refused->Retried, "the upstream hop would retry again");
}

// Guards against a second execution of a non-idempotent request (I7).
Test(request_reducer, a_non_idempotent_request_without_answer_is_unknown) {
  Bench Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  Node.arrive(1, "/book");
  cr_assert(Node.first<StartAttempt>()->NeedsVerifiedConnection, "any conn");
  Node.end(1, AttemptEnd::NoAnswer);
  cr_assert(!Node.first<StartAttempt>(), "sent twice");
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown, "not unknown");
}

// Guards against the outcome "not run" after an attempt without an answer
// that was followed by a refused one (I6).
Test(request_reducer, not_run_is_not_said_after_an_open_attempt) {
  Bench Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  Node.arrive(1);
  Node.end(1, AttemptEnd::NoAnswer);
  Node.end(1, AttemptEnd::NotRun);
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown, "false not-run");
}

// Guards against a retry after the caller received a part of the answer.
Test(request_reducer, an_answer_that_started_is_never_retried) {
  Bench Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  Node.arrive(1);
  const core::AttemptId Attempt = Node.first<StartAttempt>()->Attempt;
  Node.handle(AnswerStarted{core::CallId(1), Attempt, 200, 0});
  Node.end(1, AttemptEnd::NoAnswer);
  cr_assert(!Node.first<StartAttempt>(), "retried after a first byte");
  cr_assert(Node.Now->Calls.empty(), "call not ended");
}

// Guards against a second retry of what the next hop retried already.
Test(request_reducer, a_refusal_that_was_retried_downstream_ends) {
  Bench Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  Node.arrive(1);
  AttemptEnded What;
  What.Id = core::CallId(1);
  What.Attempt = Node.first<StartAttempt>()->Attempt;
  What.End = AttemptEnd::NotRun;
  What.RetriedDownstream = true;
  Node.handle(What);
  cr_assert(!Node.first<StartAttempt>(), "retried at a second hop");
  cr_assert(Node.first<Refuse>()->Retried, "the mark is lost");
}

// Guards against work that outlives its caller or its deadline.
Test(request_reducer, a_call_ends_with_its_caller_or_its_deadline) {
  Bench Node(shopFleet(), {endpoint("n1")});
  Node.arrive(1);
  Node.handle(CallerDisconnected{core::CallId(1)});
  cr_assert(Node.first<CancelAttempt>(), "attempt goes on");
  cr_assert(Node.Now->Targets[0].Outstanding == 0, "count not freed");
  Node.arrive(2, "/list", 100);
  Node.Millis += 100;
  Node.handle(Tick{});
  cr_assert(Node.first<CancelAttempt>(), "attempt goes on");
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown, "false not-run");
  cr_assert(Node.first<ObservedAnswer>()->Fault, "no evidence of the time-out");
}

// Guards against a late end of an earlier attempt that ends the call (I5).
Test(request_reducer, events_of_an_earlier_attempt_are_ignored) {
  Bench Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  Node.arrive(1);
  AttemptEnded Late;
  Late.Id = core::CallId(1);
  Late.Attempt = Node.first<StartAttempt>()->Attempt;
  Late.End = AttemptEnd::Answered;
  Node.end(1, AttemptEnd::NoAnswer);
  cr_assert(Node.first<StartAttempt>(), "not retried");
  Node.handle(Late);
  cr_assert(Node.Last.empty() && Node.Now->Calls.size() == 1, "ended");
}

// Guards against deadlines of ended calls that use memory without bound.
Test(request_reducer, deadlines_of_ended_calls_are_removed) {
  Bench Node(shopFleet(), {endpoint("n1")});
  for (std::uint64_t Id = 1; Id <= 5000; ++Id) {
    Node.arrive(Id);
    Node.end(Id, AttemptEnd::Answered);
  }
  cr_assert(Node.Now->Expiries.size() < 1100, "%zu kept",
            Node.Now->Expiries.size());
  Node.arrive(6000, "/list", 10);
  Node.Millis += 10;
  Node.handle(Tick{});
  cr_assert(Node.first<Refuse>()->Id == core::CallId(6000), "not expired");
}
