#ifndef FILBERTVANE_DECISION_REQUEST_ADMISSION_H
#define FILBERTVANE_DECISION_REQUEST_ADMISSION_H

#include "filbertvane/config/Sheet.h"
#include "filbertvane/core/Error.h"
#include "filbertvane/core/Ids.h"
#include <array>
#include <set>

namespace filbertvane::decision::request {

/// @brief Request for a slot of a local target.
struct SlotRequest {
  core::CallId Id;
  config::TrafficKind Kind = config::TrafficKind::Interactive;
  core::TimePoint Deadline;
  std::uint64_t Bytes = 0;
  /// Set for a suspect request: it must run while no other request runs.
  bool Exclusive = false;
};

/// @brief Whether a request starts, waits or is refused; `Reason` applies to a
///        refusal only.
struct AdmissionDecision {
  enum class Kind { Start, Wait, Refuse } Action = Kind::Refuse;
  core::ErrorCode Reason = core::ErrorCode::RequestQueueFull;
};

/// @brief Slots and request queue of one local target.
///
/// A request holds exactly one slot from its start to its end. Waiting requests
/// are ordered by kind and deadline. A refused request was never sent to the
/// target.
class Admission {
public:
  struct Bounds {
    std::size_t MaxQueueEntries = 512;
    std::uint64_t MaxBulkBytes = 64ULL << 20;
    /// Refuse interactive requests that cannot finish before their deadline.
    bool ShedByDeadline = true;
  };

  Admission(std::uint32_t Slots, const Bounds &Limits)
      : Slots(Slots), Limits(Limits) {}

  /// @name Requests
  /// @{
  /// @brief Starts, queues or refuses a new request.
  AdmissionDecision admit(const SlotRequest &Request, core::TimePoint Now);
  /// @brief Releases the slot of a started request.
  /// @param Duration time at the target; none unless the target answered
  void finish(const SlotRequest &Request,
              std::optional<core::Microseconds> Duration);
  /// @brief Removes a waiting request from the queue.
  void withdraw(const SlotRequest &Request);
  /// @brief Adds the announced length of the answer to a started bulk request.
  void addBytes(SlotRequest &Request, std::uint64_t AddedBytes);

  /// @brief Waiting request taken from the queue, to be started or refused.
  struct Dequeued {
    core::CallId Id;
    AdmissionDecision Decision;
  };
  /// @brief Takes the next request that can be started or must be refused.
  std::optional<Dequeued> dequeue(core::TimePoint Now);
  /// @}

  /// @name Target
  /// @{
  /// @brief Stops accepting requests and empties the queue.
  /// @return the waiting requests, which the caller must refuse
  std::vector<core::CallId> close();
  /// @brief Accepts requests, with a new number of slots.
  void open(std::uint32_t NewSlots) {
    Slots = NewSlots;
    Closed = false;
  }
  /// @}

  /// @name Observation
  /// @{
  std::uint32_t slots() const { return Slots; }
  std::uint32_t slotsInUse() const { return SlotsInUse; }
  std::size_t queueLength() const;
  bool closed() const { return Closed; }
  std::uint64_t bulkBytes() const { return BulkBytes; }
  core::Microseconds expectedServiceTime(config::TrafficKind Kind) const;
  /// @}

private:
  using Key = std::pair<core::TimePoint, core::CallId>;
  struct QueueEntry {
    Key SortKey;
    std::uint64_t Bytes = 0;
    friend auto operator<=>(const QueueEntry &, const QueueEntry &) = default;
  };
  struct ServiceTimeStats {
    double MeanUs = 0;
    double DeviationUs = 0;
    void add(core::Microseconds Duration);
  };

  bool fits(config::TrafficKind Kind, std::uint64_t Bytes) const;
  bool missesDeadlineInQueue(const SlotRequest &Request,
                             core::TimePoint Now) const;
  bool missesDeadline(config::TrafficKind Kind, core::TimePoint Deadline,
                      core::TimePoint Now) const;
  void start(config::TrafficKind Kind, std::uint64_t Bytes, bool Exclusive);
  std::optional<Dequeued> dequeueSuspect(core::TimePoint Now);
  std::optional<Dequeued> dequeueKind(config::TrafficKind Kind,
                                      core::TimePoint Now);
  std::set<QueueEntry> &queue(config::TrafficKind Kind);
  const std::set<QueueEntry> &queue(config::TrafficKind Kind) const;

  std::uint32_t Slots;
  Bounds Limits;
  std::uint32_t SlotsInUse = 0;
  std::uint64_t BulkBytes = 0;
  std::uint32_t BulkInUse = 0;
  bool Closed = false;
  bool ExclusiveRunning = false;
  /// Interactive requests dequeued since the last patient or bulk request.
  std::uint32_t InteractiveStarts = 0;
  std::array<std::set<QueueEntry>, 3> Queues;
  std::set<QueueEntry> SuspectQueue;
  std::array<ServiceTimeStats, 3> ServiceTimes;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_ADMISSION_H
