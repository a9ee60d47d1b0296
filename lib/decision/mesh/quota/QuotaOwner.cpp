#include "filbertvane/decision/mesh/quota/QuotaOwner.h"
#include "filbertvane/core/Digest.h"
#include <algorithm>
#include <cmath>

namespace filbertvane::decision::mesh::quota {

namespace {

/// Interval at which the shares of all lenders are summed. Each
/// lender takes a loop over 64 groups: at 2,000 lenders and 200 sums a second,
/// 25.6 million steps a second, twice.
constexpr core::Milliseconds SettlingPeriod{5};
/// Time in which a demand that was not met is forgotten. A node whose requests
/// still wait repeats it after 50 ms and a round trip.
constexpr double UnmetTimeSeconds = 0.1;
/// Time within which the first shares of a group arrive at a new owner, once
/// those lent to the former one are free.
constexpr core::Milliseconds FirstLoanTime{150};
/// Sums of shares fall short of a whole token by rounding.
constexpr double Rounding = 1e-6;
constexpr double MicrosPerSecond = 1e6;

double seconds(core::Microseconds Time) {
  return static_cast<double>(Time.count()) / MicrosPerSecond;
}

/// Tokens may be minted one settling period after their time; the stock is
/// smaller by as many. A quota without a burst still holds one token, since no
/// request passes otherwise.
double depthOf(const config::Quota &Quota) {
  return std::max(1.0, Quota.Burst -
                           Quota.RequestsPerSecond * seconds(SettlingPeriod));
}

} // namespace

std::size_t groupOf(const core::TenantName &Tenant) {
  return static_cast<std::size_t>(core::digestOf(Tenant.value()).value() %
                                  GroupCount);
}

void QuotaOwner::mint(Lender &From, core::TimePoint Now) {
  const core::TimePoint Until = std::min(Now, From.Until - TokenTerm);
  if (Until <= From.MintedUntil)
    return;
  const double Added = From.Share * seconds(Until - From.MintedUntil);
  for (std::size_t Group = 0; Group < GroupCount; ++Group)
    if ((From.Groups >> Group & 1) != 0)
      ShareSeconds[Group] += Added;
  From.MintedUntil = Until;
}

/// Lenders that know too few nodes state shares that sum to more than one.
void QuotaOwner::limitMinting(core::TimePoint Now) {
  const double Elapsed = seconds(Now - SettledAt);
  for (std::size_t Group = 0; Group < GroupCount; ++Group)
    ShareSeconds[Group] =
        std::min(ShareSeconds[Group], SettledShares[Group] + Elapsed);
}

/// The lender sent the loan after it had received the message that the loan
/// echoes, hence the term by this clock ends first. Loans that echo another
/// process refer to another clock.
bool QuotaOwner::recordLoan(const QuotaRequest &Request, core::TimePoint Now) {
  const Loan &Lent = Request.Lent;
  if (Lent.OwnerIncarnation != Self.Incarnation || Lent.OwnerSentAt > Now ||
      Lent.Nodes == 0)
    return false;
  if (Lent.Groups == 0 && !Lenders.contains(Request.From.Node))
    return false;
  Lender &From = Lenders[Request.From.Node];
  const core::TimePoint Until = Lent.OwnerSentAt + LoanTerm;
  // A late message says less than a newer one. One without groups takes the
  // former ones back.
  const bool SameProcess = From.Incarnation == Request.From.Incarnation;
  if (SameProcess ? Request.SentAt <= From.SentAt : Until <= From.Until)
    return false;
  mint(From, Now);
  limitMinting(Now);
  const bool TakesBack = (From.Groups & ~Lent.Groups) != 0;
  From.Incarnation = Request.From.Incarnation;
  From.SentAt = Request.SentAt;
  From.Groups = Lent.Groups;
  From.Share =
      1.0 / static_cast<double>(std::max<std::size_t>(Lent.Nodes, Nodes));
  From.Until = Until;
  From.MintedUntil = Now;
  return TakesBack;
}

/// Tokens that a borrower may still use count towards the stock, so that what
/// exists at one time never exceeds the part of the burst that is lent.
void QuotaOwner::accrue(Bucket &Stock, double PoolShare,
                        const config::Quota &Quota, core::TimePoint Now) {
  while (!Stock.HandedOut.empty() && Stock.HandedOut.front().Until <= Now) {
    Stock.HandedOutTokens -= Stock.HandedOut.front().Tokens;
    Stock.HandedOut.pop_front();
  }
  const double Room =
      PoolShare * depthOf(Quota) + Rounding - Stock.HandedOutTokens;
  const double Minted =
      (ShareSeconds[Stock.Group] - Stock.MintedOf) * Quota.RequestsPerSecond;
  Stock.MintedOf = ShareSeconds[Stock.Group];
  Stock.Level = std::max(0.0, std::min(Stock.Level + Minted, Room));
}

/// Tokens of a share that is not lent any more must not be left for the time
/// when it is lent again, and a bucket that was small must not fill at once
/// when its pool grows.
void QuotaOwner::changePool(const std::array<double, GroupCount> &NewPool,
                            const config::RoutingTable &Table,
                            core::TimePoint Now) {
  if (NewPool == Pool)
    return;
  for (auto &[Name, Stock] : Buckets) {
    const double Old = Pool[Stock.Group];
    const double New = NewPool[Stock.Group];
    if (Old == New)
      continue;
    const auto Tenant = Table.findTenant(Name);
    accrue(Stock, std::min(Old, New), Tenant ? Tenant->Quota : config::Quota(),
           Now);
  }
  for (std::size_t Group = 0; Group < GroupCount; ++Group)
    if (NewPool[Group] != Pool[Group])
      SharesAtChange[Group] = ShareSeconds[Group];
  Pool = NewPool;
}

/// Within a settling period no loan that the pool counts comes to its end.
void QuotaOwner::settleIfDue(const config::RoutingTable &Table,
                             core::TimePoint Now) {
  if (SettledAt <= Now - SettlingPeriod)
    settle(Table, Now);
}

void QuotaOwner::settle(const config::RoutingTable &Table,
                        core::TimePoint Now) {
  std::array<double, GroupCount> NewPool{};
  for (auto Each = Lenders.begin(); Each != Lenders.end();) {
    Lender &From = Each->second;
    mint(From, Now);
    From.Share = std::min(From.Share, 1.0 / static_cast<double>(Nodes));
    if (From.Until <= Now) {
      Each = Lenders.erase(Each);
      continue;
    }
    // The sum is used until the next settling.
    if (From.Until >= Now + SettlingPeriod + TokenTerm)
      for (std::size_t Group = 0; Group < GroupCount; ++Group)
        if ((From.Groups >> Group & 1) != 0)
          NewPool[Group] = std::min(1.0, NewPool[Group] + From.Share);
    ++Each;
  }
  if (SettledAt != core::TimePoint::min())
    limitMinting(Now);
  SettledAt = Now;
  SettledShares = ShareSeconds;
  changePool(NewPool, Table, Now);
}

TokenGrant QuotaOwner::grant(const TokenDemand &Demand,
                             const config::Quota &Quota, core::TimePoint Now) {
  const std::size_t Group = groupOf(Demand.Tenant);
  // A new bucket fills from the last change of the pool, since before that its
  // level was limited by another pool.
  Bucket &Stock =
      Buckets
          .try_emplace(Demand.Tenant, Bucket{Group, 0, SharesAtChange[Group]})
          .first->second;
  accrue(Stock, Pool[Group], Quota, Now);
  TokenGrant Grant{Demand.Tenant, 0, core::Milliseconds(0)};
  Grant.Tokens = static_cast<std::uint32_t>(std::min(
      static_cast<double>(Demand.Tokens), std::floor(Stock.Level + Rounding)));
  if (Grant.Tokens > 0) {
    Stock.Level = std::max(0.0, Stock.Level - Grant.Tokens);
    Stock.HandedOut.push_back({Now + TokenTerm, Grant.Tokens});
    Stock.HandedOutTokens += Grant.Tokens;
  }
  if (Grant.Tokens == Demand.Tokens)
    return Grant;
  // Others that were refused a moment ago get the next tokens.
  Stock.Unmet *= std::exp(-seconds(Now - Stock.UnmetAt) / UnmetTimeSeconds);
  Stock.UnmetAt = Now;
  if (Pool[Group] <= 0) {
    Grant.NextIn = FirstLoanTime;
    return Grant;
  }
  const double PerSecond = Pool[Group] * Quota.RequestsPerSecond;
  const double Missing = std::max(0.0, 1 - Stock.Level) + Stock.Unmet;
  Stock.Unmet += Demand.Tokens - Grant.Tokens;
  const double Longest = seconds(LoanTerm);
  Grant.NextIn = core::Milliseconds(static_cast<std::int64_t>(std::ceil(
      1000 * (PerSecond * Longest > Missing ? Missing / PerSecond : Longest))));
  return Grant;
}

QuotaReply QuotaOwner::answer(const QuotaRequest &Request,
                              const config::RoutingTable &Table,
                              core::TimePoint Now) {
  // Ends loans before they are renewed, so that no gap between two loans of a
  // share goes unnoticed.
  settleIfDue(Table, Now);
  // The lender relies on the answer: nothing more is granted for what it took
  // back.
  if (recordLoan(Request, Now))
    settle(Table, Now);
  QuotaReply Reply;
  Reply.From = Self;
  Reply.SentAt = Now;
  Reply.ToIncarnation = Request.From.Incarnation;
  Reply.RequestSentAt = Request.SentAt;
  for (const TokenDemand &Demand : Request.Demands)
    if (const auto Tenant = Table.findTenant(Demand.Tenant))
      Reply.Grants.push_back(grant(Demand, Tenant->Quota, Now));
  return Reply;
}

} // namespace filbertvane::decision::mesh::quota
