#include "Reduction.h"
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

using core::ErrorCode;

bool Reduction::isOutdated(const TargetAnnounced &What) const {
  if (!State.Target)
    return false;
  const TargetAnnounced &Last = State.Target->Announcement;
  if (What.ProcessStart != Last.ProcessStart)
    return What.ProcessStart < Last.ProcessStart;
  return What.Id == Last.Id && What.Sequence <= Last.Sequence;
}

void Reduction::replaceTarget(const TargetAnnounced &What) {
  LocalTarget Fresh;
  Fresh.Generation = ++State.LastTargetGeneration;
  State.Target = Fresh;
  State.Slots.targetRestarted();
  log(observe::EventId::MeshTargetAnnounced,
      fmt::format("target={} service={} version={} slots={} born={} "
                  "cold_ms={}",
                  What.Id.value(), What.Service.value(), What.Version.value(),
                  What.Slots, What.ProcessStart, What.RemainingWarmup.count()));
}

void Reduction::operator()(const TargetAnnounced &What) {
  if (isOutdated(What)) {
    log(observe::EventId::MeshAnnouncementRejected,
        fmt::format("target={} born={} sequence={} reason=outdated",
                    What.Id.value(), What.ProcessStart, What.Sequence));
    return;
  }
  const bool Known =
      State.Target && State.Target->Announcement.Id == What.Id &&
      (State.Target->Inherited ||
       State.Target->Announcement.ProcessStart == What.ProcessStart);
  const bool Other = !Known;
  if (Other)
    replaceTarget(What);
  LocalTarget &Target = *State.Target;
  Target.Inherited = false;
  Target.Announcement = What;
  Target.LastAnnouncedAt = Now;
  Target.WarmAt = Now + What.RemainingWarmup;
  State.Slots.resize(What.Slots);
  if (What.Draining || hasDeparted(What)) {
    setTargetState(TargetState::Draining,
                   What.Draining ? "announced" : "known_to_leave");
    return;
  }
  if (Other) {
    if (State.StoreReachable)
      Produced.emplace_back(PublishReport{makeHostReport(State, Now)});
    return reportToAll();
  }
  // A target that reported that it leaves stays so for its life.
  if (Target.State == TargetState::Down) {
    setTargetState(TargetState::Ready, "announced");
    dispatchQueue();
  }
}

void Reduction::operator()(const TargetDeregistered &What) {
  if (State.Target && State.Target->Announcement.Id == What.Id)
    return setTargetState(TargetState::Draining, "deregistered");
  // The process started after the last announcement of this target.
  if (!State.Target)
    recordDeparture({What.Id, 0});
}

/// Also true when the target was acknowledged by a former process of the node,
/// which the acknowledgement binds as well.
bool Reduction::hasDeparted(const TargetAnnounced &What) const {
  if (!State.Departed || State.Departed->Id != What.Id)
    return false;
  if (State.Departed->ProcessStart == 0)
    return Now - State.DepartedAt < MaximumAnnouncementDelay;
  return State.Departed->ProcessStart == What.ProcessStart;
}

void Reduction::recordDeparture(DepartedTarget Which) {
  if (State.Departed == Which)
    return;
  State.Departed = std::move(Which);
  State.DepartedAt = Now;
  if (State.StoreReachable)
    Produced.emplace_back(PublishReport{makeHostReport(State, Now)});
}

void Reduction::setTargetState(TargetState To, std::string_view Why) {
  LocalTarget &Target = *State.Target;
  if (Target.State == To ||
      (To == TargetState::Ready && hasDeparted(Target.Announcement)))
    return;
  Target.State = To;
  if (To == TargetState::Draining)
    recordDeparture({Target.Announcement.Id, Target.Announcement.ProcessStart});
  using observe::EventId;
  const EventId Id = To == TargetState::Ready      ? EventId::MeshTargetUp
                     : To == TargetState::Draining ? EventId::MeshTargetDraining
                                                   : EventId::MeshTargetDown;
  log(Id,
      fmt::format("target={} reason={}", Target.Announcement.Id.value(), Why));
  if (To == TargetState::Down)
    refuseQueued(ErrorCode::RequestNoTarget);
  reportToAll();
}

void Reduction::refuseQueued(ErrorCode Why) {
  std::vector<core::CallId> Queued;
  for (const auto &[Id, Call] : State.Calls)
    if (Call.Phase == CallPhase::Queued)
      Queued.push_back(Id);
  for (const core::CallId Id : Queued) {
    MeshCall *Call = find(Id);
    if (Call == nullptr)
      continue;
    State.Slots.withdraw(Id);
    if (Call->FromPeer) {
      refuse(*Call, Why);
      continue;
    }
    Call->TriedHosts.push_back(State.Settings.Node);
    place(*Call);
  }
}

/// A target that ended without a word announces nothing and answers nothing.
void Reduction::checkTargetSilence() {
  if (!State.Target || State.Target->State != TargetState::Ready)
    return;
  const LocalTarget &Target = *State.Target;
  // It may have told the former process that it leaves while the store was
  // away.
  if (Target.Inherited && Now - Target.LastAnnouncedAt > InheritedTargetTimeout)
    return setTargetState(TargetState::Down, "not_announced");
  if (Now - Target.LastAnnouncedAt > TargetSilenceTimeout &&
      Now - Target.LastAnswerAt > TargetSilenceTimeout)
    setTargetState(TargetState::Down, "silent");
}

} // namespace filbertvane::decision::mesh
