#ifndef FILBERTVANE_DECISION_MESH_GAUGES_H
#define FILBERTVANE_DECISION_MESH_GAUGES_H

#include "filbertvane/decision/mesh/State.h"
#include "filbertvane/observe/Metrics.h"

namespace filbertvane::decision::mesh {

/// @brief Writes the gauges of a node: calls, queue and slots, hosts by state,
///        configuration, store and remaining retries.
void writeGauges(const MeshState &State, core::TimePoint Now,
                 observe::Metrics &Output);

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_GAUGES_H
