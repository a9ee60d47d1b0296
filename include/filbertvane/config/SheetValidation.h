#ifndef FILBERTVANE_CONFIG_SHEETVALIDATION_H
#define FILBERTVANE_CONFIG_SHEETVALIDATION_H

#include "filbertvane/config/FleetState.h"
#include <cstddef>
#include <string>
#include <vector>

namespace filbertvane::config {

/// @name Limits of a sheet
///
/// They keep the encoded fleet state, which repeats parts of the sheet, below
/// the size of one log record, so that a snapshot can always be appended.
/// @{
inline constexpr std::size_t MaxNameBytes = 64;
inline constexpr std::size_t MaxPrefixBytes = 256;
inline constexpr std::size_t MaxSheetBytes = std::size_t{48} * 1024;
inline constexpr core::Milliseconds MinTimeout{1};
inline constexpr core::Milliseconds MaxTimeout{3600000};
/// @}

/// @brief Part of a sheet that a fault concerns.
enum class SheetPart { Whole, Service, Route };

/// @brief One fault of a sheet.
struct SheetError {
  core::ErrorCode Code;
  SheetPart Part = SheetPart::Whole;
  /// Position in `Services` or `Routes`.
  std::size_t Index = 0;
  /// Key of the sheet file, for example `move.to`.
  std::string Key;
  std::string Text;

  friend auto operator<=>(const SheetError &, const SheetError &) = default;
};

/// @brief Faults that the sheet shows by itself: names, prefixes, time-outs,
///        routes to unknown services, moves to the same version, size.
/// @param Content sheet in any order
/// Complexity: n log n in services and routes.
std::vector<SheetError> validateSheet(const Sheet &Content);

/// @brief Faults of a sheet against the state that it would change.
///
/// Only a service whose spec differs from the current sheet is examined. The
/// order of an unchanged spec was accepted earlier; its deadline may have
/// passed and its target may be the stable version by now.
/// @param Now time of publication
std::vector<SheetError> validateAgainst(const FleetState &State,
                                        const Sheet &Content,
                                        core::WallTime Now);

/// @brief Error of a fault that names the service or route.
core::Error toError(const SheetError &Fault, const Sheet &Content);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_SHEETVALIDATION_H
