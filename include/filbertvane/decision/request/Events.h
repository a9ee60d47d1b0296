#ifndef FILBERTVANE_DECISION_REQUEST_EVENTS_H
#define FILBERTVANE_DECISION_REQUEST_EVENTS_H

#include "filbertvane/config/FleetState.h"
#include "filbertvane/core/Digest.h"
#include "filbertvane/decision/TargetLoad.h"
#include "filbertvane/observe/LogEvent.h"
#include <memory>

namespace filbertvane::decision::request {

/// Largest answer that is kept for repeats, in bytes (docs/design.md, 9).
inline constexpr std::size_t MaxKeptAnswerBytes = std::size_t{64} * 1024;

/// @name Values
/// @{

/// @brief How a request ends for its caller when no answer is passed on.
enum class Outcome {
  /// The request truly did not run; 503 to the caller.
  NotRun,
  /// The request may have run; 504 to the caller.
  Unknown,
};

/// @brief Identity under which a node claims a key.
///
/// It names one call of one process, so that a node that restarted, or that
/// evicted its memory of a key, never takes an earlier claim for its own.
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

/// @brief What the owner of a key says about its request.
enum class KeptResultState { Running, Answered, NotRun, Unknown };

/// @brief Where a request is sent for one attempt.
struct Destination {
  core::NodeId Node;
  /// True when the target stands on this host.
  bool Local = false;
  /// `ip:port` of the node's peer port, or of the target when local.
  std::string Address;
  /// Empty when the node stands for a service in another data centre: it then
  /// selects a target of its own data centre.
  core::TargetId Target;
  core::TargetVersion Version;

  friend auto operator<=>(const Destination &, const Destination &) = default;
};

/// @brief A target known to this node, its own or one of its data centre, or
///        an entry node that stands for a service in another data centre.
struct Endpoint {
  core::TargetId Target;
  core::ServiceName Service;
  core::TargetVersion Version;
  core::NodeId Node;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  std::string Address;
  /// Concurrent requests that the target can run.
  std::uint32_t Slots = 0;
  /// Time at which the target was first announced, for warm-up.
  core::TimePoint AnnouncedAt;

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// @brief What the entry node tells the host node of a request, where the
///        host node does not read the routes itself.
struct HopTerms {
  core::RouteName Route;
  /// Time left until the latency objective; negative when it has passed.
  core::Milliseconds ObjectiveLeft{0};
  /// Rank of the request; 0 is the most urgent.
  std::uint32_t Rank = 0;
  bool Idempotent = false;
  /// Take the request also when its answer will be late.
  bool AcceptLate = false;

  friend auto operator<=>(const HopTerms &, const HopTerms &) = default;
};

/// @brief How one attempt ended, as the side that sent it saw it.
enum class AttemptEnd {
  /// The whole answer was passed on.
  Answered,
  /// The whole answer arrived and is held until `DeliverAnswer`.
  Held,
  /// Refused with a truthful "not run" marker, or never handed over.
  NotRun,
  /// No answer after hand-over; it may have run.
  NoAnswer,
  /// The answer broke off after its first byte was passed on.
  Truncated,
};
/// @}

/// @name Events
/// @{

/// @brief A request came in from a caller or from another node.
struct CallArrived {
  core::CallId Id;
  /// True when it came from a node: this node is the host node of the target.
  bool FromNode = false;
  std::string Path;
  std::string Method;
  std::optional<core::IdempotencyKey> Key;
  /// Identifies the request for the crash rule: method, path, key and body
  /// prefix, independent of the order of headers.
  core::Digest RequestDigest;
  std::optional<core::WallTime> Deadline;
  /// Service and version chosen by the entry node, when it came from a node.
  std::optional<core::ServiceName> Service;
  std::optional<core::TargetVersion> Version;
  /// Target chosen by the sending node; none when this node must choose one
  /// in its data centre.
  std::optional<core::TargetId> Target;
  std::uint64_t ContentLength = 0;
  /// Crashes already ascribed to the request by the sending node.
  std::uint32_t Crashes = 0;
  /// Id under which the caller knows the request; for logs.
  std::string CallerId = {};
  /// Value of the `Host` header.
  std::string VirtualHost = {};
  /// Time left as the sender stated it, counted from the arrival.
  std::optional<core::Milliseconds> TimeLeft = std::nullopt;
  /// Service on whose host the request began, when it came from a node.
  std::optional<core::ServiceName> Caller = std::nullopt;
  std::optional<HopTerms> Terms = std::nullopt;
  /// Time that the large answers now queued take on the host's link.
  core::Microseconds LinkWait{0};
};
/// @brief The first byte of an answer arrived.
struct AnswerStarted {
  core::CallId Id;
  core::AttemptId Attempt;
  int Status = 0;
  /// Announced length of the answer, 0 when unknown.
  std::uint64_t ContentLength = 0;
};
/// @brief An attempt is over.
struct AttemptEnded {
  core::CallId Id;
  core::AttemptId Attempt;
  AttemptEnd End = AttemptEnd::NoAnswer;
  int Status = 0;
  /// The refusal was already retried by the node next to the failure.
  bool RetriedDownstream = false;
  /// The target's process went away while the request ran.
  bool TargetCrashed = false;
  /// No connection could be made; meaningful with `NotRun`.
  bool Unreachable = false;
  /// The whole answer, when `StartAttempt::KeepAnswer` was set and it fits
  /// `MaxKeptAnswerBytes`.
  std::shared_ptr<const KeptAnswer> FullAnswer;
  /// The target itself saw the request, also when it refused it.
  bool ReachedTarget = false;
  /// Another target than the expected one stands at the address.
  bool Misdirected = false;
  std::optional<TargetLoad> Load = std::nullopt;
  /// Bytes of the answer's body.
  std::uint64_t AnswerBytes = 0;
};
/// @brief The caller closed its connection.
struct CallerDisconnected {
  core::CallId Id;
};
/// @brief A claim was decided by the log.
struct ClaimDecided {
  core::CallId Id;
  /// Claim that is first in log order; this node may run the request iff it is
  /// its own.
  ClaimOwner Owner;
  std::optional<core::Error> Failure;
};
/// @brief The owner of a key replied to `AnswerFromOwner`, or is gone.
struct OwnerReplied {
  core::CallId Id;
  /// `Answered`: the answer was passed on. `Unknown` also when the owner
  /// cannot be reached.
  KeptResultState State = KeptResultState::Unknown;
};
/// @brief Another node asks this one, the owner of a key, for its result.
struct KeptResultRequested {
  /// Identifies the exchange; replies use it as the call's id.
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
/// @brief A configuration or an overlay of local rollbacks took effect.
struct ConfigurationChanged {
  std::shared_ptr<const config::FleetState> State;
  /// Moves whose new version this node or its data centre rolled back.
  std::vector<config::MoveId> LocalRollbacks;
};
/// @brief Membership or target announcements changed.
struct EndpointsChanged {
  std::vector<Endpoint> Endpoints;
};
/// @brief The own target announced that it leaves, or its process went away.
struct TargetLeaving {
  core::TargetId Target;
};
/// @brief The node began its graceful shutdown.
struct DrainStarted {};
/// @brief Periodic event for deadlines, ejection and budgets.
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
  /// Use only a connection that was just proved live, or a new one.
  bool NeedsVerifiedConnection = false;
  /// Hand the whole answer back with `AttemptEnded::Kept`.
  bool KeepAnswer = false;
  /// Crashes ascribed to the request so far; sent along to a node.
  std::uint32_t Crashes = 0;
  /// Hold the answer until `DeliverAnswer`; a large one is passed on at once.
  bool HoldAnswer = false;
  /// Open a new connection.
  bool FreshConnection = false;
  /// Service on whose host the request began.
  core::ServiceName Caller = {};
  std::optional<HopTerms> Terms = std::nullopt;
};
/// @brief Pass on the answer that is held.
struct DeliverAnswer {
  core::CallId Id;
  /// Load of the target, for the node that sent the request.
  std::optional<TargetLoad> Load = std::nullopt;
};
/// @brief Stop an attempt: close or cancel it at the destination.
struct CancelAttempt {
  core::CallId Id;
  core::AttemptId Attempt;
};
/// @brief End a request without a target's answer.
struct Refuse {
  core::CallId Id;
  Outcome Result = Outcome::NotRun;
  core::Error Reason;
  /// The node retried, or the request was retried downstream.
  bool Retried = false;
  /// The target crashed while it ran the request.
  bool TargetCrashed = false;
  /// Status for the caller; 0 for the usual one of the outcome.
  int Status = 0;
  /// Time after which the caller should ask again.
  std::optional<core::Milliseconds> RetryAfter = std::nullopt;
  /// The target itself saw the request.
  bool ReachedTarget = false;
  /// Load of the target, for the node that sent the request.
  std::optional<TargetLoad> Load = std::nullopt;
};
/// @brief Ask the claim keeper for the ownership of a key.
struct RequestClaim {
  core::CallId Id;
  core::IdempotencyKey Key;
  core::Digest RequestDigest;
  /// Identity to claim under; a repeated request of the same claim keeps it.
  ClaimOwner Owner;
  core::TimePoint Deadline;
};
/// @brief Answer a repeat from the kept result of the owner on another node;
///        the end comes back as `OwnerReplied`.
struct AnswerFromOwner {
  core::CallId Id;
  ClaimOwner Owner;
  core::IdempotencyKey Key;
  core::Digest RequestDigest;
  core::TimePoint Deadline;
};
/// @brief Answer a repeat from the result that this node kept.
struct SendKeptAnswer {
  core::CallId Id;
  std::shared_ptr<const KeptAnswer> Answer;
};
/// @brief One answer as evidence for a move.
struct ObservedAnswer {
  core::ServiceName Service;
  core::RouteName Route;
  core::TargetVersion Version;
  bool Fault = false;
  core::Microseconds Latency{0};
  /// The target stands in another data centre, so that the latency and some
  /// faults are those of a link; a node over there observes the answer too.
  bool Remote = false;
  /// The target's process went away while the request ran.
  bool TargetCrashed = false;
  /// Identifies the request for the crash rule; 0 when unknown.
  core::Digest RequestDigest;
};
/// @brief A request is suspected of crashing targets; told to the data centre.
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
