#ifndef FILBERTVANE_OBSERVE_LOGWRITER_H
#define FILBERTVANE_OBSERVE_LOGWRITER_H

#include "filbertvane/core/Time.h"
#include "filbertvane/observe/LogEvent.h"
#include <cstdint>
#include <map>

namespace filbertvane::observe {

/// @brief Writes structured log lines to a descriptor without blocking.
///
/// One line of `key=value` fields an event. Each event has a budget of lines a
/// second; lines beyond it, and lines that a full pipe does not take, are
/// counted and told in a line of their own.
class LogWriter {
public:
  /// Lines of one event in one second.
  static constexpr std::uint32_t LinesPerSecond = 40;
  /// Bytes that wait for a full pipe before lines are dropped.
  static constexpr std::size_t MaxPendingBytes = std::size_t{64} * 1024;

  /// @param Fd descriptor, set to non-blocking mode
  /// @param Node name of the process in each line
  LogWriter(int Fd, std::string Node);

  /// @brief Queues the line of an event.
  void write(const LogEvent &Event, core::Instant Now);
  /// @brief Writes what is queued, as far as the descriptor takes it.
  void flush(core::Instant Now);
  std::uint64_t dropped() const { return DroppedInAll; }

private:
  struct Budget {
    std::int64_t Second = 0;
    std::uint32_t Lines = 0;
  };
  bool admit(EventId Id, core::Instant Now);
  void append(const LogEvent &Event, core::Instant Now);

  int Fd;
  std::string Node;
  std::string Pending;
  std::map<EventId, Budget> Budgets;
  std::map<EventId, std::uint64_t> Dropped;
  std::uint64_t DroppedInAll = 0;
  std::int64_t ToldSecond = 0;
};

} // namespace filbertvane::observe

#endif // FILBERTVANE_OBSERVE_LOGWRITER_H
