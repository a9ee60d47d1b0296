#ifndef FILBERTVANE_DECISION_MESH_EVENTS_H
#define FILBERTVANE_DECISION_MESH_EVENTS_H

#include "filbertvane/config/Routing.h"
#include "filbertvane/decision/mesh/HostReport.h"
#include "filbertvane/decision/mesh/MoveTracker.h"
#include "filbertvane/decision/request/Events.h"

namespace filbertvane::decision::mesh {

/// @name Events
/// Requests come in as the events of decision/request/Events.h.
/// @{

/// @brief The target of this host announced itself.
struct TargetAnnounced {
  core::TargetId Id;
  core::ServiceName Service;
  core::TargetVersion Version;
  std::uint32_t Slots = 0;
  bool Draining = false;
  /// How much longer the target is slow after its start.
  core::Milliseconds ColdLeft{0};
  /// Start of the target's process; tells two lives under one id apart.
  std::uint64_t Born = 0;
  /// Rises with each announcement of one life.
  std::uint64_t Sequence = 0;
};
/// @brief The target of this host said that it leaves for good.
struct TargetDeregistered {
  core::TargetId Id;
};
/// @brief A report came from another node.
struct ReportHeard {
  HostReport What;
};
/// @brief Reports of hosts were read in the store.
struct ReportsLearned {
  std::vector<HostReport> All;
};
/// @brief A configuration was read; a lower version has no effect.
struct RoutingLearned {
  std::shared_ptr<const config::RoutingTable> Table;
};
/// @brief All operators' records up to an offset have been read.
struct PositionReached {
  core::LogOffset Position;
};
/// @brief The store holds the end of a move.
struct MoveEndKnown {
  core::ServiceName Service;
  core::TargetVersion To;
  MovePhase Phase = MovePhase::Completed;
};
/// @brief The store began or ceased to answer.
struct StoreChanged {
  bool Reachable = false;
};
/// @brief The process was told to stop.
struct StopAnnounced {
  /// Time at which it ends whatever is in progress.
  core::TimePoint Latest;
};
/// @brief The settings name the service of this host.
struct ServiceAssigned {
  core::ServiceName Service;
};

using Event = std::variant<
    request::CallArrived, request::AnswerStarted, request::AttemptEnded,
    request::CallerDisconnected, TargetAnnounced, TargetDeregistered,
    ReportHeard, ReportsLearned, RoutingLearned, PositionReached, MoveOrdered,
    MoveEndKnown, StoreChanged, ServiceAssigned, StopAnnounced, request::Tick>;
/// @}

/// @name Effects
/// @{

/// @brief Send the own report to hosts.
struct SendReport {
  HostReport What;
  /// IP addresses.
  std::vector<std::string> To;
};
/// @brief Put the own report into the store, where new hosts find it.
struct PublishReport {
  HostReport What;
};
/// @brief Write the state of a move into the store.
struct WriteMove {
  core::ServiceName Service;
  core::TargetVersion To;
  MovePhase Phase = MovePhase::Running;
};
/// @brief Ask another node for the operators' records.
struct FetchRecords {
  /// IP address.
  std::string From;
};
/// @brief Follow the operators' records in the store, or leave that to other
///        nodes of the data centre.
struct FollowStore {
  bool Follow = true;
};
/// @brief The node can, or can no longer, take requests of callers.
struct ReadinessChanged {
  bool Ready = false;
};

using Effect = std::variant<request::StartAttempt, request::DeliverAnswer,
                            request::CancelAttempt, request::Refuse, SendReport,
                            PublishReport, WriteMove, FetchRecords, FollowStore,
                            ReadinessChanged, observe::LogEvent>;
using Effects = std::vector<Effect>;
/// @}

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_EVENTS_H
