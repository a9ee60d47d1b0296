#include "Reduction.h"
#include <algorithm>

namespace filbertvane::decision::request {

using claims::ResultState;
using core::ErrorCode;

namespace {

/// Heap entries allowed beyond twice the number of calls before entries of
/// ended calls are removed.
constexpr std::size_t MaxStaleExpiries = 1024;

} // namespace

void Reduction::refuse(core::CallId Id, Outcome Result, core::Error Reason) {
  Out.emplace_back(Refuse{Id, Result, std::move(Reason)});
  erase(Id);
}

void Reduction::refuse(Call &ActiveCall, ErrorCode Reason, bool Retried,
                       bool TargetCrashed) {
  const core::CallId Id = ActiveCall.Id;
  const Outcome Result =
      ActiveCall.MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  recordResult(ActiveCall,
               ActiveCall.MayHaveRun ? ResultState::Unknown
                                     : ResultState::NotRun,
               nullptr);
  if (!ActiveCall.Detached)
    Out.emplace_back(Refuse{Id,
                            Result,
                            {Reason, ActiveCall.Route->Name.value()},
                            Retried,
                            TargetCrashed});
  erase(Id);
}

void Reduction::recordResult(Call &ActiveCall, ResultState Result,
                             std::shared_ptr<const KeptAnswer> Answer) {
  if (!ActiveCall.ClaimsKey)
    return;
  const core::IdempotencyKey Key = *ActiveCall.Key;
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

void Reduction::operator()(const CallerDisconnected &Disconnect) {
  Call *ActiveCall = find(Disconnect.Id);
  if (!ActiveCall)
    return;
  if (ActiveCall->Phase == CallPhase::Sent) {
    // The request of a claimed key continues, so that its answer can be kept
    // for repeats.
    if (ActiveCall->ClaimsKey) {
      ActiveCall->Detached = true;
      return;
    }
    Out.emplace_back(CancelAttempt{Disconnect.Id, ActiveCall->CurrentAttempt});
  }
  const TargetIndex Index = ActiveCall->CurrentTarget;
  const bool HasTarget = ActiveCall->Phase == CallPhase::Sent ||
                         ActiveCall->Phase == CallPhase::Queued;
  if (HasTarget)
    releaseTarget(*ActiveCall, std::nullopt);
  if (ActiveCall->Phase == CallPhase::Claiming)
    abandonClaim(*ActiveCall);
  else
    recordResult(*ActiveCall, ResultState::NotRun, nullptr);
  erase(Disconnect.Id);
  if (HasTarget)
    serveQueue(Index);
}

void Reduction::addExpiry(const Call &ActiveCall) {
  auto &Heap = Fields.Expiries;
  if (Heap.size() > 2 * Fields.Calls.size() + MaxStaleExpiries) {
    std::erase_if(Heap, [this](const Expiry &Entry) {
      return !Fields.Calls.contains(Entry.Id);
    });
    std::make_heap(Heap.begin(), Heap.end(), std::greater<>());
  }
  Heap.push_back({ActiveCall.Deadline, ActiveCall.Id});
  std::push_heap(Heap.begin(), Heap.end(), std::greater<>());
}

/// An answer that has started is not cancelled: its length is unknown, and the
/// sender monitors the connection.
void Reduction::expire(Call &ActiveCall) {
  switch (ActiveCall.Phase) {
  case CallPhase::Claiming: {
    const core::CallId Id = ActiveCall.Id;
    abandonClaim(ActiveCall);
    return refuse(Id, Outcome::NotRun, {ErrorCode::ClaimUndecided, ""});
  }
  case CallPhase::AwaitingResult:
  case CallPhase::AwaitingOwner:
    return refuse(ActiveCall.Id, Outcome::Unknown,
                  {ErrorCode::RequestDeadlinePassed, "waiting for the owner"});
  case CallPhase::Queued: {
    const TargetIndex Index = ActiveCall.CurrentTarget;
    releaseTarget(ActiveCall, std::nullopt);
    refuse(ActiveCall, ErrorCode::RequestDeadlinePassed, !ActiveCall.Hosted);
    return serveQueue(Index);
  }
  case CallPhase::Sent:
    break;
  }
  if (ActiveCall.TimeToFirstByte)
    return;
  const TargetIndex Index = ActiveCall.CurrentTarget;
  Out.emplace_back(CancelAttempt{ActiveCall.Id, ActiveCall.CurrentAttempt});
  reportObservation(ActiveCall, true);
  recordHealth(Index, true, Now.Mono - ActiveCall.SentAt);
  releaseTarget(ActiveCall, std::nullopt);
  ActiveCall.MayHaveRun = true;
  refuse(ActiveCall, ErrorCode::RequestDeadlinePassed, !ActiveCall.Hosted);
  serveQueue(Index);
}

void Reduction::operator()(const Tick &) {
  while (!Fields.Expiries.empty() &&
         Fields.Expiries.front().Deadline <= Now.Mono) {
    const core::CallId Id = Fields.Expiries.front().Id;
    std::pop_heap(Fields.Expiries.begin(), Fields.Expiries.end(),
                  std::greater<>());
    Fields.Expiries.pop_back();
    if (Call *ActiveCall = find(Id))
      expire(*ActiveCall);
  }
  reviewTargets();
  for (auto &[Index, Local] : Fields.LocalTargets)
    serveQueue(Index);
  Fields.KnownSuspects.expire(Now.Mono);
}

} // namespace filbertvane::decision::request
