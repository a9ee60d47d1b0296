#ifndef FILBERTVANE_DECISION_MESH_SLOTQUEUE_H
#define FILBERTVANE_DECISION_MESH_SLOTQUEUE_H

#include "filbertvane/core/Error.h"
#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Time.h"
#include "filbertvane/decision/mesh/HostReport.h"
#include "filbertvane/decision/mesh/RateLimit.h"
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace filbertvane::decision::mesh {

/// @brief A request for a slot of the local target.
struct SlotRequest {
  core::CallId Id;
  core::RouteName Route;
  /// 0 is the most urgent.
  std::uint32_t Rank = 0;
  /// Answers after this time are late.
  core::TimePoint Objective;
  core::TimePoint Deadline;
  /// Accept the request even if its answer will be late.
  bool AcceptLate = false;
  /// A process that the answer passes exits at this time.
  core::TimePoint ExitAt = core::TimePoint::max();
};

/// @brief Whether a request starts, waits or is refused.
struct SlotVerdict {
  enum class ActionKind { Start, Wait, Refuse } Action = ActionKind::Refuse;
  /// Meaningful with `Refuse`.
  core::ErrorCode Reason = core::ErrorCode::RequestQueueFull;
};

/// @brief Slots of the local target and the queue of requests for them.
///
/// Handles overload: requests that can still be answered on time go first, by
/// rank and then by arrival. Late requests use the slots that are left over,
/// and are refused once the arrival rate of the others leaves them no slot
/// before their deadline. A more urgent request evicts a less urgent one from a
/// full queue. A rate limit of the target, or the rate that it accepts while it
/// is cold, delays requests like fewer slots.
class SlotQueue {
public:
  /// @name Requests
  /// @{
  SlotVerdict submit(const SlotRequest &Request, core::TimePoint Now);
  /// @brief Releases the slot of a started request.
  /// @param AnswerTime time at the target; none when it did not answer
  void release(const core::RouteName &Route,
               std::optional<core::Microseconds> AnswerTime);
  /// @brief A process that the answer of a waiting request passes exits.
  void boundByExit(core::CallId Id, core::TimePoint ExitAt);
  /// @brief Removes a waiting request.
  void withdraw(core::CallId Id);

  struct Dequeued {
    core::CallId Id;
    SlotVerdict Verdict;
  };
  /// @brief Dequeues the next request to start or to refuse.
  /// @return none when all waiting requests must keep waiting
  std::optional<Dequeued> next(core::TimePoint Now);
  /// @}

  /// @name Target
  /// @{
  void resize(std::uint32_t NewSlots) { Slots = NewSlots; }
  /// @brief A new process replaced the target; no request runs there.
  void targetRestarted();
  /// @brief Applies the rate limit that the target states; none for no limit.
  void setRateLimit(std::optional<double> PerSecond, core::TimePoint Now) {
    Limit.set(PerSecond, Now);
  }
  /// @brief Applies the rate that the target accepts while it is cold; none
  ///        when it is warm.
  void setColdLimit(std::optional<double> PerSecond, core::TimePoint Now) {
    ColdLimit.set(PerSecond, Now);
  }
  std::optional<double> coldLimit() const { return ColdLimit.perSecond(); }
  /// @brief Requests per second that the target accepts; none without a limit.
  std::optional<double> rateLimit() const { return Limit.perSecond(); }
  /// @brief Load as stated to other nodes. With a rate limit, the slots and the
  ///        mean time are those of a target that has the limit as its capacity.
  TargetLoad load() const;
  /// @brief Estimated wait of a request that arrives now, including more urgent
  ///        requests that arrive while it waits.
  core::Microseconds expectedWait(std::uint32_t Rank,
                                  core::TimePoint Now) const;
  /// @brief Time within which most answers on a route arrive.
  core::Microseconds typicalTime(const core::RouteName &Route) const;
  /// @brief Mean time of the answers on a route.
  core::Microseconds meanTime(const core::RouteName &Route) const;
  /// @}

private:
  struct WaitingRequest {
    SlotRequest Request;
    core::TimePoint QueuedAt;
  };
  using QueueKey = std::tuple<std::uint32_t, core::TimePoint, core::CallId>;

  /// @brief Moving average of answer times.
  struct AnswerTimeEstimate {
    double MeanUs = 0;
    /// Mean absolute deviation.
    double DeviationUs = 0;
    void addSample(double SampleUs);
  };

  /// @brief Arrival rate with exponential decay.
  struct ArrivalRate {
    double PerSecond = 0;
    core::TimePoint UpdatedAt;
    double at(core::TimePoint Now) const;
    void addArrival(core::TimePoint Now);
  };

  const AnswerTimeEstimate &estimateFor(const core::RouteName &Route) const;
  /// @brief Answer time assumed when a request is queued as on time.
  core::Microseconds conservativeTime(const core::RouteName &Route) const;
  /// @brief Minimum time before the deadline at which a request is started.
  core::Microseconds minimumTime(const core::RouteName &Route) const;
  /// @brief Mean time between two requests that start at full load.
  core::Microseconds startInterval() const;
  core::Microseconds slotWait(std::size_t Ahead) const;
  /// @brief Whether a request that starts at a time is answered before the
  ///        processes that its answer passes exit.
  bool endsBeforeExit(const SlotRequest &Request, core::TimePoint Start) const;
  void evictBeforeExit(core::TimePoint Now);
  bool canStart(core::TimePoint Now) const {
    return Running < Slots && Limit.admits(Now) && ColdLimit.admits(Now);
  }
  void start(core::TimePoint Now);
  /// @brief The limit with the lower rate.
  const RateLimit &tighterLimit() const;
  /// @brief Share of the slots not used by requests arriving at a rate.
  double remainingSlotShare(double PerSecond) const;
  core::Microseconds lateWait(std::size_t Ahead, core::TimePoint Now) const;
  SlotVerdict enqueue(const SlotRequest &Request, core::TimePoint Now,
                      std::set<QueueKey> &Queue);
  bool makeRoom(std::uint32_t Rank);
  void evict(const QueueKey &Key, std::set<QueueKey> &Queue);
  std::optional<Dequeued> dequeue(std::set<QueueKey> &Queue,
                                  core::TimePoint Now);
  void demoteLate(core::TimePoint Now);

  std::uint32_t Slots = 0;
  std::uint32_t Running = 0;
  RateLimit Limit;
  RateLimit ColdLimit;
  std::map<core::CallId, WaitingRequest> Entries;
  /// Requests that can be answered on time, by rank and arrival.
  std::set<QueueKey> OnTime;
  /// Requests whose answers will be late, by rank and arrival.
  std::set<QueueKey> Late;
  /// Arrivals of accepted requests by rank.
  std::map<std::uint32_t, ArrivalRate> ArrivalRates;
  /// Evicted requests that are yet to be refused.
  std::vector<core::CallId> Evicted;
  std::map<core::RouteName, AnswerTimeEstimate> RouteEstimates;
  AnswerTimeEstimate OverallEstimate;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_SLOTQUEUE_H
