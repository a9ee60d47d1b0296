#ifndef FILBERTVANE_CONFIG_FLEETSTATE_H
#define FILBERTVANE_CONFIG_FLEETSTATE_H

#include "filbertvane/config/LogRecord.h"
#include "filbertvane/core/Result.h"
#include <map>

namespace filbertvane::config {

/// @brief Stage of a traffic move to a new version. The last three are final.
enum class MoveStage { InProgress, Completed, RolledBack, Superseded };

/// @brief Progress and outcome of a move.
struct MoveStatus {
  MoveId Id;
  core::TargetVersion From;
  MoveOrder Order;
  core::WallTime AcceptedAt;
  MoveStage Stage = MoveStage::InProgress;
  Permille Share = 0;
  /// Set once the stage is final.
  std::optional<core::WallTime> EndedAt;
  /// None while in progress or when superseded.
  std::optional<MoveDecision> Decision;

  friend auto operator<=>(const MoveStatus &, const MoveStatus &) = default;
};

/// @brief Split of a service's traffic between two versions.
struct TrafficSplit {
  core::TargetVersion Stable;
  /// Version that the move in progress leads to; none without a move.
  std::optional<core::TargetVersion> Candidate;
  Permille CandidateShare = 0;

  friend auto operator<=>(const TrafficSplit &, const TrafficSplit &) = default;
};

/// @brief A refused sheet, kept for the operator's report.
struct RefusedSheet {
  core::LogOffset Offset;
  std::string Operator;
  core::Error Reason;

  friend auto operator<=>(const RefusedSheet &, const RefusedSheet &) = default;
};

/// @brief Fleet configuration that each reader derives from the `config`
///        stream.
///
/// Applying the records in log order is deterministic: readers at the same
/// offset have equal states. All collections are ordered and bounded.
struct FleetState {
  /// @name Position
  /// @{
  /// Offset of the next record to apply.
  core::LogOffset NextOffset;
  core::ConfigVersion Version;
  /// Configuration version in which the current sheet was accepted.
  core::ConfigVersion SheetVersion;
  /// @}

  /// @name Configuration
  /// @{
  Sheet CurrentSheet;
  std::map<core::ServiceName, TrafficSplit> TrafficByService;
  /// @}

  /// @name Moves and reports
  /// @{
  /// Moves in order of acceptance; the oldest ended moves are dropped beyond
  /// a limit.
  std::vector<MoveStatus> Moves;
  std::vector<RefusedSheet> RefusedSheets;
  std::optional<InForceReported> InForce;
  /// @}

  /// @name Lease and writers
  /// @{
  core::Epoch CurrentEpoch;
  core::NodeId LeaseHolder;
  /// Highest sequence applied for each writer.
  std::map<core::WriterId, std::uint64_t> LastSequence;
  /// @}

  friend auto operator<=>(const FleetState &, const FleetState &) = default;
};

/// @brief The record changed the configuration and raised its version.
struct Accepted {
  core::ConfigVersion Version;
  friend auto operator<=>(const Accepted &, const Accepted &) = default;
};
/// @brief The record is valid but does not change the configuration version.
struct Recorded {
  friend auto operator<=>(const Recorded &, const Recorded &) = default;
};
/// @brief The record was applied before: its offset, or its sequence for the
///        same writer, is not newer than the last one applied.
struct Duplicate {
  friend auto operator<=>(const Duplicate &, const Duplicate &) = default;
};
/// @brief The record is invalid. Every reader refuses it for the same reason.
struct Refused {
  core::Error Reason;
  friend auto operator<=>(const Refused &, const Refused &) = default;
};

using RecordOutcome = std::variant<Accepted, Recorded, Duplicate, Refused>;

/// @brief State after a record, and the outcome of the record.
struct ApplyResult {
  FleetState State;
  RecordOutcome Outcome;
};

/// @brief Applies one record of the log.
/// @param Offset offset of the record; one below `State.NextOffset` is a
/// duplicate
ApplyResult apply(FleetState State, core::LogOffset Offset,
                  const LogRecord &Record);

/// @brief Digest of the canonical encoding; equal states have equal digests.
core::Digest digestOf(const FleetState &State);

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_FLEETSTATE_H
