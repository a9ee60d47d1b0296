#include "platform/Records.h"
#include "platform/Surroundings.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace filbertvane;
using std::chrono::milliseconds;
namespace mesh = filbertvane::decision::mesh;

namespace {

const std::string Config = R"({"version":7,
  "routes":{
    "r1":{"host":"a.example","path_prefix":"/x/","route_type":"non_idempotent",
          "timeout":"1200ms","target_latency":"600ms","priority":1,
          "service":"s1","max_attempts":2},
    "r2":{"host":"a.example","path_prefix":"/x/y/","route_type":"download",
          "timeout":"2s","target_latency":"500ms","priority":2,
          "traffic_split":[{"service":"s1","weight":90},
                           {"service":"s2","weight":10}],
          "max_attempts":3}},
  "services":{"s1":{"health_path":"/health"},"s2":{}},
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
            "header_timeout":"3000ms","idle_timeout":"15000ms"},
  "base_version":5})";

std::string changed(const std::string &From, const std::string &To) {
  std::string Text = Config;
  const std::size_t At = Text.find(From);
  cr_assert(At != std::string::npos, "%s", From.c_str());
  return Text.replace(At, From.size(), To);
}

const std::string Beat =
    R"({"service":"s1","address":"10.0.0.1:80","zone":"dc","version":"v1",
        "slots":9,"state":"ready","cold_left":"500ms","sequence":4,
        "born":1782793101000})";

} // namespace

// Guards against a configuration that is misread.
Test(platform_records, a_configuration_is_decoded_whole) {
  const auto Read = platform::decodeRouting(Config);
  cr_assert(core::ok(Read));
  const config::RoutingTable Table(core::value(Read));
  // The longest prefix of the virtual host decides.
  const auto Download = Table.match("a.example", "/x/y/z?q=/x/");
  cr_assert(Download->Name == core::RouteName("r2"));
  cr_assert(Download->Bulk && Download->Idempotent);
  cr_assert(Download->Services.size() == 2);
  const auto Booking = Table.match("a.example:80", "/x/1");
  cr_assert(!Booking->Idempotent);
  cr_assert(Booking->Timeout == milliseconds(1200));
  cr_assert(Booking->MaxTargets == 2);
  // Another host, and a prefix that ends within a segment, match nothing.
  cr_assert(!Table.match("b.example", "/x/1"));
  cr_assert(!Table.match("a.example", "/xy"));
}

// Guards against a configuration that is applied in part.
Test(platform_records, a_faulty_configuration_is_refused_whole) {
  using core::ErrorCode;
  cr_assert(core::failure(platform::decodeRouting(changed(
                              "\"service\":\"s2\"", "\"service\":\"s9\"")))
                .Code == ErrorCode::RoutingInvalid);
  for (const auto &[From, To] : {std::pair{"\"timeout\":\"1200ms\",", ""},
                                 {"\"1200ms\"", "\"-5ms\""},
                                 {"\"version\":7", "\"version\":\"7\""},
                                 {"\"priority\":1", "\"priority\":1.5"},
                                 {"\"non_idempotent\"", "7"},
                                 {"\"non_idempotent\"", "\"\""},
                                 {"\"weight\":90", "\"weight\":-90"}})
    cr_assert(!core::ok(platform::decodeRouting(changed(From, To))), "%s", To);
  cr_assert(!core::ok(platform::decodeRouting(Config.substr(0, 200))));
}

// Guards against an upload that is run twice, and against a configuration with
// uploads that is refused.
Test(platform_records, an_upload_is_bulk_and_runs_at_most_once) {
  const auto Read =
      platform::decodeRouting(changed("\"non_idempotent\"", "\"upload\""));
  cr_assert(core::ok(Read));
  const config::HostRoute &Upload = core::value(Read).Routes.front();
  cr_assert(Upload.Bulk && !Upload.Idempotent && !Upload.UnknownKind);
}

// Guards against one route of a new kind that takes all routes out of service,
// and against repeating requests whose kind is not understood.
Test(platform_records, a_route_of_an_unknown_kind_runs_at_most_once) {
  const auto Read =
      platform::decodeRouting(changed("\"non_idempotent\"", "\"sometimes\""));
  cr_assert(core::ok(Read));
  const config::Routing &Routing = core::value(Read);
  cr_assert(Routing.Routes.size() == 2);
  cr_assert(!Routing.Routes.front().Idempotent);
  cr_assert(Routing.Routes.front().UnknownKind == "sometimes");
  cr_assert(!Routing.Routes.back().UnknownKind);
}

// Guards against a valid configuration that is refused: a time-out may be
// shortened below the objective (found on quiet-1: no node became ready).
Test(platform_records, an_objective_beyond_the_timeout_is_valid) {
  cr_assert(
      core::ok(platform::decodeRouting(changed("\"1200ms\"", "\"400ms\""))));
}

// Guards against announcements of other writers that name a target to use.
Test(platform_records, an_announcement_is_from_the_target_of_this_host) {
  const auto Read = platform::decodeAnnouncement("i-1", Beat, "10.0.0.1:80");
  cr_assert(core::ok(Read));
  const mesh::TargetAnnounced &Said = core::value(Read);
  cr_assert(Said.Slots == 9 && Said.Sequence == 4);
  cr_assert(Said.ProcessStart == 1782793101000 && !Said.Draining);
  cr_assert(Said.RemainingWarmup == milliseconds(500));
  cr_assert(
      core::failure(platform::decodeAnnouncement("i-1", Beat, "10.0.0.2:80"))
          .Code == core::ErrorCode::AnnouncementWrongHost);
  for (const auto &[From, To] : {std::pair{"\"ready\"", "\"resting\""},
                                 {"\"slots\":9,", ""},
                                 {"1782793101000", "1.5"},
                                 {"\"sequence\":4", "\"sequence\":\"4\""}}) {
    std::string Text = Beat;
    Text.replace(Text.find(From), std::string(From).size(), To);
    cr_assert(
        !core::ok(platform::decodeAnnouncement("i-1", Text, "10.0.0.1:80")),
        "%s", To);
  }
}

// Guards against calls of another kind at the control address.
Test(platform_records, the_path_names_the_call_and_the_target) {
  const platform::Surroundings Platform;
  io::RequestHead Head;
  Head.Method = "POST";
  Head.Path = "/v1/instances/i-7/deregister";
  const auto Left = Platform.decodeAnnouncement(Head, "", "10.0.0.1:80");
  cr_assert(std::get<mesh::TargetDeregistered>(core::value(Left)).Id ==
            core::TargetId("i-7"));
  for (const auto &[Body, Start] : {std::pair("", 0),
                                    {"[1]", 0},
                                    {R"({"born":"soon"})", 0},
                                    {R"({"born":1700})", 1700}}) {
    const auto Stated = Platform.decodeAnnouncement(Head, Body, "10.0.0.1:80");
    cr_assert(
        std::get<mesh::TargetDeregistered>(core::value(Stated)).ProcessStart ==
        static_cast<std::uint64_t>(Start));
  }
  Head.Path = "/v1/instances//heartbeat";
  cr_assert(!core::ok(Platform.decodeAnnouncement(Head, Beat, "10.0.0.1:80")));
  Head.Path = "/v1/other";
  cr_assert(!core::ok(Platform.decodeAnnouncement(Head, Beat, "10.0.0.1:80")));
}

// Guards against a move that the planners read wrongly.
Test(platform_records, states_of_moves_are_written_as_they_are_read) {
  for (const auto Phase : {mesh::MovePhase::Running, mesh::MovePhase::Completed,
                           mesh::MovePhase::RolledBack}) {
    const mesh::WriteMove Written{core::ServiceName("s1"),
                                  core::TargetVersion("v2"), Phase};
    const auto Read = platform::decodeMoveState(
        "rollout/s1", platform::encodeMoveState(Written));
    cr_assert(Read->Service == Written.Service &&
              Read->NewVersion == Written.NewVersion);
    cr_assert(Read->Phase == Phase);
  }
  cr_assert(!platform::decodeMoveState("other/s1", "{}"));
  cr_assert(!platform::decodeMoveState("rollout/s1", "{\"state\":\"odd\"}"));
}

// Guards against a process that ends on a record of another writer.
Test(platform_records, any_bytes_are_decoded_or_refused) {
  cr_assert(rc::check([](const std::string &Bytes) {
    platform::decodeRouting(Bytes);
    platform::decodeAnnouncement("i", Bytes, "10.0.0.1:80");
    platform::decodeMoveState("rollout/s", Bytes);
    platform::decodeMoveOrder({"rollout/s", io::mesh::StorePosition(), Bytes});
  }));
  // The same for configurations with one byte changed.
  cr_assert(rc::check([] {
    std::string Text = Config;
    Text[*rc::gen::inRange<std::size_t>(0, Text.size())] =
        *rc::gen::arbitrary<char>();
    platform::decodeRouting(Text);
  }));
}
