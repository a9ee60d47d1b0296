#ifndef FILBERTVANE_LIB_CONFIG_MOVERECORDS_H
#define FILBERTVANE_LIB_CONFIG_MOVERECORDS_H

#include "filbertvane/config/FleetState.h"

namespace filbertvane::config {

/// Ended moves kept for reports; the oldest is dropped first.
inline constexpr std::size_t MaxEndedMoves = 100;
/// Bytes kept of the reason of a decision.
inline constexpr std::size_t MaxReasonBytes = 160;

/// @name Application of coordinator records, whose epoch has been checked
/// @{
RecordOutcome applyStep(FleetState &State, const MoveStepped &Step);
RecordOutcome applyRollback(FleetState &State, const MoveRolledBack &Rollback);
RecordOutcome applyCompletion(FleetState &State,
                              const MoveCompleted &Completion);
/// @}

/// @brief Ends the move of a service because its spec changed or was removed.
void supersedeMove(FleetState &State, const core::ServiceName &Service,
                   core::WallTime At);

/// @brief Raises the configuration version by one.
Accepted nextVersion(FleetState &State);

/// @brief Error detail such as `epoch 3, current epoch 4`.
std::string epochDetail(core::Epoch Carried, core::Epoch Current);

} // namespace filbertvane::config

#endif // FILBERTVANE_LIB_CONFIG_MOVERECORDS_H
