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

/// Route of service `shop`.
inline config::HostRoute shopRoute(const std::string &Name, bool Idempotent,
                                   std::uint32_t Rank = 1) {
  config::HostRoute Route;
  Route.Name = core::RouteName(Name);
  Route.VirtualHost = "shop.example";
  Route.Prefix = "/" + Name + "/";
  Route.Services = {{core::ServiceName("shop"), 1}};
  Route.Idempotent = Idempotent;
  Route.Timeout = milliseconds(1000);
  Route.Objective = milliseconds(400);
  Route.Rank = Rank;
  Route.MaxTargets = 2;
  return Route;
}

inline config::Routing shopRouting(std::uint64_t Version = 1) {
  config::Routing Made;
  Made.Version = core::ConfigVersion(Version);
  Made.Services = {core::ServiceName("shop")};
  Made.Routes = {shopRoute("list", true), shopRoute("book", false, 0)};
  return Made;
}

inline HostReport report(const std::string &Node, std::uint64_t Sequence = 1,
                         const std::string &Centre = "dc1",
                         const std::string &Region = "r1") {
  HostReport Made;
  Made.Node = core::NodeId(Node);
  Made.Start = core::Incarnation(1);
  Made.Sequence = Sequence;
  Made.Address = "10.0.0." + std::to_string(Node.back());
  Made.DataCentre = core::DataCentreId(Centre);
  Made.Region = core::RegionId(Region);
  TargetReport Target;
  Target.Id = core::TargetId("t-" + Node);
  Target.Service = core::ServiceName("shop");
  Target.Version = core::TargetVersion("v1");
  Target.Load = {0, 0, 4, milliseconds(100)};
  Made.Target = Target;
  return Made;
}

/// One node and a clock that the test moves.
class Bench {
public:
  explicit Bench(const std::string &Node = "n0") : State(settings(Node)) {}

  static MeshSettings settings(const std::string &Node) {
    MeshSettings Own;
    Own.Node = core::NodeId(Node);
    Own.DataCentre = core::DataCentreId("dc1");
    Own.Region = core::RegionId("r1");
    Own.Start = core::Incarnation(1);
    Own.Address = "10.0.0.1";
    Own.PeerPort = 8300;
    Own.TargetAddress = "10.0.0.1:8301";
    Own.Service = core::ServiceName("home");
    Own.Budget = {0.2, 1000, milliseconds(10000)};
    return Own;
  }

  Effects send(const Event &What) {
    Last = reduce(State, What, Now);
    return Last;
  }
  void configure(config::Routing Routing = shopRouting()) {
    send(RoutingLearned{
        std::make_shared<const config::RoutingTable>(std::move(Routing))});
  }
  void announce(std::uint64_t Sequence = 1, bool Draining = false,
                std::uint64_t Born = 1000, const std::string &Id = "own",
                std::uint32_t Slots = 2) {
    send(TargetAnnounced{core::TargetId(Id), core::ServiceName("shop"),
                         core::TargetVersion("v1"), Slots, Draining,
                         milliseconds(0), Born, Sequence});
  }
  void arrive(std::uint64_t Id, const std::string &Path = "/list/1") {
    request::CallArrived Call;
    Call.Id = core::CallId(Id);
    Call.Path = Path;
    Call.VirtualHost = "shop.example";
    Call.CallerId = "c" + std::to_string(Id);
    send(Call);
  }
  void arriveHosted(std::uint64_t Id, std::int64_t LeftMs = 1000,
                    std::int64_t ObjectiveMs = 400, std::uint32_t Rank = 1,
                    bool AcceptLate = false) {
    request::CallArrived Call;
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
  /// Ends the attempt that the last event started.
  void end(const request::StartAttempt &Of, request::AttemptEnd How,
           int Status = 200, bool Reached = false, bool Unreachable = false) {
    request::AttemptEnded Ended;
    Ended.Id = Of.Id;
    Ended.Attempt = Of.Attempt;
    Ended.End = How;
    Ended.Status = Status;
    Ended.ReachedTarget = Reached;
    Ended.Unreachable = Unreachable;
    send(Ended);
  }
  template <typename T> std::optional<T> first() const {
    for (const Effect &Each : Last)
      if (const auto *Found = std::get_if<T>(&Each))
        return *Found;
    return std::nullopt;
  }
  template <typename T> std::size_t count() const {
    std::size_t Sum = 0;
    for (const Effect &Each : Last)
      Sum += std::holds_alternative<T>(Each) ? 1 : 0;
    return Sum;
  }

  MeshState State;
  core::TimePoint Now = at(100000);
  Effects Last;
};

} // namespace meshbench

#endif // FILBERTVANE_TESTS_MESH_MESHBENCH_H
