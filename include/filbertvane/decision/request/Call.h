#ifndef FILBERTVANE_DECISION_REQUEST_CALL_H
#define FILBERTVANE_DECISION_REQUEST_CALL_H

#include "filbertvane/decision/request/Admission.h"
#include "filbertvane/decision/request/RouteTable.h"
#include "filbertvane/decision/request/TargetTable.h"

namespace filbertvane::decision::request {

/// @brief What a call waits for.
enum class CallPhase : std::uint8_t {
  /// The log's decision about its key.
  Claiming,
  /// The result of the call on this node that holds its key.
  AwaitingResult,
  /// The result of the call on another node that holds its key.
  AwaitingOwner,
  /// A slot of the own target.
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
  /// Target set by the sending node: this node is the target's host node.
  bool Hosted = false;
  /// Version set by the sending node.
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
  /// Slot or queue entry of an own target.
  SlotRequest Slot;
  std::uint64_t BytesInFlight = 0;
  std::vector<TargetIndex> Tried;
  /// An earlier attempt had no answer.
  bool MayHaveRun = false;
  /// It runs under its key, so its result is kept.
  bool ClaimsKey = false;
  /// The caller went away; the request goes on for its repeats.
  bool Detached = false;
  /// @}

  bool idempotent() const { return Route->Idempotent; }
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_CALL_H
