#ifndef FILBERTVANE_DECISION_MESH_SPLITSELECTOR_H
#define FILBERTVANE_DECISION_MESH_SPLITSELECTOR_H

#include "filbertvane/config/Routing.h"

namespace filbertvane::decision::mesh {

/// @brief Smooth weighted selection among the services of a route.
///
/// In every window of requests, the count of each service differs from its
/// weighted share by less than one, even at low request rates.
class SplitSelector {
public:
  /// @param Phase start of the sequence in [0, 1), different on each node
  explicit SplitSelector(double Phase = 0) : Phase(Phase) {}

  /// @brief Selects the service of the next request.
  /// @param Services must not be empty
  const core::ServiceName &
  next(const std::vector<config::WeightedService> &Services);

private:
  double Phase;
  std::vector<double> Credits;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_SPLITSELECTOR_H
