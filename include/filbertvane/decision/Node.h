#ifndef FILBERTVANE_DECISION_NODE_H
#define FILBERTVANE_DECISION_NODE_H

#include "filbertvane/decision/directory/Directory.h"
#include "filbertvane/decision/distribution/Distribution.h"
#include "filbertvane/decision/lease/Lease.h"
#include "filbertvane/decision/membership/Membership.h"
#include "filbertvane/decision/request/Reducer.h"
#include "filbertvane/decision/rollout/Controller.h"

namespace filbertvane::decision {

/// @brief Identity and settings of a node process.
struct NodeSettings {
  core::NodeId Node;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  core::Incarnation Incarnation;
  std::string ControlAddress;
  std::string ExternalControlAddress;
  std::string PeerAddress;
  /// Control addresses of seeds in this data centre and in others.
  std::vector<std::string> LocalSeeds;
  std::vector<std::string> RemoteSeeds;
  /// Time for which the log keeps a record.
  core::Seconds LogRetention{};
  std::uint64_t RandomSeed = 0;
  distribution::Fold Folding;
};

/// @brief Writer id under which a process appends to the log.
core::WriterId writerOf(const NodeSettings &Settings);

/// @name External events
/// Events of the components are passed on unchanged; messages of other nodes
/// enter as `ControlReceived` and are dispatched to the component concerned.
/// @{
struct ControlReceived {
  Peer From;
  core::DataCentreId DataCentre;
  wire::ControlMessage Payload;
};
struct Started {};
/// @brief Sent by the caller every 50 ms.
struct Tick {};
struct DrainStarted {};
/// @brief The target of this host announced itself.
struct TargetAnnounced {
  membership::TargetAnnouncement Announcement;
  /// `ip:port` at which the target serves.
  std::string Address;
};
/// @brief The target of this host left or its announcement expired.
struct TargetGone {
  core::TargetId Id;
  bool Expired = false;
};

using NodeEvent =
    std::variant<Started, Tick, DrainStarted, ControlReceived, TargetAnnounced,
                 TargetGone, membership::Event, distribution::Event,
                 lease::Event, directory::Event, request::Event,
                 rollout::MonitorEvent, rollout::ControllerEvent>;
/// @}

/// @name Effects that the caller carries out
/// @{
struct SendControl {
  std::string To;
  wire::ControlMessage Payload;
};
/// @brief Appends a record to the `config` stream.
struct AppendConfig {
  config::LogRecord Record;
};
struct ClaimReceived {
  Peer From;
  wire::ClaimRequest Request;
};
struct ClaimReplied {
  wire::ClaimReply Reply;
};

using NodeEffect = std::variant<
    SendControl, AppendConfig, ClaimReceived, ClaimReplied,
    distribution::ReadLog, distribution::CheckLogEnd,
    distribution::StateAdopted, distribution::ReadyChanged,
    lease::AppendRenewal, request::StartAttempt, request::DeliverAnswer,
    request::CancelAttempt, request::Refuse, request::RequestClaim,
    request::AnswerFromOwner, request::SendKeptAnswer, observe::LogEvent>;
using NodeEffects = std::vector<NodeEffect>;
/// @}

/// @brief State of all decision components of one node.
struct NodeState {
  explicit NodeState(NodeSettings Settings);

  NodeSettings Local;
  membership::State Membership;
  distribution::State Distribution;
  directory::State Directory;
  lease::State Lease;
  request::State Requests;
  rollout::MonitorState Guard;
  rollout::ControllerState Controller;

  std::shared_ptr<const config::FleetState> Fleet;
  std::vector<config::MoveId> LocalRollbacks;
  /// `ip:port` of the target of this host.
  std::string TargetAddress;
  /// Slots last reported to the rollout controller.
  std::map<std::pair<core::ServiceName, core::TargetVersion>, std::uint32_t>
      ReportedSlots;
  /// Sequence number of the last record appended by this process.
  std::uint64_t LastSequence = 0;
  /// Time of the next snapshot of the fleet state while this node is the
  /// coordinator.
  core::TimePoint NextSnapshot;
  core::LogOffset LastSnapshotOffset;
};

/// @brief Applies one event to all components that it concerns.
///
/// Effects of one component that are events of another are handled before the
/// function returns; only effects for the caller remain.
Step<NodeState, NodeEffects> reduce(NodeState Before, NodeEvent Event,
                                    core::Instant Now);

/// @brief Member of the data centre that keeps the claims of a partition; none
///        without live members.
std::optional<Peer> claimKeeper(const NodeState &State,
                                std::uint32_t Partition);

} // namespace filbertvane::decision

#endif // FILBERTVANE_DECISION_NODE_H
