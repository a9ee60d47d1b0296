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
  void heard();
  void appendRenewal();
  void maybeClaim();
  void lose(observe::EventId Why);
  void newEpoch(core::NodeId Holder, core::Epoch Current);
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
void Reducer::heard() {
  S.HeardAt = Now;
  const core::Microseconds Range = ClaimWaitMax - ClaimWaitMin;
  S.Wait = core::Microseconds(ClaimWaitMin) +
           core::Microseconds(S.Chance.below(Range.count()));
}

void Reducer::lose(observe::EventId Why) {
  if (!S.ActsUntil)
    return;
  S.ActsUntil.reset();
  S.Renewals.clear();
  log(Why);
  Out.emplace_back(LostLease{S.CurrentEpoch});
}

/// An expired lease is never taken up again, even if a renewal is read back
/// later: a successor may have counted the same silence.
void Reducer::checkExpiry() {
  if (S.ActsUntil && Now >= *S.ActsUntil)
    lose(observe::EventId::LeaseExpired);
}

void Reducer::on(const Tick &) {
  if (!S.Lead)
    return;
  if (S.ActsUntil) {
    if (Now >= S.NextRenewal)
      appendRenewal();
    return;
  }
  maybeClaim();
}

void Reducer::on(const LeadChanged &What) {
  if (What.Lead == S.Lead)
    return;
  S.Lead = What.Lead;
  S.KnownUpTo.reset();
  S.Claim.reset();
  heard();
  if (!S.Lead)
    lose(observe::EventId::LeaseReleased);
}

void Reducer::on(const LeaseRead &What) {
  S.KnownUpTo = What.SentAt;
  for (const Renewal &One : What.Records) {
    if (One.LeaseEpoch < S.CurrentEpoch)
      continue;
    heard();
    if (!S.ActsUntil || One.LeaseEpoch != S.CurrentEpoch ||
        One.Holder != S.Own.Node)
      continue;
    const auto Own = std::find_if(S.Renewals.begin(), S.Renewals.end(),
                                  [&One](const auto &Pending) {
                                    return Pending.Sequence == One.Sequence;
                                  });
    if (Own == S.Renewals.end())
      continue;
    S.ActsUntil = std::max(*S.ActsUntil, Own->AppendedAt + LeaseTime);
    S.Renewals.erase(S.Renewals.begin(), Own + 1);
  }
}

void Reducer::newEpoch(core::NodeId Holder, core::Epoch Current) {
  lose(observe::EventId::LeaseTaken);
  S.CurrentEpoch = Current;
  S.Holder = std::move(Holder);
  heard();
}

void Reducer::on(const ClaimFolded &What) {
  if (What.NewEpoch <= S.CurrentEpoch)
    return;
  newEpoch(What.Holder, What.NewEpoch);
  const std::optional<PendingClaim> Claim = std::exchange(S.Claim, {});
  if (!Claim)
    return;
  const core::TimePoint Until = Claim->AppendedAt + LeaseTime;
  const bool Own =
      What.Writer == S.Own.Writer && Claim->NewEpoch == What.NewEpoch;
  if (!Own || !S.Lead || Now >= Until) {
    log(observe::EventId::LeaseClaimLost);
    return;
  }
  S.ActsUntil = Until;
  S.NextRenewal = Now;
  log(observe::EventId::LeaseAcquired);
  Out.emplace_back(BecameHolder{S.CurrentEpoch});
  appendRenewal();
}

void Reducer::on(const ClaimNotAppended &) { S.Claim.reset(); }

void Reducer::on(const EpochAdopted &What) {
  if (What.Current <= S.CurrentEpoch)
    return;
  newEpoch(What.Holder, What.Current);
  S.Claim.reset();
}

void Reducer::appendRenewal() {
  const std::uint64_t Sequence = S.NextSequence++;
  if (S.Renewals.size() >= MaxPendingRenewals)
    S.Renewals.erase(S.Renewals.begin());
  // The lease counts from here, not from the read-back: a candidate may read
  // the record long before its writer does.
  S.Renewals.push_back({Sequence, Now});
  S.NextRenewal = Now + RenewPeriod;
  Out.emplace_back(AppendRenewal{{S.Own.Node, S.CurrentEpoch, Sequence}});
}

/// Silence is counted up to the time at which the last complete read was sent:
/// a candidate whose reads are slow knows nothing of the time since.
void Reducer::maybeClaim() {
  if (S.Claim && Now < S.Claim->RetryAt)
    return;
  if (!S.KnownUpTo || Now - *S.KnownUpTo > KnowledgeAge)
    return;
  const bool NeverHeld = S.CurrentEpoch == core::Epoch();
  const core::Microseconds Silence =
      NeverHeld ? core::Microseconds(0) : LeaseTime;
  if (*S.KnownUpTo < S.HeardAt + Silence || Now < S.HeardAt + Silence + S.Wait)
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
  S.Own = std::move(Own);
  S.Chance = core::Random(Seed);
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

bool mayAct(const State &Of, core::TimePoint Now) {
  return Of.ActsUntil && Now < *Of.ActsUntil;
}

} // namespace filbertvane::decision::lease
