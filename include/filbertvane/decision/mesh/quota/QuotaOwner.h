#ifndef FILBERTVANE_DECISION_MESH_QUOTA_QUOTAOWNER_H
#define FILBERTVANE_DECISION_MESH_QUOTA_QUOTAOWNER_H

#include "filbertvane/config/Routing.h"
#include "filbertvane/decision/mesh/quota/QuotaMessages.h"
#include <array>
#include <deque>
#include <map>

namespace filbertvane::decision::mesh::quota {

/// @brief Hands out tokens against the shares that other nodes lent.
///
/// Load: a tenant whose requests come at few of many nodes, where fixed shares
/// would refuse most of its quota.
class QuotaOwner {
public:
  explicit QuotaOwner(Process Self) : Self(std::move(Self)) {}

  /// @brief Sets the number of nodes that have a share.
  void setNodes(std::size_t NewNodes) { Nodes = NewNodes; }
  std::size_t lenderCount() const { return Lenders.size(); }

  /// @brief Records the loan of a request and meets its demands as far as the
  ///        lent shares allow.
  /// @param Table quotas of the tenants; demands of unknown tenants get nothing
  /// Complexity: linear in the demands, and in the lenders every
  /// `SettlingPeriod`.
  QuotaReply answer(const QuotaRequest &Request,
                    const config::RoutingTable &Table, core::TimePoint Now);

private:
  struct Lender {
    core::Incarnation Incarnation;
    /// Newest message that states a loan, by the lender's clock.
    core::TimePoint SentAt;
    std::uint64_t Groups = 0;
    double Share = 0;
    /// Time until which the lender does not use its share, by this clock.
    core::TimePoint Until;
    /// Time up to which its share has been minted.
    core::TimePoint MintedUntil;
  };
  struct Outstanding {
    core::TimePoint Until;
    std::uint32_t Tokens = 0;
  };
  struct Bucket {
    std::size_t Group = 0;
    double Level = 0;
    /// Share-seconds of the group that have been turned into tokens.
    double MintedOf = 0;
    std::deque<Outstanding> HandedOut{};
    std::uint32_t HandedOutTokens = 0;
    /// Tokens that were asked for in vain, fading with `UnmetTime`.
    double Unmet = 0;
    core::TimePoint UnmetAt{};
  };

  /// @return whether the lender took shares back
  bool recordLoan(const QuotaRequest &Request, core::TimePoint Now);
  void mint(Lender &From, core::TimePoint Now);
  /// Limits what was minted since the last settling to the whole quota.
  void limitMinting(core::TimePoint Now);
  void settleIfDue(const config::RoutingTable &Table, core::TimePoint Now);
  void settle(const config::RoutingTable &Table, core::TimePoint Now);
  void changePool(const std::array<double, GroupCount> &NewPool,
                  const config::RoutingTable &Table, core::TimePoint Now);
  /// Fills a bucket up to a part of the burst.
  void accrue(Bucket &Stock, double PoolShare, const config::Quota &Quota,
              core::TimePoint Now);
  TokenGrant grant(const TokenDemand &Demand, const config::Quota &Quota,
                   core::TimePoint Now);

  Process Self;
  std::size_t Nodes = 1;
  std::map<core::NodeId, Lender> Lenders;
  std::map<core::TenantName, Bucket> Buckets;
  /// Seconds of the whole quota that the lent shares have added up to.
  std::array<double, GroupCount> ShareSeconds{};
  /// `ShareSeconds` at the last settling.
  std::array<double, GroupCount> SettledShares{};
  /// `ShareSeconds` at the last change of the pool.
  std::array<double, GroupCount> SharesAtChange{};
  /// Shares that stay lent for longer than a token may be used.
  std::array<double, GroupCount> Pool{};
  core::TimePoint SettledAt = core::TimePoint::min();
};

} // namespace filbertvane::decision::mesh::quota

#endif // FILBERTVANE_DECISION_MESH_QUOTA_QUOTAOWNER_H
