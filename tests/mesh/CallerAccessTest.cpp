#include "MeshBench.h"

using namespace meshbench;
using request::AttemptEnd;
using request::Refuse;
using request::StartAttempt;

namespace {

/// The tenants `north` with the key k1 and rank 0, and `south` with k2.
config::Routing keyedRouting(std::uint64_t Version = 1) {
  config::Routing Routing = shopRouting(Version);
  config::HostRoute Open = shopRoute("open", true);
  Open.AllowsAnonymous = true;
  Routing.Routes.push_back(Open);
  config::Tenant North;
  North.Name = core::TenantName("north");
  North.Keys = {config::KeyDigest::of("k1")};
  North.Rank = 0;
  config::Tenant South;
  South.Name = core::TenantName("south");
  South.Keys = {config::KeyDigest::of("k2")};
  Routing.Tenants = {North, South};
  return Routing;
}

class KeyedBench : public Bench {
public:
  KeyedBench() {
    configure(keyedRouting());
    announce();
    // Requests of a former process have ended.
    Now += milliseconds(1000);
  }
  void ask(std::uint64_t Id, const std::string &Key,
           const std::string &Path = "/list/1",
           const std::string &Parent = "") {
    request::CallArrived Call;
    Call.Id = core::CallId(Id);
    Call.Path = Path;
    Call.VirtualHost = "shop.example";
    Call.CallerId = "c" + std::to_string(Id);
    Call.ParentId = Parent;
    if (!Key.empty())
      Call.Credential = config::KeyDigest::of(Key);
    send(Call);
  }
  bool refusedFor(core::ErrorCode Reason) const {
    const auto Refusal = first<Refuse>();
    return Refusal && Refusal->Status == 401 &&
           Refusal->Reason.Code == Reason &&
           Refusal->Result == request::Outcome::NotRun;
  }
  bool startedAs(const std::string &Tenant) const {
    const auto Started = first<StartAttempt>();
    return Started && Started->Terms &&
           Started->Terms->Tenant == core::TenantName(Tenant);
  }
};

} // namespace

// Guards against a request that runs as no tenant or as another one, and
// against a refusal of a caller that needs no key.
Test(mesh_access, the_key_decides) {
  KeyedBench Node;
  Node.ask(1, "k2");
  cr_assert(Node.startedAs("south"));
  Node.ask(2, "stranger");
  cr_assert(Node.refusedFor(core::ErrorCode::RequestKeyUnknown));
  Node.ask(3, "");
  cr_assert(Node.refusedFor(core::ErrorCode::RequestKeyMissing));
  Node.ask(4, "stranger", "/open/1");
  cr_assert(Node.refusedFor(core::ErrorCode::RequestKeyUnknown));
  Node.ask(5, "", "/open/1");
  cr_assert(Node.startedAs(""));
  // Without tenants in the configuration no caller needs a key.
  Bench Unkeyed;
  Unkeyed.configure();
  Unkeyed.announce();
  Unkeyed.arrive(1);
  cr_assert(!Unkeyed.first<StartAttempt>()->Terms);
}

// Guards against a 401 from a node that has not read the configuration yet.
Test(mesh_access, without_a_configuration_no_key_is_refused) {
  KeyedBench Node;
  Node.State.Routing.reset();
  Node.ask(1, "k1");
  for (const char *Key : {"k1", "stranger", ""}) {
    Node.ask(1, Key);
    cr_assert(Node.first<Refuse>()->Reason.Code ==
              core::ErrorCode::RequestNotReady);
  }
}

// Guards against an urgent tenant that waits behind the requests of others, at
// its entry node and at the host.
Test(mesh_access, the_tenants_rank_replaces_that_of_the_route) {
  KeyedBench Node;
  Node.State.Target.reset();
  Node.send(ReportReceived{report("n1")});
  Node.ask(1, "k1");
  cr_assert(Node.first<StartAttempt>()->Terms->Rank == 0);
  cr_assert(Node.first<StartAttempt>()->Terms->Tenant ==
            core::TenantName("north"));
  Node.ask(2, "k2");
  cr_assert(Node.first<StartAttempt>()->Terms->Rank == 1);
}

// Guards against a host that names no tenant to the target since its own
// configuration has none yet.
Test(mesh_access, a_host_takes_the_tenant_from_the_entry_node) {
  Bench Host;
  Host.announce();
  request::CallArrived Call;
  Call.Sender = core::NodeId("n1");
  Call.Id = core::CallId(1);
  Call.FromNode = true;
  Call.Target = core::TargetId("own");
  Call.Terms = request::HopTerms{core::RouteName("list"), milliseconds(400)};
  Call.Terms->Tenant = core::TenantName("north");
  Host.send(Call);
  cr_assert(Host.first<StartAttempt>()->Terms->Tenant ==
            core::TenantName("north"));
}

// Guards against a 401 for the calls of a running target, also after the
// request ended here and after a restart of the node, and against a caller
// without a key that names a request which never ran.
Test(mesh_access, calls_of_the_target_need_no_key) {
  KeyedBench Node;
  Node.ask(1, "k1");
  const StartAttempt Started = *Node.first<StartAttempt>();
  Node.ask(2, "", "/list/1", "c1");
  cr_assert(Node.startedAs(""));
  Node.ask(3, "", "/list/1", "c99");
  cr_assert(Node.refusedFor(core::ErrorCode::RequestKeyMissing));
  Node.send(request::CallerDisconnected{Started.Id});
  Node.ask(4, "", "/list/1", "c1");
  cr_assert(!Node.first<Refuse>() || Node.first<Refuse>()->Status != 401);
  Node.Now += milliseconds(1000);
  Node.send(request::Tick{});
  Node.ask(5, "", "/list/1", "c1");
  cr_assert(Node.refusedFor(core::ErrorCode::RequestKeyMissing));

  Bench Restarted;
  Restarted.State.Settings.RetriesKnownSince = Restarted.Now;
  Restarted.State.Settings.Service = core::ServiceName("shop");
  Restarted.configure(keyedRouting());
  Restarted.announce();
  request::CallArrived Call;
  Call.Id = core::CallId(1);
  Call.Path = "/list/1";
  Call.VirtualHost = "shop.example";
  Call.ParentId = "c1";
  Restarted.send(Call);
  cr_assert(Restarted.first<StartAttempt>().has_value());
  // A key that is presented decides, whatever the request claims to belong to.
  Call.Id = core::CallId(2);
  Call.Credential = config::KeyDigest::of("stranger");
  Restarted.send(Call);
  cr_assert(Restarted.first<Refuse>()->Status == 401);
  Restarted.Now += milliseconds(1000);
  Call.Id = core::CallId(3);
  Call.Credential.reset();
  Restarted.send(Call);
  cr_assert(Restarted.first<Refuse>()->Status == 401);
}

// Guards against a caller that becomes the most urgent by the form of its
// request's id.
Test(mesh_access, a_caller_with_a_key_has_the_rank_of_its_tenant) {
  KeyedBench Node;
  Node.State.Target.reset();
  Node.send(ReportReceived{report("n1")});
  Node.ask(1, "k2", "/list/1", "c1");
  cr_assert(Node.first<StartAttempt>()->Terms->Rank == 1);
}

// Guards against a tenant that a caller claims and a host without a
// configuration passes on.
Test(mesh_access, a_request_without_a_tenant_is_sent_on_as_such) {
  KeyedBench Node;
  Node.State.Target.reset();
  Node.send(ReportReceived{report("n1")});
  Node.ask(1, "", "/open/1");
  cr_assert(Node.first<StartAttempt>()->Terms->Tenant == core::TenantName());
}

// Guards against a withdrawn key under which queued requests still run, or
// requests are sent once more.
Test(mesh_access, a_withdrawn_key_ends_what_has_not_run) {
  KeyedBench Node;
  Node.ask(1, "k1");
  const StartAttempt Running = *Node.first<StartAttempt>();
  Node.ask(2, "k1");
  Node.ask(3, "k1");
  Node.ask(4, "k2");
  config::Routing Without = keyedRouting(2);
  Without.Tenants->front().Keys.clear();
  Node.configure(Without);
  cr_assert(Node.refusedFor(core::ErrorCode::RequestKeyWithdrawn));
  cr_assert(Node.first<Refuse>()->Id == core::CallId(3));
  cr_assert(Node.count<Refuse>() == 1);
  // The running one was refused by its target: no other target is tried.
  Node.send(ReportReceived{report("n1")});
  Node.end(Running, AttemptEnd::NotRun, 503, true);
  cr_assert(Node.refusedFor(core::ErrorCode::RequestKeyWithdrawn));
}

// Guards against one series of metrics per tenant of a large fleet.
Test(mesh_access, few_tenants_are_counted_by_name) {
  TenantCounts Counts;
  for (int Round = 0; Round < 2; ++Round)
    for (int I = 0; I < 100; ++I)
      Counts.record(core::TenantName("t" + std::to_string(I)));
  cr_assert(Counts.named().size() == TenantCounts::MaximumNamed);
  cr_assert(Counts.named().at(core::TenantName("t0")) == 2);
  cr_assert(Counts.others() == 2 * (100 - TenantCounts::MaximumNamed));
}

// Guards against a log that fills with one line per refused request.
Test(mesh_access, refusals_are_logged_once_a_second) {
  KeyedBench Node;
  const auto LinesAfter = [&Node](std::uint64_t First, std::uint64_t Count) {
    std::vector<std::string> Lines;
    for (std::uint64_t Id = First; Id < First + Count; ++Id) {
      Node.ask(Id, "stranger");
      for (const Effect &Produced : Node.Last)
        if (const auto *Line = std::get_if<observe::LogEvent>(&Produced))
          Lines.push_back(Line->Detail);
    }
    return Lines;
  };
  cr_assert(LinesAfter(1, 50).size() == 1);
  Node.Now += milliseconds(1000);
  const std::vector<std::string> Later = LinesAfter(100, 1);
  cr_assert(Later.size() == 1);
  cr_assert(Later[0].ends_with("refused=50"), "%s", Later[0].c_str());
}
