#include "filbertvane/decision/rollout/SequentialTest.h"
#include <algorithm>
#include <cmath>

namespace filbertvane::decision::rollout {

namespace {

/// Rates of the mixture, as fractions of the way from the control rate to 1.
constexpr std::array<double, 6> Alternatives{0.05, 0.1, 0.2, 0.4, 0.7, 0.99};

/// Weight of the floor in the estimate of the control rate, in answers.
constexpr double FloorAnswers = 100;

double threshold() {
  static const double Value = -std::log(FalsePositiveProbability);
  return Value;
}

double logMixture(double Bad, double Good, double Control) {
  std::array<double, Alternatives.size()> LogRatios{};
  for (std::size_t I = 0; I < Alternatives.size(); ++I) {
    const double Rate = Control + (1 - Control) * Alternatives[I];
    LogRatios[I] = Bad * std::log(Rate / Control) +
                   Good * std::log((1 - Rate) / (1 - Control));
  }
  const double Maximum = *std::max_element(LogRatios.begin(), LogRatios.end());
  double Sum = 0;
  for (const double LogRatio : LogRatios)
    Sum += std::exp(LogRatio - Maximum);
  return Maximum + std::log(Sum / Alternatives.size());
}

double logBinomial(double N, double K, double Share) {
  return std::lgamma(N + 1) - std::lgamma(K + 1) - std::lgamma(N - K + 1) +
         K * std::log(Share) + (N - K) * std::log1p(-Share);
}

double toDouble(std::uint64_t Count) { return static_cast<double>(Count); }

} // namespace

double logLikelihoodRatio(Sample New, double Control) {
  // At higher rates bad answers do not distinguish the versions.
  const double Rate = std::min(Control, 0.99);
  return logMixture(toDouble(New.Bad), toDouble(New.Answers - New.Bad), Rate);
}

double controlRate(Sample Old, double Floor) {
  const double Rate = (toDouble(Old.Bad) + Floor * FloorAnswers) /
                      (toDouble(Old.Answers) + FloorAnswers);
  return std::max(Floor, Rate);
}

double sharedFaultPValue(Sample New, Sample Old) {
  if (New.Bad == 0 || Old.Answers == 0)
    return 1;
  const double Share =
      toDouble(New.Answers) / toDouble(New.Answers + Old.Answers);
  const std::uint64_t Bad = New.Bad + Old.Bad;
  double Probability = 0;
  for (std::uint64_t K = New.Bad; K <= Bad; ++K) {
    const double Term =
        std::exp(logBinomial(toDouble(Bad), toDouble(K), Share));
    Probability += Term;
    // Beyond the mean the terms decrease monotonically.
    if (toDouble(K) > toDouble(Bad) * Share && Term < Probability * 1e-9)
      break;
  }
  return std::min(Probability, 1.0);
}

Finding compareVersions(Sample New, Sample Old, double Control,
                        double Significance) {
  if (New.Bad < 2 || logLikelihoodRatio(New, Control) < threshold())
    return Finding::None;
  if (sharedFaultPValue(New, Old) > Significance)
    return Finding::Suspected;
  return Finding::Proven;
}

double expectedBadUntilDetection(double Rate, double Control) {
  const double GoodPerBad = (1 - Rate) / Rate;
  double Low = 0;
  double High = 1e6;
  while (High - Low > 1e-3) {
    const double Bad = (Low + High) / 2;
    (logMixture(Bad, Bad * GoodPerBad, Control) < threshold() ? Low : High) =
        Bad;
  }
  // The threshold is crossed at a bad answer, and exceeded by half of its
  // contribution on average.
  return std::max(std::ceil(Low), Low + 0.5);
}

std::optional<std::size_t> slowBoundary(const LatencyHistogram &Old) {
  const std::uint64_t Total = Old.total();
  if (Total < MinOldLatencies)
    return std::nullopt;
  std::size_t Bucket = 0;
  while (toDouble(Old.countAbove(Bucket)) > SlowQuantileTail * toDouble(Total))
    ++Bucket;
  // One bucket of margin: when the quantile is close to a bucket bound, a
  // version that is slower by less than a factor of two would otherwise be
  // reported.
  return Bucket + 1;
}

} // namespace filbertvane::decision::rollout
