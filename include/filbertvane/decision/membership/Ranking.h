#ifndef FILBERTVANE_DECISION_MEMBERSHIP_RANKING_H
#define FILBERTVANE_DECISION_MEMBERSHIP_RANKING_H

#include "filbertvane/core/Ids.h"
#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace filbertvane::decision::membership {

/// Maximum children of a node in the distribution tree.
inline constexpr std::size_t TreeFanOut = 8;

/// @brief Nodes by descending rendezvous score for a key.
///
/// For the key of a data centre, rank 0 is the lead and rank 1 the standby.
/// Complexity: O(n log n).
std::vector<core::NodeId> rendezvousOrder(std::string_view Key,
                                          std::vector<core::NodeId> Nodes);

/// @brief Node with the highest rendezvous score for a key, for example the
///        claim keeper of a partition; none without nodes.
///
/// Complexity: O(n).
std::optional<core::NodeId>
rendezvousWinner(std::string_view Key, const std::vector<core::NodeId> &Nodes);

/// @brief Key of a claim partition for `rendezvousWinner`.
std::string claimPartitionKey(std::uint32_t Partition);

/// @brief Index of a node in an order; none if absent.
std::optional<std::size_t> rankOf(const std::vector<core::NodeId> &Order,
                                  const core::NodeId &Node);

/// @brief Ranks of the children of a rank in the distribution tree.
/// @param Count number of nodes in the order
std::vector<std::size_t> childRanks(std::size_t Rank, std::size_t Count);

} // namespace filbertvane::decision::membership

#endif // FILBERTVANE_DECISION_MEMBERSHIP_RANKING_H
