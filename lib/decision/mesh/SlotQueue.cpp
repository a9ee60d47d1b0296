#include "filbertvane/decision/mesh/SlotQueue.h"
#include "filbertvane/decision/mesh/Limits.h"
#include <algorithm>
#include <cmath>

namespace filbertvane::decision::mesh {

namespace {

using core::ErrorCode;

/// Weight of one answer in the times of a route: they follow a target that
/// turns slow within some 20 answers.
constexpr double AnswerWeight = 0.05;
/// Mean distances from the mean that are planned for beside the mean: about one
/// in twelve answers takes longer. With one distance, one in six queued
/// requests of an overloaded target ends late.
constexpr double PlannedSpreads = 2.0;
/// Part of the mean time that has to be left before the deadline of a request
/// that starts; about half of the answers take less than 0.8 of the mean.
constexpr double LeastTimePart = 0.5;
/// Late requests that may wait, as a part of the slots.
constexpr double LatePartOfSlots = 0.5;

/// Time over which arrivals are averaged: long enough for some ten requests at
/// one target, short enough to follow a burst.
constexpr double ArrivalMemorySeconds = 1.0;
/// Part of the slots that a rank is assumed to get at least; below it the wait
/// is longer than any objective.
constexpr double LeastPartLeft = 0.02;

double seconds(core::Microseconds Time) {
  return static_cast<double>(Time.count()) * 1e-6;
}

core::Microseconds micros(double Count) {
  return core::Microseconds(static_cast<std::int64_t>(Count));
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
  return PerSecond * std::exp(-seconds(Now - UpdatedAt) / ArrivalMemorySeconds);
}

void SlotQueue::ArrivalRate::addArrival(core::TimePoint Now) {
  PerSecond = at(Now) + 1 / ArrivalMemorySeconds;
  UpdatedAt = Now;
}

const SlotQueue::AnswerTimeEstimate &
SlotQueue::estimateFor(const core::RouteName &Route) const {
  const auto Found = RouteEstimates.find(Route);
  return Found == RouteEstimates.end() ? OverallEstimate : Found->second;
}

core::Microseconds SlotQueue::typicalTime(const core::RouteName &Route) const {
  const AnswerTimeEstimate &Time = estimateFor(Route);
  return micros(Time.MeanUs + Time.DeviationUs);
}

core::Microseconds
SlotQueue::conservativeTime(const core::RouteName &Route) const {
  const AnswerTimeEstimate &Time = estimateFor(Route);
  return micros(Time.MeanUs + PlannedSpreads * Time.DeviationUs);
}

core::Microseconds SlotQueue::meanTime(const core::RouteName &Route) const {
  return micros(estimateFor(Route).MeanUs);
}

core::Microseconds SlotQueue::minimumTime(const core::RouteName &Route) const {
  return micros(estimateFor(Route).MeanUs * LeastTimePart);
}

/// Slots fall free one after the other, spread over the time of an answer.
core::Microseconds SlotQueue::slotWait(std::size_t Ahead) const {
  const double Parts = std::max<std::uint32_t>(Slots, 1);
  return micros(OverallEstimate.MeanUs * static_cast<double>(Ahead + 1) /
                Parts);
}

TargetLoad SlotQueue::load() const {
  return {Running, static_cast<std::uint32_t>(Entries.size()), Slots,
          std::chrono::duration_cast<core::Milliseconds>(
              micros(OverallEstimate.MeanUs))};
}

core::Microseconds SlotQueue::expectedWait(std::uint32_t Rank,
                                           core::TimePoint Now) const {
  if (Running < Slots && Entries.empty())
    return core::Microseconds(0);
  std::size_t Ahead = 0;
  for (const QueueKey &Each : OnTime) {
    if (std::get<0>(Each) > Rank)
      break;
    ++Ahead;
  }
  double MoreUrgent = 0;
  for (const auto &[Other, Rate] : ArrivalRates)
    MoreUrgent += Other < Rank ? Rate.at(Now) : 0;
  return micros(static_cast<double>(slotWait(Ahead).count()) /
                remainingSlotShare(MoreUrgent));
}

double SlotQueue::remainingSlotShare(double PerSecond) const {
  const double Taken = PerSecond * OverallEstimate.MeanUs * 1e-6 /
                       std::max<std::uint32_t>(Slots, 1);
  return std::max(LeastPartLeft, 1 - Taken);
}

/// Late requests get the turns that those in time leave over, now and for as
/// long as requests keep coming at the present rate.
core::Microseconds SlotQueue::lateWait(std::size_t Ahead,
                                       core::TimePoint Now) const {
  double InTimeRate = 0;
  for (const auto &[Rank, Rate] : ArrivalRates)
    InTimeRate += Rate.at(Now);
  return micros(static_cast<double>(slotWait(OnTime.size() + Ahead).count()) /
                remainingSlotShare(InTimeRate));
}

SlotVerdict SlotQueue::submit(const SlotRequest &Who, core::TimePoint Now) {
  if (Slots == 0)
    return {SlotVerdict::ActionKind::Refuse, ErrorCode::RequestQueueFull};
  const core::Microseconds Wait = expectedWait(Who.Rank, Now);
  if (Now + Wait + minimumTime(Who.Route) >= Who.Deadline)
    return {SlotVerdict::ActionKind::Refuse, ErrorCode::RequestDeadlinePassed};
  if (Running < Slots && Entries.empty()) {
    ++Running;
    ArrivalRates[Who.Rank].addArrival(Now);
    return {SlotVerdict::ActionKind::Start, {}};
  }
  if (Now + Wait + conservativeTime(Who.Route) <= Who.Objective)
    return enqueue(Who, Now, OnTime);
  const bool Chance =
      static_cast<double>(Late.size()) < LatePartOfSlots * Slots &&
      Now + lateWait(Late.size(), Now) + typicalTime(Who.Route) < Who.Deadline;
  if (Who.AcceptLate && Chance)
    return enqueue(Who, Now, Late);
  return {SlotVerdict::ActionKind::Refuse, ErrorCode::RequestWouldBeLate};
}

SlotVerdict SlotQueue::enqueue(const SlotRequest &Who, core::TimePoint Now,
                               std::set<QueueKey> &To) {
  const bool Full =
      Entries.size() >= std::size_t{Slots} * MaximumWaitingPerSlot;
  if (Full && (&To == &Late || !makeRoom(Who.Rank)))
    return {SlotVerdict::ActionKind::Refuse, ErrorCode::RequestQueueFull};
  if (&To == &OnTime)
    ArrivalRates[Who.Rank].addArrival(Now);
  Entries.emplace(Who.Id, WaitingRequest{Who, Now});
  To.emplace(Who.Rank, Now, Who.Id);
  return {SlotVerdict::ActionKind::Wait, {}};
}

/// Gives up a late request, or else the last one of the least urgent rank.
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

void SlotQueue::evict(const QueueKey &Least, std::set<QueueKey> &From) {
  const core::CallId Id = std::get<2>(Least);
  From.erase(Least);
  Entries.erase(Id);
  Evicted.push_back(Id);
}

void SlotQueue::release(const core::RouteName &Route,
                        std::optional<core::Microseconds> Took) {
  if (Running > 0)
    --Running;
  if (!Took)
    return;
  const auto Sample = static_cast<double>(Took->count());
  RouteEstimates[Route].addSample(Sample);
  OverallEstimate.addSample(Sample);
}

void SlotQueue::withdraw(core::CallId Id) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  const WaitingRequest &Left = Found->second;
  const QueueKey Key{Left.Request.Rank, Left.QueuedAt, Id};
  OnTime.erase(Key);
  Late.erase(Key);
  Entries.erase(Found);
}

/// A request that can no longer be in time must not hold back one that can.
/// Late ones without a chance of a turn before their deadline are given up.
void SlotQueue::demoteLate(core::TimePoint Now) {
  for (auto It = OnTime.begin(); It != OnTime.end();) {
    const SlotRequest &Who = Entries.at(std::get<2>(*It)).Request;
    if (Now + meanTime(Who.Route) <= Who.Objective) {
      ++It;
      continue;
    }
    Late.insert(*It);
    It = OnTime.erase(It);
  }
  while (static_cast<double>(Late.size()) > 2 * LatePartOfSlots * Slots)
    evict(*Late.rbegin(), Late);
  std::vector<QueueKey> Lost;
  std::size_t Ahead = 0;
  for (const QueueKey &Each : Late) {
    const SlotRequest &Who = Entries.at(std::get<2>(Each)).Request;
    if (Now + lateWait(Ahead, Now) + meanTime(Who.Route) < Who.Deadline)
      ++Ahead;
    else
      Lost.push_back(Each);
  }
  for (const QueueKey &Each : Lost)
    evict(Each, Late);
}

std::optional<SlotQueue::Dequeued> SlotQueue::dequeue(std::set<QueueKey> &From,
                                                      core::TimePoint Now) {
  if (From.empty())
    return std::nullopt;
  const core::CallId Id = std::get<2>(*From.begin());
  const SlotRequest &Who = Entries.at(Id).Request;
  const bool Lost = Now + minimumTime(Who.Route) >= Who.Deadline;
  if (!Lost && Running >= Slots)
    return std::nullopt;
  withdraw(Id);
  if (Lost)
    return Dequeued{
        Id,
        {SlotVerdict::ActionKind::Refuse, ErrorCode::RequestDeadlinePassed}};
  ++Running;
  return Dequeued{Id, {SlotVerdict::ActionKind::Start, {}}};
}

std::optional<SlotQueue::Dequeued> SlotQueue::next(core::TimePoint Now) {
  demoteLate(Now);
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
