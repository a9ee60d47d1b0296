#include "ProxyHeaders.h"
#include <charconv>
#include <set>
#include <strings.h>

namespace filbertvane::io::proxy {

namespace {

constexpr std::string_view ControlPrefix = "Filbertvane-";

bool isControl(const std::string &Name) {
  return strncasecmp(Name.c_str(), ControlPrefix.data(),
                     ControlPrefix.size()) == 0;
}

std::string trimmed(const std::string &Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

} // namespace

Headers endToEnd(const Headers &All) {
  std::set<std::string, HeaderNameLess> Dropped = {"Connection",
                                                   "Keep-Alive",
                                                   "Proxy-Authenticate",
                                                   "Proxy-Authorization",
                                                   "Proxy-Connection",
                                                   "TE",
                                                   "Trailer",
                                                   "Transfer-Encoding",
                                                   "Upgrade",
                                                   "Content-Length",
                                                   "Expect"};
  const auto [First, Last] = All.equal_range("Connection");
  for (auto It = First; It != Last; ++It) {
    std::size_t Start = 0;
    while (Start <= It->second.size()) {
      const std::size_t Comma =
          std::min(It->second.find(',', Start), It->second.size());
      Dropped.insert(trimmed(It->second.substr(Start, Comma - Start)));
      Start = Comma + 1;
    }
  }
  Headers Passed;
  for (const auto &[Name, Value] : All)
    if (Dropped.count(Name) == 0 && !isControl(Name))
      Passed.emplace(Name, Value);
  return Passed;
}

bool sameSecret(std::string_view A, std::string_view B) {
  if (A.size() != B.size())
    return false;
  unsigned char Difference = 0;
  for (std::size_t I = 0; I < A.size(); ++I)
    Difference |= static_cast<unsigned char>(A[I] ^ B[I]);
  return Difference == 0;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Fault] = std::from_chars(Text.data(), End, Number);
  if (Fault != std::errc() || Stop != End)
    return std::nullopt;
  return Number;
}

} // namespace filbertvane::io::proxy
