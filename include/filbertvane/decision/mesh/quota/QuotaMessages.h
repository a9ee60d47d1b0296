#ifndef FILBERTVANE_DECISION_MESH_QUOTA_QUOTAMESSAGES_H
#define FILBERTVANE_DECISION_MESH_QUOTA_QUOTAMESSAGES_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Time.h"
#include <cstdint>
#include <vector>

namespace filbertvane::decision::mesh::quota {

/// Tenants are divided into this many groups; an owner is chosen and shares are
/// lent by group, so that a loan is one bit of a message. Twice as many leads
/// as data centres in the largest deployment still get several groups each.
inline constexpr std::size_t GroupCount = 64;

/// Time for which a lender does not use a share that it has lent, from the time
/// it sent the loan by its own clock. The owner counts the term from the time
/// of its message that the loan echoes, which is earlier.
inline constexpr core::Milliseconds LoanTerm{1500};
/// Time for which a token may be used, from the time its borrower asked for it
/// by the borrower's clock. An owner uses a loan until this long before its
/// end, hence the difference to `LoanTerm` is what lost messages may use up. A
/// token counts towards the burst for this time also when it was used at once.
inline constexpr core::Milliseconds TokenTerm{300};
/// Interval of loan renewals; three may be lost in a row.
inline constexpr core::Milliseconds RenewalPeriod{250};

/// @brief Process of a node; a restarted process knows none of the tokens and
///        loans of its predecessor.
struct Process {
  core::NodeId Node;
  core::Incarnation Incarnation;

  friend auto operator<=>(const Process &, const Process &) = default;
};

/// @brief Shares that a node leaves to an owner.
struct Loan {
  core::Incarnation OwnerIncarnation;
  /// Time of the last message of the owner, by the owner's clock.
  core::TimePoint OwnerSentAt;
  /// Groups of tenants, one bit each.
  std::uint64_t Groups = 0;
  /// Each share is one part of this many.
  std::uint32_t Nodes = 1;

  friend auto operator<=>(const Loan &, const Loan &) = default;
};

/// @brief Tokens that a node wants for the requests of a tenant.
struct TokenDemand {
  core::TenantName Tenant;
  std::uint32_t Tokens = 0;

  friend auto operator<=>(const TokenDemand &, const TokenDemand &) = default;
};

/// @brief Message of a node to an owner.
struct QuotaRequest {
  Process From;
  /// By the sender's clock; no two messages to one owner share it.
  core::TimePoint SentAt;
  /// Has no groups until the owner has answered.
  Loan Lent;
  std::vector<TokenDemand> Demands;

  friend auto operator<=>(const QuotaRequest &, const QuotaRequest &) = default;
};

/// @brief Tokens that an owner hands out.
struct TokenGrant {
  core::TenantName Tenant;
  std::uint32_t Tokens = 0;
  /// Earliest time from now at which the owner has another token; 0 when the
  /// demand was met.
  core::Milliseconds NextIn{0};

  friend auto operator<=>(const TokenGrant &, const TokenGrant &) = default;
};

/// @brief Answer of an owner.
struct QuotaReply {
  Process From;
  /// By the owner's clock.
  core::TimePoint SentAt;
  core::Incarnation ToIncarnation;
  /// `SentAt` of the request, by the clock of the node that sent it.
  core::TimePoint RequestSentAt;
  std::vector<TokenGrant> Grants;

  friend auto operator<=>(const QuotaReply &, const QuotaReply &) = default;
};

/// @brief Group of a tenant; the same at all nodes.
std::size_t groupOf(const core::TenantName &Tenant);

} // namespace filbertvane::decision::mesh::quota

#endif // FILBERTVANE_DECISION_MESH_QUOTA_QUOTAMESSAGES_H
