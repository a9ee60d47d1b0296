#include "MeshBench.h"

using namespace meshbench;

namespace {

/// Ends a started attempt with an answer in which the target says that it
/// leaves.
void answerLeaving(Bench &Node, const request::StartAttempt &Started) {
  request::AttemptEnded Ended;
  Ended.Id = Started.Id;
  Ended.Attempt = Started.Attempt;
  Ended.End = request::AttemptEnd::Held;
  Ended.Status = 200;
  Ended.ReachedTarget = true;
  Ended.Statement = request::TargetStatement{std::nullopt, true};
  Node.send(Ended);
}

bool isRefused(Bench &Node, std::uint64_t Id) {
  Node.arriveFromPeer(Id);
  const auto Refusal = Node.first<request::Refuse>();
  return Refusal && Refusal->Result == request::Outcome::NotRun;
}

} // namespace

// Guards against requests for a target that says only in its answers that it
// leaves.
Test(mesh_leaving_answer, a_target_that_leaves_gets_no_more_requests) {
  Bench Node;
  Node.configure();
  Node.announce(1);
  Node.send(ReportReceived{report("n1")});
  Node.arriveFromPeer(1);
  answerLeaving(Node, *Node.first<request::StartAttempt>());
  // The other nodes are told at once.
  cr_assert(Node.first<SendReport>()->Report.Target->State ==
            TargetState::Draining);
  cr_assert(isRefused(Node, 2));
  // A late announcement that it is ready changes nothing.
  Node.announce(2);
  cr_assert(isRefused(Node, 3));
  // A new process of the target is another one.
  Node.announce(1, false, 2000);
  cr_assert(!isRefused(Node, 4));
}

// Guards against a leaving target that gets requests for as long as a large
// answer takes.
Test(mesh_leaving_answer, the_head_of_a_large_answer_is_enough) {
  Bench Node;
  Node.configure();
  Node.announce(1);
  Node.arriveFromPeer(1);
  const auto Sent = Node.first<request::StartAttempt>();
  Node.send(
      request::AnswerStarted{Sent->Id, Sent->Attempt, 200, 0,
                             request::TargetStatement{std::nullopt, true}});
  cr_assert(isRefused(Node, 2));
}

// Guards against an entry node that passed the answer on and sends requests to
// the target again, because its host restarted and forgot.
Test(mesh_leaving_answer, an_entry_node_is_bound_by_what_it_passed_on) {
  const auto EntryThatPassedItOn = [] {
    Bench Node;
    Node.configure();
    Node.send(ReportReceived{report("n1")});
    Node.arrive(1);
    answerLeaving(Node, *Node.first<request::StartAttempt>());
    HostReport Restarted = report("n1", 1);
    Restarted.Incarnation = core::Incarnation(2);
    Node.send(ReportReceived{Restarted});
    return Node;
  };
  {
    Bench Node = EntryThatPassedItOn();
    Node.arrive(2);
    cr_assert(!Node.first<request::StartAttempt>(), "sent to the target");
    cr_assert(Node.first<request::Refuse>()->Result ==
              request::Outcome::NotRun);
  }
  // The host knows of the departure: its target is a new process.
  {
    Bench Node = EntryThatPassedItOn();
    HostReport Knowing = report("n1", 2);
    Knowing.Incarnation = core::Incarnation(2);
    Knowing.Departed = DepartedTarget{core::TargetId("t-n1"), 1};
    Node.send(ReportReceived{Knowing});
    Node.arrive(2);
    cr_assert(Node.first<request::StartAttempt>().has_value());
  }
  // Another target took the place.
  {
    Bench Node = EntryThatPassedItOn();
    HostReport Replaced = report("n1", 2);
    Replaced.Incarnation = core::Incarnation(2);
    Replaced.Target->Id = core::TargetId("t-new");
    Node.send(ReportReceived{Replaced});
    Node.arrive(2);
    cr_assert(Node.first<request::StartAttempt>().has_value());
  }
}
