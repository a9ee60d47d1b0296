#ifndef FILBERTVANE_DECISION_REQUEST_SETTINGS_H
#define FILBERTVANE_DECISION_REQUEST_SETTINGS_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Time.h"
#include "filbertvane/decision/request/TargetPicker.h"

namespace filbertvane::decision::request {

/// @brief Limits of the request handling of one node.
struct Limits {
  /// Calls in progress.
  std::size_t MaxCalls = 65536;
  /// Requests that wait for the local target.
  std::size_t MaxQueueEntries = 512;
  /// Bytes of bulk requests and answers in flight at the local target.
  std::uint64_t MaxBulkBytes = 64ULL << 20;
  /// Refuse interactive requests that cannot finish before their deadline.
  bool ShedByDeadline = true;
  /// Attempts of one call, including the first one.
  std::uint32_t MaxAttempts = 3;
  /// Latest deadline of a call after its arrival.
  core::Seconds MaxCallDuration{600};
  /// Keys older than this are refused; must not exceed the retention of the log
  /// (docs/claims.md gives the memory used per hour of retention).
  core::Seconds ClaimRetention{3600};
};

/// @brief Identity, location and configuration of a node at its start.
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
