#ifndef FILBERTVANE_TOOLS_FVPOLICY_SIMULATION_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_TOOLS_FVPOLICY_SIMULATION_H

#include "filbertvane/decision/request/Reducer.h"
#include <functional>
#include <queue>

namespace filbertvane::policy {

/// @brief How a simulated target behaves.
struct TargetModel {
  /// Slots that it announces.
  std::uint32_t Announced = 4;
  /// Requests that it runs without slowing down.
  std::uint32_t Real = 4;
  double MeanMs = 10;
  /// Factor on its service time while it is cold.
  double ColdFactor = 1;
};

/// @brief One trial: targets, load and the decisions under test.
struct Trial {
  std::vector<TargetModel> Targets;
  std::size_t EntryNodes = 4;
  double PerSecond = 0;
  int Seconds = 20;
  int DeadlineMs = 500;
  std::uint64_t Seed = 1;
  decision::request::AnyPicker Picker;
  bool ShedByDeadline = true;
};

/// @brief Figures of one trial.
struct Figures {
  std::size_t Calls = 0;
  std::size_t InTime = 0;
  std::vector<double> LatenciesMs;

  double successShare() const;
  double percentileMs(double Rank);
};

/// @brief Runs the request decisions of entry and host nodes against simulated
///        targets on a virtual clock.
class Simulation {
public:
  explicit Simulation(Trial What);
  Figures run();

private:
  struct Host {
    decision::request::State Node;
    TargetModel Model;
    std::uint32_t Running = 0;
  };
  struct CallTrace {
    core::TimePoint Began;
  };
  struct Due {
    core::TimePoint At;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const Due &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };

  core::Instant now() const;
  void at(core::TimePoint When, std::function<void()> Run);
  void after(core::Microseconds Time, std::function<void()> Run);
  void arrive(core::TimePoint When);
  void tick();
  void handle(decision::request::State &Node,
              const decision::request::Event &What, std::size_t Place);
  void send(const decision::request::StartAttempt &To);
  void serve(std::size_t Place, const decision::request::StartAttempt &To);
  void endAtHost(std::size_t Place, core::CallId Id, core::AttemptId Attempt);
  void endAtEntry(std::size_t Entry, core::CallId Id, bool Answered);
  core::Microseconds serviceTime(const Host &At);

  Trial What;
  core::Random Source;
  core::TimePoint Clock;
  std::uint64_t Order = 0;
  std::uint64_t LastCall = 0;
  std::priority_queue<Due> Queue;
  std::vector<decision::request::State> Entries;
  std::vector<Host> Hosts;
  /// Open attempt of a call, to end it at its entry node.
  std::unordered_map<std::uint64_t, core::AttemptId> Attempts;
  std::unordered_map<std::uint64_t, CallTrace> Traces;
  Figures Result;
};

} // namespace filbertvane::policy

#endif // FILBERTVANE_TOOLS_FVPOLICY_SIMULATION_H
