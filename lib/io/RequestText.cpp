#include "RequestText.h"
#include "filbertvane/io/HttpServer.h"
#include <algorithm>

namespace filbertvane::io {

bool isPlain(std::string_view Text, bool SpaceAllowed) {
  for (const unsigned char Byte : Text) {
    const bool Blank = Byte == ' ' || Byte == '\t';
    if (Byte < 0x20 && !(Blank && SpaceAllowed))
      return false;
    if (Byte == 0x7f || (Blank && !SpaceAllowed))
      return false;
  }
  return true;
}

bool isFraming(const std::string &Name) {
  const HeaderNameLess Less;
  for (const char *Framing : {"Content-Length", "Transfer-Encoding", "Expect"})
    if (!Less(Name, Framing) && !Less(Framing, Name))
      return true;
  return false;
}

std::size_t originLength(const std::string &Url) {
  const std::size_t Scheme = Url.find("://");
  const std::size_t Start = Scheme == std::string::npos ? 0 : Scheme + 3;
  return std::min(Url.find('/', Start), Url.size());
}

std::string addressOf(const std::string &Url) {
  const std::size_t Scheme = Url.find("://");
  const std::size_t Start = Scheme == std::string::npos ? 0 : Scheme + 3;
  return Url.substr(Start, originLength(Url) - Start);
}

} // namespace filbertvane::io
