#include "filbertvane/decision/request/Ejection.h"
#include "NodeFixture.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace request_fixture;

namespace {

struct TargetGroup {
  TargetTable Table;
  std::vector<TargetIndex> Members;
  core::TimePoint Now;

  explicit TargetGroup(std::size_t Count) {
    std::vector<Endpoint> Places;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Places.push_back(endpoint("n" + std::to_string(Index)));
      Members.push_back(static_cast<TargetIndex>(Index));
    }
    Table.update(Places, core::NodeId("x"), core::DataCentreId("dc1"),
                 core::RegionId("r1"));
  }
  void answer(TargetIndex Index, int Times, bool Fault, int LatencyMs) {
    for (int Time = 0; Time < Times; ++Time)
      recordAttempt(Table[Index].Health, Fault, core::Milliseconds(LatencyMs));
  }
};

} // namespace

// Guards against sending requests to a target that fails or is slow.
Test(ejection, failing_and_slow_targets_are_outliers) {
  TargetGroup Targets(6);
  for (TargetIndex Index = 0; Index < 4; ++Index)
    Targets.answer(Index, 30, false, 10);
  Targets.answer(4, 30, false, 100);
  Targets.answer(5, 30, true, 10);
  const auto Found = findOutliers(Targets.Members, Targets.Table.all());
  cr_assert(Found == std::vector<TargetIndex>({4, 5}), "wrong outliers");
}

// Guards against ejection based on too few samples.
Test(ejection, few_answers_prove_nothing) {
  TargetGroup Targets(4);
  for (TargetIndex Index = 0; Index < 3; ++Index)
    Targets.answer(Index, 30, false, 10);
  Targets.answer(3, 4, true, 500);
  cr_assert(findOutliers(Targets.Members, Targets.Table.all()).empty(),
            "ejected after too few samples");
}

// Guards against an ejected target that is never re-admitted, or is re-admitted
// without a warm-up.
Test(ejection, a_target_is_readmitted_at_its_deadline) {
  TargetGroup Targets(2);
  cr_assert(eject(Targets.Table, Targets.Members, 0, Targets.Now),
            "not ejected");
  const core::TimePoint End = Targets.Now + BaseEjectionTime;
  cr_assert(readmit(Targets.Table, Targets.Members, End - core::Microseconds(1))
                .empty(),
            "re-admitted too early");
  cr_assert(readmit(Targets.Table, Targets.Members, End).size() == 1,
            "not re-admitted");
  cr_assert(Targets.Table[0].WarmUpStart == End, "warm-up not restarted");
  eject(Targets.Table, Targets.Members, 0, End);
  cr_assert(Targets.Table[0].Health.EjectedUntil == End + BaseEjectionTime * 2,
            "the second ejection is not longer");
}

// Guards against ejecting so many targets that the others are overloaded.
Test(ejection, at_most_half_of_a_group_is_ejected) {
  const bool Passed = rc::check([] {
    RandomChoices Pick;
    const std::size_t Count = Pick(1, 9);
    TargetGroup Targets(Count);
    std::size_t EjectedCount = 0;
    for (std::size_t Step = 0; Step < 30; ++Step)
      EjectedCount +=
          eject(Targets.Table, Targets.Members,
                static_cast<TargetIndex>(Pick(0, Count)), Targets.Now)
              ? 1
              : 0;
    RC_ASSERT(EjectedCount <= Count / 2);
    RC_ASSERT(EjectedCount < Count);
  });
  cr_assert(Passed, "too many targets ejected");
}

// Guards against a group whose active targets all left while the others are
// ejected.
Test(ejection, the_last_targets_are_not_left_ejected) {
  TargetGroup Targets(4);
  eject(Targets.Table, Targets.Members, 0, Targets.Now);
  eject(Targets.Table, Targets.Members, 1, Targets.Now + core::Microseconds(1));
  const std::vector<TargetIndex> Left{0, 1};
  limitEjections(Targets.Table, Left, Targets.Now);
  cr_assert(!Targets.Table[0].Health.EjectedUntil,
            "the ejection that ends first was not lifted");
  cr_assert(Targets.Table[1].Health.EjectedUntil, "both ejections were lifted");
}

// Guards against selection ignoring an ejection.
Test(ejection, five_faults_in_a_row_stop_new_requests) {
  NodeFixture Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  std::uint64_t Id = 0;
  while (Node.count<observe::LogEvent>() == 0 && Id < 100) {
    Node.arrive(++Id);
    const bool Bad = Node.first<StartAttempt>()->To.Node == core::NodeId("n1");
    Node.end(Id, AttemptEnd::Answered, Bad ? 500 : 200);
  }
  cr_assert(Id < 100, "the failing target was never ejected");
  for (int Request = 0; Request < 20; ++Request) {
    Node.arrive(++Id);
    cr_assert(Node.first<StartAttempt>()->To.Node == core::NodeId("n2"),
              "sent to an ejected target");
  }
}
