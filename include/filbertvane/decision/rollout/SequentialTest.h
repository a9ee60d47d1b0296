#ifndef FILBERTVANE_DECISION_ROLLOUT_SEQUENTIALTEST_H
#define FILBERTVANE_DECISION_ROLLOUT_SEQUENTIALTEST_H

#include "filbertvane/decision/rollout/Counts.h"
#include <optional>

namespace filbertvane::decision::rollout {

/// @name Constants of the test
/// @{

/// Probability that one evaluation blames a version whose fault rate is not
/// above the control rate.
inline constexpr double FalsePositiveProbability = 1e-6;

/// Fault rate that a good version may have.
inline constexpr double ControlErrorRate = 0.001;

/// Share of slow answers that a good version may have. An answer is slow when
/// it took more than twice the bucket of the old version's quantile below.
inline constexpr double ControlSlowRate = 0.01;

/// Share of the old version's answers above its quantile.
inline constexpr double SlowQuantileTail = 0.005;

/// Latencies of the old version that fix its quantile.
inline constexpr std::uint64_t MinOldLatencies = 200;

/// Probability that the faults of a shared fault fall on the new version as
/// often as observed. 0.0005 needs 11 faults at a share of one half and 4 at a
/// tenth; 0.002 took one of 24 simulated shared faults for one of the new
/// version. At canary shares the likelihood ratio alone is the stricter rule.
inline constexpr double SharedFaultSignificance = 5e-4;

/// The same at nodes and leads. There are many of them, and each has its own
/// chance to take a shared fault for one of the new version.
inline constexpr double LocalSharedFaultSignificance = 1e-4;
/// @}

/// @brief Bad answers out of all answers of a version.
struct Sample {
  std::uint64_t Answers = 0;
  std::uint64_t Bad = 0;

  friend bool operator==(const Sample &, const Sample &) = default;
};

/// @brief How much the evidence says against the new version.
enum class Finding {
  /// Nothing that chance or the control does not explain.
  None,
  /// Too many bad answers for chance, but the old version had too few answers
  /// in the window to rule out a fault shared by both.
  Suspected,
  /// Too many bad answers, and not a shared fault.
  Proven,
};

/// @brief Logarithm of the likelihood ratio "the new version is worse" to "its
///        rate of bad answers is `Control`".
///
/// The alternative is a mixture of rates from 5% to 99% above the control, with
/// equal weights. A mixture needs no guess of the true rate, and under the
/// control rate its expectation is 1, so the probability that it reaches
/// 1/FalseAlarm is at most FalseAlarm at each evaluation.
double logLikelihoodRatio(Sample New, double Control);

/// @brief Rate of bad answers to expect from the old version's sample, drawn
///        towards `Floor` when the sample is small, and never below it.
double controlRate(Sample Old, double Floor);

/// @brief Probability that at least `New.Bad` of all bad answers fall on the
///        new version when both versions have the same rate.
double sharedFaultPValue(Sample New, Sample Old);

/// @brief Judges one window.
/// @param New bad answers of the new version
/// @param Old bad answers of the old version in the same window
/// @param Control rate that a good version may have, from `controlRate`
/// @param SharedChance highest accepted probability of a shared fault
Finding compareVersions(Sample New, Sample Old, double Control,
                        double SharedChance = SharedFaultSignificance);

/// @brief Expected number of bad answers until a version with this rate of bad
///        answers is found, with the old version at the control rate.
/// @param Rate rate of bad answers, above `Control`
/// @param Control rate that a good version may have
double expectedBadUntilDetection(double Rate,
                                 double Control = ControlErrorRate);

/// @brief Highest bucket that does not count as slow, from the latencies of the
///        old version; none when they are too few.
std::optional<std::size_t> slowBoundary(const LatencyHistogram &Old);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_SEQUENTIALTEST_H
