#ifndef FILBERTVANE_TOOLS_PATTERN_H
#define FILBERTVANE_TOOLS_PATTERN_H

#include <cstddef>
#include <string>
#include <string_view>

namespace filbertvane::tools {

/// Header that carries a request's token to the target and back.
inline constexpr const char *TokenField = "Fv-Token";

/// @brief Body bytes that depend on the request's token, so that an answer to
///        another request is noticed.
/// @param Offset position of the first byte in the body
inline std::string patternOf(std::string_view Token, std::size_t Offset,
                             std::size_t Bytes) {
  constexpr std::size_t Letters = 26;
  std::size_t Start = 0;
  for (const unsigned char Byte : Token)
    Start = Start * 31 % Letters + Byte;
  std::string Text(Bytes, '\0');
  for (std::size_t I = 0; I < Bytes; ++I)
    Text[I] = static_cast<char>('a' + (Start + Offset + I) % Letters);
  return Text;
}

} // namespace filbertvane::tools

#endif // FILBERTVANE_TOOLS_PATTERN_H
