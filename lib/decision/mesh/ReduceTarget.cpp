#include "Reduction.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

using core::ErrorCode;

bool Reduction::isOutdated(const TargetAnnounced &Announcement) const {
  if (!State.Target)
    return false;
  const TargetAnnounced &Last = State.Target->Announcement;
  if (Announcement.ProcessStart != Last.ProcessStart)
    return Announcement.ProcessStart < Last.ProcessStart;
  return Announcement.Id == Last.Id && Announcement.Sequence <= Last.Sequence;
}

void Reduction::replaceTarget(const TargetAnnounced &Announcement) {
  LocalTarget NewTarget;
  NewTarget.Generation = ++State.LastTargetGeneration;
  State.Target = NewTarget;
  State.Slots.targetRestarted();
  State.Runs.clear();
  log(observe::EventId::MeshTargetAnnounced,
      fmt::format("target={} service={} version={} slots={} born={} "
                  "cold_ms={}",
                  Announcement.Id.value(), Announcement.Service.value(),
                  Announcement.Version.value(), Announcement.Slots,
                  Announcement.ProcessStart,
                  Announcement.RemainingWarmup.count()));
}

void Reduction::operator()(const TargetAnnounced &Announcement) {
  if (isOutdated(Announcement)) {
    log(observe::EventId::MeshAnnouncementRejected,
        fmt::format("target={} born={} sequence={} reason=outdated",
                    Announcement.Id.value(), Announcement.ProcessStart,
                    Announcement.Sequence));
    return;
  }
  const bool SameProcess =
      State.Target && State.Target->Announcement.Id == Announcement.Id &&
      State.Target->Announcement.ProcessStart == Announcement.ProcessStart;
  const bool Replaced = !SameProcess;
  if (Replaced && State.Target)
    recordSilentCrash("replaced");
  if (Replaced)
    replaceTarget(Announcement);
  else
    recordSignOfLife();
  LocalTarget &Target = *State.Target;
  Target.Announcement = Announcement;
  Target.LastAnnouncedAt = Now;
  Target.WarmAt = Now + Announcement.RemainingWarmup;
  Target.MayBeCold = false;
  State.Slots.resize(Announcement.Slots);
  applyColdLimit();
  applyFormerLimit();
  if (Announcement.Draining || hasDeparted(Announcement)) {
    setTargetState(TargetState::Draining,
                   Announcement.Draining ? "announced" : "known_to_leave");
    return;
  }
  if (Replaced) {
    if (State.StoreReachable)
      Produced.emplace_back(PublishReport{makeHostReport(State, Now)});
    return reportToAll();
  }
  // A target that announced its departure stays draining until its process
  // ends.
  if (Target.State == TargetState::Down) {
    setTargetState(TargetState::Ready, "announced");
    dispatchQueue();
  }
}

void Reduction::operator()(const TargetDeregistered &Deregistered) {
  DepartedTarget Departing{Deregistered.Id, Deregistered.ProcessStart};
  if (State.Target) {
    const TargetAnnounced &Last = State.Target->Announcement;
    // A late call of a process before the one that runs now.
    if (Departing.ProcessStart != 0 &&
        Departing.ProcessStart < Last.ProcessStart)
      return;
    if (Departing.Id == Last.Id) {
      setTargetState(TargetState::Draining, "deregistered");
      // A newer process under the same id took the place of the known one.
      if (Departing.ProcessStart == 0)
        return;
    }
  }
  // The target may have left before its first announcement arrived.
  recordDeparture(std::move(Departing));
}

/// Also true when a previous process of the node acknowledged the departure:
/// the acknowledgement binds this process as well.
bool Reduction::hasDeparted(const TargetAnnounced &Announcement) const {
  if (!State.Departed || State.Departed->Id != Announcement.Id)
    return false;
  if (State.Departed->ProcessStart == 0)
    return Now - State.DepartedAt < MaximumAnnouncementDelay;
  return State.Departed->ProcessStart == Announcement.ProcessStart;
}

/// A previous process of this node acknowledged the departure, as the store or
/// another node knows. An announcement that the target sent before may arrive
/// later.
bool Reduction::adoptDeparture(const DepartedTarget &Target) {
  if (!isLater(Target, State.Departed))
    return false;
  State.Departed = Target;
  State.DepartedAt = Now;
  log(observe::EventId::MeshDepartureAdopted,
      fmt::format("target={} born={}", Target.Id.value(), Target.ProcessStart));
  if (State.Target && hasDeparted(State.Target->Announcement)) {
    // The time of the acknowledgement is not known.
    if (State.Settings.TargetDrainTime)
      State.Target->LeavesAt = Now;
    setTargetState(TargetState::Draining, "known_to_leave");
  }
  return true;
}

void Reduction::recordDeparture(DepartedTarget Target) {
  if (State.Departed == Target)
    return;
  State.Departed = std::move(Target);
  State.DepartedAt = Now;
  if (State.StoreReachable)
    Produced.emplace_back(PublishReport{makeHostReport(State, Now)});
}

void Reduction::setTargetState(TargetState NewState, std::string_view Reason) {
  LocalTarget &Target = *State.Target;
  if (Target.State == NewState ||
      (NewState == TargetState::Ready && hasDeparted(Target.Announcement)))
    return;
  Target.State = NewState;
  if (NewState == TargetState::Ready)
    Target.LeavesAt = core::TimePoint::max();
  if (NewState == TargetState::Draining) {
    recordDeparture({Target.Announcement.Id, Target.Announcement.ProcessStart});
    if (State.Settings.TargetDrainTime)
      Target.LeavesAt =
          std::min(Target.LeavesAt, Now + *State.Settings.TargetDrainTime);
  }
  using observe::EventId;
  const EventId Id = NewState == TargetState::Ready ? EventId::MeshTargetUp
                     : NewState == TargetState::Draining
                         ? EventId::MeshTargetDraining
                         : EventId::MeshTargetDown;
  log(Id, fmt::format("target={} reason={}", Target.Announcement.Id.value(),
                      Reason));
  if (NewState == TargetState::Down)
    refuseQueued(ErrorCode::RequestNoTarget, {});
  reportToAll();
  if (NewState == TargetState::Draining)
    boundQueuedCallsByExit();
}

/// Applies what the target of a call stated in its answer. The answer binds
/// this node even if the host of the target forgets it by a restart.
void Reduction::applyStatement(const MeshCall &Call,
                               const request::TargetStatement &Statement) {
  if (Call.Phase == CallPhase::AtPeer) {
    if (Statement.Leaving)
      State.Hosts.markLeaving(Call.CurrentHost,
                              {Call.CurrentTarget, Now + LeavingTargetMemory});
    return;
  }
  if (!State.Target || State.Target->Generation != Call.TargetGeneration)
    return;
  State.Target->Answered = true;
  applyRateLimit(Statement);
  if (Statement.Leaving)
    setTargetState(TargetState::Draining, "answer");
}

/// The target can be reached from this host only, so that one limit here keeps
/// the rate of all nodes together.
void Reduction::applyColdLimit() {
  if (!State.Target)
    return;
  const LocalTarget &Target = *State.Target;
  const config::Service *Service =
      State.Routing ? State.Routing->findService(Target.Announcement.Service)
                    : nullptr;
  const bool Cold = Target.MayBeCold || Now < Target.WarmAt;
  std::optional<double> PerSecond;
  if (Cold && Service != nullptr && Service->ColdRequestsPerSecond > 0)
    PerSecond = Service->ColdRequestsPerSecond;
  const bool WasLimited = State.Slots.coldLimit().has_value();
  State.Slots.setColdLimit(PerSecond, Now);
  if (WasLimited == PerSecond.has_value())
    return;
  log(observe::EventId::MeshTargetCold,
      fmt::format("target={} per_second={:.1f} cold_ms={}",
                  Target.Announcement.Id.value(), PerSecond.value_or(0),
                  std::chrono::duration_cast<core::Milliseconds>(
                      std::max(Target.WarmAt, Now) - Now)
                      .count()));
  // Entry nodes that know place their requests elsewhere.
  reportToAll();
}

void Reduction::applyRateLimit(const request::TargetStatement &Statement) {
  const std::optional<double> Before = State.Slots.rateLimit();
  State.Slots.setRateLimit(Statement.RequestsPerSecond, Now);
  if (Before.has_value() == Statement.RequestsPerSecond.has_value())
    return;
  log(observe::EventId::MeshTargetRateLimit,
      fmt::format("target={} per_second={:.1f} before={:.1f}",
                  State.Target->Announcement.Id.value(),
                  State.Slots.rateLimit().value_or(0), Before.value_or(0)));
}

/// A restarted node reads the limit from the store, so that it does not send
/// the target a burst before the first answer.
void Reduction::publishRateLimitIfChanged() {
  const bool IsLimited = State.Slots.rateLimit().has_value();
  if (IsLimited == State.RateLimitPublished || !State.StoreReachable ||
      Now < State.NextRateLimitPublishAt)
    return;
  State.RateLimitPublished = IsLimited;
  State.NextRateLimitPublishAt = Now + RateLimitPublishPeriod;
  Produced.emplace_back(PublishReport{makeHostReport(State, Now)});
}

/// Requests that wait here are refused, or placed elsewhere if a caller sent
/// them to this node.
/// @param Concerns which of them; all when empty
void Reduction::refuseQueued(
    ErrorCode Reason, const std::function<bool(const MeshCall &)> &Concerns) {
  std::vector<core::CallId> Queued;
  for (const auto &[Id, Call] : State.Calls)
    if (Call.Phase == CallPhase::Queued && (!Concerns || Concerns(Call)))
      Queued.push_back(Id);
  for (const core::CallId Id : Queued) {
    MeshCall *Call = find(Id);
    if (Call == nullptr)
      continue;
    State.Slots.withdraw(Id);
    if (Call->FromPeer) {
      refuse(*Call, Reason);
      continue;
    }
    Call->TriedHosts.push_back(State.Settings.Node);
    place(*Call);
  }
}

/// A target that crashed sends neither announcements nor answers.
void Reduction::checkTargetSilence() {
  if (Now - State.LastTickAt > MaximumTickGap)
    State.RunsSince = Now;
  State.LastTickAt = Now;
  if (!State.Target || State.Target->State != TargetState::Ready)
    return;
  const LocalTarget &Target = *State.Target;
  const core::TimePoint LastSign =
      std::max({Target.LastAnnouncedAt, Target.LastAnswerAt, State.RunsSince});
  if (Now - LastSign > CrashSilenceTimeout)
    recordSilentCrash("silent");
  if (Now - Target.LastAnnouncedAt > TargetSilenceTimeout &&
      Now - Target.LastAnswerAt > TargetSilenceTimeout)
    setTargetState(TargetState::Down, "silent");
}

} // namespace filbertvane::decision::mesh
