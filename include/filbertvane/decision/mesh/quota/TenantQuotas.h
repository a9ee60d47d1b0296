#ifndef FILBERTVANE_DECISION_MESH_QUOTA_TENANTQUOTAS_H
#define FILBERTVANE_DECISION_MESH_QUOTA_TENANTQUOTAS_H

#include "filbertvane/decision/mesh/quota/QuotaOwner.h"
#include <memory>
#include <optional>
#include <set>

namespace filbertvane::decision::mesh::quota {

/// @brief Decision on a request of a tenant.
struct Verdict {
  enum class ActionKind : std::uint8_t { Admit, Wait, Refuse };
  ActionKind Action = ActionKind::Admit;
  /// Admit: time until which the token can be returned; none without a quota.
  /// Wait: time until which the request is held for tokens of the owner.
  std::optional<core::TimePoint> Until;
  /// Refuse: earliest time from now at which a token may exist.
  core::Milliseconds RetryAfter{0};

  friend auto operator<=>(const Verdict &, const Verdict &) = default;
};

/// @brief Requests since the start of the process, over all tenants.
struct QuotaCounts {
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
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

  /// @brief Sets the candidates for ownership and the number of nodes. A
  ///        smaller number than before is ignored.
  void setFleet(std::vector<core::NodeId> Leads, std::size_t Nodes);
  void setRouting(std::shared_ptr<const config::RoutingTable> NewTable);

  /// @brief Takes a token for a new request.
  Verdict take(const core::TenantName &Tenant, core::TimePoint Now);
  /// @brief Takes a token for a request that waits.
  Verdict takeForWaiting(const core::TenantName &Tenant, core::TimePoint Now);
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
    std::uint32_t Waiting = 0;
    std::uint32_t ArrivedInPeriod = 0;
    double ArrivalsPerSecond = 0;
    /// Last demand in advance.
    core::TimePoint LastDemandAt;
    /// The owner has no token before this time.
    core::TimePoint DryUntil;
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
    core::TimePoint NextRenewalAt;
    /// Requests without an answer; a duplicate answer must not count twice.
    std::set<core::TimePoint> Pending;
    std::set<core::TenantName> WithDemand;
  };

  Tenant &stateOf(const core::TenantName &Name);
  void refresh(Tenant &State, const Group &Of, const config::Quota &Quota,
               core::TimePoint Now);
  Verdict decide(Tenant &State, const core::TenantName &Name,
                 const config::Quota &Quota, core::TimePoint Now);
  std::optional<core::TimePoint> takeToken(Tenant &State);
  /// Tokens to ask for before requests wait for them.
  static double missingAhead(const Tenant &State, core::TimePoint Now);
  Loan lend(const core::NodeId &Owner, const OwnerLink &Link,
            core::TimePoint Now);
  std::vector<TokenDemand> demands(const core::NodeId &Owner, OwnerLink &Link,
                                   bool Renewal, core::TimePoint Now);

  Process Self;
  /// A former process of this node may have lent its share until then.
  core::TimePoint ShareUsableFrom;
  std::size_t Nodes = 1;
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
