#ifndef FILBERTVANE_DECISION_ROLLOUT_NODEMONITOR_H
#define FILBERTVANE_DECISION_ROLLOUT_NODEMONITOR_H

#include "filbertvane/decision/Step.h"
#include "filbertvane/decision/rollout/Evidence.h"
#include "filbertvane/decision/rollout/LocalRollback.h"
#include "filbertvane/decision/rollout/Windows.h"
#include "filbertvane/observe/LogEvent.h"
#include <memory>

namespace filbertvane::decision::rollout {

/// Period after which standing overlays are sent again, for receivers that
/// missed them and for a new lead or coordinator.
inline constexpr core::Seconds LocalRollbackSendPeriod{1};

/// @name Events
/// @{

/// @brief A configuration took effect on this node.
struct FleetChanged {
  std::shared_ptr<const config::FleetState> State;
};
/// @brief Counts of another node arrived.
struct EvidenceReceived {
  Evidence Report;
};
/// @brief An overlay of another node arrived.
struct LocalRollbackReceived {
  LocalRollback Rollback;
};
/// @brief This node became or ceased to be the lead of its data centre.
struct LeadershipChanged {
  bool IsLead = false;
};
/// @brief Periodic event.
struct Tick {};

using MonitorEvent =
    std::variant<FleetChanged, request::Observed, EvidenceReceived,
                 LocalRollbackReceived, LeadershipChanged, Tick>;
/// @}

/// @name Effects
/// @{

/// @brief Recipient of a message of the guard.
enum class Recipient { Lead, Members, Coordinator };

/// @brief Send the cumulative counts.
struct SendEvidence {
  Recipient To = Recipient::Lead;
  Evidence Report;
};
/// @brief Send an overlay.
struct SendLocalRollback {
  Recipient To = Recipient::Lead;
  LocalRollback Rollback;
};
/// @brief Moves whose new version gets no request on this node from now on.
struct LocalRollbacksChanged {
  std::vector<config::MoveId> Moves;
};

using MonitorEffect = std::variant<SendEvidence, SendLocalRollback,
                                   LocalRollbacksChanged, observe::LogEvent>;
using MonitorEffects = std::vector<MonitorEffect>;
/// @}

/// @brief State of the guard of a node, and of its data centre when it leads.
struct MonitorState {
  /// @name Identity
  /// @{
  core::NodeId Self;
  core::Incarnation SelfIncarnation;
  core::DataCentreId DataCentre;
  /// @}

  /// @name Own answers
  /// @{
  std::shared_ptr<const config::FleetState> Fleet;
  NodeCounter Counter;
  /// Sent to the lead.
  Evidence OwnEvidence;
  MoveWindows OwnWindows{LocalSharedFaultSignificance};
  /// @}

  /// @name Data centre, when leading
  /// @{
  bool IsLead = false;
  EvidenceTable MemberEvidence;
  /// Sum of what the members added while this node led; sent to the
  /// coordinator.
  Evidence PooledEvidence;
  MoveWindows PooledWindows{LocalSharedFaultSignificance};
  /// @}

  LocalRollbackSet LocalRollbacks;
  /// Moves last given out in LocalRollbacksChanged.
  std::vector<config::MoveId> ActiveRollbacks;
  bool OwnChanged = false;
  bool PooledChanged = false;
  core::TimePoint NextReportAt;
  core::TimePoint NextPromptReportAt;
  core::TimePoint NextRollbackSendAt;
};

/// @brief Guard of a node that has just started.
MonitorState makeMonitorState(core::NodeId Self,
                              core::Incarnation SelfIncarnation,
                              core::DataCentreId DataCentre);

/// @brief Handles one event at a node.
///
/// A node judges its own answers, a lead those of its data centre. A proven
/// finding, or a suspicion at a share where the old version is too quiet to
/// prove it, withdraws the new version at once.
Step<MonitorState, MonitorEffects>
reduce(MonitorState State, const MonitorEvent &Event, core::Instant Now);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_NODEMONITOR_H
