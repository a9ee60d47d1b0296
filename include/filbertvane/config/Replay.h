#ifndef FILBERTVANE_CONFIG_REPLAY_H
#define FILBERTVANE_CONFIG_REPLAY_H

#include "filbertvane/config/FleetState.h"
#include <string>
#include <string_view>
#include <vector>

namespace filbertvane::config {

/// @brief A record as the platform log holds it.
struct StoredRecord {
  core::LogOffset Offset;
  std::string Bytes;

  friend auto operator<=>(const StoredRecord &, const StoredRecord &) = default;
};

/// @brief Decodes and applies one record.
///
/// Bytes that cannot be decoded are refused and passed over, by every reader
/// alike, so that one malformed record does not stop the fleet.
ApplyResult applyEncoded(FleetState State, core::LogOffset Offset,
                         std::string_view Bytes);

/// @brief State after a run of records that reaches to the end of the log.
/// @param Records all records that the log still holds, in order
/// @return the fold from the newest intact snapshot whose following records
///         are all there, or from the start of the log; `LogTrimmed` when
///         neither is possible
core::Result<FleetState> replay(const std::vector<StoredRecord> &Records);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_REPLAY_H
