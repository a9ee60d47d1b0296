#ifndef FILBERTVANE_LIB_WIRE_RANGECHECK_H
#define FILBERTVANE_LIB_WIRE_RANGECHECK_H

#include "filbertvane/config/LogRecord.h"
#include "filbertvane/core/Result.h"
#include <cstdint>
#include <string>

namespace filbertvane::wire {

/// @brief Converts numbers of a message and remembers the first one out of
///        range, so that a conversion can go on to its end.
class RangeCheck {
public:
  /// @brief Calendar time between 1970 and 9999; arithmetic on it is safe.
  core::WallTime time(std::int64_t Millis);
  /// @brief Duration of at most a day.
  core::Milliseconds duration(std::int64_t Millis);
  /// @brief Share of at most 1000 thousandths.
  config::Permille share(std::int16_t Share);
  /// @brief Name of a writer, holder or data centre; each is repeated in the
  ///        fleet state, whose size is bounded.
  std::string name(const std::string &Name);
  /// @brief Enumerator between 0 and `Last`.
  template <typename Enum> Enum enumerator(std::int8_t Value, Enum Last) {
    if (Value < 0 || Value > static_cast<int>(Last))
      return outOfRange("enumerator", Last);
    return static_cast<Enum>(Value);
  }

  /// @brief The value, or `WireMalformed` when a number was out of range.
  template <typename T> core::Result<T> result(T Value) const {
    if (Fault)
      return core::Error{core::ErrorCode::WireMalformed, Fault};
    return Value;
  }

  /// @brief Notes a fault and yields the value that stands in.
  template <typename T> T outOfRange(const char *What, T StandIn) {
    Fault = Fault ? Fault : What;
    return StandIn;
  }

private:
  const char *Fault = nullptr;
};

/// @name Unsigned numbers as Thrift's signed ones
/// @{
inline std::int64_t toSigned(std::uint64_t Value) {
  return static_cast<std::int64_t>(Value);
}
inline std::uint64_t toUnsigned(std::int64_t Value) {
  return static_cast<std::uint64_t>(Value);
}
inline std::int64_t toMillis(core::WallTime Time) {
  return Time.time_since_epoch().count();
}
/// @}

} // namespace filbertvane::wire

#endif // FILBERTVANE_LIB_WIRE_RANGECHECK_H
