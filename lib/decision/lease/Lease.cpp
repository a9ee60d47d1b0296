#include "filbertvane/decision/lease/Lease.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::lease {

namespace {

class Reducer {
public:
  Reducer(State &S, core::Instant Now) : S(S), Now(Now.Mono) {}

  void on(const Tick &What);
  void on(const LeadChanged &What);
  void on(const LeaseRead &What);
  void on(const ClaimFolded &What);
  void on(const ClaimNotAppended &What);
  void on(const EpochAdopted &What);

  void checkExpiry();

  Effects Out;

private:
  void recordHolderActivity();
  void appendRenewal();
  void claimIfExpired();
  void endLease(observe::EventId Why);
  void enterEpoch(core::NodeId Holder, core::Epoch Current);
  void log(observe::EventId Id);

  State &S;
  core::TimePoint Now;
};

void Reducer::log(observe::EventId Id) {
  Out.emplace_back(observe::LogEvent{Id, fmt::format("epoch {} holder {}",
                                                     S.CurrentEpoch.value(),
                                                     S.Holder.value())});
}

/// Each candidate waits a different time, so that usually one claim is
/// appended.
void Reducer::recordHolderActivity() {
  S.HeardAt = Now;
  const core::Microseconds Range = MaxClaimDelay - MinClaimDelay;
  S.ClaimDelay = core::Microseconds(MinClaimDelay) +
                 core::Microseconds(S.Rng.below(Range.count()));
}

void Reducer::endLease(observe::EventId Why) {
  if (!S.HeldUntil)
    return;
  S.HeldUntil.reset();
  S.PendingRenewals.clear();
  log(Why);
  Out.emplace_back(LostLease{S.CurrentEpoch});
}

/// An expired lease is never taken up again, even if a renewal is read back
/// later: a successor may have counted the same silence.
void Reducer::checkExpiry() {
  if (S.HeldUntil && Now >= *S.HeldUntil)
    endLease(observe::EventId::LeaseExpired);
}

void Reducer::on(const Tick &) {
  if (!S.IsLead)
    return;
  if (S.HeldUntil) {
    if (Now >= S.NextRenewal)
      appendRenewal();
    return;
  }
  claimIfExpired();
}

void Reducer::on(const LeadChanged &What) {
  if (What.IsLead == S.IsLead)
    return;
  S.IsLead = What.IsLead;
  S.ReadUpTo.reset();
  S.Claim.reset();
  recordHolderActivity();
  if (!S.IsLead)
    endLease(observe::EventId::LeaseReleased);
}

void Reducer::on(const LeaseRead &What) {
  S.ReadUpTo = What.SentAt;
  for (const Renewal &One : What.Records) {
    if (One.LeaseEpoch < S.CurrentEpoch)
      continue;
    recordHolderActivity();
    if (!S.HeldUntil || One.LeaseEpoch != S.CurrentEpoch ||
        One.Holder != S.Local.Node)
      continue;
    const auto Own =
        std::find_if(S.PendingRenewals.begin(), S.PendingRenewals.end(),
                     [&One](const auto &Pending) {
                       return Pending.Sequence == One.Sequence;
                     });
    if (Own == S.PendingRenewals.end())
      continue;
    S.HeldUntil = std::max(*S.HeldUntil, Own->AppendedAt + LeaseDuration);
    S.PendingRenewals.erase(S.PendingRenewals.begin(), Own + 1);
  }
}

void Reducer::enterEpoch(core::NodeId Holder, core::Epoch Current) {
  endLease(observe::EventId::LeaseSuperseded);
  S.CurrentEpoch = Current;
  S.Holder = std::move(Holder);
  recordHolderActivity();
}

void Reducer::on(const ClaimFolded &What) {
  if (What.NewEpoch <= S.CurrentEpoch)
    return;
  enterEpoch(What.Holder, What.NewEpoch);
  const std::optional<PendingClaim> Claim = std::exchange(S.Claim, {});
  if (!Claim)
    return;
  const core::TimePoint Until = Claim->AppendedAt + LeaseDuration;
  const bool Own =
      What.Writer == S.Local.Writer && Claim->NewEpoch == What.NewEpoch;
  if (!Own || !S.IsLead || Now >= Until) {
    log(observe::EventId::LeaseClaimLost);
    return;
  }
  S.HeldUntil = Until;
  S.NextRenewal = Now;
  log(observe::EventId::LeaseAcquired);
  Out.emplace_back(BecameHolder{S.CurrentEpoch});
  appendRenewal();
}

void Reducer::on(const ClaimNotAppended &) { S.Claim.reset(); }

void Reducer::on(const EpochAdopted &What) {
  if (What.CurrentEpoch <= S.CurrentEpoch)
    return;
  enterEpoch(What.Holder, What.CurrentEpoch);
  S.Claim.reset();
}

void Reducer::appendRenewal() {
  const std::uint64_t Sequence = S.NextSequence++;
  if (S.PendingRenewals.size() >= MaxPendingRenewals)
    S.PendingRenewals.erase(S.PendingRenewals.begin());
  // The lease counts from here, not from the read-back: a candidate may read
  // the record long before its writer does.
  S.PendingRenewals.push_back({Sequence, Now});
  S.NextRenewal = Now + RenewalPeriod;
  Out.emplace_back(AppendRenewal{{S.Local.Node, S.CurrentEpoch, Sequence}});
}

/// Silence is counted up to the time at which the last complete read was sent:
/// a candidate whose reads are slow knows nothing of the time since.
void Reducer::claimIfExpired() {
  if (S.Claim && Now < S.Claim->RetryAt)
    return;
  if (!S.ReadUpTo || Now - *S.ReadUpTo > MaxReadAge)
    return;
  const bool NeverHeld = S.CurrentEpoch == core::Epoch();
  const core::Microseconds Silence =
      NeverHeld ? core::Microseconds(0) : LeaseDuration;
  if (*S.ReadUpTo < S.HeardAt + Silence ||
      Now < S.HeardAt + Silence + S.ClaimDelay)
    return;
  // The lease of a repeated claim counts from the first append, because that
  // one may be the record that is valid.
  if (!S.Claim)
    S.Claim = {core::Epoch(S.CurrentEpoch.value() + 1), Now, Now};
  S.Claim->RetryAt = Now + ClaimTimeout;
  log(observe::EventId::LeaseClaimSent);
  Out.emplace_back(AppendClaim{S.Claim->NewEpoch});
}

} // namespace

State initial(Settings Own, std::uint64_t Seed) {
  State S;
  S.Local = std::move(Own);
  S.Rng = core::Random(Seed);
  return S;
}

Step<State, Effects> reduce(State Before, const Event &What,
                            core::Instant Now) {
  Reducer R(Before, Now);
  // Time passes before the event counts: a paused holder stops first.
  R.checkExpiry();
  std::visit([&R](const auto &One) { R.on(One); }, What);
  return {std::move(Before), std::move(R.Out)};
}

bool holdsLease(const State &Of, core::TimePoint Now) {
  return Of.HeldUntil && Now < *Of.HeldUntil;
}

} // namespace filbertvane::decision::lease
