#include "Frames.h"
#include "filbertvane/wire/ControlCodec.h"

namespace filbertvane::io::control {

std::string framed(std::string_view Body) {
  const auto Length = static_cast<std::uint32_t>(Body.size());
  std::string Frame;
  Frame.reserve(LengthBytes + Body.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Frame.push_back(static_cast<char>(Length >> Shift & 0xff));
  Frame.append(Body);
  return Frame;
}

std::optional<std::string> FrameReader::next() {
  if (TooLong || Pending.size() - Used < LengthBytes)
    return std::nullopt;
  std::uint32_t Length = 0;
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Length = Length << 8 | static_cast<std::uint8_t>(Pending[Used + I]);
  if (Length > wire::MaxFrameBytes) {
    TooLong = true;
    return std::nullopt;
  }
  if (Pending.size() - Used < LengthBytes + Length)
    return std::nullopt;
  std::string Body = Pending.substr(Used + LengthBytes, Length);
  Used += LengthBytes + Length;
  if (Used == Pending.size()) {
    Pending.clear();
    Used = 0;
  } else if (Used > wire::MaxFrameBytes) {
    Pending.erase(0, Used);
    Used = 0;
  }
  return Body;
}

} // namespace filbertvane::io::control
