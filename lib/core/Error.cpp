#include "filbertvane/core/Error.h"
#include <fmt/format.h>

namespace filbertvane::core {

std::string_view describe(ErrorCode Code) {
  switch (Code) {
#define ERROR(Name, Number, Text)                                              \
  case ErrorCode::Name:                                                        \
    return Text;
#include "filbertvane/core/errors/All.inc"
#undef ERROR
  }
  return "unknown error";
}

std::string toString(const Error &Failure) {
  const int Number = static_cast<int>(Failure.Code);
  if (Failure.Detail.empty())
    return fmt::format("[FV{}] {}", Number, describe(Failure.Code));
  return fmt::format("[FV{}] {}: {}", Number, describe(Failure.Code),
                     Failure.Detail);
}

} // namespace filbertvane::core
