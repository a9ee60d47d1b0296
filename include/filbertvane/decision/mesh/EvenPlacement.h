#ifndef FILBERTVANE_DECISION_MESH_EVENPLACEMENT_H
#define FILBERTVANE_DECISION_MESH_EVENPLACEMENT_H

#include "filbertvane/decision/mesh/Placement.h"

namespace filbertvane::decision::mesh {

/// @brief Whether a mesh is so large that hosts in other data centres report
///        less often than once in two of `RemoteReportPeriod`.
/// @param KnownHosts largest number of hosts known at one time
bool hasOldReports(std::size_t KnownHosts);

/// @brief Chooses at random, weighing free slots and expected loss.
///
/// Handles many nodes that choose by the same old reports: a target that is
/// nearly full gets fewer requests than an empty one before it is full, and
/// targets whose expected losses differ little share the load.
/// @return index of the candidate; none when there are no candidates
std::optional<std::size_t>
chooseByFreeSlots(const std::vector<Candidate> &Candidates,
                  const PlacementQuery &Request, core::Random &Source);

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_EVENPLACEMENT_H
