#include "filbertvane/observe/RequestStory.h"
#include "filbertvane/core/Error.h"
#include "filbertvane/observe/LogEvent.h"
#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace filbertvane::observe {

namespace {

template <typename T> bool readNumber(std::string_view Text, T &Number) {
  const char *End = Text.data() + Text.size();
  const auto [Stop, Fault] = std::from_chars(Text.data(), End, Number);
  return Fault == std::errc() && Stop == End;
}

/// Values are single words, or stand in quotation marks.
std::map<std::string, std::string> fieldsOf(std::string_view Text) {
  std::map<std::string, std::string> Fields;
  while (!Text.empty()) {
    const std::size_t Space = std::min(Text.find(' '), Text.size());
    const std::size_t Equals = Text.find('=');
    if (Equals == std::string_view::npos || Equals > Space) {
      Text.remove_prefix(std::min(Space + 1, Text.size()));
      continue;
    }
    const std::string Name(Text.substr(0, Equals));
    Text.remove_prefix(Equals + 1);
    const bool Quoted = Text.starts_with('"');
    if (Quoted)
      Text.remove_prefix(1);
    const std::size_t End =
        std::min(Text.find(Quoted ? '"' : ' '), Text.size());
    Fields[Name] = std::string(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Fields;
}

std::string fieldOr(const LogLine &Line, const char *Name,
                    const char *Otherwise) {
  const auto Found = Line.Fields.find(Name);
  return Found == Line.Fields.end() ? Otherwise : Found->second;
}

/// Catalogue text of a reason such as `FV513`.
std::string reasonText(const std::string &Reason) {
  int Number = 0;
  if (!Reason.starts_with("FV") ||
      !readNumber(std::string_view(Reason).substr(2), Number))
    return Reason;
  const std::string_view Text = core::describe(core::ErrorCode(Number));
  return fmt::format("{} ({})", Reason, Text);
}

std::string sentence(const LogLine &Step, std::int64_t FirstMs) {
  std::string Text = fmt::format("+{:>5} ms  {:<20} {}", Step.WallMs - FirstMs,
                                 Step.Node, describe(EventId(Step.Event)));
  if (Step.Fields.contains("role"))
    Text += " as " + fieldOr(Step, "role", "") + " node";
  if (Step.Fields.contains("reason"))
    Text += ": " + reasonText(fieldOr(Step, "reason", ""));
  if (Step.Fields.contains("after"))
    Text += ", after " + fieldOr(Step, "after", "");
  if (Step.Fields.contains("status"))
    Text += ", status " + fieldOr(Step, "status", "");
  Text += "\n";
  for (const char *Name :
       {"route", "service", "at", "age_ms", "sent_ms", "placements", "reached",
        "config", "load", "load_age_ms", "late"})
    if (Step.Fields.contains(Name))
      Text +=
          fmt::format("             {} = {}\n", Name, fieldOr(Step, Name, ""));
  return Text;
}

} // namespace

std::optional<LogLine> parseLogLine(std::string_view Text) {
  const std::size_t Start = Text.find("ts=");
  if (Start == std::string_view::npos)
    return std::nullopt;
  LogLine Line;
  Line.Fields = fieldsOf(Text.substr(Start));
  if (!readNumber(fieldOr(Line, "ts", ""), Line.WallMs) ||
      !readNumber(fieldOr(Line, "event", ""), Line.Event))
    return std::nullopt;
  Line.Node = fieldOr(Line, "node", "");
  for (const char *Name : {"ts", "event", "node", "level"})
    Line.Fields.erase(Name);
  return Line;
}

RequestStory collectStory(const std::string &RequestId,
                          const std::vector<std::string> &Logs) {
  RequestStory Story;
  Story.RequestId = RequestId;
  constexpr int DroppedEvent = static_cast<int>(EventId::MeshLogLinesDropped);
  for (std::string_view Rest : Logs)
    while (!Rest.empty()) {
      const std::size_t End = std::min(Rest.find('\n'), Rest.size());
      const std::string_view Text = Rest.substr(0, End);
      Rest.remove_prefix(std::min(End + 1, Rest.size()));
      if (Text.empty())
        continue;
      const auto Line = parseLogLine(Text);
      if (!Line) {
        ++Story.Unreadable;
        continue;
      }
      std::uint64_t Lines = 0;
      if (Line->Event == DroppedEvent &&
          readNumber(fieldOr(*Line, "lines", ""), Lines))
        Story.LeftOut += Lines;
      if (fieldOr(*Line, "request", "") == RequestId)
        Story.Steps.push_back(*Line);
    }
  std::ranges::stable_sort(Story.Steps, {}, &LogLine::WallMs);
  return Story;
}

std::string storyText(const RequestStory &Story) {
  std::string Text = fmt::format("request {}\n", Story.RequestId);
  if (Story.Steps.empty())
    Text += "no line about this request in these logs\n";
  for (const LogLine &Step : Story.Steps)
    Text += sentence(Step, Story.Steps.front().WallMs);
  if (Story.LeftOut > 0)
    Text += fmt::format("{} lines were left out by the processes, so that "
                        "steps may be missing\n",
                        Story.LeftOut);
  if (Story.Unreadable > 0)
    Text += fmt::format("{} lines could not be read\n", Story.Unreadable);
  return Text;
}

std::string storyJson(const RequestStory &Story) {
  nlohmann::json Steps = nlohmann::json::array();
  for (const LogLine &Step : Story.Steps)
    Steps.push_back({{"ts", Step.WallMs},
                     {"node", Step.Node},
                     {"event", Step.Event},
                     {"text", describe(EventId(Step.Event))},
                     {"fields", Step.Fields}});
  return nlohmann::json{{"request", Story.RequestId},
                        {"steps", Steps},
                        {"lines_left_out", Story.LeftOut},
                        {"lines_unreadable", Story.Unreadable}}
             .dump(2) +
         "\n";
}

} // namespace filbertvane::observe
