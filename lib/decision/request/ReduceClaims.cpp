#include "Reduction.h"
#include "filbertvane/decision/request/claims/Key.h"
#include <algorithm>

namespace filbertvane::decision::request {

using claims::KeptResults;
using claims::ResultState;
using core::ErrorCode;

namespace {

core::Error reused(const core::IdempotencyKey &Key) {
  return {ErrorCode::ClaimKeyReused, Key.value()};
}

} // namespace

void Reduction::claimOrRepeat(Call &Which) {
  const auto Checked = claims::checkKey(*Which.Key, Now.Wall,
                                        Fields.Config.Bounds.ClaimRetention);
  if (!core::ok(Checked))
    return refuse(Which.Id, Outcome::NotRun, core::failure(Checked));
  KeptResults::Entry *Entry = Fields.Results.find(*Which.Key);
  if (!Entry) {
    const ClaimOwner Owner{Fields.Config.Self, Fields.Config.Incarnation,
                           Which.Id};
    return claim(Which,
                 Fields.Results.insert(*Which.Key, Owner, Which.RequestDigest));
  }
  if (Entry->RequestDigest != Which.RequestDigest)
    return refuse(Which.Id, Outcome::NotRun, reused(*Which.Key));
  if (Entry->State == ResultState::NotRun)
    return claim(Which, *Entry);
  answerRepeat(Which.Id, *Entry);
}

/// A request that did not run is claimed again under the first identity: the
/// log may hold that claim already.
void Reduction::claim(Call &Which, KeptResults::Entry &Entry) {
  Entry.State = ResultState::Claiming;
  Which.Phase = CallPhase::Claiming;
  Which.ClaimsKey = true;
  Out.emplace_back(RequestClaim{Which.Id, *Which.Key, Which.RequestDigest,
                                Entry.Owner, Which.Deadline});
}

void Reduction::answerRepeat(core::CallId Id, const KeptResults::Entry &Entry) {
  Call *Which = find(Id);
  if (!Which)
    return;
  switch (Entry.State) {
  case ResultState::Claiming:
  case ResultState::Running:
    Which->Phase = CallPhase::AwaitingResult;
    Fields.Results.find(*Which->Key)->WaitingCalls.push_back(Id);
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

void Reduction::askOwner(Call &Which, const ClaimOwner &Owner) {
  const bool OwnProcess = Owner.Node == Fields.Config.Self &&
                          Owner.Incarnation == Fields.Config.Incarnation;
  // The own claim was dropped from memory: its result is not known.
  if (OwnProcess)
    return refuse(Which.Id, Outcome::Unknown,
                  {ErrorCode::ClaimResultNotKept, ""});
  Which.Phase = CallPhase::AwaitingOwner;
  Which.ClaimsKey = false;
  Out.emplace_back(AnswerFromOwner{Which.Id, Owner, *Which.Key,
                                   Which.RequestDigest, Which.Deadline});
}

void Reduction::operator()(const ClaimDecided &What) {
  Call *Which = find(What.Id);
  if (!Which || Which->Phase != CallPhase::Claiming)
    return;
  KeptResults::Entry *Entry = Fields.Results.find(*Which->Key);
  if (What.Failure) {
    const core::Error Why = *What.Failure;
    recordResult(*Which, ResultState::NotRun, nullptr);
    return refuse(What.Id, Outcome::NotRun, Why);
  }
  if (What.Owner != Entry->Owner) {
    const std::vector<core::CallId> Waiting = std::move(Entry->WaitingCalls);
    Fields.Results.erase(*Which->Key);
    askOwner(*Which, What.Owner);
    for (core::CallId Id : Waiting)
      if (Call *Repeat = find(Id))
        askOwner(*Repeat, What.Owner);
    return;
  }
  // A node that was paused, or that leaves, has not sent the request yet.
  if (Now.Mono >= Which->Deadline)
    return refuse(*Which, ErrorCode::RequestDeadlinePassed, false);
  if (Fields.Draining)
    return refuse(*Which, ErrorCode::RequestDraining, false);
  Entry->State = ResultState::Running;
  routeCall(*Which);
}

void Reduction::abandonClaim(Call &Which) {
  KeptResults::Entry *Entry = Fields.Results.find(*Which.Key);
  Entry->State = ResultState::NotRun;
  while (!Entry->WaitingCalls.empty()) {
    const core::CallId Id = Entry->WaitingCalls.front();
    Entry->WaitingCalls.erase(Entry->WaitingCalls.begin());
    Call *Repeat = find(Id);
    // A question of another node cannot run the request.
    if (Repeat && !Repeat->FromNode)
      return claim(*Repeat, *Entry);
    if (Repeat)
      answerRepeat(Id, *Entry);
  }
  Fields.Results.recordResult(*Which.Key, ResultState::NotRun, nullptr);
}

void Reduction::operator()(const OwnerReplied &What) {
  Call *Which = find(What.Id);
  if (!Which || Which->Phase != CallPhase::AwaitingOwner)
    return;
  switch (What.State) {
  case KeptResultState::Answered:
    return erase(What.Id);
  case KeptResultState::NotRun:
    return refuse(What.Id, Outcome::NotRun, {ErrorCode::ClaimUndecided, ""});
  case KeptResultState::Running:
  case KeptResultState::Unknown:
    return refuse(What.Id, Outcome::Unknown, {ErrorCode::ClaimOwnerLost, ""});
  }
}

void Reduction::operator()(const KeptResultRequested &What) {
  const KeptResults::Entry *Entry = Fields.Results.find(What.Key);
  if (!Entry || Entry->Owner != What.Owner)
    return refuse(What.Id, Outcome::Unknown, {ErrorCode::ClaimOwnerLost, ""});
  if (Entry->RequestDigest != What.RequestDigest)
    return refuse(What.Id, Outcome::NotRun, reused(What.Key));
  const auto [Place, Added] = Fields.Calls.try_emplace(What.Id);
  if (!Added)
    return;
  Call &Question = Place->second;
  Question.Id = What.Id;
  Question.FromNode = true;
  Question.Key = What.Key;
  Question.Deadline = core::toMonotonic(What.Deadline, Now);
  Question.Route = std::make_shared<const config::RouteSpec>();
  addExpiry(Question);
  answerRepeat(What.Id, *Entry);
}

} // namespace filbertvane::decision::request
