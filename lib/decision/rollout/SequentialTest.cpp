#include "filbertvane/decision/rollout/SequentialTest.h"
#include <algorithm>
#include <cmath>

namespace filbertvane::decision::rollout {

namespace {

/// Rates of the mixture, as the distance from the control rate to 1.
constexpr std::array<double, 6> Alternatives{0.05, 0.1, 0.2, 0.4, 0.7, 0.99};

/// Weight of the floor in a control rate, in answers.
constexpr double FloorAnswers = 100;

double threshold() {
  static const double Value = -std::log(FalsePositiveProbability);
  return Value;
}

double logMixture(double Bad, double Good, double Control) {
  std::array<double, Alternatives.size()> Logs{};
  for (std::size_t I = 0; I < Alternatives.size(); ++I) {
    const double Rate = Control + (1 - Control) * Alternatives[I];
    Logs[I] = Bad * std::log(Rate / Control) +
              Good * std::log((1 - Rate) / (1 - Control));
  }
  const double Largest = *std::max_element(Logs.begin(), Logs.end());
  double Sum = 0;
  for (const double Log : Logs)
    Sum += std::exp(Log - Largest);
  return Largest + std::log(Sum / Alternatives.size());
}

double logBinomial(double N, double K, double Share) {
  return std::lgamma(N + 1) - std::lgamma(K + 1) - std::lgamma(N - K + 1) +
         K * std::log(Share) + (N - K) * std::log1p(-Share);
}

double asReal(std::uint64_t Count) { return static_cast<double>(Count); }

} // namespace

double logLikelihoodRatio(Sample New, double Control) {
  // Beyond this rate no answer can tell the versions apart.
  const double Rate = std::min(Control, 0.99);
  return logMixture(asReal(New.Bad), asReal(New.Answers - New.Bad), Rate);
}

double controlRate(Sample Old, double Floor) {
  const double Rate = (asReal(Old.Bad) + Floor * FloorAnswers) /
                      (asReal(Old.Answers) + FloorAnswers);
  return std::max(Floor, Rate);
}

double sharedFaultPValue(Sample New, Sample Old) {
  if (New.Bad == 0 || Old.Answers == 0)
    return 1;
  const double Share = asReal(New.Answers) / asReal(New.Answers + Old.Answers);
  const std::uint64_t Bad = New.Bad + Old.Bad;
  double Chance = 0;
  for (std::uint64_t K = New.Bad; K <= Bad; ++K) {
    const double Term = std::exp(logBinomial(asReal(Bad), asReal(K), Share));
    Chance += Term;
    // Past the mean the terms only fall.
    if (asReal(K) > asReal(Bad) * Share && Term < Chance * 1e-9)
      break;
  }
  return std::min(Chance, 1.0);
}

Finding compareVersions(Sample New, Sample Old, double Control,
                        double SharedChance) {
  if (New.Bad < 2 || logLikelihoodRatio(New, Control) < threshold())
    return Finding::None;
  if (sharedFaultPValue(New, Old) > SharedChance)
    return Finding::Suspected;
  return Finding::Proven;
}

double expectedBadUntilDetection(double Rate, double Control) {
  const double Odds = (1 - Rate) / Rate;
  double Low = 0;
  double High = 1e6;
  while (High - Low > 1e-3) {
    const double Bad = (Low + High) / 2;
    (logMixture(Bad, Bad * Odds, Control) < threshold() ? Low : High) = Bad;
  }
  // The ratio crosses at a bad answer and passes the threshold by half of one
  // bad answer's contribution on average.
  return std::max(std::ceil(Low), Low + 0.5);
}

std::optional<std::size_t> slowBoundary(const LatencyHistogram &Old) {
  const std::uint64_t Total = Old.total();
  if (Total < MinOldLatencies)
    return std::nullopt;
  std::size_t Bucket = 0;
  while (asReal(Old.countAbove(Bucket)) > SlowQuantileTail * asReal(Total))
    ++Bucket;
  // One bucket of margin: a version that is slower by less than a factor of
  // two would otherwise be blamed when the quantile is next to a bound.
  return Bucket + 1;
}

} // namespace filbertvane::decision::rollout
