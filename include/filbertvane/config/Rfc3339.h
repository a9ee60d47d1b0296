#ifndef FILBERTVANE_CONFIG_RFC3339_H
#define FILBERTVANE_CONFIG_RFC3339_H

#include "filbertvane/core/Time.h"
#include <optional>
#include <string>
#include <string_view>

namespace filbertvane::config {

/// @brief Parses an RFC 3339 time in UTC, for example `2026-12-04T10:00:00Z`
///        or `2026-12-04T10:00:00.250Z`.
/// @return none for a malformed text, another UTC offset, a date that does not
///         exist, or a year before 1970
std::optional<core::WallTime> parseRfc3339(std::string_view Text);

/// @brief Formats a time in UTC; omits milliseconds that are zero.
std::string formatRfc3339(core::WallTime Time);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_RFC3339_H
