#include "filbertvane/decision/mesh/quota/TenantQuotas.h"
#include "filbertvane/core/Digest.h"
#include <algorithm>
#include <cmath>
#include <string>

namespace filbertvane::decision::mesh::quota {

namespace {

/// Time for which a request waits for tokens: a demand, a repeat of it if its
/// answer was lost, and three round trips of 40 ms between regions.
constexpr core::Milliseconds LongestWait{250};
/// Time for which nothing is asked of an owner that has no token. Its next
/// tokens wait in the bucket meanwhile.
constexpr core::Milliseconds DryTime{50};
/// Time without an answer from which an owner is taken for failed.
constexpr core::Milliseconds OwnerSilence{600};
/// Time without an answer from which no loan is renewed. It bounds the time for
/// which the share of a failed owner is lost to `LoanTerm` plus this.
constexpr core::Milliseconds LendingSilence{300};
/// Time after which an owner that fell silent is tried again, if it shows that
/// it runs.
constexpr core::Milliseconds SilentOwnerPause{5000};
/// Demand that is asked for in advance, once half of it is used up. Tokens for
/// 200 ms expired unused for one in seven at a node with 72 requests a second.
constexpr double SecondsAhead = 0.1;
/// Time within which the answer to a demand is expected; until then, no further
/// demand is sent to the owner.
constexpr core::Milliseconds AnswerTime{100};
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
                            std::size_t NewNodes, std::size_t NowRetired) {
  // A node that is out of sight may still use its share.
  Nodes = std::max(Nodes, NewNodes);
  Retired = std::min(NowRetired, Nodes - 1);
  FleetKnown = FleetKnown || NewNodes > 0;
  Owner.setNodes(nodes());
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

void TenantQuotas::retire() { HasRetired = true; }

bool TenantQuotas::isSilent(const core::NodeId &Owner,
                            core::TimePoint LastReportAt,
                            core::TimePoint Now) const {
  const auto Link = Links.find(Owner);
  if (Link == Links.end() || !Link->second.UnansweredSince)
    return false;
  const core::TimePoint Since = *Link->second.UnansweredSince;
  const bool IsBack =
      Now - Since >= SilentOwnerPause && LastReportAt - Since >= OwnerSilence;
  return Now - Since >= OwnerSilence && !IsBack;
}

std::size_t TenantQuotas::lentGroups(core::TimePoint Now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Groups, [Now](const Group &Each) { return Each.LentUntil > Now; }));
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
  if (!hasShare()) {
    State.OwnLevel = 0;
    State.OwnAt = std::max(State.OwnAt, Now);
  }
  if (Now <= State.OwnAt)
    return;
  const double Share = 1.0 / static_cast<double>(nodes());
  State.OwnLevel = std::min(State.OwnLevel + Share * Quota.RequestsPerSecond *
                                                 seconds(Now - State.OwnAt),
                            Share * Quota.Burst);
  State.OwnAt = Now;
}

/// @param Until set for a token of an owner
/// @return whether there was a token
bool TenantQuotas::takeToken(Tenant &State,
                             std::optional<core::TimePoint> &Until) {
  if (!State.Lent.empty()) {
    Until = State.Lent.front().Until;
    if (--State.Lent.front().Count == 0)
      State.Lent.pop_front();
    return true;
  }
  if (State.OwnLevel + Rounding < 1)
    return false;
  State.OwnLevel = std::max(0.0, State.OwnLevel - 1);
  return true;
}

Verdict TenantQuotas::decide(Tenant &State, const core::TenantName &Name,
                             const config::Quota &Quota, bool MayWait,
                             core::TimePoint Now) {
  const Group &Of = Groups[groupOf(Name)];
  refresh(State, Of, Quota, Now);
  std::optional<core::TimePoint> Until;
  if (takeToken(State, Until)) {
    ++Counts.Admitted;
    return {Verdict::ActionKind::Admit, Until, core::Milliseconds(0)};
  }
  const auto Link = Links.find(Of.Owner);
  const bool OwnerAnswers = Link != Links.end() && Link->second.Answered &&
                            Now - Link->second.AnswerAt < OwnerSilence;
  // A share that comes back soon is waited for as well.
  const bool Rests =
      !OwnerAnswers && Of.LentUntil > Now && Of.LentUntil <= Now + LongestWait;
  const bool MayHaveToken =
      Now >= State.DryUntil || State.NextTokenAt <= Now + LongestWait;
  if (MayWait && ((OwnerAnswers && MayHaveToken) || Rests))
    return {Verdict::ActionKind::Wait, Now + LongestWait,
            core::Milliseconds(0)};
  const bool OwnerIsDry = OwnerAnswers && Now < State.DryUntil + AnswerTime;
  ++(OwnerIsDry ? Counts.Refused : Counts.Undecided);
  // Without an owner, the next token of the own share counts, or the end of
  // the loan.
  const core::TimePoint Next = OwnerAnswers
                                   ? std::max(State.NextTokenAt, Now)
                                   : std::max(Of.LentUntil, Now + TokenTerm);
  return {OwnerIsDry ? Verdict::ActionKind::Refuse
                     : Verdict::ActionKind::Unknown,
          std::nullopt, std::chrono::ceil<core::Milliseconds>(Next - Now)};
}

Verdict TenantQuotas::take(const core::TenantName &Name, core::TimePoint Now) {
  const auto Configured = Table ? Table->findTenant(Name) : nullptr;
  if (!Configured || Configured->Quota.RequestsPerSecond <= 0)
    return {};
  Tenant &State = stateOf(Name);
  ++State.ArrivedInPeriod;
  const Verdict Result = decide(State, Name, Configured->Quota, true, Now);
  const bool Waits = Result.Action == Verdict::ActionKind::Wait;
  if (Waits)
    ++State.Waiting;
  const core::NodeId &To = Groups[groupOf(Name)].Owner;
  if (Waits || (Now >= State.DryUntil &&
                wantedAhead(State, Now) > 2 * heldTokens(State)))
    Links[To].WithDemand.insert(Name);
  return Result;
}

Verdict TenantQuotas::takeForWaiting(const core::TenantName &Name,
                                     core::TimePoint WaitsUntil,
                                     core::TimePoint Now) {
  const auto Configured = Table ? Table->findTenant(Name) : nullptr;
  if (!Configured || Configured->Quota.RequestsPerSecond <= 0)
    return {};
  Tenant &State = stateOf(Name);
  const Verdict Result =
      decide(State, Name, Configured->Quota, Now < WaitsUntil, Now);
  if (Result.Action == Verdict::ActionKind::Wait)
    Links[Groups[groupOf(Name)].Owner].WithDemand.insert(Name);
  return Result;
}

void TenantQuotas::withdraw(const core::TenantName &Name) {
  const auto Found = Tenants.find(Name);
  if (Found != Tenants.end() && Found->second.Waiting > 0)
    --Found->second.Waiting;
}

void TenantQuotas::giveBack(const core::TenantName &Name, core::TimePoint Until,
                            core::TimePoint Now) {
  const auto Found = Tenants.find(Name);
  const auto Configured = Table ? Table->findTenant(Name) : nullptr;
  if (Found == Tenants.end() || !Configured || Until <= Now)
    return;
  Tenant &State = Found->second;
  const auto At =
      std::ranges::upper_bound(State.Lent, Until, {}, &Token::Until);
  State.Lent.insert(At, {Until, 1});
}

/// A share goes to another process only after the loan to the former one has
/// ended by this node's clock.
Loan TenantQuotas::lend(const core::NodeId &To, const OwnerLink &Link,
                        core::TimePoint Now) {
  Loan Lent;
  const bool Unresponsive =
      Link.UnansweredSince && Now - *Link.UnansweredSince >= LendingSilence;
  if (!Link.Answered || Unresponsive)
    return Lent;
  Lent.OwnerIncarnation = Link.Answered->Incarnation;
  Lent.OwnerSentAt = Link.AnswerSentAt;
  Lent.Nodes = static_cast<std::uint32_t>(nodes());
  if (!hasShare())
    return Lent;
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

double TenantQuotas::wantedAhead(const Tenant &State, core::TimePoint Now) {
  const double Ahead = State.ArrivalsPerSecond * SecondsAhead;
  return Ahead < FewestAhead || Now < State.LastDemandAt + AnswerTime ? 0
                                                                      : Ahead;
}

double TenantQuotas::heldTokens(const Tenant &State) {
  double Held = 0;
  for (const Token &Each : State.Lent)
    Held += Each.Count;
  return Held;
}

void TenantQuotas::sampleArrivals(const core::NodeId &To, OwnerLink &Link,
                                  core::TimePoint Now) {
  if (Now < Link.NextSampleAt)
    return;
  Link.NextSampleAt = Now + RenewalPeriod;
  for (auto &[Name, State] : Tenants) {
    if (Groups[groupOf(Name)].Owner != To)
      continue;
    State.ArrivalsPerSecond +=
        NewestWeight * (State.ArrivedInPeriod / seconds(RenewalPeriod) -
                        State.ArrivalsPerSecond);
    State.ArrivedInPeriod = 0;
  }
}

std::vector<TokenDemand> TenantQuotas::demands(OwnerLink &Link,
                                               core::TimePoint Now) {
  std::vector<TokenDemand> List;
  for (const core::TenantName &Name : std::exchange(Link.WithDemand, {})) {
    const auto Configured = Table->findTenant(Name);
    if (!Configured || Configured->Quota.RequestsPerSecond <= 0)
      continue;
    Tenant &State = stateOf(Name);
    if (Now < State.DryUntil) {
      Link.WithDemand.insert(Name);
      continue;
    }
    refresh(State, Groups[groupOf(Name)], Configured->Quota, Now);
    const double Ahead = wantedAhead(State, Now);
    const double Missing =
        std::floor(State.Waiting + Ahead - heldTokens(State));
    if (Missing < 1)
      continue;
    if (Ahead > 0)
      State.LastDemandAt = Now;
    List.push_back({Name, static_cast<std::uint32_t>(Missing)});
  }
  return List;
}

std::vector<OutgoingRequest> TenantQuotas::dueRequests(core::TimePoint Now) {
  std::vector<OutgoingRequest> Due;
  if (!Table || !Table->hasQuotas())
    return Due;
  for (const core::NodeId &To : Leads) {
    OwnerLink &Link = Links[To];
    sampleArrivals(To, Link, Now);
    const bool Renewal = Now >= Link.NextRenewalAt;
    const bool Demand = !Link.WithDemand.empty() && Now >= Link.NextDemandAt;
    // No two requests to one owner have the same time.
    if ((!Renewal && !Demand) || (Link.LastSentAt && *Link.LastSentAt >= Now))
      continue;
    QuotaRequest Request;
    if (Demand)
      Request.Demands = demands(Link, Now);
    if (Request.Demands.empty() && !Renewal)
      continue;
    Request.From = Self;
    Request.SentAt = Now;
    Request.Lent = lend(To, Link, Now);
    if (!Request.Demands.empty())
      Link.NextDemandAt = Now + AnswerTime;
    Link.LastSentAt = Now;
    if (!Link.UnansweredSince || Now - *Link.UnansweredSince > SilentOwnerPause)
      Link.UnansweredSince = Now;
    Link.NextRenewalAt = Now + RenewalPeriod;
    Link.Pending.erase(Link.Pending.begin(),
                       Link.Pending.upper_bound(Now - TokenTerm));
    Link.Pending.emplace(Now, Request.Lent);
    if (To != Self.Node)
      Due.push_back({To, std::move(Request)});
    else
      apply(Owner.answer(Request, *Table, Now), Now);
  }
  return Due;
}

std::optional<QuotaReply> TenantQuotas::answer(const QuotaRequest &Request,
                                               core::TimePoint Now) {
  if (!Table || !Table->hasQuotas())
    return std::nullopt;
  return Owner.answer(Request, *Table, Now);
}

/// A share that now goes to another owner was left out of the message that the
/// former one answered: it has stopped to mint for it, and its tokens end.
void TenantQuotas::endReturnedLoans(const QuotaReply &Reply, const Loan &Stated,
                                    core::TimePoint Now) {
  if (Stated.OwnerIncarnation != Reply.From.Incarnation)
    return;
  for (std::size_t Number = 0; Number < GroupCount; ++Number) {
    Group &Each = Groups[Number];
    if ((Stated.Groups >> Number & 1) == 0 && Each.LentTo == Reply.From)
      Each.LentUntil = std::min(Each.LentUntil, Now + TokenTerm);
  }
}

/// The ports of a process are free for its successor once it has ended; the
/// tokens that it handed out last on.
void TenantQuotas::endLoansBefore(const Process &Successor,
                                  core::TimePoint Now) {
  for (Group &Each : Groups)
    if (Each.LentTo.Node == Successor.Node &&
        Each.LentTo.Incarnation < Successor.Incarnation)
      Each.LentUntil = std::min(Each.LentUntil, Now + TokenTerm);
}

void TenantQuotas::apply(const QuotaReply &Reply, core::TimePoint Now) {
  const auto Found = Links.find(Reply.From.Node);
  if (Found == Links.end() || Reply.ToIncarnation != Self.Incarnation)
    return;
  OwnerLink &Link = Found->second;
  const auto Sent = Link.Pending.extract(Reply.RequestSentAt);
  if (Sent.empty())
    return;
  Link.UnansweredSince.reset();
  if (!Reply.Grants.empty())
    Link.NextDemandAt = Now;
  endReturnedLoans(Reply, Sent.mapped(), Now);
  if (Link.Answered != Reply.From) {
    // The next message to a new process states the loan.
    Link.NextRenewalAt = Now;
    endLoansBefore(Reply.From, Now);
  }
  if (Link.Answered != Reply.From || Reply.SentAt > Link.AnswerSentAt) {
    Link.Answered = Reply.From;
    Link.AnswerSentAt = Reply.SentAt;
    Link.AnswerAt = Now;
  }
  const core::TimePoint Until = Reply.RequestSentAt + TokenTerm;
  for (const TokenGrant &Grant : Reply.Grants) {
    Tenant &State = stateOf(Grant.Tenant);
    State.NextTokenAt = Now + Grant.NextIn;
    State.DryUntil = Grant.NextIn.count() > 0 ? Now + DryTime : Now;
    if (Grant.Tokens == 0 || Until <= Now)
      continue;
    Counts.Received += Grant.Tokens;
    const auto At =
        std::ranges::upper_bound(State.Lent, Until, {}, &Token::Until);
    State.Lent.insert(At, {Until, Grant.Tokens});
  }
}

} // namespace filbertvane::decision::mesh::quota
