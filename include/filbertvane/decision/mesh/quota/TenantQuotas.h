#ifndef FILBERTVANE_DECISION_MESH_QUOTA_TENANTQUOTAS_H
#define FILBERTVANE_DECISION_MESH_QUOTA_TENANTQUOTAS_H

#include "filbertvane/decision/mesh/quota/QuotaOwner.h"
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace filbertvane::decision::mesh::quota {

/// @brief Decision on a request of a tenant.
struct Verdict {
  enum class ActionKind : std::uint8_t {
    Admit,
    Wait,
    /// The tenant has used up its quota.
    Refuse,
    /// No owner answers, and the share of this node has no token: whether the
    /// tenant has used up its quota is not known.
    Unknown
  };
  ActionKind Action = ActionKind::Admit;
  /// Admit: time until which the token can be returned; none without a quota,
  /// or for a token of the node's own share.
  /// Wait: time until which the request is held for tokens of the owner.
  std::optional<core::TimePoint> Until;
  /// Refuse, Unknown: earliest time from now at which a token may exist.
  core::Milliseconds RetryAfter{0};

  friend auto operator<=>(const Verdict &, const Verdict &) = default;
};

/// @brief Requests since the start of the process, over all tenants.
struct QuotaCounts {
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  /// Refused while no owner answered and the own share had no token.
  std::uint64_t Undecided = 0;
  /// Tokens received from owners.
  std::uint64_t Received = 0;
  /// Tokens received that expired unused.
  std::uint64_t Expired = 0;

  friend auto operator<=>(const QuotaCounts &, const QuotaCounts &) = default;
};

/// @brief Message for the owner of some tenants.
struct OutgoingRequest {
  core::NodeId Owner;
  QuotaRequest Request;
};

/// @brief One node's part in the quotas of all tenants.
///
/// The fractions of a quota that the nodes may use sum to at most one at any
/// time, whatever messages, links or processes are lost: see
/// docs/design/quota.md.
class TenantQuotas {
public:
  TenantQuotas(const Process &Self, core::TimePoint StartedAt);

  /// @brief Sets the candidates for ownership and the number of nodes.
  /// @param Nodes nodes that were ever known; a smaller number than before is
  ///        ignored, and 0 tells nothing. Until it is told, the node does not
  ///        use or lend a share of its own.
  /// @param Retired those of them that gave their shares up for good
  void setFleet(std::vector<core::NodeId> Leads, std::size_t Nodes,
                std::size_t Retired = 0);
  void setRouting(std::shared_ptr<const config::RoutingTable> NewTable);
  /// @brief Ends loans to processes of which this one is the successor.
  void endLoansBefore(const Process &Successor, core::TimePoint Now);
  /// @brief Gives the node's own share up; it goes on with tokens of owners.
  void retire();
  /// @brief Whether an owner leaves messages unanswered and is not to be asked.
  /// @param LastReportAt last other sign of its process
  bool isSilent(const core::NodeId &Owner, core::TimePoint LastReportAt,
                core::TimePoint Now) const;

  /// @brief Takes a token for a new request. One that waits counts as demand
  ///        until `withdraw`.
  Verdict take(const core::TenantName &Tenant, core::TimePoint Now);
  /// @brief Takes a token for a request that waits.
  /// @param WaitsUntil end of its wait; there is no further one
  Verdict takeForWaiting(const core::TenantName &Tenant,
                         core::TimePoint WaitsUntil, core::TimePoint Now);
  /// @brief A request of the tenant waits no more.
  void withdraw(const core::TenantName &Tenant);
  /// @brief Returns the token of a request that reached no target.
  /// @param Until as stated when the token was taken
  void giveBack(const core::TenantName &Tenant, core::TimePoint Until,
                core::TimePoint Now);

  /// @brief Messages that are due: renewals, and demands of waiting requests.
  std::vector<OutgoingRequest> dueRequests(core::TimePoint Now);
  /// @brief Answers the request of another node.
  std::optional<QuotaReply> answer(const QuotaRequest &Request,
                                   core::TimePoint Now);
  /// @brief Applies the answer of an owner; waiting requests of its tenants
  ///        are to be decided again.
  void apply(const QuotaReply &Reply, core::TimePoint Now);

  const QuotaCounts &counts() const { return Counts; }
  /// @brief Nodes among which each quota is divided.
  std::size_t nodes() const { return Nodes - Retired; }
  /// @brief Groups of tenants whose shares this node lends.
  std::size_t lentGroups(core::TimePoint Now) const;
  /// @brief Nodes that lend their shares to this one.
  std::size_t lenderCount() const { return Owner.lenderCount(); }

private:
  struct Token {
    core::TimePoint Until;
    std::uint32_t Count = 0;
  };
  struct Tenant {
    /// Tokens of the node's own share.
    double OwnLevel = 0;
    core::TimePoint OwnAt;
    /// Tokens from owners, the first to expire first.
    std::deque<Token> Lent;
    /// Requests that wait for tokens.
    std::uint32_t Waiting = 0;
    std::uint32_t ArrivedInPeriod = 0;
    double ArrivalsPerSecond = 0;
    /// Last demand in advance.
    core::TimePoint LastDemandAt;
    /// The owner has no token, and is not asked before this time.
    core::TimePoint DryUntil;
    /// Time at which it expects to have one.
    core::TimePoint NextTokenAt;
  };
  struct Group {
    core::NodeId Owner;
    /// Process to which the share of this node is lent, and until when.
    Process LentTo;
    core::TimePoint LentUntil;
  };
  struct OwnerLink {
    std::optional<Process> Answered;
    /// Time of its newest answer by its clock and by this node's.
    core::TimePoint AnswerSentAt;
    core::TimePoint AnswerAt;
    std::optional<core::TimePoint> LastSentAt;
    /// First message since the last answer.
    std::optional<core::TimePoint> UnansweredSince;
    core::TimePoint NextRenewalAt;
    core::TimePoint NextSampleAt;
    /// Messages without an answer, with what they state of loans; a duplicate
    /// answer must not count twice.
    std::map<core::TimePoint, Loan> Pending;
    std::set<core::TenantName> WithDemand;
    /// Time from which an unanswered demand is repeated.
    core::TimePoint NextDemandAt;
  };

  Tenant &stateOf(const core::TenantName &Name);
  void refresh(Tenant &State, const Group &Of, const config::Quota &Quota,
               core::TimePoint Now);
  Verdict decide(Tenant &State, const core::TenantName &Name,
                 const config::Quota &Quota, bool MayWait, core::TimePoint Now);
  static bool takeToken(Tenant &State, std::optional<core::TimePoint> &Until);
  /// Tokens to have before requests wait for them.
  static double wantedAhead(const Tenant &State, core::TimePoint Now);
  /// Tokens of owners.
  static double heldTokens(const Tenant &State);
  bool hasShare() const { return FleetKnown && !HasRetired; }
  Loan lend(const core::NodeId &Owner, const OwnerLink &Link,
            core::TimePoint Now);
  void endReturnedLoans(const QuotaReply &Reply, const Loan &Stated,
                        core::TimePoint Now);
  void sampleArrivals(const core::NodeId &Owner, OwnerLink &Link,
                      core::TimePoint Now);
  std::vector<TokenDemand> demands(OwnerLink &Link, core::TimePoint Now);

  Process Self;
  /// A former process of this node may have lent its share until then.
  core::TimePoint ShareUsableFrom;
  std::size_t Nodes = 1;
  std::size_t Retired = 0;
  bool FleetKnown = false;
  bool HasRetired = false;
  std::vector<core::NodeId> Leads;
  std::array<Group, GroupCount> Groups;
  std::map<core::NodeId, OwnerLink> Links;
  std::map<core::TenantName, Tenant> Tenants;
  std::shared_ptr<const config::RoutingTable> Table;
  QuotaOwner Owner;
  QuotaCounts Counts;
};

} // namespace filbertvane::decision::mesh::quota

#endif // FILBERTVANE_DECISION_MESH_QUOTA_TENANTQUOTAS_H
