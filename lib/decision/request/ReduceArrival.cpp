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

/// A host node whose configuration differs from the entry node's may have no
/// route for the path; it then treats the request as non-idempotent.
RoutePtr Reduction::findRoute(const CallArrived &What) const {
  RoutePtr Matched = Fields.Routes.match(What.Path);
  if (!What.FromNode || !What.Service)
    return Matched;
  if (Matched && Matched->Service == *What.Service)
    return Matched;
  config::RouteSpec Unknown;
  Unknown.Service = *What.Service;
  Unknown.Idempotent = false;
  return std::make_shared<const config::RouteSpec>(std::move(Unknown));
}

Call Reduction::makeCall(const CallArrived &What, RoutePtr Route) const {
  Call Made;
  Made.Id = What.Id;
  Made.RequestDigest = What.RequestDigest;
  if (!Route->Idempotent && !What.FromNode)
    Made.Key = What.Key;
  const core::TimePoint Latest =
      Now.Mono + Fields.Config.Bounds.MaxCallDuration;
  const core::TimePoint Own = Now.Mono + Route->Timeout;
  Made.Deadline = std::min(
      Latest, What.Deadline ? core::toMonotonic(*What.Deadline, Now) : Own);
  Made.ContentLength = What.ContentLength;
  Made.FromNode = What.FromNode;
  Made.FixedVersion = What.Version;
  Made.Hosted = What.FromNode && What.Target.has_value();
  Made.Crashes = std::max(
      What.Crashes, Fields.KnownSuspects.crashes(What.RequestDigest, Now.Mono));
  Made.Route = std::move(Route);
  return Made;
}

void Reduction::operator()(const CallArrived &What) {
  if (auto Why = newCallError()) {
    if (Why->Code == ErrorCode::RequestTooManyCalls)
      log(observe::EventId::RequestCallLimit, "");
    Out.emplace_back(Refuse{What.Id, Outcome::NotRun, std::move(*Why)});
    return;
  }
  RoutePtr Route = findRoute(What);
  if (!Route)
    return refuse(What.Id, Outcome::NotRun,
                  {ErrorCode::RequestNoRoute, What.Path});
  const auto [Place, Added] =
      Fields.Calls.try_emplace(What.Id, makeCall(What, std::move(Route)));
  if (!Added)
    return;
  Call &Made = Place->second;
  if (Now.Mono >= Made.Deadline)
    return refuse(Made, ErrorCode::RequestDeadlinePassed, false);
  addExpiry(Made);
  if (Made.Crashes >= CrashesToRefuse) {
    log(observe::EventId::RequestSuspectRefused, What.Path);
    return refuse(Made, ErrorCode::RequestSuspect, true);
  }
  if (Made.Key)
    return claimOrRepeat(Made);
  if (Made.Hosted)
    return startHostedCall(Made, *What.Target);
  routeCall(Made);
}

void Reduction::routeCall(Call &Which) {
  if (const std::optional<TargetIndex> At = selectTarget(Which))
    return startAttempt(Which, *At);
  refuse(Which, ErrorCode::RequestNoTarget, false);
}

/// Only the own target named by the sending node may run the request: the
/// sender counts it there, and a replaced target may run another version.
void Reduction::startHostedCall(Call &Which, const core::TargetId &Target) {
  const TargetIndex At = Fields.Targets.find(Target);
  if (At == NoTarget || !Fields.Targets[At].Local)
    return refuse(Which, ErrorCode::RequestNoTarget, false);
  const request::Target &Host = Fields.Targets[At];
  const bool Matches =
      Host.Announcement.Service == Which.Route->Service &&
      (!Which.FixedVersion || Host.Announcement.Version == *Which.FixedVersion);
  if (Host.Removed)
    return refuse(Which, ErrorCode::RequestDraining, false);
  if (!Matches)
    return refuse(Which, ErrorCode::RequestNoTarget, false);
  startAttempt(Which, At);
}

} // namespace filbertvane::decision::request
