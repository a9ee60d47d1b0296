#include "ProxyHeaders.h"
#include <charconv>
#include <fmt/format.h>
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

/// Takes the next word of a text of words that are separated by one space.
std::string_view nextWord(std::string_view &Text) {
  const std::size_t End = std::min(Text.find(' '), Text.size());
  const std::string_view Word = Text.substr(0, End);
  Text.remove_prefix(std::min(End + 1, Text.size()));
  return Word;
}

template <typename T> bool readNumber(std::string_view &Text, T &Number) {
  const std::string_view Word = nextWord(Text);
  const char *End = Word.data() + Word.size();
  const auto [Stop, Fault] = std::from_chars(Word.data(), End, Number);
  return !Word.empty() && Fault == std::errc() && Stop == End;
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

std::string formatTerms(const TermsValue &Value) {
  const decision::request::HopTerms &Terms = Value.Terms;
  return fmt::format("{} {} {} {}{} {}", Value.TimeLeft.count(),
                     Terms.ObjectiveLeft.count(), Terms.Rank,
                     Terms.Idempotent ? 'i' : 'o', Terms.AcceptLate ? 'l' : 't',
                     Terms.Route.value());
}

std::optional<TermsValue> parseTerms(std::string_view Text) {
  std::int64_t Left = 0;
  std::int64_t Objective = 0;
  TermsValue Value;
  if (!readNumber(Text, Left) || !readNumber(Text, Objective) ||
      !readNumber(Text, Value.Terms.Rank))
    return std::nullopt;
  const std::string_view Flags = nextWord(Text);
  if (Flags.size() != 2 || Text.empty())
    return std::nullopt;
  Value.TimeLeft = core::Milliseconds(Left);
  Value.Terms.ObjectiveLeft = core::Milliseconds(Objective);
  Value.Terms.Idempotent = Flags[0] == 'i';
  Value.Terms.AcceptLate = Flags[1] == 'l';
  Value.Terms.Route = core::RouteName(std::string(Text));
  return Value;
}

std::string formatLoad(const decision::TargetLoad &Load) {
  return fmt::format("{} {} {} {} {} {}", Load.Running, Load.Waiting,
                     Load.Slots, Load.MeanResponseTime.count(),
                     Load.RouteResponseTime.count(),
                     Load.LinkQueueTime.count());
}

std::optional<decision::TargetLoad> parseLoad(std::string_view Text) {
  decision::TargetLoad Load;
  std::int64_t Mean = 0;
  std::int64_t OnRoute = 0;
  std::int64_t Link = 0;
  if (!readNumber(Text, Load.Running) || !readNumber(Text, Load.Waiting) ||
      !readNumber(Text, Load.Slots) || !readNumber(Text, Mean) ||
      !readNumber(Text, OnRoute) || !readNumber(Text, Link))
    return std::nullopt;
  Load.LinkQueueTime = core::Milliseconds(Link);
  Load.MeanResponseTime = core::Milliseconds(Mean);
  Load.RouteResponseTime = core::Milliseconds(OnRoute);
  return Load;
}

} // namespace filbertvane::io::proxy
