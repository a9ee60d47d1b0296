#include "filbertvane/decision/mesh/ShutdownSchedule.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Callers check the readiness of a node every second and notice its shutdown
/// within two checks.
constexpr core::Milliseconds ShutdownNoticeTime{2300};
/// Part of the given time that is reserved for the exit of the process.
constexpr core::Milliseconds ExitReserve{400};

} // namespace

ShutdownSchedule::ShutdownSchedule(core::TimePoint Now,
                                   core::Milliseconds GivenTime)
    : DrainAt(Now + std::min(ShutdownNoticeTime, GivenTime / 2)),
      Deadline(Now + std::max(GivenTime - ExitReserve, GivenTime / 2)) {}

ShutdownStep ShutdownSchedule::stepAt(core::TimePoint Now,
                                      std::size_t Active) const {
  if (Now < DrainAt)
    return ShutdownStep::Accept;
  if (Active > 0 && Now < Deadline)
    return ShutdownStep::Drain;
  return ShutdownStep::Exit;
}

} // namespace filbertvane::decision::mesh
