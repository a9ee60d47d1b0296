#include "RolloutFixture.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace filbertvane;
using namespace filbertvane::decision::rollout;
using namespace std::chrono_literals;
using config::MoveStage;
using fake::answers;
using fake::Coordinator;

namespace {

/// Random sequence of answers, log outages, lost appends and takeovers.
struct RandomRun {
  RandomRun() : C(core::Seconds(*rc::gen::inRange(120, 900))) {
    NewVersionFails = *rc::gen::inRange(0, 3) == 0;
  }
  void step() {
    const auto Action = *rc::gen::inRange(0, 12);
    if (Action == 0)
      C.handle(LogAvailabilityChanged{IsLogUp = !IsLogUp});
    if (Action == 1)
      C.AppendedRecords.clear();
    if (Action == 2)
      C.replaceCoordinator(++Epoch);
    const auto New = static_cast<std::uint64_t>(*rc::gen::inRange(0, 40));
    const auto Faults = NewVersionFails ? New / 4 : 0;
    C.addAnswers(answers(New, Faults, 2 * New, 0));
    if (Action > 2 && !C.AppendedRecords.empty())
      C.readBack();
    C.Now += core::Milliseconds(*rc::gen::inRange(100, 20000));
    C.handle(Tick{});
  }
  Coordinator C;
  bool NewVersionFails = false;
  bool IsLogUp = true;
  std::uint64_t Epoch = 1;
};

LocalRollback randomRollback(const config::MoveId &Move) {
  LocalRollback Rollback;
  Rollback.Move = Move;
  Rollback.DataCentre =
      core::DataCentreId(*rc::gen::element<std::string>("", "a", "b"));
  Rollback.Share = static_cast<config::Permille>(*rc::gen::inRange(1, 4));
  Rollback.Proven = *rc::gen::arbitrary<bool>();
  Rollback.CreatedAt =
      fake::at(core::Milliseconds(*rc::gen::inRange(0, 3))).Wall;
  Rollback.Verdict.NewFaults =
      static_cast<std::uint64_t>(*rc::gen::inRange(0, 3));
  return Rollback;
}

} // namespace

// Guards against a share that decreases, or exceeds 5% during the canary.
Test(rollout_6_property,
     shares_only_rise_and_stay_below_5_percent_in_the_canary) {
  cr_assert(rc::check("shares", [] {
    RandomRun Run;
    config::Permille Share = 0;
    for (int I = 0; I < 60 && Run.C.move().Stage == MoveStage::InProgress;
         ++I) {
      Run.step();
      RC_ASSERT(Run.C.move().Share >= Share);
      Share = Run.C.move().Share;
      const core::WallTime Now = fake::at(Run.C.Now).Wall;
      const MoveProgress Progress{
          Run.C.State.EvidenceBySender.total(Run.C.move().Id), {}, {}};
      if (!canaryMayEnd(Run.C.move(), Progress, Now))
        RC_ASSERT(Share <= 50);
    }
  }));
}

// Guards against appending without the lease.
Test(rollout_6_property, appends_nothing_after_a_lost_lease) {
  cr_assert(rc::check("lease", [] {
    RandomRun Run;
    const auto Before = *rc::gen::inRange(0, 30);
    for (int I = 0; I < Before; ++I)
      Run.step();
    Run.C.AppendedRecords.clear();
    Run.C.handle(LeaseLost{});
    Run.C.handle(LogAvailabilityChanged{true});
    for (int I = 0; I < 30; ++I) {
      Run.C.addAnswers(answers(20, 10, 40, 0));
      Run.C.Now += 5000ms;
      Run.C.handle(Tick{});
    }
    RC_ASSERT(Run.C.AppendedRecords.empty());
  }));
}

// Guards against a move that does not end, or whose result changes.
Test(rollout_6_property, each_move_ends_with_one_result) {
  cr_assert(rc::check("move result", [] {
    RandomRun Run;
    std::optional<MoveStage> Final;
    for (int I = 0; I < 60; ++I) {
      Run.step();
      const MoveStage Stage = Run.C.move().Stage;
      if (Final)
        RC_ASSERT(Stage == *Final);
      if (Stage != MoveStage::InProgress)
        Final = Stage;
    }
    Run.C.handle(LogAvailabilityChanged{true});
    Run.C.advance(1000000ms);
    RC_ASSERT(Run.C.move().Stage != MoveStage::InProgress);
    // Without parentheses, RC_ASSERT evaluates both operands of `||`.
    RC_ASSERT((!Final || Run.C.move().Stage == *Final));
  }));
}

// Guards against a new coordinator that skips, repeats or reverts a step.
Test(rollout_6_property, a_takeover_at_any_step_gives_the_same_result) {
  const auto FinalStage = [](int TakeoverAt, std::uint64_t Faults) {
    Coordinator C(600s);
    for (int Second = 0; Second < 600; ++Second) {
      if (Second == TakeoverAt)
        C.replaceCoordinator(2);
      C.addAnswers(answers(4, Second >= 200 ? Faults : 0, 16, 0));
      C.advance(1000ms);
    }
    return C.move().Stage;
  };
  cr_assert(FinalStage(-1, 0) == MoveStage::Completed);
  cr_assert(FinalStage(-1, 2) == MoveStage::RolledBack);
  for (int At = 0; At < 600; At += 15) {
    cr_assert(FinalStage(At, 0) == MoveStage::Completed, "takeover at %d", At);
    cr_assert(FinalStage(At, 2) == MoveStage::RolledBack, "takeover at %d", At);
  }
}

// Guards against sending requests to a rolled-back version without a new order.
Test(rollout_6_property, a_rolled_back_version_gets_no_share) {
  cr_assert(rc::check("rolled back", [] {
    RandomRun Run;
    Run.C.advance(1000ms);
    Run.C.addAnswers(answers(4, 4, 96, 0));
    Run.C.readBack();
    Run.NewVersionFails = *rc::gen::arbitrary<bool>();
    for (int I = 0; I < 40; ++I) {
      Run.step();
      const auto &Traffic =
          Run.C.Fleet.TrafficByService.at(core::ServiceName("booking"));
      RC_ASSERT(!Traffic.Candidate && Traffic.Stable.value() == "1");
    }
  }));
}

// Guards against nodes that disagree because messages arrived in another order.
Test(rollout_6_property, local_rollbacks_merge_in_any_order_to_the_same_set) {
  cr_assert(rc::check("local rollbacks", [] {
    auto Fleet = fake::orderedFleet(600s);
    Fleet.Moves.back().Share = 2;
    std::vector<LocalRollback> Rollbacks;
    Rollbacks.reserve(6);
    for (int I = 0; I < 6; ++I)
      Rollbacks.push_back(randomRollback(Fleet.Moves.back().Id));
    const auto Merge = [&](bool IsPrunedFirst) {
      LocalRollbackSet Set;
      for (std::size_t I = 0; I < Rollbacks.size(); ++I) {
        Set.add(Rollbacks[I]);
        if (IsPrunedFirst && I == 2)
          Set.prune(Fleet);
      }
      Set.prune(Fleet);
      return Set;
    };
    const LocalRollbackSet Set = Merge(false);
    for (int I = 0; I < 6; ++I) {
      const auto At = *rc::gen::inRange(0, 6);
      std::rotate(Rollbacks.begin(), Rollbacks.begin() + At, Rollbacks.end());
      std::swap(Rollbacks[0], Rollbacks[static_cast<std::size_t>(At)]);
      RC_ASSERT(Merge(*rc::gen::arbitrary<bool>()) == Set);
    }
  }));
}

// Guards against sums that depend on the order of the reports.
Test(rollout_6_property, evidence_merges_in_any_order_to_the_same_sum) {
  cr_assert(rc::check("evidence", [] {
    const config::MoveId Move{core::ServiceName("booking"),
                              core::ConfigVersion(1)};
    std::vector<Evidence> Reports;
    for (std::uint64_t I = 0; I < 8; ++I) {
      Evidence Report;
      Report.Sender = core::NodeId(*rc::gen::element<std::string>("a", "b"));
      Report.SenderIncarnation = core::Incarnation(1 + I % 2);
      Report.Revision = I;
      Report.Moves[Move][core::RouteName("read")] = answers(I, 0, 3 * I, I);
      Reports.push_back(Report);
    }
    const auto Sum = [&] {
      EvidenceTable Table;
      for (const Evidence &Report : Reports)
        Table.merge(Report, {});
      return Table.total(Move);
    };
    const MoveCounts InOrder = Sum();
    std::rotate(Reports.begin(), Reports.begin() + *rc::gen::inRange(0, 8),
                Reports.end());
    RC_ASSERT(Sum() == InOrder);
    std::reverse(Reports.begin(), Reports.end());
    RC_ASSERT(Sum() == InOrder);
  }));
}
