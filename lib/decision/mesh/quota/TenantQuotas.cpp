#include "filbertvane/decision/mesh/quota/TenantQuotas.h"
#include "filbertvane/core/Digest.h"
#include <algorithm>
#include <cmath>
#include <string>

namespace filbertvane::decision::mesh::quota {

namespace {

/// Shortest interval of demands to one owner; further ones are sent together.
constexpr core::Milliseconds DemandInterval{10};
/// Time for which a request waits for tokens: three round trips of 40 ms
/// between regions, a small part of latency objectives of 600 ms and more.
constexpr core::Milliseconds LongestWait{120};
/// Age of an owner's last answer from which nothing more is lent to it. It
/// bounds the time for which the share of a failed owner is lost to
/// `LoanTerm` plus this.
constexpr core::Milliseconds OwnerSilence{600};
/// Demand that is asked for in advance, once half of it is used up. Tokens for
/// 200 ms expired unused for one in seven at a node with 72 requests a second.
constexpr double SecondsAhead = 0.1;
/// Time within which the answer to a demand is expected; the tenant asks for
/// nothing in advance until then.
constexpr core::Milliseconds AnswerTime{50};
/// Tokens in advance below this number expire unused too often.
constexpr double FewestAhead = 2;
/// Weight of the newest period in the mean arrival rate: half of a change
/// counts within two periods.
constexpr double NewestWeight = 0.3;
constexpr double Rounding = 1e-6;
constexpr double MicrosPerSecond = 1e6;

double seconds(core::Microseconds Time) {
  return static_cast<double>(Time.count()) / MicrosPerSecond;
}

} // namespace

TenantQuotas::TenantQuotas(const Process &Self, core::TimePoint StartedAt)
    : Self(Self), ShareUsableFrom(StartedAt + LoanTerm), Owner(Self) {
  for (Group &Each : Groups)
    Each.LentUntil = ShareUsableFrom;
}

void TenantQuotas::setFleet(std::vector<core::NodeId> NewLeads,
                            std::size_t NewNodes) {
  // A node that is out of sight may still use its share.
  Nodes = std::max(Nodes, NewNodes);
  Owner.setNodes(Nodes);
  if (NewLeads == Leads)
    return;
  Leads = std::move(NewLeads);
  for (std::size_t Number = 0; Number < GroupCount; ++Number) {
    const std::string Key = std::to_string(Number);
    const auto Best =
        std::ranges::max_element(Leads, {}, [&Key](const core::NodeId &Lead) {
          return core::rendezvousScore(Key, Lead.value());
        });
    Groups[Number].Owner = Best == Leads.end() ? core::NodeId() : *Best;
  }
}

void TenantQuotas::setRouting(
    std::shared_ptr<const config::RoutingTable> NewTable) {
  Table = std::move(NewTable);
}

TenantQuotas::Tenant &TenantQuotas::stateOf(const core::TenantName &Name) {
  const auto [Found, IsNew] = Tenants.try_emplace(Name);
  if (IsNew)
    Found->second.OwnAt = ShareUsableFrom;
  return Found->second;
}

/// While the share is lent, and whenever it was since the last call, the own
/// tokens are void: the owner mints for the same share.
void TenantQuotas::refresh(Tenant &State, const Group &Of,
                           const config::Quota &Quota, core::TimePoint Now) {
  while (!State.Lent.empty() && State.Lent.front().Until <= Now) {
    Counts.Expired += State.Lent.front().Count;
    State.Lent.pop_front();
  }
  if (Of.LentUntil >= State.OwnAt) {
    State.OwnLevel = 0;
    State.OwnAt = Of.LentUntil;
  }
  if (Now <= State.OwnAt)
    return;
  const double Share = 1.0 / static_cast<double>(Nodes);
  State.OwnLevel = std::min(State.OwnLevel + Share * Quota.RequestsPerSecond *
                                                 seconds(Now - State.OwnAt),
                            Share * Quota.Burst);
  State.OwnAt = Now;
}

std::optional<core::TimePoint> TenantQuotas::takeToken(Tenant &State) {
  if (!State.Lent.empty()) {
    const core::TimePoint Until = State.Lent.front().Until;
    if (--State.Lent.front().Count == 0)
      State.Lent.pop_front();
    return Until;
  }
  if (State.OwnLevel + Rounding < 1)
    return std::nullopt;
  State.OwnLevel = std::max(0.0, State.OwnLevel - 1);
  return core::TimePoint::max();
}

Verdict TenantQuotas::decide(Tenant &State, const core::TenantName &Name,
                             const config::Quota &Quota, core::TimePoint Now) {
  const Group &Of = Groups[groupOf(Name)];
  refresh(State, Of, Quota, Now);
  if (const auto Until = takeToken(State)) {
    ++Counts.Admitted;
    return {Verdict::ActionKind::Admit, Until, core::Milliseconds(0)};
  }
  const auto Link = Links.find(Of.Owner);
  const bool OwnerAnswers = Link != Links.end() && Link->second.Answered &&
                            Now - Link->second.AnswerAt < OwnerSilence;
  if (OwnerAnswers && Now >= State.DryUntil)
    return {Verdict::ActionKind::Wait, Now + LongestWait,
            core::Milliseconds(0)};
  ++Counts.Refused;
  // Without an owner, the next token of the own share counts, or the end of
  // the loan.
  const core::TimePoint Next =
      OwnerAnswers ? State.DryUntil : std::max(Of.LentUntil, Now + TokenTerm);
  return {Verdict::ActionKind::Refuse, std::nullopt,
          std::chrono::ceil<core::Milliseconds>(Next - Now)};
}

Verdict TenantQuotas::take(const core::TenantName &Name, core::TimePoint Now) {
  const auto Configured = Table ? Table->findTenant(Name) : nullptr;
  if (!Configured || Configured->Quota.RequestsPerSecond <= 0)
    return {};
  Tenant &State = stateOf(Name);
  ++State.ArrivedInPeriod;
  const Verdict Result = decide(State, Name, Configured->Quota, Now);
  const bool Waits = Result.Action == Verdict::ActionKind::Wait;
  if (Waits)
    ++State.Waiting;
  const core::NodeId &To = Groups[groupOf(Name)].Owner;
  if (Waits ||
      (Now >= State.DryUntil &&
       2 * missingAhead(State, Now) > State.ArrivalsPerSecond * SecondsAhead))
    Links[To].WithDemand.insert(Name);
  return Result;
}

Verdict TenantQuotas::takeForWaiting(const core::TenantName &Name,
                                     core::TimePoint Now) {
  const auto Configured = Table ? Table->findTenant(Name) : nullptr;
  if (!Configured || Configured->Quota.RequestsPerSecond <= 0)
    return {};
  return decide(stateOf(Name), Name, Configured->Quota, Now);
}

void TenantQuotas::giveBack(const core::TenantName &Name, core::TimePoint Until,
                            core::TimePoint Now) {
  const auto Found = Tenants.find(Name);
  const auto Configured = Table ? Table->findTenant(Name) : nullptr;
  if (Found == Tenants.end() || !Configured || Until <= Now)
    return;
  Tenant &State = Found->second;
  if (Until != core::TimePoint::max()) {
    const auto At =
        std::ranges::upper_bound(State.Lent, Until, {}, &Token::Until);
    State.Lent.insert(At, {Until, 1});
    return;
  }
  refresh(State, Groups[groupOf(Name)], Configured->Quota, Now);
  State.OwnLevel = std::min(State.OwnLevel + 1, Configured->Quota.Burst /
                                                    static_cast<double>(Nodes));
  refresh(State, Groups[groupOf(Name)], Configured->Quota, Now);
}

/// A share goes to another process only after the loan to the former one has
/// ended by this node's clock.
Loan TenantQuotas::lend(const core::NodeId &To, const OwnerLink &Link,
                        core::TimePoint Now) {
  Loan Lent;
  if (!Link.Answered || Now - Link.AnswerAt >= OwnerSilence)
    return Lent;
  Lent.OwnerIncarnation = Link.Answered->Incarnation;
  Lent.OwnerSentAt = Link.AnswerSentAt;
  Lent.Nodes = static_cast<std::uint32_t>(Nodes);
  for (std::size_t Number = 0; Number < GroupCount; ++Number) {
    Group &Each = Groups[Number];
    if (Each.Owner != To ||
        (Each.LentUntil > Now && Each.LentTo != *Link.Answered))
      continue;
    Each.LentTo = *Link.Answered;
    Each.LentUntil = Now + LoanTerm;
    Lent.Groups |= std::uint64_t{1} << Number;
  }
  return Lent;
}

double TenantQuotas::missingAhead(const Tenant &State, core::TimePoint Now) {
  const double Ahead = State.ArrivalsPerSecond * SecondsAhead;
  if (Ahead < FewestAhead || Now < State.LastDemandAt + AnswerTime)
    return 0;
  double Held = 0;
  for (const Token &Each : State.Lent)
    Held += Each.Count;
  return std::max(0.0, std::floor(Ahead - Held));
}

std::vector<TokenDemand> TenantQuotas::demands(const core::NodeId &To,
                                               OwnerLink &Link, bool Renewal,
                                               core::TimePoint Now) {
  std::vector<TokenDemand> List;
  const auto Add = [&](const core::TenantName &Name, Tenant &State) {
    const auto Configured = Table->findTenant(Name);
    if (!Configured || Configured->Quota.RequestsPerSecond <= 0)
      return;
    refresh(State, Groups[groupOf(Name)], Configured->Quota, Now);
    const double Ahead = missingAhead(State, Now);
    const auto Tokens =
        static_cast<std::uint32_t>(static_cast<double>(State.Waiting) + Ahead);
    if (Ahead > 0)
      State.LastDemandAt = Now;
    State.Waiting = 0;
    if (Tokens > 0)
      List.push_back({Name, Tokens});
  };
  if (!Renewal) {
    for (const core::TenantName &Name : Link.WithDemand)
      Add(Name, stateOf(Name));
    return List;
  }
  for (auto &[Name, State] : Tenants) {
    if (Groups[groupOf(Name)].Owner != To)
      continue;
    State.ArrivalsPerSecond +=
        NewestWeight * (State.ArrivedInPeriod / seconds(RenewalPeriod) -
                        State.ArrivalsPerSecond);
    State.ArrivedInPeriod = 0;
    Add(Name, State);
  }
  return List;
}

std::vector<OutgoingRequest> TenantQuotas::dueRequests(core::TimePoint Now) {
  std::vector<OutgoingRequest> Due;
  if (!Table || !Table->requiresKeys())
    return Due;
  for (const core::NodeId &To : Leads) {
    OwnerLink &Link = Links[To];
    const bool Renewal = Now >= Link.NextRenewalAt;
    const bool Demand =
        !Link.WithDemand.empty() &&
        (!Link.LastSentAt || Now >= *Link.LastSentAt + DemandInterval);
    // No two requests to one owner have the same time.
    if ((!Renewal && !Demand) || (Link.LastSentAt && *Link.LastSentAt >= Now))
      continue;
    QuotaRequest Request;
    Request.From = Self;
    Request.SentAt = Now;
    Request.Lent = lend(To, Link, Now);
    Request.Demands = demands(To, Link, Renewal, Now);
    Link.WithDemand.clear();
    Link.LastSentAt = Now;
    if (Renewal)
      Link.NextRenewalAt = Now + RenewalPeriod;
    Link.Pending.erase(Link.Pending.begin(),
                       Link.Pending.upper_bound(Now - TokenTerm));
    Link.Pending.insert(Now);
    if (To != Self.Node)
      Due.push_back({To, std::move(Request)});
    else
      apply(Owner.answer(Request, *Table, Now), Now);
  }
  return Due;
}

std::optional<QuotaReply> TenantQuotas::answer(const QuotaRequest &Request,
                                               core::TimePoint Now) {
  if (!Table || !Table->requiresKeys())
    return std::nullopt;
  return Owner.answer(Request, *Table, Now);
}

void TenantQuotas::apply(const QuotaReply &Reply, core::TimePoint Now) {
  const auto Found = Links.find(Reply.From.Node);
  if (Found == Links.end() || Reply.ToIncarnation != Self.Incarnation ||
      Found->second.Pending.erase(Reply.RequestSentAt) == 0)
    return;
  OwnerLink &Link = Found->second;
  if (Link.Answered != Reply.From || Reply.SentAt > Link.AnswerSentAt) {
    Link.Answered = Reply.From;
    Link.AnswerSentAt = Reply.SentAt;
    Link.AnswerAt = Now;
  }
  const core::TimePoint Until = Reply.RequestSentAt + TokenTerm;
  for (const TokenGrant &Grant : Reply.Grants) {
    Tenant &State = stateOf(Grant.Tenant);
    State.DryUntil = Now + Grant.NextIn;
    if (Grant.Tokens == 0 || Until <= Now)
      continue;
    Counts.Received += Grant.Tokens;
    const auto At =
        std::ranges::upper_bound(State.Lent, Until, {}, &Token::Until);
    State.Lent.insert(At, {Until, Grant.Tokens});
  }
}

} // namespace filbertvane::decision::mesh::quota
