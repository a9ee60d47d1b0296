#include "filbertvane/decision/mesh/Gauges.h"
#include "MeshBench.h"

using namespace meshbench;

namespace {

bool tells(const Bench &Node, const std::string &Line) {
  observe::Metrics Figures;
  writeGauges(Node.State, Node.Now, Figures);
  return Figures.render().find(Line) != std::string::npos;
}

} // namespace

// Guards against metrics from which an on-call engineer cannot see why a node
// refuses: its queue, the hosts that it believes in, the repeats that are left.
Test(mesh_gauges, tell_what_a_node_believes) {
  Bench Node;
  cr_assert(tells(Node, "filbertvane_ready 0\n"));
  Node.configure(shopRouting(7));
  Node.announce();
  Node.send(ReportReceived{report("n1")});
  Node.send(ReportReceived{report("n2", 1, "dc5", "r3")});
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Node.arriveFromPeer(Id);
  cr_assert(tells(Node, "filbertvane_ready 1\n"));
  cr_assert(tells(Node, "filbertvane_config_version 7\n"));
  cr_assert(tells(Node, "filbertvane_target_running 2\n"));
  cr_assert(tells(Node, "filbertvane_target_waiting 1\n"));
  cr_assert(tells(Node, "filbertvane_hosts{state=\"ready\"} 2\n"));
  // A host that falls silent changes its state.
  {
    Node.Now += milliseconds(2000);
    cr_assert(tells(Node, "filbertvane_hosts{state=\"ready\"} 1\n"));
    cr_assert(tells(Node, "filbertvane_hosts{state=\"doubtful\"} 1\n"));
  }
  // Requests earn repeats: 0.6 of a fifth of a request and of 1000 / 3.
  {
    Node.arrive(9);
    cr_assert(tells(Node, "filbertvane_repeats_left{service=\"shop\"} 200.1"));
  }
}
