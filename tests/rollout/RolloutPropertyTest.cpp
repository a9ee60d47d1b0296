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

/// Random life of a move: answers, log outages, lost appends, takeovers.
struct Life {
  Life() : C(core::Seconds(*rc::gen::inRange(120, 900))) {
    Fails = *rc::gen::inRange(0, 3) == 0;
  }
  void act() {
    const auto What = *rc::gen::inRange(0, 12);
    if (What == 0)
      C.feed(LogAvailabilityChanged{IsLogUp = !IsLogUp});
    if (What == 1)
      C.Unread.clear();
    if (What == 2)
      C.replaceCoordinator(++Epoch);
    const auto New = static_cast<std::uint64_t>(*rc::gen::inRange(0, 40));
    const auto Faults = Fails ? New / 4 : 0;
    C.addAnswers(answers(New, Faults, 2 * New, 0));
    if (What > 2 && !C.Unread.empty())
      C.readBack();
    C.Now += core::Milliseconds(*rc::gen::inRange(100, 20000));
    C.feed(Tick{});
  }
  Coordinator C;
  bool Fails = false;
  bool IsLogUp = true;
  std::uint64_t Epoch = 1;
};

LocalRollback randomOverlay(const config::MoveId &Move) {
  LocalRollback Value;
  Value.Move = Move;
  Value.DataCentre =
      core::DataCentreId(*rc::gen::element<std::string>("", "a", "b"));
  Value.Share = static_cast<config::Permille>(*rc::gen::inRange(1, 4));
  Value.Proven = *rc::gen::arbitrary<bool>();
  Value.CreatedAt = fake::at(core::Milliseconds(*rc::gen::inRange(0, 3))).Wall;
  Value.Verdict.NewFaults = static_cast<std::uint64_t>(*rc::gen::inRange(0, 3));
  return Value;
}

} // namespace

// Guards against a share that falls, or that passes 5% before the gate.
Test(rollout_6_property, shares_only_rise_and_wait_for_the_gate) {
  cr_assert(rc::check("shares", [] {
    Life L;
    config::Permille Share = 0;
    for (int I = 0; I < 60 && L.C.move().Stage == MoveStage::InProgress; ++I) {
      L.act();
      RC_ASSERT(L.C.move().Share >= Share);
      Share = L.C.move().Share;
      const core::WallTime Now = fake::at(L.C.Now).Wall;
      const MoveProgress Seen{
          L.C.State.EvidenceBySender.total(L.C.move().Id), {}, {}};
      if (!canaryMayEnd(L.C.move(), Seen, Now))
        RC_ASSERT(Share <= 50);
    }
  }));
}

// Guards against appends without the lease or of an older epoch.
Test(rollout_6_property, appends_nothing_after_a_lost_lease) {
  cr_assert(rc::check("lease", [] {
    Life L;
    const auto Before = *rc::gen::inRange(0, 30);
    for (int I = 0; I < Before; ++I)
      L.act();
    L.C.Unread.clear();
    L.C.feed(LeaseLost{});
    L.C.feed(LogAvailabilityChanged{true});
    for (int I = 0; I < 30; ++I) {
      L.C.addAnswers(answers(20, 10, 40, 0));
      L.C.Now += 5000ms;
      L.C.feed(Tick{});
    }
    RC_ASSERT(L.C.Unread.empty());
  }));
}

// Guards against a move with two final words, or none, whatever happens.
Test(rollout_6_property, each_move_gets_one_final_word) {
  cr_assert(rc::check("final word", [] {
    Life L;
    std::optional<MoveStage> Final;
    for (int I = 0; I < 60; ++I) {
      L.act();
      const MoveStage Stage = L.C.move().Stage;
      if (Final)
        RC_ASSERT(Stage == *Final);
      if (Stage != MoveStage::InProgress)
        Final = Stage;
    }
    L.C.feed(LogAvailabilityChanged{true});
    L.C.pass(1000000ms);
    RC_ASSERT(L.C.move().Stage != MoveStage::InProgress);
    // The macro evaluates both sides of a bare `||`.
    RC_ASSERT((!Final || L.C.move().Stage == *Final));
  }));
}

// Guards against a new coordinator that skips, repeats or reverses a step.
Test(rollout_6_property, a_takeover_at_any_step_gives_the_same_final_word) {
  const auto FinalWord = [](int TakeoverAt, std::uint64_t Faults) {
    Coordinator C(600s);
    for (int Second = 0; Second < 600; ++Second) {
      if (Second == TakeoverAt)
        C.replaceCoordinator(2);
      C.addAnswers(answers(4, Second >= 200 ? Faults : 0, 16, 0));
      C.pass(1000ms);
    }
    return C.move().Stage;
  };
  cr_assert(FinalWord(-1, 0) == MoveStage::Completed);
  cr_assert(FinalWord(-1, 2) == MoveStage::RolledBack);
  for (int At = 0; At < 600; At += 15) {
    cr_assert(FinalWord(At, 0) == MoveStage::Completed, "takeover at %d", At);
    cr_assert(FinalWord(At, 2) == MoveStage::RolledBack, "takeover at %d", At);
  }
}

// Guards against a rolled-back version that gets requests again unasked.
Test(rollout_6_property, a_rolled_back_version_gets_no_share) {
  cr_assert(rc::check("rolled back", [] {
    Life L;
    L.C.pass(1000ms);
    L.C.addAnswers(answers(4, 4, 96, 0));
    L.C.readBack();
    L.Fails = *rc::gen::arbitrary<bool>();
    for (int I = 0; I < 40; ++I) {
      L.act();
      const auto &Traffic =
          L.C.Fleet.TrafficByService.at(core::ServiceName("booking"));
      RC_ASSERT(!Traffic.Candidate && Traffic.Stable.value() == "1");
    }
  }));
}

// Guards against nodes that disagree because messages came in another order.
Test(rollout_6_property, overlays_merge_in_any_order_to_the_same_set) {
  cr_assert(rc::check("overlays", [] {
    auto Fleet = fake::orderedFleet(600s);
    Fleet.Moves.back().Share = 2;
    std::vector<LocalRollback> Values;
    Values.reserve(6);
    for (int I = 0; I < 6; ++I)
      Values.push_back(randomOverlay(Fleet.Moves.back().Id));
    const auto Merge = [&](bool IsPrunedFirst) {
      LocalRollbackSet Set;
      for (std::size_t I = 0; I < Values.size(); ++I) {
        Set.add(Values[I]);
        if (IsPrunedFirst && I == 2)
          Set.prune(Fleet);
      }
      Set.prune(Fleet);
      return Set;
    };
    const LocalRollbackSet Set = Merge(false);
    for (int I = 0; I < 6; ++I) {
      const auto At = *rc::gen::inRange(0, 6);
      std::rotate(Values.begin(), Values.begin() + At, Values.end());
      std::swap(Values[0], Values[static_cast<std::size_t>(At)]);
      RC_ASSERT(Merge(*rc::gen::arbitrary<bool>()) == Set);
    }
  }));
}

// Guards against sums that depend on the order of reports.
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
