#ifndef FILBERTVANE_DECISION_REQUEST_ADMISSION_H
#define FILBERTVANE_DECISION_REQUEST_ADMISSION_H

#include "filbertvane/config/Sheet.h"
#include "filbertvane/core/Error.h"
#include "filbertvane/core/Ids.h"
#include <array>
#include <set>

namespace filbertvane::decision::request {

/// @brief A request that asks for a slot of the own target.
struct SlotRequest {
  core::CallId Id;
  config::TrafficKind Kind = config::TrafficKind::Interactive;
  core::TimePoint Deadline;
  std::uint64_t Bytes = 0;
  /// A suspect: it runs while no other request runs.
  bool Exclusive = false;
};

/// @brief Whether a request starts, waits or is refused; the last with reason.
struct AdmissionDecision {
  enum class Kind { Start, Wait, Refuse } Action = Kind::Refuse;
  core::ErrorCode Reason = core::ErrorCode::RequestQueueFull;
};

/// @brief Slots and queue of one own target.
///
/// Slots are counted exactly: a request holds one from its start to its end.
/// Waiting requests are ordered by kind and deadline. A refusal always
/// concerns a request that was not handed to the target.
class Admission {
public:
  struct Bounds {
    std::size_t MaxQueueEntries = 512;
    std::uint64_t MaxBulkBytes = 64ULL << 20;
    /// Refuse interactive requests that cannot finish in time.
    bool ShedByDeadline = true;
  };

  Admission(std::uint32_t Slots, const Bounds &Limits)
      : Slots(Slots), Limits(Limits) {}

  /// @name Requests
  /// @{
  /// @brief Decides about a new request.
  AdmissionDecision admit(const SlotRequest &Who, core::TimePoint Now);
  /// @brief A request that was started ended.
  /// @param Took time at the target when it answered
  void finish(const SlotRequest &Who, std::optional<core::Microseconds> Took);
  /// @brief Withdraws a waiting request.
  void withdraw(const SlotRequest &Who);
  /// @brief Adds the announced bytes of an answer to a started bulk request.
  void addBytes(SlotRequest &Who, std::uint64_t More);

  /// @brief Next waiting request to start or to refuse, if any now.
  struct Dequeued {
    core::CallId Id;
    AdmissionDecision Decision;
  };
  std::optional<Dequeued> dequeue(core::TimePoint Now);
  /// @}

  /// @name Target
  /// @{
  /// @brief Accepts no further request; returns the waiting ones, which must
  ///        be refused.
  std::vector<core::CallId> close();
  /// @brief Accepts requests again, or changes the number of slots.
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
    void add(core::Microseconds Took);
  };

  bool fits(config::TrafficKind Kind, std::uint64_t Bytes) const;
  bool missesDeadlineInQueue(const SlotRequest &Who, core::TimePoint Now) const;
  bool missesDeadline(config::TrafficKind Kind, core::TimePoint Deadline,
                      core::TimePoint Now) const;
  void start(config::TrafficKind Kind, std::uint64_t Bytes, bool Alone);
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
  /// Starts since a patient or bulk request last had its turn.
  std::uint32_t InteractiveStarts = 0;
  std::array<std::set<QueueEntry>, 3> Queues;
  std::set<QueueEntry> SuspectQueue;
  std::array<ServiceTimeStats, 3> ServiceTimes;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_ADMISSION_H
