#include "filbertvane/decision/rollout/Controller.h"
#include "MoveDriver.h"
#include "filbertvane/decision/rollout/RolloutPolicy.h"

namespace filbertvane::decision::rollout {

namespace {

/// Handles the events of one call of `reduce`.
class Control {
public:
  Control(ControllerState State, core::Instant Now)
      : S(std::move(State)), Now(Now) {}

  void on(const FleetChanged &Event);
  void on(const EvidenceReceived &Event);
  void on(const LocalRollbackReceived &Event);
  void on(const SlotsChanged &Event);
  void on(const DataCentreReported &Event);
  void on(const DataCentreLost &Event);
  void on(const LeaseGained &Event);
  void on(const LeaseLost &);
  void on(const LogAvailabilityChanged &Event) {
    S.LogAvailable = Event.Available;
  }
  void on(const Tick &);

  void drive();
  Step<ControllerState, ControllerEffects> finish() {
    return {std::move(S), std::move(Out)};
  }

private:
  void forgetUnwatched();
  void reportInForce();
  bool isReported(const config::InForceReported &Report) const;

  ControllerState S;
  core::Instant Now;
  ControllerEffects Out;
};

void Control::on(const FleetChanged &Event) {
  S.Fleet = Event.State;
  S.LocalRollbacks.prune(*S.Fleet);
  forgetUnwatched();
}

void Control::forgetUnwatched() {
  const auto Watched = monitoredMoves(*S.Fleet, Now.Wall);
  S.EvidenceBySender.retain(Watched);
  std::erase_if(S.MoveContexts, [&](const auto &Entry) {
    return !Watched.contains(Entry.first);
  });
  for (const config::MoveId &Move : S.Windows.moves())
    if (!Watched.contains(Move))
      S.Windows.reset(Move);
}

void Control::on(const EvidenceReceived &Event) {
  if (!S.Fleet)
    return;
  const auto Merged = S.EvidenceBySender.merge(
      Event.Report,
      baselineMoves(*S.Fleet, Now.Wall, Now.Mono < S.TakeoverUntil));
  if (!Merged.Accepted)
    Out.push_back(observe::LogEvent{observe::EventId::MoveEvidenceDropped,
                                    Event.Report.Sender.value()});
  const auto Watched = monitoredMoves(*S.Fleet, Now.Wall);
  for (const auto &[Move, Routes] : Merged.Added)
    for (const auto &[Route, Counts] : Routes)
      if (Watched.contains(Move))
        S.Windows.add(Move, Route, Counts);
}

void Control::on(const LocalRollbackReceived &Event) {
  S.LocalRollbacks.add(Event.Rollback);
  if (S.Fleet)
    S.LocalRollbacks.prune(*S.Fleet);
}

void Control::on(const SlotsChanged &Event) {
  const std::pair Key(Event.Service, Event.Version);
  if (Event.Slots == 0)
    S.SlotsByVersion.erase(Key);
  else
    S.SlotsByVersion[Key] = {Event.Slots, Event.InUse};
}

void Control::on(const DataCentreReported &Event) {
  S.DataCentres[Event.DataCentre] = {Event.LowestVersion, std::nullopt};
}

void Control::on(const DataCentreLost &Event) {
  S.DataCentres[Event.DataCentre].UnreachableSince = Event.UnreachableSince;
}

void Control::on(const LeaseGained &Event) {
  S.LeaseEpoch = Event.Epoch;
  S.TakeoverUntil = Now.Mono + TakeoverReportWindow;
  // Records of an older epoch that were not read back have no effect any more.
  S.MoveContexts.clear();
}

void Control::on(const LeaseLost &) {
  S.LeaseEpoch.reset();
  S.MoveContexts.clear();
}

void Control::on(const Tick &) {
  if (Now.Mono < S.NextPeriodAt)
    return;
  S.NextPeriodAt = Now.Mono + EvidencePeriod;
  S.Windows.closePeriod();
  if (S.Fleet)
    forgetUnwatched();
  if (Now.Mono < S.NextRollbackPublishAt || !S.LeaseEpoch)
    return;
  S.NextRollbackPublishAt = Now.Mono + LocalRollbackSendPeriod;
  for (const LocalRollback &Value : S.LocalRollbacks.forDataCentre({}))
    Out.push_back(PublishLocalRollback{Value});
}

void Control::drive() {
  // A lease whose claim was superseded in the log is not held, whatever the
  // lease part says so far.
  if (!S.Fleet || !S.LeaseEpoch || S.Fleet->CurrentEpoch != *S.LeaseEpoch)
    return;
  const auto Fleet = S.Fleet;
  for (const config::MoveStatus &Move : Fleet->Moves)
    if (isMonitored(Move, Now.Wall))
      MoveDriver(S, Move, Now, Out).drive();
  reportInForce();
}

bool Control::isReported(const config::InForceReported &Report) const {
  const auto &Last = S.Fleet->InForce;
  return Last && Last->Version == Report.Version &&
         Last->Missing == Report.Missing;
}

void Control::reportInForce() {
  config::InForceReported Report{
      *S.LeaseEpoch, S.Fleet->SheetVersion, Now.Wall, {}};
  bool Reachable = false;
  for (const auto &[Id, View] : S.DataCentres) {
    if (View.UnreachableSince)
      Report.Missing.emplace_back(Id, *View.UnreachableSince);
    else if (View.LowestVersion < S.Fleet->SheetVersion)
      return;
    else
      Reachable = true;
  }
  if (!Reachable || !S.LogAvailable || isReported(Report) ||
      Now.Mono < S.InForceRetryAt)
    return;
  S.InForceRetryAt = Now.Mono + ReadBackTimeout;
  Out.push_back(AppendRecord{Report});
}

} // namespace

Step<ControllerState, ControllerEffects>
reduce(ControllerState State, const ControllerEvent &Event, core::Instant Now) {
  Control Handler(std::move(State), Now);
  std::visit([&](const auto &Concrete) { Handler.on(Concrete); }, Event);
  Handler.drive();
  return Handler.finish();
}

} // namespace filbertvane::decision::rollout
