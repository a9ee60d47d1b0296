#ifndef FILBERTVANE_DECISION_MESH_REDUCER_H
#define FILBERTVANE_DECISION_MESH_REDUCER_H

#include "filbertvane/decision/mesh/State.h"

namespace filbertvane::decision::mesh {

/// @brief Applies one event to the state.
///
/// Total: accepts every event in every state; events about ended calls are
/// ignored.
/// @param Now monotonic clock at the event
/// @return the effects, in the order of execution
/// Complexity: linear in the hosts of a service for a placement, in all hosts
/// for `Tick`.
Effects reduce(MeshState &State, const Event &NewEvent, core::TimePoint Now);

/// @brief Creates the next report of this node.
HostReport makeHostReport(MeshState &State, core::TimePoint Now);

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_REDUCER_H
