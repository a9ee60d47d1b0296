#ifndef FILBERTVANE_DECISION_MESH_RECORDLAG_H
#define FILBERTVANE_DECISION_MESH_RECORDLAG_H

#include "filbertvane/core/Time.h"
#include "filbertvane/decision/mesh/StorePosition.h"
#include <deque>
#include <optional>

namespace filbertvane::decision::mesh {

/// @brief Operator records that other nodes have read and this one has not.
class RecordLag {
public:
  struct Missing {
    /// Position of a node that has the records.
    StorePosition Position;
    core::TimePoint ReportedAt;

    friend auto operator<=>(const Missing &, const Missing &) = default;
  };

  /// @brief Notes the position of another node.
  /// @param Own position of this node
  void note(const StorePosition &Position, const StorePosition &Own,
            core::TimePoint Now);
  /// @brief This node has read all records up to a position.
  void reach(const StorePosition &Own);
  /// @brief The records that have been missing longest; none when this node
  ///        has all that others are known to have.
  std::optional<Missing> oldest() const;

private:
  /// In the order of their positions.
  std::deque<Missing> Known;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_RECORDLAG_H
