#ifndef FILBERTVANE_PROGRAMS_FILBERTVANE_CLI_SHEETCHECK_H
#define FILBERTVANE_PROGRAMS_FILBERTVANE_CLI_SHEETCHECK_H

#include "filbertvane/config/SheetParser.h"
#include <optional>
#include <string>

namespace filbertvane::program {

/// @brief Reads and checks a sheet file and prints its faults.
/// @param State current state; null checks the sheet by itself
/// @return the sheet, or none when it has faults
std::optional<config::Sheet> readSheet(const std::string &File,
                                       const config::FleetState *State,
                                       core::WallTime Now);

/// @brief Prints each move of the sheet that would start and whose completion
///        deadline cannot be met.
void printShortDeadlines(const config::Sheet &Wanted,
                         const config::FleetState &State, core::WallTime Now);

/// @brief Current calendar time.
core::WallTime wallNow();

} // namespace filbertvane::program

#endif // FILBERTVANE_PROGRAMS_FILBERTVANE_CLI_SHEETCHECK_H
