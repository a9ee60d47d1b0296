#include "MeshBench.h"

using namespace meshbench;
using request::AttemptEnd;
using request::Outcome;
using request::Refuse;
using request::StartAttempt;

// Guards against a route that is handled with more care than the operator asked
// for, without a word to the operator.
Test(mesh_requests, a_route_of_an_unknown_kind_is_logged) {
  Bench Node;
  config::Routing Routing = shopRouting();
  Routing.Routes[1].UnknownKind = "sometimes";
  Node.configure(Routing);
  std::vector<std::string> Details;
  for (const Effect &Produced : Node.Last)
    if (const auto *Line = std::get_if<observe::LogEvent>(&Produced);
        Line != nullptr && Line->Id == observe::EventId::MeshRouteKindUnknown)
      Details.push_back(Line->Detail);
  cr_assert(Details == std::vector<std::string>{"route=book kind=sometimes"});
}

// Guards against a 404 answer from a node that has no configuration yet.
Test(mesh_requests, a_node_without_configuration_is_not_ready) {
  Bench Node;
  Node.arrive(1);
  cr_assert(Node.first<Refuse>()->Status == 0, "not the usual 503");
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  cr_assert(Node.first<Refuse>()->RetryAfter.has_value());
  Node.configure();
  cr_assert(Node.first<ReadinessChanged>()->Ready);
  Node.arrive(2, "/nowhere/");
  cr_assert(Node.first<Refuse>()->Status == 404);
}

// Guards against an older configuration that replaces a newer one.
Test(mesh_requests, a_lower_configuration_has_no_effect) {
  Bench Node;
  Node.configure(shopRouting(7));
  config::Routing Older = shopRouting(5);
  Older.Routes.clear();
  Node.configure(Older);
  Node.announce();
  Node.arrive(1);
  cr_assert(Node.first<StartAttempt>().has_value());
}

// Guards against a request that waits although its service has no target.
Test(mesh_requests, without_a_target_a_request_is_refused_at_once) {
  Bench Node;
  Node.configure();
  Node.arrive(1);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
}

// Guards against running a non-idempotent request twice.
Test(mesh_requests, a_non_idempotent_request_is_not_retried_blindly) {
  Bench Node;
  Node.configure();
  Node.send(ReportReceived{report("n1")});
  Node.send(ReportReceived{report("n2")});
  // When a target gave no answer, the outcome is unknown.
  {
    Node.arrive(1, "/book/1");
    const auto Sent = Node.first<StartAttempt>();
    cr_assert(Sent->NeedsVerifiedConnection,
              "an unproven connection was allowed");
    Node.end(*Sent, AttemptEnd::NoAnswer);
    cr_assert(!Node.first<StartAttempt>(), "sent again");
    cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown);
    cr_assert(Node.first<Refuse>()->Status == 502);
  }
  // When the deadline passes after the send, the outcome is unknown too.
  {
    Node.arrive(2, "/book/2");
    Node.Now += milliseconds(1001);
    Node.send(request::Tick{});
    cr_assert(Node.first<request::CancelAttempt>().has_value());
    cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown);
  }
  // When a host did not run it, another one may.
  {
    Node.arrive(3, "/book/3");
    const auto Sent = Node.first<StartAttempt>();
    Node.end(*Sent, AttemptEnd::NotRun);
    const auto Again = Node.first<StartAttempt>();
    cr_assert(Again.has_value());
    cr_assert(Again->To.Node != Sent->To.Node, "the same host again");
  }
}

// Guards against more retries than the route's maximum of targets allows, and
// against retries without budget.
Test(mesh_requests, an_idempotent_request_is_retried_within_limits) {
  Bench Node;
  Node.configure();
  for (const char *Name : {"n1", "n2", "n3"})
    Node.send(ReportReceived{report(Name)});
  Node.arrive(1);
  const auto First = Node.first<StartAttempt>();
  Node.end(*First, AttemptEnd::NoAnswer);
  const auto Second = Node.first<StartAttempt>();
  cr_assert(Second.has_value());
  cr_assert(Second->To.Node != First->To.Node);
  Node.end(*Second, AttemptEnd::NoAnswer);
  cr_assert(!Node.first<StartAttempt>(), "a third target");
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown);
}

// Guards against hiding a server error of the target from the caller.
Test(mesh_requests, a_server_error_is_passed_on_after_the_last_attempt) {
  Bench Node;
  Node.configure();
  Node.send(ReportReceived{report("n1")});
  Node.send(ReportReceived{report("n2")});
  Node.arrive(1);
  Node.end(*Node.first<StartAttempt>(), AttemptEnd::Held, 500);
  Node.end(*Node.first<StartAttempt>(), AttemptEnd::Held, 500);
  cr_assert(Node.first<request::DeliverAnswer>().has_value());
  // A failed answer to a non-idempotent request is passed on without a retry.
  Node.arrive(2, "/book/1");
  Node.end(*Node.first<StartAttempt>(), AttemptEnd::Held, 500);
  cr_assert(Node.first<request::DeliverAnswer>().has_value());
}

// Guards against repeated attempts at an unreachable host.
Test(mesh_requests, an_unreachable_host_is_placed_last) {
  Bench Node;
  Node.configure();
  Node.send(ReportReceived{report("n1")});
  Node.arrive(1);
  Node.end(*Node.first<StartAttempt>(), AttemptEnd::NotRun, 0, false, true);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  Node.send(ReportReceived{report("n2", 1, "dc9", "r9")});
  Node.arrive(2);
  cr_assert(Node.first<StartAttempt>()->To.Node == core::NodeId("n2"));
  // Its next report makes it eligible again.
  Node.send(ReportReceived{report("n1", 2)});
  Node.arrive(3);
  cr_assert(Node.first<StartAttempt>()->To.Node == core::NodeId("n1"));
}

// Guards against deadlines beyond the timeout of the route or the deadline of
// the caller.
Test(mesh_requests, the_shorter_of_both_deadlines_counts) {
  Bench Node;
  Node.configure();
  Node.announce();
  request::CallArrived Call;
  Call.Id = core::CallId(1);
  Call.Path = "/list/1";
  Call.VirtualHost = "shop.example";
  Call.TimeLeft = milliseconds(300);
  Node.send(Call);
  cr_assert(Node.first<StartAttempt>()->Deadline ==
            Node.Now + milliseconds(300));
  Call.Id = core::CallId(2);
  Call.TimeLeft = milliseconds(30000);
  Node.send(Call);
  cr_assert(Node.first<StartAttempt>()->Deadline ==
            Node.Now + milliseconds(1000));
}

// Guards against running requests of callers that have disconnected.
Test(mesh_requests, a_request_whose_caller_left_is_cancelled) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.arrive(1);
  Node.send(request::CallerDisconnected{core::CallId(1)});
  cr_assert(Node.first<request::CancelAttempt>().has_value());
  cr_assert(Node.State.Slots.load().Running == 0, "the slot is not released");
}

// Guards against refusing a request as "not run" that a target ran: after a
// failed answer the retry found no target (1,707 refusals on scale-1 of
// aclu-lecturas-grown, many of them of requests that had run).
Test(mesh_requests, a_request_that_ran_is_not_refused_as_not_run) {
  Bench Node;
  Node.configure();
  Node.send(ReportReceived{report("n1")});
  // The failed answer is delivered when no retry is possible.
  {
    Node.arrive(1);
    Node.end(*Node.first<StartAttempt>(), AttemptEnd::Held, 500);
    cr_assert(!Node.first<Refuse>());
    cr_assert(Node.first<request::DeliverAnswer>().has_value());
  }
  // It is also delivered when the last target refuses the retry.
  {
    Node.send(ReportReceived{report("n2")});
    Node.arrive(2);
    Node.end(*Node.first<StartAttempt>(), AttemptEnd::Held, 500);
    const auto Retry = Node.first<StartAttempt>();
    cr_assert(Retry.has_value());
    Node.end(*Retry, AttemptEnd::NotRun, 0, false, true);
    cr_assert(Node.first<request::DeliverAnswer>().has_value());
  }
  // Without any answer the outcome is unknown.
  {
    Bench SingleTarget;
    SingleTarget.configure();
    SingleTarget.send(ReportReceived{report("n1")});
    SingleTarget.arrive(3);
    SingleTarget.end(*SingleTarget.first<StartAttempt>(), AttemptEnd::NoAnswer);
    cr_assert(SingleTarget.first<Refuse>()->Result == Outcome::Unknown);
    cr_assert(SingleTarget.first<Refuse>()->Status == 502);
  }
}

// Guards against large answers that queue at a slow link until their callers or
// the entry node have gone (one lost request on scale-1 of compas-mesh-grown:
// an answer waited for four seconds).
Test(mesh_requests, a_large_answer_is_refused_where_the_link_is_busy) {
  Bench Node;
  Node.configure();
  Node.announce();
  const auto Arrive = [&Node](std::uint64_t Id, std::int64_t LinkWaitMs,
                              bool AcceptLate) {
    request::CallArrived Call;
    Call.Id = core::CallId(Id);
    Call.FromNode = true;
    Call.Target = core::TargetId("own");
    Call.TimeLeft = milliseconds(1000);
    Call.Terms = request::HopTerms{core::RouteName("list"), milliseconds(400),
                                   1, true, AcceptLate};
    Call.LinkWait = milliseconds(LinkWaitMs);
    Node.send(Call);
  };
  const auto End = [&Node](std::uint64_t Bytes) {
    const auto Sent = Node.first<StartAttempt>();
    Node.Now += milliseconds(100);
    request::AttemptEnded Ended;
    Ended.Id = Sent->Id;
    Ended.Attempt = Sent->Attempt;
    Ended.End = AttemptEnd::Held;
    Ended.Status = 200;
    Ended.AnswerBytes = Bytes;
    Node.send(Ended);
  };
  // Short answers do not wait for the link.
  Arrive(1, 5000, false);
  End(500);
  Arrive(2, 5000, false);
  End(900000);
  // Large ones are refused when they would arrive after the deadline, or when
  // the link is busy for so long that the entry node may exit before the answer
  // arrives.
  Arrive(3, 980, true);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  Node.Now += milliseconds(10);
  Arrive(5, 1600, true);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  Arrive(4, 100, false);
  cr_assert(Node.first<StartAttempt>().has_value());
}

// Guards against a called service whose queue lets running requests of other
// services wait for requests that hold nothing yet.
Test(mesh_requests, calls_of_running_requests_go_first) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.arrive(1);
  const auto First = Node.first<StartAttempt>();
  Node.arrive(2);
  // Both slots are in use; the next ones wait.
  Node.arrive(3);
  cr_assert(!Node.first<StartAttempt>());
  request::CallArrived Nested;
  Nested.Id = core::CallId(4);
  Nested.Path = "/list/1";
  Nested.VirtualHost = "shop.example";
  Nested.CallerId = "p.4";
  Nested.ParentId = "p";
  Node.send(Nested);
  cr_assert(!Node.first<StartAttempt>());
  Node.Now += milliseconds(100);
  Node.end(*First, AttemptEnd::Held);
  cr_assert(Node.first<StartAttempt>()->Id == core::CallId(4));
}

// Guards against a call that is refused as late, although the request that made
// it has time to wait and fails without it.
Test(mesh_requests, a_nested_call_may_use_its_time) {
  Bench Node;
  Node.configure();
  Node.send(ReportReceived{report("n1")});
  request::CallArrived Nested;
  Nested.Id = core::CallId(1);
  Nested.Path = "/list/1";
  Nested.VirtualHost = "shop.example";
  Nested.ParentId = "p";
  Nested.TimeLeft = milliseconds(900);
  Node.send(Nested);
  const auto Sent = Node.first<StartAttempt>();
  // The latency objective of the route is 400 ms.
  cr_assert(Sent->Terms->ObjectiveLeft > milliseconds(800));
}
