#include "Reduction.h"

namespace filbertvane::decision::request {

using core::ErrorCode;

void Reduction::startAttempt(Call &Which, TargetIndex At) {
  Target &To = Fields.Targets[At];
  Which.CurrentTarget = At;
  Which.Tried.push_back(At);
  Which.BytesInFlight = Which.ContentLength;
  To.BytesInFlight += Which.BytesInFlight;
  ++To.Outstanding;
  const auto Own = Fields.LocalTargets.find(At);
  if (Own == Fields.LocalTargets.end())
    return sendAttempt(Which);
  Which.Slot = {Which.Id, Which.Route->Kind, Which.Deadline,
                Which.ContentLength, Which.Crashes > 0};
  const AdmissionDecision Verdict = Own->second.admit(Which.Slot, Now.Mono);
  switch (Verdict.Action) {
  case AdmissionDecision::Kind::Start:
    return sendAttempt(Which);
  case AdmissionDecision::Kind::Wait:
    Which.Phase = CallPhase::Queued;
    if (Which.Slot.Exclusive)
      serveQueue(At);
    return;
  case AdmissionDecision::Kind::Refuse:
    if (Verdict.Reason == ErrorCode::RequestQueueFull)
      log(observe::EventId::RequestQueueLimit, To.Announcement.Target.value());
    Which.Phase = CallPhase::Queued;
    releaseTarget(Which, std::nullopt);
    return handleNotRun(Which, {}, Verdict.Reason, false);
  }
}

void Reduction::sendAttempt(Call &Which) {
  const Target &To = Fields.Targets[Which.CurrentTarget];
  Which.Phase = CallPhase::Sent;
  Which.CurrentAttempt = core::AttemptId(++Fields.LastAttemptId);
  Which.SentAt = Now.Mono;
  Which.TimeToFirstByte.reset();
  StartAttempt Start;
  Start.Id = Which.Id;
  Start.Attempt = Which.CurrentAttempt;
  Start.To = {To.Announcement.Node, To.Local, To.Announcement.Address,
              To.Announcement.Target, To.Announcement.Version};
  // An entry node of another data centre selects the target itself.
  if (To.Distance != Locality::DataCentre)
    Start.To.Target = core::TargetId();
  Start.Deadline = Which.Deadline;
  Start.Service = Which.Route->Service;
  Start.Route = Which.Route->Name;
  Start.NeedsVerifiedConnection = !Which.idempotent();
  Start.KeepAnswer = Which.ClaimsKey;
  Start.Crashes = Which.Crashes;
  Out.emplace_back(std::move(Start));
}

void Reduction::releaseTarget(Call &Which,
                              std::optional<core::Microseconds> Took) {
  Target &At = Fields.Targets[Which.CurrentTarget];
  --At.Outstanding;
  At.BytesInFlight -= Which.BytesInFlight;
  Which.BytesInFlight = 0;
  const auto Own = Fields.LocalTargets.find(Which.CurrentTarget);
  if (Own == Fields.LocalTargets.end())
    return;
  if (Which.Phase == CallPhase::Sent)
    Own->second.finish(Which.Slot, Took);
  else
    Own->second.withdraw(Which.Slot);
}

void Reduction::serveQueue(TargetIndex At) {
  const auto Own = Fields.LocalTargets.find(At);
  if (Own == Fields.LocalTargets.end())
    return;
  while (const auto Turn = Own->second.dequeue(Now.Mono)) {
    Call *Which = find(Turn->Id);
    if (!Which)
      continue;
    if (Turn->Decision.Action == AdmissionDecision::Kind::Start)
      sendAttempt(*Which);
    else
      refuseQueued(*Which, Turn->Decision.Reason);
  }
}

void Reduction::operator()(const AnswerStarted &What) {
  Call *Which = find(What.Id);
  if (!Which || Which->Phase != CallPhase::Sent ||
      Which->CurrentAttempt != What.Attempt || Which->TimeToFirstByte)
    return;
  Which->TimeToFirstByte = Now.Mono - Which->SentAt;
  Which->Status = What.Status;
  Which->BytesInFlight += What.ContentLength;
  Fields.Targets[Which->CurrentTarget].BytesInFlight += What.ContentLength;
  const auto Own = Fields.LocalTargets.find(Which->CurrentTarget);
  if (Own != Fields.LocalTargets.end())
    Own->second.addBytes(Which->Slot, What.ContentLength);
}

void Reduction::operator()(const AttemptEnded &What) {
  Call *Which = find(What.Id);
  if (!Which || Which->Phase != CallPhase::Sent ||
      Which->CurrentAttempt != What.Attempt)
    return;
  const TargetIndex At = Which->CurrentTarget;
  const core::Microseconds Took = Now.Mono - Which->SentAt;
  const bool Answered = What.End == AttemptEnd::Answered;
  if (What.End == AttemptEnd::NotRun && !Which->TimeToFirstByte) {
    if (What.Unreachable)
      recordHealth(At, true, Took);
    releaseTarget(*Which, std::nullopt);
    handleNotRun(*Which, What, ErrorCode::RequestRefusedByTarget, true);
    return serveQueue(At);
  }
  const int Status = Answered ? What.Status : Which->Status;
  const bool Fault = !Answered || Status >= 500;
  if (What.TargetCrashed)
    recordCrash(*Which);
  // A version that crashes on any request must be found, so crashes are
  // evidence too; the counter leaves out repeats of the same request.
  reportObservation(*Which, Fault, What.TargetCrashed);
  recordHealth(At, Fault, Which->TimeToFirstByte.value_or(Took));
  releaseTarget(*Which, Answered ? std::optional(Took) : std::nullopt);
  if (Answered || Which->TimeToFirstByte || What.End == AttemptEnd::Truncated)
    handleForwarded(*Which, What, Fault);
  else
    handleNoAnswer(*Which, What);
  serveQueue(At);
}

} // namespace filbertvane::decision::request
