#include "filbertvane/decision/Node.h"
#include "Dispatch.h"
#include "filbertvane/decision/membership/Ranking.h"
#include <fmt/format.h>

namespace filbertvane::decision {

namespace {

membership::Settings membershipSettings(const NodeSettings &Own) {
  return {Own.Node, Own.DataCentre, Own.ControlAddress, Own.PeerAddress,
          Own.InsideSeeds};
}

distribution::Settings distributionSettings(const NodeSettings &Own) {
  return {{Own.Node, Own.ControlAddress},
          Own.DataCentre,
          Own.Region,
          Own.OutsideSeeds,
          Own.Folding};
}

directory::Settings directorySettings(const NodeSettings &Own) {
  return {Own.Node,           Own.DataCentre,      Own.Region,
          Own.ControlAddress, Own.ExternalControl, Own.OutsideSeeds};
}

request::Settings requestSettings(const NodeSettings &Own) {
  request::Settings Requests;
  Requests.Self = Own.Node;
  Requests.Incarnation = Own.Number;
  Requests.DataCentre = Own.DataCentre;
  Requests.Region = Own.Region;
  Requests.Seed = Own.RandomSeed;
  Requests.Bounds.ClaimRetention = Own.LogRetention;
  return Requests;
}

} // namespace

core::WriterId writerOf(const NodeSettings &Own) {
  return core::WriterId(
      fmt::format("{}/{}", Own.Node.value(), Own.Number.value()));
}

NodeState::NodeState(NodeSettings Settings)
    : Own(std::move(Settings)),
      Members(membership::initial(membershipSettings(Own), Own.Number,
                                  Own.RandomSeed)),
      Records(
          distribution::initial(distributionSettings(Own), Own.RandomSeed + 1)),
      Directory(directory::initial(directorySettings(Own))),
      Lease(lease::initial({Own.Node, writerOf(Own)}, Own.RandomSeed + 2)),
      Requests(requestSettings(Own)),
      Guard(rollout::guardOf(Own.Node, Own.Number, Own.DataCentre)) {}

Step<NodeState, NodeEffects> reduce(NodeState Before, NodeEvent What,
                                    core::Instant Now) {
  Dispatch All(std::move(Before), Now);
  All.run(std::move(What));
  return All.finish();
}

std::optional<Peer> claimKeeper(const NodeState &Of, std::uint32_t Partition) {
  std::vector<core::NodeId> Nodes;
  std::vector<membership::Member> Live = membership::liveMembers(Of.Members);
  Nodes.reserve(Live.size());
  for (const membership::Member &Each : Live)
    Nodes.push_back(Each.Node);
  const auto Keeper =
      membership::winner(membership::claimPartitionKey(Partition), Nodes);
  if (!Keeper)
    return std::nullopt;
  for (const membership::Member &Each : Live)
    if (Each.Node == *Keeper)
      return Peer{Each.Node, Each.ControlAddress};
  return std::nullopt;
}

} // namespace filbertvane::decision
