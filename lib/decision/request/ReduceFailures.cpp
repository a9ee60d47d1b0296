#include "Reduction.h"
#include "filbertvane/decision/request/Ejection.h"

namespace filbertvane::decision::request {

using core::ErrorCode;

void Reduction::handleForwarded(Call &ActiveCall, const AttemptEnded &Ended,
                                bool Fault) {
  const bool Answered = Ended.End == AttemptEnd::Answered;
  if (Answered && ActiveCall.Slot.Exclusive)
    Fields.KnownSuspects.clear(ActiveCall.RequestDigest);
  if (ServiceState *Service = serviceOf(ActiveCall);
      Service && !ActiveCall.Hosted) {
    if (!Fault)
      Service->Retries.recordSuccess();
    if (Fields.Targets[ActiveCall.CurrentTarget].Distance ==
        Locality::DataCentre)
      Service->Spillover.recordAccepted();
  }
  recordResult(ActiveCall,
               Answered ? claims::ResultState::Answered
                        : claims::ResultState::Unknown,
               Ended.FullAnswer);
  erase(Ended.Id);
}

void Reduction::handleNotRun(Call &ActiveCall, const AttemptEnded &Ended,
                             ErrorCode Reason, bool WasSent) {
  if (ActiveCall.Hosted)
    return refuse(ActiveCall, Reason, Ended.RetriedDownstream);
  if (WasSent)
    recordRefusal(Fields.Targets[ActiveCall.CurrentTarget].Health);
  const bool InDataCentre =
      Fields.Targets[ActiveCall.CurrentTarget].Distance == Locality::DataCentre;
  if (ServiceState *Service = serviceOf(ActiveCall);
      Service && InDataCentre && !Ended.Unreachable)
    Service->Spillover.recordRefused();
  if (!retry(ActiveCall, Ended, WasSent))
    refuse(ActiveCall, Reason, true);
}

void Reduction::refuseQueued(Call &ActiveCall, ErrorCode Reason) {
  releaseTarget(ActiveCall, std::nullopt);
  handleNotRun(ActiveCall, {}, Reason, false);
}

void Reduction::handleNoAnswer(Call &ActiveCall, const AttemptEnded &Ended) {
  ActiveCall.MayHaveRun = true;
  if (ActiveCall.Hosted || !retry(ActiveCall, Ended, true))
    refuse(ActiveCall, ErrorCode::RequestNoAnswer, !ActiveCall.Hosted,
           Ended.TargetCrashed);
}

/// A detached request is not retried: its caller is gone, and a repeat of the
/// key may run it again.
bool Reduction::mayRetry(const Call &ActiveCall,
                         const AttemptEnded &Ended) const {
  const bool Safe = ActiveCall.idempotent() || !ActiveCall.MayHaveRun;
  return Safe && !ActiveCall.Detached && !Ended.RetriedDownstream &&
         ActiveCall.Crashes < CrashesToRefuse &&
         Now.Mono < ActiveCall.Deadline &&
         ActiveCall.Tried.size() < Fields.Config.Bounds.MaxAttempts;
}

/// A refusal by the admission of a local target sent nothing, so that trying
/// another target consumes no retry budget.
bool Reduction::retry(Call &ActiveCall, const AttemptEnded &Ended,
                      bool WasSent) {
  if (!mayRetry(ActiveCall, Ended))
    return false;
  ServiceState *Service = serviceOf(ActiveCall);
  const std::optional<TargetIndex> Index = selectTarget(ActiveCall);
  if (!Service || !Index)
    return false;
  if (WasSent && !Service->Retries.tryConsume()) {
    log(observe::EventId::RequestRetryBudgetEmpty, Service->Name.value());
    return false;
  }
  startAttempt(ActiveCall, *Index);
  return true;
}

/// Only the entry node reports observations; the host node sees the same
/// answers.
void Reduction::reportObservation(const Call &ActiveCall, bool Fault,
                                  bool TargetCrashed) {
  if (ActiveCall.FromNode)
    return;
  const Endpoint &Announcement =
      Fields.Targets[ActiveCall.CurrentTarget].Announcement;
  ObservedAnswer Observation;
  Observation.Service = ActiveCall.Route->Service;
  Observation.Route = ActiveCall.Route->Name;
  Observation.Version = Announcement.Version;
  Observation.Fault = Fault;
  Observation.Latency =
      ActiveCall.TimeToFirstByte.value_or(Now.Mono - ActiveCall.SentAt);
  Observation.Remote = Announcement.DataCentre != Fields.Config.DataCentre;
  Observation.TargetCrashed = TargetCrashed;
  Observation.RequestDigest = ActiveCall.RequestDigest;
  Out.emplace_back(std::move(Observation));
}

/// Each request that was running at the crash is charged with one crash;
/// several requests with the same digest are charged only once.
void Reduction::recordCrash(Call &ActiveCall) {
  ++ActiveCall.Crashes;
  if (Fields.KnownSuspects.record(ActiveCall.RequestDigest, ActiveCall.Crashes,
                                  Now.Mono))
    log(observe::EventId::RequestSuspectLimit, "");
  log(observe::EventId::RequestSuspectAdded,
      std::to_string(ActiveCall.RequestDigest.value()));
  Out.emplace_back(
      SuspectReported{ActiveCall.RequestDigest, ActiveCall.Crashes});
}

} // namespace filbertvane::decision::request
