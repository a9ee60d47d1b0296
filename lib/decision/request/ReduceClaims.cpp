#include "Reduction.h"
#include "filbertvane/decision/request/claims/Key.h"
#include <algorithm>

namespace filbertvane::decision::request {

using claims::KeptResults;
using claims::ResultState;
using core::ErrorCode;

namespace {

core::Error keyReused(const core::IdempotencyKey &Key) {
  return {ErrorCode::ClaimKeyReused, Key.value()};
}

} // namespace

void Reduction::claimOrRepeat(Call &ActiveCall) {
  const auto Checked = claims::checkKey(*ActiveCall.Key, Now.Wall,
                                        Fields.Config.Bounds.ClaimRetention);
  if (!core::ok(Checked))
    return refuse(ActiveCall.Id, Outcome::NotRun, core::failure(Checked));
  KeptResults::Entry *Entry = Fields.Results.find(*ActiveCall.Key);
  if (!Entry) {
    const ClaimOwner Owner{Fields.Config.Self, Fields.Config.Incarnation,
                           ActiveCall.Id};
    return claim(ActiveCall, Fields.Results.insert(*ActiveCall.Key, Owner,
                                                   ActiveCall.RequestDigest));
  }
  if (Entry->RequestDigest != ActiveCall.RequestDigest)
    return refuse(ActiveCall.Id, Outcome::NotRun, keyReused(*ActiveCall.Key));
  if (Entry->State == ResultState::NotRun)
    return claim(ActiveCall, *Entry);
  answerRepeat(ActiveCall.Id, *Entry);
}

/// A request that did not run is claimed again under its first identity,
/// because the log may already contain that claim.
void Reduction::claim(Call &ActiveCall, KeptResults::Entry &Entry) {
  Entry.State = ResultState::Claiming;
  ActiveCall.Phase = CallPhase::Claiming;
  ActiveCall.ClaimsKey = true;
  Out.emplace_back(RequestClaim{ActiveCall.Id, *ActiveCall.Key,
                                ActiveCall.RequestDigest, Entry.Owner,
                                ActiveCall.Deadline});
}

void Reduction::answerRepeat(core::CallId Id, const KeptResults::Entry &Entry) {
  Call *ActiveCall = find(Id);
  if (!ActiveCall)
    return;
  switch (Entry.State) {
  case ResultState::Claiming:
  case ResultState::Running:
    ActiveCall->Phase = CallPhase::AwaitingResult;
    Fields.Results.find(*ActiveCall->Key)->WaitingCalls.push_back(Id);
    return;
  case ResultState::Answered:
    if (!Entry.Answer)
      return refuse(Id, Outcome::Unknown, {ErrorCode::ClaimResultNotKept, ""});
    Out.emplace_back(SendKeptAnswer{Id, Entry.Answer});
    return erase(Id);
  case ResultState::NotRun:
    return refuse(Id, Outcome::NotRun, {ErrorCode::ClaimUndecided, ""});
  case ResultState::Unknown:
    return refuse(Id, Outcome::Unknown, {ErrorCode::ClaimResultNotKept, ""});
  }
}

void Reduction::askOwner(Call &ActiveCall, const ClaimOwner &Owner) {
  const bool OwnProcess = Owner.Node == Fields.Config.Self &&
                          Owner.Incarnation == Fields.Config.Incarnation;
  // The claim of this process was evicted, so its result is unknown.
  if (OwnProcess)
    return refuse(ActiveCall.Id, Outcome::Unknown,
                  {ErrorCode::ClaimResultNotKept, ""});
  ActiveCall.Phase = CallPhase::AwaitingOwner;
  ActiveCall.ClaimsKey = false;
  Out.emplace_back(AnswerFromOwner{ActiveCall.Id, Owner, *ActiveCall.Key,
                                   ActiveCall.RequestDigest,
                                   ActiveCall.Deadline});
}

void Reduction::operator()(const ClaimDecided &Decision) {
  Call *ActiveCall = find(Decision.Id);
  if (!ActiveCall || ActiveCall->Phase != CallPhase::Claiming)
    return;
  KeptResults::Entry *Entry = Fields.Results.find(*ActiveCall->Key);
  if (Decision.Failure) {
    const core::Error Reason = *Decision.Failure;
    recordResult(*ActiveCall, ResultState::NotRun, nullptr);
    return refuse(Decision.Id, Outcome::NotRun, Reason);
  }
  if (Decision.Owner != Entry->Owner) {
    const std::vector<core::CallId> Waiting = std::move(Entry->WaitingCalls);
    Fields.Results.erase(*ActiveCall->Key);
    askOwner(*ActiveCall, Decision.Owner);
    for (core::CallId Id : Waiting)
      if (Call *Repeat = find(Id))
        askOwner(*Repeat, Decision.Owner);
    return;
  }
  // The request has not been sent yet, so it is safe to refuse it as not run
  // after a long pause or while draining.
  if (Now.Mono >= ActiveCall->Deadline)
    return refuse(*ActiveCall, ErrorCode::RequestDeadlinePassed, false);
  if (Fields.Draining)
    return refuse(*ActiveCall, ErrorCode::RequestDraining, false);
  Entry->State = ResultState::Running;
  routeCall(*ActiveCall);
}

void Reduction::abandonClaim(Call &ActiveCall) {
  KeptResults::Entry *Entry = Fields.Results.find(*ActiveCall.Key);
  Entry->State = ResultState::NotRun;
  while (!Entry->WaitingCalls.empty()) {
    const core::CallId Id = Entry->WaitingCalls.front();
    Entry->WaitingCalls.erase(Entry->WaitingCalls.begin());
    Call *Repeat = find(Id);
    // A result query of another node cannot run the request.
    if (Repeat && !Repeat->FromNode)
      return claim(*Repeat, *Entry);
    if (Repeat)
      answerRepeat(Id, *Entry);
  }
  Fields.Results.recordResult(*ActiveCall.Key, ResultState::NotRun, nullptr);
}

void Reduction::operator()(const OwnerReplied &Reply) {
  Call *ActiveCall = find(Reply.Id);
  if (!ActiveCall || ActiveCall->Phase != CallPhase::AwaitingOwner)
    return;
  switch (Reply.State) {
  case KeptResultState::Answered:
    return erase(Reply.Id);
  case KeptResultState::NotRun:
    return refuse(Reply.Id, Outcome::NotRun, {ErrorCode::ClaimUndecided, ""});
  case KeptResultState::Running:
  case KeptResultState::Unknown:
    return refuse(Reply.Id, Outcome::Unknown, {ErrorCode::ClaimOwnerLost, ""});
  }
}

void Reduction::operator()(const KeptResultRequested &Request) {
  const KeptResults::Entry *Entry = Fields.Results.find(Request.Key);
  if (!Entry || Entry->Owner != Request.Owner)
    return refuse(Request.Id, Outcome::Unknown,
                  {ErrorCode::ClaimOwnerLost, ""});
  if (Entry->RequestDigest != Request.RequestDigest)
    return refuse(Request.Id, Outcome::NotRun, keyReused(Request.Key));
  const auto [Position, Added] = Fields.Calls.try_emplace(Request.Id);
  if (!Added)
    return;
  Call &Query = Position->second;
  Query.Id = Request.Id;
  Query.FromNode = true;
  Query.Key = Request.Key;
  Query.Deadline = core::toMonotonic(Request.Deadline, Now);
  Query.Route = std::make_shared<const config::RouteSpec>();
  addExpiry(Query);
  answerRepeat(Request.Id, *Entry);
}

} // namespace filbertvane::decision::request
