#ifndef FILBERTVANE_DECISION_MESH_HOSTREPORT_H
#define FILBERTVANE_DECISION_MESH_HOSTREPORT_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/decision/TargetLoad.h"
#include <optional>
#include <vector>

namespace filbertvane::decision::mesh {

/// @brief Whether a target takes requests.
enum class TargetState : std::uint8_t {
  Ready,
  /// Announced that it leaves.
  Draining,
  /// Refuses connections, or announced nothing for too long.
  Down,
};

/// @brief Answers of a target on one route since its start.
struct RouteTally {
  core::RouteName Route;
  std::uint64_t Answers = 0;
  /// Answers with a server error, and answers that were lost.
  std::uint64_t Faults = 0;
  /// Sum of the times of the answers without fault.
  core::Milliseconds Time{0};

  friend auto operator<=>(const RouteTally &, const RouteTally &) = default;
};

/// @brief What a node says of the target on its host.
struct TargetReport {
  core::TargetId Id;
  core::ServiceName Service;
  core::TargetVersion Version;
  TargetState State = TargetState::Ready;
  TargetLoad Load;
  /// Recent answers with a fault, in thousandths.
  std::uint32_t FaultPermille = 0;
  std::vector<RouteTally> Tallies;

  friend auto operator<=>(const TargetReport &, const TargetReport &) = default;
};

/// @brief One life of a target that said that it leaves.
struct LeftTarget {
  core::TargetId Id;
  /// Start of the target's process; 0 when it is not known.
  std::uint64_t Born = 0;

  friend auto operator<=>(const LeftTarget &, const LeftTarget &) = default;
};

/// @brief How far a move has come; a higher phase replaces a lower one.
enum class MovePhase : std::uint8_t {
  Running,
  /// The new version was found bad; the report is not yet written.
  Condemned,
  Completed,
  RolledBack,
};

/// @brief What a node knows of a move.
struct MoveReport {
  core::ServiceName Service;
  core::TargetVersion To;
  /// Offset of the order in the operators' records.
  core::LogOffset Order;
  MovePhase Phase = MovePhase::Running;
  /// Time since the order, as the node knows it.
  core::Milliseconds Elapsed{0};

  friend auto operator<=>(const MoveReport &, const MoveReport &) = default;
};

/// @brief What a node tells the others of itself.
struct HostReport {
  core::NodeId Node;
  /// Differs between two processes of a host.
  core::Incarnation Start;
  /// Rises with each report of a process.
  std::uint64_t Sequence = 0;
  /// IP address; ports are the same on all hosts.
  std::string Address;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  /// The process stops; it takes no further requests.
  bool Leaving = false;
  std::optional<TargetReport> Target;
  /// Last target of the host that said that it leaves; the next process of the
  /// host learns it from the store.
  std::optional<LeftTarget> Left;
  /// Operators' records that the node has read.
  core::LogOffset Position;
  /// The store answers the node.
  bool StoreReachable = false;
  std::vector<MoveReport> Moves;

  friend auto operator<=>(const HostReport &, const HostReport &) = default;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_HOSTREPORT_H
