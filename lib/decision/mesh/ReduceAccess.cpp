#include "Reduction.h"
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

using core::ErrorCode;

namespace {

constexpr int StatusUnauthorised = 401;

const char *reasonOf(AccessFault Fault) {
  return Fault == AccessFault::KeyMissing ? "key_missing" : "key_unknown";
}

} // namespace

bool Reduction::callersNeedKeys() const {
  return State.Routing && State.Routing->requiresKeys();
}

bool Reduction::checkAccess(const request::CallArrived &Arrival,
                            MeshCall &Call) {
  if (!callersNeedKeys())
    return true;
  const bool IsTargetCall =
      !Arrival.Credential && (State.Runs.isRunning(Arrival.ParentId) ||
                              State.TargetCalls.mayRun(Arrival.ParentId, Now));
  const AccessVerdict Verdict =
      checkKey(*State.Routing, *Call.Route, Arrival.Credential, IsTargetCall);
  if (Verdict.Fault) {
    request::Refuse Refusal;
    Refusal.Id = Arrival.Id;
    Refusal.Result = request::Outcome::NotRun;
    Refusal.Reason = {*Verdict.Fault == AccessFault::KeyMissing
                          ? ErrorCode::RequestKeyMissing
                          : ErrorCode::RequestKeyUnknown,
                      Call.Route->Name.value()};
    Refusal.Status = StatusUnauthorised;
    if (const auto Refused = State.KeyRefusals.record(Now))
      log(observe::EventId::MeshRequestRefused,
          fmt::format("request={} route={} reason={} config={} refused={}",
                      Arrival.CallerId, Call.Route->Name.value(),
                      reasonOf(*Verdict.Fault),
                      State.Routing->routing().Version.value(), *Refused));
    Produced.emplace_back(std::move(Refusal));
    return false;
  }
  Call.Terms.Tenant = core::TenantName();
  if (!Verdict.Tenant)
    return true;
  State.TenantRequests.record(Verdict.Tenant->Name);
  Call.Credential = Arrival.Credential;
  Call.Terms.Tenant = Verdict.Tenant->Name;
  if (Verdict.Tenant->Rank)
    Call.Terms.Rank = *Verdict.Tenant->Rank;
  return true;
}

/// A key may pass from one tenant to another while its request waits for a
/// retry.
bool Reduction::renewTenant(MeshCall &Call) const {
  if (!Call.Credential || !callersNeedKeys())
    return true;
  const auto Tenant = State.Routing->tenantOf(*Call.Credential);
  if (!Tenant)
    return false;
  Call.Terms.Tenant = Tenant->Name;
  Call.Terms.Rank = Tenant->Rank.value_or(Call.Route->Rank);
  return true;
}

/// Requests that wait for the local target are refused as soon as their key is
/// withdrawn; those at other hosts end by their deadlines.
void Reduction::refuseWithdrawnKeys() {
  if (!callersNeedKeys())
    return;
  std::vector<core::CallId> Withdrawn;
  for (auto &[Id, Call] : State.Calls)
    if (Call.Phase == CallPhase::Queued && !renewTenant(Call))
      Withdrawn.push_back(Id);
  if (Withdrawn.empty())
    return;
  log(observe::EventId::MeshRequestRefused,
      fmt::format("reason=key_withdrawn requests={} config={}",
                  Withdrawn.size(), State.Routing->routing().Version.value()));
  for (const core::CallId Id : Withdrawn) {
    MeshCall *Call = find(Id);
    State.Slots.withdraw(Id);
    refuse(*Call, ErrorCode::RequestKeyWithdrawn);
  }
  dispatchQueue();
}

/// The target may work on a request, and make calls, after the request ended at
/// this node.
void Reduction::recordRunEnd(const MeshCall &Call, bool MayWorkOn) {
  State.Runs.end(Call.CallerId);
  if (MayWorkOn && callersNeedKeys())
    State.TargetCalls.recordEnd(Call.CallerId, Call.Deadline);
}

} // namespace filbertvane::decision::mesh
