#ifndef FILBERTVANE_DECISION_MESH_PLACEMENT_H
#define FILBERTVANE_DECISION_MESH_PLACEMENT_H

#include "filbertvane/core/Random.h"
#include "filbertvane/decision/mesh/HostDirectory.h"

namespace filbertvane::decision::mesh {

/// @brief A target eligible for a request.
struct Candidate {
  core::NodeId Node;
  Distance HostDistance = Distance::OtherRegion;
  /// Requests running and waiting at the target, including those of this node.
  std::uint32_t Load = 0;
  std::uint32_t Slots = 0;
  core::Milliseconds MeanTime{0};
  std::uint32_t FaultPermille = 0;
  /// The host is suspect; selected only when no other candidate is left.
  bool Suspect = false;
  /// Mean answer time on the route of the request; 0 when unknown.
  core::Milliseconds RouteTime{0};
  /// Time that a large answer waits for the link of the target's host; 0 for
  /// small answers.
  core::Milliseconds LinkWait{0};

  friend auto operator<=>(const Candidate &, const Candidate &) = default;
};

/// @brief Properties of a request that determine its placement.
struct PlacementQuery {
  /// Latency objective of the route.
  core::Milliseconds Objective{0};
  /// Expected size of request and answer together.
  double Bytes = 0;
};

/// Share of a request's value lost with a late answer.
inline constexpr double LateAnswerLoss = 0.7;

/// @brief Expected loss at a target as a fraction of a request's value; lower
///        is better.
///
/// Sums the probability of a late answer, the probability of a failure, and the
/// price of the bytes on links between data centres and regions.
double expectedLoss(const Candidate &Target, const PlacementQuery &Request);

/// @brief Typical round-trip time to a host at a distance.
core::Microseconds roundTripTime(Distance HostDistance);

/// @brief Chooses the target with the lowest expected loss; nearly equal ones
///        at random.
///
/// Handles a data centre whose callers exceed the capacity of its targets:
/// requests stay local while there is capacity, and overflow to farther hosts
/// only for as long as there is none.
/// @return index of the candidate; none when there are no candidates
std::optional<std::size_t>
chooseTarget(const std::vector<Candidate> &Candidates,
             const PlacementQuery &Request, core::Random &Source);

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_PLACEMENT_H
