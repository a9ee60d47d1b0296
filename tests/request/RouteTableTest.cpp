#include "NodeFixture.h"
#include <criterion/criterion.h>

using namespace request_fixture;

namespace {

std::string routeOf(const char *Path) {
  const RouteTable Table({route("all", "/", true), route("a", "/a", true),
                          route("ab", "/a/b/", true)});
  const RoutePtr Found = Table.match(Path);
  return Found ? Found->Name.value() : "";
}

} // namespace

// Guards against routing a request by a shorter prefix.
Test(route_table, the_longest_prefix_wins) {
  cr_assert(routeOf("/a/b/c") == "ab", "not the longest prefix");
  cr_assert(routeOf("/a/c") == "a", "wrong route for the shorter prefix");
  cr_assert(routeOf("/a?x=/a/b") == "a", "the query string was matched");
  cr_assert(routeOf("/z") == "all", "the root route was not matched");
}

// Guards against `/a` matching requests for `/ab`.
Test(route_table, a_prefix_ends_at_a_segment) {
  cr_assert(routeOf("/ab") == "all", "matched inside a segment");
  const RouteTable NoRoot({route("a", "/a", true)});
  cr_assert(!NoRoot.match("/b"), "matched a path without a route");
}
