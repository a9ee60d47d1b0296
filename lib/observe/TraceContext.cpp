#include "filbertvane/observe/TraceContext.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::observe {

namespace {

constexpr std::size_t TraceDigits = 32;
constexpr std::size_t SpanDigits = 16;
/// `00-` trace `-` span `-` flags.
constexpr std::size_t HeaderLength = 55;

bool isHex(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
  });
}

bool isId(std::string_view Text) {
  return isHex(Text) && Text.find_first_not_of('0') != std::string_view::npos;
}

std::uint64_t nonZero(core::Random &Ids) {
  const std::uint64_t Value = Ids.next();
  return Value == 0 ? 1 : Value;
}

} // namespace

std::optional<TraceContext> parseTraceParent(std::string_view Text) {
  if (Text.size() < HeaderLength)
    return std::nullopt;
  const std::string_view Version = Text.substr(0, 2);
  const std::string_view Trace = Text.substr(3, TraceDigits);
  const std::string_view Span = Text.substr(36, SpanDigits);
  const std::string_view Flags = Text.substr(53, 2);
  const bool Dashes = Text[2] == '-' && Text[35] == '-' && Text[52] == '-';
  if (!Dashes || !isHex(Version) || Version == "ff" || !isId(Trace) ||
      !isId(Span) || !isHex(Flags))
    return std::nullopt;
  // Version 00 ends here; later versions may append fields after a dash.
  if (Text.size() > HeaderLength &&
      (Version == "00" || Text[HeaderLength] != '-'))
    return std::nullopt;
  const char Low = Flags[1];
  const int Digit = Low <= '9' ? Low - '0' : Low - 'a' + 10;
  return TraceContext{std::string(Trace), std::string(Span), (Digit & 1) != 0};
}

std::string toTraceParent(const TraceContext &Context) {
  return fmt::format("00-{}-{}-{}", Context.TraceId, Context.SpanId,
                     Context.Sampled ? "01" : "00");
}

TraceContext childOf(const std::optional<TraceContext> &Parent,
                     core::Random &Ids) {
  TraceContext Child;
  Child.TraceId = Parent
                      ? Parent->TraceId
                      : fmt::format("{:016x}{:016x}", nonZero(Ids), Ids.next());
  Child.SpanId = fmt::format("{:016x}", nonZero(Ids));
  Child.Sampled = !Parent || Parent->Sampled;
  return Child;
}

} // namespace filbertvane::observe
