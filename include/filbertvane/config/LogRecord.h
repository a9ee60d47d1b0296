#ifndef FILBERTVANE_CONFIG_LOGRECORD_H
#define FILBERTVANE_CONFIG_LOGRECORD_H

#include "filbertvane/config/SheetDelta.h"
#include "filbertvane/core/Digest.h"
#include <cstdint>
#include <variant>

namespace filbertvane::config {

/// Share of a service's requests, in thousandths.
using Permille = std::uint16_t;
inline constexpr Permille FullShare = 1000;

/// @brief An operator published a sheet.
struct SheetPublished {
  /// Sheet version that the delta applies to; the record is refused when
  /// another sheet was accepted since.
  core::ConfigVersion Base;
  SheetDelta Delta;
  std::string Operator;
  core::WallTime PublishedAt;

  friend auto operator<=>(const SheetPublished &,
                          const SheetPublished &) = default;
};

/// @brief A data centre lead claims the coordinator lease.
struct LeaseClaimed {
  core::NodeId Holder;
  /// Valid iff it is the current epoch plus 1.
  core::Epoch NewEpoch;

  friend auto operator<=>(const LeaseClaimed &, const LeaseClaimed &) = default;
};

/// @brief Identifies one move: the service and the version in which its sheet
///        was accepted.
struct MoveId {
  core::ServiceName Service;
  core::ConfigVersion OrderedIn;

  friend auto operator<=>(const MoveId &, const MoveId &) = default;
};

/// @brief The coordinator raised the share of a move's new version.
struct MoveStepped {
  core::Epoch LeaseEpoch;
  MoveId Move;
  Permille Share;

  friend auto operator<=>(const MoveStepped &, const MoveStepped &) = default;
};

/// @brief Figures that decided a move, for its report.
struct MoveDecision {
  /// Route on which the difference showed; empty for the whole service.
  core::RouteName Route;
  /// Sentence for a planner, for example "9 of 41 answers failed, 0 of 780
  /// on the old version".
  std::string Reason;
  std::uint64_t NewAnswers = 0;
  std::uint64_t NewFaults = 0;
  std::uint64_t OldAnswers = 0;
  std::uint64_t OldFaults = 0;

  friend auto operator<=>(const MoveDecision &, const MoveDecision &) = default;
};

/// @brief The coordinator rolled a move back to the old version.
struct MoveRolledBack {
  core::Epoch LeaseEpoch;
  MoveId Move;
  core::WallTime At;
  MoveDecision Decision;

  friend auto operator<=>(const MoveRolledBack &,
                          const MoveRolledBack &) = default;
};

/// @brief The new version takes all traffic of the service.
struct MoveCompleted {
  core::Epoch LeaseEpoch;
  MoveId Move;
  core::WallTime At;
  MoveDecision Decision;

  friend auto operator<=>(const MoveCompleted &,
                          const MoveCompleted &) = default;
};

/// @brief Which data centres hold a configuration version.
struct InForceReported {
  core::Epoch LeaseEpoch;
  core::ConfigVersion Version;
  core::WallTime At;
  /// Data centres that cannot be reached, each with the time since when.
  std::vector<std::pair<core::DataCentreId, core::WallTime>> Missing;

  friend auto operator<=>(const InForceReported &,
                          const InForceReported &) = default;
};

/// @brief Whole fleet state, so that older records may expire.
struct SnapshotTaken {
  core::Epoch LeaseEpoch;
  /// The snapshot holds the effect of all records up to this offset.
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
  /// Rises with each record of a writer; readers drop a repeated pair.
  std::uint64_t Sequence = 0;
  RecordBody Body;

  friend auto operator<=>(const LogRecord &, const LogRecord &) = default;
};

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_LOGRECORD_H
