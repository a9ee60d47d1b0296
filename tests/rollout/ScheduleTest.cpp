#include "RolloutFixture.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::decision::rollout;
using namespace std::chrono_literals;
using fake::answers;

namespace {

const core::RouteName Read("read");
const core::RouteName Rare("rare");
constexpr ReadySlots Ample{60, 60, 10};

config::MoveStatus moveAt(config::Permille Share, core::Seconds Time) {
  auto Move = fake::orderedFleet(Time).Moves.back();
  Move.Share = Share;
  return Move;
}

core::WallTime wall(core::Seconds Since) { return fake::at(Since).Wall; }

} // namespace

// Guards against a share above the canary without evidence.
Test(rollout_3_schedule, stays_at_the_canary_without_evidence) {
  MoveProgress Seen;
  Seen.TotalCounts[Read] = answers(MinCanaryAnswers - 1, 0, 9000, 0);
  const auto Share = nextShare(moveAt(40, 1000s), Seen, Ample, wall(300s));
  cr_assert(Share == CanaryShare);
}

// Guards against waiting for the timetable when the evidence is plain.
Test(rollout_3_schedule, steps_early_on_plain_evidence) {
  MoveProgress Seen;
  Seen.TotalCounts[Read] = answers(MinCanaryAnswers, 0, 9000, 0);
  const auto Share = nextShare(moveAt(40, 1000s), Seen, Ample, wall(60s));
  cr_assert(Share == 100);
}

// Guards against an early step while a busy route is not yet proven.
Test(rollout_3_schedule, waits_for_each_busy_route) {
  MoveProgress Seen;
  Seen.TotalCounts[Read] = answers(MinCanaryAnswers, 0, 9000, 0);
  Seen.TotalCounts[Rare] = answers(MinCanaryAnswers / 2, 0, 4500, 0);
  const auto Share = nextShare(moveAt(40, 1000s), Seen, Ample, wall(60s));
  cr_assert(Share == CanaryShare);
}

// Guards against a second early step on the evidence of the first.
Test(rollout_3_schedule, collects_evidence_afresh_at_each_step) {
  MoveProgress Seen;
  Seen.TotalCounts[Read] = answers(MinCanaryAnswers, 0, 9000, 0);
  Seen.CountsAtStep = Seen.TotalCounts;
  cr_assert(nextShare(moveAt(100, 1000s), Seen, Ample, wall(60s)) == 100);
}

// Guards against a route with few requests that holds up the move.
Test(rollout_3_schedule, does_not_wait_for_a_quiet_route) {
  MoveProgress Seen;
  Seen.TotalCounts[Read] = answers(MinCanaryAnswers, 0, 9000, 0);
  Seen.TotalCounts[Rare] = answers(2, 0, 40, 0);
  const auto Share = nextShare(moveAt(40, 1000s), Seen, Ample, wall(60s));
  cr_assert(Share == 100);
}

// Guards against a missed deadline for lack of requests.
Test(rollout_3_schedule, reaches_the_full_share_in_time_without_requests) {
  config::MoveStatus Move = moveAt(0, 600s);
  MoveProgress Seen;
  core::Seconds Time{0};
  while (Move.Share < config::FullShare && Time < 700s) {
    const auto Share = nextShare(Move, Seen, Ample, wall(Time));
    if (Share != Move.Share)
      Seen.EarliestStepAt = wall(Time + MinStepDuration);
    Move.Share = Share;
    Time += 1s;
  }
  cr_assert(Time <= 600s - MinDeadlineReserve, "full at %lds",
            (long)Time.count());
}

// Guards against two steps at once after a long outage of the log.
Test(rollout_3_schedule, makes_one_step_at_a_time_when_late) {
  const auto Share = nextShare(moveAt(40, 1000s), {}, Ample, wall(990s));
  cr_assert(Share == 100);
}

// Guards against requests for targets that are not there yet.
Test(rollout_3_schedule, follows_the_ready_slots_of_the_new_version) {
  const config::MoveStatus Move = moveAt(40, 1000s);
  const core::WallTime Late = wall(990s);
  cr_assert(nextShare(Move, {}, {0, 60, 40}, Late) == 40);
  cr_assert(nextShare(Move, {}, {4, 60, 40}, Late) == 80);
  cr_assert(nextShare(Move, {}, {4, 0, 40}, Late) == 100);
}

// Guards against an order whose failure is reported only at its end.
Test(rollout_3_schedule, names_why_a_deadline_cannot_be_met) {
  const core::WallTime Now = wall(0s);
  const config::MoveOrder Short{core::TargetVersion("2"), Now + 30s};
  const auto Checked = checkDeadline(Short, Now);
  cr_assert(failure(Checked).Code == core::ErrorCode::SheetTimeTooShort);
  const config::MoveOrder Past{core::TargetVersion("2"), Now - 1s};
  cr_assert(failure(checkDeadline(Past, Now)).Code ==
            core::ErrorCode::SheetTimePassed);
  const config::MoveOrder Enough{core::TargetVersion("2"),
                                 Now + MinMoveDuration};
  cr_assert(ok(checkDeadline(Enough, Now)));
}
