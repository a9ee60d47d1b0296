#ifndef FILBERTVANE_DECISION_MESH_SLOTQUEUE_H
#define FILBERTVANE_DECISION_MESH_SLOTQUEUE_H

#include "filbertvane/core/Error.h"
#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Time.h"
#include "filbertvane/decision/mesh/HostReport.h"
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace filbertvane::decision::mesh {

/// @brief A request that asks for a slot of the own target.
struct SlotRequest {
  core::CallId Id;
  core::RouteName Route;
  /// 0 is the most urgent.
  std::uint32_t Rank = 0;
  /// Until then an answer has its full value.
  core::TimePoint Objective;
  core::TimePoint Deadline;
  /// Take the request also when its answer will be late.
  bool AcceptLate = false;
};

/// @brief Whether a request starts, waits or is refused; the last with reason.
struct SlotVerdict {
  enum class Kind { Start, Wait, Refuse } What = Kind::Refuse;
  core::ErrorCode Why = core::ErrorCode::RequestQueueFull;
};

/// @brief Slots of the own target and the requests that wait for one.
///
/// Answers the load of a day on which a service gets more requests than it has
/// slots: requests that can still be in time go first, by rank and then by
/// arrival; those that are late already use the slots that are left over, and
/// are refused once the rate of the others leaves them no turn before their
/// deadline; a more urgent request displaces a less urgent one from a full
/// queue.
class SlotQueue {
public:
  /// @name Requests
  /// @{
  SlotVerdict arrive(const SlotRequest &Who, core::TimePoint Now);
  /// @brief A started request ended.
  /// @param Took time at the target when it answered
  void finished(const core::RouteName &Route,
                std::optional<core::Microseconds> Took);
  /// @brief Withdraws a waiting request.
  void withdraw(core::CallId Id);

  struct Turn {
    core::CallId Id;
    SlotVerdict Verdict;
  };
  /// @brief Next waiting request to start or to refuse, if any now.
  std::optional<Turn> next(core::TimePoint Now);
  /// @}

  /// @name Target
  /// @{
  void resize(std::uint32_t NewSlots) { Slots = NewSlots; }
  /// @brief Another process took the target's place: nothing runs there.
  void restarted() { Running = 0; }
  TargetLoad load() const;
  /// @brief Time after which a request that comes now would get a slot, with
  ///        the more urgent requests that will come meanwhile.
  core::Microseconds expectedWait(std::uint32_t Rank,
                                  core::TimePoint Now) const;
  /// @brief Time within which most answers on a route come.
  core::Microseconds neededTime(const core::RouteName &Route) const;
  /// @brief Mean time of the answers on a route.
  core::Microseconds meanTime(const core::RouteName &Route) const;
  /// @}

private:
  struct Waiting {
    SlotRequest Who;
    core::TimePoint Since;
  };
  using Order = std::tuple<std::uint32_t, core::TimePoint, core::CallId>;

  /// @brief Times of the answers on one route.
  struct AnswerTime {
    double MeanUs = 0;
    /// Mean distance from the mean.
    double SpreadUs = 0;
    void note(double SampleUs);
  };

  /// @brief Requests a second, over about the last second.
  struct ArrivalRate {
    double PerSecond = 0;
    core::TimePoint At;
    double at(core::TimePoint Now) const;
    void note(core::TimePoint Now);
  };

  const AnswerTime &timeOf(const core::RouteName &Route) const;
  /// @brief Time that a waiting request is planned with.
  core::Microseconds plannedTime(const core::RouteName &Route) const;
  /// @brief Least time with which a request is still worth a start.
  core::Microseconds leastTime(const core::RouteName &Route) const;
  core::Microseconds turnTime(std::size_t Ahead) const;
  /// @brief Part of the slots that is left beside a rate of requests.
  double partLeftBy(double PerSecond) const;
  core::Microseconds lateWait(std::size_t Ahead, core::TimePoint Now) const;
  SlotVerdict enqueue(const SlotRequest &Who, core::TimePoint Now,
                      std::set<Order> &To);
  bool makeRoom(std::uint32_t Rank);
  void displace(const Order &Least, std::set<Order> &From);
  std::optional<Turn> take(std::set<Order> &From, core::TimePoint Now);
  void demoteLate(core::TimePoint Now);

  std::uint32_t Slots = 0;
  std::uint32_t Running = 0;
  std::map<core::CallId, Waiting> Entries;
  /// Requests that can be in time, by rank and arrival.
  std::set<Order> InTime;
  /// Requests that are late, by rank and arrival.
  std::set<Order> Late;
  /// Accepted requests by rank.
  std::map<std::uint32_t, ArrivalRate> Arrivals;
  /// Requests that lost their place to a more urgent one.
  std::vector<core::CallId> Displaced;
  std::map<core::RouteName, AnswerTime> Times;
  AnswerTime Overall;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_SLOTQUEUE_H
