#include "filbertvane/decision/Node.h"
#include "Dispatch.h"
#include "filbertvane/decision/membership/Ranking.h"
#include <fmt/format.h>

namespace filbertvane::decision {

namespace {

membership::Settings membershipSettings(const NodeSettings &Own) {
  return {Own.Node, Own.DataCentre, Own.ControlAddress, Own.PeerAddress,
          Own.LocalSeeds};
}

distribution::Settings distributionSettings(const NodeSettings &Own) {
  return {{Own.Node, Own.ControlAddress},
          Own.DataCentre,
          Own.Region,
          Own.RemoteSeeds,
          Own.Folding};
}

directory::Settings directorySettings(const NodeSettings &Own) {
  return {Own.Node,
          Own.DataCentre,
          Own.Region,
          Own.ControlAddress,
          Own.ExternalControlAddress,
          Own.RemoteSeeds};
}

request::Settings requestSettings(const NodeSettings &Own) {
  request::Settings Requests;
  Requests.Self = Own.Node;
  Requests.Start = Own.Incarnation;
  Requests.DataCentre = Own.DataCentre;
  Requests.Region = Own.Region;
  Requests.Seed = Own.RandomSeed;
  Requests.Bounds.ClaimRetention = Own.LogRetention;
  return Requests;
}

} // namespace

core::WriterId writerOf(const NodeSettings &Own) {
  return core::WriterId(
      fmt::format("{}/{}", Own.Node.value(), Own.Incarnation.value()));
}

NodeState::NodeState(NodeSettings Settings)
    : Local(std::move(Settings)),
      Membership(membership::initial(membershipSettings(Local),
                                     Local.Incarnation, Local.RandomSeed)),
      Distribution(distribution::initial(distributionSettings(Local),
                                         Local.RandomSeed + 1)),
      Directory(directory::initial(directorySettings(Local))),
      Lease(
          lease::initial({Local.Node, writerOf(Local)}, Local.RandomSeed + 2)),
      Requests(requestSettings(Local)),
      Guard(rollout::makeMonitorState(Local.Node, Local.Incarnation,
                                      Local.DataCentre)) {}

Step<NodeState, NodeEffects> reduce(NodeState Before, NodeEvent What,
                                    core::Instant Now) {
  Dispatch All(std::move(Before), Now);
  All.run(std::move(What));
  return All.finish();
}

std::optional<Peer> claimKeeper(const NodeState &Of, std::uint32_t Partition) {
  std::vector<core::NodeId> Nodes;
  std::vector<membership::Member> Live = membership::liveMembers(Of.Membership);
  Nodes.reserve(Live.size());
  for (const membership::Member &Each : Live)
    Nodes.push_back(Each.Node);
  const auto Keeper = membership::rendezvousWinner(
      membership::claimPartitionKey(Partition), Nodes);
  if (!Keeper)
    return std::nullopt;
  for (const membership::Member &Each : Live)
    if (Each.Node == *Keeper)
      return Peer{Each.Node, Each.ControlAddress};
  return std::nullopt;
}

} // namespace filbertvane::decision
