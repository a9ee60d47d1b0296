#include "NodeFixture.h"
#include <criterion/criterion.h>

using namespace request_fixture;

TestSuite(request_reducer);

// Covers a request from its arrival to its end.
Test(request_reducer, a_request_is_routed_sent_and_ended) {
  NodeFixture Node(shopFleet(), {endpoint("n1")});
  Node.arrive(1, "/list/of/books?page=2");
  const auto *Start = Node.first<StartAttempt>();
  cr_assert(Start && Start->To.Node == core::NodeId("n1"), "not sent");
  cr_assert(Start->Route == core::RouteName("list"), "wrong route");
  Node.end(1, AttemptEnd::Answered);
  const auto *Observation = Node.first<ObservedAnswer>();
  cr_assert(Observation && !Observation->Fault, "no observation of the answer");
  cr_assert(Node.Now->Calls.empty(), "call not ended");
}

// Guards against serving before a configuration is known (I2).
Test(request_reducer, without_a_configuration_it_refuses) {
  NodeFixture Node;
  Node.arrive(1);
  const auto *Refused = Node.first<Refuse>();
  cr_assert(Refused && Refused->Result == Outcome::NotRun, "not refused");
  cr_assert(Refused->Reason.Code == core::ErrorCode::RequestNotReady,
            "wrong reason");
}

// Guards against requests to services that are not configured (I2).
Test(request_reducer, an_unknown_service_is_refused) {
  config::FleetState Fleet = shopFleet();
  Fleet.CurrentSheet.Routes.push_back(route("x", "/x", false, "absent"));
  NodeFixture Node(Fleet, {endpoint("n1")});
  Node.arrive(1, "/x");
  cr_assert(!Node.first<StartAttempt>(), "sent to an unknown service");
  cr_assert(Node.first<Refuse>(), "not refused");
}

// Guards against an idempotent request that fails without a retry on another
// target.
Test(request_reducer, a_refused_request_is_retried_elsewhere) {
  NodeFixture Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  Node.arrive(1);
  const core::NodeId First = Node.first<StartAttempt>()->To.Node;
  Node.end(1, AttemptEnd::NotRun);
  const auto *Second = Node.first<StartAttempt>();
  cr_assert(Second && Second->To.Node != First, "not retried elsewhere");
  Node.end(1, AttemptEnd::NotRun);
  const auto *Refused = Node.first<Refuse>();
  cr_assert(Refused && Refused->Result == Outcome::NotRun,
            "not reported as not run");
  cr_assert(Refused->Retried, "the upstream hop would retry again");
}

// Guards against a second execution of a non-idempotent request (I7).
Test(request_reducer, a_non_idempotent_request_without_answer_is_unknown) {
  NodeFixture Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  Node.arrive(1, "/book");
  cr_assert(Node.first<StartAttempt>()->NeedsVerifiedConnection,
            "an unverified connection may be used");
  Node.end(1, AttemptEnd::NoAnswer);
  cr_assert(!Node.first<StartAttempt>(), "sent twice");
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown, "not unknown");
}

// Guards against the outcome "not run" when an attempt without an answer was
// followed by a refused one (I6).
Test(request_reducer, not_run_is_not_said_after_an_open_attempt) {
  NodeFixture Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  Node.arrive(1);
  Node.end(1, AttemptEnd::NoAnswer);
  Node.end(1, AttemptEnd::NotRun);
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown,
            "wrongly reported as not run");
}

// Guards against a retry after the caller received part of the answer.
Test(request_reducer, an_answer_that_started_is_never_retried) {
  NodeFixture Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  Node.arrive(1);
  const core::AttemptId Attempt = Node.first<StartAttempt>()->Attempt;
  Node.handle(AnswerStarted{core::CallId(1), Attempt, 200, 0});
  Node.end(1, AttemptEnd::NoAnswer);
  cr_assert(!Node.first<StartAttempt>(), "retried after the first byte");
  cr_assert(Node.Now->Calls.empty(), "call not ended");
}

// Guards against retrying a request that the next hop already retried.
Test(request_reducer, a_refusal_that_was_retried_downstream_ends) {
  NodeFixture Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  Node.arrive(1);
  AttemptEnded Ended;
  Ended.Id = core::CallId(1);
  Ended.Attempt = Node.first<StartAttempt>()->Attempt;
  Ended.End = AttemptEnd::NotRun;
  Ended.RetriedDownstream = true;
  Node.handle(Ended);
  cr_assert(!Node.first<StartAttempt>(), "retried at a second hop");
  cr_assert(Node.first<Refuse>()->Retried, "not marked as retried");
}

// Guards against attempts that continue after the caller disconnected or the
// deadline passed.
Test(request_reducer, a_call_ends_with_its_caller_or_its_deadline) {
  NodeFixture Node(shopFleet(), {endpoint("n1")});
  Node.arrive(1);
  Node.handle(CallerDisconnected{core::CallId(1)});
  cr_assert(Node.first<CancelAttempt>(), "the attempt was not cancelled");
  cr_assert(Node.Now->Targets[0].Outstanding == 0,
            "outstanding request not released");
  Node.arrive(2, "/list", 100);
  Node.Millis += 100;
  Node.handle(Tick{});
  cr_assert(Node.first<CancelAttempt>(), "the attempt was not cancelled");
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown,
            "wrongly reported as not run");
  cr_assert(Node.first<ObservedAnswer>()->Fault,
            "no observation of the timeout");
}

// Guards against a late event of an earlier attempt that ends the call (I5).
Test(request_reducer, events_of_an_earlier_attempt_are_ignored) {
  NodeFixture Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  Node.arrive(1);
  AttemptEnded Late;
  Late.Id = core::CallId(1);
  Late.Attempt = Node.first<StartAttempt>()->Attempt;
  Late.End = AttemptEnd::Answered;
  Node.end(1, AttemptEnd::NoAnswer);
  cr_assert(Node.first<StartAttempt>(), "not retried");
  Node.handle(Late);
  cr_assert(Node.Last.empty() && Node.Now->Calls.size() == 1,
            "the call was ended");
}

// Guards against unbounded memory for the deadlines of ended calls.
Test(request_reducer, deadlines_of_ended_calls_are_removed) {
  NodeFixture Node(shopFleet(), {endpoint("n1")});
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
