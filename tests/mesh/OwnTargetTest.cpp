#include "MeshBench.h"

using namespace meshbench;
using request::AttemptEnd;
using request::Outcome;
using request::Refuse;
using request::StartAttempt;

// Guards against requests that reach a target after it said that it leaves.
Test(mesh_target, a_leaving_target_gets_no_new_request) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.send(ReportHeard{report("n1")});
  Node.announce(2, true);
  cr_assert(Node.first<SendReport>()->What.Target->State ==
                TargetState::Draining,
            "others are not told at once");
  Node.arriveHosted(1);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  // An announcement that was delayed does not bring it back.
  {
    Node.announce(1, false);
    Node.arriveHosted(2);
    cr_assert(Node.first<Refuse>().has_value());
  }
  // The next life of the target does.
  {
    Node.announce(1, false, 2000);
    Node.arriveHosted(3);
    cr_assert(Node.first<StartAttempt>().has_value());
  }
}

// Guards against an announcement of a former life that was held up by a cut.
Test(mesh_target, lives_are_ordered_by_their_start) {
  Bench Node;
  Node.configure();
  Node.announce(1, false, 2000, "new");
  Node.announce(9, false, 1000, "old");
  cr_assert(Node.State.Target->Last.Id == core::TargetId("new"));
}

// Guards against a request for another target at a reused address.
Test(mesh_target, a_request_names_the_target_that_it_is_for) {
  Bench Node;
  Node.configure();
  Node.announce(1, false, 1000, "someone-else");
  Node.arriveHosted(1);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
}

// Guards against a queue that waits for a target which is gone.
Test(mesh_target, a_target_without_listener_is_down_until_it_announces) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.arriveHosted(1);
  const auto First = Node.first<StartAttempt>();
  Node.arriveHosted(2);
  Node.arriveHosted(3);
  Node.end(*First, AttemptEnd::NotRun, 0, false, true);
  cr_assert(Node.count<Refuse>() == 2, "the waiting one stays");
  Node.arriveHosted(4);
  cr_assert(Node.first<Refuse>().has_value());
  Node.announce(2);
  Node.arriveHosted(5);
  cr_assert(Node.first<StartAttempt>().has_value());
}

// Guards against a target that ended in silence and still gets requests.
Test(mesh_target, a_silent_target_is_down_after_a_while) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.Now += milliseconds(5900);
  Node.send(request::Tick{});
  cr_assert(Node.State.Target->State == TargetState::Ready);
  Node.Now += milliseconds(200);
  Node.send(request::Tick{});
  cr_assert(Node.State.Target->State == TargetState::Down);
}

// Guards against slots of a former life that are never given back, or given
// back twice.
Test(mesh_target, slots_belong_to_one_life) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.arriveHosted(1);
  const auto Old = Node.first<StartAttempt>();
  Node.announce(1, false, 2000);
  cr_assert(Node.State.Slots.load().Running == 0);
  Node.arriveHosted(2);
  Node.end(*Old, AttemptEnd::NoAnswer);
  cr_assert(Node.State.Slots.load().Running == 1);
}

// Guards against a refusal that promises "not run" for a request that ran.
Test(mesh_target, a_lost_answer_is_not_a_refusal) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.arriveHosted(1);
  Node.end(*Node.first<StartAttempt>(), AttemptEnd::NoAnswer);
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown);
  // One that the target itself refused is marked as having reached it.
  Node.arriveHosted(2);
  Node.end(*Node.first<StartAttempt>(), AttemptEnd::NotRun, 503, true);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  cr_assert(Node.first<Refuse>()->ReachedTarget);
}

// Guards against a target that stands idle while its node is restarted
// (incident inc-f3f1), and against a node that takes requests of others as it
// ends.
Test(mesh_target, a_stopping_node_serves_others_for_a_while) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.send(ReportHeard{report("n1")});
  Node.send(StopAnnounced{Node.Now + milliseconds(5600)});
  cr_assert(!Node.first<ReadinessChanged>()->Ready);
  // The target goes on, so that others are not told yet and are served.
  {
    Node.Now += milliseconds(1400);
    Node.arriveHosted(1);
    cr_assert(Node.first<StartAttempt>().has_value());
  }
  // Then they are told, once.
  {
    Node.Now += milliseconds(100);
    Node.send(request::Tick{});
    cr_assert(Node.first<SendReport>()->What.Leaving);
    Node.Now += milliseconds(50);
    Node.send(request::Tick{});
    cr_assert(!Node.first<SendReport>());
  }
  // A request that was sent before the report arrived is taken.
  {
    Node.arriveHosted(2);
    cr_assert(Node.first<StartAttempt>().has_value());
  }
  // Later ones are refused.
  {
    Node.Now += milliseconds(500);
    Node.arriveHosted(3);
    cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  }
  // Its own callers are served until they know.
  {
    Node.arrive(4);
    cr_assert(!Node.first<Refuse>());
  }
}

// Guards against a request that a stopping node takes from a kept connection
// and cuts at its end (found on scale-2 of aclu-lecturas-grown, LOST 46).
Test(mesh_target, a_stopping_node_takes_only_what_it_can_finish) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.send(StopAnnounced{Node.Now + milliseconds(3000)});
  Node.Now += milliseconds(2400);
  Node.arrive(1);
  cr_assert(Node.first<StartAttempt>().has_value());
  Node.Now += milliseconds(200);
  Node.arrive(2);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  cr_assert(Node.first<Refuse>()->RetryAfter.has_value());
}

// Guards against a target that said that it leaves, refused a connection, and
// gets requests again with an announcement that was held up on the way.
Test(mesh_target, a_leaving_target_stays_so_after_it_was_down) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.arriveHosted(1);
  const auto Running = Node.first<StartAttempt>();
  Node.send(TargetDeregistered{core::TargetId("own")});
  Node.end(*Running, AttemptEnd::NotRun, 0, false, true);
  Node.announce(2);
  Node.arriveHosted(2);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
}

// Guards against a process that starts after its predecessor acknowledged the
// target's leaving, and does not know of it (DRAIN on aclu-lecturas-grown).
Test(mesh_target, a_restarted_node_knows_that_its_target_leaves) {
  Bench Before;
  Before.configure();
  Before.send(StoreChanged{true});
  Before.announce();
  Before.send(TargetDeregistered{core::TargetId("own")});
  const auto Published = Before.first<PublishReport>();
  cr_assert(Published.has_value(), "the store does not learn of it");
  cr_assert(Published->What.Target->State == TargetState::Draining);

  Bench After;
  After.configure();
  // The store answers before the target announces itself.
  {
    After.send(ReportsLearned{{Published->What}});
    After.announce(7);
    After.arriveHosted(1);
    cr_assert(After.first<Refuse>()->Result == Outcome::NotRun);
  }
  // The store answers after it.
  {
    Bench Late;
    Late.configure();
    Late.announce(7);
    Late.send(ReportsLearned{{Published->What}});
    Late.arriveHosted(1);
    cr_assert(Late.first<Refuse>()->Result == Outcome::NotRun);
  }
  // Another life of the target serves, also under its former id.
  {
    After.announce(1, false, 2000);
    After.arriveHosted(2);
    cr_assert(After.first<StartAttempt>().has_value());
  }
}

// Guards against a target that has no work until its next announcement after a
// restart of its node: 1.5 s of each restart in turn and after each mass kill.
Test(mesh_target, a_restarted_node_knows_its_target) {
  Bench Before;
  Before.configure();
  Before.send(StoreChanged{true});
  Before.announce();
  const auto Published = Before.first<PublishReport>();
  cr_assert(Published.has_value(), "the store does not learn of the target");

  const auto Restarted = [&Published] {
    Bench Node;
    Node.State.Own.Service = core::ServiceName("shop");
    Node.configure();
    Node.send(ReportsLearned{{Published->What}});
    return Node;
  };
  // It takes requests at once, and the announcement starts no new life.
  {
    Bench After = Restarted();
    After.arriveHosted(1);
    cr_assert(After.first<StartAttempt>().has_value());
    After.announce(9);
    cr_assert(After.State.Slots.load().Running == 1);
  }
  // It counts as gone when it announces nothing: it may have told the former
  // process that it leaves while the store was away.
  {
    Bench After = Restarted();
    After.Now += milliseconds(3100);
    After.send(request::Tick{});
    After.arriveHosted(1);
    cr_assert(After.first<Refuse>()->Result == Outcome::NotRun);
    After.announce(9);
    After.arriveHosted(2);
    cr_assert(After.first<StartAttempt>().has_value());
  }
  // A target that said that it leaves is not taken over.
  {
    HostReport Gone = Published->What;
    Gone.Left = LeftTarget{core::TargetId("own"), 1000};
    Bench After;
    After.State.Own.Service = core::ServiceName("shop");
    After.configure();
    After.send(ReportsLearned{{Gone}});
    After.arriveHosted(1);
    cr_assert(After.first<Refuse>()->Result == Outcome::NotRun);
  }
  // Neither is the one of a host that had another address.
  {
    HostReport Moved = Published->What;
    Moved.Address = "10.0.0.99";
    Bench After;
    After.State.Own.Service = core::ServiceName("shop");
    After.configure();
    After.send(ReportsLearned{{Moved}});
    After.arriveHosted(1);
    cr_assert(After.first<Refuse>()->Result == Outcome::NotRun);
  }
}
