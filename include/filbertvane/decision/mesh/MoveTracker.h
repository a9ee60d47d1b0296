#ifndef FILBERTVANE_DECISION_MESH_MOVETRACKER_H
#define FILBERTVANE_DECISION_MESH_MOVETRACKER_H

#include "filbertvane/decision/mesh/HostReport.h"
#include <map>
#include <set>

namespace filbertvane::decision::mesh {

/// @brief An operator's order to move a service to another version.
struct MoveOrdered {
  core::ServiceName Service;
  core::TargetVersion To;
  core::Milliseconds Duration{0};
  /// Offset of the order in the operators' records.
  core::LogOffset Order;
  /// The order was read from history: its age is not known.
  bool Old = false;

  friend auto operator<=>(const MoveOrdered &, const MoveOrdered &) = default;
};

/// @brief A move as this node follows it.
struct TrackedMove {
  MoveOrdered What;
  core::TimePoint Began;
  core::TimePoint Deadline;
  MovePhase Phase = MovePhase::Running;
  /// Why the new version was found bad.
  std::string Reason;

  bool over() const {
    return Phase == MovePhase::Completed || Phase == MovePhase::RolledBack;
  }
};

/// @brief Which versions of a service take requests.
struct VersionShares {
  /// Version that is being moved to; none when no move is under way.
  std::optional<core::TargetVersion> Candidate;
  /// Part of the requests that goes to the candidate, in thousandths.
  std::uint32_t CandidatePermille = 0;
  /// Versions that take none.
  std::set<core::TargetVersion> Banned;
  /// All requests go to this version while it has a ready target.
  std::optional<core::TargetVersion> Only;
};

/// @brief Answers of one version on one route, summed over hosts.
struct VersionSample {
  std::uint64_t Answers = 0;
  std::uint64_t Faults = 0;
  double TimeMs = 0;
};

/// @brief Verdict of the evidence about a new version.
struct MoveVerdict {
  bool Bad = false;
  std::string Reason;
};

/// @brief Compares the new version with the others of its service.
///
/// A fault of one host says nothing about a version, so at least two hosts of
/// the new version have to show it when two have answered.
MoveVerdict judgeMove(const TrackedMove &Move,
                      const std::vector<const TargetReport *> &Targets);

/// @brief Moves of all services, from the operators' orders to their ends.
///
/// The share of the new version follows from the time since the order, so that
/// all nodes agree on it without messages.
class MoveTracker {
public:
  /// @brief Takes an order; an older one than the known one is ignored.
  /// @return whether it is new
  bool order(const MoveOrdered &What, core::TimePoint Now);
  /// @brief Takes what another node knows of a move.
  void hear(const MoveReport &What, core::TimePoint Now);
  /// @brief Records a phase; a lower one changes nothing.
  /// @return whether the phase rose
  bool advance(const core::ServiceName &Service, MovePhase To,
               std::string Reason);

  VersionShares shares(const core::ServiceName &Service,
                       core::TimePoint Now) const;
  /// @brief Whether all traffic has moved, so that the move may be completed.
  bool settled(const TrackedMove &Move, core::TimePoint Now) const;
  std::vector<MoveReport> reports(core::TimePoint Now) const;
  const std::map<core::ServiceName, TrackedMove> &moves() const {
    return Moves;
  }

private:
  std::map<core::ServiceName, TrackedMove> Moves;
  /// Versions of earlier orders that did not complete.
  std::map<core::ServiceName, std::set<core::TargetVersion>> Unproven;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_MOVETRACKER_H
