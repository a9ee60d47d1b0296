#include "filbertvane/decision/rollout/NodeMonitor.h"
#include "filbertvane/decision/rollout/RolloutPolicy.h"
#include <algorithm>

namespace filbertvane::decision::rollout {

namespace {

using observe::EventId;

/// Handles the events of one call of `reduce`.
class Guard {
public:
  Guard(MonitorState State, core::Instant Now)
      : S(std::move(State)), Now(Now) {}

  void on(const FleetChanged &Event);
  void on(const request::Observed &Answer);
  void on(const EvidenceReceived &Event);
  void on(const LocalRollbackReceived &Event);
  void on(const LeadershipChanged &Event);
  void on(const Tick &);

  Step<MonitorState, MonitorEffects> finish();

private:
  void decide(const config::MoveId &Id, MoveWindows &Windows);
  void decideAll();
  void spread(const LocalRollback &Value);
  void startStages(const config::FleetState &Next);
  void forgetUnwatched();
  void pool(const config::MoveId &Move, const core::RouteName &Route,
            const RouteCounts &Counts,
            const std::map<config::MoveId, MoveCrashes> &Crashes);
  void reportEvidence();
  void reportPromptly(const config::MoveId &Id, const RouteCounts &Added);
  void repeatOverlays();

  MonitorState S;
  core::Instant Now;
  MonitorEffects Out;
};

void Guard::on(const FleetChanged &Event) {
  startStages(*Event.State);
  S.Fleet = Event.State;
  S.Counter.startWarmUps(*S.Fleet, Now.Mono);
  for (const LocalRollback &Ended : S.LocalRollbacks.prune(*S.Fleet)) {
    Out.push_back(observe::LogEvent{EventId::MoveLocalRollbackEnded,
                                    toString(Ended.Move)});
    if (Ended.Proven)
      continue;
    // The coordinator dispelled the suspicion: the answers behind it must not
    // raise it again.
    S.OwnWindows.reset(Ended.Move);
    S.PooledWindows.reset(Ended.Move);
  }
  forgetUnwatched();
  // A step that was appended before its writer knew of a proven overlay must
  // not bring the version back.
  decideAll();
}

void Guard::startStages(const config::FleetState &Next) {
  if (!S.Fleet)
    return;
  for (const config::MoveStatus &Before : S.Fleet->Moves) {
    const config::MoveStatus *Move = findMove(Next, Before.Id);
    if (Move == nullptr || Move->Share == Before.Share)
      continue;
    S.OwnWindows.startStep(Move->Id);
    S.PooledWindows.startStep(Move->Id);
  }
}

void Guard::forgetUnwatched() {
  const auto Watched = monitoredMoves(*S.Fleet, Now.Wall);
  const auto Forget = [&](const auto &Entry) {
    return !Watched.contains(Entry.first);
  };
  std::erase_if(S.OwnEvidence.Moves, Forget);
  std::erase_if(S.PooledEvidence.Moves, Forget);
  std::erase_if(S.OwnEvidence.Crashes, Forget);
  std::erase_if(S.PooledEvidence.Crashes, Forget);
  S.MemberEvidence.retain(Watched);
  for (MoveWindows *Windows : {&S.OwnWindows, &S.PooledWindows})
    for (const config::MoveId &Move : Windows->moves())
      if (!Watched.contains(Move))
        Windows->reset(Move);
}

void Guard::decideAll() {
  for (MoveWindows *Windows : {&S.OwnWindows, &S.PooledWindows})
    for (const config::MoveId &Move : Windows->moves())
      decide(Move, *Windows);
}

void Guard::decide(const config::MoveId &Id, MoveWindows &Windows) {
  const auto [Route, Found] = Windows.evaluate(Id);
  const config::MoveStatus *Move = findMove(*S.Fleet, Id);
  if (Move == nullptr || !shouldWithdraw(*Move, Found))
    return;
  // A suspicion is settled by the coordinator alone: answers of the old version
  // after the withdrawal say nothing about the time of the faults.
  if (!S.LocalRollbacks.forMove(Id).empty())
    return;
  const LocalRollback Made{Id,
                           S.DataCentre,
                           Move->Share,
                           Now.Wall,
                           Found.Level == Finding::Proven,
                           makeVerdict(Route, Found)};
  if (!S.LocalRollbacks.add(Made))
    return;
  Out.push_back(observe::LogEvent{EventId::MoveLocalRollbackStarted,
                                  toString(Id) + ": " + Made.Verdict.Reason});
  spread(Made);
}

void Guard::spread(const LocalRollback &Value) {
  if (!S.IsLead) {
    if (Value.DataCentre == S.DataCentre)
      Out.push_back(SendLocalRollback{Recipient::Lead, Value});
    return;
  }
  Out.push_back(SendLocalRollback{Recipient::Members, Value});
  if (Value.DataCentre == S.DataCentre)
    Out.push_back(SendLocalRollback{Recipient::Coordinator, Value});
}

void Guard::on(const request::Observed &Answer) {
  if (!S.Fleet)
    return;
  const auto Counted = S.Counter.record(Answer, *S.Fleet, Now);
  if (!Counted)
    return;
  if (!S.OwnWindows.add(Counted->Move, Counted->Route, Counted->Counts)) {
    Out.push_back(observe::LogEvent{EventId::MoveEvidenceDropped,
                                    Counted->Route.value()});
    return;
  }
  if (Counted->Crashed)
    addCrash(S.OwnEvidence, Counted->Move, Counted->Route, *Counted->Crashed);
  else
    S.OwnEvidence.Moves[Counted->Move][Counted->Route] += Counted->Counts;
  S.OwnChanged = true;
  reportPromptly(Counted->Move, Counted->Counts);
  if (Counted->Counts.New.Answers > 0)
    decide(Counted->Move, S.OwnWindows);
}

void Guard::on(const EvidenceReceived &Event) {
  if (!S.Fleet || !S.IsLead)
    return;
  const auto Merged =
      S.MemberEvidence.merge(Event.Report, baselineMoves(*S.Fleet, Now.Wall));
  if (!Merged.Accepted)
    Out.push_back(observe::LogEvent{EventId::MoveEvidenceDropped,
                                    Event.Report.Sender.value()});
  for (const auto &[Move, Routes] : Merged.Added)
    for (const auto &[Route, Counts] : Routes)
      pool(Move, Route, Counts, Merged.Crashes);
}

void Guard::pool(const config::MoveId &Move, const core::RouteName &Route,
                 const RouteCounts &Counts,
                 const std::map<config::MoveId, MoveCrashes> &Crashes) {
  const config::MoveStatus *Status = findMove(*S.Fleet, Move);
  if (Status == nullptr || !isMonitored(*Status, Now.Wall) ||
      !S.PooledWindows.add(Move, Route, Counts))
    return;
  RouteCounts Summed = Counts;
  if (const auto Of = Crashes.find(Move); Of != Crashes.end())
    if (const auto On = Of->second.find(Route); On != Of->second.end())
      for (const Crash &Each : On->second) {
        // Listed, not summed, so that the coordinator drops repetitions too.
        VersionCounts &Side = Each.OnNewVersion ? Summed.New : Summed.Old;
        --Side.Answers;
        --Side.Faults;
        addCrash(S.PooledEvidence, Move, Route, Each);
      }
  S.PooledEvidence.Moves[Move][Route] += Summed;
  S.PooledChanged = true;
  reportPromptly(Move, Counts);
  decide(Move, S.PooledWindows);
}

void Guard::on(const LocalRollbackReceived &Event) {
  const bool IsForHere = Event.Rollback.DataCentre == S.DataCentre ||
                         Event.Rollback.DataCentre == core::DataCentreId();
  if (!IsForHere || !S.LocalRollbacks.add(Event.Rollback))
    return;
  if (S.Fleet)
    S.LocalRollbacks.prune(*S.Fleet);
  if (S.IsLead)
    spread(Event.Rollback);
}

void Guard::on(const LeadershipChanged &Event) {
  if (S.IsLead && !Event.IsLead) {
    // Another lead counts from now on; what members report to it must not be
    // added again when this node leads once more.
    S.MemberEvidence = {};
    S.PooledWindows = MoveWindows(LocalSharedFaultSignificance);
  }
  S.IsLead = Event.IsLead;
}

void Guard::on(const Tick &) {
  if (!S.Fleet)
    return;
  if (Now.Mono >= S.NextReportAt) {
    forgetUnwatched();
    reportEvidence();
  }
  if (Now.Mono >= S.NextRollbackSendAt) {
    S.NextRollbackSendAt = Now.Mono + LocalRollbackSendPeriod;
    repeatOverlays();
  }
}

void Guard::reportPromptly(const config::MoveId &Id, const RouteCounts &Added) {
  const config::MoveStatus *Move = findMove(*S.Fleet, Id);
  const bool IsCanary = Move != nullptr && Move->Share <= CanaryShare &&
                        Move->Stage == config::MoveStage::InProgress;
  if (!IsCanary || Added.New.Faults + Added.Old.Faults == 0)
    return;
  if (Now.Mono >= S.NextPromptReportAt)
    reportEvidence();
  else
    S.NextReportAt = std::min(S.NextReportAt, S.NextPromptReportAt);
}

void Guard::reportEvidence() {
  S.NextReportAt = Now.Mono + EvidencePeriod;
  S.NextPromptReportAt = Now.Mono + MinEvidenceInterval;
  S.OwnWindows.closePeriod();
  S.PooledWindows.closePeriod();
  if (S.OwnChanged) {
    ++S.OwnEvidence.Revision;
    Out.push_back(SendEvidence{Recipient::Lead, S.OwnEvidence});
  }
  if (S.PooledChanged && S.IsLead) {
    ++S.PooledEvidence.Revision;
    Out.push_back(SendEvidence{Recipient::Coordinator, S.PooledEvidence});
  }
  S.OwnChanged = false;
  S.PooledChanged = false;
}

void Guard::repeatOverlays() {
  for (const config::MoveStatus &Move : S.Fleet->Moves)
    for (const LocalRollback &Value : S.LocalRollbacks.forMove(Move.Id))
      spread(Value);
}

Step<MonitorState, MonitorEffects> Guard::finish() {
  auto Moves = S.LocalRollbacks.activeMoves(S.DataCentre);
  if (Moves != S.ActiveRollbacks) {
    S.ActiveRollbacks = Moves;
    Out.push_back(LocalRollbacksChanged{std::move(Moves)});
  }
  return {std::move(S), std::move(Out)};
}

} // namespace

MonitorState makeMonitorState(core::NodeId Self,
                              core::Incarnation SelfIncarnation,
                              core::DataCentreId DataCentre) {
  MonitorState State;
  State.OwnEvidence.Sender = Self;
  State.OwnEvidence.SenderIncarnation = SelfIncarnation;
  State.PooledEvidence.Sender = Self;
  State.PooledEvidence.SenderIncarnation = SelfIncarnation;
  State.Self = std::move(Self);
  State.SelfIncarnation = SelfIncarnation;
  State.DataCentre = std::move(DataCentre);
  return State;
}

Step<MonitorState, MonitorEffects>
reduce(MonitorState State, const MonitorEvent &Event, core::Instant Now) {
  Guard Handler(std::move(State), Now);
  std::visit([&](const auto &Concrete) { Handler.on(Concrete); }, Event);
  return Handler.finish();
}

} // namespace filbertvane::decision::rollout
