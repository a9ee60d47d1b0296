#include "filbertvane/decision/request/Admission.h"
#include <algorithm>
#include <cmath>
#include <iterator>

namespace filbertvane::decision::request {

namespace {

using config::TrafficKind;
using core::ErrorCode;

/// Weight of one request in the moving averages of the service time.
constexpr double AverageWeight = 1.0 / 16;
/// Mean deviations added to the mean to get the expected service time. With the
/// mean alone, goodput at 3x load was 0.912 of capacity, because requests that
/// started last missed their deadline (docs/admission.md).
constexpr double DeviationsAboveMean = 3;
/// Interactive starts after which patient and bulk requests take precedence
/// once, so that they are not starved.
constexpr std::uint32_t MaxInteractiveStarts = 8;
/// Waiting suspects; each one blocks all other requests until it has run.
constexpr std::size_t MaxWaitingSuspects = 4;

std::size_t indexOf(TrafficKind Kind) { return static_cast<std::size_t>(Kind); }

AdmissionDecision refusal(ErrorCode Reason) {
  return {AdmissionDecision::Kind::Refuse, Reason};
}
AdmissionDecision started() { return {AdmissionDecision::Kind::Start, {}}; }
AdmissionDecision queued() { return {AdmissionDecision::Kind::Wait, {}}; }

} // namespace

void Admission::ServiceTimeStats::add(core::Microseconds Duration) {
  const auto DurationUs = static_cast<double>(Duration.count());
  if (MeanUs == 0) {
    MeanUs = DurationUs;
    return;
  }
  DeviationUs += (std::abs(DurationUs - MeanUs) - DeviationUs) * AverageWeight;
  MeanUs += (DurationUs - MeanUs) * AverageWeight;
}

core::Microseconds Admission::expectedServiceTime(TrafficKind Kind) const {
  const ServiceTimeStats &Times = ServiceTimes[indexOf(Kind)];
  return core::Microseconds(
      std::llround(Times.MeanUs + DeviationsAboveMean * Times.DeviationUs));
}

std::set<Admission::QueueEntry> &Admission::queue(TrafficKind Kind) {
  return Queues[indexOf(Kind)];
}

const std::set<Admission::QueueEntry> &
Admission::queue(TrafficKind Kind) const {
  return Queues[indexOf(Kind)];
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
  // The first bulk request is always accepted; otherwise one larger than the
  // limit could never run.
  if (Kind != TrafficKind::Bulk || BulkInUse == 0)
    return true;
  return BulkBytes + Bytes <= Limits.MaxBulkBytes;
}

bool Admission::missesDeadline(TrafficKind Kind, core::TimePoint Deadline,
                               core::TimePoint Now) const {
  if (Now >= Deadline)
    return true;
  const bool ShedsRequest =
      Limits.ShedByDeadline && Kind == TrafficKind::Interactive;
  return ShedsRequest && Now + expectedServiceTime(Kind) > Deadline;
}

bool Admission::missesDeadlineInQueue(const SlotRequest &Request,
                                      core::TimePoint Now) const {
  if (!Limits.ShedByDeadline || Request.Kind != TrafficKind::Interactive)
    return false;
  const auto &Queue = queue(Request.Kind);
  const QueueEntry Self{{Request.Deadline, Request.Id}, 0};
  const auto PositionInQueue = static_cast<double>(
      std::distance(Queue.begin(), Queue.lower_bound(Self)));
  const double StartIntervalUs =
      ServiceTimes[indexOf(Request.Kind)].MeanUs / std::max(1U, Slots);
  const core::Microseconds Wait(
      std::llround((PositionInQueue + 1) * StartIntervalUs));
  return missesDeadline(Request.Kind, Request.Deadline - Wait, Now);
}

void Admission::start(TrafficKind Kind, std::uint64_t Bytes, bool Exclusive) {
  ++SlotsInUse;
  ExclusiveRunning = Exclusive;
  if (Kind != TrafficKind::Bulk)
    return;
  ++BulkInUse;
  BulkBytes += Bytes;
}

AdmissionDecision Admission::admit(const SlotRequest &Request,
                                   core::TimePoint Now) {
  if (Closed)
    return refusal(ErrorCode::RequestDraining);
  if (Now >= Request.Deadline)
    return refusal(ErrorCode::RequestDeadlinePassed);
  const QueueEntry Entry{{Request.Deadline, Request.Id}, Request.Bytes};
  if (Request.Exclusive) {
    if (SuspectQueue.size() >= MaxWaitingSuspects)
      return refusal(ErrorCode::RequestSuspect);
    SuspectQueue.insert(Entry);
    return queued();
  }
  if (missesDeadline(Request.Kind, Request.Deadline, Now))
    return refusal(ErrorCode::RequestDeadlineTooShort);
  if (queue(Request.Kind).empty() && fits(Request.Kind, Request.Bytes)) {
    start(Request.Kind, Request.Bytes, false);
    return started();
  }
  if (queueLength() >= Limits.MaxQueueEntries)
    return refusal(ErrorCode::RequestQueueFull);
  if (missesDeadlineInQueue(Request, Now))
    return refusal(ErrorCode::RequestDeadlineTooShort);
  queue(Request.Kind).insert(Entry);
  return queued();
}

void Admission::finish(const SlotRequest &Request,
                       std::optional<core::Microseconds> Duration) {
  --SlotsInUse;
  if (Request.Exclusive) {
    ExclusiveRunning = false;
  } else if (Request.Kind == TrafficKind::Bulk) {
    --BulkInUse;
    BulkBytes -= Request.Bytes;
  }
  if (Duration)
    ServiceTimes[indexOf(Request.Kind)].add(*Duration);
}

void Admission::withdraw(const SlotRequest &Request) {
  const QueueEntry Entry{{Request.Deadline, Request.Id}, Request.Bytes};
  (Request.Exclusive ? SuspectQueue : queue(Request.Kind)).erase(Entry);
}

void Admission::addBytes(SlotRequest &Request, std::uint64_t AddedBytes) {
  if (Request.Kind != TrafficKind::Bulk || Request.Exclusive)
    return;
  Request.Bytes += AddedBytes;
  BulkBytes += AddedBytes;
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
  const bool InteractiveLast = InteractiveStarts >= MaxInteractiveStarts;
  const std::array<TrafficKind, 3> Order =
      InteractiveLast ? std::array{Patient, Bulk, Interactive}
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
