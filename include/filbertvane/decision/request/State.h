#ifndef FILBERTVANE_DECISION_REQUEST_STATE_H
#define FILBERTVANE_DECISION_REQUEST_STATE_H

#include "filbertvane/decision/request/Admission.h"
#include "filbertvane/decision/request/Call.h"
#include "filbertvane/decision/request/RetryBudget.h"
#include "filbertvane/decision/request/Settings.h"
#include "filbertvane/decision/request/SpilloverEstimator.h"
#include "filbertvane/decision/request/Suspects.h"
#include "filbertvane/decision/request/VersionSelector.h"
#include "filbertvane/decision/request/claims/KeptResults.h"
#include <map>

namespace filbertvane::decision::request {

/// @brief Targets of one version of a service, by locality.
struct VersionPool {
  core::TargetVersion Version;
  std::array<std::vector<TargetIndex>, LocalityCount> Members;
  /// Members that are not ejected.
  std::array<std::vector<TargetIndex>, LocalityCount> Active;
};

/// @brief State of one service.
struct ServiceState {
  core::ServiceName Name;
  config::TrafficSplit Versions;
  bool HasIdempotentRoute = false;
  VersionSelector Selector;
  RetryBudget Retries;
  SpilloverEstimator Spillover;
  std::vector<VersionPool> Pools;

  VersionPool *poolOf(const core::TargetVersion &Version);
};

/// @brief Deadline of a call, ordered by time.
struct Expiry {
  core::TimePoint Deadline;
  core::CallId Id;
  friend auto operator<=>(const Expiry &, const Expiry &) = default;
};

/// @brief Fields of `State`.
struct StateFields {
  explicit StateFields(Settings InitialConfig);

  Settings Config;
  core::Random Rng;
  bool Draining = false;

  /// @name Configuration and targets
  /// @{
  std::shared_ptr<const config::FleetState> Fleet;
  RouteTable Routes;
  std::unordered_map<core::ServiceName, ServiceState> Services;
  TargetTable Targets;
  /// Slots and queues of the local targets.
  std::map<TargetIndex, Admission> LocalTargets;
  /// @}

  /// @name Calls
  /// @{
  std::unordered_map<core::CallId, Call> Calls;
  /// Min-heap; entries of ended calls are skipped, and removed once they are
  /// the majority.
  std::vector<Expiry> Expiries;
  /// Time of the next search for targets to eject or to re-admit.
  core::TimePoint NextReview;
  std::uint64_t LastAttemptId = 0;
  claims::KeptResults Results;
  Suspects KnownSuspects;
  /// @}
};

/// @brief State of the request handling of one node, moved through `reduce`.
///
/// The fields are on the heap because moving them for each event cost more than
/// the event itself (docs/routing.md).
class State {
public:
  explicit State(Settings InitialConfig)
      : Fields(std::make_unique<StateFields>(std::move(InitialConfig))) {}

  StateFields &operator*() { return *Fields; }
  StateFields *operator->() { return Fields.get(); }
  const StateFields *operator->() const { return Fields.get(); }

private:
  std::unique_ptr<StateFields> Fields;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_STATE_H
