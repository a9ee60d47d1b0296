#ifndef FILBERTVANE_DECISION_MESH_PLACEMENT_H
#define FILBERTVANE_DECISION_MESH_PLACEMENT_H

#include "filbertvane/core/Random.h"
#include "filbertvane/decision/mesh/HostDirectory.h"

namespace filbertvane::decision::mesh {

/// @brief A target that a request could be sent to.
struct Candidate {
  core::NodeId Node;
  Distance Away = Distance::Far;
  /// Requests running and waiting at the target, own ones included.
  std::uint32_t Load = 0;
  std::uint32_t Slots = 0;
  core::Milliseconds MeanTime{0};
  std::uint32_t FaultPermille = 0;
  /// Not heard of lately; placed behind all others.
  bool Doubtful = false;
  /// Mean time on the route of the request; 0 when it is not known.
  core::Milliseconds RouteTime{0};
  /// Time that a large answer waits for the link of the target's host; 0 when
  /// the answer is small.
  core::Milliseconds LinkWait{0};

  friend auto operator<=>(const Candidate &, const Candidate &) = default;
};

/// @brief What a placement has to know of the request.
struct PlacementQuery {
  core::Milliseconds Objective{0};
  /// Usual bytes of request and answer together.
  double Bytes = 0;
};

/// Part of a request's value that a late answer has lost.
inline constexpr double LateAnswerLoss = 0.7;

/// @brief Expected loss of a request's value at a target, about 0 to 1; lower
///        is better.
///
/// It adds the chance of a late answer, the chance of a failure and the price
/// of the bytes on links between data centres and regions, all as parts of a
/// request's value.
double expectedLoss(const Candidate &Target, const PlacementQuery &Request);

/// @brief Usual time of a message to a host at a distance and back.
core::Microseconds roundTrip(Distance Away);

/// @brief Target with the lowest expected loss; near-equal ones at random.
///
/// Answers the load of a day on which the callers of one data centre ask for
/// more than its targets have room for: requests stay near while the near
/// target has room, and spill to the next ring for as long as it has none.
/// @return index into the candidates; none without any
std::optional<std::size_t> choose(const std::vector<Candidate> &Among,
                                  const PlacementQuery &Request,
                                  core::Random &Source);

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_PLACEMENT_H
