#include "Bench.h"
#include <criterion/criterion.h>

using namespace bench;

namespace {

Bench nodeWith(config::Permille Share) {
  return Bench(shopFleet(Share), {endpoint("n1"), endpoint("n2", "2")});
}

/// Requests of 100 that the candidate got.
int candidates(Bench &Node, const char *Path) {
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

// Guards against a candidate with more than its canary share (I4).
Test(version_selector, a_candidate_gets_its_share) {
  Bench Node = nodeWith(50);
  cr_assert(candidates(Node, "/list") == 5, "not 5 of 100");
}

// Guards against bookings at a version that is not proven (design 7).
Test(version_selector, non_idempotent_requests_wait_for_the_canary) {
  Bench Canary = nodeWith(50);
  cr_assert(candidates(Canary, "/book") == 0, "sent to an unproven version");
  Bench Proven = nodeWith(100);
  cr_assert(candidates(Proven, "/book") == 10, "not sent to a proven one");
}

// Guards against a service without idempotent routes that can never move.
Test(version_selector, a_service_without_idempotent_route_still_moves) {
  config::FleetState Fleet = shopFleet(50);
  Fleet.CurrentSheet.Routes.pop_back();
  Bench Node(Fleet, {endpoint("n1"), endpoint("n2", "2")});
  cr_assert(candidates(Node, "/book") == 5, "never moves");
}

// Guards against traffic to a bad version after the local rollback.
Test(version_selector, a_local_rollback_stops_the_candidate) {
  Bench Node = nodeWith(500);
  Node.configure(shopFleet(500),
                 {{core::ServiceName("shop"), core::ConfigVersion(1)}});
  cr_assert(candidates(Node, "/list") == 0, "still gets traffic");
  Node.configure(shopFleet(500),
                 {{core::ServiceName("other"), core::ConfigVersion(1)}});
  cr_assert(candidates(Node, "/list") == 50, "stopped for another service");
}

// Guards against all traffic on an unproven version when the old one is gone.
Test(version_selector, an_unproven_candidate_never_stands_in) {
  Bench Node(shopFleet(50), {endpoint("n2", "2")});
  int Sent = 0;
  for (std::uint64_t Id = 1; Id <= 100; ++Id) {
    Node.arrive(Id);
    Sent += Node.first<StartAttempt>() ? 1 : 0;
  }
  cr_assert(Sent == 5, "%d of 100 sent", Sent);
}
