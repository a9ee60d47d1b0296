#ifndef FILBERTVANE_CONFIG_LOGRECORD_H
#define FILBERTVANE_CONFIG_LOGRECORD_H

#include "filbertvane/config/SheetDelta.h"
#include "filbertvane/core/Digest.h"
#include <cstdint>
#include <variant>

namespace filbertvane::config {

/// Share of a service's requests, in thousandths (0 to 1000).
using Permille = std::uint16_t;
inline constexpr Permille FullShare = 1000;

/// @brief An operator published a sheet.
struct SheetPublished {
  /// Sheet version that the delta applies to. The record is refused if another
  /// sheet has been accepted since.
  core::ConfigVersion Base;
  SheetDelta Delta;
  std::string Operator;
  core::WallTime PublishedAt;

  friend auto operator<=>(const SheetPublished &,
                          const SheetPublished &) = default;
};

/// @brief The lead node of a data centre claimed the coordinator lease.
struct LeaseClaimed {
  core::NodeId Holder;
  /// The claim succeeds only if this is the current epoch plus 1.
  core::Epoch NewEpoch;

  friend auto operator<=>(const LeaseClaimed &, const LeaseClaimed &) = default;
};

/// @brief Identifies a move.

struct MoveId {
  core::ServiceName Service;
  /// Configuration version in which the sheet with the move was accepted.
  core::ConfigVersion OrderedIn;

  friend auto operator<=>(const MoveId &, const MoveId &) = default;
};

/// @brief The coordinator raised the traffic share of the new version.
struct MoveStepped {
  core::Epoch LeaseEpoch;
  MoveId Move;
  Permille Share;

  friend auto operator<=>(const MoveStepped &, const MoveStepped &) = default;
};

/// @brief Reason and request counts on which the end of a move was decided.
struct MoveDecision {
  /// Route on which the versions differed; empty for the whole service.
  core::RouteName Route;
  /// Reason for the operator, for example "9 of 41 answers failed, 0 of 780
  /// on the old version".
  std::string Reason;
  std::uint64_t NewAnswers = 0;
  std::uint64_t NewFaults = 0;
  std::uint64_t OldAnswers = 0;
  std::uint64_t OldFaults = 0;

  friend auto operator<=>(const MoveDecision &, const MoveDecision &) = default;
};

/// @brief The coordinator returned all traffic to the old version.
struct MoveRolledBack {
  core::Epoch LeaseEpoch;
  MoveId Move;
  core::WallTime At;
  MoveDecision Decision;

  friend auto operator<=>(const MoveRolledBack &,
                          const MoveRolledBack &) = default;
};

/// @brief The coordinator gave all traffic of the service to the new version.
struct MoveCompleted {
  core::Epoch LeaseEpoch;
  MoveId Move;
  core::WallTime At;
  MoveDecision Decision;

  friend auto operator<=>(const MoveCompleted &,
                          const MoveCompleted &) = default;
};

/// @brief The coordinator reported where a configuration version is in force.
struct InForceReported {
  core::Epoch LeaseEpoch;
  core::ConfigVersion Version;
  core::WallTime At;
  /// Unreachable data centres, each with the time since which it is so.
  std::vector<std::pair<core::DataCentreId, core::WallTime>> Missing;

  friend auto operator<=>(const InForceReported &,
                          const InForceReported &) = default;
};

/// @brief Snapshot of the fleet state; earlier records may then expire.
struct SnapshotTaken {
  core::Epoch LeaseEpoch;
  /// Last offset whose record the snapshot includes.
  core::LogOffset UpTo;
  core::Digest StateDigest;
  /// Encoded fleet state (wire/RecordCodec.h).
  std::string State;

  friend auto operator<=>(const SnapshotTaken &,
                          const SnapshotTaken &) = default;
};

using RecordBody =
    std::variant<SheetPublished, LeaseClaimed, MoveStepped, MoveRolledBack,
                 MoveCompleted, InForceReported, SnapshotTaken>;

/// @brief One record of the `config` stream.
struct LogRecord {
  core::WriterId Writer;
  /// Increases with each record of a writer, so that readers can drop
  /// duplicates.
  std::uint64_t Sequence = 0;
  RecordBody Body;

  friend auto operator<=>(const LogRecord &, const LogRecord &) = default;
};

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_LOGRECORD_H
