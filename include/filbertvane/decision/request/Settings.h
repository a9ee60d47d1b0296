#ifndef FILBERTVANE_DECISION_REQUEST_SETTINGS_H
#define FILBERTVANE_DECISION_REQUEST_SETTINGS_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Time.h"
#include "filbertvane/decision/request/TargetPicker.h"

namespace filbertvane::decision::request {

/// @brief Limits and periods of the request decisions of one node.
struct Limits {
  /// Calls in progress.
  std::size_t MaxCalls = 65536;
  /// Entries that wait for the own target.
  std::size_t MaxQueueEntries = 512;
  /// Bytes of bulk requests and answers in flight at the own target.
  std::uint64_t MaxBulkBytes = 64ULL << 20;
  /// Refuse interactive requests that cannot finish in time.
  bool ShedByDeadline = true;
  /// Attempts of one call, the first one included.
  std::uint32_t MaxAttempts = 3;
  /// Latest deadline of a call after its arrival.
  core::Seconds MaxCallDuration{600};
  /// Keys older than this are refused; at most the retention of the log
  /// (docs/claims.md gives the memory that an hour takes).
  core::Seconds ClaimRetention{3600};
};

/// @brief What a node knows about itself when it starts.
struct Settings {
  core::NodeId Self;
  core::Incarnation Incarnation;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  std::uint64_t Seed = 0;
  Limits Bounds;
  AnyPicker Picker;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_SETTINGS_H
