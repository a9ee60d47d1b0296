#ifndef FILBERTVANE_DECISION_MESH_ALLOWEDREGIONS_H
#define FILBERTVANE_DECISION_MESH_ALLOWEDREGIONS_H

#include "filbertvane/core/Ids.h"
#include <algorithm>
#include <vector>

namespace filbertvane::decision::mesh {

/// @brief Regions in which a request may run, by its route and its tenant.
///
/// An empty list allows all regions; where both name regions, both bind.
class AllowedRegions {
public:
  AllowedRegions(std::vector<core::RegionId> Route,
                 std::vector<core::RegionId> Tenant)
      : Route(std::move(Route)), Tenant(std::move(Tenant)) {}

  bool includes(const core::RegionId &Region) const {
    return allows(Route, Region) && allows(Tenant, Region);
  }
  bool includesAll() const { return Route.empty() && Tenant.empty(); }

  friend auto operator<=>(const AllowedRegions &,
                          const AllowedRegions &) = default;

private:
  static bool allows(const std::vector<core::RegionId> &Regions,
                     const core::RegionId &Region) {
    return Regions.empty() ||
           std::ranges::find(Regions, Region) != Regions.end();
  }

  std::vector<core::RegionId> Route;
  std::vector<core::RegionId> Tenant;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_ALLOWEDREGIONS_H
