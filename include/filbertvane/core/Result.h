#ifndef FILBERTVANE_CORE_RESULT_H
#define FILBERTVANE_CORE_RESULT_H

#include "filbertvane/core/Error.h"
#include <utility>
#include <variant>

namespace filbertvane::core {

/// @brief A value, or an error.
///
/// @code
/// Result<Sheet> Parsed = parseSheet(Text);
/// if (!ok(Parsed))
///   return failure(Parsed);
/// use(value(Parsed));
/// @endcode
template <typename T> using Result = std::variant<T, Error>;

/// Result of an operation that returns no value.
using Status = Result<std::monostate>;

/// @brief Whether a result holds a value.
template <typename T> bool ok(const Result<T> &Outcome) {
  return Outcome.index() == 0;
}

/// @brief The value; the result must hold one.
template <typename T> const T &value(const Result<T> &Outcome) {
  return std::get<0>(Outcome);
}

/// @brief Moves the value out; the result must hold one.
template <typename T> T take(Result<T> &&Outcome) {
  return std::get<0>(std::move(Outcome));
}

/// @brief The error; the result must hold one.
template <typename T> const Error &failure(const Result<T> &Outcome) {
  return std::get<1>(Outcome);
}

/// @brief Combines lambdas into one visitor for `std::visit`.
template <typename... Fs> struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs> Overloaded(Fs...) -> Overloaded<Fs...>;

} // namespace filbertvane::core

#endif // FILBERTVANE_CORE_RESULT_H
