#ifndef FILBERTVANE_DECISION_MESH_STATE_H
#define FILBERTVANE_DECISION_MESH_STATE_H

#include "filbertvane/decision/mesh/Events.h"
#include "filbertvane/decision/mesh/HostDirectory.h"
#include "filbertvane/decision/mesh/MoveTracker.h"
#include "filbertvane/decision/mesh/Placement.h"
#include "filbertvane/decision/mesh/RepeatBudget.h"
#include "filbertvane/decision/mesh/SlotQueue.h"
#include "filbertvane/decision/mesh/SplitSelector.h"
#include <unordered_map>

namespace filbertvane::decision::mesh {

/// @brief What a node process knows when it starts.
struct MeshSettings {
  core::NodeId Node;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  /// Tells the processes of a host apart.
  core::Incarnation Start;
  /// IP address of the host.
  std::string Address;
  /// Port at which nodes take requests of each other.
  std::uint16_t PeerPort = 0;
  /// `ip:port` of the target on this host.
  std::string TargetAddress;
  /// Service whose target runs on this host.
  core::ServiceName Service;
  /// Budget of repeated sends, shared by all nodes.
  BudgetTerms Budget;
  std::uint64_t RandomSeed = 0;
};

/// @brief The target on this host.
struct OwnTarget {
  TargetAnnounced Last;
  TargetState State = TargetState::Ready;
  /// Known from the former process of this node; it has not announced itself to
  /// this one yet.
  bool Inherited = false;
  /// Counts lives, so that the end of a request is ascribed to the right one.
  std::uint64_t Life = 0;
  core::TimePoint HeardAt;
  core::TimePoint AnsweredAt;
  core::TimePoint WarmAt;
  /// Recent part of faults, 0 to 1.
  double FaultPart = 0;
  std::map<core::RouteName, RouteTally> Tallies;
};

enum class CallPhase : std::uint8_t { Queued, AtTarget, AtPeer };

/// @brief A request in progress.
struct MeshCall {
  core::CallId Id;
  /// It came from a node: this node is the host node of the target.
  bool Hosted = false;
  std::string CallerId;
  core::ServiceName Caller;
  /// Route by the configuration at the arrival; null when hosted.
  std::shared_ptr<const config::HostRoute> Route;
  core::ServiceName Service;
  request::HopTerms Terms;
  core::TimePoint Arrived;
  core::TimePoint Objective;
  core::TimePoint Deadline;
  /// Time that the answer would wait for the link; 0 for short ones.
  core::Microseconds LinkWait{0};

  /// Hosts that are not asked again.
  std::vector<core::NodeId> Tried;
  /// Hosts that refused because the answer would be late.
  std::vector<core::NodeId> Late;
  std::uint32_t Placements = 0;
  /// A host was left out since it lately refused requests of the route as late.
  bool FullSeen = false;
  /// Targets that the request reached.
  std::uint32_t Reached = 0;
  /// Chosen at the first placement while a move is under way.
  std::optional<bool> ToCandidate;

  CallPhase Phase = CallPhase::Queued;
  core::AttemptId Attempt;
  core::NodeId At;
  std::uint64_t TargetLife = 0;
  core::TimePoint SentAt;
  bool AnswerStarted = false;
  /// A target may have run the request: it must not be refused as not run.
  bool MayHaveRun = false;
  /// An answer with a server error is held; a repeat may bring a better one.
  bool FailureHeld = false;
};

/// @brief What a node remembers of a service that it sends requests to.
struct ServiceMemory {
  explicit ServiceMemory(const BudgetTerms &Terms) : Budget(Terms) {}
  RepeatBudget Budget;
  /// Selects the requests that go to the new version of a move.
  SplitSelector Candidates;
};

/// @brief What a node remembers of a route.
struct RouteMemory {
  SplitSelector Split;
  /// Mean bytes of an answer.
  double AnswerBytes = 0;
  /// Mean time at the host that answered last; assumed of the others.
  core::Milliseconds Time{0};
};

/// @brief Times of a move's next write into the store.
struct MoveDuty {
  std::optional<MovePhase> Wanted;
  core::TimePoint WriteAt;
};

/// @brief State of all decisions of one node of a mesh.
struct MeshState {
  explicit MeshState(MeshSettings Settings);

  MeshSettings Own;
  core::Random Source;
  bool Draining = false;
  /// Set while the process stops.
  std::optional<core::TimePoint> StopsAt;
  core::TimePoint TakesAllUntil;
  /// Others learn then that the host takes no more of their requests.
  core::TimePoint LeavesAt;
  bool LeavingTold = false;
  bool Ready = false;
  bool StoreReachable = false;
  /// The node follows the store itself.
  bool Follows = true;

  std::shared_ptr<const config::RoutingTable> Routing;
  core::LogOffset Position;
  HostDirectory Hosts;
  MoveTracker Moves;
  std::map<core::ServiceName, MoveDuty> Duties;
  std::optional<OwnTarget> Target;
  SlotQueue Slots;
  std::uint64_t Lives = 0;
  std::optional<LeftTarget> Left;
  core::TimePoint LeftAt;

  std::unordered_map<core::CallId, MeshCall> Calls;
  std::unordered_map<core::ServiceName, ServiceMemory> Services;
  std::unordered_map<core::RouteName, RouteMemory> Routes;
  std::uint64_t LastAttempt = 0;
  /// When the large answers that were queued on the link at the last arrival of
  /// a request are sent.
  core::TimePoint LinkFreeAt;
  /// Last failure of a request to another service that began on this host.
  core::TimePoint CallFailedAt;

  std::uint64_t ReportSequence = 0;
  core::TimePoint NextReport;
  core::TimePoint NextFarReport;
  /// Since when another node knows more records than this one.
  std::optional<core::TimePoint> BehindSince;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_STATE_H
