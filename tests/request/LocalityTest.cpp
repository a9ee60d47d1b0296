#include "NodeFixture.h"
#include <criterion/criterion.h>

using namespace request_fixture;

namespace {

std::string selectedNode(const NodeFixture &Node) {
  const auto *Start = Node.first<StartAttempt>();
  if (!Start)
    return "";
  return Start->To.Node.value();
}

} // namespace

// Guards against traffic between data centres while the local one has capacity.
Test(locality, the_nearest_targets_are_preferred) {
  NodeFixture Node(shopFleet(),
                   {endpoint("near"), endpoint("region", "1", "dc2"),
                    endpoint("far", "1", "dc3")});
  Node.arrive(1);
  cr_assert(selectedNode(Node) == "near", "not sent to the local data centre");
  Node.handle(EndpointsChanged{
      {endpoint("region", "1", "dc2"), endpoint("far", "1", "dc3")}});
  Node.arrive(2);
  cr_assert(selectedNode(Node) == "region", "not sent within the region");
  cr_assert(Node.first<StartAttempt>()->To.Target == core::TargetId(),
            "the target must be selected by the other data centre");
}

// Guards against overloading the nearest targets, and against sending all
// requests to other data centres.
Test(locality, only_what_does_not_fit_spills) {
  NodeFixture Node(shopFleet(), {endpoint("near", "1", "dc1", 4),
                                 endpoint("region", "1", "dc2", 50)});
  int Local = 0;
  for (std::uint64_t Id = 1; Id <= 10; ++Id) {
    Node.arrive(Id);
    Local += selectedNode(Node) == "near" ? 1 : 0;
  }
  cr_assert(Local == 4, "%d of 10 stayed near", Local);
}

// Guards against an estimate that does not rise with refusals or never
// recovers.
Test(locality, refusals_raise_the_spilled_share) {
  SpilloverEstimator Estimator;
  cr_assert(!Estimator.spillNext(), "spillover without a refusal");
  // The local data centre accepts two of three requests.
  int Spilled = 0;
  int KeptLocal = 0;
  for (int Request = 0; Request < 20000; ++Request) {
    if (Estimator.spillNext())
      ++Spilled;
    else if (++KeptLocal * 1.5 > Request)
      Estimator.recordRefused();
    else
      Estimator.recordAccepted();
  }
  const double Share = Spilled / 20000.0;
  cr_assert(Share > 0.25 && Share < 0.40, "%.3f spilled", Share);
  for (int Request = 0; Request < 20000; ++Request)
    Estimator.recordAccepted();
  cr_assert(Estimator.share() == 0, "the estimate does not recover");
}

// Guards against requests forwarded between data centres in a loop.
Test(locality, a_request_of_another_data_centre_stays_here) {
  NodeFixture Node(shopFleet(), {endpoint("region", "1", "dc2")});
  CallArrived Arrival;
  Arrival.Id = core::CallId(1);
  Arrival.FromNode = true;
  Arrival.Path = "/list";
  Arrival.Service = core::ServiceName("shop");
  Node.handle(Arrival);
  cr_assert(!Node.first<StartAttempt>(), "forwarded to another data centre");
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun, "not refused");
}
