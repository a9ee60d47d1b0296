#include "filbertvane/observe/LogWriter.h"
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace filbertvane::observe {

namespace {

std::int64_t secondOf(core::Instant Now) {
  return std::chrono::floor<core::Seconds>(Now.Mono.time_since_epoch()).count();
}

} // namespace

LogWriter::LogWriter(int Fd, std::string Node) : Fd(Fd), Node(std::move(Node)) {
  const int Flags = fcntl(Fd, F_GETFL);
  if (Flags >= 0)
    fcntl(Fd, F_SETFL, Flags | O_NONBLOCK);
}

bool LogWriter::admit(EventId Id, core::Instant Now) {
  Budget &Used = Budgets[Id];
  const std::int64_t Second = secondOf(Now);
  if (Used.Second != Second)
    Used = {Second, 0};
  return ++Used.Lines <= LinesPerSecond && Pending.size() < MaxPendingBytes;
}

void LogWriter::append(const LogEvent &Event, core::Instant Now) {
  fmt::format_to(std::back_inserter(Pending), "ts={} node={} {}\n",
                 Now.Wall.time_since_epoch().count(), Node, toString(Event));
}

void LogWriter::write(const LogEvent &Event, core::Instant Now) {
  if (admit(Event.Id, Now)) {
    append(Event, Now);
    return;
  }
  ++Dropped[Event.Id];
  ++DroppedInAll;
}

void LogWriter::flush(core::Instant Now) {
  if (!Dropped.empty() && secondOf(Now) != ToldSecond &&
      Pending.size() < MaxPendingBytes) {
    ToldSecond = secondOf(Now);
    for (const auto &[Id, Count] : Dropped)
      append({EventId::MeshLogLinesDropped,
              fmt::format("of={} lines={}", static_cast<int>(Id), Count)},
             Now);
    Dropped.clear();
  }
  while (!Pending.empty()) {
    const ssize_t Written = ::write(Fd, Pending.data(), Pending.size());
    // A full pipe is tried again at the next flush.
    if (Written <= 0)
      return;
    Pending.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace filbertvane::observe
