#ifndef FILBERTVANE_LIB_IO_CONTROL_FRAMES_H
#define FILBERTVANE_LIB_IO_CONTROL_FRAMES_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertvane::io::control {

inline constexpr std::size_t LengthBytes = 4;

/// @brief Puts the length in front of an encoded message.
std::string framed(std::string_view Body);

/// @brief Cuts a stream of bytes into frames.
class FrameReader {
public:
  void add(std::string_view Bytes) { Pending.append(Bytes); }

  /// @brief Next whole frame without its length; none when more bytes are
  ///        needed or after a frame above the limit.
  std::optional<std::string> next();

  /// @brief A frame above the limit was announced; the stream is unusable.
  bool broken() const { return TooLong; }

private:
  std::string Pending;
  std::size_t Used = 0;
  bool TooLong = false;
};

} // namespace filbertvane::io::control

#endif // FILBERTVANE_LIB_IO_CONTROL_FRAMES_H
