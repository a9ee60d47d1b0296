#include "filbertvane/decision/mesh/Placement.h"
#include <algorithm>
#include <cmath>

namespace filbertvane::decision::mesh {

namespace {

/// Data centres of a region are about 1 ms apart one way,
/// regions 20 ms (docs/design.md, 1.3).
constexpr core::Milliseconds RegionRoundTrip{2};
constexpr core::Milliseconds FarRoundTrip{41};
/// Price of a byte that leaves its data centre, and of one that also leaves its
/// region, in parts of the value of a request. The users pay 12 to 68 and 43
/// requests for a megabyte.
constexpr double RegionBytePrice = 0.00003;
constexpr double FarBytePrice = 0.00007;
/// Expected part of the objective below which hardly an answer is late, and
/// above which hardly one is in time: times of answers spread by a factor of
/// about 2 around their mean.
constexpr double SafePart = 0.35;
constexpr double LatePart = 1.35;
/// Prefers the quicker of two targets that are both in time.
constexpr double SlownessLoss = 0.05;
/// Mean time assumed of a target that has not answered yet.
constexpr double UnknownMeanMs = 100;
/// Keeps doubtful targets behind all others.
constexpr double DoubtLoss = 10;
/// Differences below this are smaller than the error of the estimate.
constexpr double SameLoss = 0.01;

double lateChance(double PartOfObjective) {
  const double Position = (PartOfObjective - SafePart) / (LatePart - SafePart);
  const double Clamped = std::clamp(Position, 0.0, 1.0);
  return std::pow(Clamped, 1.5);
}

double bytePrice(Distance HostDistance) {
  if (HostDistance == Distance::OtherRegion)
    return FarBytePrice;
  return HostDistance == Distance::SameRegion ? RegionBytePrice : 0;
}

} // namespace

core::Microseconds roundTripTime(Distance HostDistance) {
  if (HostDistance == Distance::OtherRegion)
    return FarRoundTrip;
  return HostDistance == Distance::SameRegion ? RegionRoundTrip
                                              : core::Microseconds(0);
}

double expectedLoss(const Candidate &Target, const PlacementQuery &Request) {
  const double Mean = Target.MeanTime.count() > 0
                          ? static_cast<double>(Target.MeanTime.count())
                          : UnknownMeanMs;
  const double Slots = std::max<std::uint32_t>(Target.Slots, 1);
  const double Excess =
      std::max(0.0, static_cast<double>(Target.Load) + 1 - Slots);
  // Slots fall free at the pace of all requests of the target; the request
  // itself takes the time of its route, which may be a fraction of that.
  const double OnRoute = Target.RouteTime.count() > 0
                             ? static_cast<double>(Target.RouteTime.count())
                             : Mean;
  const double Finish =
      static_cast<double>(roundTripTime(Target.HostDistance).count()) / 1000 +
      OnRoute + Excess * Mean / Slots +
      static_cast<double>(Target.LinkWait.count());
  const double Part =
      Finish / std::max(1.0, static_cast<double>(Request.Objective.count()));
  double Loss = LateAnswerLoss * lateChance(Part) + SlownessLoss * Part;
  Loss += Request.Bytes * bytePrice(Target.HostDistance);
  Loss += static_cast<double>(Target.FaultPermille) / 1000;
  return Target.Suspect ? Loss + DoubtLoss : Loss;
}

std::optional<std::size_t> chooseTarget(const std::vector<Candidate> &Among,
                                        const PlacementQuery &Request,
                                        core::Random &Source) {
  std::vector<double> Losses;
  Losses.reserve(Among.size());
  for (const Candidate &Each : Among)
    Losses.push_back(expectedLoss(Each, Request));
  if (Losses.empty())
    return std::nullopt;
  const double Best = *std::ranges::min_element(Losses);
  std::vector<std::size_t> Equal;
  for (std::size_t I = 0; I < Losses.size(); ++I)
    if (Losses[I] <= Best + SameLoss)
      Equal.push_back(I);
  return Equal[Source.below(Equal.size())];
}

} // namespace filbertvane::decision::mesh
