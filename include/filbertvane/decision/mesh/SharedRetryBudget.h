#ifndef FILBERTVANE_DECISION_MESH_SHAREDRETRYBUDGET_H
#define FILBERTVANE_DECISION_MESH_SHAREDRETRYBUDGET_H

#include "filbertvane/core/Time.h"
#include <array>
#include <cstdint>
#include <deque>

namespace filbertvane::decision::mesh {

/// @brief Retry budget shared by all nodes.
struct SharedRetryBudgetSettings {
  /// Retries allowed per request of a window.
  double Ratio = 0;
  /// Additional retries per window, for all nodes together.
  double Slack = 0;
  core::Milliseconds Window{0};

  friend auto operator<=>(const SharedRetryBudgetSettings &,
                          const SharedRetryBudgetSettings &) = default;
};

/// @brief One node's share of the retry budget of a service.
///
/// Nodes exchange no messages about it: each spends the ratio of its own
/// requests and an equal share of the slack, so that the sum over all nodes
/// stays within the budget regardless of how requests are distributed.
class SharedRetryBudget {
public:
  /// @param KnownSince time before which another process took the retries of
  ///        this node
  SharedRetryBudget(const SharedRetryBudgetSettings &InitialSettings,
                    core::TimePoint KnownSince)
      : Settings(InitialSettings), KnownSince(KnownSince) {}

  /// @brief Counts a request of the service.
  void recordRequest(core::TimePoint Now);
  /// @brief Takes a call that a repeated run makes, a repeat for this service,
  ///        from the share of this node.
  /// @return false when the share is used up
  bool tryTakeCall(std::size_t Nodes, core::TimePoint Now);
  /// @brief Takes one retry from the share of this node.
  /// @param Nodes number of nodes that share the budget
  /// @param Reserved part of the share that is left to repeated runs
  /// @return false when the share is used up
  bool tryTake(std::size_t Nodes, core::TimePoint Now, double Reserved = 0);

  /// @brief Retries left in the share of this node.
  double remaining(std::size_t Nodes, core::TimePoint Now) const;
  /// @brief Retries taken since the start of the process.
  std::uint64_t taken() const { return TakenCount; }
  /// @brief Retries denied since the start of the process.
  std::uint64_t denied() const { return DeniedCount; }
  /// @brief Calls of repeated runs since the start of the process.
  std::uint64_t repeatedCalls() const { return RepeatedCallCount; }

private:
  static constexpr std::size_t SliceCount = 10;
  struct Slice {
    std::int64_t Number = -1;
    std::uint32_t Requests = 0;
  };

  std::int64_t sliceNumber(core::TimePoint Now) const;
  double requestsInWindow(core::TimePoint Now) const;
  std::size_t repeatsInWindow(core::TimePoint Now) const;
  void addRepeat(core::TimePoint Now);

  SharedRetryBudgetSettings Settings;
  core::TimePoint KnownSince;
  std::array<Slice, SliceCount> Requests;
  /// Times of the retries and repeated calls of the window, oldest first. Exact
  /// times, because a slice that is dropped while a part of it is younger than
  /// the window would let its retries be taken a second time.
  std::deque<core::TimePoint> Repeats;
  std::uint64_t TakenCount = 0;
  std::uint64_t DeniedCount = 0;
  std::uint64_t RepeatedCallCount = 0;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_SHAREDRETRYBUDGET_H
