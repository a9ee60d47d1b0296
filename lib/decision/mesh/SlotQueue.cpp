#include "filbertvane/decision/mesh/SlotQueue.h"
#include "filbertvane/decision/mesh/Limits.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

using core::ErrorCode;

/// Weight of one answer in the mean time of a route: the mean follows a target
/// that turns slow within some 20 answers.
constexpr double AnswerWeight = 0.05;
/// Part of the usual time that has to be left before the deadline of a request
/// that starts. Half of the answers take less than 0.8 of the mean.
constexpr double NeededTimeShare = 0.5;

void blend(double &Mean, double Sample) {
  Mean = Mean == 0 ? Sample : Mean + AnswerWeight * (Sample - Mean);
}

core::Microseconds micros(double Count) {
  return core::Microseconds(static_cast<std::int64_t>(Count));
}

} // namespace

core::Microseconds SlotQueue::expectedTime(const core::RouteName &Route) const {
  const auto Found = MeanUs.find(Route);
  return micros(Found == MeanUs.end() ? OverallUs : Found->second);
}

TargetLoad SlotQueue::load() const {
  return {Running, static_cast<std::uint32_t>(Entries.size()), Slots,
          std::chrono::duration_cast<core::Milliseconds>(micros(OverallUs))};
}

core::Microseconds SlotQueue::expectedWait(std::uint32_t Rank) const {
  if (Running < Slots && Entries.empty())
    return core::Microseconds(0);
  if (Slots == 0)
    return micros(OverallUs);
  std::size_t Ahead = 0;
  for (const Order &Each : InTime) {
    if (std::get<0>(Each) > Rank)
      break;
    ++Ahead;
  }
  return micros(OverallUs * static_cast<double>(Ahead + 1) / Slots);
}

SlotVerdict SlotQueue::arrive(const SlotRequest &Who, core::TimePoint Now) {
  if (Slots == 0)
    return {SlotVerdict::Kind::Refuse, ErrorCode::RequestQueueFull};
  const core::Microseconds Wait = expectedWait(Who.Rank);
  const core::Microseconds Time = expectedTime(Who.Route);
  const core::TimePoint Needed =
      Now + Wait + micros(static_cast<double>(Time.count()) * NeededTimeShare);
  if (Needed >= Who.Deadline)
    return {SlotVerdict::Kind::Refuse, ErrorCode::RequestDeadlinePassed};
  if (Running < Slots && Entries.empty()) {
    ++Running;
    return {SlotVerdict::Kind::Start, {}};
  }
  const bool InTimeStill = Now + Wait + Time <= Who.Objective;
  if (!InTimeStill && !Who.AcceptLate)
    return {SlotVerdict::Kind::Refuse, ErrorCode::RequestWouldBeLate};
  if (Entries.size() >= std::size_t{Slots} * WaitingPerSlot)
    return {SlotVerdict::Kind::Refuse, ErrorCode::RequestQueueFull};
  Entries.emplace(Who.Id, Waiting{Who, Now});
  (InTimeStill ? InTime : Late).emplace(Who.Rank, Now, Who.Id);
  return {SlotVerdict::Kind::Wait, {}};
}

void SlotQueue::finished(const core::RouteName &Route,
                         std::optional<core::Microseconds> Took) {
  if (Running > 0)
    --Running;
  if (!Took)
    return;
  const auto Sample = static_cast<double>(Took->count());
  blend(MeanUs[Route], Sample);
  blend(OverallUs, Sample);
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
void SlotQueue::demoteLate(core::TimePoint Now) {
  for (auto It = InTime.begin(); It != InTime.end();) {
    const SlotRequest &Who = Entries.at(std::get<2>(*It)).Who;
    if (Now + expectedTime(Who.Route) <= Who.Objective) {
      ++It;
      continue;
    }
    Late.insert(*It);
    It = InTime.erase(It);
  }
}

std::optional<SlotQueue::Turn> SlotQueue::take(std::set<Order> &From,
                                               core::TimePoint Now) {
  if (From.empty())
    return std::nullopt;
  const core::CallId Id = std::get<2>(*From.begin());
  const SlotRequest &Who = Entries.at(Id).Who;
  const core::Microseconds Time = expectedTime(Who.Route);
  const core::TimePoint Needed =
      Now + micros(static_cast<double>(Time.count()) * NeededTimeShare);
  const bool Lost = Needed >= Who.Deadline;
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
  if (auto Found = take(InTime, Now))
    return Found;
  return take(Late, Now);
}

} // namespace filbertvane::decision::mesh
