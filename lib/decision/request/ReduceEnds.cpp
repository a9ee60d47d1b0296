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
  settle(Which, Which.MayHaveRun ? ResultState::Unknown : ResultState::NotRun,
         nullptr);
  if (!Which.Detached)
    Out.emplace_back(Refuse{
        Id, Result, {Why, Which.Route->Name.value()}, Retried, TargetCrashed});
  erase(Id);
}

void Reduction::settle(Call &Which, ResultState Result,
                       std::shared_ptr<const KeptAnswer> Answer) {
  if (!Which.Runner)
    return;
  const core::IdempotencyKey Key = *Which.Key;
  const auto Waiting = Next.Results.settle(Key, Result, std::move(Answer));
  if (Next.Results.tookLimit())
    log(observe::EventId::ClaimResultLimit, "");
  const claims::KeptResults::Entry *Entry = Next.Results.find(Key);
  for (core::CallId Id : Waiting)
    if (Entry)
      answerRepeat(Id, *Entry);
    else if (find(Id))
      refuse(Id, Outcome::Unknown, {ErrorCode::ClaimResultNotKept, ""});
}

void Reduction::operator()(const CallerGone &What) {
  Call *Which = find(What.Id);
  if (!Which)
    return;
  if (Which->Phase == CallPhase::Sent) {
    // The answer of a claimed request is kept for a repeat.
    if (Which->Runner) {
      Which->Detached = true;
      return;
    }
    Out.emplace_back(CancelAttempt{What.Id, Which->Current});
  }
  const TargetIndex At = Which->At;
  const bool HasTarget =
      Which->Phase == CallPhase::Sent || Which->Phase == CallPhase::Queued;
  if (HasTarget)
    release(*Which, std::nullopt);
  if (Which->Phase == CallPhase::Claiming)
    abandonClaim(*Which);
  else
    settle(*Which, ResultState::NotRun, nullptr);
  erase(What.Id);
  if (HasTarget)
    serveQueue(At);
}

void Reduction::addExpiry(const Call &Which) {
  auto &Heap = Next.Expiries;
  if (Heap.size() > 2 * Next.Calls.size() + SpareExpiries) {
    std::erase_if(Heap, [this](const Expiry &Entry) {
      return !Next.Calls.contains(Entry.Id);
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
    const TargetIndex At = Which.At;
    release(Which, std::nullopt);
    refuse(Which, ErrorCode::RequestDeadlinePassed, !Which.Hosted);
    return serveQueue(At);
  }
  case CallPhase::Sent:
    break;
  }
  if (Which.FirstByte)
    return;
  const TargetIndex At = Which.At;
  Out.emplace_back(CancelAttempt{Which.Id, Which.Current});
  observe(Which, true);
  noteHealth(At, true, Now.Mono - Which.SentAt);
  release(Which, std::nullopt);
  Which.MayHaveRun = true;
  refuse(Which, ErrorCode::RequestDeadlinePassed, !Which.Hosted);
  serveQueue(At);
}

void Reduction::operator()(const Tick &) {
  while (!Next.Expiries.empty() && Next.Expiries.front().At <= Now.Mono) {
    const core::CallId Id = Next.Expiries.front().Id;
    std::pop_heap(Next.Expiries.begin(), Next.Expiries.end(), std::greater<>());
    Next.Expiries.pop_back();
    if (Call *Which = find(Id))
      expire(*Which);
  }
  reviewTargets();
  for (auto &[At, Own] : Next.OwnTargets)
    serveQueue(At);
  Next.Crashed.expire(Now.Mono);
}

} // namespace filbertvane::decision::request
