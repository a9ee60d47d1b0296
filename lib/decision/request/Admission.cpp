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

Admitted refusal(ErrorCode Why) { return {Admitted::Kind::Refuse, Why}; }
Admitted started() { return {Admitted::Kind::Start, {}}; }
Admitted queued() { return {Admitted::Kind::Wait, {}}; }

} // namespace

void Admission::ServiceTime::note(core::Microseconds Took) {
  const auto TookUs = static_cast<double>(Took.count());
  if (MeanUs == 0) {
    MeanUs = TookUs;
    return;
  }
  DeviationUs += (std::abs(TookUs - MeanUs) - DeviationUs) * Weight;
  MeanUs += (TookUs - MeanUs) * Weight;
}

core::Microseconds Admission::expectedTime(TrafficKind Kind) const {
  const ServiceTime &Seen = Observed[at(Kind)];
  return core::Microseconds(
      std::llround(Seen.MeanUs + Deviations * Seen.DeviationUs));
}

std::set<Admission::Waiting> &Admission::queue(TrafficKind Kind) {
  return Queues[at(Kind)];
}

const std::set<Admission::Waiting> &Admission::queue(TrafficKind Kind) const {
  return Queues[at(Kind)];
}

std::size_t Admission::waiting() const {
  std::size_t Count = Suspects.size();
  for (const auto &Queue : Queues)
    Count += Queue.size();
  return Count;
}

bool Admission::fits(TrafficKind Kind, std::uint64_t Bytes) const {
  if (Closed || AloneRuns || !Suspects.empty() || InUse >= Slots)
    return false;
  // The first bulk request always fits, or one above the limit never would.
  if (Kind != TrafficKind::Bulk || BulkInUse == 0)
    return true;
  return BulkBytes + Bytes <= Limits.BulkBytes;
}

bool Admission::overdue(TrafficKind Kind, core::TimePoint Deadline,
                        core::TimePoint Now) const {
  if (Now >= Deadline)
    return true;
  const bool Sheds = Limits.ShedByDeadline && Kind == TrafficKind::Interactive;
  return Sheds && Now + expectedTime(Kind) > Deadline;
}

bool Admission::tooLate(const Applicant &Who, core::TimePoint Now) const {
  if (!Limits.ShedByDeadline || Who.Kind != TrafficKind::Interactive)
    return false;
  const auto &Ahead = queue(Who.Kind);
  const Waiting Self{{Who.Deadline, Who.Id}, 0};
  const auto Before = static_cast<double>(
      std::distance(Ahead.begin(), Ahead.lower_bound(Self)));
  const double PerStartUs = Observed[at(Who.Kind)].MeanUs / std::max(1U, Slots);
  const core::Microseconds Wait(std::llround((Before + 1) * PerStartUs));
  return overdue(Who.Kind, Who.Deadline - Wait, Now);
}

void Admission::start(TrafficKind Kind, std::uint64_t Bytes, bool Alone) {
  ++InUse;
  AloneRuns = Alone;
  if (Kind != TrafficKind::Bulk)
    return;
  ++BulkInUse;
  BulkBytes += Bytes;
}

Admitted Admission::arrive(const Applicant &Who, core::TimePoint Now) {
  if (Closed)
    return refusal(ErrorCode::RequestDraining);
  if (Now >= Who.Deadline)
    return refusal(ErrorCode::RequestDeadlinePassed);
  const Waiting Entry{{Who.Deadline, Who.Id}, Who.Bytes};
  if (Who.Alone) {
    if (Suspects.size() >= MostSuspects)
      return refusal(ErrorCode::RequestSuspect);
    Suspects.insert(Entry);
    return queued();
  }
  if (overdue(Who.Kind, Who.Deadline, Now))
    return refusal(ErrorCode::RequestDeadlineTooShort);
  if (queue(Who.Kind).empty() && fits(Who.Kind, Who.Bytes)) {
    start(Who.Kind, Who.Bytes, false);
    return started();
  }
  if (waiting() >= Limits.Entries)
    return refusal(ErrorCode::RequestQueueFull);
  if (tooLate(Who, Now))
    return refusal(ErrorCode::RequestDeadlineTooShort);
  queue(Who.Kind).insert(Entry);
  return queued();
}

void Admission::finished(const Applicant &Who,
                         std::optional<core::Microseconds> Took) {
  --InUse;
  if (Who.Alone) {
    AloneRuns = false;
  } else if (Who.Kind == TrafficKind::Bulk) {
    --BulkInUse;
    BulkBytes -= Who.Bytes;
  }
  if (Took)
    Observed[at(Who.Kind)].note(*Took);
}

void Admission::withdraw(const Applicant &Who) {
  const Waiting Entry{{Who.Deadline, Who.Id}, Who.Bytes};
  (Who.Alone ? Suspects : queue(Who.Kind)).erase(Entry);
}

void Admission::addBytes(Applicant &Who, std::uint64_t More) {
  if (Who.Kind != TrafficKind::Bulk || Who.Alone)
    return;
  Who.Bytes += More;
  BulkBytes += More;
}

std::optional<Admission::Turn> Admission::nextSuspect(core::TimePoint Now) {
  const Waiting First = *Suspects.begin();
  if (Now >= First.Order.first) {
    Suspects.erase(Suspects.begin());
    return Turn{First.Order.second, refusal(ErrorCode::RequestDeadlinePassed)};
  }
  if (InUse > 0)
    return std::nullopt;
  Suspects.erase(Suspects.begin());
  start(TrafficKind::Interactive, 0, true);
  return Turn{First.Order.second, started()};
}

std::optional<Admission::Turn> Admission::nextOf(TrafficKind Kind,
                                                 core::TimePoint Now) {
  auto &Queue = queue(Kind);
  if (Queue.empty())
    return std::nullopt;
  const Waiting First = *Queue.begin();
  if (overdue(Kind, First.Order.first, Now)) {
    Queue.erase(Queue.begin());
    return Turn{First.Order.second,
                refusal(ErrorCode::RequestDeadlineTooShort)};
  }
  if (!fits(Kind, First.Bytes))
    return std::nullopt;
  Queue.erase(Queue.begin());
  start(Kind, First.Bytes, false);
  SinceOthers = Kind == TrafficKind::Interactive ? SinceOthers + 1 : 0;
  return Turn{First.Order.second, started()};
}

std::optional<Admission::Turn> Admission::next(core::TimePoint Now) {
  if (Closed || AloneRuns)
    return std::nullopt;
  if (!Suspects.empty())
    return nextSuspect(Now);
  using enum TrafficKind;
  const bool OthersFirst = SinceOthers >= StartsPerOther;
  const std::array<TrafficKind, 3> Order =
      OthersFirst ? std::array{Patient, Bulk, Interactive}
                  : std::array{Interactive, Patient, Bulk};
  for (TrafficKind Kind : Order)
    if (auto Found = nextOf(Kind, Now))
      return Found;
  return std::nullopt;
}

std::vector<core::CallId> Admission::close() {
  Closed = true;
  std::vector<core::CallId> Refused;
  for (const Waiting &Entry : Suspects)
    Refused.push_back(Entry.Order.second);
  for (auto &Queue : Queues) {
    for (const Waiting &Entry : Queue)
      Refused.push_back(Entry.Order.second);
    Queue.clear();
  }
  Suspects.clear();
  return Refused;
}

} // namespace filbertvane::decision::request
