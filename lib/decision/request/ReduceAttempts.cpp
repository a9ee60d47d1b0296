#include "Reduction.h"

namespace filbertvane::decision::request {

using core::ErrorCode;

void Reduction::startAttempt(Call &ActiveCall, TargetIndex Index) {
  Target &To = Fields.Targets[Index];
  ActiveCall.CurrentTarget = Index;
  ActiveCall.Tried.push_back(Index);
  ActiveCall.BytesInFlight = ActiveCall.ContentLength;
  To.BytesInFlight += ActiveCall.BytesInFlight;
  ++To.Outstanding;
  const auto Local = Fields.LocalTargets.find(Index);
  if (Local == Fields.LocalTargets.end())
    return sendAttempt(ActiveCall);
  ActiveCall.Slot = {ActiveCall.Id, ActiveCall.Route->Kind, ActiveCall.Deadline,
                     ActiveCall.ContentLength, ActiveCall.Crashes > 0};
  const AdmissionDecision Decision =
      Local->second.admit(ActiveCall.Slot, Now.Mono);
  switch (Decision.Action) {
  case AdmissionDecision::Kind::Start:
    return sendAttempt(ActiveCall);
  case AdmissionDecision::Kind::Wait:
    ActiveCall.Phase = CallPhase::Queued;
    if (ActiveCall.Slot.Exclusive)
      serveQueue(Index);
    return;
  case AdmissionDecision::Kind::Refuse:
    if (Decision.Reason == ErrorCode::RequestQueueFull)
      log(observe::EventId::RequestQueueLimit, To.Announcement.Target.value());
    ActiveCall.Phase = CallPhase::Queued;
    releaseTarget(ActiveCall, std::nullopt);
    return handleNotRun(ActiveCall, {}, Decision.Reason, false);
  }
}

void Reduction::sendAttempt(Call &ActiveCall) {
  const Target &To = Fields.Targets[ActiveCall.CurrentTarget];
  ActiveCall.Phase = CallPhase::Sent;
  ActiveCall.CurrentAttempt = core::AttemptId(++Fields.LastAttemptId);
  ActiveCall.SentAt = Now.Mono;
  ActiveCall.TimeToFirstByte.reset();
  StartAttempt Start;
  Start.Id = ActiveCall.Id;
  Start.Attempt = ActiveCall.CurrentAttempt;
  Start.To = {To.Announcement.Node, To.Local, To.Announcement.Address,
              To.Announcement.Target, To.Announcement.Version};
  // An entry node of another data centre selects the target itself.
  if (To.Distance != Locality::DataCentre)
    Start.To.Target = core::TargetId();
  Start.Deadline = ActiveCall.Deadline;
  Start.Service = ActiveCall.Route->Service;
  Start.Route = ActiveCall.Route->Name;
  Start.NeedsVerifiedConnection = !ActiveCall.idempotent();
  Start.KeepAnswer = ActiveCall.ClaimsKey;
  Start.Crashes = ActiveCall.Crashes;
  Out.emplace_back(std::move(Start));
}

void Reduction::releaseTarget(Call &ActiveCall,
                              std::optional<core::Microseconds> Duration) {
  Target &Used = Fields.Targets[ActiveCall.CurrentTarget];
  --Used.Outstanding;
  Used.BytesInFlight -= ActiveCall.BytesInFlight;
  ActiveCall.BytesInFlight = 0;
  const auto Local = Fields.LocalTargets.find(ActiveCall.CurrentTarget);
  if (Local == Fields.LocalTargets.end())
    return;
  if (ActiveCall.Phase == CallPhase::Sent)
    Local->second.finish(ActiveCall.Slot, Duration);
  else
    Local->second.withdraw(ActiveCall.Slot);
}

void Reduction::serveQueue(TargetIndex Index) {
  const auto Local = Fields.LocalTargets.find(Index);
  if (Local == Fields.LocalTargets.end())
    return;
  while (const auto Next = Local->second.dequeue(Now.Mono)) {
    Call *ActiveCall = find(Next->Id);
    if (!ActiveCall)
      continue;
    if (Next->Decision.Action == AdmissionDecision::Kind::Start)
      sendAttempt(*ActiveCall);
    else
      refuseQueued(*ActiveCall, Next->Decision.Reason);
  }
}

void Reduction::operator()(const AnswerStarted &Started) {
  Call *ActiveCall = find(Started.Id);
  if (!ActiveCall || ActiveCall->Phase != CallPhase::Sent ||
      ActiveCall->CurrentAttempt != Started.Attempt ||
      ActiveCall->TimeToFirstByte)
    return;
  ActiveCall->TimeToFirstByte = Now.Mono - ActiveCall->SentAt;
  ActiveCall->Status = Started.Status;
  ActiveCall->BytesInFlight += Started.ContentLength;
  Fields.Targets[ActiveCall->CurrentTarget].BytesInFlight +=
      Started.ContentLength;
  const auto Local = Fields.LocalTargets.find(ActiveCall->CurrentTarget);
  if (Local != Fields.LocalTargets.end())
    Local->second.addBytes(ActiveCall->Slot, Started.ContentLength);
}

void Reduction::operator()(const AttemptEnded &Ended) {
  Call *ActiveCall = find(Ended.Id);
  if (!ActiveCall || ActiveCall->Phase != CallPhase::Sent ||
      ActiveCall->CurrentAttempt != Ended.Attempt)
    return;
  const TargetIndex Index = ActiveCall->CurrentTarget;
  const core::Microseconds Duration = Now.Mono - ActiveCall->SentAt;
  const bool Answered = Ended.End == AttemptEnd::Answered;
  if (Ended.End == AttemptEnd::NotRun && !ActiveCall->TimeToFirstByte) {
    if (Ended.Unreachable)
      recordHealth(Index, true, Duration);
    releaseTarget(*ActiveCall, std::nullopt);
    handleNotRun(*ActiveCall, Ended, ErrorCode::RequestRefusedByTarget, true);
    return serveQueue(Index);
  }
  const int Status = Answered ? Ended.Status : ActiveCall->Status;
  const bool Fault = !Answered || Status >= 500;
  if (Ended.TargetCrashed)
    recordCrash(*ActiveCall);
  // Crashes count as evidence, so that a version that crashes on any request is
  // detected. Repeats of the same request are counted once when the evidence is
  // evaluated.
  reportObservation(*ActiveCall, Fault, Ended.TargetCrashed);
  recordHealth(Index, Fault, ActiveCall->TimeToFirstByte.value_or(Duration));
  releaseTarget(*ActiveCall, Answered ? std::optional(Duration) : std::nullopt);
  if (Answered || ActiveCall->TimeToFirstByte ||
      Ended.End == AttemptEnd::Truncated)
    handleForwarded(*ActiveCall, Ended, Fault);
  else
    handleNoAnswer(*ActiveCall, Ended);
  serveQueue(Index);
}

} // namespace filbertvane::decision::request
