#include "MeshProcessImpl.h"
#include <fmt/format.h>

namespace filbertvane::io::mesh {

namespace {

/// Shortest time between two events of connections that were closed.
constexpr core::Seconds RefusalsPeriod{5};

} // namespace

void Process::tellRefusals(core::TimePoint Now) {
  const InputRefusals Last = RefusalsTold;
  const InputRefusals &Sum = Inputs->Refused;
  if (Sum == Last || Now - RefusalsToldAt < RefusalsPeriod)
    return;
  RefusalsTold = Sum;
  RefusalsToldAt = Now;
  const auto Count = [this](const char *Reason, std::uint64_t By) {
    if (By > 0)
      Figures.count("filbertvane_connections_refused_total",
                    {{"reason", Reason}}, By);
    return By;
  };
  carryOut(observe::LogEvent{
      observe::EventId::MeshCallersClosed,
      fmt::format("framing={} memory={} room={} full={} held_bytes={}",
                  Count("framing", Sum.Framing - Last.Framing),
                  Count("memory", Sum.Memory - Last.Memory),
                  Count("room", Sum.Room - Last.Room),
                  Count("full", Sum.Full - Last.Full), Inputs->total())});
}

} // namespace filbertvane::io::mesh
