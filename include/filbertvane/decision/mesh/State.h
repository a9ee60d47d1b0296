#ifndef FILBERTVANE_DECISION_MESH_STATE_H
#define FILBERTVANE_DECISION_MESH_STATE_H

#include "filbertvane/decision/mesh/CallerAccess.h"
#include "filbertvane/decision/mesh/CrashSuspects.h"
#include "filbertvane/decision/mesh/Events.h"
#include "filbertvane/decision/mesh/HostDirectory.h"
#include "filbertvane/decision/mesh/LocalRuns.h"
#include "filbertvane/decision/mesh/MoveTracker.h"
#include "filbertvane/decision/mesh/Placement.h"
#include "filbertvane/decision/mesh/RecordLag.h"
#include "filbertvane/decision/mesh/SharedRetryBudget.h"
#include "filbertvane/decision/mesh/SlotQueue.h"
#include "filbertvane/decision/mesh/SplitSelector.h"
#include "filbertvane/decision/mesh/quota/TenantQuotas.h"
#include <deque>
#include <unordered_map>

namespace filbertvane::decision::mesh {

/// @brief Settings of a node process at its start.
struct MeshSettings {
  core::NodeId Node;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  /// Distinguishes the processes of a host.
  core::Incarnation Incarnation;
  /// IP address of the host.
  std::string Address;
  /// Port for requests from other nodes.
  std::uint16_t PeerPort = 0;
  /// `ip:port` of the target on this host.
  std::string TargetAddress;
  /// Service whose target runs on this host.
  core::ServiceName Service;
  SharedRetryBudgetSettings Budget;
  /// Earlier retries of this node were taken by another process.
  core::TimePoint RetriesKnownSince;
  std::uint64_t RandomSeed = 0;
  /// Start of this process; what a former one lent to other nodes may last
  /// beyond it.
  core::TimePoint StartedAt;
  /// Time for which a target serves on after its departure was acknowledged.
  std::optional<core::Microseconds> TargetDrainTime;
  /// Time within which a configuration has to be in force; without it, a node
  /// that lacks one decides by the former one for as long as that takes.
  std::optional<core::Microseconds> ConfigurationTime;
};

/// @brief A request that a target may have been running when it crashed.
struct UnansweredRequest {
  CrashSuspects::Identity Request;
  core::RouteName Route;
  core::TimePoint SentAt;
};

/// @brief The target on this host.
struct LocalTarget {
  TargetAnnounced Announcement;
  TargetState State = TargetState::Ready;
  /// Time from which a leaving target may be gone.
  core::TimePoint LeavesAt = core::TimePoint::max();
  /// It answered a request of this process.
  bool Answered = false;
  /// Requests that ended without an answer since its last sign of life; at most
  /// as many as it has slots.
  std::vector<UnansweredRequest> Unanswered;
  /// Its silence was recorded as a crash.
  bool CrashRecorded = false;
  /// Number of the target process, to attribute the end of a request to the
  /// right one.
  std::uint64_t Generation = 0;
  core::TimePoint LastAnnouncedAt;
  core::TimePoint LastAnswerAt;
  core::TimePoint WarmAt;
  /// It may have turned cold while its data centre was evacuated; its next
  /// announcement tells.
  bool MayBeCold = false;
  /// Moving average of the share of faults, 0 to 1.
  double FaultRatio = 0;
  std::map<core::RouteName, RouteTally> Tallies;
  /// The same since the last step of the share of a move's new version.
  std::map<core::RouteName, RouteTally> StepTallies;
  /// Share at that step, in thousandths.
  std::uint32_t StepPermille = 0;
};

/// @brief Rate limit of a target as the previous process of the node knew it.
struct FormerRateLimit {
  core::TargetId Target;
  std::optional<double> PerSecond;

  friend auto operator<=>(const FormerRateLimit &,
                          const FormerRateLimit &) = default;
};

enum class CallPhase : std::uint8_t {
  /// Waits for a token of its tenant's quota.
  AwaitingQuota,
  Queued,
  AtTarget,
  AtPeer
};

/// @brief A request in progress.
struct MeshCall {
  core::CallId Id;
  /// The request came from another node: this node is its host node.
  bool FromPeer = false;
  /// Node that sent the request; empty when a caller sent it.
  core::NodeId Sender;
  std::string CallerId;
  /// Request whose run makes this call; empty when a client sent it.
  std::string ParentId;
  core::ServiceName Caller;
  /// Method, host, path and body.
  core::Digest RequestDigest;
  /// Route in the configuration at arrival; null when the request came from
  /// another node.
  std::shared_ptr<const config::HostRoute> Route;
  core::ServiceName Service;
  request::HopTerms Terms;
  /// Key by which the caller was accepted; none without one, and at the host.
  std::optional<config::KeyDigest> Credential;
  core::TimePoint ArrivedAt;
  core::TimePoint Objective;
  core::TimePoint Deadline;
  /// Length of the request's body; 0 at the host node.
  std::uint64_t BodyBytes = 0;
  /// Time that a large answer would wait for the link; 0 for small answers.
  core::Microseconds LinkWait{0};
  /// Time until which it waits for a token of its tenant's quota.
  core::TimePoint AwaitsQuotaUntil;
  /// Time until which its token can be returned; none without one.
  std::optional<core::TimePoint> TokenUntil;

  bool isUnsent() const {
    return Phase == CallPhase::Queued || Phase == CallPhase::AwaitingQuota;
  }

  /// Hosts that are not asked again.
  std::vector<core::NodeId> TriedHosts;
  /// Hosts that refused because the answer would be late.
  std::vector<core::NodeId> LateHosts;
  std::uint32_t Placements = 0;
  /// A host was skipped since it recently refused requests of the route as
  /// late.
  bool SkippedAtCapacity = false;
  /// Number of targets that crashed while they ran the request.
  std::uint32_t Crashes = 0;
  /// Number of targets that the request reached.
  std::uint32_t ReachedTargets = 0;
  /// Set at the first placement during a move.
  std::optional<bool> ToCandidate;

  CallPhase Phase = CallPhase::Queued;
  core::AttemptId Attempt;
  core::NodeId CurrentHost;
  /// Target for which the current host was chosen.
  core::TargetId CurrentTarget;
  std::uint64_t TargetGeneration = 0;
  core::TimePoint SentAt;
  bool AnswerStarted = false;
  /// A target may have run the request: it must not be refused as not run.
  bool MayHaveRun = false;
  /// An answer with a server error is held while a retry may bring a better
  /// one.
  bool HoldsFailedAnswer = false;
};

/// @brief State per service to which this node sends requests.
struct MeshServiceState {
  explicit MeshServiceState(const MeshSettings &Settings)
      : Budget(Settings.Budget, Settings.RetriesKnownSince) {}
  SharedRetryBudget Budget;
  /// Splits requests between the old and the new version of a move.
  SplitSelector CandidateSplit;
};

/// @brief State per route.
struct MeshRouteState {
  SplitSelector ServiceSplit;
  /// Moving average of the size of answers, in bytes.
  double MeanAnswerBytes = 0;
  /// Mean answer time at the host that answered last; assumed for hosts that
  /// have not answered yet.
  core::Milliseconds LastMeanTime{0};
};

/// @brief State of a move that is to be written to the store.
struct PendingMoveWrite {
  std::optional<MovePhase> Phase;
  core::TimePoint WriteAt;
};

/// @brief Complete decision state of one mesh node.
struct MeshState {
  explicit MeshState(MeshSettings InitialSettings);

  MeshSettings Settings;
  core::Random RandomSource;
  bool Draining = false;
  /// Set during a shutdown.
  std::optional<core::TimePoint> ShutdownDeadline;
  /// Requests that could outlast the shutdown are accepted until then.
  core::TimePoint AcceptsAllUntil;
  /// Time at which other nodes are told to send no more requests.
  core::TimePoint ReportLeavingAt;
  bool LeavingReported = false;
  bool Ready = false;
  bool StoreReachable = false;
  /// This node follows the store itself.
  bool FollowsStore = true;
  /// This node reads the store at short intervals.
  bool WatchesStore = false;

  std::shared_ptr<const config::RoutingTable> Routing;
  StorePosition Position;
  /// Records in force that the store has lost.
  std::size_t LostRecords = 0;
  core::Digest LostDigest;
  /// Time since which there are such records.
  std::optional<core::TimePoint> LostSince;
  /// Digest of another node that was fetched last.
  std::optional<core::Digest> FetchedDigest;
  /// Latest era of the store that is known; none before the first one.
  std::optional<core::StoreEra> Era;
  /// The report of this node is not written before this time.
  core::TimePoint PublishNotBefore;
  /// Newest order of each data centre that was ever evacuated.
  std::map<core::DataCentreId, EvacuationOrdered> Evacuations;
  HostDirectory Hosts;
  /// Exits of the processes that other nodes are shutting down.
  std::map<core::NodeId, core::TimePoint> PeerExits;
  MoveTracker Moves;
  std::map<core::ServiceName, PendingMoveWrite> PendingMoveWrites;
  /// The local target gave a bad answer that others do not know yet.
  bool HasBadAnswerToReport = false;
  core::TimePoint NextBadAnswerReportAt;
  std::optional<LocalTarget> Target;
  SlotQueue Slots;
  LocalRuns Runs;
  /// Recognises calls of the local target, which carry no key.
  TargetCallers TargetCalls;
  RefusalLog KeyRefusals;
  TenantCounts TenantRequests;
  quota::TenantQuotas Quotas;
  RefusalLog QuotaRefusals;
  /// Requests that wait for tokens, in the order of their arrival.
  std::deque<core::CallId> AwaitingQuota;
  core::TimePoint NextQuotaFleetAt;
  /// Nodes to which this one lends its shares of quotas.
  std::vector<core::NodeId> QuotaOwners;
  /// The reports in the store were read, so that all hosts are known.
  bool HostListRead = false;
  /// All other hosts count this one among those that share the quotas.
  bool KnownToAll = false;
  CrashSuspects Suspects;
  /// The local target crashed under requests that others do not know yet.
  bool HasSuspectsToReport = false;
  /// Number of refused requests of this host in the store.
  std::size_t SuspectsPublished = 0;
  core::TimePoint NextSuspectPublishAt;
  /// The report in the store has a rate limit of the target.
  bool RateLimitPublished = false;
  /// Set until its target announces itself.
  std::optional<FormerRateLimit> FormerLimit;
  core::TimePoint NextRateLimitPublishAt;
  std::uint64_t LastTargetGeneration = 0;
  std::optional<DepartedTarget> Departed;
  core::TimePoint DepartedAt;

  std::unordered_map<core::CallId, MeshCall> Calls;
  std::unordered_map<core::ServiceName, MeshServiceState> Services;
  std::unordered_map<core::RouteName, MeshRouteState> Routes;
  std::uint64_t LastAttempt = 0;
  /// Time at which the link has sent the large answers that were queued at the
  /// last arrival of a request.
  core::TimePoint LinkFreeAt;
  /// The same for the large requests that other nodes had announced.
  core::TimePoint UploadsFreeAt;

  /// Last tick, and time since which the ticks have come without a pause.
  core::TimePoint LastTickAt;
  core::TimePoint RunsSince;
  std::uint64_t ReportSequence = 0;
  core::TimePoint NextReportAt;
  core::TimePoint NextRemoteReportAt;
  /// Set while another node has read more records than this one.
  std::optional<core::TimePoint> BehindSince;
  core::TimePoint LastFetchAt;
  RecordLag Lag;
  /// This node has lacked a configuration for too long to decide by its own.
  bool Outdated = false;
  RefusalLog OutdatedRefusals;
};

/// @brief Number of nodes among which the fixed part of the retry budgets is
///        divided.
std::size_t nodesSharingBudget(const MeshState &State);

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_STATE_H
