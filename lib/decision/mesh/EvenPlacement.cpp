#include "filbertvane/decision/mesh/EvenPlacement.h"
#include "filbertvane/decision/mesh/Limits.h"
#include <algorithm>
#include <cmath>
#include <numeric>

namespace filbertvane::decision::mesh {

namespace {

/// Loss over which the weight of a target falls by a factor of e: the error of
/// the estimate.
constexpr double WeightLossScale = 0.01;
/// Targets with a higher loss above the best one get no weight. The price of a
/// small answer from another region is 0.06, so that requests do not leave
/// their region for evenness alone.
constexpr double WeightedLossMargin = 0.04;
/// Free slots assumed for a full target: reports are old, and one of its slots
/// may have become free.
constexpr double MinimumFreeSlots = 0.25;

/// A target that fails more often than the best one by this is no alternative,
/// however idle: failing targets are often idle.
constexpr std::uint32_t FaultMarginPermille = 10;

double weight(const Candidate &Target, const Candidate &Best,
              double LossAboveBest) {
  // Evenness alone is not worth the bytes to a farther data centre.
  const bool Farther = Target.HostDistance >
                       std::max(Best.HostDistance, Distance::SameDataCentre);
  const bool Fails =
      Target.FaultPermille > Best.FaultPermille + FaultMarginPermille;
  if (Fails || LossAboveBest > (Farther ? WeightLossScale : WeightedLossMargin))
    return 0;
  // A target whose slots are not known yet is new and likely to be idle.
  const double Free = Target.Slots == 0 ? 1
                                        : static_cast<double>(Target.Slots) -
                                              static_cast<double>(Target.Load);
  return std::max(MinimumFreeSlots, Free) *
         std::exp(-LossAboveBest / WeightLossScale);
}

/// Chooses an index at random, with probabilities in proportion to the weights.
std::size_t drawByWeight(const std::vector<double> &Weights,
                         core::Random &Source) {
  double Left =
      Source.unit() * std::accumulate(Weights.begin(), Weights.end(), 0.0);
  std::size_t Chosen = 0;
  for (std::size_t I = 0; I < Weights.size(); ++I) {
    if (Weights[I] <= 0)
      continue;
    Chosen = I;
    Left -= Weights[I];
    if (Left < 0)
      break;
  }
  return Chosen;
}

} // namespace

bool hasOldReports(std::size_t KnownHosts) {
  return KnownHosts >= 2 * RemoteReportsPerPeriod;
}

std::optional<std::size_t>
chooseByFreeSlots(const std::vector<Candidate> &Candidates,
                  const PlacementQuery &Request, core::Random &Source) {
  if (Candidates.empty())
    return std::nullopt;
  std::vector<double> Weights;
  Weights.reserve(Candidates.size());
  for (const Candidate &Target : Candidates)
    Weights.push_back(expectedLoss(Target, Request));
  const auto Lowest = std::ranges::min_element(Weights);
  const double BestLoss = *Lowest;
  const Candidate &Best =
      Candidates[static_cast<std::size_t>(Lowest - Weights.begin())];
  for (std::size_t I = 0; I < Weights.size(); ++I)
    Weights[I] = weight(Candidates[I], Best, Weights[I] - BestLoss);
  return drawByWeight(Weights, Source);
}

} // namespace filbertvane::decision::mesh
