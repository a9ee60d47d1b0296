#ifndef FILBERTVANE_TESTS_SCENARIO_SIMULATION_H
#define FILBERTVANE_TESTS_SCENARIO_SIMULATION_H

#include "filbertvane/decision/distribution/Distribution.h"
#include "filbertvane/decision/lease/Lease.h"
#include "filbertvane/decision/membership/Membership.h"
#include "filbertvane/wire/ControlMessage.h"
#include <functional>
#include <queue>
#include <set>

namespace filbertvane::scenario {

using core::Milliseconds;
using core::TimePoint;

/// @brief Node of the simulated network, with its three reducers.
struct SimNode {
  std::string Name;
  std::string DataCentre;
  std::string Region;
  bool Up = false;
  bool Paused = false;
  std::uint64_t Process = 0;
  decision::membership::State Membership;
  decision::distribution::State Distribution;
  decision::lease::State Lease;
  std::size_t LeaseRecordsRead = 0;
  std::uint64_t Claims = 0;
  std::vector<std::pair<std::string, wire::ControlMessage>> DeferredMessages;
  /// Highest version that any process of the node had in force.
  core::ConfigVersion VersionInForce;
};

/// @brief Simulates several data centres and the log on a fake clock.
class Simulation {
public:
  /// @name Set-up
  /// @{
  std::uint64_t Seed = 1;
  double Loss = 0;
  double Duplicates = 0;
  void build(std::size_t DataCentres, std::size_t NodesEach);
  /// @}

  /// @name Faults
  /// @{
  void start(const std::string &Name);
  void kill(const std::string &Name);
  void pause(const std::string &Name);
  void resume(const std::string &Name);
  /// Blocks messages between two data centres or nodes, or between a data
  /// centre and `log`.
  void cut(const std::string &A, const std::string &B);
  void heal() { Cuts.clear(); }
  void logUp(bool Up) { LogIsUp = Up; }
  void trimLog();
  /// @}

  /// @name Operations
  /// @{
  void publish(std::optional<std::uint64_t> Base);
  void appendStep(std::uint64_t Epoch);
  void appendSnapshot();
  void announce(const std::string &Name);
  void leave(const std::string &Name);
  void drain(const std::string &Name);
  /// @}

  /// @name Observation
  /// @{
  std::string leadOf(const std::string &DataCentre) const;
  std::string coordinator() const;
  bool inForce(const std::string &Except) const;
  bool ready(const std::string &DataCentre, bool Ready) const;
  bool seesMembers(const std::string &DataCentre, std::size_t Live) const;
  bool targetGone(const std::string &Name) const;
  std::uint64_t bytes() const { return Bytes; }
  core::ConfigVersion logVersion() const;
  std::vector<std::string> nodesOf(const std::string &DataCentre) const;
  /// @}

  void at(TimePoint Time, std::function<void()> Action);
  void runUntil(TimePoint End);
  TimePoint now() const { return Clock; }
  std::vector<std::string> Violations;
  std::set<observe::EventId> Events;

private:
  struct ScheduledAction {
    TimePoint Time;
    std::uint64_t Order;
    std::function<void()> Action;
    bool operator<(const ScheduledAction &Other) const {
      return std::tie(Time, Order) > std::tie(Other.Time, Other.Order);
    }
  };

  core::Instant instant() const;
  void tick(const std::string &Name, std::uint64_t Process);
  void send(SimNode &From, const std::string &To,
            const wire::ControlMessage &Message);
  void deliver(const std::string &To, const std::string &From,
               const wire::ControlMessage &Message);
  void handle(SimNode &N, const std::string &From,
              const wire::ControlMessage &Payload);
  bool connected(const SimNode &A, const SimNode &B) const;
  bool logReachable(const SimNode &From) const;
  core::Microseconds delay(const SimNode &A, const SimNode &B);

  void step(SimNode &N, const decision::membership::Event &Event);
  void step(SimNode &N, const decision::distribution::Event &Event);
  void step(SimNode &N, const decision::lease::Event &Event);
  void runEffect(SimNode &N, const decision::membership::Effect &Effect);
  void runEffect(SimNode &N, const decision::distribution::Effect &Effect);
  void runEffect(SimNode &N, const decision::lease::Effect &Effect);
  void onStateAdopted(SimNode &N,
                      const decision::distribution::StateAdopted &Adopted);
  void readLog(SimNode &N, core::LogOffset From, bool LongPoll);
  void checkLogEnd(SimNode &N, core::LogOffset From);
  void readLease(SimNode &N);
  void updateRemoteLeads(SimNode &N);
  void append(SimNode &N, std::function<void()> Effect);
  void check(SimNode &N);

  TimePoint Clock{};
  std::uint64_t Order = 0;
  std::priority_queue<ScheduledAction> Queue;
  core::Random Rng;
  std::map<std::string, SimNode> Nodes;
  std::set<std::pair<std::string, std::string>> Cuts;
  std::uint64_t Bytes = 0;

  bool LogIsUp = true;
  std::uint64_t LogHead = 0;
  std::vector<std::string> Log;
  std::vector<decision::lease::Renewal> LeaseLog;
  std::uint64_t Sequence = 0;
  /// State digest at each offset, equal on all nodes.
  std::map<core::LogOffset, core::Digest> Digests;
};

} // namespace filbertvane::scenario

#endif // FILBERTVANE_TESTS_SCENARIO_SIMULATION_H
