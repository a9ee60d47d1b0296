#include "NodeFixture.h"
#include <criterion/criterion.h>

using namespace request_fixture;

namespace {

NodeFixture nodeWith(config::Permille Share) {
  return NodeFixture(shopFleet(Share), {endpoint("n1"), endpoint("n2", "2")});
}

/// Sends 100 requests and counts those sent to the candidate.
int countCandidateRequests(NodeFixture &Node, const char *Path) {
  int Count = 0;
  for (std::uint64_t Id = 1; Id <= 100; ++Id) {
    Node.arrive(Node.Now->LastAttemptId + 1, Path);
    const auto *Start = Node.first<StartAttempt>();
    Count += Start->To.Version == core::TargetVersion("2") ? 1 : 0;
    Node.end(Start->Id.value(), AttemptEnd::Answered);
  }
  return Count;
}

} // namespace

// Guards against a candidate that receives more than its canary share (I4).
Test(version_selector, a_candidate_gets_its_share) {
  NodeFixture Node = nodeWith(50);
  cr_assert(countCandidateRequests(Node, "/list") == 5, "not 5 of 100");
}

// Guards against non-idempotent requests to an unproven version (design 7).
Test(version_selector, non_idempotent_requests_wait_for_the_canary) {
  NodeFixture Canary = nodeWith(50);
  cr_assert(countCandidateRequests(Canary, "/book") == 0,
            "sent to an unproven version");
  NodeFixture Proven = nodeWith(100);
  cr_assert(countCandidateRequests(Proven, "/book") == 10,
            "not sent to a proven one");
}

// Guards against a service without idempotent routes whose candidate receives
// no traffic, so that the move cannot progress.
Test(version_selector, a_service_without_idempotent_route_still_moves) {
  config::FleetState Fleet = shopFleet(50);
  Fleet.CurrentSheet.Routes.pop_back();
  NodeFixture Node(Fleet, {endpoint("n1"), endpoint("n2", "2")});
  cr_assert(countCandidateRequests(Node, "/book") == 5,
            "the candidate receives no traffic");
}

// Guards against traffic to the candidate after a local rollback.
Test(version_selector, a_local_rollback_stops_the_candidate) {
  NodeFixture Node = nodeWith(500);
  Node.configure(shopFleet(500),
                 {{core::ServiceName("shop"), core::ConfigVersion(1)}});
  cr_assert(countCandidateRequests(Node, "/list") == 0,
            "the candidate still receives traffic");
  Node.configure(shopFleet(500),
                 {{core::ServiceName("other"), core::ConfigVersion(1)}});
  cr_assert(countCandidateRequests(Node, "/list") == 50,
            "stopped by the rollback of another service");
}

// Guards against sending all traffic to an unproven version when no target of
// the stable version is left.
Test(version_selector, an_unproven_candidate_never_stands_in) {
  NodeFixture Node(shopFleet(50), {endpoint("n2", "2")});
  int Sent = 0;
  for (std::uint64_t Id = 1; Id <= 100; ++Id) {
    Node.arrive(Id);
    Sent += Node.first<StartAttempt>() ? 1 : 0;
  }
  cr_assert(Sent == 5, "%d of 100 sent", Sent);
}
