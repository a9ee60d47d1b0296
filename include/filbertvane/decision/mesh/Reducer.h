#ifndef FILBERTVANE_DECISION_MESH_REDUCER_H
#define FILBERTVANE_DECISION_MESH_REDUCER_H

#include "filbertvane/decision/mesh/State.h"

namespace filbertvane::decision::mesh {

/// @brief Decides about one event.
///
/// Total: each event is accepted in each state; events about calls that ended
/// are ignored.
/// @param Now monotonic clock at the event
/// @return the effects, in the order to execute them
/// Complexity: linear in the hosts of a service for a placement, in all hosts
/// for `Tick`.
Effects reduce(MeshState &State, const Event &What, core::TimePoint Now);

/// @brief What the node says of itself now.
HostReport ownReport(MeshState &State, core::TimePoint Now);

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_REDUCER_H
