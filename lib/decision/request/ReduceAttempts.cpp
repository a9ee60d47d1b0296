#include "Reduction.h"

namespace filbertvane::decision::request {

using core::ErrorCode;

void Reduction::begin(Call &Which, TargetIndex At) {
  Target &To = Next.Targets[At];
  Which.At = At;
  Which.Tried.push_back(At);
  Which.BytesInFlight = Which.ContentLength;
  To.BytesInFlight += Which.BytesInFlight;
  ++To.Outstanding;
  const auto Own = Next.OwnTargets.find(At);
  if (Own == Next.OwnTargets.end())
    return send(Which);
  Which.Slot = {Which.Id, Which.Route->Kind, Which.Deadline,
                Which.ContentLength, Which.Crashes > 0};
  const Admitted Verdict = Own->second.arrive(Which.Slot, Now.Mono);
  switch (Verdict.What) {
  case Admitted::Kind::Start:
    return send(Which);
  case Admitted::Kind::Wait:
    Which.Phase = CallPhase::Queued;
    if (Which.Slot.Alone)
      serveQueue(At);
    return;
  case Admitted::Kind::Refuse:
    if (Verdict.Why == ErrorCode::RequestQueueFull)
      log(observe::EventId::RequestQueueLimit, To.Place.Target.value());
    Which.Phase = CallPhase::Queued;
    release(Which, std::nullopt);
    return notRun(Which, {}, Verdict.Why, false);
  }
}

void Reduction::send(Call &Which) {
  const Target &To = Next.Targets[Which.At];
  Which.Phase = CallPhase::Sent;
  Which.Current = core::AttemptId(++Next.LastAttempt);
  Which.SentAt = Now.Mono;
  Which.FirstByte.reset();
  StartAttempt Start;
  Start.Id = Which.Id;
  Start.Attempt = Which.Current;
  Start.To = {To.Place.Node, To.Own, To.Place.Address, To.Place.Target,
              To.Place.Version};
  // An entry node of another data centre selects the target itself.
  if (To.Near != Locality::DataCentre)
    Start.To.Target = core::TargetId();
  Start.Deadline = Which.Deadline;
  Start.Service = Which.Route->Service;
  Start.Route = Which.Route->Name;
  Start.NeedsProvenConnection = !Which.idempotent();
  Start.KeepAnswer = Which.Runner;
  Start.Crashes = Which.Crashes;
  Out.emplace_back(std::move(Start));
}

void Reduction::release(Call &Which, std::optional<core::Microseconds> Took) {
  Target &At = Next.Targets[Which.At];
  --At.Outstanding;
  At.BytesInFlight -= Which.BytesInFlight;
  Which.BytesInFlight = 0;
  const auto Own = Next.OwnTargets.find(Which.At);
  if (Own == Next.OwnTargets.end())
    return;
  if (Which.Phase == CallPhase::Sent)
    Own->second.finished(Which.Slot, Took);
  else
    Own->second.withdraw(Which.Slot);
}

void Reduction::serveQueue(TargetIndex At) {
  const auto Own = Next.OwnTargets.find(At);
  if (Own == Next.OwnTargets.end())
    return;
  while (const auto Turn = Own->second.next(Now.Mono)) {
    Call *Which = find(Turn->Id);
    if (!Which)
      continue;
    if (Turn->Verdict.What == Admitted::Kind::Start)
      send(*Which);
    else
      refuseQueued(*Which, Turn->Verdict.Why);
  }
}

void Reduction::operator()(const AnswerStarted &What) {
  Call *Which = find(What.Id);
  if (!Which || Which->Phase != CallPhase::Sent ||
      Which->Current != What.Attempt || Which->FirstByte)
    return;
  Which->FirstByte = Now.Mono - Which->SentAt;
  Which->Status = What.Status;
  Which->BytesInFlight += What.ContentLength;
  Next.Targets[Which->At].BytesInFlight += What.ContentLength;
  const auto Own = Next.OwnTargets.find(Which->At);
  if (Own != Next.OwnTargets.end())
    Own->second.addBytes(Which->Slot, What.ContentLength);
}

void Reduction::operator()(const AttemptEnded &What) {
  Call *Which = find(What.Id);
  if (!Which || Which->Phase != CallPhase::Sent ||
      Which->Current != What.Attempt)
    return;
  const TargetIndex At = Which->At;
  const core::Microseconds Took = Now.Mono - Which->SentAt;
  const bool Answered = What.End == AttemptEnd::Answered;
  if (What.End == AttemptEnd::NotRun && !Which->FirstByte) {
    if (What.Unreachable)
      noteHealth(At, true, Took);
    release(*Which, std::nullopt);
    notRun(*Which, What, ErrorCode::RequestRefusedByTarget, true);
    return serveQueue(At);
  }
  const int Status = Answered ? What.Status : Which->Status;
  const bool Fault = !Answered || Status >= 500;
  if (What.TargetCrashed)
    noteCrash(*Which);
  // A version that crashes on any request must be found, so crashes are
  // evidence too; the counter leaves out repeats of the same request.
  observe(*Which, Fault, What.TargetCrashed);
  noteHealth(At, Fault, Which->FirstByte.value_or(Took));
  release(*Which, Answered ? std::optional(Took) : std::nullopt);
  if (Answered || Which->FirstByte || What.End == AttemptEnd::BrokenOff)
    passedOn(*Which, What, Fault);
  else
    noAnswer(*Which, What);
  serveQueue(At);
}

} // namespace filbertvane::decision::request
