#include "filbertvane/decision/Node.h"
#include "Dispatch.h"
#include "filbertvane/decision/membership/Ranking.h"
#include <fmt/format.h>

namespace filbertvane::decision {

namespace {

membership::Settings membershipSettings(const NodeSettings &Settings) {
  return {Settings.Node, Settings.DataCentre, Settings.ControlAddress,
          Settings.PeerAddress, Settings.LocalSeeds};
}

distribution::Settings distributionSettings(const NodeSettings &Settings) {
  return {{Settings.Node, Settings.ControlAddress},
          Settings.DataCentre,
          Settings.Region,
          Settings.RemoteSeeds,
          Settings.Folding};
}

directory::Settings directorySettings(const NodeSettings &Settings) {
  return {Settings.Node,
          Settings.DataCentre,
          Settings.Region,
          Settings.ControlAddress,
          Settings.ExternalControlAddress,
          Settings.RemoteSeeds};
}

request::Settings requestSettings(const NodeSettings &Settings) {
  request::Settings Requests;
  Requests.Self = Settings.Node;
  Requests.Incarnation = Settings.Incarnation;
  Requests.DataCentre = Settings.DataCentre;
  Requests.Region = Settings.Region;
  Requests.Seed = Settings.RandomSeed;
  Requests.Bounds.ClaimRetention = Settings.LogRetention;
  return Requests;
}

} // namespace

core::WriterId writerOf(const NodeSettings &Settings) {
  return core::WriterId(fmt::format("{}/{}", Settings.Node.value(),
                                    Settings.Incarnation.value()));
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

Step<NodeState, NodeEffects> reduce(NodeState Before, NodeEvent Event,
                                    core::Instant Now) {
  Dispatch Dispatcher(std::move(Before), Now);
  Dispatcher.run(std::move(Event));
  return Dispatcher.finish();
}

std::optional<Peer> claimKeeper(const NodeState &State,
                                std::uint32_t Partition) {
  std::vector<core::NodeId> Nodes;
  std::vector<membership::Member> Live =
      membership::liveMembers(State.Membership);
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
