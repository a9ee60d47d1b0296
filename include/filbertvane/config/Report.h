#ifndef FILBERTVANE_CONFIG_REPORT_H
#define FILBERTVANE_CONFIG_REPORT_H

#include "filbertvane/config/FleetState.h"
#include <string>

namespace filbertvane::config {

/// @brief Report for planners: each move as accepted, in progress, done or
///        reversed, refused sheets, and where the configuration is in force.
/// @param Now for the time left until a completion deadline
std::string reportText(const FleetState &State, core::WallTime Now);

/// @brief The same report as a JSON object (docs/command-line.md).
std::string reportJson(const FleetState &State, core::WallTime Now);

/// @brief Sentence on one move.
std::string describeMove(const MoveStatus &Move, core::WallTime Now);

/// @brief Name of a move's stage in reports: `accepted`, `in_progress`,
///        `done`, `reversed` or `superseded`.
const char *stageName(const MoveStatus &Move);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_REPORT_H
