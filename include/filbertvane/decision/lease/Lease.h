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

/// @name Figures
/// @{
inline constexpr core::Milliseconds RenewalPeriod{2000};
/// Time for which a renewal holds, counted from its append.
inline constexpr core::Milliseconds LeaseDuration{6000};
/// Shortest wait before a claim; it also covers clocks that run at slightly
/// different speeds (3% over `LeaseDuration`).
inline constexpr core::Milliseconds MinClaimDelay{200};
inline constexpr core::Milliseconds MaxClaimDelay{1000};
/// A claim that was not read back after this time is repeated.
inline constexpr core::Milliseconds ClaimTimeout{3000};
/// Age of the last complete read of the lease stream up to which a candidate
/// claims; a long poll of 1 s and a slow answer fit into it.
inline constexpr core::Milliseconds MaxReadAge{2500};
/// Renewals that were appended and not read back.
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
  /// Writer of this process's records; differs between processes of one node,
  /// so that a restarted node does not take its former lease for its own.
  core::WriterId Writer;
};

struct PendingRenewal {
  std::uint64_t Sequence = 0;
  core::TimePoint AppendedAt;
};

struct PendingClaim {
  core::Epoch NewEpoch;
  /// First append; the lease counts from here.
  core::TimePoint AppendedAt;
  core::TimePoint RetryAt;
};

struct State {
  Settings Local;
  core::Random Rng;
  bool IsLead = false;

  /// @name Known from the log
  /// @{
  core::Epoch CurrentEpoch;
  core::NodeId Holder;
  /// @}

  /// @name Candidate
  /// @{
  /// Latest sign of a holder: a renewal or a claim that was read.
  core::TimePoint HeardAt;
  /// The lease stream is known completely up to this time.
  std::optional<core::TimePoint> ReadUpTo;
  /// Random wait of the claim that is next.
  core::Microseconds ClaimDelay{0};
  std::optional<PendingClaim> Claim;
  /// @}

  /// @name Holder
  /// @{
  /// Set while this node may act: the end of its lease by its own clock.
  std::optional<core::TimePoint> HeldUntil;
  std::vector<PendingRenewal> PendingRenewals;
  std::uint64_t NextSequence = 1;
  core::TimePoint NextRenewal;
  /// @}
};

State initial(Settings Own, std::uint64_t Seed);

/// @name Events
/// @{
struct Tick {};
/// @brief The node became, or is no longer, the ready lead of a data centre.
struct LeadChanged {
  bool IsLead = false;
};
/// @brief A read of the lease stream that reached its end.
struct LeaseRead {
  /// Time at which the read was sent: all records appended before it are known.
  core::TimePoint SentAt;
  std::vector<Renewal> Records;
};
/// @brief A valid `LeaseClaimed` was folded from the `config` stream.
struct ClaimFolded {
  core::WriterId Writer;
  core::NodeId Holder;
  core::Epoch NewEpoch;
};
/// @brief The pending claim is not in the log and will not get there, so that
///        the next one need not count from its append.
struct ClaimNotAppended {};
/// @brief The state was taken from a snapshot: the claims in it are not known
///        one by one.
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
/// @brief The node must not act any more.
struct LostLease {
  core::Epoch LostEpoch;
};

using Effect = std::variant<AppendRenewal, AppendClaim, BecameHolder, LostLease,
                            observe::LogEvent>;
using Effects = std::vector<Effect>;
/// @}

/// @brief Applies one event.
Step<State, Effects> reduce(State Before, const Event &What, core::Instant Now);

/// @brief Whether this node may act as the coordinator now.
///
/// To be asked before each action, because a process may have been paused
/// since its last event.
bool holdsLease(const State &Of, core::TimePoint Now);

} // namespace filbertvane::decision::lease

#endif // FILBERTVANE_DECISION_LEASE_LEASE_H
