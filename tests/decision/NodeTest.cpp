#include "filbertvane/decision/Node.h"
#include <algorithm>
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::decision;

namespace {

/// Fold for a log without records.
struct EmptyFold {
  static distribution::FoldedRecord
  apply(config::FleetState State, core::LogOffset, const std::string &) {
    return {std::move(State), std::nullopt, config::Recorded{}};
  }
  static core::Digest digestOf(const config::FleetState &) {
    return core::Digest(7);
  }
  static std::string encode(const config::FleetState &) { return ""; }
  static core::Result<config::FleetState> decode(const std::string &) {
    return config::FleetState();
  }
  static std::optional<std::string> reduced(const std::string &) {
    return std::nullopt;
  }
};

NodeState singleNode() {
  NodeSettings Settings;
  Settings.Node = core::NodeId("n1");
  Settings.DataCentre = core::DataCentreId("d1");
  Settings.Region = core::RegionId("r1");
  Settings.ControlAddress = "n1:1";
  Settings.PeerAddress = "n1:2";
  Settings.LogRetention = core::Seconds(600);
  Settings.Folding = distribution::foldOf<EmptyFold>();
  return NodeState(std::move(Settings));
}

} // namespace

// Guards against a ready node whose probes report that it is not ready: its
// restarting peers waited up to 8 s for another proof.
Test(node, a_ready_node_reports_its_readiness_with_its_position) {
  core::Instant Now{core::TimePoint(core::Seconds(10)), core::WallTime()};
  auto Next = reduce(singleNode(), Started{}, Now);
  for (int I = 0; I < 100 && !Next.NextState.Distribution.Ready; ++I) {
    Now.Mono += core::Milliseconds(50);
    Next = reduce(std::move(Next.NextState), Tick{}, Now);
    const bool Reads = std::any_of(
        Next.EmittedEffects.begin(), Next.EmittedEffects.end(),
        [](const auto &Each) {
          return std::holds_alternative<distribution::ReadLog>(Each);
        });
    if (Reads)
      Next = reduce(std::move(Next.NextState),
                    distribution::Event(distribution::LogRead{}), Now);
  }
  cr_assert(Next.NextState.Distribution.Ready,
            "a single node with an empty log did not become ready");
  cr_assert(Next.NextState.Membership.ConfigPosition.Ready,
            "its probes report that it is not ready");
}
