#ifndef FILBERTVANE_DECISION_MESH_EVACUATIONS_H
#define FILBERTVANE_DECISION_MESH_EVACUATIONS_H

#include "filbertvane/decision/mesh/State.h"

namespace filbertvane::decision::mesh {

/// @brief Whether the newest order for a data centre evacuates it.
inline bool isEvacuated(const MeshState &State,
                        const core::DataCentreId &DataCentre) {
  const auto Order = State.Evacuations.find(DataCentre);
  return Order != State.Evacuations.end() && Order->second.Active;
}

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_EVACUATIONS_H
