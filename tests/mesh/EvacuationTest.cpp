#include "MeshBench.h"

using namespace meshbench;
using request::AttemptEnd;
using request::Outcome;
using request::Refuse;
using request::StartAttempt;

namespace {

EvacuationOrdered order(const std::string &DataCentre, bool Active,
                        std::uint64_t Offset) {
  return {core::DataCentreId(DataCentre), Active, position(Offset)};
}

} // namespace

// Guards against requests to targets of an evacuated data centre.
Test(evacuation, an_entry_node_leaves_out_the_data_centre) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.send(ReportReceived{report("n1")});
  Node.send(ReportReceived{report("n2", 1, "dc2", "r2")});
  Node.send(order("dc1", true, 5));
  Node.arrive(1);
  cr_assert(Node.first<StartAttempt>()->To.Node == core::NodeId("n2"));
  // Nothing is left.
  Node.send(order("dc2", true, 6));
  Node.arrive(2);
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun);
  // An older order that arrives later changes nothing.
  Node.send(order("dc1", false, 4));
  Node.arrive(3);
  cr_assert(Node.first<Refuse>().has_value());
  Node.send(order("dc1", false, 7));
  Node.arrive(4);
  cr_assert(Node.first<StartAttempt>().has_value());
}

// Guards against an entry node that has not heard of the evacuation.
Test(evacuation, the_host_node_refuses_what_arrives_later) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.send(order("dc1", true, 5));
  Node.arriveFromPeer(1);
  const auto Refusal = Node.first<Refuse>();
  cr_assert(Refusal && Refusal->Result == Outcome::NotRun);
  cr_assert(!Refusal->Load, "the refusal is taken for a lack of capacity");
  Node.send(order("dc1", false, 6));
  Node.arriveFromPeer(2);
  cr_assert(Node.first<StartAttempt>().has_value());
}

// Guards against queued requests that reach the target after the evacuation,
// and against the loss of those that run.
Test(evacuation, queued_requests_leave_and_running_ones_end) {
  Bench Node;
  Node.configure();
  Node.announce(1, false, 1000, "own", 1);
  Node.arriveFromPeer(1);
  const auto Running = Node.first<StartAttempt>();
  Node.arriveFromPeer(2);
  cr_assert(Node.count<StartAttempt>() == 0);
  Node.send(order("dc1", true, 5));
  cr_assert(Node.first<Refuse>()->Id == core::CallId(2));
  Node.end(*Running, AttemptEnd::Held);
  cr_assert(Node.count<request::DeliverAnswer>() == 1);
}
