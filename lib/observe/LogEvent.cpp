#include "filbertvane/observe/LogEvent.h"
#include <fmt/format.h>

namespace filbertvane::observe {

namespace {

std::string_view nameOf(Level Severity) {
  switch (Severity) {
  case Level::Debug:
    return "debug";
  case Level::Info:
    return "info";
  case Level::Warning:
    return "warning";
  case Level::Error:
    return "error";
  }
  return "unknown";
}

} // namespace

Level levelOf(EventId Id) {
  switch (Id) {
#define EVENT(Name, Number, Severity, Text)                                    \
  case EventId::Name:                                                          \
    return Level::Severity;
#include "filbertvane/observe/events/All.inc"
#undef EVENT
  }
  return Level::Error;
}

std::string_view describe(EventId Id) {
  switch (Id) {
#define EVENT(Name, Number, Severity, Text)                                    \
  case EventId::Name:                                                          \
    return Text;
#include "filbertvane/observe/events/All.inc"
#undef EVENT
  }
  return "unknown event";
}

std::string toString(const LogEvent &Event) {
  const std::string_view Severity = nameOf(levelOf(Event.Id));
  const int Number = static_cast<int>(Event.Id);
  if (Event.Detail.empty())
    return fmt::format("level={} event={} {}", Severity, Number,
                       describe(Event.Id));
  return fmt::format("level={} event={} {}: {}", Severity, Number,
                     describe(Event.Id), Event.Detail);
}

void writeLog(const LogEvent &Event) {
  fmt::print(stderr, "{}\n", toString(Event));
}

} // namespace filbertvane::observe
