#ifndef FILBERTVANE_DECISION_REQUEST_EVENTS_H
#define FILBERTVANE_DECISION_REQUEST_EVENTS_H

#include "filbertvane/config/FleetState.h"
#include "filbertvane/config/KeyDigest.h"
#include "filbertvane/core/Digest.h"
#include "filbertvane/decision/TargetLoad.h"
#include "filbertvane/observe/LogEvent.h"
#include <memory>

namespace filbertvane::decision::request {

/// Largest answer that is kept for repeats (docs/design.md, 9).
inline constexpr std::size_t MaxKeptAnswerBytes = std::size_t{64} * 1024;

/// @name Values
/// @{

/// @brief Outcome reported to the caller when no answer is forwarded.
enum class Outcome {
  /// The request did not run; status 503.
  NotRun,
  /// The request may have run; status 504.
  Unknown,
};

/// @brief Identity under which a node claims a key.
///
/// It identifies one call of one process, so that a node that restarted or
/// evicted a key never mistakes an earlier claim for its own.
struct ClaimOwner {
  core::NodeId Node;
  core::Incarnation Incarnation;
  core::CallId Call;

  friend auto operator<=>(const ClaimOwner &, const ClaimOwner &) = default;
};

/// @brief An answer that the owner of a key keeps for repeats.
struct KeptAnswer {
  int Status = 0;
  /// Encoded headers and body; opaque to decisions.
  std::string Bytes;

  friend auto operator<=>(const KeptAnswer &, const KeptAnswer &) = default;
};

/// @brief State of a request as reported by the owner of its key.
enum class KeptResultState { Running, Answered, NotRun, Unknown };

/// @brief Where a request is sent for one attempt.
struct Destination {
  core::NodeId Node;
  /// True when the target stands on this host.
  bool Local = false;
  /// `ip:port` of the node's peer port, or of the target when local.
  std::string Address;
  /// Empty for an entry node of another data centre, which selects a target
  /// there.
  core::TargetId Target;
  core::TargetVersion Version;

  friend auto operator<=>(const Destination &, const Destination &) = default;
};

/// @brief A target on this host or in this data centre, or an entry node that
///        represents a service in another data centre.
struct Endpoint {
  core::TargetId Target;
  core::ServiceName Service;
  core::TargetVersion Version;
  core::NodeId Node;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  std::string Address;
  /// Maximum number of concurrent requests.
  std::uint32_t Slots = 0;
  /// Time at which the target was first announced, for warm-up.
  core::TimePoint AnnouncedAt;

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// @brief Routing attributes that the entry node sends along with a request to
///        a host node that does not read the routes itself.
struct HopTerms {
  core::RouteName Route;
  /// Time left until the latency objective; negative after it has passed.
  core::Milliseconds ObjectiveLeft{0};
  /// Rank of the request; 0 is the most urgent.
  std::uint32_t Rank = 0;
  bool Idempotent = false;
  /// Accept the request even when its answer would be late.
  bool AcceptLate = false;
  /// A retry, or a call that a repeated run makes: its run counts as a repeat,
  /// and so do the calls of this run.
  bool Repeat = false;
  /// Tenant that sent the request, empty for a request without one; not set
  /// where callers need no keys. A host node takes it from other nodes only.
  std::optional<core::TenantName> Tenant = std::nullopt;

  friend auto operator<=>(const HopTerms &, const HopTerms &) = default;
};

/// @brief What a target states about itself in the head of an answer.
struct TargetStatement {
  /// Requests per second that it accepts from all callers together; none
  /// without a limit.
  std::optional<double> RequestsPerSecond;
  /// It ends soon and must get no new requests.
  bool Leaving = false;

  friend auto operator<=>(const TargetStatement &,
                          const TargetStatement &) = default;
};

/// @brief How one attempt ended, as seen by the sender.
enum class AttemptEnd {
  /// The complete answer was forwarded.
  Answered,
  /// The complete answer was received and is held until `DeliverAnswer`.
  Held,
  /// Refused with a "not run" marker, or never sent.
  NotRun,
  /// No answer after the request was sent; it may have run.
  NoAnswer,
  /// The answer was cut off after its first byte was forwarded.
  Truncated,
};
/// @}

/// @name Events
/// @{

/// @brief A request arrived from a caller or from another node.
struct CallArrived {
  core::CallId Id;
  /// The request came from another node.
  bool FromNode = false;
  std::string Path;
  std::string Method;
  std::optional<core::IdempotencyKey> Key;
  /// Identifies the request for the crash rule: method, path, key and body
  /// prefix, independent of the order of headers.
  core::Digest RequestDigest;
  std::optional<core::WallTime> Deadline;
  /// Service and version selected by the sending node.
  std::optional<core::ServiceName> Service;
  std::optional<core::TargetVersion> Version;
  /// Target selected by the sending node; none when this node must select one
  /// in its data centre.
  std::optional<core::TargetId> Target;
  std::uint64_t ContentLength = 0;
  /// Crashes attributed to the request by the sending node.
  std::uint32_t Crashes = 0;
  /// Request id of the caller, for logs.
  std::string CallerId = {};
  /// Id of the request whose run makes this call; empty when a client sent it.
  std::string ParentId = {};
  /// Value of the `Host` header.
  std::string VirtualHost = {};
  /// Time left until the deadline, counted from the arrival.
  std::optional<core::Milliseconds> TimeLeft = std::nullopt;
  /// Service of the host on which the request originated, if another node sent
  /// it.
  std::optional<core::ServiceName> Caller = std::nullopt;
  std::optional<HopTerms> Terms = std::nullopt;
  /// Node that sent the request; empty when a caller sent it.
  core::NodeId Sender = {};
  /// Transmission time of the large answers queued on the host's link.
  core::Microseconds LinkWait{0};
  /// Digest of the key that the caller presented.
  std::optional<config::KeyDigest> Credential = std::nullopt;
  /// Transmission time of the large request bodies that other nodes announced.
  core::Microseconds UploadWait{0};
  /// The body was not let in, since it can't be whole in time.
  bool UploadRefused = false;
};
/// @brief The first byte of an answer was received.
struct AnswerStarted {
  core::CallId Id;
  core::AttemptId Attempt;
  int Status = 0;
  /// Announced length of the answer, 0 when unknown.
  std::uint64_t ContentLength = 0;
  /// Set when a target answered.
  std::optional<TargetStatement> Statement = std::nullopt;
};
/// @brief An attempt ended.
struct AttemptEnded {
  core::CallId Id;
  core::AttemptId Attempt;
  AttemptEnd End = AttemptEnd::NoAnswer;
  int Status = 0;
  /// The refused request was already retried by a node further downstream.
  bool RetriedDownstream = false;
  /// The target's process exited while the request ran.
  bool TargetCrashed = false;
  /// No connection could be established; used with `NotRun`.
  bool Unreachable = false;
  /// The complete answer, when `StartAttempt::KeepAnswer` was set and the size
  /// is at most `MaxKeptAnswerBytes`.
  std::shared_ptr<const KeptAnswer> FullAnswer;
  /// The target received the request, even if it refused it.
  bool ReachedTarget = false;
  /// A different target than the expected one listens at the address.
  bool Misdirected = false;
  std::optional<TargetLoad> Load = std::nullopt;
  /// Size of the answer body.
  std::uint64_t AnswerBytes = 0;
  /// Set when a target answered, on this host or behind its host node.
  std::optional<TargetStatement> Statement = std::nullopt;
};
/// @brief The caller closed its connection.
struct CallerDisconnected {
  core::CallId Id;
};
/// @brief The log decided a claim, or the claim failed.
struct ClaimDecided {
  core::CallId Id;
  /// Owner of the first claim in log order; this node may run the request only
  /// if that is its own claim.
  ClaimOwner Owner;
  std::optional<core::Error> Failure;
};
/// @brief The owner of a key replied to `AnswerFromOwner`, or is unreachable.
struct OwnerReplied {
  core::CallId Id;
  /// `Answered`: the answer was forwarded. `Unknown` also when the owner cannot
  /// be reached.
  KeptResultState State = KeptResultState::Unknown;
};
/// @brief Another node requests the result of a key that this node owns.
struct KeptResultRequested {
  /// Identifies the exchange; replies use it as the call id.
  core::CallId Id;
  ClaimOwner Owner;
  core::IdempotencyKey Key;
  core::Digest RequestDigest;
  core::WallTime Deadline;
};
/// @brief A member of the data centre reported a suspect request.
struct SuspectLearned {
  core::Digest RequestDigest;
  std::uint32_t Crashes = 0;
};
/// @brief A configuration or a set of local rollbacks took effect.
struct ConfigurationChanged {
  std::shared_ptr<const config::FleetState> State;
  /// Moves that were rolled back on this node or in its data centre.
  std::vector<config::MoveId> LocalRollbacks;
};
/// @brief The membership or the announced targets changed.
struct EndpointsChanged {
  std::vector<Endpoint> Endpoints;
};
/// @brief A local target announced that it leaves, or its process exited.
struct TargetLeaving {
  core::TargetId Target;
};
/// @brief The node started its graceful shutdown.
struct DrainStarted {};
/// @brief Periodic event for deadlines, ejection and queues.
struct Tick {};

using Event =
    std::variant<CallArrived, AnswerStarted, AttemptEnded, CallerDisconnected,
                 ClaimDecided, OwnerReplied, KeptResultRequested,
                 SuspectLearned, ConfigurationChanged, EndpointsChanged,
                 TargetLeaving, DrainStarted, Tick>;
/// @}

/// @name Effects
/// @{

/// @brief Send the request to a destination.
struct StartAttempt {
  core::CallId Id;
  core::AttemptId Attempt;
  Destination To;
  core::TimePoint Deadline;
  core::ServiceName Service;
  core::RouteName Route;
  /// Use only a connection that was just verified to be alive, or a new one.
  bool NeedsVerifiedConnection = false;
  /// Return the complete answer in `AttemptEnded::FullAnswer`.
  bool KeepAnswer = false;
  /// Crashes attributed to the request so far; sent along to another node.
  std::uint32_t Crashes = 0;
  /// Hold the answer until `DeliverAnswer`; a large one is forwarded at once.
  bool HoldAnswer = false;
  /// Open a new connection.
  bool FreshConnection = false;
  /// Service of the host on which the request originated.
  core::ServiceName Caller = {};
  std::optional<HopTerms> Terms = std::nullopt;
};
/// @brief Forward the held answer.
struct DeliverAnswer {
  core::CallId Id;
  /// Load of the target, for the node that sent the request.
  std::optional<TargetLoad> Load = std::nullopt;
};
/// @brief Cancel an attempt.
struct CancelAttempt {
  core::CallId Id;
  core::AttemptId Attempt;
};
/// @brief End a request without a target's answer.
struct Refuse {
  core::CallId Id;
  Outcome Result = Outcome::NotRun;
  core::Error Reason;
  /// The request was already retried, on this node or downstream.
  bool Retried = false;
  /// The target crashed while it ran the request.
  bool TargetCrashed = false;
  /// HTTP status for the caller; 0 for the default status of the outcome.
  int Status = 0;
  /// Time after which the caller should retry.
  std::optional<core::Milliseconds> RetryAfter = std::nullopt;
  /// The target received the request.
  bool ReachedTarget = false;
  /// Load of the target, for the node that sent the request.
  std::optional<TargetLoad> Load = std::nullopt;
};
/// @brief Request the ownership of a key from the claim keeper.
struct RequestClaim {
  core::CallId Id;
  core::IdempotencyKey Key;
  core::Digest RequestDigest;
  /// Identity of the claim; a repeated request of the same claim reuses it.
  ClaimOwner Owner;
  core::TimePoint Deadline;
};
/// @brief Answer a repeat with the result kept by the owner on another node;
///        completed by `OwnerReplied`.
struct AnswerFromOwner {
  core::CallId Id;
  ClaimOwner Owner;
  core::IdempotencyKey Key;
  core::Digest RequestDigest;
  core::TimePoint Deadline;
};
/// @brief Answer a repeat with the result kept on this node.
struct SendKeptAnswer {
  core::CallId Id;
  std::shared_ptr<const KeptAnswer> Answer;
};
/// @brief Observation of one attempt, used as evidence for a move.
struct ObservedAnswer {
  core::ServiceName Service;
  core::RouteName Route;
  core::TargetVersion Version;
  bool Fault = false;
  core::Microseconds Latency{0};
  /// The target is in another data centre: latency and some faults are caused
  /// by the link, and a node in that data centre observes the answer too.
  bool Remote = false;
  /// The target's process exited while the request ran.
  bool TargetCrashed = false;
  /// Identifies the request for the crash rule; 0 when unknown.
  core::Digest RequestDigest;
};
/// @brief Report a request that may crash targets to the data centre.
struct SuspectReported {
  core::Digest RequestDigest;
  std::uint32_t Crashes = 0;
};

using Effect = std::variant<StartAttempt, DeliverAnswer, CancelAttempt, Refuse,
                            RequestClaim, AnswerFromOwner, SendKeptAnswer,
                            ObservedAnswer, SuspectReported, observe::LogEvent>;
using Effects = std::vector<Effect>;
/// @}

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_EVENTS_H
