#include "filbertvane/decision/mesh/Gauges.h"
#include "MeshBench.h"

using namespace meshbench;

namespace {

bool hasLine(const Bench &Node, const std::string &Line) {
  observe::Metrics Metrics;
  writeGauges(Node.State, Node.Now, Metrics);
  return Metrics.render().find(Line) != std::string::npos;
}

} // namespace

// Guards against metrics that do not explain why a node refuses requests: its
// queue, the states of the hosts it knows, the remaining retries.
Test(mesh_gauges, show_the_state_of_a_node) {
  Bench Node;
  cr_assert(hasLine(Node, "filbertvane_ready 0\n"));
  Node.configure(shopRouting(7));
  Node.announce();
  Node.send(ReportReceived{report("n1")});
  Node.send(ReportReceived{report("n2", 1, "dc5", "r3")});
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Node.arriveFromPeer(Id);
  cr_assert(hasLine(Node, "filbertvane_ready 1\n"));
  cr_assert(hasLine(Node, "filbertvane_config_version 7\n"));
  cr_assert(hasLine(Node, "filbertvane_target_running 2\n"));
  cr_assert(hasLine(Node, "filbertvane_target_waiting 1\n"));
  cr_assert(hasLine(Node, "filbertvane_hosts{state=\"ready\"} 2\n"));
  // A host without recent reports becomes suspect.
  {
    Node.Now += milliseconds(2000);
    cr_assert(hasLine(Node, "filbertvane_hosts{state=\"ready\"} 1\n"));
    cr_assert(hasLine(Node, "filbertvane_hosts{state=\"doubtful\"} 1\n"));
  }
  // Each request adds to the retry budget: 0.6 of a fifth of a request and of
  // 1000 / 3.
  {
    Node.arrive(9);
    cr_assert(
        hasLine(Node, "filbertvane_repeats_left{service=\"shop\"} 200.1"));
  }
}
