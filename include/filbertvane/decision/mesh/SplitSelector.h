#ifndef FILBERTVANE_DECISION_MESH_SPLITSELECTOR_H
#define FILBERTVANE_DECISION_MESH_SPLITSELECTOR_H

#include "filbertvane/config/Routing.h"

namespace filbertvane::decision::mesh {

/// @brief Smooth weighted selection among the services of a route.
///
/// In each window of requests the number of a part differs from its weight's
/// share by less than one, also when few requests come.
class SplitSelector {
public:
  /// @param Phase start of the sequence in [0, 1), different on each node
  explicit SplitSelector(double Phase = 0) : Phase(Phase) {}

  /// @brief Service of the next request; the parts must not be empty.
  const core::ServiceName &
  next(const std::vector<config::WeightedService> &Parts);

private:
  double Phase;
  std::vector<double> Credit;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_SPLITSELECTOR_H
