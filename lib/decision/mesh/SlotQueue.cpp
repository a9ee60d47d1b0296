#include "filbertvane/decision/mesh/SlotQueue.h"
#include "filbertvane/decision/mesh/Limits.h"
#include <algorithm>
#include <cmath>

namespace filbertvane::decision::mesh {

namespace {

using core::ErrorCode;

/// Weight of one answer in the moving averages of a route: they follow a target
/// that becomes slow within about 20 answers.
constexpr double AnswerWeight = 0.05;
/// Mean deviations that are added to the mean for planning: about one in twelve
/// answers takes longer. With one deviation, one in six queued requests of an
/// overloaded target ends late.
constexpr double PlannedDeviations = 2.0;
/// Fraction of the mean time that must be left before the deadline of a request
/// that starts; about half of the answers take less than 0.8 of the mean.
constexpr double MinimumTimeFraction = 0.5;
/// Late requests that may wait, as a fraction of the slots.
constexpr double LateSlotFraction = 0.5;

/// Time over which arrivals are averaged: long enough for about ten requests at
/// one target, short enough to follow a burst.
constexpr double ArrivalAveragingSeconds = 1.0;
/// Share of the slots that a rank is assumed to get at least; below it the wait
/// exceeds any objective.
constexpr double MinimumSlotShare = 0.02;

double toSeconds(core::Microseconds Time) {
  return static_cast<double>(Time.count()) * 1e-6;
}

core::Microseconds toMicroseconds(double Value) {
  return core::Microseconds(static_cast<std::int64_t>(Value));
}

} // namespace

void SlotQueue::AnswerTimeEstimate::addSample(double SampleUs) {
  if (MeanUs == 0) {
    MeanUs = SampleUs;
    DeviationUs = SampleUs / 2;
    return;
  }
  DeviationUs += AnswerWeight * (std::abs(SampleUs - MeanUs) - DeviationUs);
  MeanUs += AnswerWeight * (SampleUs - MeanUs);
}

double SlotQueue::ArrivalRate::at(core::TimePoint Now) const {
  return PerSecond *
         std::exp(-toSeconds(Now - UpdatedAt) / ArrivalAveragingSeconds);
}

void SlotQueue::ArrivalRate::addArrival(core::TimePoint Now) {
  PerSecond = at(Now) + 1 / ArrivalAveragingSeconds;
  UpdatedAt = Now;
}

const SlotQueue::AnswerTimeEstimate &
SlotQueue::estimateFor(const core::RouteName &Route) const {
  const auto Found = RouteEstimates.find(Route);
  return Found == RouteEstimates.end() ? OverallEstimate : Found->second;
}

core::Microseconds SlotQueue::typicalTime(const core::RouteName &Route) const {
  const AnswerTimeEstimate &Time = estimateFor(Route);
  return toMicroseconds(Time.MeanUs + Time.DeviationUs);
}

core::Microseconds
SlotQueue::conservativeTime(const core::RouteName &Route) const {
  const AnswerTimeEstimate &Time = estimateFor(Route);
  return toMicroseconds(Time.MeanUs + PlannedDeviations * Time.DeviationUs);
}

core::Microseconds SlotQueue::meanTime(const core::RouteName &Route) const {
  return toMicroseconds(estimateFor(Route).MeanUs);
}

core::Microseconds SlotQueue::minimumTime(const core::RouteName &Route) const {
  return toMicroseconds(estimateFor(Route).MeanUs * MinimumTimeFraction);
}

/// Slots become free one after the other, evenly spread over the time of an
/// answer.
core::Microseconds SlotQueue::startInterval() const {
  const double SlotCount = std::max<std::uint32_t>(Slots, 1);
  return std::max(toMicroseconds(OverallEstimate.MeanUs / SlotCount),
                  tighterLimit().interval());
}

core::Microseconds SlotQueue::slotWait(std::size_t Ahead) const {
  return startInterval() * static_cast<std::int64_t>(Ahead + 1);
}

bool SlotQueue::endsBeforeExit(const SlotRequest &Request,
                               core::TimePoint Start) const {
  return Request.ExitAt == core::TimePoint::max() ||
         Start + conservativeTime(Request.Route) <= Request.ExitAt;
}

void SlotQueue::start(core::TimePoint Now) {
  ++Running;
  Limit.take(Now);
  ColdLimit.take(Now);
}

const RateLimit &SlotQueue::tighterLimit() const {
  return ColdLimit.interval() > Limit.interval() ? ColdLimit : Limit;
}

void SlotQueue::targetRestarted() {
  Running = 0;
  Limit = {};
  ColdLimit = {};
}

TargetLoad SlotQueue::load() const {
  TargetLoad Load{Running, static_cast<std::uint32_t>(Entries.size()), Slots,
                  std::chrono::duration_cast<core::Milliseconds>(
                      toMicroseconds(OverallEstimate.MeanUs))};
  const RateLimit &Tighter = tighterLimit();
  if (!Tighter.perSecond())
    return Load;
  // By Little's law, as many slots are in use at the limit.
  const double Used = *Tighter.perSecond() * OverallEstimate.MeanUs * 1e-6;
  Load.Slots = static_cast<std::uint32_t>(
      std::clamp(Used, 1.0, static_cast<double>(std::max(Slots, 1U))));
  Load.MeanResponseTime = std::max(
      Load.MeanResponseTime, std::chrono::duration_cast<core::Milliseconds>(
                                 Tighter.interval() * Load.Slots));
  return Load;
}

core::Microseconds SlotQueue::expectedWait(std::uint32_t Rank,
                                           core::TimePoint Now) const {
  if (canStart(Now) && Entries.empty())
    return core::Microseconds(0);
  std::size_t Ahead = 0;
  for (const QueueKey &Key : OnTime) {
    if (std::get<0>(Key) > Rank)
      break;
    ++Ahead;
  }
  double MoreUrgentRate = 0;
  for (const auto &[OtherRank, Rate] : ArrivalRates)
    MoreUrgentRate += OtherRank < Rank ? Rate.at(Now) : 0;
  return toMicroseconds(static_cast<double>(slotWait(Ahead).count()) /
                        remainingSlotShare(MoreUrgentRate));
}

double SlotQueue::remainingSlotShare(double PerSecond) const {
  const double UsedShare = PerSecond * toSeconds(startInterval());
  return std::max(MinimumSlotShare, 1 - UsedShare);
}

/// Late requests get the slots that on-time requests leave over, assuming that
/// requests keep arriving at the current rate.
core::Microseconds SlotQueue::lateWait(std::size_t Ahead,
                                       core::TimePoint Now) const {
  double OnTimeRate = 0;
  for (const auto &[Rank, Rate] : ArrivalRates)
    OnTimeRate += Rate.at(Now);
  return toMicroseconds(
      static_cast<double>(slotWait(OnTime.size() + Ahead).count()) /
      remainingSlotShare(OnTimeRate));
}

SlotVerdict SlotQueue::submit(const SlotRequest &Request, core::TimePoint Now) {
  if (Slots == 0)
    return {SlotVerdict::ActionKind::Refuse, ErrorCode::RequestQueueFull};
  const core::Microseconds Wait = expectedWait(Request.Rank, Now);
  if (Now + Wait + minimumTime(Request.Route) >= Request.Deadline)
    return {SlotVerdict::ActionKind::Refuse, ErrorCode::RequestDeadlinePassed};
  if (!endsBeforeExit(Request, Now + Wait))
    return {SlotVerdict::ActionKind::Refuse, ErrorCode::RequestDraining};
  if (canStart(Now) && Entries.empty()) {
    start(Now);
    ArrivalRates[Request.Rank].addArrival(Now);
    return {SlotVerdict::ActionKind::Start, {}};
  }
  if (Now + Wait + conservativeTime(Request.Route) <= Request.Objective)
    return enqueue(Request, Now, OnTime);
  const bool FitsLate =
      static_cast<double>(Late.size()) < LateSlotFraction * Slots &&
      Now + lateWait(Late.size(), Now) + typicalTime(Request.Route) <
          Request.Deadline;
  if (Request.AcceptLate && FitsLate)
    return enqueue(Request, Now, Late);
  return {SlotVerdict::ActionKind::Refuse,
          ErrorCode::RequestWouldMissObjective};
}

SlotVerdict SlotQueue::enqueue(const SlotRequest &Request, core::TimePoint Now,
                               std::set<QueueKey> &Queue) {
  const bool Full =
      Entries.size() >= std::size_t{Slots} * MaximumWaitingPerSlot;
  if (Full && (&Queue == &Late || !makeRoom(Request.Rank)))
    return {SlotVerdict::ActionKind::Refuse, ErrorCode::RequestQueueFull};
  if (&Queue == &OnTime)
    ArrivalRates[Request.Rank].addArrival(Now);
  Entries.emplace(Request.Id, WaitingRequest{Request, Now});
  Queue.emplace(Request.Rank, Now, Request.Id);
  return {SlotVerdict::ActionKind::Wait, {}};
}

/// Evicts a late request, or else the last one of the least urgent rank.
bool SlotQueue::makeRoom(std::uint32_t Rank) {
  if (!Late.empty()) {
    evict(*Late.rbegin(), Late);
    return true;
  }
  if (OnTime.empty() || std::get<0>(*OnTime.rbegin()) <= Rank)
    return false;
  evict(*OnTime.rbegin(), OnTime);
  return true;
}

void SlotQueue::evict(const QueueKey &Key, std::set<QueueKey> &Queue) {
  const core::CallId Id = std::get<2>(Key);
  Queue.erase(Key);
  Entries.erase(Id);
  Evicted.push_back(Id);
}

void SlotQueue::release(const core::RouteName &Route,
                        std::optional<core::Microseconds> AnswerTime) {
  if (Running > 0)
    --Running;
  if (!AnswerTime)
    return;
  const auto Sample = static_cast<double>(AnswerTime->count());
  RouteEstimates[Route].addSample(Sample);
  OverallEstimate.addSample(Sample);
}

void SlotQueue::boundByExit(core::CallId Id, core::TimePoint ExitAt) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  core::TimePoint &Earliest = Found->second.Request.ExitAt;
  Earliest = std::min(Earliest, ExitAt);
}

/// Requests that would still run at the exit are evicted as soon as this shows,
/// so that they can be placed on another host.
void SlotQueue::evictBeforeExit(core::TimePoint Now) {
  std::size_t Ahead = 0;
  for (auto *Queue : {&OnTime, &Late}) {
    std::vector<QueueKey> Unservable;
    for (const QueueKey &Key : *Queue) {
      const SlotRequest &Request = Entries.at(std::get<2>(Key)).Request;
      const core::TimePoint Start =
          Ahead == 0 && canStart(Now) ? Now : Now + slotWait(Ahead);
      if (endsBeforeExit(Request, Start))
        ++Ahead;
      else
        Unservable.push_back(Key);
    }
    for (const QueueKey &Key : Unservable)
      evict(Key, *Queue);
  }
}

void SlotQueue::withdraw(core::CallId Id) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  const WaitingRequest &Entry = Found->second;
  const QueueKey Key{Entry.Request.Rank, Entry.QueuedAt, Id};
  OnTime.erase(Key);
  Late.erase(Key);
  Entries.erase(Found);
}

/// Moves requests that can no longer be answered on time behind those that can,
/// and evicts late requests that will get no slot before their deadline.
void SlotQueue::demoteLate(core::TimePoint Now) {
  for (auto It = OnTime.begin(); It != OnTime.end();) {
    const SlotRequest &Request = Entries.at(std::get<2>(*It)).Request;
    if (Now + meanTime(Request.Route) <= Request.Objective) {
      ++It;
      continue;
    }
    Late.insert(*It);
    It = OnTime.erase(It);
  }
  while (static_cast<double>(Late.size()) > 2 * LateSlotFraction * Slots)
    evict(*Late.rbegin(), Late);
  std::vector<QueueKey> Unservable;
  std::size_t Ahead = 0;
  for (const QueueKey &Key : Late) {
    const SlotRequest &Request = Entries.at(std::get<2>(Key)).Request;
    if (Now + lateWait(Ahead, Now) + meanTime(Request.Route) < Request.Deadline)
      ++Ahead;
    else
      Unservable.push_back(Key);
  }
  for (const QueueKey &Key : Unservable)
    evict(Key, Late);
}

std::optional<SlotQueue::Dequeued> SlotQueue::dequeue(std::set<QueueKey> &Queue,
                                                      core::TimePoint Now) {
  if (Queue.empty())
    return std::nullopt;
  const core::CallId Id = std::get<2>(*Queue.begin());
  const SlotRequest &Request = Entries.at(Id).Request;
  const bool Expired = Now + minimumTime(Request.Route) >= Request.Deadline;
  if (!Expired && !canStart(Now))
    return std::nullopt;
  withdraw(Id);
  if (Expired)
    return Dequeued{
        Id,
        {SlotVerdict::ActionKind::Refuse, ErrorCode::RequestDeadlinePassed}};
  start(Now);
  return Dequeued{Id, {SlotVerdict::ActionKind::Start, {}}};
}

std::optional<SlotQueue::Dequeued> SlotQueue::next(core::TimePoint Now) {
  demoteLate(Now);
  evictBeforeExit(Now);
  if (!Evicted.empty()) {
    const core::CallId Id = Evicted.back();
    Evicted.pop_back();
    return Dequeued{
        Id, {SlotVerdict::ActionKind::Refuse, ErrorCode::RequestQueueFull}};
  }
  if (auto Found = dequeue(OnTime, Now))
    return Found;
  return dequeue(Late, Now);
}

} // namespace filbertvane::decision::mesh
