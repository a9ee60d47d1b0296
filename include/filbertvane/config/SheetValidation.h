#ifndef FILBERTVANE_CONFIG_SHEETVALIDATION_H
#define FILBERTVANE_CONFIG_SHEETVALIDATION_H

#include "filbertvane/config/FleetState.h"
#include <cstddef>
#include <string>
#include <vector>

namespace filbertvane::config {

/// @name Limits of a sheet
///
/// The encoded fleet state repeats parts of the sheet. These limits keep it
/// below the maximum size of a log record, so that a snapshot can always be
/// appended.
/// @{
inline constexpr std::size_t MaxNameBytes = 64;
inline constexpr std::size_t MaxPrefixBytes = 256;
inline constexpr std::size_t MaxSheetBytes = std::size_t{48} * 1024;
inline constexpr core::Milliseconds MinTimeout{1};
inline constexpr core::Milliseconds MaxTimeout{3600000};
/// @}

/// @brief Part of a sheet that an error refers to.
enum class SheetPart { Whole, Service, Route };

/// @brief Validation error of a sheet.
struct SheetError {
  core::ErrorCode Code;
  SheetPart Part = SheetPart::Whole;
  /// Index in `Services` or `Routes`.
  std::size_t Index = 0;
  /// Key of the sheet file, for example `move.to`.
  std::string Key;
  std::string Text;

  friend auto operator<=>(const SheetError &, const SheetError &) = default;
};

/// @brief Validates a sheet on its own: names, prefixes, time-outs, routes to
///        unknown services, size.
/// @param Content sheet, sorted in any order
/// Complexity: n log n in services and routes.
std::vector<SheetError> validateSheet(const Sheet &Content);

/// @brief Validates a sheet against the state that it would change.
///
/// Skips services whose spec is unchanged: the deadline of a move that was
/// accepted earlier may have passed, and its target version may be the stable
/// one by now.
/// @param Now time of publication
std::vector<SheetError> validateAgainst(const FleetState &State,
                                        const Sheet &Content,
                                        core::WallTime Now);

/// @brief Converts to an error whose detail names the service or route.
core::Error toError(const SheetError &Error, const Sheet &Content);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_SHEETVALIDATION_H
