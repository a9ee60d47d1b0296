#ifndef FILBERTVANE_CONFIG_REPORT_H
#define FILBERTVANE_CONFIG_REPORT_H

#include "filbertvane/config/FleetState.h"
#include <string>

namespace filbertvane::config {

/// @brief Text report for operators: moves with their stage, refused sheets,
///        and the data centres in which the configuration is in force.
/// @param Now time from which remaining times are counted
std::string reportText(const FleetState &State, core::WallTime Now);

/// @brief The same report as a JSON object (docs/command-line.md).
std::string reportJson(const FleetState &State, core::WallTime Now);

/// @brief One sentence on the progress or outcome of a move.
std::string describeMove(const MoveStatus &Move, core::WallTime Now);

/// @brief Name of a move's stage in reports: `accepted`, `in_progress`,
///        `done`, `reversed` or `superseded`.
const char *stageName(const MoveStatus &Move);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_REPORT_H
