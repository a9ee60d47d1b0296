#include "filbertvane/decision/mesh/ShutdownSchedule.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Callers learn within two questions, one a second, that a node stops.
constexpr core::Milliseconds AnnounceTime{2300};
/// Left over from the given time, for the end of the process itself.
constexpr core::Milliseconds Reserve{400};

} // namespace

ShutdownSchedule::ShutdownSchedule(core::TimePoint Now,
                                   core::Milliseconds GivenTime)
    : DrainAt(Now + std::min(AnnounceTime, GivenTime / 2)),
      Deadline(Now + std::max(GivenTime - Reserve, GivenTime / 2)) {}

ShutdownStep ShutdownSchedule::stepAt(core::TimePoint Now,
                                      std::size_t Active) const {
  if (Now < DrainAt)
    return ShutdownStep::Accept;
  if (Active > 0 && Now < Deadline)
    return ShutdownStep::Drain;
  return ShutdownStep::Exit;
}

} // namespace filbertvane::decision::mesh
