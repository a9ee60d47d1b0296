#ifndef FILBERTVANE_DECISION_DISTRIBUTION_POSITION_H
#define FILBERTVANE_DECISION_DISTRIBUTION_POSITION_H

#include "filbertvane/core/Digest.h"
#include "filbertvane/core/Ids.h"

namespace filbertvane::decision {

/// @brief Position of a node in the `config` stream.
struct Position {
  /// Offset of the next record to apply.
  core::LogOffset NextOffset;
  /// Digest of the state before that record; used to detect divergence.
  core::Digest StateDigest;
  core::ConfigVersion Version;
  /// The node is ready, which means that its version is in force and is known
  /// to be current.
  bool Ready = false;

  friend auto operator<=>(const Position &, const Position &) = default;
};

/// @brief Id and control address of a node.
struct Peer {
  core::NodeId Node;
  std::string Address;

  friend auto operator<=>(const Peer &, const Peer &) = default;
};

} // namespace filbertvane::decision

#endif // FILBERTVANE_DECISION_DISTRIBUTION_POSITION_H
