#include "MoveDriver.h"
#include "filbertvane/decision/rollout/RolloutPolicy.h"
#include <fmt/format.h>

namespace filbertvane::decision::rollout {

namespace {

using config::MoveStage;
using observe::EventId;

/// The old version is healthy up to one fault per this number of answers, plus
/// one fault by chance. A divisor of 20 ended a suspicion during a shared fault
/// that failed 5% of the requests.
constexpr std::uint64_t AnswersPerToleratedFault = 100;

bool isReadBack(const config::RecordBody &Pending,
                const config::MoveStatus &Move) {
  const auto *Step = std::get_if<config::MoveStepped>(&Pending);
  return Step != nullptr && Move.Share >= Step->Share;
}

VersionCounts sumOf(const MoveCounts &Counts,
                    VersionCounts RouteCounts::*Version) {
  VersionCounts Sum;
  for (const auto &[Route, Added] : Counts)
    Sum += Added.*Version;
  return Sum;
}

config::MoveDecision makeSummary(const MoveCounts &Counts) {
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
  // After a takeover, a move that was not known yet is handled as if it had
  // just been stepped: the next early step needs new evidence.
  if (Context.Share)
    State.Windows.startStep(Move.Id);
  Context.Share = Move.Share;
  Context.CountsAtStep = State.EvidenceBySender.total(Move.Id);
  Context.EarliestStepAt =
      Now.Wall + (Move.Share == WarmUpShare ? WarmUpDuration : MinStepDuration);
  if (!Context.SuspicionRetryAt)
    return;
  Context.SuspicionRetryAt.reset();
  State.Windows.reset(Move.Id);
}

void MoveDriver::evaluate() {
  const auto Rollbacks = State.LocalRollbacks.forMove(Move.Id);
  const LocalRollback *Proven = findProven(Rollbacks);
  if (!Context.RollbackVerdict && Proven != nullptr)
    Context.RollbackVerdict = Proven->Verdict;
  if (Context.RollbackVerdict)
    return;
  if (!Rollbacks.empty()) {
    // The version is withdrawn in all data centres, so that the next attempt
    // starts everywhere at the same time.
    raiseSuspicion(Rollbacks.front().Verdict);
    return withdraw(Rollbacks.front().Verdict, false);
  }
  core::RouteName Route;
  std::tie(Route, LatestFinding) = State.Windows.evaluate(Move.Id);
  if (!shouldWithdraw(Move, LatestFinding)) {
    // At share 0 there are no answers that could refute the suspicion.
    if (Move.Share == 0 && LatestFinding.Level != Finding::None)
      raiseSuspicion(makeVerdict(Route, LatestFinding));
    return;
  }
  const config::MoveDecision Verdict = makeVerdict(Route, LatestFinding);
  if (LatestFinding.Level == Finding::Proven)
    Context.RollbackVerdict = Verdict;
  else
    raiseSuspicion(Verdict);
  withdraw(Verdict, LatestFinding.Level == Finding::Proven);
}

void MoveDriver::withdraw(const config::MoveDecision &Verdict, bool Proven) {
  // Takes effect before the record is read back, even while the log is down.
  const LocalRollback Rollback{Move.Id,  {},     Move.Share,
                               Now.Wall, Proven, Verdict};
  if (State.LocalRollbacks.add(Rollback))
    Effects.push_back(PublishLocalRollback{Rollback});
}

void MoveDriver::raiseSuspicion(const config::MoveDecision &Verdict) {
  if (Context.SuspicionRetryAt)
    return;
  Context.SuspicionRetryAt = Now.Mono + SuspicionRetryDelay;
  Context.CountsAtSuspicion = State.EvidenceBySender.total(Move.Id);
  ++Context.SuspicionCount;
  Effects.push_back(observe::LogEvent{
      EventId::MoveSuspended, toString(Move.Id) + ": " + Verdict.Reason});
  if (Context.SuspicionCount >= MaxSuspicions ||
      Move.Share >= config::FullShare)
    Context.RollbackVerdict = Verdict;
}

bool MoveDriver::mayAppend() const {
  return State.LogAvailable &&
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
  if (!State.LogAvailable)
    return logOnce(EventId::MoveRollbackDelayed, toString(Move.Id));
  // A pending step does not delay a rollback; a pending rollback does.
  const bool IsPending =
      Context.PendingRecord &&
      std::holds_alternative<config::MoveRolledBack>(*Context.PendingRecord);
  if (IsPending && Now.Mono < Context.AppendRetryAt)
    return;
  append(config::MoveRolledBack{*State.LeaseEpoch, Move.Id, Now.Wall,
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
  return Faults <= 1 + Answers / AnswersPerToleratedFault;
}

void MoveDriver::resolveSuspicion() {
  if (Now.Mono < *Context.SuspicionRetryAt)
    return;
  const MoveCounts Total = State.EvidenceBySender.total(Move.Id);
  if (!isOldVersionHealthy(Total)) {
    // The fault is shared: wait until the old version has recovered.
    Context.SuspicionRetryAt = Now.Mono + SuspicionRecheckDelay;
    Context.CountsAtSuspicion = Total;
    return;
  }
  // The local rollbacks end with a configuration that raises the share. One
  // permille is the smallest step that is accepted.
  const auto Share = static_cast<config::Permille>(Move.Share + 1);
  append(config::MoveStepped{*State.LeaseEpoch, Move.Id, Share},
         EventId::MoveResumed, fmt::format("share {}", Share));
}

void MoveDriver::complete() {
  append(
      config::MoveCompleted{*State.LeaseEpoch, Move.Id, Now.Wall,
                            makeSummary(State.EvidenceBySender.total(Move.Id))},
      EventId::MoveCompletionAppended, "");
}

ReadySlots MoveDriver::readySlots() const {
  ReadySlots Result;
  const auto Count = [&](const core::TargetVersion &Version) -> std::uint32_t {
    const auto Slots = State.SlotsByVersion.find({Move.Id.Service, Version});
    if (Slots == State.SlotsByVersion.end())
      return 0;
    Result.InUse += Slots->second.InUse;
    return Slots->second.Slots;
  };
  Result.New = Count(Move.Order.To);
  Result.Old = Count(Move.From);
  return Result;
}

void MoveDriver::step() {
  if (Move.Share == 0)
    if (const auto DeadlineStatus = checkDeadline(Move.Order, Move.AcceptedAt);
        !ok(DeadlineStatus))
      logOnce(EventId::MoveDeadlineInfeasible,
              core::toString(failure(DeadlineStatus)));
  const MoveProgress Progress{State.EvidenceBySender.total(Move.Id),
                              Context.CountsAtStep, Context.EarliestStepAt};
  const ReadySlots Ready = readySlots();
  const config::Permille Share = nextShare(Move, Progress, Ready, Now.Wall);
  if (Share > Move.Share)
    return append(config::MoveStepped{*State.LeaseEpoch, Move.Id, Share},
                  EventId::MoveStepAppended, fmt::format("share {}", Share));
  if (Ready.New == 0)
    logOnce(EventId::MoveAwaitsSlots, toString(Move.Id));
}

void MoveDriver::monitorCompleted() {
  const auto [Route, Latest] = State.Windows.evaluate(Move.Id);
  if (Latest.Level == Finding::None || readySlots().Old == 0)
    return;
  logOnce(EventId::MoveFaultAfterCompletion,
          fmt::format("{} route {}: {}", toString(Move.Id), Route.value(),
                      makeVerdict(Route, Latest).Reason));
}

void MoveDriver::append(const config::RecordBody &Record, EventId Event,
                        const std::string &Detail) {
  Context.PendingRecord = Record;
  Context.AppendRetryAt = Now.Mono + ReadBackTimeout;
  Effects.push_back(AppendRecord{Record});
  Effects.push_back(observe::LogEvent{
      Event,
      Detail.empty() ? toString(Move.Id) : toString(Move.Id) + ": " + Detail});
}

void MoveDriver::logOnce(EventId Event, const std::string &Detail) {
  if (Context.LoggedEvents.insert(Event).second)
    Effects.push_back(observe::LogEvent{Event, Detail});
}

} // namespace filbertvane::decision::rollout
