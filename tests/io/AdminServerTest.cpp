#include "filbertvane/io/AdminServer.h"
#include "HttpFixture.h"
#include <vector>

using namespace filbertvane;
using namespace filbertvane::test;

namespace {

const std::string Announcement =
    R"({"id":"t1","service":"booking","version":"1","address":"127.0.0.1:9",)"
    R"("slots":18})";

struct Fixture {
  BoundedLoop Bounded;
  std::unique_ptr<io::HttpClient> Client =
      io::HttpClient::create(Bounded.Loop, {});
  std::vector<io::TargetAnnouncement> Announced;
  std::vector<std::pair<core::TargetId, bool>> Gone;
  std::unique_ptr<io::AdminServer> Admin;

  Fixture() {
    io::AdminServer::Callbacks Calls;
    Calls.Metrics = [] { return std::string("up 1\n"); };
    Calls.Status = [] { return std::string("{\"a\":1}"); };
    Calls.Healthy = [this] { return !Announced.empty(); };
    Calls.OnTarget = [this](const auto &What) { Announced.push_back(What); };
    Calls.OnTargetGone = [this](const core::TargetId &Id, bool Expired) {
      Gone.emplace_back(Id, Expired);
      if (Expired)
        Bounded.stop();
    };
    auto Made =
        io::AdminServer::listen(Bounded.Loop, "127.0.0.1:0", std::move(Calls));
    cr_assert(core::ok(Made));
    Admin = core::take(std::move(Made));
  }

  int call(const std::string &Method, const std::string &Path,
           const std::string &Body = "", std::string *Answer = nullptr) {
    auto What = requestTo(Bounded.Loop, urlOf(Admin->port(), Path));
    What.Method = Method;
    int Got = 0;
    Client->fetch(std::move(What), Body,
                  [&](io::ClientEnd, int Status, std::string Text) {
                    Got = Status;
                    if (Answer != nullptr)
                      *Answer = std::move(Text);
                    Bounded.stop();
                  });
    Bounded.run();
    return Got;
  }
};

} // namespace

// Guards against operators' pages that are missing or answer the wrong thing.
Test(admin, serves_metrics_status_and_health) {
  Fixture With;
  std::string Text;
  cr_assert(With.call("GET", "/metrics", "", &Text) == 200 && Text == "up 1\n");
  cr_assert(With.call("GET", "/status", "", &Text) == 200 &&
            Text == "{\"a\":1}");
  cr_assert(With.call("GET", "/healthz") == 503);
  cr_assert(With.call("POST", "/targets", Announcement) == 204);
  cr_assert(With.call("GET", "/healthz") == 200);
  cr_assert(With.call("POST", "/metrics") == 404);
}

// Guards against targets that are told to the node twice, or never removed.
Test(admin, a_target_is_announced_once_and_leaves_once) {
  Fixture With;
  cr_assert(With.call("POST", "/targets", Announcement) == 204);
  cr_assert(With.call("POST", "/targets", Announcement) == 204);
  cr_assert(With.Announced.size() == 1);
  cr_assert(With.Announced[0].Slots == 18);
  cr_assert(With.call("DELETE", "/targets/t1") == 204);
  cr_assert(With.call("DELETE", "/targets/t1") == 404);
  cr_assert(With.Gone.size() == 1 && !With.Gone[0].second);
}

// Guards against traffic to a target that vanished without leaving.
Test(admin, an_announcement_expires_after_three_seconds) {
  Fixture With;
  const core::TimePoint Begin = With.Bounded.Loop.now().Mono;
  cr_assert(With.call("POST", "/targets", Announcement) == 204);
  // A machine that gives the process no time delays this timer of the same loop
  // as well, so that the bound holds for the server and not for the machine.
  std::optional<core::TimePoint> Reference;
  io::Timer ThreeSeconds(With.Bounded.Loop,
                         [&] { Reference = With.Bounded.Loop.now().Mono; });
  ThreeSeconds.arm(With.Bounded.Loop.now().Mono + core::Milliseconds(3000));
  With.Bounded.run();
  const core::TimePoint Gone = With.Bounded.Loop.now().Mono;
  cr_assert(With.Gone.size() == 1 && With.Gone[0].second);
  cr_assert(Gone - Begin >= core::Milliseconds(2990));
  cr_assert(Gone - Reference.value_or(Gone) < core::Milliseconds(500));
}

// Guards against announcements that would create a half-known target.
Test(admin, malformed_announcements_are_refused) {
  Fixture With;
  for (const char *Bad :
       {"", "[]", "{", R"({"id":"t1"})",
        R"({"id":"","service":"b","version":"1","address":"a","slots":1})",
        R"({"id":"t","service":"b","version":1,"address":"a","slots":1})",
        R"({"id":"t","service":"b","version":"1","address":"a","slots":0})",
        R"({"id":"t","service":"b","version":"1","address":"a","slots":-1})"})
    cr_assert(With.call("POST", "/targets", Bad) == 400, "%s", Bad);
  cr_assert(With.call("POST", "/targets", std::string(5000, ' ')) == 400);
  cr_assert(With.Announced.empty());
}

// Guards against an operator port that is open to other hosts.
Test(admin, listens_on_loopback_only) {
  io::EventLoop Loop;
  const auto Made = io::AdminServer::listen(Loop, "0.0.0.0:0", {});
  cr_assert(!core::ok(Made));
}
