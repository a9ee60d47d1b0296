#ifndef FILBERTVANE_DECISION_ROLLOUT_LOCALROLLBACK_H
#define FILBERTVANE_DECISION_ROLLOUT_LOCALROLLBACK_H

#include "filbertvane/config/FleetState.h"
#include <map>
#include <vector>

namespace filbertvane::decision::rollout {

/// @brief Override that gives the new version of a move the share 0, whatever
///        the configuration in force says.
///
/// It is valid until the move ends or the coordinator raises its share above
/// the one at which the rollback was created.
struct LocalRollback {
  config::MoveId Move;
  /// Data centre in which it applies; empty for the whole fleet.
  core::DataCentreId DataCentre;
  /// Share of the move when the rollback was created.
  config::Permille Share = 0;
  core::WallTime CreatedAt;
  /// False while a fault shared by both versions is not ruled out.
  bool Proven = false;
  config::MoveDecision Verdict;

  friend bool operator==(const LocalRollback &,
                         const LocalRollback &) = default;
};

/// @brief Local rollbacks known to a node, its own and those of other nodes.
///
/// The set does not depend on the order in which they were added.
class LocalRollbackSet {
public:
  /// Maximum number of rollbacks; further ones are dropped.
  static constexpr std::size_t MaxRollbacks = 256;

  /// @brief Adds a rollback.
  /// @return true when the set changed
  bool add(const LocalRollback &Rollback);

  /// @brief Drops the rollbacks of moves that have ended, are no longer in the
  ///        configuration, or got a higher share.
  /// @return the dropped rollbacks
  std::vector<LocalRollback> prune(const config::FleetState &Fleet);

  /// @brief Rollbacks of a move.
  std::vector<LocalRollback> forMove(const config::MoveId &Move) const;

  /// @brief Rollbacks for one data centre; for the whole fleet when `Id` is
  ///        empty.
  std::vector<LocalRollback> forDataCentre(const core::DataCentreId &Id) const;

  /// @brief Moves that are rolled back in a data centre.
  std::vector<config::MoveId>
  activeMoves(const core::DataCentreId &DataCentre) const;

  friend bool operator==(const LocalRollbackSet &,
                         const LocalRollbackSet &) = default;

private:
  using Key = std::pair<config::MoveId, core::DataCentreId>;
  std::map<Key, LocalRollback> Rollbacks;
};

/// @brief Finds a move by its id; null when the fleet state has none.
const config::MoveStatus *findMove(const config::FleetState &Fleet,
                                   const config::MoveId &Id);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_LOCALROLLBACK_H
