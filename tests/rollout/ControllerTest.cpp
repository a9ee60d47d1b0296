#include "RolloutFixture.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::decision::rollout;
using namespace std::chrono_literals;
using config::MoveStage;
using fake::answers;
using fake::Coordinator;

// Guards against a move that stays where it is although nothing is wrong.
Test(rollout_4_controller, completes_a_good_move_before_its_deadline) {
  Coordinator C(600s);
  for (int I = 0; I < 600; ++I) {
    C.addAnswers(answers(8, 0, 12, 0));
    C.pass(1000ms);
  }
  cr_assert(C.move().Stage == MoveStage::Completed);
  cr_assert(*C.move().EndedAt <= C.move().Order.Deadline);
  cr_assert(*C.move().EndedAt > C.move().Order.Deadline - 60s,
            "watched too short");
}

// Guards against a bad version that keeps its share.
Test(rollout_4_controller, rolls_back_on_pooled_evidence) {
  Coordinator C(600s);
  C.pass(1000ms);
  C.addAnswers(answers(4, 4, 96, 0));
  cr_assert(C.Published.size() == 1, "the withdrawal takes effect at once");
  C.readBack();
  cr_assert(C.move().Stage == MoveStage::RolledBack);
  cr_assert(C.move().Decision->NewFaults == 4);
}

// Guards against records that are appended while the log is down, and against
// a rollback that is forgotten until its return.
Test(rollout_4_controller, keeps_a_rollback_until_the_log_is_back) {
  Coordinator C(600s);
  C.pass(1000ms);
  const auto Share = C.move().Share;
  C.feed(LogAvailabilityChanged{false});
  C.pass(400000ms);
  C.addAnswers(answers(4, 4, 96, 0));
  cr_assert(C.Unread.empty());
  cr_assert(C.move().Share == Share, "a step was made without the log");
  C.feed(LogAvailabilityChanged{true});
  C.readBack();
  cr_assert(C.move().Stage == MoveStage::RolledBack);
}

// Guards against appends by a coordinator that lost its lease.
Test(rollout_4_controller, appends_nothing_without_the_lease) {
  Coordinator C(600s);
  C.feed(LeaseLost{});
  C.Unread.clear();
  C.addAnswers(answers(4, 4, 96, 0));
  C.pass(300000ms);
  cr_assert(C.Unread.empty());
  cr_assert(C.move().Share == 0);
}

// Guards against a holder that has not yet noticed a newer claim in the log.
Test(rollout_4_controller, appends_nothing_after_a_newer_claim) {
  Coordinator C(600s);
  C.pass(1000ms);
  fake::applyRecord(C.Fleet,
                    config::LeaseClaimed{core::NodeId("b"), core::Epoch(2)});
  C.readBack();
  C.addAnswers(answers(4, 4, 96, 0));
  cr_assert(C.Unread.empty());
}

// Guards against appending a step again at each event until it is read back.
Test(rollout_4_controller, repeats_an_append_only_after_the_read_back_time) {
  Coordinator C(600s);
  cr_assert(C.Unread.size() == 1);
  for (int I = 0; I < 7; ++I) {
    C.Now += EvidencePeriod;
    C.feed(Tick{});
  }
  cr_assert(C.Unread.size() == 1);
  C.Now += ReadBackTimeout;
  C.feed(Tick{});
  cr_assert(C.Unread.size() == 2);
  C.readBack();
  cr_assert(C.Effective == 1, "the repetition has no effect");
}

// Guards against a rollback that waits for a step to be read back.
Test(rollout_4_controller, a_pending_step_does_not_delay_a_rollback) {
  Coordinator C(600s);
  C.addAnswers(answers(4, 4, 96, 0));
  cr_assert(std::holds_alternative<config::MoveRolledBack>(C.Unread.back()));
}

// Guards against evidence from before a takeover that is counted as new.
Test(rollout_4_controller, a_takeover_takes_old_counts_as_a_baseline) {
  Coordinator C(600s);
  while (C.move().Share <= CanaryShare)
    C.pass(1000ms);
  for (int I = 0; I < 30; ++I) {
    C.addAnswers(answers(0, 0, 96, 0));
    C.pass(1000ms);
  }
  C.replaceCoordinator(2);
  C.addAnswers(answers(4, 4, 0, 0));
  C.pass(1000ms);
  cr_assert(C.move().Stage == MoveStage::InProgress);
  C.addAnswers(answers(4, 4, 96, 0));
  C.pass(1000ms);
  cr_assert(C.move().Stage == MoveStage::RolledBack);
}

// Guards against faults that are lost when the coordinator dies at the canary.
Test(rollout_4_controller, a_takeover_at_the_canary_counts_the_first_reports) {
  Coordinator C(600s);
  C.pass(20000ms);
  C.Report.Moves[C.move().Id][core::RouteName("read")] += answers(4, 4, 96, 0);
  C.replaceCoordinator(2);
  C.addAnswers(answers(0, 0, 1, 0));
  C.readBack();
  cr_assert(C.move().Stage == MoveStage::RolledBack);
}

// Guards against a rolled-back version that gets requests without a new order.
Test(rollout_4_controller, a_rolled_back_version_waits_for_a_new_order) {
  Coordinator C(600s);
  C.pass(1000ms);
  C.addAnswers(answers(4, 4, 96, 0));
  C.pass(700000ms);
  cr_assert(!C.Fleet.TrafficByService[core::ServiceName("booking")].Candidate);
  fake::applyRecord(C.Fleet, fake::moveSheet(fake::at(C.Now).Wall, 600s));
  C.readBack();
  C.pass(1000ms);
  cr_assert(C.move().Share == WarmUpShare);
}

// Guards against a late fault that nobody hears of.
Test(rollout_4_controller, reports_a_fault_after_completion) {
  Coordinator C(600s);
  C.pass(600000ms);
  cr_assert(C.move().Stage == MoveStage::Completed);
  C.addAnswers(answers(4, 4, 0, 0));
  cr_assert(C.Logged.contains(observe::EventId::MoveFaultAfterCompletion));
  cr_assert(C.Unread.empty());
}

// Guards against a rollback for a shared fault at a share at which the old
// version answers too little: it is withdrawn, tried again, and completes.
Test(rollout_4_controller, tries_a_suspected_version_again) {
  Coordinator C(600s);
  while (C.move().Share <= MaxComparableShare)
    C.pass(1000ms);
  C.addAnswers(answers(100, 0, 20, 0));
  C.pass(EvidencePeriod);
  C.addAnswers(answers(5, 5, 0, 0));
  cr_assert(C.Published.size() == 1 && !C.Published.front().Proven);
  C.addAnswers(answers(0, 0, 100, 50));
  const auto Share = C.move().Share;
  C.pass(6000ms);
  cr_assert(C.move().Share == Share, "tried while the old version failed");
  C.addAnswers(answers(0, 0, 100, 0));
  C.pass(6000ms);
  cr_assert(C.move().Share == Share + 1);
  C.pass(600000ms);
  cr_assert(C.move().Stage == MoveStage::Completed);
}

// Guards against a fault that comes back with the version at each trial.
Test(rollout_4_controller, rolls_back_at_the_second_suspicion) {
  Coordinator C(600s);
  while (C.move().Share <= MaxComparableShare)
    C.pass(1000ms);
  for (int Trial = 0; Trial < 2; ++Trial) {
    C.addAnswers(answers(5, 5, 0, 0));
    C.addAnswers(answers(0, 0, 100, 0));
    C.pass(6000ms);
  }
  cr_assert(C.move().Stage == MoveStage::RolledBack);
}

// Guards against a report that names a version as in force too early.
Test(rollout_4_controller, reports_a_sheet_in_force_with_missing_centres) {
  Coordinator C(600s);
  const core::DataCentreId A("a");
  const core::DataCentreId B("b");
  C.feed(DataCentreReported{A, core::ConfigVersion(0)});
  C.feed(DataCentreLost{B, fake::at(0ms).Wall});
  C.readBack();
  cr_assert(!C.Fleet.InForce);
  C.feed(DataCentreReported{A, C.Fleet.SheetVersion});
  C.readBack();
  cr_assert(C.Fleet.InForce && C.Fleet.InForce->Missing.size() == 1);
}

// Guards against a move that never ends: faults that are known before the first
// step leave a suspicion which no later answer can clear, since the version
// gets no request (rollout_6_property, seeds 14, 17, 24 and 42).
Test(rollout_4_controller, a_version_suspected_before_its_first_step_is_tried) {
  Coordinator C(120s);
  // The first step is appended and lost.
  for (int I = 0; I < 60; ++I) {
    const bool Answered = I == 11 || I == 24 || I == 52 || I == 53;
    C.addAnswers(Answered ? answers(4, 1, 8, 0) : answers(0, 0, 0, 0));
    C.Now += 100ms;
    C.feed(Tick{});
  }
  C.Unread.clear();
  C.pass(1000000ms);
  cr_assert(C.move().Stage != MoveStage::InProgress);
}
