#include "filbertvane/decision/lease/Lease.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::lease {

namespace {

class Reducer {
public:
  Reducer(State &S, core::Instant Now) : S(S), Now(Now.Mono) {}

  void on(const Tick &E);
  void on(const LeadChanged &E);
  void on(const LeaseRead &E);
  void on(const ClaimFolded &E);
  void on(const ClaimNotAppended &E);
  void on(const EpochAdopted &E);

  void checkExpiry();

  Effects Out;

private:
  void updateHolderActivity();
  void appendRenewal();
  void claimIfExpired();
  void endLease(observe::EventId Reason);
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

/// Each candidate chooses a random delay, so that usually only one claim is
/// appended.
void Reducer::updateHolderActivity() {
  S.HeardAt = Now;
  const core::Microseconds Range = MaxClaimDelay - MinClaimDelay;
  S.ClaimDelay = core::Microseconds(MinClaimDelay) +
                 core::Microseconds(S.Rng.below(Range.count()));
}

void Reducer::endLease(observe::EventId Reason) {
  if (!S.HeldUntil)
    return;
  S.HeldUntil.reset();
  S.PendingRenewals.clear();
  log(Reason);
  Out.emplace_back(LostLease{S.CurrentEpoch});
}

/// An expired lease is not resumed even if a renewal is read back later,
/// because a successor may already have waited for the same expiry.
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

void Reducer::on(const LeadChanged &E) {
  if (E.IsLead == S.IsLead)
    return;
  S.IsLead = E.IsLead;
  S.ReadUpTo.reset();
  S.Claim.reset();
  updateHolderActivity();
  if (!S.IsLead)
    endLease(observe::EventId::LeaseReleased);
}

void Reducer::on(const LeaseRead &E) {
  S.ReadUpTo = E.SentAt;
  for (const Renewal &Record : E.Records) {
    if (Record.LeaseEpoch < S.CurrentEpoch)
      continue;
    updateHolderActivity();
    if (!S.HeldUntil || Record.LeaseEpoch != S.CurrentEpoch ||
        Record.Holder != S.Local.Node)
      continue;
    const auto Appended =
        std::find_if(S.PendingRenewals.begin(), S.PendingRenewals.end(),
                     [&Record](const auto &Pending) {
                       return Pending.Sequence == Record.Sequence;
                     });
    if (Appended == S.PendingRenewals.end())
      continue;
    S.HeldUntil = std::max(*S.HeldUntil, Appended->AppendedAt + LeaseDuration);
    S.PendingRenewals.erase(S.PendingRenewals.begin(), Appended + 1);
  }
}

void Reducer::enterEpoch(core::NodeId Holder, core::Epoch Current) {
  endLease(observe::EventId::LeaseSuperseded);
  S.CurrentEpoch = Current;
  S.Holder = std::move(Holder);
  updateHolderActivity();
}

void Reducer::on(const ClaimFolded &E) {
  if (E.NewEpoch <= S.CurrentEpoch)
    return;
  enterEpoch(E.Holder, E.NewEpoch);
  const std::optional<PendingClaim> Claim = std::exchange(S.Claim, {});
  if (!Claim)
    return;
  const core::TimePoint Until = Claim->AppendedAt + LeaseDuration;
  const bool IsLocal =
      E.Writer == S.Local.Writer && Claim->NewEpoch == E.NewEpoch;
  if (!IsLocal || !S.IsLead || Now >= Until) {
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

void Reducer::on(const EpochAdopted &E) {
  if (E.CurrentEpoch <= S.CurrentEpoch)
    return;
  enterEpoch(E.Holder, E.CurrentEpoch);
  S.Claim.reset();
}

void Reducer::appendRenewal() {
  const std::uint64_t Sequence = S.NextSequence++;
  if (S.PendingRenewals.size() >= MaxPendingRenewals)
    S.PendingRenewals.erase(S.PendingRenewals.begin());
  // The lease counts from the append, not from the read-back: a candidate may
  // read the record long before its writer does.
  S.PendingRenewals.push_back({Sequence, Now});
  S.NextRenewal = Now + RenewalPeriod;
  Out.emplace_back(AppendRenewal{{S.Local.Node, S.CurrentEpoch, Sequence}});
}

/// Only the time until the last complete read was sent counts towards expiry: a
/// candidate with slow reads cannot rule out later renewals.
void Reducer::claimIfExpired() {
  if (S.Claim && Now < S.Claim->RetryAt)
    return;
  if (!S.ReadUpTo || Now - *S.ReadUpTo > MaxReadAge)
    return;
  const bool NeverHeld = S.CurrentEpoch == core::Epoch();
  const core::Microseconds Expiry =
      NeverHeld ? core::Microseconds(0) : LeaseDuration;
  if (*S.ReadUpTo < S.HeardAt + Expiry ||
      Now < S.HeardAt + Expiry + S.ClaimDelay)
    return;
  // The lease of a repeated claim counts from the first append, whose record
  // may be the valid one.
  if (!S.Claim)
    S.Claim = {core::Epoch(S.CurrentEpoch.value() + 1), Now, Now};
  S.Claim->RetryAt = Now + ClaimTimeout;
  log(observe::EventId::LeaseClaimSent);
  Out.emplace_back(AppendClaim{S.Claim->NewEpoch});
}

} // namespace

State initial(Settings Local, std::uint64_t Seed) {
  State S;
  S.Local = std::move(Local);
  S.Rng = core::Random(Seed);
  return S;
}

Step<State, Effects> reduce(State Before, const Event &E, core::Instant Now) {
  Reducer R(Before, Now);
  // Expiry comes before the event, so that a holder that was paused stops
  // first.
  R.checkExpiry();
  std::visit([&R](const auto &Alternative) { R.on(Alternative); }, E);
  return {std::move(Before), std::move(R.Out)};
}

bool holdsLease(const State &S, core::TimePoint Now) {
  return S.HeldUntil && Now < *S.HeldUntil;
}

} // namespace filbertvane::decision::lease
