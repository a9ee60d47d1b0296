#include "filbertvane/decision/mesh/Gauges.h"
#include "MeshBench.h"
#include <cmath>

using namespace meshbench;

namespace {

bool hasLine(const Bench &Node, const std::string &Line) {
  observe::Metrics Metrics;
  writeGauges(Node.State, Node.Now, Metrics);
  return Metrics.render().find(Line) != std::string::npos;
}

double valueOf(const Bench &Node, const std::string &Name) {
  observe::Metrics Metrics;
  writeGauges(Node.State, Node.Now, Metrics);
  const std::string Text = Metrics.render();
  const std::size_t At = Text.find(Name);
  return At == std::string::npos ? -1
                                 : std::stod(Text.substr(At + Name.size()));
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
  // Each request adds to the retry budget: half of a fifth of a request; 0.6 of
  // 1000 / 3 is fixed.
  {
    Node.arrive(9);
    const double Left =
        valueOf(Node, "filbertvane_repeats_left{service=\"shop\"} ");
    cr_assert(std::abs(Left - 200.1) < 1e-9, "%.12g", Left);
  }
}

// Guards against a spent retry budget that logs and metrics do not explain.
Test(mesh_gauges, retries_are_counted_and_logged_with_the_share_left) {
  Bench Node;
  Node.State.Settings.Budget = {0, 5, milliseconds(10000)};
  Node.configure();
  for (const char *Name : {"n1", "n2", "n3"})
    Node.send(ReportReceived{report(Name)});
  const auto FailOnce = [&Node](std::uint64_t Id) {
    Node.arrive(Id);
    Node.end(*Node.first<request::StartAttempt>(),
             request::AttemptEnd::NoAnswer);
  };
  // 0.6 of 5 retries, shared by four nodes, are less than one.
  FailOnce(1);
  cr_assert(hasLine(
      Node, "filbertvane_retries{result=\"denied\",service=\"shop\"} 1\n"));
  // Twenty retries give each of the four nodes three.
  Node.State.Settings.Budget.Slack = 20;
  Node.State.Services.clear();
  FailOnce(2);
  cr_assert(hasLine(
      Node, "filbertvane_retries{result=\"taken\",service=\"shop\"} 1\n"));
  const auto Line = Node.first<observe::LogEvent>();
  cr_assert(Line->Id == observe::EventId::MeshRequestRetried);
  cr_assert(Line->Detail.ends_with("after=no_answer nodes=4 budget_left=2.0"),
            "%s", Line->Detail.c_str());
}
