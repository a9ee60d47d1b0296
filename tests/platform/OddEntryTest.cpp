#include "../mesh/MeshBench.h"
#include "PlatformFleet.h"
#include "filbertvane/wire/HostReportCodec.h"
#include "platform/Records.h"

using namespace platformfleet;
namespace mesh = filbertvane::decision::mesh;

namespace {

constexpr std::size_t Depth = 30000;

std::string nested(char Open, char Close) {
  return std::string(Depth, Open) + std::string(Depth, Close);
}

std::string nestedObjects() {
  std::string Text;
  for (std::size_t I = 0; I < Depth; ++I)
    Text += R"({"a":)";
  return Text + "1" + std::string(Depth, '}');
}

/// Announcement in which one field has another value.
std::string announcement(const std::string &Field, const std::string &Value) {
  std::map<std::string, std::string> Fields = {
      {"service", R"("s1")"},  {"address", R"("10.0.0.1:80")"},
      {"version", R"("v1")"},  {"slots", "9"},
      {"state", R"("ready")"}, {"cold_left", R"("500ms")"},
      {"sequence", "4"},       {"born", "1782793101000"}};
  Fields[Field] = Value;
  std::string Text;
  for (const auto &[Name, Content] : Fields)
    Text +=
        fmt::format(R"({}"{}":{})", Text.empty() ? "{" : ",", Name, Content);
  return Text + "}";
}

/// Encoded report followed by an unknown field of lists in lists.
std::string nestedReport() {
  std::string Bytes = wire::encode(meshbench::report("n1"));
  // The end of the struct gives way to field 200, a list of one list.
  Bytes.back() = '\x09';
  Bytes += "\x90\x03";
  return Bytes + std::string(Depth, '\x19') + '\0';
}

} // namespace

// Guards against an announcement of another writer that ends the process or
// replaces the target.
Test(odd_entry, an_odd_announcement_names_no_target) {
  const auto IsRefused = [](const std::string &Body) {
    return !core::ok(platform::decodeAnnouncement("i1", Body, "10.0.0.1:80"));
  };
  cr_assert(!IsRefused(announcement("slots", "9")));
  // Deeply nested, as a whole and in a field.
  cr_assert(IsRefused(nested('[', ']')));
  cr_assert(IsRefused(nestedObjects()));
  cr_assert(IsRefused(announcement("slots", nested('[', ']'))));
  cr_assert(IsRefused(announcement("born", nestedObjects())));
  // Fields that this program does not know are ignored, nested or not.
  cr_assert(!IsRefused(announcement("other", nested('[', ']'))));
  // Numbers that are too large.
  for (const char *Number : {"1e999", "1e30", "18446744073709551616",
                             "9223372036854775807", "-1", "1.5"})
    for (const char *Field : {"slots", "sequence", "born"})
      cr_assert(IsRefused(announcement(Field, Number)), "%s %s", Field, Number);
  cr_assert(IsRefused(announcement("slots", "4294967295")));
  cr_assert(IsRefused(announcement("cold_left", R"("1e300s")")));
  // Ports out of range.
  for (const char *Address :
       {"10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:65616", "10.0.0.1"})
    cr_assert(
        IsRefused(announcement("address", fmt::format(R"("{}")", Address))));
}

// Guards against a report in the list of hosts that ends the processes that
// read it.
Test(odd_entry, an_odd_report_is_refused_or_harmless) {
  cr_assert(!core::ok(wire::decodeHostReport(nestedReport())));
  mesh::HostReport Large = meshbench::report("n1");
  Large.Address = "10.0.0.1:99999";
  Large.Position =
      meshbench::position(std::numeric_limits<std::int64_t>::max());
  Large.Sequence = std::numeric_limits<std::int64_t>::max();
  Large.Target->Load = {1u << 30, 1u << 30, 1u << 30, milliseconds(1 << 30)};
  Large.Target->RequestsPerSecond = 1e300;
  Large.Moves = {{core::ServiceName("shop"), core::TargetVersion("v2"),
                  meshbench::position(1), mesh::MovePhase::Running,
                  milliseconds(std::numeric_limits<std::int64_t>::max())}};
  const auto Read = wire::decodeHostReport(wire::encode(Large));
  cr_assert(core::ok(Read));
  meshbench::Bench Node;
  Node.configure();
  Node.send(mesh::MoveOrdered{core::ServiceName("shop"),
                              core::TargetVersion("v2"), core::Seconds(20),
                              meshbench::position(1)});
  Node.send(mesh::StoredReportsRead{{core::value(Read)}});
  Node.send(mesh::ReportReceived{core::value(Read)});
  Node.send(mesh::ReportReceived{meshbench::report("n2")});
  for (std::uint64_t Id = 1; Id <= 20; ++Id) {
    Node.arrive(Id);
    Node.Now += milliseconds(100);
    Node.send(decision::request::Tick{});
  }
}

// Guards against a process that stops following the store, or ends, because of
// one entry.
Test(odd_entry, a_fleet_serves_beside_odd_entries) {
  Fleet All({"home", "shop"});
  for (const char *Topic : {"keyed.op", "keyed.hosts", "keyed.status"}) {
    All.Store.put(Topic, "rollout/shop", nested('[', ']'));
    All.Store.put(Topic, "other", nestedObjects());
    All.Store.put(Topic, "n9", nestedReport());
    All.Store.put(Topic, "n8", R"({"port":99999,"number":1e999})");
  }
  All.publish(1);
  All.untilServed(1, "/list/a");
  All.Store.put("keyed.op", "rollout/shop", nestedObjects());
  All.publish(2, "home");
  // The configuration behind the odd entry is in force: its service is the one
  // of the first host.
  int Try = 0;
  while (All.instance(1).runsInAll() == 0) {
    All.ask(1, "/list/a", fmt::format("q{}", Try));
    cr_assert(++Try < 2000, "the later configuration is not followed");
  }
}
