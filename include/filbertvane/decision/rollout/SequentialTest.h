#ifndef FILBERTVANE_DECISION_ROLLOUT_SEQUENTIALTEST_H
#define FILBERTVANE_DECISION_ROLLOUT_SEQUENTIALTEST_H

#include "filbertvane/decision/rollout/Counts.h"
#include <optional>

namespace filbertvane::decision::rollout {

/// @name Parameters of the test
/// @{

/// Maximum probability that one evaluation reports a version whose fault rate
/// is not above the control rate.
inline constexpr double FalsePositiveProbability = 1e-6;

/// Fault rate that is tolerated in any version.
inline constexpr double ControlErrorRate = 0.001;

/// Rate of slow answers that is tolerated in any version. An answer is slow
/// when its latency exceeds twice the bucket bound of the old version's
/// quantile that SlowQuantileTail defines.
inline constexpr double ControlSlowRate = 0.01;

/// Fraction of the old version's answers above its latency quantile.
inline constexpr double SlowQuantileTail = 0.005;

/// Minimum number of latencies of the old version to determine its quantile.
inline constexpr std::uint64_t MinOldLatencies = 200;

/// Significance level at which a fault shared by both versions is ruled out.
/// 0.0005 needs 11 faults at a share of one half and 4 at a share of one tenth;
/// with 0.002, one of 24 simulated shared faults was attributed to the new
/// version. At canary shares the likelihood ratio is the stricter criterion.
inline constexpr double SharedFaultSignificance = 5e-4;

/// Significance level at nodes and leads. It is lower because there are many of
/// them, and each may attribute a shared fault to the new version.
inline constexpr double LocalSharedFaultSignificance = 1e-4;
/// @}

/// @brief Number of bad (failed or slow) answers of a version.
struct Sample {
  std::uint64_t Answers = 0;
  std::uint64_t Bad = 0;

  friend bool operator==(const Sample &, const Sample &) = default;
};

/// @brief Result of the test of a new version.
enum class Finding {
  /// The bad answers are explained by chance or by the control rate.
  None,
  /// Too many bad answers for chance, but the old version has too few answers
  /// in the window to rule out a fault shared by both versions.
  Suspected,
  /// Too many bad answers, and a shared fault is ruled out.
  Proven,
};

/// @brief Logarithm of the likelihood ratio of "the new version is worse" to
///        "its rate of bad answers is `Control`".
///
/// The alternative is an equally weighted mixture of rates that lie 5% to 99%
/// of the way from the control rate to 1, so that the true rate need not be
/// known. Under the control rate the expectation of the ratio is 1, so that at
/// each evaluation it reaches 1/FalsePositiveProbability with a probability of
/// at most FalsePositiveProbability.
double logLikelihoodRatio(Sample New, double Control);

/// @brief Estimates the expected rate of bad answers from the old version's
///        sample. The estimate is biased towards `Floor` when the sample is
///        small, and never below it.
double controlRate(Sample Old, double Floor);

/// @brief Probability that at least `New.Bad` of all bad answers come from the
///        new version when both versions have the same rate of bad answers.
double sharedFaultPValue(Sample New, Sample Old);

/// @brief Tests the new version against the old version in one window.
/// @param Control rate of bad answers to expect, from `controlRate`
/// @param Significance level at which a shared fault is ruled out
Finding compareVersions(Sample New, Sample Old, double Control,
                        double Significance = SharedFaultSignificance);

/// @brief Expected number of bad answers until a version with a given rate of
///        bad answers is detected.
/// @param Rate rate of the new version, above `Control`
/// @param Control rate of the old version
double expectedBadUntilDetection(double Rate,
                                 double Control = ControlErrorRate);

/// @brief Highest bucket whose latencies are not slow, determined from the old
///        version; none when it has too few latencies.
std::optional<std::size_t> slowBoundary(const LatencyHistogram &Old);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_SEQUENTIALTEST_H
