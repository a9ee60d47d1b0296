#include "filbertvane/core/Random.h"
#include "filbertvane/decision/rollout/Windows.h"
#include <cmath>
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::decision::rollout;

namespace {

RouteCounts answers(std::uint64_t New, std::uint64_t NewFaults,
                    std::uint64_t Old, std::uint64_t OldFaults) {
  RouteCounts Counts;
  Counts.New.Answers = New;
  Counts.New.Faults = NewFaults;
  Counts.Old.Answers = Old;
  Counts.Old.Faults = OldFaults;
  return Counts;
}

/// Mean number of faults until detection, with the new version at 4%.
double meanFaults(double Rate, int Runs) {
  core::Random Rng(static_cast<std::uint64_t>(Rate * 1000));
  std::uint64_t Faults = 0;
  for (int Run = 0; Run < Runs; ++Run) {
    Sample New;
    Sample Old;
    while (compareVersions(New, Old, controlRate(Old, ControlErrorRate)) !=
           Finding::Proven) {
      Old.Answers += 24;
      ++New.Answers;
      New.Bad += Rng.unit() < Rate ? 1 : 0;
    }
    Faults += New.Bad;
  }
  return static_cast<double>(Faults) / Runs;
}

} // namespace

// Guards against a test that needs more faults than expected.
Test(rollout_1_test, finds_every_bad_rate_within_the_expected_faults) {
  for (const double Rate : {0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0}) {
    const double Expected = expectedBadUntilDetection(Rate);
    const double Simulated = meanFaults(Rate, 400);
    cr_assert(Expected <= 6, "rate %.2f expects %.2f", Rate, Expected);
    cr_assert(std::abs(Simulated - Expected) <= 0.2 * Expected,
              "rate %.2f expects %.2f, simulated %.2f", Rate, Expected,
              Simulated);
  }
}

// Guards against rolling back a good version.
Test(rollout_1_test, has_no_false_positives_on_equal_versions) {
  core::Random Rng(7);
  RouteWindows Windows;
  std::uint64_t Evaluations = 0;
  std::uint64_t FalsePositives = 0;
  for (int Period = 0; Period < 400000; ++Period) {
    RouteCounts Added = answers(5, 0, 20, 0);
    for (int I = 0; I < 5; ++I)
      Added.New.Faults += Rng.unit() < ControlErrorRate ? 1 : 0;
    for (int I = 0; I < 20; ++I)
      Added.Old.Faults += Rng.unit() < ControlErrorRate ? 1 : 0;
    Windows.add(Added);
    ++Evaluations;
    FalsePositives += Windows.evaluate().Level == Finding::None ? 0 : 1;
    Windows.closePeriod();
  }
  cr_assert(static_cast<double>(FalsePositives) <=
                FalsePositiveProbability * static_cast<double>(Evaluations),
            "%lu false positives", FalsePositives);
}

// Guards against attributing a fault of a shared dependency to the new version.
Test(rollout_1_test, does_not_attribute_a_shared_fault_to_the_new_version) {
  int Proven = 0;
  for (std::uint64_t Seed = 0; Seed < 500; ++Seed) {
    core::Random Rng(Seed);
    RouteWindows Windows;
    Windows.add(answers(2000, 2, 40000, 40));
    Windows.startStep();
    for (int I = 0; I < 400; ++I) {
      const bool IsNew = Rng.unit() < 0.25;
      const std::uint64_t Fault = Rng.unit() < 0.5 ? 1 : 0;
      Windows.add(IsNew ? answers(1, Fault, 0, 0) : answers(0, 0, 1, Fault));
      if (I % 20 == 0)
        Windows.closePeriod();
      Proven += Windows.evaluate().Level == Finding::Proven ? 1 : 0;
    }
  }
  cr_assert(Proven <= 2, "%d false positives", Proven);
}

// Guards against a false positive in a short window inside a long shared fault.
Test(rollout_1_test, compares_a_window_with_the_longer_ones_around_it) {
  RouteWindows Windows;
  Windows.add(answers(0, 0, 100000, 0));
  Windows.startStep();
  for (int I = 0; I < 40; ++I) {
    Windows.add(answers(5, 3, 5, 3));
    Windows.closePeriod();
  }
  Windows.add(answers(12, 12, 12, 0));
  cr_assert(Windows.evaluate().Level != Finding::Proven);
}

// Guards against a late fault that is hidden by many earlier good answers.
Test(rollout_1_test, finds_a_late_fault_in_the_newest_windows) {
  RouteWindows Windows;
  for (int I = 0; I < 2000; ++I) {
    Windows.add(answers(10, 0, 240, 0));
    Windows.closePeriod();
  }
  Windows.add(answers(4, 4, 96, 0));
  cr_assert(Windows.evaluate().Level == Finding::Proven);
}

// Guards against a proven finding when the old version has too few answers.
Test(rollout_1_test, only_suspects_without_answers_of_the_old_version) {
  RouteWindows Windows;
  Windows.add(answers(100, 0, 5, 0));
  Windows.closePeriod();
  Windows.add(answers(4, 4, 0, 0));
  cr_assert(Windows.evaluate().Level == Finding::Suspected);
}

// Guards against an unbounded number of periods, and against losing counts when
// periods are merged.
Test(rollout_1_test, keeps_all_counts_in_a_bounded_number_of_periods) {
  RouteWindows Windows;
  for (int I = 0; I < 100000; ++I) {
    Windows.add(answers(1, 0, 1, 0));
    Windows.closePeriod();
  }
  cr_assert(Windows.periodCount() <= RouteWindows::MaxPeriods);
  cr_assert(Windows.total() == answers(100000, 0, 100000, 0));
}

namespace {

RouteCounts latencies(std::uint64_t New, int NewMillis, std::uint64_t Old,
                      int OldMillis) {
  RouteCounts Counts = answers(New, 0, Old, 0);
  const auto Bucket = [](int Millis) {
    return LatencyHistogram::bucketOf(core::Milliseconds(Millis));
  };
  Counts.New.Latency.Counts[Bucket(NewMillis)] = New;
  Counts.Old.Latency.Counts[Bucket(OldMillis)] = Old;
  return Counts;
}

} // namespace

// Guards against accepting a slow version because no answer failed.
Test(rollout_1_test, finds_a_slow_version) {
  RouteWindows Windows;
  Windows.add(latencies(20, 10, 480, 10));
  Windows.closePeriod();
  Windows.add(latencies(6, 200, 144, 10));
  const RouteFinding Found = Windows.evaluate();
  cr_assert(Found.Level == Finding::Proven);
  cr_assert(Found.Slow);
}

// Guards against rolling back a version that is only slightly slower.
Test(rollout_1_test, tolerates_a_version_slower_by_less_than_half) {
  RouteWindows Windows;
  Windows.add(latencies(400, 20, 9600, 14));
  cr_assert(Windows.evaluate().Level == Finding::None);
}

// Guards against a quantile of too few latencies.
Test(rollout_1_test, judges_no_latency_before_the_quantile_is_known) {
  RouteWindows Windows;
  Windows.add(latencies(50, 500, MinOldLatencies - 1, 10));
  cr_assert(Windows.evaluate().Level == Finding::None);
}
