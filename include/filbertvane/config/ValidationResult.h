#ifndef FILBERTVANE_CONFIG_VALIDATIONRESULT_H
#define FILBERTVANE_CONFIG_VALIDATIONRESULT_H

#include "filbertvane/core/Error.h"
#include <variant>
#include <vector>

namespace filbertvane::config {

/// All faults of a file, in the order of its lines. The detail of each reads
/// `file:line: field: what is wrong`.
using ErrorList = std::vector<core::Error>;

/// @brief Value read from a file, or all faults of the file.
template <typename T> using ValidationResult = std::variant<T, ErrorList>;

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_VALIDATIONRESULT_H
