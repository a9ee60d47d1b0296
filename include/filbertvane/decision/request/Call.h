#ifndef FILBERTVANE_DECISION_REQUEST_CALL_H
#define FILBERTVANE_DECISION_REQUEST_CALL_H

#include "filbertvane/decision/request/Admission.h"
#include "filbertvane/decision/request/RouteTable.h"
#include "filbertvane/decision/request/TargetTable.h"

namespace filbertvane::decision::request {

/// @brief What a call waits for.
enum class CallPhase : std::uint8_t {
  /// The decision of the log about the claim of its key.
  Claiming,
  /// The result of the call on this node that claimed its key.
  AwaitingResult,
  /// The result of the call on another node that owns its key.
  AwaitingOwner,
  /// A slot of the local target.
  Queued,
  /// An answer.
  Sent,
};

/// @brief One call in progress on this node.
struct Call {
  /// @name Request
  /// @{
  core::CallId Id;
  RoutePtr Route;
  core::Digest RequestDigest;
  std::optional<core::IdempotencyKey> Key;
  core::TimePoint Deadline;
  std::uint64_t ContentLength = 0;
  bool FromNode = false;
  /// The sending node selected the target, which stands on this host.
  bool Hosted = false;
  /// Version set by the sending node, or selected on the first attempt.
  std::optional<core::TargetVersion> FixedVersion;
  std::uint32_t Crashes = 0;
  /// @}

  /// @name Progress
  /// @{
  CallPhase Phase = CallPhase::Sent;
  core::AttemptId CurrentAttempt;
  TargetIndex CurrentTarget = NoTarget;
  core::TimePoint SentAt;
  std::optional<core::Microseconds> TimeToFirstByte;
  int Status = 0;
  /// Slot or queue entry of a local target.
  SlotRequest Slot;
  std::uint64_t BytesInFlight = 0;
  std::vector<TargetIndex> Tried;
  /// An earlier attempt ended without an answer.
  bool MayHaveRun = false;
  /// The call claims its key and keeps the result for repeats.
  bool ClaimsKey = false;
  /// The caller disconnected; the request continues for repeats of its key.
  bool Detached = false;
  /// @}

  bool idempotent() const { return Route->Idempotent; }
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_CALL_H
