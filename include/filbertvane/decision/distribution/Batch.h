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

/// @brief Consecutive records; without records it only tells a position.
struct RecordBatch {
  /// Offset of the first record, or the sender's next one.
  core::LogOffset First;
  std::vector<StoredRecord> Records;
  /// Position of the sender's state after the last record.
  Position After;

  friend auto operator<=>(const RecordBatch &, const RecordBatch &) = default;
};

/// @brief Whole state at a position.
struct Snapshot {
  Position At;
  std::string State;

  friend auto operator<=>(const Snapshot &, const Snapshot &) = default;
};

/// @brief Asks for the records from an offset on.
struct RecordsRequest {
  core::LogOffset First;
  /// The sender's state diverged: records do not help.
  bool WantsSnapshot = false;

  friend auto operator<=>(const RecordsRequest &,
                          const RecordsRequest &) = default;
};

} // namespace filbertvane::decision::distribution

#endif // FILBERTVANE_DECISION_DISTRIBUTION_BATCH_H
