#include "filbertvane/decision/rollout/Controller.h"
#include "MoveDriver.h"
#include "filbertvane/decision/rollout/Judgement.h"

namespace filbertvane::decision::rollout {

namespace {

/// Handles the events of one call of `reduce`.
class Control {
public:
  Control(ControllerState State, core::Instant Now)
      : S(std::move(State)), Now(Now) {}

  void on(const FleetChanged &Event);
  void on(const EvidenceReceived &Event);
  void on(const OverlayReceived &Event);
  void on(const SlotsChanged &Event);
  void on(const DataCentreReported &Event);
  void on(const DataCentreLost &Event);
  void on(const LeaseGained &Event);
  void on(const LeaseLost &);
  void on(const LogAvailability &Event) { S.LogUp = Event.Up; }
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
  S.Overlays.prune(*S.Fleet);
  forgetUnwatched();
}

void Control::forgetUnwatched() {
  const auto Watched = watchedMoves(*S.Fleet, Now.Wall);
  S.Table.retain(Watched);
  std::erase_if(S.Watches, [&](const auto &Entry) {
    return !Watched.contains(Entry.first);
  });
  for (const config::MoveId &Move : S.Windows.moves())
    if (!Watched.contains(Move))
      S.Windows.reset(Move);
}

void Control::on(const EvidenceReceived &Event) {
  if (!S.Fleet)
    return;
  const auto Merged =
      S.Table.merge(Event.Report, inheritedMoves(*S.Fleet, Now.Wall,
                                                 Now.Mono < S.TakeoverUntil));
  if (!Merged.Kept)
    Out.push_back(observe::LogEvent{observe::EventId::MoveEvidenceLimit,
                                    Event.Report.Sender.value()});
  const auto Watched = watchedMoves(*S.Fleet, Now.Wall);
  for (const auto &[Move, Routes] : Merged.Added)
    for (const auto &[Route, Counts] : Routes)
      if (Watched.contains(Move))
        S.Windows.add(Move, Route, Counts);
}

void Control::on(const OverlayReceived &Event) {
  S.Overlays.add(Event.Value);
  if (S.Fleet)
    S.Overlays.prune(*S.Fleet);
}

void Control::on(const SlotsChanged &Event) {
  const std::pair Key(Event.Service, Event.Version);
  if (Event.Slots == 0)
    S.Slots.erase(Key);
  else
    S.Slots[Key] = {Event.Slots, Event.InUse};
}

void Control::on(const DataCentreReported &Event) {
  S.DataCentres[Event.DataCentre] = {Event.Lowest, std::nullopt};
}

void Control::on(const DataCentreLost &Event) {
  S.DataCentres[Event.DataCentre].MissingSince = Event.Since;
}

void Control::on(const LeaseGained &Event) {
  S.Lease = Event.Epoch;
  S.TakeoverUntil = Now.Mono + TakeoverReports;
  // Records of an older epoch that were not read back have no effect any more.
  S.Watches.clear();
}

void Control::on(const LeaseLost &) {
  S.Lease.reset();
  S.Watches.clear();
}

void Control::on(const Tick &) {
  if (Now.Mono < S.NextPeriod)
    return;
  S.NextPeriod = Now.Mono + EvidencePeriod;
  S.Windows.closePeriod();
  if (S.Fleet)
    forgetUnwatched();
  if (Now.Mono < S.NextOverlays || !S.Lease)
    return;
  S.NextOverlays = Now.Mono + OverlayPeriod;
  for (const Overlay &Value : S.Overlays.inDataCentre({}))
    Out.push_back(PublishOverlay{Value});
}

void Control::drive() {
  // A lease whose claim was superseded in the log is not held, whatever the
  // lease part says so far.
  if (!S.Fleet || !S.Lease || S.Fleet->CurrentEpoch != *S.Lease)
    return;
  const auto Fleet = S.Fleet;
  for (const config::MoveStatus &Move : Fleet->Moves)
    if (watched(Move, Now.Wall))
      MoveDriver(S, Move, Now, Out).drive();
  reportInForce();
}

bool Control::isReported(const config::InForceReported &Report) const {
  const auto &Last = S.Fleet->InForce;
  return Last && Last->Version == Report.Version &&
         Last->Missing == Report.Missing;
}

void Control::reportInForce() {
  config::InForceReported Report{*S.Lease, S.Fleet->SheetVersion, Now.Wall, {}};
  bool Reachable = false;
  for (const auto &[Id, View] : S.DataCentres) {
    if (View.MissingSince)
      Report.Missing.emplace_back(Id, *View.MissingSince);
    else if (View.Lowest < S.Fleet->SheetVersion)
      return;
    else
      Reachable = true;
  }
  if (!Reachable || !S.LogUp || isReported(Report) ||
      Now.Mono < S.InForceRetryAt)
    return;
  S.InForceRetryAt = Now.Mono + ReadBackTime;
  Out.push_back(Append{Report});
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
