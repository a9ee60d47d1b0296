#ifndef FILBERTVANE_CONFIG_CHECKED_H
#define FILBERTVANE_CONFIG_CHECKED_H

#include "filbertvane/core/Error.h"
#include <variant>
#include <vector>

namespace filbertvane::config {

/// All faults of a file, in the order of its lines. The detail of each reads
/// `file:line: field: what is wrong`.
using Faults = std::vector<core::Error>;

/// @brief Value read from a file, or all faults of the file.
template <typename T> using Checked = std::variant<T, Faults>;

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_CHECKED_H
