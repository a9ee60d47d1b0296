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

void SlotQueue::AnswerTime::note(double SampleUs) {
  if (MeanUs == 0) {
    MeanUs = SampleUs;
    SpreadUs = SampleUs / 2;
    return;
  }
  SpreadUs += AnswerWeight * (std::abs(SampleUs - MeanUs) - SpreadUs);
  MeanUs += AnswerWeight * (SampleUs - MeanUs);
}

double SlotQueue::ArrivalRate::at(core::TimePoint Now) const {
  return PerSecond * std::exp(-seconds(Now - At) / ArrivalMemorySeconds);
}

void SlotQueue::ArrivalRate::note(core::TimePoint Now) {
  PerSecond = at(Now) + 1 / ArrivalMemorySeconds;
  At = Now;
}

const SlotQueue::AnswerTime &
SlotQueue::timeOf(const core::RouteName &Route) const {
  const auto Found = Times.find(Route);
  return Found == Times.end() ? Overall : Found->second;
}

core::Microseconds SlotQueue::neededTime(const core::RouteName &Route) const {
  const AnswerTime &Time = timeOf(Route);
  return micros(Time.MeanUs + Time.SpreadUs);
}

core::Microseconds SlotQueue::plannedTime(const core::RouteName &Route) const {
  const AnswerTime &Time = timeOf(Route);
  return micros(Time.MeanUs + PlannedSpreads * Time.SpreadUs);
}

core::Microseconds SlotQueue::meanTime(const core::RouteName &Route) const {
  return micros(timeOf(Route).MeanUs);
}

core::Microseconds SlotQueue::leastTime(const core::RouteName &Route) const {
  return micros(timeOf(Route).MeanUs * LeastTimePart);
}

/// Slots fall free one after the other, spread over the time of an answer.
core::Microseconds SlotQueue::turnTime(std::size_t Ahead) const {
  const double Parts = std::max<std::uint32_t>(Slots, 1);
  return micros(Overall.MeanUs * static_cast<double>(Ahead + 1) / Parts);
}

TargetLoad SlotQueue::load() const {
  return {
      Running, static_cast<std::uint32_t>(Entries.size()), Slots,
      std::chrono::duration_cast<core::Milliseconds>(micros(Overall.MeanUs))};
}

core::Microseconds SlotQueue::expectedWait(std::uint32_t Rank,
                                           core::TimePoint Now) const {
  if (Running < Slots && Entries.empty())
    return core::Microseconds(0);
  std::size_t Ahead = 0;
  for (const Order &Each : InTime) {
    if (std::get<0>(Each) > Rank)
      break;
    ++Ahead;
  }
  double MoreUrgent = 0;
  for (const auto &[Other, Rate] : Arrivals)
    MoreUrgent += Other < Rank ? Rate.at(Now) : 0;
  return micros(static_cast<double>(turnTime(Ahead).count()) /
                partLeftBy(MoreUrgent));
}

double SlotQueue::partLeftBy(double PerSecond) const {
  const double Taken =
      PerSecond * Overall.MeanUs * 1e-6 / std::max<std::uint32_t>(Slots, 1);
  return std::max(LeastPartLeft, 1 - Taken);
}

/// Late requests get the turns that those in time leave over, now and for as
/// long as requests keep coming at the present rate.
core::Microseconds SlotQueue::lateWait(std::size_t Ahead,
                                       core::TimePoint Now) const {
  double InTimeRate = 0;
  for (const auto &[Rank, Rate] : Arrivals)
    InTimeRate += Rate.at(Now);
  return micros(static_cast<double>(turnTime(InTime.size() + Ahead).count()) /
                partLeftBy(InTimeRate));
}

SlotVerdict SlotQueue::arrive(const SlotRequest &Who, core::TimePoint Now) {
  if (Slots == 0)
    return {SlotVerdict::Kind::Refuse, ErrorCode::RequestQueueFull};
  const core::Microseconds Wait = expectedWait(Who.Rank, Now);
  if (Now + Wait + leastTime(Who.Route) >= Who.Deadline)
    return {SlotVerdict::Kind::Refuse, ErrorCode::RequestDeadlinePassed};
  if (Running < Slots && Entries.empty()) {
    ++Running;
    Arrivals[Who.Rank].note(Now);
    return {SlotVerdict::Kind::Start, {}};
  }
  if (Now + Wait + plannedTime(Who.Route) <= Who.Objective)
    return enqueue(Who, Now, InTime);
  const bool Chance =
      static_cast<double>(Late.size()) < LatePartOfSlots * Slots &&
      Now + lateWait(Late.size(), Now) + neededTime(Who.Route) < Who.Deadline;
  if (Who.AcceptLate && Chance)
    return enqueue(Who, Now, Late);
  return {SlotVerdict::Kind::Refuse, ErrorCode::RequestWouldMissObjective};
}

SlotVerdict SlotQueue::enqueue(const SlotRequest &Who, core::TimePoint Now,
                               std::set<Order> &To) {
  const bool Full = Entries.size() >= std::size_t{Slots} * WaitingPerSlot;
  if (Full && (&To == &Late || !makeRoom(Who.Rank)))
    return {SlotVerdict::Kind::Refuse, ErrorCode::RequestQueueFull};
  if (&To == &InTime)
    Arrivals[Who.Rank].note(Now);
  Entries.emplace(Who.Id, Waiting{Who, Now});
  To.emplace(Who.Rank, Now, Who.Id);
  return {SlotVerdict::Kind::Wait, {}};
}

/// Gives up a late request, or else the last one of the least urgent rank.
bool SlotQueue::makeRoom(std::uint32_t Rank) {
  if (!Late.empty()) {
    displace(*Late.rbegin(), Late);
    return true;
  }
  if (InTime.empty() || std::get<0>(*InTime.rbegin()) <= Rank)
    return false;
  displace(*InTime.rbegin(), InTime);
  return true;
}

void SlotQueue::displace(const Order &Least, std::set<Order> &From) {
  const core::CallId Id = std::get<2>(Least);
  From.erase(Least);
  Entries.erase(Id);
  Displaced.push_back(Id);
}

void SlotQueue::finished(const core::RouteName &Route,
                         std::optional<core::Microseconds> Took) {
  if (Running > 0)
    --Running;
  if (!Took)
    return;
  const auto Sample = static_cast<double>(Took->count());
  Times[Route].note(Sample);
  Overall.note(Sample);
}

void SlotQueue::withdraw(core::CallId Id) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  const Waiting &Left = Found->second;
  const Order Key{Left.Who.Rank, Left.Since, Id};
  InTime.erase(Key);
  Late.erase(Key);
  Entries.erase(Found);
}

/// A request that can no longer be in time must not hold back one that can.
/// Late ones without a chance of a turn before their deadline are given up.
void SlotQueue::demoteLate(core::TimePoint Now) {
  for (auto It = InTime.begin(); It != InTime.end();) {
    const SlotRequest &Who = Entries.at(std::get<2>(*It)).Who;
    if (Now + meanTime(Who.Route) <= Who.Objective) {
      ++It;
      continue;
    }
    Late.insert(*It);
    It = InTime.erase(It);
  }
  while (static_cast<double>(Late.size()) > 2 * LatePartOfSlots * Slots)
    displace(*Late.rbegin(), Late);
  std::vector<Order> Lost;
  std::size_t Ahead = 0;
  for (const Order &Each : Late) {
    const SlotRequest &Who = Entries.at(std::get<2>(Each)).Who;
    if (Now + lateWait(Ahead, Now) + meanTime(Who.Route) < Who.Deadline)
      ++Ahead;
    else
      Lost.push_back(Each);
  }
  for (const Order &Each : Lost)
    displace(Each, Late);
}

std::optional<SlotQueue::Turn> SlotQueue::take(std::set<Order> &From,
                                               core::TimePoint Now) {
  if (From.empty())
    return std::nullopt;
  const core::CallId Id = std::get<2>(*From.begin());
  const SlotRequest &Who = Entries.at(Id).Who;
  const bool Lost = Now + leastTime(Who.Route) >= Who.Deadline;
  if (!Lost && Running >= Slots)
    return std::nullopt;
  withdraw(Id);
  if (Lost)
    return Turn{Id,
                {SlotVerdict::Kind::Refuse, ErrorCode::RequestDeadlinePassed}};
  ++Running;
  return Turn{Id, {SlotVerdict::Kind::Start, {}}};
}

std::optional<SlotQueue::Turn> SlotQueue::next(core::TimePoint Now) {
  demoteLate(Now);
  if (!Displaced.empty()) {
    const core::CallId Id = Displaced.back();
    Displaced.pop_back();
    return Turn{Id, {SlotVerdict::Kind::Refuse, ErrorCode::RequestQueueFull}};
  }
  if (auto Found = take(InTime, Now))
    return Found;
  return take(Late, Now);
}

} // namespace filbertvane::decision::mesh
