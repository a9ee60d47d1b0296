#include "filbertvane/decision/mesh/Placement.h"
#include <algorithm>
#include <cmath>

namespace filbertvane::decision::mesh {

namespace {

/// The one-way latency is about 1 ms between data centres of a region and 20 ms
/// between regions (docs/design.md, 1.3).
constexpr core::Milliseconds SameRegionRoundTrip{2};
constexpr core::Milliseconds OtherRegionRoundTrip{41};
/// Price of a byte that leaves its data centre, and of one that also leaves its
/// region, as a fraction of the value of a request. A megabyte costs the users
/// as much as 12 to 68 requests and 43 requests, respectively.
constexpr double SameRegionBytePrice = 0.00003;
constexpr double OtherRegionBytePrice = 0.00007;
/// Expected time as a fraction of the objective below which hardly any answer
/// is late, and above which hardly any is on time: answer times spread by a
/// factor of about 2 around their mean.
constexpr double OnTimeFraction = 0.35;
constexpr double LateFraction = 1.35;
/// Prefers the faster of two targets that both answer on time.
constexpr double SlownessLoss = 0.05;
/// Mean answer time assumed for a target that has not answered yet.
constexpr double AssumedMeanMs = 100;
/// Ranks suspect targets behind all others.
constexpr double SuspectLoss = 10;
/// Differences below this are within the error of the estimate.
constexpr double EqualLossMargin = 0.01;

double lateProbability(double ObjectiveFraction) {
  const double Position =
      (ObjectiveFraction - OnTimeFraction) / (LateFraction - OnTimeFraction);
  const double Clamped = std::clamp(Position, 0.0, 1.0);
  return std::pow(Clamped, 1.5);
}

double bytePrice(Distance HostDistance) {
  if (HostDistance == Distance::OtherRegion)
    return OtherRegionBytePrice;
  return HostDistance == Distance::SameRegion ? SameRegionBytePrice : 0;
}

} // namespace

core::Microseconds roundTripTime(Distance HostDistance) {
  if (HostDistance == Distance::OtherRegion)
    return OtherRegionRoundTrip;
  return HostDistance == Distance::SameRegion ? SameRegionRoundTrip
                                              : core::Microseconds(0);
}

double expectedLoss(const Candidate &Target, const PlacementQuery &Request) {
  const double MeanMs = Target.MeanTime.count() > 0
                            ? static_cast<double>(Target.MeanTime.count())
                            : AssumedMeanMs;
  const double Slots = std::max<std::uint32_t>(Target.Slots, 1);
  const double Excess =
      std::max(0.0, static_cast<double>(Target.Load) + 1 - Slots);
  // Slots become free at the rate of all requests of the target; the request
  // itself takes the time of its route, which may be a fraction of the mean.
  const double RouteTimeMs = Target.RouteTime.count() > 0
                                 ? static_cast<double>(Target.RouteTime.count())
                                 : MeanMs;
  const double FinishMs =
      static_cast<double>(roundTripTime(Target.HostDistance).count()) / 1000 +
      RouteTimeMs + Excess * MeanMs / Slots +
      static_cast<double>(Target.LinkWait.count());
  const double Fraction =
      FinishMs / std::max(1.0, static_cast<double>(Request.Objective.count()));
  double Loss =
      LateAnswerLoss * lateProbability(Fraction) + SlownessLoss * Fraction;
  Loss += Request.Bytes * bytePrice(Target.HostDistance);
  Loss += static_cast<double>(Target.FaultPermille) / 1000;
  return Target.Suspect ? Loss + SuspectLoss : Loss;
}

std::optional<std::size_t>
chooseTarget(const std::vector<Candidate> &Candidates,
             const PlacementQuery &Request, core::Random &Source) {
  std::vector<double> Losses;
  Losses.reserve(Candidates.size());
  for (const Candidate &Target : Candidates)
    Losses.push_back(expectedLoss(Target, Request));
  if (Losses.empty())
    return std::nullopt;
  const double Best = *std::ranges::min_element(Losses);
  std::vector<std::size_t> NearBest;
  for (std::size_t I = 0; I < Losses.size(); ++I)
    if (Losses[I] <= Best + EqualLossMargin)
      NearBest.push_back(I);
  return NearBest[Source.below(NearBest.size())];
}

} // namespace filbertvane::decision::mesh
