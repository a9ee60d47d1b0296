#ifndef FILBERTVANE_CORE_ERROR_H
#define FILBERTVANE_CORE_ERROR_H

#include <compare>
#include <string>
#include <string_view>

namespace filbertvane::core {

/// @brief Numbered error; docs/errors.md is the catalogue.
enum class ErrorCode {
#define ERROR(Name, Number, Text) Name = Number,
#include "filbertvane/core/errors/All.inc"
#undef ERROR
};

/// @brief Catalogue text of an error code.
std::string_view describe(ErrorCode Code);

/// @brief An outcome that is not a success: a number and what it concerns.
struct Error {
  ErrorCode Code;
  std::string Detail;

  friend auto operator<=>(const Error &, const Error &) = default;
};

/// @brief One line for people: `[FV201] text: detail`.
std::string toString(const Error &Failure);

} // namespace filbertvane::core

#endif // FILBERTVANE_CORE_ERROR_H
