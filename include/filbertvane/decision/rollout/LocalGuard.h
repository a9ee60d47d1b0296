#ifndef FILBERTVANE_DECISION_ROLLOUT_LOCALGUARD_H
#define FILBERTVANE_DECISION_ROLLOUT_LOCALGUARD_H

#include "filbertvane/decision/Step.h"
#include "filbertvane/decision/rollout/Evidence.h"
#include "filbertvane/decision/rollout/Overlay.h"
#include "filbertvane/decision/rollout/Windows.h"
#include "filbertvane/observe/LogEvent.h"
#include <memory>

namespace filbertvane::decision::rollout {

/// Period after which standing overlays are sent again, for receivers that
/// missed them and for a new lead or coordinator.
inline constexpr core::Seconds OverlayPeriod{1};

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
struct OverlayReceived {
  Overlay Value;
};
/// @brief This node became or ceased to be the lead of its data centre.
struct LeadershipChanged {
  bool IsLead = false;
};
/// @brief Periodic event.
struct Tick {};

using GuardEvent =
    std::variant<FleetChanged, request::ObservedAnswer, EvidenceReceived,
                 OverlayReceived, LeadershipChanged, Tick>;
/// @}

/// @name Effects
/// @{

/// @brief Receiver of a message of the guard.
enum class Receiver { Lead, Members, Coordinator };

/// @brief Send the cumulative counts.
struct SendEvidence {
  Receiver To = Receiver::Lead;
  Evidence Report;
};
/// @brief Send an overlay.
struct SendOverlay {
  Receiver To = Receiver::Lead;
  Overlay Value;
};
/// @brief Moves whose new version gets no request on this node from now on.
struct LocalRollbacksChanged {
  std::vector<config::MoveId> Moves;
};

using GuardEffect = std::variant<SendEvidence, SendOverlay,
                                 LocalRollbacksChanged, observe::LogEvent>;
using GuardEffects = std::vector<GuardEffect>;
/// @}

/// @brief State of the guard of a node, and of its data centre when it leads.
struct GuardState {
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
  Evidence Own;
  MoveWindows OwnWindows{LocalSharedFaultChance};
  /// @}

  /// @name Data centre, when leading
  /// @{
  bool IsLead = false;
  EvidenceTable Members;
  /// Sum of what the members added while this node led; sent to the
  /// coordinator.
  Evidence Pooled;
  MoveWindows PooledWindows{LocalSharedFaultChance};
  /// @}

  OverlaySet Overlays;
  /// Moves last given out in LocalRollbacksChanged.
  std::vector<config::MoveId> InForce;
  bool OwnChanged = false;
  bool PooledChanged = false;
  core::TimePoint NextReport;
  core::TimePoint NextPromptReport;
  core::TimePoint NextOverlays;
};

/// @brief Guard of a node that has just started.
GuardState guardOf(core::NodeId Self, core::Incarnation SelfIncarnation,
                   core::DataCentreId DataCentre);

/// @brief Handles one event at a node.
///
/// A node judges its own answers, a lead those of its data centre. A proven
/// finding, or a suspicion at a share where the old version is too quiet to
/// prove it, withdraws the new version at once.
Step<GuardState, GuardEffects> reduce(GuardState State, const GuardEvent &Event,
                                      core::Instant Now);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_LOCALGUARD_H
