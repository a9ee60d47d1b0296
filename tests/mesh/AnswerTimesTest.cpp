#include "filbertvane/decision/mesh/AnswerTimes.h"
#include "MeshBench.h"
#include <rapidcheck.h>

using namespace meshbench;

namespace {

AnswerTimes timesOf(const std::vector<std::int64_t> &Millis) {
  AnswerTimes Times;
  for (const std::int64_t Each : Millis)
    Times = Times.with(milliseconds(Each));
  return Times;
}

} // namespace

// Guards against a boundary between quick and slow answers that is off.
Test(answer_times, the_median_and_the_counts_follow_the_times) {
  const AnswerTimes Times = timesOf({3, 100, 110, 120, 5000});
  cr_assert(Times.total() == 5);
  cr_assert(Times.median() >= milliseconds(110));
  cr_assert(Times.median() < milliseconds(160));
  cr_assert(Times.countAbove(milliseconds(400)) == 1);
  cr_assert(Times.countAbove(milliseconds(10)) == 4);
  cr_assert(AnswerTimes().median() == milliseconds(0));
}

// Guards against an answer that never came within hours and ends the process.
Test(answer_times, any_time_has_a_bucket) {
  cr_assert(rc::check([] {
    const auto Time = core::Microseconds(*rc::gen::arbitrary<std::int64_t>());
    const AnswerTimes Times = AnswerTimes().with(Time);
    RC_ASSERT(Times.total() == 1);
    RC_ASSERT(Times.countAbove(Time) == 0);
  }));
}

// Guards against a host that counts twice.
Test(answer_times, sums_hold_all_times) {
  const AnswerTimes Sum = timesOf({10, 20}) + timesOf({1000});
  cr_assert(Sum.total() == 3);
  cr_assert(Sum.countAbove(milliseconds(100)) == 1);
}
