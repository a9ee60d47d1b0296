#ifndef FILBERTVANE_DECISION_ROLLOUT_CONTROLLER_H
#define FILBERTVANE_DECISION_ROLLOUT_CONTROLLER_H

#include "filbertvane/decision/rollout/NodeMonitor.h"
#include "filbertvane/decision/rollout/Schedule.h"

namespace filbertvane::decision::rollout {

/// Time after which a record that was appended and not read back is appended
/// again; the fold makes the repetition harmless.
inline constexpr core::Seconds ReadBackTimeout{2};

/// Time after a takeover in which the first reports of the leads arrive.
inline constexpr core::Seconds TakeoverReportWindow{2};

/// Time for which a suspected version gets no requests before it is tried
/// again.
inline constexpr core::Seconds SuspicionRetryDelay{5};

/// Time after which the old version is looked at again when it failed too.
inline constexpr core::Seconds SuspicionRecheckDelay{2};

/// Suspicions after which a move is rolled back: a fault that came with the new
/// version, went with it and came again with it is not a coincidence.
inline constexpr int MaxSuspicions = 2;

/// @name Events
/// @{

/// @brief Ready slots of all targets of one version of a service changed.
struct SlotsChanged {
  core::ServiceName Service;
  core::TargetVersion Version;
  std::uint32_t Slots = 0;
  std::uint32_t InUse = 0;
};
/// @brief A data centre reported the lowest version that its nodes hold.
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
/// @brief The platform log can or cannot be reached.
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
/// @brief Send an overlay for the whole fleet to all data centre leads.
struct PublishLocalRollback {
  LocalRollback Rollback;
};

using ControllerEffect =
    std::variant<AppendRecord, PublishLocalRollback, observe::LogEvent>;
using ControllerEffects = std::vector<ControllerEffect>;
/// @}

/// @brief What the coordinator remembers of a move beside the fleet state.
///
/// It may be lost at any time: a new coordinator starts without it.
struct MoveContext {
  /// @name Record that was appended and not read back
  /// @{
  std::optional<config::RecordBody> PendingRecord;
  core::TimePoint AppendRetryAt;
  /// @}

  /// @name Progress
  /// @{
  std::optional<config::Permille> Share;
  MoveCounts CountsAtStep;
  core::WallTime EarliestStepAt;
  /// Figures that roll the move back, once decided.
  std::optional<config::MoveDecision> RollbackVerdict;
  /// @}

  /// @name Suspicion
  /// @{
  int SuspicionCount = 0;
  std::optional<core::TimePoint> SuspicionRetryAt;
  MoveCounts CountsAtSuspicion;
  /// @}

  /// Events that were logged for the move, so that each is logged once.
  std::set<observe::EventId> LoggedEvents;
};

/// @brief State of the coordinator's part of all moves.
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
/// and overlays are kept also without the lease.
Step<ControllerState, ControllerEffects>
reduce(ControllerState State, const ControllerEvent &Event, core::Instant Now);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_CONTROLLER_H
