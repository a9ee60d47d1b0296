#include "MoveDriver.h"
#include "filbertvane/decision/rollout/Judgement.h"
#include <fmt/format.h>

namespace filbertvane::decision::rollout {

namespace {

using config::MoveStage;
using observe::EventId;

/// Highest fault rate at which the old version counts as healthy, as a divisor;
/// one fault more is chance. A divisor of 20 ended a suspicion in the middle of
/// a shared fault that failed 5% of the requests.
constexpr std::uint64_t HealthyDivisor = 100;

bool isReadBack(const config::RecordBody &Pending,
                const config::MoveStatus &Move) {
  const auto *Step = std::get_if<config::MoveStepped>(&Pending);
  return Step != nullptr && Move.Share >= Step->Share;
}

VersionCounts sumOf(const MoveCounts &Counts,
                    VersionCounts RouteCounts::*Side) {
  VersionCounts Sum;
  for (const auto &[Route, Seen] : Counts)
    Sum += Seen.*Side;
  return Sum;
}

config::MoveDecision summary(const MoveCounts &Counts) {
  const VersionCounts New = sumOf(Counts, &RouteCounts::New);
  const VersionCounts Old = sumOf(Counts, &RouteCounts::Old);
  return verdictOf({}, {Finding::None,
                        false,
                        {New.Answers, New.Faults},
                        {Old.Answers, Old.Faults}});
}

} // namespace

void MoveDriver::drive() {
  if (Move.Stage == MoveStage::Completed)
    return watchCompleted();
  readBack();
  judge();
  act();
}

void MoveDriver::readBack() {
  if (Watch.Pending && isReadBack(*Watch.Pending, Move))
    Watch.Pending.reset();
  if (Watch.Share == Move.Share)
    return;
  // The first sight of a move after a takeover counts as a step: evidence for
  // the next early step is collected afresh.
  if (Watch.Share)
    S.Windows.startStage(Move.Id);
  Watch.Share = Move.Share;
  Watch.AtStep = S.Table.total(Move.Id);
  Watch.EarliestStep =
      Now.Wall + (Move.Share == WarmUpShare ? WarmUp : MinStepTime);
  if (!Watch.RetrialAt)
    return;
  Watch.RetrialAt.reset();
  S.Windows.reset(Move.Id);
}

void MoveDriver::judge() {
  const auto Overlays = S.Overlays.of(Move.Id);
  const Overlay *Proven = provenOne(Overlays);
  if (!Watch.Guilty && Proven != nullptr)
    Watch.Guilty = Proven->Decided;
  if (Watch.Guilty)
    return;
  if (!Overlays.empty()) {
    // All data centres withdraw it, so that the next trial begins everywhere
    // at the same time.
    suspect(Overlays.front().Decided);
    return withdraw(Overlays.front().Decided, false);
  }
  core::RouteName Route;
  std::tie(Route, Found) = S.Windows.evaluate(Move.Id);
  if (!withdraws(Move, Found)) {
    // At share 0 no answer comes that could clear the suspicion.
    if (Move.Share == 0 && Found.Level != Finding::None)
      suspect(verdictOf(Route, Found));
    return;
  }
  const config::MoveDecision Why = verdictOf(Route, Found);
  if (Found.Level == Finding::Proven)
    Watch.Guilty = Why;
  else
    suspect(Why);
  withdraw(Why, Found.Level == Finding::Proven);
}

void MoveDriver::withdraw(const config::MoveDecision &Why, bool Proven) {
  // Takes effect before the record is read back, and while the log is down.
  const Overlay Made{Move.Id, {}, Move.Share, Now.Wall, Proven, Why};
  if (S.Overlays.add(Made))
    Out.push_back(PublishOverlay{Made});
}

void MoveDriver::suspect(const config::MoveDecision &Why) {
  if (Watch.RetrialAt)
    return;
  Watch.RetrialAt = Now.Mono + RetrialTime;
  Watch.AtSuspicion = S.Table.total(Move.Id);
  ++Watch.Suspicions;
  Out.push_back(observe::LogEvent{EventId::MoveSuspended,
                                  toString(Move.Id) + ": " + Why.Reason});
  if (Watch.Suspicions >= MaxSuspicions || Move.Share >= config::FullShare)
    Watch.Guilty = Why;
}

bool MoveDriver::mayAppend() const {
  return S.LogUp && (!Watch.Pending || Now.Mono >= Watch.RetryAt);
}

void MoveDriver::act() {
  if (Watch.Guilty)
    return rollBack();
  if (Now.Wall > Move.Order.Deadline)
    logOnce(EventId::MoveDeadlineMissed, toString(Move.Id));
  if (!mayAppend())
    return;
  if (Watch.RetrialAt)
    return settleSuspicion();
  if (Found.Level != Finding::None)
    return;
  if (Move.Share >= config::FullShare)
    return complete();
  step();
}

void MoveDriver::rollBack() {
  if (!S.LogUp)
    return logOnce(EventId::MoveRollbackWaits, toString(Move.Id));
  // A pending step does not delay a rollback, only a pending rollback does.
  const bool IsPending =
      Watch.Pending &&
      std::holds_alternative<config::MoveRolledBack>(*Watch.Pending);
  if (IsPending && Now.Mono < Watch.RetryAt)
    return;
  append(config::MoveRolledBack{*S.Lease, Move.Id, Now.Wall, *Watch.Guilty},
         EventId::MoveRollbackAppended, Watch.Guilty->Reason);
}

bool MoveDriver::oldIsHealthy(const MoveCounts &Total) const {
  std::uint64_t Answers = 0;
  std::uint64_t Faults = 0;
  for (const auto &[Route, Counts] : Total) {
    const auto Before = Watch.AtSuspicion.find(Route);
    const RouteCounts Added = Before == Watch.AtSuspicion.end()
                                  ? Counts
                                  : since(Before->second, Counts);
    Answers += Added.Old.Answers;
    Faults += Added.Old.Faults;
  }
  return Faults <= 1 + Answers / HealthyDivisor;
}

void MoveDriver::settleSuspicion() {
  if (Now.Mono < *Watch.RetrialAt)
    return;
  const MoveCounts Total = S.Table.total(Move.Id);
  if (!oldIsHealthy(Total)) {
    // The fault is shared; wait until the old version has recovered.
    Watch.RetrialAt = Now.Mono + RecheckTime;
    Watch.AtSuspicion = Total;
    return;
  }
  // A step is the newer configuration that ends the overlays; the least rise
  // that the fold accepts.
  const auto Share = static_cast<config::Permille>(Move.Share + 1);
  append(config::MoveStepped{*S.Lease, Move.Id, Share}, EventId::MoveRetried,
         fmt::format("share {}", Share));
}

void MoveDriver::complete() {
  append(config::MoveCompleted{*S.Lease, Move.Id, Now.Wall,
                               summary(S.Table.total(Move.Id))},
         EventId::MoveCompletionAppended, "");
}

ReadySlots MoveDriver::slots() const {
  ReadySlots Result;
  const auto Count = [&](const core::TargetVersion &Version) -> std::uint32_t {
    const auto Seen = S.Slots.find({Move.Id.Service, Version});
    if (Seen == S.Slots.end())
      return 0;
    Result.InUse += Seen->second.InUse;
    return Seen->second.Slots;
  };
  Result.New = Count(Move.Order.To);
  Result.Old = Count(Move.From);
  return Result;
}

void MoveDriver::step() {
  if (Move.Share == 0)
    if (const auto Checked = checkDeadline(Move.Order, Move.AcceptedAt);
        !ok(Checked))
      logOnce(EventId::MoveDeadlineInfeasible,
              core::toString(failure(Checked)));
  const Progress Seen{S.Table.total(Move.Id), Watch.AtStep, Watch.EarliestStep};
  const ReadySlots Ready = slots();
  const config::Permille Share = nextShare(Move, Seen, Ready, Now.Wall);
  if (Share > Move.Share)
    return append(config::MoveStepped{*S.Lease, Move.Id, Share},
                  EventId::MoveStepAppended, fmt::format("share {}", Share));
  if (Ready.New == 0)
    logOnce(EventId::MoveHeld, toString(Move.Id));
}

void MoveDriver::watchCompleted() {
  const auto [Route, Seen] = S.Windows.evaluate(Move.Id);
  if (Seen.Level == Finding::None || slots().Old == 0)
    return;
  logOnce(EventId::MoveFaultAfterCompletion,
          fmt::format("{} route {}: {}", toString(Move.Id), Route.value(),
                      verdictOf(Route, Seen).Reason));
}

void MoveDriver::append(const config::RecordBody &Body, EventId Event,
                        const std::string &Detail) {
  Watch.Pending = Body;
  Watch.RetryAt = Now.Mono + ReadBackTime;
  Out.push_back(Append{Body});
  Out.push_back(observe::LogEvent{Event, Detail.empty() ? toString(Move.Id)
                                                        : toString(Move.Id) +
                                                              ": " + Detail});
}

void MoveDriver::logOnce(EventId Event, const std::string &Detail) {
  if (Watch.Logged.insert(Event).second)
    Out.push_back(observe::LogEvent{Event, Detail});
}

} // namespace filbertvane::decision::rollout
