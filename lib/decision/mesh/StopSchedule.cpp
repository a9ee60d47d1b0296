#include "filbertvane/decision/mesh/StopSchedule.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Callers learn within two questions, one a second, that a node stops.
constexpr core::Milliseconds AnnounceTime{2300};
/// Left over from the given time, for the end of the process itself.
constexpr core::Milliseconds Reserve{400};

} // namespace

StopSchedule::StopSchedule(core::TimePoint Now, core::Milliseconds GivenTime)
    : CallersKnow(Now + std::min(AnnounceTime, GivenTime / 2)),
      Latest(Now + std::max(GivenTime - Reserve, GivenTime / 2)) {}

StopStep StopSchedule::at(core::TimePoint Now, std::size_t Active) const {
  if (Now < CallersKnow)
    return StopStep::Serve;
  if (Active > 0 && Now < Latest)
    return StopStep::Finish;
  return StopStep::End;
}

} // namespace filbertvane::decision::mesh
