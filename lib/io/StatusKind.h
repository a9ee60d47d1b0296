#ifndef FILBERTVANE_LIB_IO_STATUSKIND_H
#define FILBERTVANE_LIB_IO_STATUSKIND_H

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace filbertvane::io {

/// @brief What the status code of an answer says of its place (RFC 9110, 15).
enum class StatusKind {
  /// A final answer follows.
  Interim,
  Final,
  /// No status of HTTP, or a switch to a protocol that was never offered: what
  /// follows can't be told from other bytes.
  Invalid,
};

inline StatusKind kindOfStatus(int Status) {
  constexpr int SwitchingProtocols = 101;
  if (Status < 100 || Status > 599 || Status == SwitchingProtocols)
    return StatusKind::Invalid;
  return Status < 200 ? StatusKind::Interim : StatusKind::Final;
}

/// @brief Status code of a status line without its end; none unless it has
///        three digits.
inline std::optional<int> parseStatus(std::string_view Line) {
  constexpr std::size_t Digits = 3;
  const std::size_t Space = Line.find(' ');
  if (Space == std::string_view::npos)
    return std::nullopt;
  const std::string_view Code = Line.substr(Space + 1);
  const std::size_t End = std::min(Code.find(' '), Code.size());
  int Status = 0;
  const auto [Stop, Fault] =
      std::from_chars(Code.data(), Code.data() + End, Status);
  if (Fault != std::errc() || End != Digits || Stop != Code.data() + Digits)
    return std::nullopt;
  return Status;
}

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_STATUSKIND_H
