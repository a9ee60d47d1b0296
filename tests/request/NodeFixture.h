#ifndef FILBERTVANE_TESTS_REQUEST_NODEFIXTURE_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_TESTS_REQUEST_NODEFIXTURE_H

#include "filbertvane/decision/request/Reducer.h"
#include <rapidcheck.h>

namespace request_fixture {

using namespace filbertvane;
using namespace filbertvane::decision::request;

inline core::Instant instant(std::int64_t Millis) {
  const core::Milliseconds Since(Millis);
  return {core::TimePoint(Since), core::WallTime(Since)};
}

inline config::RouteSpec route(std::string Name, std::string Prefix,
                               bool Idempotent, std::string Service = "shop") {
  config::RouteSpec Result;
  Result.Name = core::RouteName(std::move(Name));
  Result.Prefix = std::move(Prefix);
  Result.Service = core::ServiceName(std::move(Service));
  Result.Idempotent = Idempotent;
  return Result;
}

/// Fleet with service `shop`: `/list` idempotent, `/book` not.
inline config::FleetState shopFleet(config::Permille Share = 0) {
  config::FleetState Result;
  Result.Version = core::ConfigVersion(1);
  Result.CurrentSheet.Routes = {route("book", "/book", false),
                                route("list", "/list", true)};
  config::TrafficSplit Versions{core::TargetVersion("1"), {}, 0};
  if (Share > 0) {
    Versions.Candidate = core::TargetVersion("2");
    Versions.CandidateShare = Share;
    config::MoveStatus Move;
    Move.Id = {core::ServiceName("shop"), core::ConfigVersion(1)};
    Move.Order.To = *Versions.Candidate;
    Result.Moves.push_back(Move);
  }
  Result.TrafficByService[core::ServiceName("shop")] = Versions;
  return Result;
}

inline Endpoint endpoint(const std::string &Node, std::string Version = "1",
                         const std::string &Centre = "dc1",
                         std::uint32_t Slots = 4) {
  Endpoint Result;
  Result.Target = core::TargetId("t-" + Node);
  Result.Service = core::ServiceName("shop");
  Result.Version = core::TargetVersion(std::move(Version));
  Result.Node = core::NodeId(Node);
  Result.DataCentre = core::DataCentreId(Centre);
  Result.Region = core::RegionId(Centre == "dc3" ? "r2" : "r1");
  Result.Address = Node;
  Result.Slots = Slots;
  Result.AnnouncedAt = core::TimePoint(core::Seconds(-3600));
  return Result;
}

/// Random numbers for one run of a property. RapidCheck's own ranges grow with
/// the run, so that early runs would choose only the first kinds of events.
class RandomChoices {
public:
  RandomChoices() : Rng(*rc::gen::arbitrary<std::uint64_t>()) {}
  std::uint64_t operator()(std::uint64_t From, std::uint64_t To) {
    return From + Rng.below(To - From);
  }

private:
  core::Random Rng;
};

/// Node `n0` with its state and the effects of its last event.
struct NodeFixture {
  State Now;
  Effects Last;
  std::int64_t Millis = 1000000;

  static Settings settings(std::uint64_t Seed) {
    Settings Config;
    Config.Self = core::NodeId("n0");
    Config.Incarnation = core::Incarnation(1);
    Config.DataCentre = core::DataCentreId("dc1");
    Config.Region = core::RegionId("r1");
    Config.Seed = Seed;
    return Config;
  }

  explicit NodeFixture(Settings Config = settings(1))
      : Now(std::move(Config)) {}

  /// Creates a node with a configuration and endpoints.
  NodeFixture(config::FleetState Fleet, std::vector<Endpoint> Endpoints,
              std::uint64_t Seed = 1)
      : Now(settings(Seed)) {
    configure(std::move(Fleet));
    handle(EndpointsChanged{std::move(Endpoints)});
  }

  const Effects &handle(const Event &Input) {
    auto Next = reduce(std::move(Now), Input, instant(Millis));
    Now = std::move(Next.NextState);
    Last = std::move(Next.EmittedEffects);
    return Last;
  }

  void configure(config::FleetState Fleet,
                 std::vector<config::MoveId> Rollbacks = {}) {
    handle(ConfigurationChanged{
        std::make_shared<const config::FleetState>(std::move(Fleet)),
        std::move(Rollbacks)});
  }

  const Effects &arrive(std::uint64_t Id, std::string Path = "/list",
                        std::int64_t WithinMs = 2000) {
    CallArrived Arrival;
    Arrival.Id = core::CallId(Id);
    Arrival.Path = std::move(Path);
    Arrival.Method = "GET";
    Arrival.RequestDigest = core::Digest(Id);
    Arrival.Deadline = instant(Millis + WithinMs).Wall;
    return handle(Arrival);
  }

  /// Handles a request from another node for the local target.
  const Effects &arriveHosted(std::uint64_t Id, std::int64_t WithinMs = 2000,
                              std::uint32_t Crashes = 0) {
    CallArrived Arrival;
    Arrival.Id = core::CallId(Id);
    Arrival.FromNode = true;
    Arrival.Path = "/list";
    Arrival.Service = core::ServiceName("shop");
    Arrival.Target = core::TargetId("t-n0");
    Arrival.RequestDigest = core::Digest(Id);
    Arrival.Deadline = instant(Millis + WithinMs).Wall;
    Arrival.Crashes = Crashes;
    return handle(Arrival);
  }

  /// Ends the current attempt of a call.
  const Effects &end(std::uint64_t Id, AttemptEnd End, int Status = 200) {
    AttemptEnded Ended;
    Ended.Id = core::CallId(Id);
    Ended.Attempt = Now->Calls.at(Ended.Id).CurrentAttempt;
    Ended.End = End;
    Ended.Status = Status;
    return handle(Ended);
  }

  template <typename T> const T *first() const {
    for (const Effect &Emitted : Last)
      if (const T *Found = std::get_if<T>(&Emitted))
        return Found;
    return nullptr;
  }

  template <typename T> std::size_t count() const {
    std::size_t Found = 0;
    for (const Effect &Emitted : Last)
      Found += std::holds_alternative<T>(Emitted) ? 1 : 0;
    return Found;
  }
};

} // namespace request_fixture

#endif // FILBERTVANE_TESTS_REQUEST_NODEFIXTURE_H
