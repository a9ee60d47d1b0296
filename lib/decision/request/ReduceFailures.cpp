#include "Reduction.h"
#include "filbertvane/decision/request/Ejection.h"

namespace filbertvane::decision::request {

using core::ErrorCode;

void Reduction::handleForwarded(Call &Which, const AttemptEnded &What,
                                bool Fault) {
  const bool Answered = What.End == AttemptEnd::Answered;
  if (Answered && Which.Slot.Exclusive)
    Fields.KnownSuspects.clear(Which.RequestDigest);
  if (ServiceState *Service = serviceOf(Which); Service && !Which.Hosted) {
    if (!Fault)
      Service->Retries.recordSuccess();
    if (Fields.Targets[Which.CurrentTarget].Distance == Locality::DataCentre)
      Service->Spillover.recordAccepted();
  }
  recordResult(Which,
               Answered ? claims::ResultState::Answered
                        : claims::ResultState::Unknown,
               What.FullAnswer);
  erase(What.Id);
}

void Reduction::handleNotRun(Call &Which, const AttemptEnded &What,
                             ErrorCode Why, bool WasSent) {
  if (Which.Hosted)
    return refuse(Which, Why, What.RetriedDownstream);
  if (WasSent)
    recordRefusal(Fields.Targets[Which.CurrentTarget].Health);
  const bool Near =
      Fields.Targets[Which.CurrentTarget].Distance == Locality::DataCentre;
  if (ServiceState *Service = serviceOf(Which);
      Service && Near && !What.Unreachable)
    Service->Spillover.recordRefused();
  if (!retry(Which, What, WasSent))
    refuse(Which, Why, true);
}

void Reduction::refuseQueued(Call &Which, ErrorCode Why) {
  releaseTarget(Which, std::nullopt);
  handleNotRun(Which, {}, Why, false);
}

void Reduction::handleNoAnswer(Call &Which, const AttemptEnded &What) {
  Which.MayHaveRun = true;
  if (Which.Hosted || !retry(Which, What, true))
    refuse(Which, ErrorCode::RequestNoAnswer, !Which.Hosted,
           What.TargetCrashed);
}

/// A request whose caller left and that did not run is left to its repeats.
bool Reduction::mayRetry(const Call &Which, const AttemptEnded &What) const {
  const bool Safe = Which.idempotent() || !Which.MayHaveRun;
  return Safe && !Which.Detached && !What.RetriedDownstream &&
         Which.Crashes < CrashesToRefuse && Now.Mono < Which.Deadline &&
         Which.Tried.size() < Fields.Config.Bounds.MaxAttempts;
}

/// A refusal by the own target's admission sent nothing, so trying another
/// target costs no budget.
bool Reduction::retry(Call &Which, const AttemptEnded &What, bool WasSent) {
  if (!mayRetry(Which, What))
    return false;
  ServiceState *Service = serviceOf(Which);
  const std::optional<TargetIndex> At = selectTarget(Which);
  if (!Service || !At)
    return false;
  if (WasSent && !Service->Retries.tryConsume()) {
    log(observe::EventId::RequestRetryBudgetEmpty, Service->Name.value());
    return false;
  }
  startAttempt(Which, *At);
  return true;
}

/// Only the entry node observes: the host node sees the same answers.
void Reduction::reportObservation(const Call &Which, bool Fault,
                                  bool TargetCrashed) {
  if (Which.FromNode)
    return;
  const Endpoint &Place = Fields.Targets[Which.CurrentTarget].Announcement;
  ObservedAnswer Seen;
  Seen.Service = Which.Route->Service;
  Seen.Route = Which.Route->Name;
  Seen.Version = Place.Version;
  Seen.Fault = Fault;
  Seen.Latency = Which.TimeToFirstByte.value_or(Now.Mono - Which.SentAt);
  Seen.Remote = Place.DataCentre != Fields.Config.DataCentre;
  Seen.TargetCrashed = TargetCrashed;
  Seen.RequestDigest = Which.RequestDigest;
  Out.emplace_back(std::move(Seen));
}

/// Requests that ran together get one crash each, and one with the same digest
/// as another gets no second one.
void Reduction::recordCrash(Call &Which) {
  ++Which.Crashes;
  if (Fields.KnownSuspects.record(Which.RequestDigest, Which.Crashes, Now.Mono))
    log(observe::EventId::RequestSuspectLimit, "");
  log(observe::EventId::RequestSuspectAdded,
      std::to_string(Which.RequestDigest.value()));
  Out.emplace_back(SuspectReported{Which.RequestDigest, Which.Crashes});
}

} // namespace filbertvane::decision::request
