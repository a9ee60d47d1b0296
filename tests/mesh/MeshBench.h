#ifndef FILBERTVANE_TESTS_MESH_MESHBENCH_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_TESTS_MESH_MESHBENCH_H

#include "filbertvane/decision/mesh/Reducer.h"
#include <criterion/criterion.h>

namespace meshbench {

using namespace filbertvane;
using namespace filbertvane::decision::mesh;
namespace request = filbertvane::decision::request;
using decision::TargetLoad;
using std::chrono::milliseconds;

inline core::TimePoint at(std::int64_t Millis) {
  return core::TimePoint(milliseconds(Millis));
}

/// Position in the operators' records; the store was never restored in era 0.
inline StorePosition position(std::uint64_t Offset, std::uint64_t Era = 0) {
  return {core::StoreEra(Era), core::LogOffset(Offset)};
}

/// Creates a route of the service `shop`.
inline config::HostRoute shopRoute(const std::string &Name, bool Idempotent,
                                   std::uint32_t Rank = 1) {
  config::HostRoute Route;
  Route.Name = core::RouteName(Name);
  Route.VirtualHost = "shop.example";
  Route.Prefix = "/" + Name + "/";
  Route.Services = {{core::ServiceName("shop"), 1}};
  Route.Idempotent = Idempotent;
  Route.Timeout = milliseconds(1000);
  Route.LatencyObjective = milliseconds(400);
  Route.Rank = Rank;
  Route.MaxTargets = 2;
  return Route;
}

inline config::Routing shopRouting(std::uint64_t Version = 1) {
  config::Routing Routing;
  Routing.Version = core::ConfigVersion(Version);
  Routing.Services = {{core::ServiceName("shop")}};
  Routing.Routes = {shopRoute("list", true), shopRoute("book", false, 0)};
  return Routing;
}

inline HostReport report(const std::string &Node, std::uint64_t Sequence = 1,
                         const std::string &DataCentre = "dc1",
                         const std::string &Region = "r1") {
  HostReport Report;
  Report.Node = core::NodeId(Node);
  Report.Incarnation = core::Incarnation(1);
  Report.Sequence = Sequence;
  Report.Address = "10.0.0." + std::to_string(Node.back());
  Report.DataCentre = core::DataCentreId(DataCentre);
  Report.Region = core::RegionId(Region);
  TargetReport Target;
  Target.Id = core::TargetId("t-" + Node);
  Target.Service = core::ServiceName("shop");
  Target.Version = core::TargetVersion("v1");
  Target.Load = {0, 0, 4, milliseconds(100)};
  Report.Target = Target;
  return Report;
}

/// One node with a clock that the test advances. It has read the list of hosts.
class Bench {
public:
  explicit Bench(const std::string &Node = "n0") : State(settings(Node)) {
    State.HostListRead = true;
  }

  static MeshSettings settings(const std::string &Node) {
    MeshSettings Settings;
    Settings.Node = core::NodeId(Node);
    Settings.DataCentre = core::DataCentreId("dc1");
    Settings.Region = core::RegionId("r1");
    Settings.Incarnation = core::Incarnation(1);
    Settings.Address = "10.0.0.1";
    Settings.PeerPort = 8300;
    Settings.TargetAddress = "10.0.0.1:8301";
    Settings.Service = core::ServiceName("home");
    Settings.Budget = {0.2, 1000, milliseconds(10000)};
    return Settings;
  }

  Effects send(const Event &NewEvent) {
    Last = reduce(State, NewEvent, Now);
    return Last;
  }
  void configure(config::Routing Routing = shopRouting()) {
    send(RoutingLoaded{
        std::make_shared<const config::RoutingTable>(std::move(Routing))});
  }
  void announce(std::uint64_t Sequence = 1, bool Draining = false,
                std::uint64_t ProcessStart = 1000,
                const std::string &Id = "own", std::uint32_t Slots = 2) {
    send(TargetAnnounced{core::TargetId(Id), core::ServiceName("shop"),
                         core::TargetVersion("v1"), Slots, Draining,
                         milliseconds(0), ProcessStart, Sequence});
  }
  void arrive(std::uint64_t Id, const std::string &Path = "/list/1") {
    request::CallArrived Call;
    Call.Id = core::CallId(Id);
    Call.Path = Path;
    Call.VirtualHost = "shop.example";
    Call.CallerId = "c" + std::to_string(Id);
    send(Call);
  }
  void arriveFromPeer(std::uint64_t Id, std::int64_t LeftMs = 1000,
                      std::int64_t ObjectiveMs = 400, std::uint32_t Rank = 1,
                      bool AcceptLate = false,
                      const std::string &Sender = "n1") {
    request::CallArrived Call;
    Call.Sender = core::NodeId(Sender);
    Call.Id = core::CallId(Id);
    Call.FromNode = true;
    Call.Target = core::TargetId("own");
    Call.CallerId = "c" + std::to_string(Id);
    Call.TimeLeft = milliseconds(LeftMs);
    Call.Terms =
        request::HopTerms{core::RouteName("list"), milliseconds(ObjectiveMs),
                          Rank, true, AcceptLate};
    send(Call);
  }
  /// Ends a started attempt.
  void end(const request::StartAttempt &Started, request::AttemptEnd Result,
           int Status = 200, bool Reached = false, bool Unreachable = false) {
    request::AttemptEnded Ended;
    Ended.Id = Started.Id;
    Ended.Attempt = Started.Attempt;
    Ended.End = Result;
    Ended.Status = Status;
    Ended.ReachedTarget = Reached;
    Ended.Unreachable = Unreachable;
    send(Ended);
  }
  template <typename T> std::optional<T> first() const {
    for (const Effect &Produced : Last)
      if (const auto *Found = std::get_if<T>(&Produced))
        return *Found;
    return std::nullopt;
  }
  template <typename T> std::size_t count() const {
    std::size_t Sum = 0;
    for (const Effect &Produced : Last)
      Sum += std::holds_alternative<T>(Produced) ? 1 : 0;
    return Sum;
  }

  MeshState State;
  core::TimePoint Now = at(100000);
  Effects Last;
};

} // namespace meshbench

#endif // FILBERTVANE_TESTS_MESH_MESHBENCH_H
