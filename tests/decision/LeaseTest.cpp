#include "filbertvane/decision/lease/Lease.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::decision::lease;

namespace {

core::Instant at(std::int64_t Millis) {
  return {core::TimePoint(core::Milliseconds(Millis)), {}};
}

/// Lease state of one node and the effects of its last event.
struct Fixture {
  State S = initial({core::NodeId("n"), core::WriterId("n/1")}, 1);
  Effects Out;

  void step(const Event &Input, std::int64_t Millis) {
    auto Next = reduce(std::move(S), Input, at(Millis));
    S = std::move(Next.NextState);
    Out = std::move(Next.EmittedEffects);
  }
  template <typename E> const E *effect() const {
    for (const Effect &Each : Out)
      if (const auto *Found = std::get_if<E>(&Each))
        return Found;
    return nullptr;
  }
  LeaseRead readAt(std::int64_t Millis, std::vector<Renewal> Records = {}) {
    return {at(Millis).Mono, std::move(Records)};
  }
  /// Claims the first epoch at 1 s and holds it.
  void hold() {
    step(LeadChanged{true}, 0);
    step(readAt(900), 950);
    step(Tick{}, 1000);
    cr_assert(effect<AppendClaim>());
    step(ClaimFolded{S.Local.Writer, S.Local.Node, core::Epoch(1)}, 1050);
    cr_assert(effect<BecameHolder>());
  }
  Renewal renewal(std::uint64_t Sequence) {
    return {S.Local.Node, core::Epoch(1), Sequence};
  }
};

} // namespace

// Guards against a holder that keeps acting after a pause of its process.
Test(lease, a_paused_holder_stops_by_its_own_clock) {
  Fixture B;
  B.hold();
  cr_assert(holdsLease(B.S, at(6999).Mono));
  cr_assert(!holdsLease(B.S, at(7000).Mono));
  B.step(Tick{}, 7500);
  cr_assert(B.effect<LostLease>());
  cr_assert(!B.effect<AppendRenewal>());
}

// Guards against a lease that counts from the read-back: a candidate may have
// read the renewal much earlier and claims 6 s after that.
Test(lease, a_renewal_counts_from_its_append) {
  Fixture B;
  B.hold();
  B.step(B.readAt(4900, {B.renewal(1)}), 5000);
  cr_assert(holdsLease(B.S, at(7049).Mono));
  cr_assert(!holdsLease(B.S, at(7050).Mono), "lease counts from the read-back");
}

// Guards against a lease that resumes after it expired, when a successor may
// already have waited for the same expiry.
Test(lease, an_expired_lease_is_not_revived_by_a_late_read) {
  Fixture B;
  B.hold();
  B.step(Tick{}, 3100);
  cr_assert(B.effect<AppendRenewal>());
  B.step(B.readAt(7900, {B.renewal(2)}), 8000);
  cr_assert(!holdsLease(B.S, at(8001).Mono));
}

// Guards against a claim by a candidate with slow reads, which has not yet read
// an existing renewal.
Test(lease, silence_counts_up_to_the_last_read_that_was_sent) {
  Fixture B;
  B.step(LeadChanged{true}, 0);
  B.step(ClaimFolded{core::WriterId("m/1"), core::NodeId("m"), core::Epoch(1)},
         100);
  B.step(B.readAt(5000), 7200);
  B.step(Tick{}, 7250);
  cr_assert(!B.effect<AppendClaim>());
  B.step(B.readAt(6200), 7300);
  B.step(Tick{}, 7350);
  cr_assert(B.effect<AppendClaim>());
}

// Guards against claims by a candidate that can no longer read the log.
Test(lease, a_candidate_without_recent_reads_does_not_claim) {
  Fixture B;
  B.step(LeadChanged{true}, 0);
  B.step(ClaimFolded{core::WriterId("m/1"), core::NodeId("m"), core::Epoch(1)},
         100);
  B.step(B.readAt(7000), 7010);
  B.step(Tick{}, 20000);
  cr_assert(!B.effect<AppendClaim>());
}

// Guards against a restarted node that resumes the lease of its former process,
// and against a claim that is folded after its lease expired.
Test(lease, only_the_own_recent_claim_makes_a_holder) {
  Fixture B;
  B.step(LeadChanged{true}, 0);
  B.step(ClaimFolded{core::WriterId("n/0"), B.S.Local.Node, core::Epoch(1)},
         10);
  cr_assert(!holdsLease(B.S, at(11).Mono));
  B.step(B.readAt(7000), 7100);
  B.step(Tick{}, 7200);
  cr_assert(B.effect<AppendClaim>());
  B.step(ClaimFolded{B.S.Local.Writer, B.S.Local.Node, core::Epoch(2)}, 13300);
  cr_assert(!holdsLease(B.S, at(13301).Mono));
}

// Guards against a holder that keeps acting after a newer claim was folded.
Test(lease, a_folded_claim_of_another_node_ends_the_lease) {
  Fixture B;
  B.hold();
  B.step(ClaimFolded{core::WriterId("m/1"), core::NodeId("m"), core::Epoch(2)},
         2000);
  cr_assert(B.effect<LostLease>());
  cr_assert(!holdsLease(B.S, at(2001).Mono));
}
