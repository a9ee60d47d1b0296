#ifndef FILBERTVANE_TESTS_REQUEST_BENCH_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_TESTS_REQUEST_BENCH_H

#include "filbertvane/decision/request/Reducer.h"
#include <rapidcheck.h>

namespace bench {

using namespace filbertvane;
using namespace filbertvane::decision::request;

inline core::Instant instant(std::int64_t Millis) {
  const core::Milliseconds Since(Millis);
  return {core::TimePoint(Since), core::WallTime(Since)};
}

inline config::RouteSpec route(std::string Name, std::string Prefix,
                               bool Idempotent, std::string Service = "shop") {
  config::RouteSpec Made;
  Made.Name = core::RouteName(std::move(Name));
  Made.Prefix = std::move(Prefix);
  Made.Service = core::ServiceName(std::move(Service));
  Made.Idempotent = Idempotent;
  return Made;
}

/// Fleet with service `shop`: `/list` idempotent, `/book` not.
inline config::FleetState shopFleet(config::Permille Share = 0) {
  config::FleetState Made;
  Made.Version = core::ConfigVersion(1);
  Made.CurrentSheet.Routes = {route("book", "/book", false),
                              route("list", "/list", true)};
  config::TrafficSplit Versions{core::TargetVersion("1"), {}, 0};
  if (Share > 0) {
    Versions.Candidate = core::TargetVersion("2");
    Versions.CandidateShare = Share;
    config::MoveStatus Move;
    Move.Id = {core::ServiceName("shop"), core::ConfigVersion(1)};
    Move.Order.To = *Versions.Candidate;
    Made.Moves.push_back(Move);
  }
  Made.TrafficByService[core::ServiceName("shop")] = Versions;
  return Made;
}

inline Endpoint endpoint(const std::string &Node, std::string Version = "1",
                         const std::string &Centre = "dc1",
                         std::uint32_t Slots = 4) {
  Endpoint Made;
  Made.Target = core::TargetId("t-" + Node);
  Made.Service = core::ServiceName("shop");
  Made.Version = core::TargetVersion(std::move(Version));
  Made.Node = core::NodeId(Node);
  Made.DataCentre = core::DataCentreId(Centre);
  Made.Region = core::RegionId(Centre == "dc3" ? "r2" : "r1");
  Made.Address = Node;
  Made.Slots = Slots;
  Made.AnnouncedAt = core::TimePoint(core::Seconds(-3600));
  return Made;
}

/// Choices of one run of a property. RapidCheck's own ranges grow with the run,
/// so that the first runs would choose only the first kinds of events.
class Choices {
public:
  Choices() : Source(*rc::gen::arbitrary<std::uint64_t>()) {}
  std::uint64_t operator()(std::uint64_t From, std::uint64_t To) {
    return From + Source.below(To - From);
  }

private:
  core::Random Source;
};

/// One node `n0` with its state and the effects of its last event.
struct Bench {
  State Now;
  Effects Last;
  std::int64_t Millis = 1000000;

  static Settings settings(std::uint64_t Seed) {
    Settings Own;
    Own.Self = core::NodeId("n0");
    Own.Incarnation = core::Incarnation(1);
    Own.DataCentre = core::DataCentreId("dc1");
    Own.Region = core::RegionId("r1");
    Own.Seed = Seed;
    return Own;
  }

  explicit Bench(Settings Own = settings(1)) : Now(std::move(Own)) {}

  /// A node with a configuration and endpoints.
  Bench(config::FleetState Fleet, std::vector<Endpoint> Places,
        std::uint64_t Seed = 1)
      : Now(settings(Seed)) {
    configure(std::move(Fleet));
    handle(EndpointsChanged{std::move(Places)});
  }

  const Effects &handle(const Event &What) {
    auto Next = reduce(std::move(Now), What, instant(Millis));
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
                        std::int64_t Within = 2000) {
    CallArrived What;
    What.Id = core::CallId(Id);
    What.Path = std::move(Path);
    What.Method = "GET";
    What.RequestDigest = core::Digest(Id);
    What.Deadline = instant(Millis + Within).Wall;
    return handle(What);
  }

  /// A request from another node for the own target.
  const Effects &arriveHosted(std::uint64_t Id, std::int64_t Within = 2000,
                              std::uint32_t Crashes = 0) {
    CallArrived What;
    What.Id = core::CallId(Id);
    What.FromNode = true;
    What.Path = "/list";
    What.Service = core::ServiceName("shop");
    What.Target = core::TargetId("t-n0");
    What.RequestDigest = core::Digest(Id);
    What.Deadline = instant(Millis + Within).Wall;
    What.Crashes = Crashes;
    return handle(What);
  }

  /// Ends the attempt that was started last for a call.
  const Effects &end(std::uint64_t Id, AttemptEnd How, int Status = 200) {
    AttemptEnded What;
    What.Id = core::CallId(Id);
    What.Attempt = Now->Calls.at(What.Id).CurrentAttempt;
    What.End = How;
    What.Status = Status;
    return handle(What);
  }

  template <typename T> const T *first() const {
    for (const Effect &One : Last)
      if (const T *Found = std::get_if<T>(&One))
        return Found;
    return nullptr;
  }

  template <typename T> std::size_t count() const {
    std::size_t Found = 0;
    for (const Effect &One : Last)
      Found += std::holds_alternative<T>(One) ? 1 : 0;
    return Found;
  }
};

} // namespace bench

#endif // FILBERTVANE_TESTS_REQUEST_BENCH_H
