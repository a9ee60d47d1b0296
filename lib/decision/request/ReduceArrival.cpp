#include "Reduction.h"
#include "filbertvane/decision/request/claims/Key.h"
#include <algorithm>

namespace filbertvane::decision::request {

using core::Error;
using core::ErrorCode;

std::optional<Error> Reduction::newCallError() const {
  if (Fields.Draining)
    return Error{ErrorCode::RequestDraining, ""};
  if (!Fields.Fleet)
    return Error{ErrorCode::RequestNotReady, ""};
  if (Fields.Calls.size() >= Fields.Config.Bounds.MaxCalls)
    return Error{ErrorCode::RequestTooManyCalls, ""};
  return std::nullopt;
}

/// A host node whose configuration differs from that of the entry node may have
/// no route for the path. It then treats the request as non-idempotent.
RoutePtr Reduction::findRoute(const CallArrived &Arrival) const {
  RoutePtr Matched = Fields.Routes.match(Arrival.Path);
  if (!Arrival.FromNode || !Arrival.Service)
    return Matched;
  if (Matched && Matched->Service == *Arrival.Service)
    return Matched;
  config::RouteSpec Unknown;
  Unknown.Service = *Arrival.Service;
  Unknown.Idempotent = false;
  return std::make_shared<const config::RouteSpec>(std::move(Unknown));
}

Call Reduction::makeCall(const CallArrived &Arrival, RoutePtr Route) const {
  Call NewCall;
  NewCall.Id = Arrival.Id;
  NewCall.RequestDigest = Arrival.RequestDigest;
  if (!Route->Idempotent && !Arrival.FromNode)
    NewCall.Key = Arrival.Key;
  const core::TimePoint Latest =
      Now.Mono + Fields.Config.Bounds.MaxCallDuration;
  const core::TimePoint RouteDeadline = Now.Mono + Route->Timeout;
  NewCall.Deadline = std::min(
      Latest, Arrival.Deadline ? core::toMonotonic(*Arrival.Deadline, Now)
                               : RouteDeadline);
  NewCall.ContentLength = Arrival.ContentLength;
  NewCall.FromNode = Arrival.FromNode;
  NewCall.FixedVersion = Arrival.Version;
  NewCall.Hosted = Arrival.FromNode && Arrival.Target.has_value();
  NewCall.Crashes =
      std::max(Arrival.Crashes,
               Fields.KnownSuspects.crashes(Arrival.RequestDigest, Now.Mono));
  NewCall.Route = std::move(Route);
  return NewCall;
}

void Reduction::operator()(const CallArrived &Arrival) {
  if (auto Reason = newCallError()) {
    if (Reason->Code == ErrorCode::RequestTooManyCalls)
      log(observe::EventId::RequestCallLimit, "");
    Out.emplace_back(Refuse{Arrival.Id, Outcome::NotRun, std::move(*Reason)});
    return;
  }
  RoutePtr Route = findRoute(Arrival);
  if (!Route)
    return refuse(Arrival.Id, Outcome::NotRun,
                  {ErrorCode::RequestNoRoute, Arrival.Path});
  const auto [Position, Added] =
      Fields.Calls.try_emplace(Arrival.Id, makeCall(Arrival, std::move(Route)));
  if (!Added)
    return;
  Call &NewCall = Position->second;
  if (Now.Mono >= NewCall.Deadline)
    return refuse(NewCall, ErrorCode::RequestDeadlinePassed, false);
  addExpiry(NewCall);
  if (NewCall.Crashes >= CrashesToRefuse) {
    log(observe::EventId::RequestSuspectRefused, Arrival.Path);
    return refuse(NewCall, ErrorCode::RequestSuspect, true);
  }
  if (NewCall.Key)
    return claimOrRepeat(NewCall);
  if (NewCall.Hosted)
    return startHostedCall(NewCall, *Arrival.Target);
  routeCall(NewCall);
}

void Reduction::routeCall(Call &ActiveCall) {
  if (const std::optional<TargetIndex> Index = selectTarget(ActiveCall))
    return startAttempt(ActiveCall, *Index);
  refuse(ActiveCall, ErrorCode::RequestNoTarget, false);
}

/// Only the local target selected by the sending node may run the request: the
/// sender counts the request for that target, and a replacement may run another
/// version.
void Reduction::startHostedCall(Call &ActiveCall, const core::TargetId &Id) {
  const TargetIndex Index = Fields.Targets.find(Id);
  if (Index == NoTarget || !Fields.Targets[Index].Local)
    return refuse(ActiveCall, ErrorCode::RequestNoTarget, false);
  const request::Target &Host = Fields.Targets[Index];
  const bool Matches = Host.Announcement.Service == ActiveCall.Route->Service &&
                       (!ActiveCall.FixedVersion ||
                        Host.Announcement.Version == *ActiveCall.FixedVersion);
  if (Host.Removed)
    return refuse(ActiveCall, ErrorCode::RequestDraining, false);
  if (!Matches)
    return refuse(ActiveCall, ErrorCode::RequestNoTarget, false);
  startAttempt(ActiveCall, Index);
}

} // namespace filbertvane::decision::request
