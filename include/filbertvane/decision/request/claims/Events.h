#ifndef FILBERTVANE_DECISION_REQUEST_CLAIMS_EVENTS_H
#define FILBERTVANE_DECISION_REQUEST_CLAIMS_EVENTS_H

#include "filbertvane/decision/request/Events.h"

namespace filbertvane::decision::request::claims {

/// @name Records of a `claims.<p>` stream
/// @{

/// @brief Claim of a key by a node.
struct Claim {
  core::IdempotencyKey Key;
  ClaimOwner Owner;
  core::Digest RequestDigest;

  friend auto operator<=>(const Claim &, const Claim &) = default;
};

/// @brief Claims that a keeper appends in one record.
struct ClaimBatch {
  core::WriterId Writer;
  /// Increases with each batch of a writer: wall clock time in milliseconds, or
  /// the previous sequence plus one if that is larger. Readers use it as the
  /// age of the first record of a trimmed stream.
  std::uint64_t Sequence = 0;
  std::vector<Claim> Claims;

  friend auto operator<=>(const ClaimBatch &, const ClaimBatch &) = default;
};

/// @brief A batch and its offset in the stream.
struct StoredBatch {
  core::LogOffset Offset;
  ClaimBatch Batch;
};
/// @}

/// @name Events
/// @{

/// @brief This node became the claim keeper of the partition.
struct BecameKeeper {};
/// @brief Another node became the claim keeper of the partition.
struct CeasedToBeKeeper {};
/// @brief An entry node of the data centre claims a key.
struct ClaimRequested {
  /// Identifies the reply.
  std::uint64_t RequestId = 0;
  Claim KeyClaim;
  core::TimePoint Deadline;
};
/// @brief The batch interval elapsed.
struct BatchDue {};
/// @brief The log acknowledged the append of a batch.
struct AppendAcknowledged {
  std::uint64_t Sequence = 0;
};
/// @brief The log rejected the append, which had no effect.
struct AppendFailed {
  std::uint64_t Sequence = 0;
};
/// @brief The append was not acknowledged and may have taken effect.
struct AppendUnknown {
  std::uint64_t Sequence = 0;
};
/// @brief Result of a `ReadStream`.
struct RecordsRead {
  std::uint64_t ReadNumber = 0;
  /// First offset that is still in the log.
  core::LogOffset FirstOffset;
  /// Offset after the last record read.
  core::LogOffset NextOffset;
  /// Offset after the last record of the stream at the time of the read.
  core::LogOffset EndOffset;
  std::vector<StoredBatch> Batches;
};
/// @brief A `ReadStream` failed; it is retried at the next `BatchDue`.
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
  /// Long poll: wait at the log for new records. Otherwise reply at once.
  bool WaitForRecords = true;
};
/// @brief Decision about a claim, or the error.
struct ClaimReply {
  std::uint64_t RequestId = 0;
  /// Owner of the first claim in log order.
  ClaimOwner Owner;
  std::optional<core::Error> Failure;
};

using KeeperEffect =
    std::variant<AppendBatch, ReadStream, ClaimReply, observe::LogEvent>;
using KeeperEffects = std::vector<KeeperEffect>;
/// @}

} // namespace filbertvane::decision::request::claims

#endif // FILBERTVANE_DECISION_REQUEST_CLAIMS_EVENTS_H
