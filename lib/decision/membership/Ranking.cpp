#include "filbertvane/decision/membership/Ranking.h"
#include "filbertvane/core/Digest.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::membership {

namespace {

/// Score and id; the id breaks ties, so that all nodes agree on the order.
using Scored = std::pair<std::uint64_t, core::NodeId>;

Scored scored(std::string_view Key, const core::NodeId &Node) {
  return {core::rendezvousScore(Key, Node.value()), Node};
}

} // namespace

std::vector<core::NodeId> rendezvousOrder(std::string_view Key,
                                          std::vector<core::NodeId> Nodes) {
  std::vector<Scored> All;
  All.reserve(Nodes.size());
  for (const core::NodeId &Node : Nodes)
    All.push_back(scored(Key, Node));
  std::sort(All.begin(), All.end(), std::greater<>());
  std::transform(All.begin(), All.end(), Nodes.begin(),
                 [](const Scored &Each) { return Each.second; });
  return Nodes;
}

std::optional<core::NodeId>
rendezvousWinner(std::string_view Key, const std::vector<core::NodeId> &Nodes) {
  std::optional<Scored> Best;
  for (const core::NodeId &Node : Nodes) {
    Scored Candidate = scored(Key, Node);
    if (!Best || Candidate > *Best)
      Best = std::move(Candidate);
  }
  if (!Best)
    return std::nullopt;
  return Best->second;
}

std::string claimPartitionKey(std::uint32_t Partition) {
  return fmt::format("claims.{}", Partition);
}

std::optional<std::size_t> rankOf(const std::vector<core::NodeId> &Order,
                                  const core::NodeId &Node) {
  const auto Found = std::find(Order.begin(), Order.end(), Node);
  if (Found == Order.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - Order.begin());
}

std::vector<std::size_t> childRanks(std::size_t Rank, std::size_t Count) {
  std::vector<std::size_t> Children;
  const std::size_t First = Rank * TreeFanOut + 1;
  for (std::size_t Child = First; Child < First + TreeFanOut && Child < Count;
       ++Child)
    Children.push_back(Child);
  return Children;
}

} // namespace filbertvane::decision::membership
