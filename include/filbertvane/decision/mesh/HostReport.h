#ifndef FILBERTVANE_DECISION_MESH_HOSTREPORT_H
#define FILBERTVANE_DECISION_MESH_HOSTREPORT_H

#include "filbertvane/core/Digest.h"
#include "filbertvane/core/Ids.h"
#include "filbertvane/decision/TargetLoad.h"
#include "filbertvane/decision/mesh/AnswerTimes.h"
#include "filbertvane/decision/mesh/StorePosition.h"
#include <optional>
#include <vector>

namespace filbertvane::decision::mesh {

/// @brief Whether a target accepts requests.
enum class TargetState : std::uint8_t {
  Ready,
  /// Announced that it is leaving.
  Draining,
  /// Refuses connections, or has not announced itself for too long.
  Down,
};

/// @brief Counters of a target's answers on one route since its start, or since
///        the last order of a move of its service.
struct RouteTally {
  core::RouteName Route;
  std::uint64_t Answers = 0;
  /// Answers with a server error, and answers that were lost.
  std::uint64_t Faults = 0;
  /// Times of the answers without fault.
  AnswerTimes Times;
  /// Times after which requests were given up without an answer: each is a
  /// lower bound of an answer time.
  AnswerTimes CutOffTimes;

  friend auto operator<=>(const RouteTally &, const RouteTally &) = default;
};

/// @brief Report on the target of a host.
struct TargetReport {
  core::TargetId Id;
  core::ServiceName Service;
  core::TargetVersion Version;
  TargetState State = TargetState::Ready;
  TargetLoad Load;
  /// Share of recent answers with a fault, in thousandths.
  std::uint32_t FaultPermille = 0;
  std::vector<RouteTally> Tallies;
  /// The same since the last step of the new version's share.
  std::vector<RouteTally> StepTallies;
  /// Requests per second that the target accepts; none without a limit. The
  /// next process of the node reads it from the store.
  std::optional<double> RequestsPerSecond;

  friend auto operator<=>(const TargetReport &, const TargetReport &) = default;
};

/// @brief One process of a target that announced its departure.
struct DepartedTarget {
  core::TargetId Id;
  /// Start of the target's process; 0 when unknown.
  std::uint64_t ProcessStart = 0;

  friend auto operator<=>(const DepartedTarget &,
                          const DepartedTarget &) = default;
};

/// @brief Whether a departure is later than the known one.
inline bool isLater(const DepartedTarget &Departure,
                    const std::optional<DepartedTarget> &Known) {
  return !Known || Departure.ProcessStart > Known->ProcessStart;
}

/// @brief Phase of a move; a higher phase replaces a lower one.
enum class MovePhase : std::uint8_t {
  Running,
  /// The new version was rejected; the rollback is not yet in the store.
  Rejected,
  Completed,
  RolledBack,
};

/// @brief State of a move as known to one node.
struct MoveReport {
  core::ServiceName Service;
  core::TargetVersion NewVersion;
  /// Position of the order in the operator records.
  StorePosition OrderPosition;
  MovePhase Phase = MovePhase::Running;
  /// Time since the order, as known to the node.
  core::Milliseconds Elapsed{0};

  friend auto operator<=>(const MoveReport &, const MoveReport &) = default;
};

/// @brief A request that was running when targets crashed.
struct SuspectRequest {
  core::Digest Request;
  /// Identities of the crashes.
  std::vector<core::Digest> Crashes;

  friend auto operator<=>(const SuspectRequest &,
                          const SuspectRequest &) = default;
};

/// @brief Report of a node about itself.
struct HostReport {
  core::NodeId Node;
  /// Differs between two processes of a host.
  core::Incarnation Incarnation;
  /// Increases with each report of a process.
  std::uint64_t Sequence = 0;
  /// IP address; ports are the same on all hosts.
  std::string Address;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  /// The process is shutting down and takes no further requests.
  bool Leaving = false;
  /// Time until the process exits; set while it shuts down. Answers that arrive
  /// later cannot be forwarded.
  std::optional<core::Milliseconds> ExitsIn;
  std::optional<TargetReport> Target;
  /// Target of the host that last announced its departure; the next process of
  /// the node reads it from the store.
  std::optional<DepartedTarget> Departed;
  /// Departure that a former process of the recipient reported and the present
  /// one does not know of.
  std::optional<DepartedTarget> RecipientDeparted;
  /// Position up to which the node has read the operator records.
  StorePosition Position;
  /// Digest of the records in force that the store has lost; 0 for none.
  core::Digest LostRecords;
  /// The node can reach the store.
  bool StoreReachable = false;
  std::vector<MoveReport> Moves;
  /// Suspects of recent crashes of the host's target, and refused requests; new
  /// processes read the latter from the store.
  std::vector<SuspectRequest> Suspects;

  friend auto operator<=>(const HostReport &, const HostReport &) = default;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_HOSTREPORT_H
