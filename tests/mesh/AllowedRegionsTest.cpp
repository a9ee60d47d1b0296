#include "filbertvane/decision/mesh/AllowedRegions.h"
#include "MeshBench.h"
#include "filbertvane/decision/mesh/Limits.h"

using namespace meshbench;
using request::AttemptEnd;
using request::Outcome;
using request::Refuse;
using request::StartAttempt;

namespace {

using Regions = std::vector<core::RegionId>;

const core::RegionId R1("r1");
const core::RegionId R2("r2");

config::Routing routingFor(const Regions &Route, Regions Tenant = {},
                           std::uint64_t Version = 1) {
  config::Routing Routing = shopRouting(Version);
  for (config::HostRoute &Each : Routing.Routes) {
    Each.AllowedRegions = Route;
    Each.MaxTargets = 3;
    Each.AllowsAnonymous = true;
  }
  config::Tenant Holder;
  Holder.Name = core::TenantName("team");
  Holder.AllowedRegions = std::move(Tenant);
  Routing.Tenants = {Holder};
  return Routing;
}

} // namespace

// Guards against a list that widens the other one.
Test(allowed_regions, both_lists_bind) {
  cr_assert(AllowedRegions({}, {}).includes(R1));
  cr_assert(!AllowedRegions({R1}, {R2}).includes(R1));
  cr_assert(!AllowedRegions({R1}, {R2}).includes(R2));
  cr_assert(AllowedRegions({R1, R2}, {R2}).includes(R2));
  cr_assert(!AllowedRegions({}, {R2}).includes(R1));
}

// Guards against requests that run outside the regions of their route, also as
// a retry.
Test(allowed_regions, requests_and_retries_stay_in_their_regions) {
  Bench Node;
  Node.configure(routingFor({R2}));
  Node.announce();
  Node.send(ReportReceived{report("n1")});
  Node.send(ReportReceived{report("n2", 1, "dc2", "r2")});
  Node.arrive(1);
  const auto Started = Node.first<StartAttempt>();
  cr_assert(Started && Started->To.Node == core::NodeId("n2"));
  Node.end(*Started, AttemptEnd::Held, 503, true);
  cr_assert(!Node.first<StartAttempt>(), "retried outside its regions");
  cr_assert(Node.count<request::DeliverAnswer>() == 1);
}

// Guards against requests that wait for a region without targets, and against
// a refusal that hides that nothing ran.
Test(allowed_regions, without_a_target_in_reach_a_request_is_refused_at_once) {
  Bench Node;
  Node.configure(routingFor({R2}));
  Node.announce();
  Node.arrive(1);
  const auto Refusal = Node.first<Refuse>();
  cr_assert(Refusal && Refusal->Result == Outcome::NotRun);
  cr_assert(Refusal->Reason.Code == core::ErrorCode::RequestOutsideRegions);
  cr_assert(Refusal->RetryAfter >= MaximumRetryAfter * 3 / 4,
            "targets elsewhere say nothing about when a retry is served");
}

// Guards against an entry node without the configuration that withdrew the
// region of the host.
Test(allowed_regions, the_host_node_refuses_what_may_not_run_there) {
  Bench Node;
  Node.configure(routingFor({R2}));
  Node.announce();
  Node.arriveFromPeer(1);
  const auto Refusal = Node.first<Refuse>();
  cr_assert(Refusal && Refusal->Result == Outcome::NotRun);
  cr_assert(!Refusal->Load, "the refusal is taken for a lack of capacity");
}

// Guards against queued requests that start after a configuration withdrew the
// region in which they wait.
Test(allowed_regions, a_withdrawn_region_releases_its_queue) {
  Bench Node;
  Node.configure(routingFor({}));
  Node.announce(1, false, 1000, "own", 1);
  Node.arriveFromPeer(1);
  const auto Running = Node.first<StartAttempt>();
  Node.arriveFromPeer(2);
  Node.arrive(3);
  cr_assert(Node.count<StartAttempt>() == 0);
  Node.send(ReportReceived{report("n2", 1, "dc2", "r2")});
  Node.configure(routingFor({R2}, {}, 2));
  cr_assert(Node.first<Refuse>()->Id == core::CallId(2));
  cr_assert(Node.first<StartAttempt>()->To.Node == core::NodeId("n2"));
  // What runs already ends in order.
  Node.end(*Running, AttemptEnd::Held);
  cr_assert(Node.count<request::DeliverAnswer>() == 1);
}

// Guards against a retry under the regions that held when its request arrived.
Test(allowed_regions, a_retry_follows_the_newest_configuration) {
  Bench Node;
  Node.configure(routingFor({R1}));
  Node.send(ReportReceived{report("n1")});
  Node.arrive(1);
  const auto Started = Node.first<StartAttempt>();
  Node.send(ReportReceived{report("n4")});
  Node.send(ReportReceived{report("n2", 1, "dc2", "r2")});
  Node.configure(routingFor({R2}, {}, 2));
  Node.end(*Started, AttemptEnd::NotRun, 503, true);
  cr_assert(Node.first<StartAttempt>()->To.Node == core::NodeId("n2"));
}

// Guards against requests of a tenant outside its regions.
Test(allowed_regions, the_regions_of_a_tenant_bind_at_the_host_node) {
  Bench Node;
  Node.configure(routingFor({R1}, {R2}));
  Node.announce();
  request::CallArrived Call;
  Call.Id = core::CallId(1);
  Call.FromNode = true;
  Call.Target = core::TargetId("own");
  Call.TimeLeft = milliseconds(1000);
  Call.Terms = request::HopTerms{core::RouteName("list"), milliseconds(400)};
  Call.Terms->Tenant = core::TenantName("team");
  Node.send(Call);
  cr_assert(Node.first<Refuse>().has_value());
}
