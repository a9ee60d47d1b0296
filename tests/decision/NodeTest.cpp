#include "filbertvane/decision/Node.h"
#include <algorithm>
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::decision;

namespace {

/// A fold for a log without records.
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

NodeState loneNode() {
  NodeSettings Own;
  Own.Node = core::NodeId("n1");
  Own.DataCentre = core::DataCentreId("d1");
  Own.Region = core::RegionId("r1");
  Own.ControlAddress = "n1:1";
  Own.PeerAddress = "n1:2";
  Own.LogRetention = core::Seconds(600);
  Own.Folding = distribution::foldOf<EmptyFold>();
  return NodeState(std::move(Own));
}

} // namespace

// Guards against a ready node whose probes say that it is not: its restarting
// peers waited up to 8 s for another proof.
Test(node, a_ready_node_tells_its_readiness_with_its_position) {
  core::Instant Now{core::TimePoint(core::Seconds(10)), core::WallTime()};
  auto Next = reduce(loneNode(), Started{}, Now);
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
            "a lone node with an empty log is ready");
  cr_assert(Next.NextState.Membership.ConfigPosition.Ready,
            "its probes say that it is not");
}
