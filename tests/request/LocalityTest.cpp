#include "Bench.h"
#include <criterion/criterion.h>

using namespace bench;

namespace {

std::string centreOf(const Bench &Node) {
  const auto *Start = Node.first<StartAttempt>();
  if (!Start)
    return "";
  return Start->To.Node.value();
}

} // namespace

// Guards against traffic across data centres while the own one has room.
Test(locality, the_nearest_targets_are_preferred) {
  Bench Node(shopFleet(), {endpoint("near"), endpoint("region", "1", "dc2"),
                           endpoint("far", "1", "dc3")});
  Node.arrive(1);
  cr_assert(centreOf(Node) == "near", "own data centre");
  Node.handle(EndpointsChanged{
      {endpoint("region", "1", "dc2"), endpoint("far", "1", "dc3")}});
  Node.arrive(2);
  cr_assert(centreOf(Node) == "region", "own region");
  cr_assert(Node.first<StartAttempt>()->To.Target == core::TargetId(),
            "the other data centre must select its target");
}

// Guards against a queue at near targets, and against a spill of everything.
Test(locality, only_what_does_not_fit_spills) {
  Bench Node(shopFleet(), {endpoint("near", "1", "dc1", 4),
                           endpoint("region", "1", "dc2", 50)});
  int Near = 0;
  for (std::uint64_t Id = 1; Id <= 10; ++Id) {
    Node.arrive(Id);
    Near += centreOf(Node) == "near" ? 1 : 0;
  }
  cr_assert(Near == 4, "%d of 10 stayed near", Near);
}

// Guards against a gauge that refusals do not move, or that never recovers.
Test(locality, refusals_raise_the_spilled_share) {
  SpilloverEstimator Gauge;
  cr_assert(!Gauge.spillNext(), "spilled without a refusal");
  // Near targets take two of three requests that the gauge keeps near.
  int Spilled = 0;
  int Kept = 0;
  for (int Request = 0; Request < 20000; ++Request) {
    if (Gauge.spillNext())
      ++Spilled;
    else if (++Kept * 1.5 > Request)
      Gauge.recordRefused();
    else
      Gauge.recordAccepted();
  }
  const double Share = Spilled / 20000.0;
  cr_assert(Share > 0.25 && Share < 0.40, "%.3f spilled", Share);
  for (int Request = 0; Request < 20000; ++Request)
    Gauge.recordAccepted();
  cr_assert(Gauge.share() == 0, "does not recover");
}

// Guards against requests that travel between data centres for ever.
Test(locality, a_request_of_another_data_centre_stays_here) {
  Bench Node(shopFleet(), {endpoint("region", "1", "dc2")});
  CallArrived What;
  What.Id = core::CallId(1);
  What.FromNode = true;
  What.Path = "/list";
  What.Service = core::ServiceName("shop");
  Node.handle(What);
  cr_assert(!Node.first<StartAttempt>(), "sent on to a third place");
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun, "not refused");
}
