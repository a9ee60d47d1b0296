#include "filbertvane/decision/distribution/Distribution.h"
#include "scenario/FakeFold.h"
#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace filbertvane;
using namespace filbertvane::decision;
using namespace filbertvane::decision::distribution;
using scenario::FakeFold;

namespace {

core::Instant at(std::int64_t Millis) {
  return {core::TimePoint(core::Milliseconds(Millis)), {}};
}

const Peer Sender{core::NodeId("a"), "a"};

/// A log and the expected state after each of its records.
struct ReferenceLog {
  std::vector<StoredRecord> Records;
  std::vector<config::FleetState> States{config::FleetState()};

  explicit ReferenceLog(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      Records.push_back({core::LogOffset(I), scenario::sheetRecord(I + 1, I)});
      States.push_back(FakeFold::apply(States.back(), core::LogOffset(I),
                                       Records.back().Bytes)
                           .State);
    }
  }
  Position position(std::size_t Next, bool Ready = true) const {
    return {core::LogOffset(Next), FakeFold::digestOf(States[Next]),
            States[Next].Version, Ready};
  }
  RecordBatch batch(std::size_t First, std::size_t End) const {
    return {core::LogOffset(First),
            {Records.begin() + static_cast<std::ptrdiff_t>(First),
             Records.begin() + static_cast<std::ptrdiff_t>(End)},
            position(End)};
  }
  Snapshot snapshot(std::size_t Next) const {
    return {position(Next), FakeFold::encode(States[Next])};
  }
};

struct Fixture {
  State S = initial({{core::NodeId("self"), "self"},
                     core::DataCentreId("d"),
                     core::RegionId("r"),
                     {"outside"},
                     foldOf<FakeFold>()},
                    1);
  Effects Out;

  Fixture() { step(Started{}, 0); }
  void step(const Event &Input, std::int64_t Millis) {
    auto Next = reduce(std::move(S), Input, at(Millis));
    S = std::move(Next.NextState);
    Out = std::move(Next.EmittedEffects);
  }
  void receive(const RecordBatch &Batch, std::int64_t Millis) {
    step(RecordsReceived{Sender, Batch}, Millis);
  }
  template <typename E> std::vector<E> effects() const {
    std::vector<E> Found;
    for (const Effect &Each : Out)
      if (const auto *Match = std::get_if<E>(&Each))
        Found.push_back(*Match);
    return Found;
  }
  bool logged(observe::EventId Id) const {
    const auto All = effects<observe::LogEvent>();
    return std::any_of(All.begin(), All.end(),
                       [Id](const auto &Logged) { return Logged.Id == Id; });
  }
  std::uint64_t next() const { return S.ConfigPosition.NextOffset.value(); }
};

} // namespace

// Guards against adopting a state that results from damaged records.
Test(distribution, a_digest_mismatch_adopts_nothing_and_asks_for_a_snapshot) {
  const ReferenceLog T(4);
  Fixture B;
  RecordBatch Damaged = T.batch(0, 3);
  Damaged.Records[1].Bytes = scenario::sheetRecord(2, 7);
  B.receive(Damaged, 1);
  cr_assert(B.next() == 0);
  cr_assert(B.logged(observe::EventId::DistributionDigestMismatch));
  B.step(Tick{}, 50);
  const auto Requests = B.effects<RequestRecords>();
  cr_assert(Requests.size() == 1 && Requests[0].Request.WantsSnapshot);
  B.step(SnapshotReceived{Sender, T.snapshot(3)}, 60);
  cr_assert(B.next() == 3);
}

// Guards against a snapshot with a lower version, or a damaged one, that
// replaces the state.
Test(distribution, a_lower_or_damaged_snapshot_is_refused) {
  const ReferenceLog T(5);
  Fixture B;
  B.receive(T.batch(0, 4), 1);
  B.step(SnapshotReceived{Sender, T.snapshot(3)}, 2);
  cr_assert(B.next() == 4);
  cr_assert(B.logged(observe::EventId::DistributionOlderStateRefused));
  Snapshot Lower = T.snapshot(5);
  config::FleetState State = T.States[5];
  State.Version = core::ConfigVersion(1);
  Lower.State = FakeFold::encode(State);
  Lower.ConfigPosition.StateDigest = FakeFold::digestOf(State);
  B.step(SnapshotReceived{Sender, Lower}, 3);
  cr_assert(B.S.ConfigPosition == T.position(4, false),
            "a lower version was adopted");
  Snapshot Damaged = T.snapshot(5);
  Damaged.State += " x 1";
  B.step(SnapshotReceived{Sender, Damaged}, 4);
  cr_assert(B.logged(observe::EventId::DistributionSnapshotInvalid));
  cr_assert(B.next() == 4);
}

// Guards against a gap that is never filled and against a buffer without
// limits.
Test(distribution, a_gap_is_requested_and_buffered_records_are_bounded) {
  const ReferenceLog T(200);
  Fixture B;
  for (std::size_t I = 199; I > 0; --I)
    B.receive(T.batch(I, I + 1), 1);
  cr_assert(B.next() == 0 && B.S.BufferedBatches.size() == MaxBufferedBatches);
  B.step(Tick{}, 50);
  const auto Requests = B.effects<RequestRecords>();
  cr_assert(Requests.size() == 1 &&
            Requests[0].Request.FirstOffset == core::LogOffset(0));
  B.receive(T.batch(0, 136), 60);
  cr_assert(B.next() == 200);
  cr_assert(B.S.BufferedBatches.empty() && B.S.BufferedBytes == 0);
}

// Guards against snapshot transfers that saturate the link of a host after a
// mass restart.
Test(distribution, snapshot_transfers_are_bounded) {
  const ReferenceLog T(3);
  Fixture B;
  B.step(SnapshotReceived{Sender, T.snapshot(3)}, 1);
  std::size_t Sent = 0;
  for (int I = 0; I < 20; ++I) {
    B.step(RecordsRequested{Sender, {core::LogOffset(0), false}}, 2);
    Sent += B.effects<SendSnapshot>().size();
  }
  cr_assert(Sent == MaxSnapshotTransfers, "%zu at a time", Sent);
  B.step(Tick{}, 200);
  B.step(RecordsRequested{Sender, {core::LogOffset(0), false}}, 200);
  cr_assert(B.effects<SendSnapshot>().size() == 1);
}

// Guards against a lower version after a restart: the only node that held the
// configuration is lost before its state arrives.
Test(distribution, a_lost_holder_proves_nothing) {
  const ReferenceLog T(5);
  Fixture B;
  B.step(PeerPositionReported{Sender, T.position(5)}, 10);
  for (std::int64_t Millis = 50; Millis < 20000; Millis += 50)
    B.step(Tick{}, Millis);
  cr_assert(!B.S.Ready,
            "ready without a peer that holds the state and without the log");
  RecordBatch Answer = T.batch(0, 5);
  Answer.EndStatus = LogEndStatus::Unavailable;
  B.receive(Answer, 20000);
  B.step(Tick{}, 20400);
  cr_assert(!B.S.Ready, "ready before the peers had time to report");
  B.step(Tick{}, 20600);
  cr_assert(B.S.Ready);
}

// Guards against readiness based on reports of nodes that are not ready.
Test(distribution, peers_that_are_not_ready_prove_nothing) {
  const ReferenceLog T(5);
  Fixture B;
  RecordBatch Batch = T.batch(0, 5);
  Batch.PositionAfter.Ready = false;
  B.receive(Batch, 1);
  for (std::int64_t Millis = 50; Millis < 3000; Millis += 50)
    B.step(Tick{}, Millis);
  cr_assert(B.next() == 5 && !B.S.Ready);
}

// Guards against a lower version after a restart: members that missed the
// newest version report an older one as ready, while a peer can read the log.
Test(distribution, a_starting_node_waits_for_the_end_of_the_log) {
  const ReferenceLog T(5);
  Fixture B;
  B.step(Tick{}, 50);
  const auto Requests = B.effects<RequestLogEnd>();
  cr_assert(Requests.size() == 1 && Requests[0].To == "outside");
  cr_assert(Requests[0].Request.WantsLogEnd);
  for (std::int64_t Millis = 100; Millis < 1900; Millis += 50)
    B.receive(T.batch(0, 3), Millis);
  cr_assert(!B.S.Ready, "ready by the reports of members that may be behind");
  RecordBatch End = T.batch(3, 5);
  End.EndStatus = LogEndStatus::Reached;
  B.receive(End, 1950);
  cr_assert(B.S.Ready && B.next() == 5);
}

// Guards against a node that never becomes ready while no node can read the
// log.
Test(distribution, a_ready_peer_without_log_suffices) {
  const ReferenceLog T(3);
  Fixture B;
  for (std::int64_t Millis = 50; Millis <= 4000; Millis += 50)
    B.receive(T.batch(0, 3), Millis);
  cr_assert(!B.S.Ready,
            "ready before a peer reported that the log is unavailable");
  RecordBatch Answer = T.batch(0, 3);
  Answer.EndStatus = LogEndStatus::NotReached;
  B.receive(Answer, 4050);
  Answer.EndStatus = LogEndStatus::Unavailable;
  B.receive(Answer, 4100);
  cr_assert(B.S.Ready);
}

// Guards against confirming the end of the log by a read that began before the
// request: it may have been answered before the newest record was accepted.
Test(distribution, the_end_is_confirmed_by_a_read_after_the_request) {
  const ReferenceLog T(3);
  Fixture B;
  B.receive(T.batch(0, 3), 10);
  const RecordsRequest Request{core::LogOffset(0), false, true};
  B.step(RecordsRequested{{core::NodeId("b"), "b"}, Request}, 20);
  B.step(Tick{}, 50);
  cr_assert(B.effects<CheckLogEnd>().size() == 1);
  B.step(RecordsRequested{{core::NodeId("c"), "c"}, Request}, 60);
  B.step(LogEndChecked{LogEndStatus::Reached, core::LogOffset(3)}, 70);
  const auto Confirmed = B.effects<SendRecords>();
  cr_assert(Confirmed.size() == 1 && Confirmed[0].To == "b");
  cr_assert(Confirmed[0].Batch.EndStatus == LogEndStatus::Reached &&
            Confirmed[0].Batch.PositionAfter.NextOffset == core::LogOffset(3));
  B.step(Tick{}, 100);
  cr_assert(B.effects<CheckLogEnd>().size() == 1,
            "the request of c is not served");
  B.step(LogEndChecked{LogEndStatus::Unavailable, core::LogOffset(3)}, 110);
  const auto Unavailable = B.effects<SendRecords>();
  cr_assert(Unavailable.size() == 1 &&
            Unavailable[0].Batch.EndStatus == LogEndStatus::Unavailable);
}

// Guards against sending the whole configuration in each snapshot record, and
// against a reduced record with a different effect.
Test(distribution, a_snapshot_record_travels_without_its_state) {
  const ReferenceLog T(2);
  const std::string Full = scenario::snapshotRecord(1, T.States[2]);
  const auto After = FakeFold::apply(T.States[2], core::LogOffset(2), Full);
  Fixture B;
  B.receive(T.batch(0, 2), 1);
  B.receive({core::LogOffset(2),
             {{core::LogOffset(2), Full}},
             {core::LogOffset(3), FakeFold::digestOf(After.State),
              After.State.Version, true}},
            2);
  B.step(RecordsRequested{Sender, {core::LogOffset(2), false}}, 3);
  const auto Sent = B.effects<SendRecords>();
  cr_assert(Sent.size() == 1 && Sent[0].Batch.Records.size() == 1);
  cr_assert(Sent[0].Batch.Records[0].Bytes.size() < 30 && Full.size() > 2000);
  Fixture Other;
  Other.receive(T.batch(0, 2), 1);
  Other.receive(Sent[0].Batch, 2);
  cr_assert(Other.S.ConfigPosition == B.S.ConfigPosition);
}

// Guards against an order of arrival that lowers a version, applies a batch
// partially or makes two nodes differ.
Test(distribution, any_arrival_order_gives_the_same_rising_states) {
  const ReferenceLog T(30);
  const bool Held = rc::check([&T] {
    Fixture B;
    const auto Cuts = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 31), rc::gen::inRange(0, 31)));
    core::ConfigVersion Highest;
    for (const auto &[A, C] : Cuts) {
      const auto [First, End] = std::minmax(A, C);
      const int Kind = *rc::gen::inRange(0, 8);
      if (Kind == 0)
        B.step(SnapshotReceived{Sender, T.snapshot(End)}, 1);
      else if (Kind == 1)
        B.step(PeerPositionReported{Sender, T.position(End)}, 1);
      else
        B.receive(T.batch(First, End), 1);
      RC_ASSERT(B.S.ConfigPosition.Version >= Highest);
      Highest = B.S.ConfigPosition.Version;
      RC_ASSERT(B.S.ConfigPosition == T.position(B.next(), false));
      RC_ASSERT(*B.S.Fleet == T.States[B.next()]);
    }
    B.receive(T.batch(B.next(), 30), 2);
    RC_ASSERT(B.next() == 30U);
  });
  cr_assert(Held);
}
