#include "MoveDriver.h"
#include "filbertvane/decision/rollout/RolloutPolicy.h"
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
  return makeVerdict({}, {Finding::None,
                          false,
                          {New.Answers, New.Faults},
                          {Old.Answers, Old.Faults}});
}

} // namespace

void MoveDriver::drive() {
  if (Move.Stage == MoveStage::Completed)
    return monitorCompleted();
  syncWithFleet();
  evaluate();
  advance();
}

void MoveDriver::syncWithFleet() {
  if (Context.PendingRecord && isReadBack(*Context.PendingRecord, Move))
    Context.PendingRecord.reset();
  if (Context.Share == Move.Share)
    return;
  // The first sight of a move after a takeover counts as a step: evidence for
  // the next early step is collected afresh.
  if (Context.Share)
    S.Windows.startStep(Move.Id);
  Context.Share = Move.Share;
  Context.CountsAtStep = S.EvidenceBySender.total(Move.Id);
  Context.EarliestStepAt =
      Now.Wall + (Move.Share == WarmUpShare ? WarmUpDuration : MinStepDuration);
  if (!Context.SuspicionRetryAt)
    return;
  Context.SuspicionRetryAt.reset();
  S.Windows.reset(Move.Id);
}

void MoveDriver::evaluate() {
  const auto Overlays = S.LocalRollbacks.forMove(Move.Id);
  const LocalRollback *Proven = findProven(Overlays);
  if (!Context.RollbackVerdict && Proven != nullptr)
    Context.RollbackVerdict = Proven->Verdict;
  if (Context.RollbackVerdict)
    return;
  if (!Overlays.empty()) {
    // All data centres withdraw it, so that the next trial begins everywhere
    // at the same time.
    raiseSuspicion(Overlays.front().Verdict);
    return withdraw(Overlays.front().Verdict, false);
  }
  core::RouteName Route;
  std::tie(Route, LatestFinding) = S.Windows.evaluate(Move.Id);
  if (!shouldWithdraw(Move, LatestFinding)) {
    // At share 0 no answer comes that could clear the suspicion.
    if (Move.Share == 0 && LatestFinding.Level != Finding::None)
      raiseSuspicion(makeVerdict(Route, LatestFinding));
    return;
  }
  const config::MoveDecision Why = makeVerdict(Route, LatestFinding);
  if (LatestFinding.Level == Finding::Proven)
    Context.RollbackVerdict = Why;
  else
    raiseSuspicion(Why);
  withdraw(Why, LatestFinding.Level == Finding::Proven);
}

void MoveDriver::withdraw(const config::MoveDecision &Why, bool Proven) {
  // Takes effect before the record is read back, and while the log is down.
  const LocalRollback Made{Move.Id, {}, Move.Share, Now.Wall, Proven, Why};
  if (S.LocalRollbacks.add(Made))
    Out.push_back(PublishLocalRollback{Made});
}

void MoveDriver::raiseSuspicion(const config::MoveDecision &Why) {
  if (Context.SuspicionRetryAt)
    return;
  Context.SuspicionRetryAt = Now.Mono + SuspicionRetryDelay;
  Context.CountsAtSuspicion = S.EvidenceBySender.total(Move.Id);
  ++Context.SuspicionCount;
  Out.push_back(observe::LogEvent{EventId::MoveSuspended,
                                  toString(Move.Id) + ": " + Why.Reason});
  if (Context.SuspicionCount >= MaxSuspicions ||
      Move.Share >= config::FullShare)
    Context.RollbackVerdict = Why;
}

bool MoveDriver::mayAppend() const {
  return S.LogAvailable &&
         (!Context.PendingRecord || Now.Mono >= Context.AppendRetryAt);
}

void MoveDriver::advance() {
  if (Context.RollbackVerdict)
    return rollBack();
  if (Now.Wall > Move.Order.Deadline)
    logOnce(EventId::MoveDeadlineMissed, toString(Move.Id));
  if (!mayAppend())
    return;
  if (Context.SuspicionRetryAt)
    return resolveSuspicion();
  if (LatestFinding.Level != Finding::None)
    return;
  if (Move.Share >= config::FullShare)
    return complete();
  step();
}

void MoveDriver::rollBack() {
  if (!S.LogAvailable)
    return logOnce(EventId::MoveRollbackDelayed, toString(Move.Id));
  // A pending step does not delay a rollback, only a pending rollback does.
  const bool IsPending =
      Context.PendingRecord &&
      std::holds_alternative<config::MoveRolledBack>(*Context.PendingRecord);
  if (IsPending && Now.Mono < Context.AppendRetryAt)
    return;
  append(config::MoveRolledBack{*S.LeaseEpoch, Move.Id, Now.Wall,
                                *Context.RollbackVerdict},
         EventId::MoveRollbackAppended, Context.RollbackVerdict->Reason);
}

bool MoveDriver::isOldVersionHealthy(const MoveCounts &Total) const {
  std::uint64_t Answers = 0;
  std::uint64_t Faults = 0;
  for (const auto &[Route, Counts] : Total) {
    const auto Before = Context.CountsAtSuspicion.find(Route);
    const RouteCounts Added = Before == Context.CountsAtSuspicion.end()
                                  ? Counts
                                  : increaseSince(Before->second, Counts);
    Answers += Added.Old.Answers;
    Faults += Added.Old.Faults;
  }
  return Faults <= 1 + Answers / HealthyDivisor;
}

void MoveDriver::resolveSuspicion() {
  if (Now.Mono < *Context.SuspicionRetryAt)
    return;
  const MoveCounts Total = S.EvidenceBySender.total(Move.Id);
  if (!isOldVersionHealthy(Total)) {
    // The fault is shared; wait until the old version has recovered.
    Context.SuspicionRetryAt = Now.Mono + SuspicionRecheckDelay;
    Context.CountsAtSuspicion = Total;
    return;
  }
  // A step is the newer configuration that ends the overlays; the least rise
  // that the fold accepts.
  const auto Share = static_cast<config::Permille>(Move.Share + 1);
  append(config::MoveStepped{*S.LeaseEpoch, Move.Id, Share},
         EventId::MoveResumed, fmt::format("share {}", Share));
}

void MoveDriver::complete() {
  append(config::MoveCompleted{*S.LeaseEpoch, Move.Id, Now.Wall,
                               summary(S.EvidenceBySender.total(Move.Id))},
         EventId::MoveCompletionAppended, "");
}

ReadySlots MoveDriver::slots() const {
  ReadySlots Result;
  const auto Count = [&](const core::TargetVersion &Version) -> std::uint32_t {
    const auto Seen = S.SlotsByVersion.find({Move.Id.Service, Version});
    if (Seen == S.SlotsByVersion.end())
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
  const MoveProgress Seen{S.EvidenceBySender.total(Move.Id),
                          Context.CountsAtStep, Context.EarliestStepAt};
  const ReadySlots Ready = slots();
  const config::Permille Share = nextShare(Move, Seen, Ready, Now.Wall);
  if (Share > Move.Share)
    return append(config::MoveStepped{*S.LeaseEpoch, Move.Id, Share},
                  EventId::MoveStepAppended, fmt::format("share {}", Share));
  if (Ready.New == 0)
    logOnce(EventId::MoveAwaitsSlots, toString(Move.Id));
}

void MoveDriver::monitorCompleted() {
  const auto [Route, Seen] = S.Windows.evaluate(Move.Id);
  if (Seen.Level == Finding::None || slots().Old == 0)
    return;
  logOnce(EventId::MoveFaultAfterCompletion,
          fmt::format("{} route {}: {}", toString(Move.Id), Route.value(),
                      makeVerdict(Route, Seen).Reason));
}

void MoveDriver::append(const config::RecordBody &Body, EventId Event,
                        const std::string &Detail) {
  Context.PendingRecord = Body;
  Context.AppendRetryAt = Now.Mono + ReadBackTimeout;
  Out.push_back(AppendRecord{Body});
  Out.push_back(observe::LogEvent{Event, Detail.empty() ? toString(Move.Id)
                                                        : toString(Move.Id) +
                                                              ": " + Detail});
}

void MoveDriver::logOnce(EventId Event, const std::string &Detail) {
  if (Context.LoggedEvents.insert(Event).second)
    Out.push_back(observe::LogEvent{Event, Detail});
}

} // namespace filbertvane::decision::rollout
