#ifndef FILBERTVANE_DECISION_REQUEST_CLAIMS_EVENTS_H
#define FILBERTVANE_DECISION_REQUEST_CLAIMS_EVENTS_H

#include "filbertvane/decision/request/Events.h"

namespace filbertvane::decision::request::claims {

/// @name Records of a `claims.<p>` stream
/// @{

/// @brief A node asks to own a key.
struct Claim {
  core::IdempotencyKey Key;
  ClaimOwner Owner;
  core::Digest RequestDigest;

  friend auto operator<=>(const Claim &, const Claim &) = default;
};

/// @brief Claims that one keeper appended together.
struct ClaimBatch {
  core::WriterId Writer;
  /// Rises with each batch of a writer. It is the writer's calendar time in
  /// milliseconds, raised by one where needed, so that a reader knows how old
  /// the first record of a trimmed stream is.
  std::uint64_t Sequence = 0;
  std::vector<Claim> Claims;

  friend auto operator<=>(const ClaimBatch &, const ClaimBatch &) = default;
};

/// @brief A batch with its place in the stream.
struct StoredBatch {
  core::LogOffset Offset;
  ClaimBatch Batch;
};
/// @}

/// @name Events
/// @{

/// @brief This node became the keeper of the partition.
struct BecameKeeper {};
/// @brief Another node is the keeper now.
struct CeasedToBeKeeper {};
/// @brief An entry node of the data centre asks for a key.
struct ClaimRequested {
  /// Identifies the reply.
  std::uint64_t RequestId = 0;
  Claim KeyClaim;
  core::TimePoint Deadline;
};
/// @brief The period of a batch is over.
struct BatchDue {};
/// @brief The log acknowledged the append of a batch.
struct AppendAcknowledged {
  std::uint64_t Sequence = 0;
};
/// @brief The log refused the append: it had no effect.
struct AppendFailed {
  std::uint64_t Sequence = 0;
};
/// @brief No acknowledgement came: the append may have had an effect.
struct AppendUnknown {
  std::uint64_t Sequence = 0;
};
/// @brief Result of a `ReadStream`.
struct RecordsRead {
  std::uint64_t ReadNumber = 0;
  /// First offset that the log still holds.
  core::LogOffset FirstOffset;
  /// Offset after the last record read.
  core::LogOffset NextOffset;
  /// Offset after the last record of the stream, at the time of the read.
  core::LogOffset EndOffset;
  std::vector<StoredBatch> Batches;
};
/// @brief A `ReadStream` failed; it is repeated at the next `BatchDue`.
struct ReadFailed {
  std::uint64_t ReadNumber = 0;
};

using KeeperEvent = std::variant<BecameKeeper, CeasedToBeKeeper, ClaimRequested,
                                 BatchDue, AppendAcknowledged, AppendFailed,
                                 AppendUnknown, RecordsRead, ReadFailed>;
/// @}

/// @name Effects
/// @{

struct AppendBatch {
  ClaimBatch Batch;
};
/// @brief Read the stream; at most one read is in progress.
struct ReadStream {
  std::uint64_t ReadNumber = 0;
  core::LogOffset FromOffset;
  /// Wait at the log for new records; otherwise reply at once.
  bool WaitForRecords = true;
};
/// @brief The decision about a key, or why there is none.
struct ClaimReply {
  std::uint64_t RequestId = 0;
  /// Claim that is first in log order.
  ClaimOwner Owner;
  std::optional<core::Error> Failure;
};

using KeeperEffect =
    std::variant<AppendBatch, ReadStream, ClaimReply, observe::LogEvent>;
using KeeperEffects = std::vector<KeeperEffect>;
/// @}

} // namespace filbertvane::decision::request::claims

#endif // FILBERTVANE_DECISION_REQUEST_CLAIMS_EVENTS_H
