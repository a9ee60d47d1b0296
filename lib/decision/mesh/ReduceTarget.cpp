#include "Reduction.h"
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

using core::ErrorCode;

bool Reduction::outdated(const TargetAnnounced &What) const {
  if (!State.Target)
    return false;
  const TargetAnnounced &Last = State.Target->Last;
  if (What.Born != Last.Born)
    return What.Born < Last.Born;
  return What.Id == Last.Id && What.Sequence <= Last.Sequence;
}

void Reduction::targetReplaced(const TargetAnnounced &What) {
  OwnTarget Fresh;
  Fresh.Life = ++State.Lives;
  State.Target = Fresh;
  State.Slots.restarted();
  log(observe::EventId::MeshTargetAnnounced,
      fmt::format("target={} service={} version={} slots={} born={} "
                  "cold_ms={}",
                  What.Id.value(), What.Service.value(), What.Version.value(),
                  What.Slots, What.Born, What.ColdLeft.count()));
}

void Reduction::operator()(const TargetAnnounced &What) {
  if (outdated(What)) {
    log(observe::EventId::MeshAnnouncementRefused,
        fmt::format("target={} born={} sequence={} reason=outdated",
                    What.Id.value(), What.Born, What.Sequence));
    return;
  }
  const bool Known =
      State.Target && State.Target->Last.Id == What.Id &&
      (State.Target->Inherited || State.Target->Last.Born == What.Born);
  const bool Other = !Known;
  if (Other)
    targetReplaced(What);
  OwnTarget &Target = *State.Target;
  Target.Inherited = false;
  Target.Last = What;
  Target.HeardAt = Now;
  Target.WarmAt = Now + What.ColdLeft;
  State.Slots.resize(What.Slots);
  if (What.Draining || leaves(What)) {
    setTargetState(TargetState::Draining,
                   What.Draining ? "announced" : "known_to_leave");
    return;
  }
  if (Other) {
    if (State.StoreReachable)
      Out.emplace_back(PublishReport{ownReport(State, Now)});
    return reportToAll();
  }
  // A target that reported that it leaves stays so for its life.
  if (Target.State == TargetState::Down) {
    setTargetState(TargetState::Ready, "announced");
    serveQueue();
  }
}

void Reduction::operator()(const TargetDeregistered &What) {
  if (State.Target && State.Target->Last.Id == What.Id)
    return setTargetState(TargetState::Draining, "deregistered");
  // The process started after the last announcement of this target.
  if (!State.Target)
    noteLeaving({What.Id, 0});
}

/// Also true when the target was acknowledged by a former process of the node,
/// which the acknowledgement binds as well.
bool Reduction::leaves(const TargetAnnounced &What) const {
  if (!State.Left || State.Left->Id != What.Id)
    return false;
  if (State.Left->Born == 0)
    return Now - State.LeftAt < LateAnnouncements;
  return State.Left->Born == What.Born;
}

void Reduction::noteLeaving(LeftTarget Which) {
  if (State.Left == Which)
    return;
  State.Left = std::move(Which);
  State.LeftAt = Now;
  if (State.StoreReachable)
    Out.emplace_back(PublishReport{ownReport(State, Now)});
}

void Reduction::setTargetState(TargetState To, std::string_view Why) {
  OwnTarget &Target = *State.Target;
  if (Target.State == To || (To == TargetState::Ready && leaves(Target.Last)))
    return;
  Target.State = To;
  if (To == TargetState::Draining)
    noteLeaving({Target.Last.Id, Target.Last.Born});
  using observe::EventId;
  const EventId Id = To == TargetState::Ready      ? EventId::MeshTargetUp
                     : To == TargetState::Draining ? EventId::MeshTargetDraining
                                                   : EventId::MeshTargetDown;
  log(Id, fmt::format("target={} reason={}", Target.Last.Id.value(), Why));
  if (To == TargetState::Down)
    refuseQueue(ErrorCode::RequestNoTarget);
  reportToAll();
}

void Reduction::refuseQueue(ErrorCode Why) {
  std::vector<core::CallId> Queued;
  for (const auto &[Id, Call] : State.Calls)
    if (Call.Phase == CallPhase::Queued)
      Queued.push_back(Id);
  for (const core::CallId Id : Queued) {
    MeshCall *Call = find(Id);
    if (Call == nullptr)
      continue;
    State.Slots.withdraw(Id);
    if (Call->Hosted) {
      refuse(*Call, Why);
      continue;
    }
    Call->Tried.push_back(State.Own.Node);
    place(*Call);
  }
}

/// A target that ended without a word announces nothing and answers nothing.
void Reduction::checkTarget() {
  if (!State.Target || State.Target->State != TargetState::Ready)
    return;
  const OwnTarget &Target = *State.Target;
  // It may have told the former process that it leaves while the store was
  // away.
  if (Target.Inherited && Now - Target.HeardAt > UnconfirmedTargetFor)
    return setTargetState(TargetState::Down, "not_announced");
  if (Now - Target.HeardAt > SilentTargetAfter &&
      Now - Target.AnsweredAt > SilentTargetAfter)
    setTargetState(TargetState::Down, "silent");
}

} // namespace filbertvane::decision::mesh
