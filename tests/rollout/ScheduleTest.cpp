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

// Guards against exceeding the canary share without enough evidence.
Test(rollout_3_schedule, stays_at_the_canary_without_evidence) {
  MoveProgress Progress;
  Progress.TotalCounts[Read] = answers(MinCanaryAnswers - 1, 0, 9000, 0);
  const auto Share = nextShare(moveAt(40, 1000s), Progress, Ample, wall(300s));
  cr_assert(Share == CanaryShare);
}

// Guards against waiting for the schedule when there is enough evidence.
Test(rollout_3_schedule, steps_early_on_plain_evidence) {
  MoveProgress Progress;
  Progress.TotalCounts[Read] = answers(MinCanaryAnswers, 0, 9000, 0);
  const auto Share = nextShare(moveAt(40, 1000s), Progress, Ample, wall(60s));
  cr_assert(Share == 100);
}

// Guards against an early step without enough evidence on a busy route.
Test(rollout_3_schedule, waits_for_each_busy_route) {
  MoveProgress Progress;
  Progress.TotalCounts[Read] = answers(MinCanaryAnswers, 0, 9000, 0);
  Progress.TotalCounts[Rare] = answers(MinCanaryAnswers / 2, 0, 4500, 0);
  const auto Share = nextShare(moveAt(40, 1000s), Progress, Ample, wall(60s));
  cr_assert(Share == CanaryShare);
}

// Guards against using the evidence of one early step for the next one.
Test(rollout_3_schedule, collects_evidence_afresh_at_each_step) {
  MoveProgress Progress;
  Progress.TotalCounts[Read] = answers(MinCanaryAnswers, 0, 9000, 0);
  Progress.CountsAtStep = Progress.TotalCounts;
  cr_assert(nextShare(moveAt(100, 1000s), Progress, Ample, wall(60s)) == 100);
}

// Guards against a route with few requests that delays the move.
Test(rollout_3_schedule, does_not_wait_for_a_quiet_route) {
  MoveProgress Progress;
  Progress.TotalCounts[Read] = answers(MinCanaryAnswers, 0, 9000, 0);
  Progress.TotalCounts[Rare] = answers(2, 0, 40, 0);
  const auto Share = nextShare(moveAt(40, 1000s), Progress, Ample, wall(60s));
  cr_assert(Share == 100);
}

// Guards against missing the deadline for lack of requests.
Test(rollout_3_schedule, reaches_the_full_share_in_time_without_requests) {
  config::MoveStatus Move = moveAt(0, 600s);
  MoveProgress Progress;
  core::Seconds Time{0};
  while (Move.Share < config::FullShare && Time < 700s) {
    const auto Share = nextShare(Move, Progress, Ample, wall(Time));
    if (Share != Move.Share)
      Progress.EarliestStepAt = wall(Time + MinStepDuration);
    Move.Share = Share;
    Time += 1s;
  }
  cr_assert(Time <= 600s - MinDeadlineReserve, "full share only after %ld s",
            (long)Time.count());
}

// Guards against skipping steps after a long outage of the log.
Test(rollout_3_schedule, makes_one_step_at_a_time_when_late) {
  const auto Share = nextShare(moveAt(40, 1000s), {}, Ample, wall(990s));
  cr_assert(Share == 100);
}

// Guards against a share that the ready targets cannot serve.
Test(rollout_3_schedule, follows_the_ready_slots_of_the_new_version) {
  const config::MoveStatus Move = moveAt(40, 1000s);
  const core::WallTime Late = wall(990s);
  cr_assert(nextShare(Move, {}, {0, 60, 40}, Late) == 40);
  cr_assert(nextShare(Move, {}, {4, 60, 40}, Late) == 80);
  cr_assert(nextShare(Move, {}, {4, 0, 40}, Late) == 100);
}

// Guards against accepting an order whose deadline cannot be met.
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
