#ifndef FILBERTVANE_DECISION_MESH_STOPSCHEDULE_H
#define FILBERTVANE_DECISION_MESH_STOPSCHEDULE_H

#include "filbertvane/core/Time.h"
#include <cstddef>

namespace filbertvane::decision::mesh {

/// @brief Steps of a graceful shutdown.
enum class StopStep {
  /// Serve callers that do not know yet that the node stops.
  Serve,
  /// Take no further connection; finish the requests in progress.
  Finish,
  /// End the process.
  End,
};

/// @brief Decides how far a graceful shutdown has come.
///
/// Without the second step a loaded node always has a request in progress,
/// runs into the end of its time and cuts those that it took last.
class StopSchedule {
public:
  /// @param Now begin of the shutdown
  /// @param GivenTime time after which the process is killed
  StopSchedule(core::TimePoint Now, core::Milliseconds GivenTime);

  /// @param Active requests in progress
  StopStep at(core::TimePoint Now, std::size_t Active) const;
  /// @brief Time at which the process ends whatever is in progress.
  core::TimePoint latest() const { return Latest; }

private:
  core::TimePoint CallersKnow;
  core::TimePoint Latest;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_STOPSCHEDULE_H
