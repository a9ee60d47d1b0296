#ifndef FILBERTVANE_DECISION_MESH_EVENTS_H
#define FILBERTVANE_DECISION_MESH_EVENTS_H

#include "filbertvane/config/Routing.h"
#include "filbertvane/decision/mesh/HostReport.h"
#include "filbertvane/decision/mesh/MoveTracker.h"
#include "filbertvane/decision/mesh/quota/QuotaMessages.h"
#include "filbertvane/decision/request/Events.h"

namespace filbertvane::decision::mesh {

/// @name Events
/// Request events are those of decision/request/Events.h.
/// @{

/// @brief The target on this host announced itself.
struct TargetAnnounced {
  core::TargetId Id;
  core::ServiceName Service;
  core::TargetVersion Version;
  std::uint32_t Slots = 0;
  bool Draining = false;
  /// Time for which the target remains slow after its start.
  core::Milliseconds RemainingWarmup{0};
  /// Start of the target's process; distinguishes processes that share an id.
  /// 0 when the target does not state it.
  std::uint64_t ProcessStart = 0;
  /// Increases with each announcement of one process.
  std::uint64_t Sequence = 0;
};
/// @brief The target on this host is leaving permanently.
struct TargetDeregistered {
  core::TargetId Id;
  /// Start of the target's process; 0 when the target does not state it.
  std::uint64_t ProcessStart = 0;
};
/// @brief A report from another node arrived.
struct ReportReceived {
  HostReport Report;
};
/// @brief Host reports were read from the store.
struct StoredReportsRead {
  std::vector<HostReport> Reports;
};
/// @brief A configuration was loaded; a lower version is ignored.
struct RoutingLoaded {
  std::shared_ptr<const config::RoutingTable> Table;
};
/// @brief All operator records up to a position have been read.
struct PositionReached {
  StorePosition Position;
  /// Records in force that the store has lost, and a digest of them.
  std::size_t LostRecords = 0;
  core::Digest LostDigest = {};
};
/// @brief The store was restored from an older copy.
struct StoreRestored {
  core::StoreEra Era;
};
/// @brief An operator evacuates a data centre, or takes it back: while it is
///        evacuated, its targets get no requests.
struct EvacuationOrdered {
  core::DataCentreId DataCentre;
  bool Active = false;
  /// Position of the order in the operator records.
  StorePosition OrderPosition;
  /// The order is known; the store has it at another position.
  bool Renumbered = false;
};
/// @brief The state of a move was read from the store.
struct MoveStateRead {
  core::ServiceName Service;
  core::TargetVersion NewVersion;
  MovePhase Phase = MovePhase::Completed;
};
/// @brief The store became reachable or unreachable.
struct StoreReachabilityChanged {
  bool Reachable = false;
};
/// @brief The process was told to shut down.
struct ShutdownRequested {
  /// Time at which the process exits even if requests are in progress.
  core::TimePoint Deadline;
};
/// @brief The process exits at once; requests in progress end now.
struct ExitDue {};
/// @brief The settings assign a service to this host.
struct ServiceAssigned {
  core::ServiceName Service;
};

/// @brief Another node lends its shares of quotas, or asks for tokens.
struct QuotaRequestReceived {
  quota::QuotaRequest Request;
};
/// @brief The owner of some tenants' quotas answered.
struct QuotaReplyReceived {
  quota::QuotaReply Reply;
};

using Event = std::variant<
    request::CallArrived, request::AnswerStarted, request::AttemptEnded,
    request::CallerDisconnected, TargetAnnounced, TargetDeregistered,
    ReportReceived, StoredReportsRead, RoutingLoaded, PositionReached,
    StoreRestored, MoveOrdered, EvacuationOrdered, MoveStateRead,
    StoreReachabilityChanged, ServiceAssigned, ShutdownRequested, ExitDue,
    request::Tick, QuotaRequestReceived, QuotaReplyReceived>;
/// @}

/// @name Effects
/// @{

/// @brief Send this node's report to hosts.
struct SendReport {
  HostReport Report;
  /// IP addresses.
  std::vector<std::string> Addresses;
};
/// @brief Send a message about quotas to a host.
struct SendQuota {
  std::variant<quota::QuotaRequest, quota::QuotaReply> Message;
  /// IP address.
  std::string Address;
};
/// @brief Write this node's report to the store, where new hosts find it.
struct PublishReport {
  HostReport Report;
};
/// @brief Write the state of a move to the store.
struct WriteMove {
  core::ServiceName Service;
  core::TargetVersion NewVersion;
  MovePhase Phase = MovePhase::Running;
};
/// @brief Request the operator records from another node.
struct FetchRecords {
  /// IP address.
  std::string PeerAddress;
};
/// @brief Start or stop following the operator records in the store; while
///        stopped, other nodes of the data centre follow it.
struct FollowStore {
  bool Follow = true;
};
/// @brief Longest time for which the store may hold a read of the operator
///        records back.
struct SetReadHold {
  core::Milliseconds Hold{0};
};
/// @brief Read the store after a restore, and write what it may have lost.
struct RecoverFromRestore {
  core::StoreEra Era;
  /// Time at which the list of records is read unless another node has brought
  /// them before.
  core::TimePoint ReadListAt;
  /// Time at which the report of this node is written again.
  core::TimePoint PublishAt;
};
/// @brief The node became ready, or is no longer ready, for caller requests.
struct ReadinessChanged {
  bool Ready = false;
};

using Effect = std::variant<request::StartAttempt, request::DeliverAnswer,
                            request::CancelAttempt, request::Refuse, SendReport,
                            PublishReport, WriteMove, FetchRecords, FollowStore,
                            SetReadHold, RecoverFromRestore, ReadinessChanged,
                            SendQuota, observe::LogEvent>;
using Effects = std::vector<Effect>;
/// @}

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_EVENTS_H
