#include "filbertvane/decision/request/Ejection.h"
#include "Bench.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace bench;

namespace {

struct Group {
  TargetTable Table;
  std::vector<TargetIndex> Members;
  core::TimePoint Now;

  explicit Group(std::size_t Count) {
    std::vector<Endpoint> Places;
    for (std::size_t At = 0; At < Count; ++At) {
      Places.push_back(endpoint("n" + std::to_string(At)));
      Members.push_back(static_cast<TargetIndex>(At));
    }
    Table.update(Places, core::NodeId("x"), core::DataCentreId("dc1"),
                 core::RegionId("r1"));
  }
  void answer(TargetIndex At, int Times, bool Fault, int LatencyMs) {
    for (int Time = 0; Time < Times; ++Time)
      recordAttempt(Table[At].Health, Fault, core::Milliseconds(LatencyMs));
  }
};

} // namespace

// Guards against requests to a target that fails or is slow.
Test(ejection, failing_and_slow_targets_are_outliers) {
  Group Targets(6);
  for (TargetIndex At = 0; At < 4; ++At)
    Targets.answer(At, 30, false, 10);
  Targets.answer(4, 30, false, 100);
  Targets.answer(5, 30, true, 10);
  const auto Found = findOutliers(Targets.Members, Targets.Table.all());
  cr_assert(Found == std::vector<TargetIndex>({4, 5}), "wrong outliers");
}

// Guards against an ejection after a few answers only.
Test(ejection, few_answers_prove_nothing) {
  Group Targets(4);
  for (TargetIndex At = 0; At < 3; ++At)
    Targets.answer(At, 30, false, 10);
  Targets.answer(3, 4, true, 500);
  cr_assert(findOutliers(Targets.Members, Targets.Table.all()).empty(),
            "hasty");
}

// Guards against an ejected target that never comes back, or comes back at
// full load.
Test(ejection, a_target_is_readmitted_at_its_deadline) {
  Group Targets(2);
  cr_assert(eject(Targets.Table, Targets.Members, 0, Targets.Now), "not out");
  const core::TimePoint End = Targets.Now + BaseEjectionTime;
  cr_assert(readmit(Targets.Table, Targets.Members, End - core::Microseconds(1))
                .empty(),
            "too early");
  cr_assert(readmit(Targets.Table, Targets.Members, End).size() == 1, "out");
  cr_assert(Targets.Table[0].WarmUpStart == End, "at full load at once");
  eject(Targets.Table, Targets.Members, 0, End);
  cr_assert(Targets.Table[0].Health.EjectedUntil == End + BaseEjectionTime * 2,
            "the second ejection is not longer");
}

// Guards against ejections that overload or empty what remains.
Test(ejection, at_most_half_of_a_group_is_ejected) {
  const bool Held = rc::check([] {
    Choices Pick;
    const std::size_t Count = Pick(1, 9);
    Group Targets(Count);
    std::size_t Out = 0;
    for (std::size_t Step = 0; Step < 30; ++Step)
      Out += eject(Targets.Table, Targets.Members,
                   static_cast<TargetIndex>(Pick(0, Count)), Targets.Now)
                 ? 1
                 : 0;
    RC_ASSERT(Out <= Count / 2);
    RC_ASSERT(Out < Count);
  });
  cr_assert(Held, "too many ejected");
}

// Guards against a group that is empty because its other targets left.
Test(ejection, the_last_targets_are_not_left_ejected) {
  Group Targets(4);
  eject(Targets.Table, Targets.Members, 0, Targets.Now);
  eject(Targets.Table, Targets.Members, 1, Targets.Now + core::Microseconds(1));
  const std::vector<TargetIndex> Left{0, 1};
  limitEjections(Targets.Table, Left, Targets.Now);
  cr_assert(!Targets.Table[0].Health.EjectedUntil, "the earliest stays out");
  cr_assert(Targets.Table[1].Health.EjectedUntil, "both came back");
}

// Guards against an ejection that selection does not notice.
Test(ejection, five_faults_in_a_row_stop_new_requests) {
  Bench Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  std::uint64_t Id = 0;
  while (Node.count<observe::LogEvent>() == 0 && Id < 100) {
    Node.arrive(++Id);
    const bool Bad = Node.first<StartAttempt>()->To.Node == core::NodeId("n1");
    Node.end(Id, AttemptEnd::Answered, Bad ? 500 : 200);
  }
  cr_assert(Id < 100, "never ejected");
  for (int Request = 0; Request < 20; ++Request) {
    Node.arrive(++Id);
    cr_assert(Node.first<StartAttempt>()->To.Node == core::NodeId("n2"),
              "sent to an ejected target");
  }
}
