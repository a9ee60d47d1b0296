#ifndef FILBERTVANE_DECISION_MESH_MOVETRACKER_H
#define FILBERTVANE_DECISION_MESH_MOVETRACKER_H

#include "filbertvane/decision/mesh/HostReport.h"
#include "filbertvane/decision/rollout/SequentialTest.h"
#include <map>
#include <set>

namespace filbertvane::decision::mesh {

/// @brief An operator's order to move a service to another version.
struct MoveOrdered {
  core::ServiceName Service;
  core::TargetVersion NewVersion;
  core::Milliseconds Duration{0};
  /// Position of the order in the operator records.
  StorePosition OrderPosition;
  /// The order was read from history, so that its age is unknown.
  bool FromHistory = false;
  /// Latest position at which the store had an order for the service; later
  /// than that of the order when the store has lost it and has an older one.
  StorePosition SeenAt = {};
  /// The order is known; the store has it, or an older one, at another
  /// position.
  bool Renumbered = false;

  friend auto operator<=>(const MoveOrdered &, const MoveOrdered &) = default;
};

/// @brief A move as tracked by this node.
struct TrackedMove {
  MoveOrdered Order;
  core::TimePoint StartedAt;
  core::TimePoint Deadline;
  MovePhase Phase = MovePhase::Running;
  /// Why the new version was rejected.
  std::string Reason;
  /// Positions of the order in earlier eras of the store.
  std::vector<StorePosition> FormerPositions;
  /// Time from which the new version had answered often enough.
  std::optional<core::TimePoint> SufficientSince;

  bool ended() const {
    return Phase == MovePhase::Completed || Phase == MovePhase::RolledBack;
  }
};

/// @brief Distribution of requests over the versions of a service.
struct VersionShares {
  /// New version of the move in progress; none without one.
  std::optional<core::TargetVersion> Candidate;
  /// Share of the requests for the candidate, in thousandths.
  std::uint32_t CandidatePermille = 0;
  /// Versions that get no requests.
  std::set<core::TargetVersion> Excluded;
  /// Gets all requests while it has a ready target.
  std::optional<core::TargetVersion> Exclusive;
};

/// @brief Result of comparing a new version with the others.
struct MoveVerdict {
  /// `Proven` rejects the version; `Suspected` holds its share where it is.
  rollout::Finding Result = rollout::Finding::None;
  std::string Reason;
  /// A version with faults would have been suspected by now.
  bool Sufficient = false;
};

/// @brief Compares the new version of a move with the others of its service.
///
/// A fault at a single host is not evidence against a version: when two hosts
/// of the new version have answered, at least two must show the fault.
MoveVerdict evaluateMove(const TrackedMove &Move,
                         const std::vector<const TargetReport *> &Targets);

/// @brief Tracks the moves of all services from order to completion or
///        rollback.
///
/// The share of the new version follows from the time since the order, so that
/// all nodes agree on it without messages. It does not exceed a tenth of all
/// requests before the new version has answered often enough.
class MoveTracker {
public:
  /// @brief Starts tracking an order unless the same or a newer one of the era
  ///        is known. Of orders of different eras, the one that is applied last
  ///        counts.
  /// @return whether the order is new
  bool applyOrder(const MoveOrdered &Order, core::TimePoint Now);
  /// @brief Merges the state of a move reported by another node.
  /// @param Era era of the operators' records that this node has read
  void applyReport(const MoveReport &Report, core::TimePoint Now,
                   core::StoreEra Era);
  /// @brief Advances a move to a higher phase.
  /// @return whether the phase changed
  bool advance(const core::ServiceName &Service, MovePhase Phase,
               std::string Reason);

  /// @brief Notes that the new version of a service has answered often enough
  ///        for its faults to show.
  void recordSufficientEvidence(const core::ServiceName &Service,
                                core::TimePoint Now);
  /// @brief Takes that back, since the new version is suspected.
  void withdrawSufficientEvidence(const core::ServiceName &Service);

  VersionShares shares(const core::ServiceName &Service,
                       core::TimePoint Now) const;
  /// @brief Whether a version that is still suspected has to be rejected.
  bool mustDecide(const TrackedMove &Move, core::TimePoint Now) const;
  /// @brief Whether the move has run long enough, with sufficient evidence, to
  ///        be completed.
  bool readyToComplete(const TrackedMove &Move, core::TimePoint Now) const;
  std::vector<MoveReport> reports(core::TimePoint Now) const;
  const std::map<core::ServiceName, TrackedMove> &moves() const {
    return Moves;
  }

private:
  void applyEarlierMove(const MoveReport &Report);
  void applyUnreadOrder(const MoveReport &Report, core::StoreEra Era);
  void applyLaterRejection(const MoveReport &Report);
  void renumber(TrackedMove &Move, const MoveOrdered &Order);
  void eraseUnreadUpTo(const MoveOrdered &Order);

  std::map<core::ServiceName, TrackedMove> Moves;
  /// Newest orders that other nodes reported and this one has not read. Their
  /// versions get no requests, since the shares are not known.
  std::map<core::ServiceName, MoveReport> UnreadOrders;
  /// New versions of earlier orders that did not complete, with the positions
  /// of the orders.
  std::map<core::ServiceName, std::map<core::TargetVersion, StorePosition>>
      UncompletedVersions;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_MOVETRACKER_H
