#ifndef FILBERTVANE_CONFIG_FLEETSTATE_H
#define FILBERTVANE_CONFIG_FLEETSTATE_H

#include "filbertvane/config/LogRecord.h"
#include "filbertvane/core/Result.h"
#include <map>

namespace filbertvane::config {

/// @brief Stage of a move.
enum class MoveStage { InProgress, Completed, RolledBack, Superseded };

/// @brief A move and its report.
struct MoveStatus {
  MoveId Id;
  core::TargetVersion From;
  MoveOrder Order;
  core::WallTime AcceptedAt;
  MoveStage Stage = MoveStage::InProgress;
  Permille Share = 0;
  /// Set once the stage is final.
  std::optional<core::WallTime> EndedAt;
  std::optional<MoveDecision> Decision;

  friend auto operator<=>(const MoveStatus &, const MoveStatus &) = default;
};

/// @brief Versions of a service and the share of the newer one.
struct TrafficSplit {
  core::TargetVersion Stable;
  /// Version being moved to; none when no move is in progress.
  std::optional<core::TargetVersion> Candidate;
  Permille CandidateShare = 0;

  friend auto operator<=>(const TrafficSplit &, const TrafficSplit &) = default;
};

/// @brief A sheet that was refused, for its operator's report.
struct RefusedSheet {
  core::LogOffset Offset;
  std::string Operator;
  core::Error Reason;

  friend auto operator<=>(const RefusedSheet &, const RefusedSheet &) = default;
};

/// @brief State that each reader of the `config` stream computes.
///
/// A pure fold of the records in log order: two readers at the same offset
/// have equal states. All collections are ordered and bounded.
struct FleetState {
  /// @name Position
  /// @{
  /// Offset of the next record to apply.
  core::LogOffset NextOffset;
  core::ConfigVersion Version;
  /// Version at which the current sheet was accepted.
  core::ConfigVersion SheetVersion;
  /// @}

  /// @name Configuration
  /// @{
  Sheet CurrentSheet;
  std::map<core::ServiceName, TrafficSplit> TrafficByService;
  /// @}

  /// @name Moves and reports
  /// @{
  /// Moves in order of acceptance; final ones are kept up to a limit.
  std::vector<MoveStatus> Moves;
  std::vector<RefusedSheet> RefusedSheets;
  std::optional<InForceReported> InForce;
  /// @}

  /// @name Lease and writers
  /// @{
  core::Epoch CurrentEpoch;
  core::NodeId LeaseHolder;
  /// Highest sequence seen of each writer.
  std::map<core::WriterId, std::uint64_t> LastSequence;
  /// @}

  friend auto operator<=>(const FleetState &, const FleetState &) = default;
};

/// @brief The record changed the configuration.
struct Accepted {
  core::ConfigVersion Version;
  friend auto operator<=>(const Accepted &, const Accepted &) = default;
};
/// @brief The record is valid and leaves the configuration as it is.
struct Recorded {
  friend auto operator<=>(const Recorded &, const Recorded &) = default;
};
/// @brief The record was seen before (same writer and sequence, or old offset).
struct Duplicate {
  friend auto operator<=>(const Duplicate &, const Duplicate &) = default;
};
/// @brief The record has no effect, for a reason that every reader finds.
struct Refused {
  core::Error Reason;
  friend auto operator<=>(const Refused &, const Refused &) = default;
};

using RecordOutcome = std::variant<Accepted, Recorded, Duplicate, Refused>;

/// @brief New state and what the record meant.
struct ApplyResult {
  FleetState State;
  RecordOutcome Outcome;
};

/// @brief Applies one record of the log.
/// @param State state before the record
/// @param Offset offset of the record; one below `State.NextOffset` is a
/// duplicate
/// @param Record the record
ApplyResult apply(FleetState State, core::LogOffset Offset,
                  const LogRecord &Record);

/// @brief Digest of the canonical encoding; equal for equal states.
core::Digest digestOf(const FleetState &State);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_FLEETSTATE_H
