#ifndef FILBERTVANE_LIB_CONFIG_SHEETACCEPTANCE_H
#define FILBERTVANE_LIB_CONFIG_SHEETACCEPTANCE_H

#include "filbertvane/config/FleetState.h"

namespace filbertvane::config {

/// Refused sheets kept for reports; the oldest is dropped first.
inline constexpr std::size_t MaxRefusedSheets = 32;
/// Bytes kept of the operator name and of the error detail.
inline constexpr std::size_t MaxOperatorBytes = 64;
inline constexpr std::size_t MaxDetailBytes = 200;

/// @brief Accepts a sheet and starts its moves, or records its refusal.
RecordOutcome acceptSheet(FleetState &State, core::LogOffset Offset,
                          const SheetPublished &Published);

} // namespace filbertvane::config

#endif // FILBERTVANE_LIB_CONFIG_SHEETACCEPTANCE_H
