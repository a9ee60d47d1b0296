#include "Bench.h"
#include <criterion/criterion.h>

using namespace bench;

namespace {

std::string routeOf(const char *Path) {
  const RouteTable Table({route("all", "/", true), route("a", "/a", true),
                          route("ab", "/a/b/", true)});
  const RoutePtr Found = Table.match(Path);
  return Found ? Found->Name.value() : "";
}

} // namespace

// Guards against requests that reach the service of a shorter prefix.
Test(route_table, the_longest_prefix_wins) {
  cr_assert(routeOf("/a/b/c") == "ab", "longest");
  cr_assert(routeOf("/a/c") == "a", "shorter");
  cr_assert(routeOf("/a?x=/a/b") == "a", "the query is no path");
  cr_assert(routeOf("/z") == "all", "root");
}

// Guards against `/a` taking the requests of `/ab`.
Test(route_table, a_prefix_ends_at_a_segment) {
  cr_assert(routeOf("/ab") == "all", "matched inside a segment");
  const RouteTable NoRoot({route("a", "/a", true)});
  cr_assert(!NoRoot.match("/b"), "matched nothing");
}
