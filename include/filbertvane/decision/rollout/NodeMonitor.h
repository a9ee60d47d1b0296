#ifndef FILBERTVANE_DECISION_ROLLOUT_NODEMONITOR_H
#define FILBERTVANE_DECISION_ROLLOUT_NODEMONITOR_H

#include "filbertvane/decision/Step.h"
#include "filbertvane/decision/rollout/Evidence.h"
#include "filbertvane/decision/rollout/LocalRollback.h"
#include "filbertvane/decision/rollout/Windows.h"
#include "filbertvane/observe/LogEvent.h"
#include <memory>

namespace filbertvane::decision::rollout {

/// Period after which active local rollbacks are sent again, for recipients
/// that missed them and for a new lead or coordinator.
inline constexpr core::Seconds LocalRollbackSendPeriod{1};

/// @name Events
/// @{

/// @brief A configuration took effect on this node.
struct FleetChanged {
  std::shared_ptr<const config::FleetState> State;
};
/// @brief An evidence report of a node arrived.
struct EvidenceReceived {
  Evidence Report;
};
/// @brief A local rollback of another node arrived.
struct LocalRollbackReceived {
  LocalRollback Rollback;
};
/// @brief This node became the lead of its data centre, or ceased to be it.
struct LeadershipChanged {
  bool IsLead = false;
};
/// @brief Periodic event.
struct Tick {};

using MonitorEvent =
    std::variant<FleetChanged, request::ObservedAnswer, EvidenceReceived,
                 LocalRollbackReceived, LeadershipChanged, Tick>;
/// @}

/// @name Effects
/// @{

/// @brief Recipient of a message of the monitor.
enum class Recipient { Lead, Members, Coordinator };

/// @brief Send an evidence report.
struct SendEvidence {
  Recipient To = Recipient::Lead;
  Evidence Report;
};
/// @brief Send a local rollback.
struct SendLocalRollback {
  Recipient To = Recipient::Lead;
  LocalRollback Rollback;
};
/// @brief The set of moves whose new version gets no requests on this node
///        changed.
struct LocalRollbacksChanged {
  std::vector<config::MoveId> Moves;
};

using MonitorEffect = std::variant<SendEvidence, SendLocalRollback,
                                   LocalRollbacksChanged, observe::LogEvent>;
using MonitorEffects = std::vector<MonitorEffect>;
/// @}

/// @brief State of the rollout monitor of a node, and of its data centre while
///        the node is the lead.
struct MonitorState {
  /// @name Identity
  /// @{
  core::NodeId Self;
  core::Incarnation SelfIncarnation;
  core::DataCentreId DataCentre;
  /// @}

  /// @name Answers seen by this node
  /// @{
  std::shared_ptr<const config::FleetState> Fleet;
  NodeCounter Counter;
  /// Sent to the lead.
  Evidence OwnEvidence;
  MoveWindows OwnWindows{LocalSharedFaultSignificance};
  /// @}

  /// @name Data centre, while this node is the lead
  /// @{
  bool IsLead = false;
  EvidenceTable MemberEvidence;
  /// Sum of the counts added by the members while this node was the lead; sent
  /// to the coordinator.
  Evidence PooledEvidence;
  MoveWindows PooledWindows{LocalSharedFaultSignificance};
  /// @}

  LocalRollbackSet LocalRollbacks;
  /// Moves in the last LocalRollbacksChanged.
  std::vector<config::MoveId> ActiveRollbacks;
  bool OwnChanged = false;
  bool PooledChanged = false;
  core::TimePoint NextReportAt;
  core::TimePoint NextPromptReportAt;
  core::TimePoint NextRollbackSendAt;
};

/// @brief Initial state of the monitor of a node.
MonitorState makeMonitorState(core::NodeId Self,
                              core::Incarnation SelfIncarnation,
                              core::DataCentreId DataCentre);

/// @brief Handles one event at a node.
///
/// A node evaluates its own answers, a lead those of its data centre. The new
/// version is withdrawn at once on a proven finding, and on a suspicion at a
/// share at which the old version gets too few requests to confirm it.
Step<MonitorState, MonitorEffects>
reduce(MonitorState State, const MonitorEvent &Event, core::Instant Now);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_NODEMONITOR_H
