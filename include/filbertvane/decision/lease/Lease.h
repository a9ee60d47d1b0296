#ifndef FILBERTVANE_DECISION_LEASE_LEASE_H
#define FILBERTVANE_DECISION_LEASE_LEASE_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Random.h"
#include "filbertvane/core/Time.h"
#include "filbertvane/decision/Step.h"
#include "filbertvane/observe/LogEvent.h"
#include <optional>
#include <variant>
#include <vector>

namespace filbertvane::decision::lease {

/// @name Timeouts and limits
/// @{
inline constexpr core::Milliseconds RenewalPeriod{2000};
/// Validity of a renewal, counted from its append.
inline constexpr core::Milliseconds LeaseDuration{6000};
/// Minimum delay of a claim after the lease expired; covers a clock drift of 3%
/// over `LeaseDuration`.
inline constexpr core::Milliseconds MinClaimDelay{200};
inline constexpr core::Milliseconds MaxClaimDelay{1000};
/// Time after which a claim that was not read back is repeated.
inline constexpr core::Milliseconds ClaimTimeout{3000};
/// Maximum age of the last complete read of the lease stream for a claim;
/// covers a long poll of 1 s and a slow answer.
inline constexpr core::Milliseconds MaxReadAge{2500};
/// Renewals that were appended but not yet read back.
inline constexpr std::size_t MaxPendingRenewals = 8;
/// @}

/// @brief Record of the `lease` stream.
struct Renewal {
  core::NodeId Holder;
  core::Epoch LeaseEpoch;
  std::uint64_t Sequence = 0;

  friend auto operator<=>(const Renewal &, const Renewal &) = default;
};

struct Settings {
  core::NodeId Node;
  /// Writer of the records of this process. It differs between processes of one
  /// node, so that a restarted node does not resume its former lease.
  core::WriterId Writer;
};

struct PendingRenewal {
  std::uint64_t Sequence = 0;
  core::TimePoint AppendedAt;
};

struct PendingClaim {
  core::Epoch NewEpoch;
  /// Time of the first append, from which the lease counts.
  core::TimePoint AppendedAt;
  core::TimePoint RetryAt;
};

struct State {
  Settings Local;
  core::Random Rng;
  /// This node is the ready lead of its data centre, hence a candidate.
  bool IsLead = false;

  /// @name Known from the log
  /// @{
  core::Epoch CurrentEpoch;
  core::NodeId Holder;
  /// @}

  /// @name Candidate
  /// @{
  /// Time at which the latest renewal or claim of a holder was read.
  core::TimePoint HeardAt;
  /// All records appended before this time have been read.
  std::optional<core::TimePoint> ReadUpTo;
  /// Random delay of the next claim after the lease expires.
  core::Microseconds ClaimDelay{0};
  std::optional<PendingClaim> Claim;
  /// @}

  /// @name Holder
  /// @{
  /// End of the lease by the local clock; set while this node holds it.
  std::optional<core::TimePoint> HeldUntil;
  std::vector<PendingRenewal> PendingRenewals;
  std::uint64_t NextSequence = 1;
  core::TimePoint NextRenewal;
  /// @}
};

State initial(Settings Local, std::uint64_t Seed);

/// @name Events
/// @{
struct Tick {};
/// @brief This node became, or is no longer, the ready lead of its data centre.
struct LeadChanged {
  bool IsLead = false;
};
/// @brief A read of the lease stream reached its end.
struct LeaseRead {
  /// Time at which the read was sent; it covers all records appended before.
  core::TimePoint SentAt;
  std::vector<Renewal> Records;
};
/// @brief A valid `LeaseClaimed` was folded from the `config` stream.
struct ClaimFolded {
  core::WriterId Writer;
  core::NodeId Holder;
  core::Epoch NewEpoch;
};
/// @brief The pending claim was not and will not be appended, so that the next
///        one counts from its append.
struct ClaimNotAppended {};
/// @brief The state was adopted from a snapshot, without its individual claims.
struct EpochAdopted {
  core::NodeId Holder;
  core::Epoch CurrentEpoch;
};

using Event = std::variant<Tick, LeadChanged, LeaseRead, ClaimFolded,
                           ClaimNotAppended, EpochAdopted>;
/// @}

/// @name Effects
/// @{
struct AppendRenewal {
  Renewal Record;
};
struct AppendClaim {
  core::Epoch NewEpoch;
};
struct BecameHolder {
  core::Epoch HeldEpoch;
};
/// @brief This node must stop acting as the coordinator.
struct LostLease {
  core::Epoch LostEpoch;
};

using Effect = std::variant<AppendRenewal, AppendClaim, BecameHolder, LostLease,
                            observe::LogEvent>;
using Effects = std::vector<Effect>;
/// @}

/// @brief Applies one event.
Step<State, Effects> reduce(State Before, const Event &E, core::Instant Now);

/// @brief Whether this node may act as the coordinator now.
///
/// Check this before each action, because the process may have been paused
/// since its last event.
bool holdsLease(const State &S, core::TimePoint Now);

} // namespace filbertvane::decision::lease

#endif // FILBERTVANE_DECISION_LEASE_LEASE_H
