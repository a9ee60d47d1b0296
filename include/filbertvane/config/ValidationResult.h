#ifndef FILBERTVANE_CONFIG_VALIDATIONRESULT_H
#define FILBERTVANE_CONFIG_VALIDATIONRESULT_H

#include "filbertvane/core/Error.h"
#include <variant>
#include <vector>

namespace filbertvane::config {

/// Errors found in a file, ordered by line. Each detail has the form
/// `file:line: field: message`.
using ErrorList = std::vector<core::Error>;

/// @brief Value parsed from a file, or every error found in the file.
template <typename T> using ValidationResult = std::variant<T, ErrorList>;

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_VALIDATIONRESULT_H
