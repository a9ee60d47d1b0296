#ifndef FILBERTVANE_DECISION_MESH_SHUTDOWNSCHEDULE_H
#define FILBERTVANE_DECISION_MESH_SHUTDOWNSCHEDULE_H

#include "filbertvane/core/Time.h"
#include <cstddef>

namespace filbertvane::decision::mesh {

/// @brief Steps of a graceful shutdown.
enum class ShutdownStep {
  /// Accept requests of callers that have not noticed the shutdown yet.
  Accept,
  /// Accept no further connections; finish the requests in progress.
  Drain,
  /// Exit the process.
  Exit,
};

/// @brief Determines the step of a graceful shutdown.
///
/// Without the drain step, a loaded node always has requests in progress, runs
/// into the deadline and cuts off the last ones.
class ShutdownSchedule {
public:
  /// @param Now start of the shutdown
  /// @param GivenTime time after which the process is killed
  ShutdownSchedule(core::TimePoint Now, core::Milliseconds GivenTime);

  /// @param Active requests in progress
  ShutdownStep stepAt(core::TimePoint Now, std::size_t Active) const;
  /// @brief Time at which the process exits even if requests are in progress.
  core::TimePoint deadline() const { return Deadline; }

private:
  core::TimePoint DrainAt;
  core::TimePoint Deadline;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_SHUTDOWNSCHEDULE_H
