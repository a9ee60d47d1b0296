#ifndef FILBERTVANE_DECISION_ROLLOUT_LOCALROLLBACK_H
#define FILBERTVANE_DECISION_ROLLOUT_LOCALROLLBACK_H

#include "filbertvane/config/FleetState.h"
#include <map>
#include <vector>

namespace filbertvane::decision::rollout {

/// @brief A local rollback: the new version of a move gets share 0 although the
///        configuration in force says otherwise.
///
/// It holds until the move ends or the coordinator steps it beyond the share
/// at which the overlay was made.
struct LocalRollback {
  config::MoveId Move;
  /// Data centre for which it holds; empty for the whole fleet.
  core::DataCentreId DataCentre;
  /// Share of the move in the configuration that it was made on.
  config::Permille Share = 0;
  core::WallTime CreatedAt;
  /// False when a fault shared by both versions is not yet ruled out.
  bool Proven = false;
  config::MoveDecision Verdict;

  friend bool operator==(const LocalRollback &,
                         const LocalRollback &) = default;
};

/// @brief Overlays of a node, merged from its own decisions and those of
///        others; the result does not depend on their order.
class LocalRollbackSet {
public:
  /// Overlays that are kept; further ones are dropped.
  static constexpr std::size_t MaxRollbacks = 256;

  /// @brief Adds an overlay.
  /// @return true when the set changed
  bool add(const LocalRollback &Added);

  /// @brief Drops overlays whose move has ended, is unknown after this
  ///        configuration version, or was stepped further.
  /// @return the dropped ones
  std::vector<LocalRollback> prune(const config::FleetState &Fleet);

  /// @brief Overlays of a move.
  std::vector<LocalRollback> forMove(const config::MoveId &Move) const;

  /// @brief Overlays made for one data centre; for the fleet when it is empty.
  std::vector<LocalRollback> forDataCentre(const core::DataCentreId &Id) const;

  /// @brief Moves that have an overlay in force in a data centre.
  std::vector<config::MoveId> activeMoves(const core::DataCentreId &Here) const;

  friend bool operator==(const LocalRollbackSet &,
                         const LocalRollbackSet &) = default;

private:
  using Key = std::pair<config::MoveId, core::DataCentreId>;
  std::map<Key, LocalRollback> Rollbacks;
};

/// @brief The move with this id in the fleet state; null when there is none.
const config::MoveStatus *findMove(const config::FleetState &Fleet,
                                   const config::MoveId &Id);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_LOCALROLLBACK_H
