#ifndef FILBERTVANE_TESTS_PLATFORM_PLATFORMFLEET_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_TESTS_PLATFORM_PLATFORMFLEET_H

#include "../../tools/fv-platform/InstanceStandIn.h"
#include "../../tools/fv-platform/StoreStandIn.h"
#include "filbertvane/io/mesh/MeshProcess.h"
#include "platform/Store.h"
#include "platform/Surroundings.h"
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <unistd.h>

namespace platformfleet {

using namespace filbertvane;
using std::chrono::milliseconds;

/// What a caller got.
struct Got {
  int Status = 0;
  std::string Body;
};

/// Nodes and instances on the stand-in of the platform, on one loop. Each test
/// process has addresses of its own.
class Fleet {
public:
  explicit Fleet(const std::vector<std::string> &Services,
                 milliseconds StopTime = milliseconds(6000))
      : Http(io::HttpClient::create(Loop, {})),
        Store(Loop, address(0) + ":8309"), StopTime(StopTime) {
    cr_assert(Store.open());
    for (std::size_t I = 0; I < Services.size(); ++I)
      addHost(I + 1, Services[I]);
  }

  static std::string address(std::size_t Host) {
    const auto Pid = static_cast<unsigned>(getpid());
    return fmt::format("127.{}.{}.{}", 2 + Pid / 200 % 200, 1 + Pid % 200,
                       10 + Host);
  }

  /// @param Added name of a further route; none when empty
  /// @param Tenants JSON object of the tenants; none when empty
  void publish(std::uint64_t Version, const std::string &Service = "shop",
               const std::string &Added = "", const std::string &Tenants = "") {
    const auto Route = [](const std::string &Name, const char *Kind,
                          const std::string &To) {
      return fmt::format(
          R"("{0}":{{"host":"shop.example","path_prefix":"/{0}/",)"
          R"("route_type":"{1}","timeout":"900ms","target_latency":"500ms",)"
          R"("priority":1,"service":"{2}","max_attempts":2}})",
          Name, Kind, To);
    };
    Store.put(
        "keyed.op", "config",
        fmt::format(
            R"({{"version":{},{}"routes":{{{},{},{}{}}},)"
            R"("services":{{"shop":{{}},"home":{{}}}},)"
            R"("limits":{{"max_header_bytes":16384,)"
            R"("max_body_bytes":1000000,)"
            R"("header_timeout":"3s","idle_timeout":"15s"}}}})",
            Version, Tenants.empty() ? "" : "\"tenants\":" + Tenants + ",",
            Route("list", "idempotent", Service),
            Route("book", "non_idempotent", Service),
            Route("profile", "idempotent", "home"),
            Added.empty() ? "" : "," + Route(Added, "idempotent", Service)));
  }

  /// Runs the loop until a condition holds; the test fails after five seconds.
  template <typename Condition> void until(const char *What, Condition Holds) {
    const core::TimePoint Deadline = Loop.now().Mono + core::Seconds(5);
    io::Timer Look(Loop, [&] {
      if (Holds() || Loop.now().Mono > Deadline)
        Loop.stop();
      else
        Look.arm(Loop.now().Mono + milliseconds(5));
    });
    Look.arm(Loop.now().Mono);
    Loop.run();
    cr_assert(Holds(), "%s", What);
  }

  void runFor(milliseconds Span) {
    io::Timer End(Loop, [this] { Loop.stop(); });
    End.arm(Loop.now().Mono + Span);
    Loop.run();
  }

  void send(std::size_t Host, const std::string &Path, const std::string &Id,
            std::function<void(Got)> OnDone, const io::Headers &More = {}) {
    io::HttpClient::Request What;
    What.Url = fmt::format("http://{}:8304{}", address(Host), Path);
    What.Fields = {{"Host", "shop.example"},
                   {"X-Attempt-Id", Id},
                   {"X-Deadline-Ms", "800"},
                   {"X-Caller-Service", "forged"}};
    What.Fields.insert(More.begin(), More.end());
    What.Deadline = Loop.now().Mono + core::Seconds(3);
    Http->fetch(What, "",
                [Done = std::move(OnDone)](io::ClientEnd, int Status,
                                           std::string Body) {
                  Done({Status, std::move(Body)});
                });
  }

  Got ask(std::size_t Host, const std::string &Path, const std::string &Id,
          const io::Headers &More = {}) {
    std::optional<Got> Answer;
    send(
        Host, Path, Id, [&](Got Taken) { Answer = std::move(Taken); }, More);
    until("an answer", [&] { return Answer.has_value(); });
    return *Answer;
  }

  /// Waits until a node serves a path.
  void untilServed(std::size_t Host, const std::string &Path,
                   const io::Headers &More = {}) {
    int Try = 0;
    until("service", [&] { return true; });
    while (ask(Host, Path, fmt::format("w{}-{}", Host, Try), More).Status !=
           200)
      cr_assert(++Try < 200, "node %zu does not serve", Host);
  }

  tools::InstanceStandIn &instance(std::size_t Host) {
    return *Instances.at(Host - 1);
  }

  io::mesh::MeshProcess &node(std::size_t Host) { return *Nodes.at(Host - 1); }

  /// Ends the process of a node without notice and starts the next one.
  void restart(std::size_t Host) {
    Nodes.at(Host - 1).reset();
    Places.at(Host - 1).FirstStart = false;
    startNode(Host);
  }

  io::EventLoop Loop;
  std::unique_ptr<io::HttpClient> Http;
  tools::StoreStandIn Store;

private:
  void addHost(std::size_t Host, const std::string &Service) {
    io::mesh::MeshPlace Place;
    Place.Node = core::NodeId("n" + std::to_string(Host));
    Place.DataCentre = core::DataCentreId("dc1");
    Place.Region = core::RegionId("r1");
    Place.Address = address(Host);
    Place.Callers = address(Host) + ":8304";
    Place.Peers = address(Host) + ":8300";
    Place.Readiness = address(Host) + ":8302";
    Place.Control = address(Host) + ":8306";
    Place.InternalPort = 7620;
    Place.TargetAddress = address(Host) + ":8301";
    Place.Service = core::ServiceName(Service);
    Place.Budget = {0.2, 64, milliseconds(10000)};
    Place.StopTime = StopTime;
    Place.MaxConnections = 100;
    Place.FirstStart = true;
    Places.push_back(Place);
    Stores.emplace_back();
    Nodes.emplace_back();
    startNode(Host);
    tools::InstanceTerms Terms;
    Terms.Id = "i" + std::to_string(Host);
    Terms.Service = Service;
    Terms.Address = Place.TargetAddress;
    Terms.Control = Place.Control;
    Terms.BeatPeriod = milliseconds(200);
    Instances.push_back(
        std::make_unique<tools::InstanceStandIn>(Loop, *Http, Terms));
  }

  void startNode(std::size_t Host) {
    auto &NodeStore = Stores.at(Host - 1);
    NodeStore = std::make_unique<platform::Store>(
        Loop, *Http, platform::StoreTerms{address(0) + ":8309"});
    auto Made = io::mesh::MeshProcess::create(
        Loop, *Http, Places.at(Host - 1),
        std::make_shared<const platform::Surroundings>(), *NodeStore);
    cr_assert(core::ok(Made));
    Nodes.at(Host - 1) = core::take(std::move(Made));
  }

  milliseconds StopTime;
  std::vector<io::mesh::MeshPlace> Places;
  std::vector<std::unique_ptr<platform::Store>> Stores;
  std::vector<std::unique_ptr<io::mesh::MeshProcess>> Nodes;
  std::vector<std::unique_ptr<tools::InstanceStandIn>> Instances;
};

} // namespace platformfleet

#endif // FILBERTVANE_TESTS_PLATFORM_PLATFORMFLEET_H
