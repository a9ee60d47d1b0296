#ifndef FILBERTVANE_OBSERVE_LOGEVENT_H
#define FILBERTVANE_OBSERVE_LOGEVENT_H

#include <compare>
#include <string>
#include <string_view>

namespace filbertvane::observe {

/// @brief Severity of a log event.
enum class Level { Debug, Info, Warning, Error };

/// @brief Numbered log event; docs/events.md is the catalogue.
enum class EventId {
#define EVENT(Name, Number, Severity, Text) Name = Number,
#include "filbertvane/observe/events/All.inc"
#undef EVENT
};

/// @brief Severity of an event.
Level levelOf(EventId Id);

/// @brief Catalogue text of an event.
std::string_view describe(EventId Id);

/// @brief One occurrence of an event: an effect that reducers return as data.
struct LogEvent {
  EventId Id;
  std::string Detail;

  friend auto operator<=>(const LogEvent &, const LogEvent &) = default;
};

/// @brief Line written for an event:
///        `level=info event=1001 node process started: detail`.
std::string toString(const LogEvent &Event);

/// @brief Writes the line of an event to standard error.
void writeLog(const LogEvent &Event);

} // namespace filbertvane::observe

#endif // FILBERTVANE_OBSERVE_LOGEVENT_H
