#ifndef FILBERTVANE_CONFIG_SHEETDELTA_H
#define FILBERTVANE_CONFIG_SHEETDELTA_H

#include "filbertvane/config/Sheet.h"

namespace filbertvane::config {

/// @brief Difference between two sheets.
///
/// Sheet records carry deltas, because sending the whole sheet to each node
/// would take more than 20 times as many bytes.
struct SheetDelta {
  std::vector<ServiceSpec> ChangedServices;
  std::vector<core::ServiceName> RemovedServices;
  std::vector<RouteSpec> ChangedRoutes;
  std::vector<core::RouteName> RemovedRoutes;

  friend auto operator<=>(const SheetDelta &, const SheetDelta &) = default;
};

/// @brief Computes the delta that turns one sheet into another.
/// Complexity: linear in services and routes; both sheets are sorted by name.
SheetDelta computeDelta(const Sheet &From, const Sheet &To);

/// @brief Applies a delta.
/// @return the new sheet, sorted by name, with the base of `From`
Sheet applyDelta(const Sheet &From, const SheetDelta &Delta);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_SHEETDELTA_H
