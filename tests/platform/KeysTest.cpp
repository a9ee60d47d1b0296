#include "PlatformFleet.h"

using namespace platformfleet;

namespace {

constexpr const char *Tenants =
    R"({"north":{"api_keys":["k1"]},"south":{"api_keys":["k2"]}})";
constexpr const char *WithoutNorth =
    R"({"north":{"api_keys":[]},"south":{"api_keys":["k2"]}})";

} // namespace

// Guards against a key that reaches a target, a tenant that the caller chooses,
// and a caller that is served without a key, over two hosts.
Test(platform_keys, the_tenant_reaches_the_target_and_the_key_does_not) {
  Fleet All({"home", "shop"});
  All.publish(1, "shop", "", Tenants);
  All.untilServed(1, "/list/a", {{"X-Credential", "k1"}});
  const io::Headers Sent = {{"X-Credential", "k1"},
                            {"X-Tenant-Id", "south"},
                            {"Filbertvane-Tenant", "south"}};
  cr_assert(All.ask(1, "/list/a", "q1", Sent).Status == 200);
  const io::Headers &Seen = All.instance(2).lastFields();
  cr_assert(*io::headerOf(Seen, "X-Tenant-Id") == "north");
  cr_assert(Seen.count("X-Tenant-Id") == 1);
  for (const auto &[Name, Value] : Seen)
    cr_assert(Value.find("k1") == std::string::npos, "%s", Name.c_str());
  // The target of the caller's own host learns it as well.
  cr_assert(All.ask(1, "/profile/a", "q2", Sent).Status == 200);
  cr_assert(*io::headerOf(All.instance(1).lastFields(), "X-Tenant-Id") ==
            "north");
  cr_assert(All.instance(1).lastFields().count("X-Credential") == 0);

  cr_assert(All.ask(1, "/list/a", "q3").Status == 401);
  cr_assert(
      All.ask(1, "/list/a", "q4", {{"X-Credential", "stranger"}}).Status ==
      401);
  cr_assert(All.instance(2).runs("q3") + All.instance(2).runs("q4") == 0);
}

// Guards against a key that goes on working after it was withdrawn.
Test(platform_keys, a_withdrawn_key_is_refused) {
  Fleet All({"home", "shop"});
  All.publish(1, "shop", "", Tenants);
  All.untilServed(1, "/list/a", {{"X-Credential", "k1"}});
  All.publish(2, "shop", "", WithoutNorth);
  int Try = 0;
  while (
      All.ask(1, "/list/a", fmt::format("q{}", Try), {{"X-Credential", "k1"}})
          .Status != 401)
    cr_assert(++Try < 500, "the key is still accepted");
  cr_assert(All.ask(1, "/list/a", "s1", {{"X-Credential", "k2"}}).Status ==
            200);
}

// Guards against headers that are withheld where callers need no keys.
Test(platform_keys, without_tenants_all_headers_pass) {
  Fleet All({"home", "shop"});
  All.publish(1);
  All.untilServed(1, "/list/a");
  All.ask(1, "/list/a", "q1", {{"X-Credential", "k1"}, {"X-Tenant-Id", "t"}});
  cr_assert(*io::headerOf(All.instance(2).lastFields(), "X-Credential") ==
            "k1");
  cr_assert(*io::headerOf(All.instance(2).lastFields(), "X-Tenant-Id") == "t");
}
