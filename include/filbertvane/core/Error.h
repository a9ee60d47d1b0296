#ifndef FILBERTVANE_CORE_ERROR_H
#define FILBERTVANE_CORE_ERROR_H

#include <compare>
#include <string>
#include <string_view>

namespace filbertvane::core {

/// @brief Error numbers, which docs/errors.md lists.
enum class ErrorCode {
#define ERROR(Name, Number, Text) Name = Number,
#include "filbertvane/core/errors/All.inc"
#undef ERROR
};

/// @brief Description of an error code, from the catalogue.
std::string_view describe(ErrorCode Code);

/// @brief Error code and the detail of one occurrence.
struct Error {
  ErrorCode Code;
  std::string Detail;

  friend auto operator<=>(const Error &, const Error &) = default;
};

/// @brief Formats an error as one line: `[FV201] description: detail`.
std::string toString(const Error &Failure);

} // namespace filbertvane::core

#endif // FILBERTVANE_CORE_ERROR_H
