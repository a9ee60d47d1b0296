#ifndef FILBERTVANE_CONFIG_REPLAY_H
#define FILBERTVANE_CONFIG_REPLAY_H

#include "filbertvane/config/FleetState.h"
#include <string>
#include <string_view>
#include <vector>

namespace filbertvane::config {

/// @brief An encoded record with its offset in the platform log.
struct StoredRecord {
  core::LogOffset Offset;
  std::string Bytes;

  friend auto operator<=>(const StoredRecord &, const StoredRecord &) = default;
};

/// @brief Decodes and applies one record.
///
/// Every reader refuses and skips bytes that cannot be decoded, so that one
/// malformed record does not stop the fleet.
ApplyResult applyEncoded(FleetState State, core::LogOffset Offset,
                         std::string_view Bytes);

/// @brief Computes the state at the end of the log.
/// @param Records all records that the log still holds, in order
/// @return the state, replayed from the newest intact snapshot whose following
///         records are complete, or else from offset 0; `LogTrimmed` when
///         neither is possible
core::Result<FleetState> replay(const std::vector<StoredRecord> &Records);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_REPLAY_H
