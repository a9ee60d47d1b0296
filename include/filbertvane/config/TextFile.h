#ifndef FILBERTVANE_CONFIG_TEXTFILE_H
#define FILBERTVANE_CONFIG_TEXTFILE_H

#include "filbertvane/core/Result.h"
#include <string>

namespace filbertvane::config {

/// Maximum size of a settings or sheet file.
inline constexpr std::size_t MaxFileBytes = std::size_t{1024} * 1024;

/// @brief Reads a whole file.
/// @param OnFailure code of the error when the file cannot be read or is larger
///        than `MaxFileBytes`
core::Result<std::string> readTextFile(const std::string &File,
                                       core::ErrorCode OnFailure);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_TEXTFILE_H
