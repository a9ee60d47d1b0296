#ifndef FILBERTVANE_CONFIG_SHEETPARSER_H
#define FILBERTVANE_CONFIG_SHEETPARSER_H

#include "filbertvane/config/SheetValidation.h"
#include "filbertvane/config/ValidationResult.h"
#include <string>

namespace filbertvane::config {

/// @brief Parses a sheet (docs/sheet.md) and validates it on its own, without
///        the fleet state.
/// @param Text content of the file
/// @param File file name for error details
/// @return the sheet sorted by name, or all errors
ValidationResult<Sheet> parseSheet(const std::string &Text,
                                   const std::string &File);

/// @brief Parses a sheet and validates it also against the current state.
/// @param Now time of publication
ValidationResult<Sheet> parseSheet(const std::string &Text,
                                   const std::string &File,
                                   const FleetState &State, core::WallTime Now);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_SHEETPARSER_H
