#ifndef FILBERTVANE_TESTS_MESH_EVENLOADMODEL_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_TESTS_MESH_EVENLOADMODEL_H

#include "filbertvane/decision/mesh/Placement.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace meshbench {

using namespace filbertvane;
using namespace filbertvane::decision::mesh;
using std::chrono::milliseconds;

/// Load on a fleet of which each node has one target of the same service.
struct EvenLoad {
  std::size_t Nodes = 18;
  std::size_t DataCentres = 6;
  std::size_t Regions = 3;
  std::uint32_t Slots = 9;
  double MeanMs = 140;
  /// Request rate as a fraction of the capacity of all targets.
  double Demand = 0.85;
  milliseconds Objective{600};
  milliseconds Length{10000};
  milliseconds RemoteReports{2000};
  /// Each target is slow for this share of its time, in turns of 600 ms.
  double NoiseShare = 0;
  std::uint64_t Seed = 7;
};

/// Answers that callers get, and the figure of unevenness.
struct EvenLoadResult {
  std::size_t Requests = 0;
  std::size_t InTime = 0;
  std::size_t Late = 0;
  std::size_t Refused = 0;
  /// Refusals by hosts; the request may be served by the next one.
  std::size_t HostRefusals = 0;
  /// Requests that waited or were refused by a host while another target of
  /// the same region had a free slot.
  std::size_t Uneven = 0;
  /// Answers from another data centre of the region.
  std::size_t Near = 0;
  /// Answers from another region.
  std::size_t Remote = 0;
  /// Lowest share in time of the requests of one second.
  double WorstSecond = 1;

  double share(std::size_t Count) const {
    return static_cast<double>(Count) /
           static_cast<double>(std::max<std::size_t>(Requests, 1));
  }
};

/// Nodes that choose targets by what reports and answers told them.
///
/// Messages take 1 ms within a region and 20 ms between regions. Reports
/// arrive every 500 ms within a data centre, and every `RemoteReports` from
/// others. A host refuses a request that it cannot start early enough.
class EvenLoadModel {
public:
  /// Chooses among candidates whose loads are as the node knows them.
  using Policy = std::function<std::optional<std::size_t>(
      const std::vector<Candidate> &, const PlacementQuery &, core::Random &)>;

  EvenLoadModel(const EvenLoad &Load, Policy Choose)
      : Load(Load), Choose(std::move(Choose)), Source(Load.Seed),
        ChoiceSource(Load.Seed + 1), Targets(Load.Nodes) {
    for (Target &T : Targets) {
      T.Known.resize(Load.Nodes);
      T.TimeFactor = 0.7 + 0.9 * Source.unit();
      T.MeanMs = Load.MeanMs * T.TimeFactor;
    }
    double SpeedSum = 0;
    for (const Target &T : Targets)
      SpeedSum += 1 / T.MeanMs;
    PerMs = Load.Demand * Load.Slots * SpeedSum;
  }

  EvenLoadResult run();

private:
  struct Knowledge {
    std::uint32_t Load = 0;
    std::uint32_t Sent = 0;
    std::uint32_t InFlight = 0;
    double MeanMs = 0;
  };
  struct Call {
    std::size_t Entry = 0;
    double Began = 0;
    std::vector<std::size_t> Tried;
    bool Uneven = false;
  };
  struct Target {
    std::uint32_t Running = 0;
    std::deque<Call> Waiting;
    double TimeFactor = 1;
    double MeanMs = 0;
    double SlowUntil = 0;
    std::vector<Knowledge> Known;
  };
  struct Scheduled {
    double At = 0;
    std::uint64_t Number = 0;
    std::function<void()> Run;
    bool operator<(const Scheduled &Other) const {
      return std::tie(Other.At, Other.Number) < std::tie(At, Number);
    }
  };

  void after(double Ms, std::function<void()> Run) {
    Queue.push({Now + Ms, ++LastNumber, std::move(Run)});
  }
  std::size_t dataCentre(std::size_t Node) const {
    return Node % Load.DataCentres;
  }
  std::size_t region(std::size_t Node) const {
    return dataCentre(Node) % Load.Regions;
  }
  Distance distance(std::size_t From, std::size_t To) const {
    if (From == To)
      return Distance::Local;
    if (dataCentre(From) == dataCentre(To))
      return Distance::SameDataCentre;
    return region(From) == region(To) ? Distance::SameRegion
                                      : Distance::OtherRegion;
  }
  double delay(std::size_t From, std::size_t To) const {
    if (From == To)
      return 0;
    return region(From) == region(To) ? 1 : 20;
  }
  std::uint32_t loadOf(std::size_t Node) const {
    return Targets[Node].Running +
           static_cast<std::uint32_t>(Targets[Node].Waiting.size());
  }
  bool hasFreeSlotNear(std::size_t Node) const {
    for (std::size_t I = 0; I < Targets.size(); ++I)
      if (I != Node && region(I) == region(Node) &&
          Targets[I].Running < Load.Slots && Targets[I].Waiting.empty())
        return true;
    return false;
  }
  double exponential(double Mean) {
    return -std::log(1 - Source.unit()) * Mean;
  }
  void learn(std::size_t Node, std::size_t About, std::uint32_t Known,
             double MeanMs) {
    Knowledge &K = Targets[Node].Known[About];
    K.Load = Known;
    K.MeanMs = MeanMs;
    K.Sent = 0;
  }
  void arrive();
  void report(std::size_t Node, bool ToRemote);
  void place(Call Placed);
  void reachHost(std::size_t Host, Call Placed);
  void start(std::size_t Host, Call Placed);
  void answer(std::size_t Host, const Call &Placed);
  void conclude(const Call &Placed, std::optional<Distance> From);

  EvenLoad Load;
  Policy Choose;
  /// Arrivals and run times; the same for each policy.
  core::Random Source;
  core::Random ChoiceSource;
  std::vector<Target> Targets;
  double PerMs = 0;
  double Now = 0;
  std::uint64_t LastNumber = 0;
  std::priority_queue<Scheduled> Queue;
  EvenLoadResult Result;
  std::vector<std::size_t> BegunIn;
  std::vector<std::size_t> ServedIn;
};

} // namespace meshbench

#endif // FILBERTVANE_TESTS_MESH_EVENLOADMODEL_H
