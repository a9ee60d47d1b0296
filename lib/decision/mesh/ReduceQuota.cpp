#include "Reduction.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

using core::ErrorCode;
using Action = quota::Verdict::ActionKind;

namespace {

constexpr int StatusTooManyRequests = 429;
/// Interval at which the owners of quotas are chosen anew.
constexpr core::Milliseconds QuotaFleetPeriod{200};

} // namespace

/// @return whether the request may go on now
bool Reduction::admitByQuota(MeshCall &Call) {
  if (!Call.Credential || !State.Routing->hasQuotas())
    return true;
  const quota::Verdict Decision = State.Quotas.take(*Call.Terms.Tenant, Now);
  switch (Decision.Action) {
  case Action::Admit:
    Call.TokenUntil = Decision.Until;
    sendQuotaMessages();
    return true;
  case Action::Wait:
    Call.Phase = CallPhase::AwaitingQuota;
    Call.AwaitsQuotaUntil = *Decision.Until;
    State.AwaitingQuota.push_back(Call.Id);
    sendQuotaMessages();
    return false;
  case Action::Refuse:
  case Action::Unknown:
    refuseByQuota(Call, Decision);
    return false;
  }
  return false;
}

/// One line a second tells of all requests that a quota refused: a tenant far
/// beyond its quota would crowd out the lines of others.
void Reduction::refuseByQuota(MeshCall &Call, const quota::Verdict &Decision) {
  const bool Over = Decision.Action == Action::Refuse;
  request::Refuse Refusal;
  Refusal.Id = Call.Id;
  Refusal.Result = request::Outcome::NotRun;
  Refusal.Reason = {Over ? ErrorCode::RequestOverQuota
                         : ErrorCode::RequestQuotaUnknown,
                    Call.Terms.Tenant->value()};
  if (Over)
    Refusal.Status = StatusTooManyRequests;
  // Callers that come back together would find one token.
  const auto Jitter = core::Milliseconds(static_cast<std::int64_t>(
      State.RandomSource.unit() *
      static_cast<double>(MaximumRetryAfter.count()) / 2));
  Refusal.RetryAfter = std::clamp(Decision.RetryAfter + Jitter,
                                  MinimumRetryAfter, MaximumRetryAfter);
  State.Runs.recordCallFailure(Call.ParentId);
  if (const auto Refused = State.QuotaRefusals.record(Now))
    log(observe::EventId::MeshRequestRefused,
        fmt::format("{} reason=FV{} refused={} nodes={} lent={}",
                    describe(Call), static_cast<int>(Refusal.Reason.Code),
                    *Refused, State.Quotas.nodes(),
                    State.Quotas.lentGroups(Now)));
  Produced.emplace_back(std::move(Refusal));
  erase(Call.Id);
}

void Reduction::serveAwaitingQuota() {
  if (State.AwaitingQuota.empty())
    return;
  for (const core::CallId Id : std::exchange(State.AwaitingQuota, {})) {
    MeshCall *Call = find(Id);
    if (Call != nullptr && Call->Phase == CallPhase::AwaitingQuota)
      decideAwaiting(*Call);
  }
}

void Reduction::decideAwaiting(MeshCall &Call) {
  const core::TenantName Before = *Call.Terms.Tenant;
  if (!renewTenant(Call))
    return refuse(Call, ErrorCode::RequestKeyWithdrawn);
  const core::TenantName Tenant = *Call.Terms.Tenant;
  quota::Verdict Decision;
  if (Tenant == Before) {
    Decision = State.Quotas.takeForWaiting(Tenant, Call.AwaitsQuotaUntil, Now);
  } else {
    State.Quotas.withdraw(Before);
    Decision = State.Quotas.take(Tenant, Now);
    Call.AwaitsQuotaUntil = Decision.Until.value_or(Now);
  }
  if (Decision.Action == Action::Wait) {
    State.AwaitingQuota.push_back(Call.Id);
    return;
  }
  if (Decision.Action == Action::Admit) {
    State.Quotas.withdraw(Tenant);
    Call.Phase = CallPhase::Queued;
    Call.TokenUntil = Decision.Until;
    return route(Call);
  }
  refuseByQuota(Call, Decision);
}

void Reduction::sendQuotaMessages() {
  for (quota::OutgoingRequest &Due : State.Quotas.dueRequests(Now))
    if (const KnownHost *Owner = State.Hosts.find(Due.Owner))
      Produced.emplace_back(
          SendQuota{std::move(Due.Request), Owner->Report.Address});
  // This node may be the owner and have answered itself.
  serveAwaitingQuota();
}

/// A node that lacks a configuration would mint by limits that were lowered
/// since; the others take its silence for a failure and choose another owner.
void Reduction::operator()(const QuotaRequestReceived &Received) {
  if (State.Outdated)
    return;
  const KnownHost *Sender = State.Hosts.find(Received.Request.From.Node);
  if (Sender == nullptr)
    return;
  if (auto Reply = State.Quotas.answer(Received.Request, Now))
    Produced.emplace_back(SendQuota{std::move(*Reply), Sender->Report.Address});
}

void Reduction::operator()(const QuotaReplyReceived &Received) {
  State.Quotas.apply(Received.Reply, Now);
  serveAwaitingQuota();
  sendQuotaMessages();
}

/// In each region, the usable process that started first owns a part of the
/// quotas, so that those that join change nothing: a new owner's buckets are
/// empty. Nodes that differ about it are safe: each share is lent once.
void Reduction::updateQuotaFleet() {
  if (!State.Routing || !State.Routing->hasQuotas() ||
      Now < State.NextQuotaFleetAt)
    return;
  State.NextQuotaFleetAt = Now + QuotaFleetPeriod;
  std::map<core::RegionId, quota::Process> Oldest;
  const auto Consider = [&Oldest](const core::RegionId &Region,
                                  const quota::Process &Candidate) {
    const auto [Known, IsNew] = Oldest.try_emplace(Region, Candidate);
    const auto Rank = [](const quota::Process &Of) {
      return std::tie(Of.Incarnation, Of.Node);
    };
    if (!IsNew && Rank(Candidate) < Rank(Known->second))
      Known->second = Candidate;
  };
  if (!State.Draining && !State.Outdated)
    Consider(State.Settings.Region,
             {State.Settings.Node, State.Settings.Incarnation});
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (!Host.Report.Leaving && !Host.Report.ExitsIn &&
        !State.Hosts.isSuspect(Host, Now) &&
        !State.Quotas.isSilent(Node, Host.LastReportAt, Now))
      Consider(Host.Report.Region, {Node, Host.Report.Incarnation});
  std::vector<core::NodeId> Owners;
  std::string Names;
  for (const auto &[Region, Chosen] : Oldest) {
    Owners.push_back(Chosen.Node);
    Names += (Names.empty() ? "" : ",") + Chosen.Node.value();
  }
  // Hosts behind a cut divide the quotas among those that they know: a share
  // that they do not count would come on top.
  State.KnownToAll = State.KnownToAll ||
                     (State.HostListRead && State.Hosts.hasReportsOfAllHosts());
  const bool HasShare = State.HostListRead && State.KnownToAll;
  State.Quotas.setFleet(Owners, HasShare ? State.Hosts.everKnown() + 1 : 0,
                        HasShare ? State.Hosts.leftInOrder(Now) : 0);
  if (Owners == State.QuotaOwners)
    return;
  log(observe::EventId::MeshQuotaOwnersChanged,
      fmt::format("owners={} nodes={}", Names, State.Quotas.nodes()));
  State.QuotaOwners = std::move(Owners);
}

} // namespace filbertvane::decision::mesh
