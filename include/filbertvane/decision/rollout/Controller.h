#ifndef FILBERTVANE_DECISION_ROLLOUT_CONTROLLER_H
#define FILBERTVANE_DECISION_ROLLOUT_CONTROLLER_H

#include "filbertvane/decision/rollout/NodeMonitor.h"
#include "filbertvane/decision/rollout/Schedule.h"

namespace filbertvane::decision::rollout {

/// Time after which an appended record that has not been read back from the log
/// is appended again. Applying a record twice has no effect.
inline constexpr core::Seconds ReadBackTimeout{2};

/// Time after a takeover of the lease in which the first evidence reports of
/// the data centre leads arrive.
inline constexpr core::Seconds TakeoverReportWindow{2};

/// Time for which a suspected version gets no requests before it gets a share
/// again.
inline constexpr core::Seconds SuspicionRetryDelay{5};

/// Delay before the old version is checked again after it was found to fail
/// too.
inline constexpr core::Seconds SuspicionRecheckDelay{2};

/// Suspicions after which a move is rolled back. A fault that stops when the
/// new version is withdrawn and returns with it is attributed to the new
/// version.
inline constexpr int MaxSuspicions = 2;

/// @name Events
/// @{

/// @brief The ready slots of all targets of one version of a service changed.
struct SlotsChanged {
  core::ServiceName Service;
  core::TargetVersion Version;
  std::uint32_t Slots = 0;
  std::uint32_t InUse = 0;
};
/// @brief A data centre reported the lowest configuration version that its
///        nodes hold.
struct DataCentreReported {
  core::DataCentreId DataCentre;
  core::ConfigVersion LowestVersion;
};
/// @brief A data centre cannot be reached.
struct DataCentreLost {
  core::DataCentreId DataCentre;
  core::WallTime UnreachableSince;
};
/// @brief This node holds the coordinator lease.
struct LeaseGained {
  core::Epoch Epoch;
};
/// @brief This node no longer holds the coordinator lease.
struct LeaseLost {};
/// @brief The platform log became reachable or unreachable.
struct LogAvailabilityChanged {
  bool Available = true;
};

using ControllerEvent =
    std::variant<FleetChanged, EvidenceReceived, LocalRollbackReceived,
                 SlotsChanged, DataCentreReported, DataCentreLost, LeaseGained,
                 LeaseLost, LogAvailabilityChanged, Tick>;
/// @}

/// @name Effects
/// @{

/// @brief Append a record to the `config` stream.
struct AppendRecord {
  config::RecordBody Body;
};
/// @brief Send a rollback for the whole fleet to the leads of all data centres.
struct PublishLocalRollback {
  LocalRollback Rollback;
};

using ControllerEffect =
    std::variant<AppendRecord, PublishLocalRollback, observe::LogEvent>;
using ControllerEffects = std::vector<ControllerEffect>;
/// @}

/// @brief Volatile data of the coordinator about one move.
///
/// It is not part of the fleet state: a new coordinator starts without it.
struct MoveContext {
  /// @name Appended record that has not been read back
  /// @{
  std::optional<config::RecordBody> PendingRecord;
  core::TimePoint AppendRetryAt;
  /// @}

  /// @name Progress
  /// @{
  std::optional<config::Permille> Share;
  MoveCounts CountsAtStep;
  core::WallTime EarliestStepAt;
  /// Set once a rollback is decided.
  std::optional<config::MoveDecision> RollbackVerdict;
  /// @}

  /// @name Suspicion
  /// @{
  int SuspicionCount = 0;
  std::optional<core::TimePoint> SuspicionRetryAt;
  MoveCounts CountsAtSuspicion;
  /// @}

  /// Events already logged for the move; each is logged once.
  std::set<observe::EventId> LoggedEvents;
};

/// @brief State of the coordinator for all moves.
struct ControllerState {
  std::shared_ptr<const config::FleetState> Fleet;
  /// Epoch of the held lease; none without a lease.
  std::optional<core::Epoch> LeaseEpoch;
  bool LogAvailable = true;

  EvidenceTable EvidenceBySender;
  MoveWindows Windows;
  LocalRollbackSet LocalRollbacks;
  std::map<config::MoveId, MoveContext> MoveContexts;

  struct VersionSlots {
    std::uint32_t Slots = 0;
    std::uint32_t InUse = 0;
  };
  std::map<std::pair<core::ServiceName, core::TargetVersion>, VersionSlots>
      SlotsByVersion;

  struct DataCentreStatus {
    core::ConfigVersion LowestVersion;
    std::optional<core::WallTime> UnreachableSince;
  };
  std::map<core::DataCentreId, DataCentreStatus> DataCentres;
  core::TimePoint InForceRetryAt;
  core::TimePoint TakeoverUntil;
  core::TimePoint NextPeriodAt;
  core::TimePoint NextRollbackPublishAt;
};

/// @brief Handles one event at the coordinator, or at a candidate for it.
///
/// Appends only while the lease is held and the log can be reached. Evidence
/// and local rollbacks are recorded without the lease too.
Step<ControllerState, ControllerEffects>
reduce(ControllerState State, const ControllerEvent &Event, core::Instant Now);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_CONTROLLER_H
