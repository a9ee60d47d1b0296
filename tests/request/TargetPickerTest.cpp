#include "NodeFixture.h"
#include "filbertvane/decision/request/WarmUp.h"
#include <criterion/criterion.h>

using namespace request_fixture;

namespace {

struct TargetGroup {
  std::vector<Target> Targets = std::vector<Target>(4);
  std::vector<TargetIndex> Members{0, 1, 2, 3};
  std::vector<TargetIndex> Tried;
  core::TimePoint Now{core::Seconds(100)};
  core::Random Rng{7};

  /// Counts how often each target is picked in 1000 picks.
  template <typename P> std::array<int, 4> picks(P Picker) {
    std::array<int, 4> Count{};
    for (int Pick = 0; Pick < 1000; ++Pick)
      ++Count[*Picker.pick({Members, Targets, Tried, {}, Now}, Rng)];
    return Count;
  }
};

} // namespace

// Guards against picking a target that is slow or already loaded.
Test(target_picker, power_of_two_avoids_load_and_latency) {
  TargetGroup Even;
  Even.Targets[1].Outstanding = 20;
  Even.Targets[2].Health.LatencyUs = 90000;
  const auto Count = Even.picks(PowerOfTwoChoices{});
  // The worst target never wins a comparison, the second worst only against it.
  cr_assert(Count[2] == 0, "slow target picked");
  cr_assert(Count[1] < Count[0] / 2, "loaded target picked too often");
}

// Guards against full load on a newly announced target.
Test(target_picker, a_new_target_warms_up) {
  const core::TimePoint Start{core::Seconds(100)};
  cr_assert(warmUpShare(Start, Start) == InitialShare, "wrong initial share");
  cr_assert(warmUpShare(Start, Start + WarmUpTime / 2) == 0.5,
            "wrong share at half of the warm-up");
  cr_assert(warmUpShare(Start, Start + WarmUpTime * 9) == 1,
            "wrong share after the warm-up");
  TargetGroup Cold;
  Cold.Targets[3].WarmUpStart = Cold.Now;
  const auto Count = Cold.picks(PowerOfTwoChoices{});
  cr_assert(Count[3] < Count[0] / 2, "cold target picked too often");
}

// Guards against a target that attracts requests because it refuses them at
// once and therefore has few outstanding ones.
Test(target_picker, a_target_that_refuses_is_avoided) {
  TargetGroup Refusing;
  Refusing.Targets[2].Health.RefusalRate = 0.9;
  const auto Count = Refusing.picks(PowerOfTwoChoices{});
  cr_assert(Count[2] == 0, "refusing target picked");
}

// Guards against balancing bulk requests by their number only.
Test(target_picker, bulk_load_is_compared_by_bytes) {
  Target Small;
  Target Large;
  Large.BytesInFlight = 8 << 20;
  const core::TimePoint Now{core::Seconds(100)};
  using enum config::TrafficKind;
  cr_assert(expectedCost(Small, Bulk, Now) < expectedCost(Large, Bulk, Now),
            "bulk cost ignores the bytes in flight");
  cr_assert(expectedCost(Small, Interactive, Now) ==
                expectedCost(Large, Interactive, Now),
            "interactive cost depends on the bytes in flight");
}

// Guards against a retry on a target that was already tried.
Test(target_picker, tried_targets_are_not_picked) {
  TargetGroup Retried;
  Retried.Tried = {0, 1, 3};
  cr_assert(Retried.picks(PowerOfTwoChoices{})[2] == 1000, "power of two");
  cr_assert(Retried.picks(RoundRobin{})[2] == 1000, "round robin");
  cr_assert(Retried.picks(CreditScheme{})[2] == 1000, "credits");
  Retried.Tried = {0, 1, 2, 3};
  const PickContext All{
      Retried.Members, Retried.Targets, Retried.Tried, {}, Retried.Now};
  cr_assert(!PowerOfTwoChoices{}.pick(All, Retried.Rng),
            "a tried target was picked");
}

// Guards against picking a target without credits while others have some.
Test(target_picker, the_credit_scheme_skips_full_targets) {
  TargetGroup Full;
  Full.Targets[0].Outstanding = 4;
  const auto Count = Full.picks(CreditScheme{4});
  cr_assert(Count[0] == 0 && Count[1] > 0, "target without credits picked");
}
