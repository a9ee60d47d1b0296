#include "MeshBench.h"

using namespace meshbench;

namespace {

/// A node that has five records; three others, and one second for a missing
/// record until it counts.
class LaggingNode : public Bench {
public:
  LaggingNode() {
    State.Settings.ConfigurationTime = milliseconds(2000);
    configure();
    announce();
    send(StoreReachabilityChanged{true});
    send(PositionReached{position(5)});
    reportFrom(0, 5);
    reportFrom(1, 5);
    reportFrom(2, 5);
  }
  void reportFrom(std::size_t Host, std::uint64_t Position) {
    HostReport Report = report("n" + std::to_string(Host + 1), ++Sequence);
    Report.Position = position(Position);
    send(ReportReceived{Report});
  }
  void pass(std::int64_t Millis) {
    Now += milliseconds(Millis);
    send(request::Tick{});
  }
  /// @return whether the node accepts a request of a caller
  bool serves() {
    arrive(++LastCall);
    const auto Refusal = first<request::Refuse>();
    if (!Refusal)
      return true;
    cr_assert(Refusal->Result == request::Outcome::NotRun);
    cr_assert(Refusal->Reason.Code ==
              core::ErrorCode::RequestConfigurationOutdated);
    cr_assert(Refusal->RetryAfter > milliseconds(0));
    return false;
  }

private:
  std::uint64_t Sequence = 0;
  std::uint64_t LastCall = 0;
};

} // namespace

// Guards against a node that knows of a newer configuration and goes on
// deciding by the one that was replaced.
Test(record_lag, a_node_that_lacks_a_change_for_too_long_refuses_its_callers) {
  LaggingNode Node;
  Node.reportFrom(0, 6);
  Node.reportFrom(1, 6);
  Node.pass(900);
  cr_assert(Node.serves(), "its time has not passed");
  Node.pass(200);
  // It says so before the next request.
  {
    const auto Change = Node.first<ReadinessChanged>();
    cr_assert(Change && !Change->Ready);
    cr_assert(!Node.serves());
  }
  // Requests of other nodes are decided by their entry nodes.
  {
    Node.arriveFromPeer(1000);
    cr_assert(!Node.first<request::Refuse>());
  }
  // It is back with the records.
  {
    Node.send(PositionReached{position(6)});
    const auto Change = Node.first<ReadinessChanged>();
    cr_assert(Change && Change->Ready);
    cr_assert(Node.serves());
  }
}

// Guards against a fleet that one node with the only copy of a change stops.
Test(record_lag, a_change_that_most_nodes_lack_stops_nobody) {
  LaggingNode Node;
  Node.reportFrom(0, 6);
  Node.pass(500);
  Node.reportFrom(1, 5);
  Node.pass(2000);
  cr_assert(Node.serves(), "one of two that reported since has it");
  Node.reportFrom(2, 6);
  Node.pass(50);
  cr_assert(!Node.serves(), "two of three have it");
}

// Guards against a node that is taken for outdated because changes come in
// quick succession.
Test(record_lag, a_node_that_keeps_up_is_not_outdated) {
  LaggingNode Node;
  for (std::uint64_t Change = 6; Change < 30; ++Change) {
    for (std::size_t Host = 0; Host < 3; ++Host)
      Node.reportFrom(Host, Change);
    Node.pass(300);
    if (Change >= 8)
      Node.send(PositionReached{position(Change - 2)});
    cr_assert(Node.serves(), "%lu", static_cast<unsigned long>(Change));
  }
}

// Guards against an owner of quotas that mints by limits that were lowered.
Test(record_lag, an_outdated_node_hands_out_no_tokens) {
  LaggingNode Node;
  config::Routing Routing = shopRouting(2);
  config::Tenant Limited;
  Limited.Name = core::TenantName("limited");
  Limited.Quota = {100, 100};
  Routing.Tenants.emplace().push_back(Limited);
  Node.configure(Routing);
  std::int64_t Sent = 0;
  const auto Answers = [&] {
    quota::QuotaRequest Demand;
    Demand.From = {core::NodeId("n1"), core::Incarnation(1)};
    Demand.SentAt = at(++Sent);
    Demand.Demands = {{Limited.Name, 1}};
    Node.send(QuotaRequestReceived{Demand});
    return Node.first<SendQuota>().has_value();
  };
  cr_assert(Answers());
  for (std::size_t Host = 0; Host < 3; ++Host)
    Node.reportFrom(Host, 6);
  Node.pass(1100);
  cr_assert(!Answers());
  Node.send(PositionReached{position(6)});
  cr_assert(Answers());
}

// Guards against settings of earlier versions that begin to refuse requests.
Test(record_lag, without_a_configured_time_no_node_is_outdated) {
  LaggingNode Node;
  Node.State.Settings.ConfigurationTime.reset();
  for (std::size_t Host = 0; Host < 3; ++Host)
    Node.reportFrom(Host, 9);
  Node.pass(3000);
  cr_assert(Node.serves());
}
