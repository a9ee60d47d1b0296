#ifndef FILBERTVANE_DECISION_DISTRIBUTION_BATCH_H
#define FILBERTVANE_DECISION_DISTRIBUTION_BATCH_H

#include "filbertvane/decision/distribution/Position.h"
#include <vector>

namespace filbertvane::decision::distribution {

/// @brief One encoded record of the `config` stream.
struct StoredRecord {
  core::LogOffset Offset;
  std::string Bytes;

  friend auto operator<=>(const StoredRecord &, const StoredRecord &) = default;
};

/// @brief Result of checking whether the sender's position is the end of the
///        log, by a read that began after the request.
enum class LogEndStatus : std::uint8_t {
  /// The receiver did not request a check.
  NotRequested,
  /// No record follows the position.
  Reached,
  /// Further records follow the position.
  NotReached,
  /// The log could not be read.
  Unavailable,
};

/// @brief Consecutive records and the position after them; a batch without
///        records is a heartbeat.
struct RecordBatch {
  /// Offset of the first record; the sender's next offset without records.
  core::LogOffset FirstOffset;
  std::vector<StoredRecord> Records;
  /// Position of the sender after it applied the last record.
  Position PositionAfter;
  /// Whether `PositionAfter` is the end of the log; set in replies to requests
  /// with `WantsLogEnd`.
  LogEndStatus EndStatus = LogEndStatus::NotRequested;

  friend auto operator<=>(const RecordBatch &, const RecordBatch &) = default;
};

/// @brief Encoded configuration state at a position.
struct Snapshot {
  Position ConfigPosition;
  std::string State;

  friend auto operator<=>(const Snapshot &, const Snapshot &) = default;
};

/// @brief Requests the records from an offset on.
struct RecordsRequest {
  core::LogOffset FirstOffset;
  /// The sender's state diverged, so that only a snapshot can repair it.
  bool WantsSnapshot = false;
  /// The sender is starting: the receiver checks the end of the log and replies
  /// a second time with the result.
  bool WantsLogEnd = false;

  friend auto operator<=>(const RecordsRequest &,
                          const RecordsRequest &) = default;
};

} // namespace filbertvane::decision::distribution

#endif // FILBERTVANE_DECISION_DISTRIBUTION_BATCH_H
