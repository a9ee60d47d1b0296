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

/// @brief What a read of the log that began after a question for its end found
///        at the own position.
enum class LogEndStatus : std::uint8_t {
  NotRequested,
  /// No record follows: the position is the end of the log.
  Reached,
  /// Records follow.
  NotReached,
  /// The log could not be read.
  Unavailable,
};

/// @brief Consecutive records; without records it only tells a position.
struct RecordBatch {
  /// Offset of the first record, or the sender's next one.
  core::LogOffset FirstOffset;
  std::vector<StoredRecord> Records;
  /// Position of the sender's state after the last record.
  Position PositionAfter;
  /// Where `After` stands in the log, for a receiver that asked for its end.
  LogEndStatus EndStatus = LogEndStatus::NotRequested;

  friend auto operator<=>(const RecordBatch &, const RecordBatch &) = default;
};

/// @brief Whole state at a position.
struct Snapshot {
  Position ConfigPosition;
  std::string State;

  friend auto operator<=>(const Snapshot &, const Snapshot &) = default;
};

/// @brief Asks for the records from an offset on.
struct RecordsRequest {
  core::LogOffset FirstOffset;
  /// The sender's state diverged: records do not help.
  bool WantsSnapshot = false;
  /// The sender restarted: the receiver reads the log and answers once more
  /// when it holds the log's end.
  bool WantsLogEnd = false;

  friend auto operator<=>(const RecordsRequest &,
                          const RecordsRequest &) = default;
};

} // namespace filbertvane::decision::distribution

#endif // FILBERTVANE_DECISION_DISTRIBUTION_BATCH_H
