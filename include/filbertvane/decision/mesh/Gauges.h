#ifndef FILBERTVANE_DECISION_MESH_GAUGES_H
#define FILBERTVANE_DECISION_MESH_GAUGES_H

#include "filbertvane/decision/mesh/State.h"
#include "filbertvane/observe/Metrics.h"

namespace filbertvane::decision::mesh {

/// @brief Writes what a node believes now into its metrics: calls, queue and
///        slots, hosts by state, configuration, store and repeats left.
void writeGauges(const MeshState &State, core::TimePoint Now,
                 observe::Metrics &Into);

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_GAUGES_H
