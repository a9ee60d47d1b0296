#include "MeshBench.h"

using namespace meshbench;
using request::AttemptEnd;
using request::Outcome;
using request::Refuse;
using request::StartAttempt;

// Guards against requests to a target that announced its departure.
Test(mesh_target, a_leaving_target_gets_no_new_request) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.send(ReportReceived{report("n1")});
  Node.announce(2, true);
  cr_assert(Node.first<SendReport>()->Report.Target->State ==
                TargetState::Draining,
            "other nodes are not notified at once");
  Node.arriveFromPeer(1);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  // A delayed announcement does not make it ready again.
  {
    Node.announce(1, false);
    Node.arriveFromPeer(2);
    cr_assert(Node.first<Refuse>().has_value());
  }
  // The next process of the target does.
  {
    Node.announce(1, false, 2000);
    Node.arriveFromPeer(3);
    cr_assert(Node.first<StartAttempt>().has_value());
  }
}

// Guards against a delayed announcement of a previous process.
Test(mesh_target, processes_are_ordered_by_their_start) {
  Bench Node;
  Node.configure();
  Node.announce(1, false, 2000, "new");
  Node.announce(9, false, 1000, "old");
  cr_assert(Node.State.Target->Announcement.Id == core::TargetId("new"));
}

// Guards against running a request for another target at a reused address.
Test(mesh_target, a_request_names_the_target_that_it_is_for) {
  Bench Node;
  Node.configure();
  Node.announce(1, false, 1000, "someone-else");
  Node.arriveFromPeer(1);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
}

// Guards against requests that wait for a target that no longer listens.
Test(mesh_target, a_target_without_listener_is_down_until_it_announces) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.arriveFromPeer(1);
  const auto First = Node.first<StartAttempt>();
  Node.arriveFromPeer(2);
  Node.arriveFromPeer(3);
  Node.end(*First, AttemptEnd::NotRun, 0, false, true);
  cr_assert(Node.count<Refuse>() == 2, "waiting requests are not refused");
  Node.arriveFromPeer(4);
  cr_assert(Node.first<Refuse>().has_value());
  Node.announce(2);
  Node.arriveFromPeer(5);
  cr_assert(Node.first<StartAttempt>().has_value());
}

// Guards against requests to a target that crashed.
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

// Guards against slots of a previous process that are never released, or
// released twice.
Test(mesh_target, slots_belong_to_one_process) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.arriveFromPeer(1);
  const auto Old = Node.first<StartAttempt>();
  Node.announce(1, false, 2000);
  cr_assert(Node.State.Slots.load().Running == 0);
  Node.arriveFromPeer(2);
  Node.end(*Old, AttemptEnd::NoAnswer);
  cr_assert(Node.State.Slots.load().Running == 1);
}

// Guards against refusing a request as "not run" that may have run.
Test(mesh_target, a_lost_answer_is_not_a_refusal) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.arriveFromPeer(1);
  Node.end(*Node.first<StartAttempt>(), AttemptEnd::NoAnswer);
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown);
  // A request refused by the target itself is marked as having reached it.
  Node.arriveFromPeer(2);
  Node.end(*Node.first<StartAttempt>(), AttemptEnd::NotRun, 503, true);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  cr_assert(Node.first<Refuse>()->ReachedTarget);
}

// Guards against a target that gets no requests while its node is restarted
// (incident inc-f3f1), and against a node that accepts peer requests just
// before it exits.
Test(mesh_target, a_stopping_node_serves_others_for_a_while) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.send(ReportReceived{report("n1")});
  Node.send(ShutdownRequested{Node.Now + milliseconds(5600)});
  cr_assert(!Node.first<ReadinessChanged>()->Ready);
  // The target keeps running: other nodes are not notified yet, and are served.
  {
    Node.Now += milliseconds(1400);
    Node.arriveFromPeer(1);
    cr_assert(Node.first<StartAttempt>().has_value());
  }
  // Then they are notified, once.
  {
    Node.Now += milliseconds(100);
    Node.send(request::Tick{});
    cr_assert(Node.first<SendReport>()->Report.Leaving);
    Node.Now += milliseconds(50);
    Node.send(request::Tick{});
    cr_assert(!Node.first<SendReport>());
  }
  // A request sent before the report arrived is accepted.
  {
    Node.arriveFromPeer(2);
    cr_assert(Node.first<StartAttempt>().has_value());
  }
  // Later ones are refused.
  {
    Node.Now += milliseconds(500);
    Node.arriveFromPeer(3);
    cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  }
  // Callers of this host are served until they have noticed the shutdown.
  {
    Node.arrive(4);
    cr_assert(!Node.first<Refuse>());
  }
}

// Guards against a request that a stopping node accepts on a kept-alive
// connection and cuts off at its exit (46 lost requests on scale-2 of
// aclu-lecturas-grown).
Test(mesh_target, a_stopping_node_takes_only_what_it_can_finish) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.send(ShutdownRequested{Node.Now + milliseconds(3000)});
  Node.Now += milliseconds(2400);
  Node.arrive(1);
  cr_assert(Node.first<StartAttempt>().has_value());
  Node.Now += milliseconds(200);
  Node.arrive(2);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  cr_assert(Node.first<Refuse>()->RetryAfter.has_value());
}

// Guards against accepted bookings that wait in a queue until their node exits
// (review, case 3), or that of the caller.
Test(mesh_target, a_queue_keeps_only_what_ends_before_an_exit) {
  // Two slots, each taken for 400 ms a request.
  const auto FillQueue = [](Bench &Node) {
    Node.configure();
    Node.announce();
    Node.send(ReportReceived{report("n1")});
    for (std::uint64_t I = 1; I <= 40; ++I) {
      Node.arriveFromPeer(I, 9000, 9000);
      const auto Started = Node.first<StartAttempt>();
      Node.Now += milliseconds(400);
      Node.end(*Started, AttemptEnd::Held);
    }
    for (std::uint64_t I = 101; I <= 108; ++I)
      Node.arriveFromPeer(I, 9000, 9000);
  };
  const auto RefusedCalls = [](const Bench &Node) {
    std::vector<std::uint64_t> Ids;
    for (const Effect &Produced : Node.Last)
      if (const auto *Refusal = std::get_if<Refuse>(&Produced)) {
        cr_assert(Refusal->Result == Outcome::NotRun);
        Ids.push_back(Refusal->Id.value());
      }
    std::ranges::sort(Ids);
    return Ids;
  };
  // This node exits: what would still run is refused at once.
  {
    Bench Node;
    FillQueue(Node);
    Node.send(ShutdownRequested{Node.Now + milliseconds(1200)});
    cr_assert(RefusedCalls(Node) == (std::vector<std::uint64_t>{106, 107, 108}),
              "%zu refused", RefusedCalls(Node).size());
    // Other nodes hear of it, to do the same with what this node sent them.
    cr_assert(Node.first<SendReport>()->Report.ExitsIn == milliseconds(1200));
    // A request that arrives later has no place before the exit.
    Node.arriveFromPeer(109, 9000, 9000);
    cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  }
  // The node that sent the requests exits.
  {
    Bench Node;
    FillQueue(Node);
    HostReport Stopping = report("n1", 2);
    Stopping.ExitsIn = milliseconds(1200);
    Node.send(ReportReceived{Stopping});
    cr_assert(RefusedCalls(Node).size() == 3);
    // Requests of other nodes wait.
    Node.arriveFromPeer(109, 9000, 9000, 1, false, "n9");
    cr_assert(!Node.first<Refuse>());
    // Its next process is not bound by it.
    HostReport Next = report("n1", 1);
    Next.Incarnation = core::Incarnation(2);
    Node.send(ReportReceived{Next});
    Node.arriveFromPeer(110, 9000, 9000);
    cr_assert(!Node.first<Refuse>());
  }
  // At the exit, each request that is left is told what is known of it.
  {
    Bench Node;
    FillQueue(Node);
    Node.send(ExitDue{});
    std::size_t NotRun = 0;
    std::size_t Unknown = 0;
    for (const Effect &Produced : Node.Last)
      if (const auto *Refusal = std::get_if<Refuse>(&Produced))
        ++(Refusal->Result == Outcome::NotRun ? NotRun : Unknown);
    cr_assert(Unknown == 2 && NotRun == 6);
  }
}

// Guards against a target that deregistered, refused a connection, and gets
// requests again because of a delayed announcement.
Test(mesh_target, a_leaving_target_stays_so_after_it_was_down) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.arriveFromPeer(1);
  const auto Running = Node.first<StartAttempt>();
  Node.send(TargetDeregistered{core::TargetId("own")});
  Node.end(*Running, AttemptEnd::NotRun, 0, false, true);
  Node.announce(2);
  Node.arriveFromPeer(2);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
}

// Guards against a departure that takes out another process than the one that
// leaves, or that is forgotten since another one is known.
Test(mesh_target, a_departure_concerns_one_process_of_a_target) {
  const auto IsUsed = [](Bench &Node, std::uint64_t Id) {
    Node.arriveFromPeer(Id);
    return Node.first<StartAttempt>().has_value();
  };
  const core::TargetId Own("own");
  // The late call of an earlier process under the same id, or another one.
  for (const char *Id : {"own", "earlier"}) {
    Bench Node;
    Node.configure();
    Node.announce(1, false, 2000);
    Node.send(TargetDeregistered{core::TargetId(Id), 1000});
    cr_expect(IsUsed(Node, 1), "%s", Id);
  }
  // The process itself; its later announcements were sent before.
  {
    Bench Node;
    Node.configure();
    Node.announce(1, false, 2000);
    Node.send(TargetDeregistered{Own, 2000});
    cr_expect(!IsUsed(Node, 1));
    Node.announce(2, false, 2000);
    cr_expect(!IsUsed(Node, 2));
  }
  // A later process whose announcements arrive after its departure, beside a
  // target of another id or the same one.
  for (const char *Former : {"earlier", "own"}) {
    Bench Node;
    Node.configure();
    Node.announce(1, false, 1000, Former);
    Node.send(TargetDeregistered{Own, 2000});
    if (Own.value() == Former)
      cr_expect(!IsUsed(Node, 1), "%s", Former);
    Node.announce(1, false, 2000);
    cr_expect(!IsUsed(Node, 2), "%s", Former);
    // The process after that is another one.
    Node.announce(1, false, 3000);
    cr_expect(IsUsed(Node, 3), "%s", Former);
  }
}

// Guards against a node process that does not know that its previous process
// acknowledged the departure of the target (drain check on
// aclu-lecturas-grown).
Test(mesh_target, a_restarted_node_knows_that_its_target_leaves) {
  Bench Before;
  Before.configure();
  Before.send(StoreReachabilityChanged{true});
  Before.announce();
  Before.send(TargetDeregistered{core::TargetId("own")});
  const auto Published = Before.first<PublishReport>();
  cr_assert(Published.has_value(), "the departure is not published");
  cr_assert(Published->Report.Target->State == TargetState::Draining);

  Bench After;
  After.configure();
  // The store answers before the target announces itself.
  {
    After.send(StoredReportsRead{{Published->Report}});
    After.announce(7);
    After.arriveFromPeer(1);
    cr_assert(After.first<Refuse>()->Result == Outcome::NotRun);
  }
  // The store answers after the announcement.
  {
    Bench Late;
    Late.configure();
    Late.announce(7);
    Late.send(StoredReportsRead{{Published->Report}});
    Late.arriveFromPeer(1);
    cr_assert(Late.first<Refuse>()->Result == Outcome::NotRun);
  }
  // Another process of the target serves requests, also under the same id.
  {
    After.announce(1, false, 2000);
    After.arriveFromPeer(2);
    cr_assert(After.first<StartAttempt>().has_value());
  }
}

// Guards against a target that left, known as ready from the report of the
// previous process of its node, which acknowledged the departure while it could
// not reach the store (review, case 5).
Test(mesh_target, a_restarted_node_waits_for_its_target) {
  Bench Before;
  Before.configure();
  Before.send(StoreReachabilityChanged{true});
  Before.announce();
  const auto Published = Before.first<PublishReport>();
  cr_assert(Published.has_value(), "the target is not published");

  const auto Restarted = [&Published] {
    Bench Node;
    Node.State.Settings.Service = core::ServiceName("shop");
    Node.configure();
    Node.send(StoredReportsRead{{Published->Report}});
    return Node;
  };
  const auto IsRefused = [](Bench &Node, std::uint64_t Id) {
    Node.arriveFromPeer(Id);
    return Node.first<Refuse>().has_value() &&
           Node.first<Refuse>()->Result == Outcome::NotRun;
  };
  // The departure is not in the store, however it was announced.
  for (const bool Announced : {false, true}) {
    Before.send(StoreReachabilityChanged{false});
    if (Announced)
      Before.announce(2, true);
    else
      Before.send(TargetDeregistered{core::TargetId("own")});
    cr_assert(!Before.first<PublishReport>());
    // The next process does not use the target, nor does the one after it, and
    // none tells other nodes that it is ready.
    for (int Restart = 0; Restart < 2; ++Restart) {
      Bench After = Restarted();
      cr_assert(IsRefused(After, 1));
      cr_assert(!makeHostReport(After.State, After.Now).Target);
      After.Now += milliseconds(3100);
      After.send(request::Tick{});
      cr_assert(IsRefused(After, 2));
      // A target that announces its departure again is not used either.
      After.announce(3, true);
      cr_assert(IsRefused(After, 3));
    }
  }
  // A target that goes on announcing itself is used from its first announcement
  // to the new process on, which is not taken for a new target.
  {
    Bench After = Restarted();
    After.announce(9);
    After.arriveFromPeer(1);
    cr_assert(After.first<StartAttempt>().has_value());
    After.announce(10);
    cr_assert(After.State.Slots.load().Running == 1);
  }
}

// Guards against an announcement that a target sent before its departure, and
// that arrives at the next process of its node while the store is away.
Test(mesh_target, other_nodes_tell_a_restarted_node_of_a_departure) {
  Bench Peer("n1");
  HostReport Leaving = report("n0");
  Leaving.Departed = DepartedTarget{core::TargetId("own"), 1000};
  Peer.send(ReportReceived{Leaving});

  Bench After;
  After.State.Settings.Incarnation = core::Incarnation(2);
  After.configure();
  After.announce(7);
  const auto HearsOf = [&Peer](const HostReport &Report) {
    Peer.send(ReportReceived{Report});
    const auto Reply = Peer.first<SendReport>();
    return Reply && Reply->Report.RecipientDeparted ? Reply : std::nullopt;
  };
  // The first answer may be lost.
  cr_assert(HearsOf(makeHostReport(After.State, After.Now)));
  const auto Reply = HearsOf(makeHostReport(After.State, After.Now));
  cr_assert(Reply.has_value(), "told once only");
  cr_assert(Reply->Addresses == std::vector<std::string>{"10.0.0.1"});
  After.send(ReportReceived{Reply->Report});
  After.announce(8);
  After.arriveFromPeer(1);
  cr_assert(After.first<Refuse>()->Result == Outcome::NotRun);
  // The node itself tells it now.
  cr_assert(!HearsOf(makeHostReport(After.State, After.Now)));
  // The next process of the target is used.
  After.announce(1, false, 2000);
  After.arriveFromPeer(2);
  cr_assert(After.first<StartAttempt>().has_value());
  // What another node remembers of earlier processes changes nothing.
  HostReport Stale = Reply->Report;
  Stale.Sequence += 1000;
  After.send(ReportReceived{Stale});
  After.arriveFromPeer(3);
  cr_assert(After.first<StartAttempt>().has_value());
}

// Guards against a slow version whose slowest answers are not counted, whoever
// gives up on them.
Test(mesh_target, a_request_that_is_given_up_counts_as_slow) {
  for (const bool CallerLeaves : {false, true}) {
    Bench Node;
    Node.configure();
    Node.announce();
    Node.send(MoveOrdered{core::ServiceName("shop"), core::TargetVersion("v1"),
                          milliseconds(16000), position(5), false});
    Node.arriveFromPeer(1);
    Node.Now += milliseconds(1000);
    if (CallerLeaves)
      Node.send(request::CallerDisconnected{core::CallId(1)});
    else
      Node.send(request::Tick{});
    const auto Report = makeHostReport(Node.State, Node.Now).Target;
    cr_assert(Report->Tallies.size() == 1);
    cr_assert(Report->Tallies.front().CutOffTimes.total() == 1);
  }
}

// Guards against requests for a version that was rejected, from nodes that do
// not know yet, and from the queue.
Test(mesh_target, a_host_refuses_requests_for_a_rejected_version) {
  Bench Node;
  Node.configure();
  Node.announce(1, false, 1000, "own", 1);
  Node.send(MoveOrdered{core::ServiceName("shop"), core::TargetVersion("v1"),
                        milliseconds(16000), position(5), false});
  Node.arriveFromPeer(1);
  cr_assert(Node.first<StartAttempt>().has_value());
  Node.arriveFromPeer(2);
  cr_assert(!Node.first<request::Refuse>());
  HostReport Told = report("n1");
  Told.Moves = {{core::ServiceName("shop"), core::TargetVersion("v1"),
                 position(5), MovePhase::Rejected, milliseconds(0)}};
  Node.send(ReportReceived{Told});
  Node.send(request::Tick{});
  cr_assert(Node.first<request::Refuse>()->Id == core::CallId(2));
  Node.arriveFromPeer(3);
  cr_assert(Node.first<request::Refuse>()->Result == request::Outcome::NotRun);
}

// Guards against a fault of the target that is not counted, since another
// request from its host fails, and against one that is counted although a call
// of the same request failed.
Test(mesh_target, a_failure_is_excused_by_calls_of_the_same_request_only) {
  config::Routing Routing = shopRouting();
  Routing.Services.push_back({core::ServiceName("search")});
  Routing.Routes.push_back(shopRoute("search", true));
  Routing.Routes.back().Services = {{core::ServiceName("search"), 1}};
  const auto FaultsAfter = [&Routing](const std::string &Path,
                                      const std::string &CallId,
                                      const std::string &ParentId) {
    Bench Node;
    Node.configure(Routing);
    Node.announce();
    Node.send(MoveOrdered{core::ServiceName("shop"), core::TargetVersion("v1"),
                          milliseconds(16000), position(5), false});
    Node.arriveFromPeer(1);
    const auto Started = Node.first<StartAttempt>();
    request::CallArrived Other;
    Other.Id = core::CallId(2);
    Other.Path = Path;
    Other.VirtualHost = "shop.example";
    Other.CallerId = CallId;
    Other.ParentId = ParentId;
    Node.send(Other);
    cr_assert(Node.first<request::Refuse>().has_value());
    Node.end(*Started, request::AttemptEnd::Held, 500);
    const auto Report = makeHostReport(Node.State, Node.Now).Target;
    cr_assert(Report->Tallies.size() <= 1);
    return Report->Tallies.empty() ? 0 : Report->Tallies.front().Faults;
  };
  // The service has no targets.
  cr_assert(FaultsAfter("/search/1", "c2", "") == 1);
  cr_assert(FaultsAfter("/search/1", "c1.1", "c1") == 0);
  cr_assert(FaultsAfter("/nowhere/", "c1.1", "c1") == 0);
}
