#include "filbertvane/decision/rollout/LocalGuard.h"
#include "filbertvane/decision/rollout/Judgement.h"
#include <algorithm>

namespace filbertvane::decision::rollout {

namespace {

using observe::EventId;

/// Handles the events of one call of `reduce`.
class Guard {
public:
  Guard(GuardState State, core::Instant Now) : S(std::move(State)), Now(Now) {}

  void on(const FleetChanged &Event);
  void on(const request::ObservedAnswer &Answer);
  void on(const EvidenceReceived &Event);
  void on(const OverlayReceived &Event);
  void on(const LeadershipChanged &Event);
  void on(const Tick &);

  Step<GuardState, GuardEffects> finish();

private:
  void decide(const config::MoveId &Id, MoveWindows &Windows);
  void decideAll();
  void spread(const Overlay &Value);
  void startStages(const config::FleetState &Next);
  void forgetUnwatched();
  void pool(const config::MoveId &Move, const core::RouteName &Route,
            const RouteCounts &Counts,
            const std::map<config::MoveId, MoveCrashes> &Crashes);
  void reportEvidence();
  void reportPromptly(const config::MoveId &Id, const RouteCounts &Added);
  void repeatOverlays();

  GuardState S;
  core::Instant Now;
  GuardEffects Out;
};

void Guard::on(const FleetChanged &Event) {
  startStages(*Event.State);
  S.Fleet = Event.State;
  S.Counter.noteShares(*S.Fleet, Now.Mono);
  for (const Overlay &Ended : S.Overlays.prune(*S.Fleet)) {
    Out.push_back(
        observe::LogEvent{EventId::MoveOverlayEnded, toString(Ended.Move)});
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
    S.OwnWindows.startStage(Move->Id);
    S.PooledWindows.startStage(Move->Id);
  }
}

void Guard::forgetUnwatched() {
  const auto Watched = watchedMoves(*S.Fleet, Now.Wall);
  const auto Forget = [&](const auto &Entry) {
    return !Watched.contains(Entry.first);
  };
  std::erase_if(S.Own.Moves, Forget);
  std::erase_if(S.Pooled.Moves, Forget);
  std::erase_if(S.Own.Crashes, Forget);
  std::erase_if(S.Pooled.Crashes, Forget);
  S.Members.retain(Watched);
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
  if (Move == nullptr || !withdraws(*Move, Found))
    return;
  // A suspicion is settled by the coordinator alone: answers of the old version
  // after the withdrawal say nothing about the time of the faults.
  if (!S.Overlays.of(Id).empty())
    return;
  const Overlay Made{Id,
                     S.DataCentre,
                     Move->Share,
                     Now.Wall,
                     Found.Level == Finding::Proven,
                     verdictOf(Route, Found)};
  if (!S.Overlays.add(Made))
    return;
  Out.push_back(observe::LogEvent{EventId::MoveOverlayMade,
                                  toString(Id) + ": " + Made.Decided.Reason});
  spread(Made);
}

void Guard::spread(const Overlay &Value) {
  if (!S.IsLead) {
    if (Value.DataCentre == S.DataCentre)
      Out.push_back(SendOverlay{Receiver::Lead, Value});
    return;
  }
  Out.push_back(SendOverlay{Receiver::Members, Value});
  if (Value.DataCentre == S.DataCentre)
    Out.push_back(SendOverlay{Receiver::Coordinator, Value});
}

void Guard::on(const request::ObservedAnswer &Answer) {
  if (!S.Fleet)
    return;
  const auto Counted = S.Counter.record(Answer, *S.Fleet, Now);
  if (!Counted)
    return;
  if (!S.OwnWindows.add(Counted->Move, Counted->Route, Counted->Added)) {
    Out.push_back(
        observe::LogEvent{EventId::MoveEvidenceLimit, Counted->Route.value()});
    return;
  }
  if (Counted->Crashed)
    list(S.Own, Counted->Move, Counted->Route, *Counted->Crashed);
  else
    S.Own.Moves[Counted->Move][Counted->Route] += Counted->Added;
  S.OwnChanged = true;
  reportPromptly(Counted->Move, Counted->Added);
  if (Counted->Added.New.Answers > 0)
    decide(Counted->Move, S.OwnWindows);
}

void Guard::on(const EvidenceReceived &Event) {
  if (!S.Fleet || !S.IsLead)
    return;
  const auto Merged =
      S.Members.merge(Event.Report, inheritedMoves(*S.Fleet, Now.Wall));
  if (!Merged.Kept)
    Out.push_back(observe::LogEvent{EventId::MoveEvidenceLimit,
                                    Event.Report.Sender.value()});
  for (const auto &[Move, Routes] : Merged.Added)
    for (const auto &[Route, Counts] : Routes)
      pool(Move, Route, Counts, Merged.Crashes);
}

void Guard::pool(const config::MoveId &Move, const core::RouteName &Route,
                 const RouteCounts &Counts,
                 const std::map<config::MoveId, MoveCrashes> &Crashes) {
  const config::MoveStatus *Status = findMove(*S.Fleet, Move);
  if (Status == nullptr || !watched(*Status, Now.Wall) ||
      !S.PooledWindows.add(Move, Route, Counts))
    return;
  RouteCounts Summed = Counts;
  if (const auto Of = Crashes.find(Move); Of != Crashes.end())
    if (const auto On = Of->second.find(Route); On != Of->second.end())
      for (const Crash &Each : On->second) {
        // Listed, not summed, so that the coordinator drops repetitions too.
        VersionCounts &Side = Each.OfNew ? Summed.New : Summed.Old;
        --Side.Answers;
        --Side.Faults;
        list(S.Pooled, Move, Route, Each);
      }
  S.Pooled.Moves[Move][Route] += Summed;
  S.PooledChanged = true;
  reportPromptly(Move, Counts);
  decide(Move, S.PooledWindows);
}

void Guard::on(const OverlayReceived &Event) {
  const bool IsForHere = Event.Value.DataCentre == S.DataCentre ||
                         Event.Value.DataCentre == core::DataCentreId();
  if (!IsForHere || !S.Overlays.add(Event.Value))
    return;
  if (S.Fleet)
    S.Overlays.prune(*S.Fleet);
  if (S.IsLead)
    spread(Event.Value);
}

void Guard::on(const LeadershipChanged &Event) {
  if (S.IsLead && !Event.IsLead) {
    // Another lead counts from now on; what members report to it must not be
    // added again when this node leads once more.
    S.Members = {};
    S.PooledWindows = MoveWindows(LocalSharedFaultChance);
  }
  S.IsLead = Event.IsLead;
}

void Guard::on(const Tick &) {
  if (!S.Fleet)
    return;
  if (Now.Mono >= S.NextReport) {
    forgetUnwatched();
    reportEvidence();
  }
  if (Now.Mono >= S.NextOverlays) {
    S.NextOverlays = Now.Mono + OverlayPeriod;
    repeatOverlays();
  }
}

void Guard::reportPromptly(const config::MoveId &Id, const RouteCounts &Added) {
  const config::MoveStatus *Move = findMove(*S.Fleet, Id);
  const bool IsCanary = Move != nullptr && Move->Share <= CanaryShare &&
                        Move->Stage == config::MoveStage::InProgress;
  if (!IsCanary || Added.New.Faults + Added.Old.Faults == 0)
    return;
  if (Now.Mono >= S.NextPromptReport)
    reportEvidence();
  else
    S.NextReport = std::min(S.NextReport, S.NextPromptReport);
}

void Guard::reportEvidence() {
  S.NextReport = Now.Mono + EvidencePeriod;
  S.NextPromptReport = Now.Mono + PromptEvidencePeriod;
  S.OwnWindows.closePeriod();
  S.PooledWindows.closePeriod();
  if (S.OwnChanged) {
    ++S.Own.Revision;
    Out.push_back(SendEvidence{Receiver::Lead, S.Own});
  }
  if (S.PooledChanged && S.IsLead) {
    ++S.Pooled.Revision;
    Out.push_back(SendEvidence{Receiver::Coordinator, S.Pooled});
  }
  S.OwnChanged = false;
  S.PooledChanged = false;
}

void Guard::repeatOverlays() {
  for (const config::MoveStatus &Move : S.Fleet->Moves)
    for (const Overlay &Value : S.Overlays.of(Move.Id))
      spread(Value);
}

Step<GuardState, GuardEffects> Guard::finish() {
  auto Moves = S.Overlays.inForce(S.DataCentre);
  if (Moves != S.InForce) {
    S.InForce = Moves;
    Out.push_back(LocalRollbacksChanged{std::move(Moves)});
  }
  return {std::move(S), std::move(Out)};
}

} // namespace

GuardState guardOf(core::NodeId Self, core::Incarnation SelfIncarnation,
                   core::DataCentreId DataCentre) {
  GuardState State;
  State.Own.Sender = Self;
  State.Own.SenderIncarnation = SelfIncarnation;
  State.Pooled.Sender = Self;
  State.Pooled.SenderIncarnation = SelfIncarnation;
  State.Self = std::move(Self);
  State.SelfIncarnation = SelfIncarnation;
  State.DataCentre = std::move(DataCentre);
  return State;
}

Step<GuardState, GuardEffects> reduce(GuardState State, const GuardEvent &Event,
                                      core::Instant Now) {
  Guard Handler(std::move(State), Now);
  std::visit([&](const auto &Concrete) { Handler.on(Concrete); }, Event);
  return Handler.finish();
}

} // namespace filbertvane::decision::rollout
