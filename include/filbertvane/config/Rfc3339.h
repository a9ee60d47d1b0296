#ifndef FILBERTVANE_CONFIG_RFC3339_H
#define FILBERTVANE_CONFIG_RFC3339_H

#include "filbertvane/core/Time.h"
#include <optional>
#include <string>
#include <string_view>

namespace filbertvane::config {

/// @brief Reads an RFC 3339 time in UTC, for example `2026-12-04T10:00:00Z`
///        or `2026-12-04T10:00:00.250Z`.
/// @return none for another offset, a date that does not exist, or a year
///         before 1970
std::optional<core::WallTime> parseRfc3339(std::string_view Text);

/// @brief Writes a time in UTC, with milliseconds only when there are some.
std::string formatRfc3339(core::WallTime Time);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_RFC3339_H
