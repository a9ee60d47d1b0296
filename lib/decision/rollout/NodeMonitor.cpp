#include "filbertvane/decision/rollout/NodeMonitor.h"
#include "filbertvane/decision/rollout/RolloutPolicy.h"
#include <algorithm>

namespace filbertvane::decision::rollout {

namespace {

using observe::EventId;

/// Handles the events of one call of `reduce`.
class MonitorHandler {
public:
  MonitorHandler(MonitorState Initial, core::Instant Now)
      : State(std::move(Initial)), Now(Now) {}

  void on(const FleetChanged &Event);
  void on(const request::ObservedAnswer &Answer);
  void on(const EvidenceReceived &Event);
  void on(const LocalRollbackReceived &Event);
  void on(const LeadershipChanged &Event);
  void on(const Tick &);

  Step<MonitorState, MonitorEffects> finish();

private:
  void evaluate(const config::MoveId &Id, MoveWindows &Windows);
  void evaluateAll();
  void sendRollback(const LocalRollback &Rollback);
  void startSteps(const config::FleetState &NewFleet);
  void eraseUnmonitored();
  void pool(const config::MoveId &Move, const core::RouteName &Route,
            const RouteCounts &Counts,
            const std::map<config::MoveId, MoveCrashes> &Crashes);
  void reportEvidence();
  void reportPromptly(const config::MoveId &Id, const RouteCounts &Added);
  void resendRollbacks();

  MonitorState State;
  core::Instant Now;
  MonitorEffects Effects;
};

void MonitorHandler::on(const FleetChanged &Event) {
  startSteps(*Event.State);
  State.Fleet = Event.State;
  State.Counter.startWarmUps(*State.Fleet, Now.Mono);
  for (const LocalRollback &Ended : State.LocalRollbacks.prune(*State.Fleet)) {
    Effects.push_back(observe::LogEvent{EventId::MoveLocalRollbackEnded,
                                        toString(Ended.Move)});
    if (Ended.Proven)
      continue;
    // The coordinator has refuted the suspicion; the answers that led to it
    // must not raise it again.
    State.OwnWindows.reset(Ended.Move);
    State.PooledWindows.reset(Ended.Move);
  }
  eraseUnmonitored();
  // A step may have been appended before the coordinator received a proven
  // rollback. It must not give the version requests again.
  evaluateAll();
}

void MonitorHandler::startSteps(const config::FleetState &NewFleet) {
  if (!State.Fleet)
    return;
  for (const config::MoveStatus &Before : State.Fleet->Moves) {
    const config::MoveStatus *Move = findMove(NewFleet, Before.Id);
    if (Move == nullptr || Move->Share == Before.Share)
      continue;
    State.OwnWindows.startStep(Move->Id);
    State.PooledWindows.startStep(Move->Id);
  }
}

void MonitorHandler::eraseUnmonitored() {
  const auto Monitored = monitoredMoves(*State.Fleet, Now.Wall);
  const auto IsUnmonitored = [&](const auto &Entry) {
    return !Monitored.contains(Entry.first);
  };
  std::erase_if(State.OwnEvidence.Moves, IsUnmonitored);
  std::erase_if(State.PooledEvidence.Moves, IsUnmonitored);
  std::erase_if(State.OwnEvidence.Crashes, IsUnmonitored);
  std::erase_if(State.PooledEvidence.Crashes, IsUnmonitored);
  State.MemberEvidence.retain(Monitored);
  for (MoveWindows *Windows : {&State.OwnWindows, &State.PooledWindows})
    for (const config::MoveId &Move : Windows->moves())
      if (!Monitored.contains(Move))
        Windows->reset(Move);
}

void MonitorHandler::evaluateAll() {
  for (MoveWindows *Windows : {&State.OwnWindows, &State.PooledWindows})
    for (const config::MoveId &Move : Windows->moves())
      evaluate(Move, *Windows);
}

void MonitorHandler::evaluate(const config::MoveId &Id, MoveWindows &Windows) {
  const auto [Route, Found] = Windows.evaluate(Id);
  const config::MoveStatus *Move = findMove(*State.Fleet, Id);
  if (Move == nullptr || !shouldWithdraw(*Move, Found))
    return;
  // Only the coordinator resolves a suspicion: answers of the old version after
  // the withdrawal do not tell whether it failed at the time of the faults.
  if (!State.LocalRollbacks.forMove(Id).empty())
    return;
  const LocalRollback Rollback{Id,
                               State.DataCentre,
                               Move->Share,
                               Now.Wall,
                               Found.Level == Finding::Proven,
                               makeVerdict(Route, Found)};
  if (!State.LocalRollbacks.add(Rollback))
    return;
  Effects.push_back(
      observe::LogEvent{EventId::MoveLocalRollbackStarted,
                        toString(Id) + ": " + Rollback.Verdict.Reason});
  sendRollback(Rollback);
}

void MonitorHandler::sendRollback(const LocalRollback &Rollback) {
  if (!State.IsLead) {
    if (Rollback.DataCentre == State.DataCentre)
      Effects.push_back(SendLocalRollback{Recipient::Lead, Rollback});
    return;
  }
  Effects.push_back(SendLocalRollback{Recipient::Members, Rollback});
  if (Rollback.DataCentre == State.DataCentre)
    Effects.push_back(SendLocalRollback{Recipient::Coordinator, Rollback});
}

void MonitorHandler::on(const request::ObservedAnswer &Answer) {
  if (!State.Fleet)
    return;
  const auto Counted = State.Counter.record(Answer, *State.Fleet, Now);
  if (!Counted)
    return;
  if (!State.OwnWindows.add(Counted->Move, Counted->Route, Counted->Counts)) {
    Effects.push_back(observe::LogEvent{EventId::MoveEvidenceDropped,
                                        Counted->Route.value()});
    return;
  }
  if (Counted->Crashed)
    addCrash(State.OwnEvidence, Counted->Move, Counted->Route,
             *Counted->Crashed);
  else
    State.OwnEvidence.Moves[Counted->Move][Counted->Route] += Counted->Counts;
  State.OwnChanged = true;
  reportPromptly(Counted->Move, Counted->Counts);
  if (Counted->Counts.New.Answers > 0)
    evaluate(Counted->Move, State.OwnWindows);
}

void MonitorHandler::on(const EvidenceReceived &Event) {
  if (!State.Fleet || !State.IsLead)
    return;
  const auto Merged = State.MemberEvidence.merge(
      Event.Report, baselineMoves(*State.Fleet, Now.Wall));
  if (!Merged.Accepted)
    Effects.push_back(observe::LogEvent{EventId::MoveEvidenceDropped,
                                        Event.Report.Sender.value()});
  for (const auto &[Move, Routes] : Merged.Added)
    for (const auto &[Route, Counts] : Routes)
      pool(Move, Route, Counts, Merged.Crashes);
}

void MonitorHandler::pool(
    const config::MoveId &Move, const core::RouteName &Route,
    const RouteCounts &Counts,
    const std::map<config::MoveId, MoveCrashes> &Crashes) {
  const config::MoveStatus *Status = findMove(*State.Fleet, Move);
  if (Status == nullptr || !isMonitored(*Status, Now.Wall) ||
      !State.PooledWindows.add(Move, Route, Counts))
    return;
  RouteCounts Remaining = Counts;
  if (const auto MoveEntry = Crashes.find(Move); MoveEntry != Crashes.end())
    if (const auto RouteEntry = MoveEntry->second.find(Route);
        RouteEntry != MoveEntry->second.end())
      for (const Crash &Each : RouteEntry->second) {
        // Listed instead of summed, so that the coordinator can also drop
        // crashes that were reported already.
        VersionCounts &Side = Each.OnNewVersion ? Remaining.New : Remaining.Old;
        --Side.Answers;
        --Side.Faults;
        addCrash(State.PooledEvidence, Move, Route, Each);
      }
  State.PooledEvidence.Moves[Move][Route] += Remaining;
  State.PooledChanged = true;
  reportPromptly(Move, Counts);
  evaluate(Move, State.PooledWindows);
}

void MonitorHandler::on(const LocalRollbackReceived &Event) {
  const bool AppliesHere = Event.Rollback.DataCentre == State.DataCentre ||
                           Event.Rollback.DataCentre == core::DataCentreId();
  if (!AppliesHere || !State.LocalRollbacks.add(Event.Rollback))
    return;
  if (State.Fleet)
    State.LocalRollbacks.prune(*State.Fleet);
  if (State.IsLead)
    sendRollback(Event.Rollback);
}

void MonitorHandler::on(const LeadershipChanged &Event) {
  if (State.IsLead && !Event.IsLead) {
    // From now on the members report to another lead. Those counts must not be
    // added again if this node becomes the lead later.
    State.MemberEvidence = {};
    State.PooledWindows = MoveWindows(LocalSharedFaultSignificance);
  }
  State.IsLead = Event.IsLead;
}

void MonitorHandler::on(const Tick &) {
  if (!State.Fleet)
    return;
  if (Now.Mono >= State.NextReportAt) {
    eraseUnmonitored();
    reportEvidence();
  }
  if (Now.Mono >= State.NextRollbackSendAt) {
    State.NextRollbackSendAt = Now.Mono + LocalRollbackSendPeriod;
    resendRollbacks();
  }
}

void MonitorHandler::reportPromptly(const config::MoveId &Id,
                                    const RouteCounts &Added) {
  const config::MoveStatus *Move = findMove(*State.Fleet, Id);
  const bool IsCanary = Move != nullptr && Move->Share <= CanaryShare &&
                        Move->Stage == config::MoveStage::InProgress;
  if (!IsCanary || Added.New.Faults + Added.Old.Faults == 0)
    return;
  if (Now.Mono >= State.NextPromptReportAt)
    reportEvidence();
  else
    State.NextReportAt = std::min(State.NextReportAt, State.NextPromptReportAt);
}

void MonitorHandler::reportEvidence() {
  State.NextReportAt = Now.Mono + EvidencePeriod;
  State.NextPromptReportAt = Now.Mono + MinEvidenceInterval;
  State.OwnWindows.closePeriod();
  State.PooledWindows.closePeriod();
  if (State.OwnChanged) {
    ++State.OwnEvidence.Revision;
    Effects.push_back(SendEvidence{Recipient::Lead, State.OwnEvidence});
  }
  if (State.PooledChanged && State.IsLead) {
    ++State.PooledEvidence.Revision;
    Effects.push_back(
        SendEvidence{Recipient::Coordinator, State.PooledEvidence});
  }
  State.OwnChanged = false;
  State.PooledChanged = false;
}

void MonitorHandler::resendRollbacks() {
  for (const config::MoveStatus &Move : State.Fleet->Moves)
    for (const LocalRollback &Rollback : State.LocalRollbacks.forMove(Move.Id))
      sendRollback(Rollback);
}

Step<MonitorState, MonitorEffects> MonitorHandler::finish() {
  auto Moves = State.LocalRollbacks.activeMoves(State.DataCentre);
  if (Moves != State.ActiveRollbacks) {
    State.ActiveRollbacks = Moves;
    Effects.push_back(LocalRollbacksChanged{std::move(Moves)});
  }
  return {std::move(State), std::move(Effects)};
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
  MonitorHandler Handler(std::move(State), Now);
  std::visit([&](const auto &Alternative) { Handler.on(Alternative); }, Event);
  return Handler.finish();
}

} // namespace filbertvane::decision::rollout
