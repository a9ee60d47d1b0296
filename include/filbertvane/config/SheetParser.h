#ifndef FILBERTVANE_CONFIG_SHEETPARSER_H
#define FILBERTVANE_CONFIG_SHEETPARSER_H

#include "filbertvane/config/SheetValidation.h"
#include "filbertvane/config/ValidationResult.h"
#include <string>

namespace filbertvane::config {

/// @brief Reads a sheet (docs/sheet.md) and checks all that it shows by itself.
/// @param Text content of the file
/// @param File name for the faults
/// @return the sheet sorted by name, or all faults
ValidationResult<Sheet> parseSheet(const std::string &Text,
                                   const std::string &File);

/// @brief Reads a sheet and checks it against the state that it would change.
/// @param Now time of publication
ValidationResult<Sheet> parseSheet(const std::string &Text,
                                   const std::string &File,
                                   const FleetState &State, core::WallTime Now);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_SHEETPARSER_H
