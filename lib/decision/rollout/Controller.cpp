#include "filbertvane/decision/rollout/Controller.h"
#include "MoveDriver.h"
#include "filbertvane/decision/rollout/RolloutPolicy.h"

namespace filbertvane::decision::rollout {

namespace {

/// Handles the events of one call of `reduce`.
class ControllerHandler {
public:
  ControllerHandler(ControllerState Initial, core::Instant Now)
      : State(std::move(Initial)), Now(Now) {}

  void on(const FleetChanged &Event);
  void on(const EvidenceReceived &Event);
  void on(const LocalRollbackReceived &Event);
  void on(const SlotsChanged &Event);
  void on(const DataCentreReported &Event);
  void on(const DataCentreLost &Event);
  void on(const LeaseGained &Event);
  void on(const LeaseLost &);
  void on(const LogAvailabilityChanged &Event) {
    State.LogAvailable = Event.Available;
  }
  void on(const Tick &);

  void driveMoves();
  Step<ControllerState, ControllerEffects> finish() {
    return {std::move(State), std::move(Effects)};
  }

private:
  void eraseUnmonitored();
  void reportInForce();
  bool isReported(const config::InForceReported &Report) const;

  ControllerState State;
  core::Instant Now;
  ControllerEffects Effects;
};

void ControllerHandler::on(const FleetChanged &Event) {
  State.Fleet = Event.State;
  State.LocalRollbacks.prune(*State.Fleet);
  eraseUnmonitored();
}

void ControllerHandler::eraseUnmonitored() {
  const auto Monitored = monitoredMoves(*State.Fleet, Now.Wall);
  State.EvidenceBySender.retain(Monitored);
  std::erase_if(State.MoveContexts, [&](const auto &Entry) {
    return !Monitored.contains(Entry.first);
  });
  for (const config::MoveId &Move : State.Windows.moves())
    if (!Monitored.contains(Move))
      State.Windows.reset(Move);
}

void ControllerHandler::on(const EvidenceReceived &Event) {
  if (!State.Fleet)
    return;
  const auto Merged = State.EvidenceBySender.merge(
      Event.Report,
      baselineMoves(*State.Fleet, Now.Wall, Now.Mono < State.TakeoverUntil));
  if (!Merged.Accepted)
    Effects.push_back(observe::LogEvent{observe::EventId::MoveEvidenceDropped,
                                        Event.Report.Sender.value()});
  const auto Monitored = monitoredMoves(*State.Fleet, Now.Wall);
  for (const auto &[Move, Routes] : Merged.Added)
    for (const auto &[Route, Counts] : Routes)
      if (Monitored.contains(Move))
        State.Windows.add(Move, Route, Counts);
}

void ControllerHandler::on(const LocalRollbackReceived &Event) {
  State.LocalRollbacks.add(Event.Rollback);
  if (State.Fleet)
    State.LocalRollbacks.prune(*State.Fleet);
}

void ControllerHandler::on(const SlotsChanged &Event) {
  const std::pair Key(Event.Service, Event.Version);
  if (Event.Slots == 0)
    State.SlotsByVersion.erase(Key);
  else
    State.SlotsByVersion[Key] = {Event.Slots, Event.InUse};
}

void ControllerHandler::on(const DataCentreReported &Event) {
  State.DataCentres[Event.DataCentre] = {Event.LowestVersion, std::nullopt};
}

void ControllerHandler::on(const DataCentreLost &Event) {
  State.DataCentres[Event.DataCentre].UnreachableSince = Event.UnreachableSince;
}

void ControllerHandler::on(const LeaseGained &Event) {
  State.LeaseEpoch = Event.Epoch;
  State.TakeoverUntil = Now.Mono + TakeoverReportWindow;
  // Records of an older epoch that have not been read back have no effect.
  State.MoveContexts.clear();
}

void ControllerHandler::on(const LeaseLost &) {
  State.LeaseEpoch.reset();
  State.MoveContexts.clear();
}

void ControllerHandler::on(const Tick &) {
  if (Now.Mono < State.NextPeriodAt)
    return;
  State.NextPeriodAt = Now.Mono + EvidencePeriod;
  State.Windows.closePeriod();
  if (State.Fleet)
    eraseUnmonitored();
  if (Now.Mono < State.NextRollbackPublishAt || !State.LeaseEpoch)
    return;
  State.NextRollbackPublishAt = Now.Mono + LocalRollbackSendPeriod;
  for (const LocalRollback &Rollback : State.LocalRollbacks.forDataCentre({}))
    Effects.push_back(PublishLocalRollback{Rollback});
}

void ControllerHandler::driveMoves() {
  // A lease is lost once a newer claim is in the log, even if this node has not
  // been notified yet.
  if (!State.Fleet || !State.LeaseEpoch ||
      State.Fleet->CurrentEpoch != *State.LeaseEpoch)
    return;
  const auto Fleet = State.Fleet;
  for (const config::MoveStatus &Move : Fleet->Moves)
    if (isMonitored(Move, Now.Wall))
      MoveDriver(State, Move, Now, Effects).drive();
  reportInForce();
}

bool ControllerHandler::isReported(
    const config::InForceReported &Report) const {
  const auto &LastReport = State.Fleet->InForce;
  return LastReport && LastReport->Version == Report.Version &&
         LastReport->Missing == Report.Missing;
}

void ControllerHandler::reportInForce() {
  config::InForceReported Report{
      *State.LeaseEpoch, State.Fleet->SheetVersion, Now.Wall, {}};
  bool Reachable = false;
  for (const auto &[Id, Status] : State.DataCentres) {
    if (Status.UnreachableSince)
      Report.Missing.emplace_back(Id, *Status.UnreachableSince);
    else if (Status.LowestVersion < State.Fleet->SheetVersion)
      return;
    else
      Reachable = true;
  }
  if (!Reachable || !State.LogAvailable || isReported(Report) ||
      Now.Mono < State.InForceRetryAt)
    return;
  State.InForceRetryAt = Now.Mono + ReadBackTimeout;
  Effects.push_back(AppendRecord{Report});
}

} // namespace

Step<ControllerState, ControllerEffects>
reduce(ControllerState State, const ControllerEvent &Event, core::Instant Now) {
  ControllerHandler Handler(std::move(State), Now);
  std::visit([&](const auto &Alternative) { Handler.on(Alternative); }, Event);
  Handler.driveMoves();
  return Handler.finish();
}

} // namespace filbertvane::decision::rollout
