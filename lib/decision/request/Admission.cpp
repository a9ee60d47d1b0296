#include "filbertvane/decision/request/Admission.h"
#include <algorithm>
#include <cmath>
#include <iterator>

namespace filbertvane::decision::request {

namespace {

using config::TrafficKind;
using core::ErrorCode;

/// Weight of one request in the observed service time.
constexpr double Weight = 1.0 / 16;
/// Mean deviations that a request's time is expected to stay below.
/// With the mean alone, goodput at 3x load was 0.912 of capacity, because
/// requests that started last ended late (docs/admission.md).
constexpr double Deviations = 3;
/// Interactive starts after which a patient or bulk request has its turn, so
/// that those kinds are not starved.
constexpr std::uint32_t StartsPerOther = 8;
/// Suspects that may wait; each one holds all other starts back.
constexpr std::size_t MostSuspects = 4;

std::size_t at(TrafficKind Kind) { return static_cast<std::size_t>(Kind); }

AdmissionDecision refusal(ErrorCode Why) {
  return {AdmissionDecision::Kind::Refuse, Why};
}
AdmissionDecision started() { return {AdmissionDecision::Kind::Start, {}}; }
AdmissionDecision queued() { return {AdmissionDecision::Kind::Wait, {}}; }

} // namespace

void Admission::ServiceTimeStats::add(core::Microseconds Took) {
  const auto TookUs = static_cast<double>(Took.count());
  if (MeanUs == 0) {
    MeanUs = TookUs;
    return;
  }
  DeviationUs += (std::abs(TookUs - MeanUs) - DeviationUs) * Weight;
  MeanUs += (TookUs - MeanUs) * Weight;
}

core::Microseconds Admission::expectedServiceTime(TrafficKind Kind) const {
  const ServiceTimeStats &Seen = ServiceTimes[at(Kind)];
  return core::Microseconds(
      std::llround(Seen.MeanUs + Deviations * Seen.DeviationUs));
}

std::set<Admission::QueueEntry> &Admission::queue(TrafficKind Kind) {
  return Queues[at(Kind)];
}

const std::set<Admission::QueueEntry> &
Admission::queue(TrafficKind Kind) const {
  return Queues[at(Kind)];
}

std::size_t Admission::queueLength() const {
  std::size_t Count = SuspectQueue.size();
  for (const auto &Queue : Queues)
    Count += Queue.size();
  return Count;
}

bool Admission::fits(TrafficKind Kind, std::uint64_t Bytes) const {
  if (Closed || ExclusiveRunning || !SuspectQueue.empty() ||
      SlotsInUse >= Slots)
    return false;
  // The first bulk request always fits, or one above the limit never would.
  if (Kind != TrafficKind::Bulk || BulkInUse == 0)
    return true;
  return BulkBytes + Bytes <= Limits.MaxBulkBytes;
}

bool Admission::missesDeadline(TrafficKind Kind, core::TimePoint Deadline,
                               core::TimePoint Now) const {
  if (Now >= Deadline)
    return true;
  const bool Sheds = Limits.ShedByDeadline && Kind == TrafficKind::Interactive;
  return Sheds && Now + expectedServiceTime(Kind) > Deadline;
}

bool Admission::missesDeadlineInQueue(const SlotRequest &Who,
                                      core::TimePoint Now) const {
  if (!Limits.ShedByDeadline || Who.Kind != TrafficKind::Interactive)
    return false;
  const auto &Ahead = queue(Who.Kind);
  const QueueEntry Self{{Who.Deadline, Who.Id}, 0};
  const auto Before = static_cast<double>(
      std::distance(Ahead.begin(), Ahead.lower_bound(Self)));
  const double PerStartUs =
      ServiceTimes[at(Who.Kind)].MeanUs / std::max(1U, Slots);
  const core::Microseconds Wait(std::llround((Before + 1) * PerStartUs));
  return missesDeadline(Who.Kind, Who.Deadline - Wait, Now);
}

void Admission::start(TrafficKind Kind, std::uint64_t Bytes, bool Alone) {
  ++SlotsInUse;
  ExclusiveRunning = Alone;
  if (Kind != TrafficKind::Bulk)
    return;
  ++BulkInUse;
  BulkBytes += Bytes;
}

AdmissionDecision Admission::admit(const SlotRequest &Who,
                                   core::TimePoint Now) {
  if (Closed)
    return refusal(ErrorCode::RequestDraining);
  if (Now >= Who.Deadline)
    return refusal(ErrorCode::RequestDeadlinePassed);
  const QueueEntry Entry{{Who.Deadline, Who.Id}, Who.Bytes};
  if (Who.Exclusive) {
    if (SuspectQueue.size() >= MostSuspects)
      return refusal(ErrorCode::RequestSuspect);
    SuspectQueue.insert(Entry);
    return queued();
  }
  if (missesDeadline(Who.Kind, Who.Deadline, Now))
    return refusal(ErrorCode::RequestDeadlineTooShort);
  if (queue(Who.Kind).empty() && fits(Who.Kind, Who.Bytes)) {
    start(Who.Kind, Who.Bytes, false);
    return started();
  }
  if (queueLength() >= Limits.MaxQueueEntries)
    return refusal(ErrorCode::RequestQueueFull);
  if (missesDeadlineInQueue(Who, Now))
    return refusal(ErrorCode::RequestDeadlineTooShort);
  queue(Who.Kind).insert(Entry);
  return queued();
}

void Admission::finish(const SlotRequest &Who,
                       std::optional<core::Microseconds> Took) {
  --SlotsInUse;
  if (Who.Exclusive) {
    ExclusiveRunning = false;
  } else if (Who.Kind == TrafficKind::Bulk) {
    --BulkInUse;
    BulkBytes -= Who.Bytes;
  }
  if (Took)
    ServiceTimes[at(Who.Kind)].add(*Took);
}

void Admission::withdraw(const SlotRequest &Who) {
  const QueueEntry Entry{{Who.Deadline, Who.Id}, Who.Bytes};
  (Who.Exclusive ? SuspectQueue : queue(Who.Kind)).erase(Entry);
}

void Admission::addBytes(SlotRequest &Who, std::uint64_t More) {
  if (Who.Kind != TrafficKind::Bulk || Who.Exclusive)
    return;
  Who.Bytes += More;
  BulkBytes += More;
}

std::optional<Admission::Dequeued>
Admission::dequeueSuspect(core::TimePoint Now) {
  const QueueEntry First = *SuspectQueue.begin();
  if (Now >= First.SortKey.first) {
    SuspectQueue.erase(SuspectQueue.begin());
    return Dequeued{First.SortKey.second,
                    refusal(ErrorCode::RequestDeadlinePassed)};
  }
  if (SlotsInUse > 0)
    return std::nullopt;
  SuspectQueue.erase(SuspectQueue.begin());
  start(TrafficKind::Interactive, 0, true);
  return Dequeued{First.SortKey.second, started()};
}

std::optional<Admission::Dequeued> Admission::dequeueKind(TrafficKind Kind,
                                                          core::TimePoint Now) {
  auto &Queue = queue(Kind);
  if (Queue.empty())
    return std::nullopt;
  const QueueEntry First = *Queue.begin();
  if (missesDeadline(Kind, First.SortKey.first, Now)) {
    Queue.erase(Queue.begin());
    return Dequeued{First.SortKey.second,
                    refusal(ErrorCode::RequestDeadlineTooShort)};
  }
  if (!fits(Kind, First.Bytes))
    return std::nullopt;
  Queue.erase(Queue.begin());
  start(Kind, First.Bytes, false);
  InteractiveStarts =
      Kind == TrafficKind::Interactive ? InteractiveStarts + 1 : 0;
  return Dequeued{First.SortKey.second, started()};
}

std::optional<Admission::Dequeued> Admission::dequeue(core::TimePoint Now) {
  if (Closed || ExclusiveRunning)
    return std::nullopt;
  if (!SuspectQueue.empty())
    return dequeueSuspect(Now);
  using enum TrafficKind;
  const bool OthersFirst = InteractiveStarts >= StartsPerOther;
  const std::array<TrafficKind, 3> Order =
      OthersFirst ? std::array{Patient, Bulk, Interactive}
                  : std::array{Interactive, Patient, Bulk};
  for (TrafficKind Kind : Order)
    if (auto Found = dequeueKind(Kind, Now))
      return Found;
  return std::nullopt;
}

std::vector<core::CallId> Admission::close() {
  Closed = true;
  std::vector<core::CallId> Refused;
  for (const QueueEntry &Entry : SuspectQueue)
    Refused.push_back(Entry.SortKey.second);
  for (auto &Queue : Queues) {
    for (const QueueEntry &Entry : Queue)
      Refused.push_back(Entry.SortKey.second);
    Queue.clear();
  }
  SuspectQueue.clear();
  return Refused;
}

} // namespace filbertvane::decision::request
