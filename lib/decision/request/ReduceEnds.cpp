#include "Reduction.h"
#include <algorithm>

namespace filbertvane::decision::request {

using claims::ResultState;
using core::ErrorCode;

namespace {

/// Deadlines of ended calls that are kept before they are removed.
constexpr std::size_t SpareExpiries = 1024;

} // namespace

void Reduction::refuse(core::CallId Id, Outcome Result, core::Error Why) {
  Out.emplace_back(Refuse{Id, Result, std::move(Why)});
  erase(Id);
}

void Reduction::refuse(Call &Which, ErrorCode Why, bool Retried,
                       bool TargetCrashed) {
  const core::CallId Id = Which.Id;
  const Outcome Result = Which.MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  recordResult(Which,
               Which.MayHaveRun ? ResultState::Unknown : ResultState::NotRun,
               nullptr);
  if (!Which.Detached)
    Out.emplace_back(Refuse{
        Id, Result, {Why, Which.Route->Name.value()}, Retried, TargetCrashed});
  erase(Id);
}

void Reduction::recordResult(Call &Which, ResultState Result,
                             std::shared_ptr<const KeptAnswer> Answer) {
  if (!Which.ClaimsKey)
    return;
  const core::IdempotencyKey Key = *Which.Key;
  const auto Waiting =
      Fields.Results.recordResult(Key, Result, std::move(Answer));
  if (Fields.Results.takeLimitReached())
    log(observe::EventId::ClaimResultLimit, "");
  const claims::KeptResults::Entry *Entry = Fields.Results.find(Key);
  for (core::CallId Id : Waiting)
    if (Entry)
      answerRepeat(Id, *Entry);
    else if (find(Id))
      refuse(Id, Outcome::Unknown, {ErrorCode::ClaimResultNotKept, ""});
}

void Reduction::operator()(const CallerDisconnected &What) {
  Call *Which = find(What.Id);
  if (!Which)
    return;
  if (Which->Phase == CallPhase::Sent) {
    // The answer of a claimed request is kept for a repeat.
    if (Which->ClaimsKey) {
      Which->Detached = true;
      return;
    }
    Out.emplace_back(CancelAttempt{What.Id, Which->CurrentAttempt});
  }
  const TargetIndex At = Which->CurrentTarget;
  const bool HasTarget =
      Which->Phase == CallPhase::Sent || Which->Phase == CallPhase::Queued;
  if (HasTarget)
    releaseTarget(*Which, std::nullopt);
  if (Which->Phase == CallPhase::Claiming)
    abandonClaim(*Which);
  else
    recordResult(*Which, ResultState::NotRun, nullptr);
  erase(What.Id);
  if (HasTarget)
    serveQueue(At);
}

void Reduction::addExpiry(const Call &Which) {
  auto &Heap = Fields.Expiries;
  if (Heap.size() > 2 * Fields.Calls.size() + SpareExpiries) {
    std::erase_if(Heap, [this](const Expiry &Entry) {
      return !Fields.Calls.contains(Entry.Id);
    });
    std::make_heap(Heap.begin(), Heap.end(), std::greater<>());
  }
  Heap.push_back({Which.Deadline, Which.Id});
  std::push_heap(Heap.begin(), Heap.end(), std::greater<>());
}

/// An answer that started goes on: its length is unknown, and its connection
/// is watched by the sender.
void Reduction::expire(Call &Which) {
  switch (Which.Phase) {
  case CallPhase::Claiming: {
    const core::CallId Id = Which.Id;
    abandonClaim(Which);
    return refuse(Id, Outcome::NotRun, {ErrorCode::ClaimUndecided, ""});
  }
  case CallPhase::AwaitingResult:
  case CallPhase::AwaitingOwner:
    return refuse(Which.Id, Outcome::Unknown,
                  {ErrorCode::RequestDeadlinePassed, "waiting for the owner"});
  case CallPhase::Queued: {
    const TargetIndex At = Which.CurrentTarget;
    releaseTarget(Which, std::nullopt);
    refuse(Which, ErrorCode::RequestDeadlinePassed, !Which.Hosted);
    return serveQueue(At);
  }
  case CallPhase::Sent:
    break;
  }
  if (Which.TimeToFirstByte)
    return;
  const TargetIndex At = Which.CurrentTarget;
  Out.emplace_back(CancelAttempt{Which.Id, Which.CurrentAttempt});
  reportObservation(Which, true);
  recordHealth(At, true, Now.Mono - Which.SentAt);
  releaseTarget(Which, std::nullopt);
  Which.MayHaveRun = true;
  refuse(Which, ErrorCode::RequestDeadlinePassed, !Which.Hosted);
  serveQueue(At);
}

void Reduction::operator()(const Tick &) {
  while (!Fields.Expiries.empty() &&
         Fields.Expiries.front().Deadline <= Now.Mono) {
    const core::CallId Id = Fields.Expiries.front().Id;
    std::pop_heap(Fields.Expiries.begin(), Fields.Expiries.end(),
                  std::greater<>());
    Fields.Expiries.pop_back();
    if (Call *Which = find(Id))
      expire(*Which);
  }
  reviewTargets();
  for (auto &[At, Own] : Fields.LocalTargets)
    serveQueue(At);
  Fields.KnownSuspects.expire(Now.Mono);
}

} // namespace filbertvane::decision::request
