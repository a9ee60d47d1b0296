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

const Peer Feeder{core::NodeId("a"), "a"};

/// The log of a run, with the position after each of its records.
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
  void step(const Event &What, std::int64_t Millis) {
    auto Next = reduce(std::move(S), What, at(Millis));
    S = std::move(Next.NextState);
    Out = std::move(Next.EmittedEffects);
  }
  void receive(const RecordBatch &Batch, std::int64_t Millis) {
    step(RecordsReceived{Feeder, Batch}, Millis);
  }
  template <typename E> std::vector<E> effects() const {
    std::vector<E> Found;
    for (const Effect &One : Out)
      if (const auto *Of = std::get_if<E>(&One))
        Found.push_back(*Of);
    return Found;
  }
  bool logged(observe::EventId Id) const {
    const auto All = effects<observe::LogEvent>();
    return std::any_of(All.begin(), All.end(),
                       [Id](const auto &One) { return One.Id == Id; });
  }
  std::uint64_t next() const { return S.ConfigPosition.NextOffset.value(); }
};

} // namespace

// Guards against a state that follows from damaged records.
Test(distribution, a_digest_mismatch_adopts_nothing_and_asks_for_a_snapshot) {
  const ReferenceLog T(4);
  Fixture B;
  RecordBatch Damaged = T.batch(0, 3);
  Damaged.Records[1].Bytes = scenario::sheetRecord(2, 7);
  B.receive(Damaged, 1);
  cr_assert(B.next() == 0);
  cr_assert(B.logged(observe::EventId::DistributionDigestMismatch));
  B.step(Tick{}, 50);
  const auto Asked = B.effects<RequestRecords>();
  cr_assert(Asked.size() == 1 && Asked[0].Request.WantsSnapshot);
  B.step(SnapshotReceived{Feeder, T.snapshot(3)}, 60);
  cr_assert(B.next() == 3);
}

// Guards against a lower or damaged snapshot that replaces a state.
Test(distribution, a_lower_or_damaged_snapshot_is_refused) {
  const ReferenceLog T(5);
  Fixture B;
  B.receive(T.batch(0, 4), 1);
  B.step(SnapshotReceived{Feeder, T.snapshot(3)}, 2);
  cr_assert(B.next() == 4);
  cr_assert(B.logged(observe::EventId::DistributionOlderStateRefused));
  Snapshot Lower = T.snapshot(5);
  config::FleetState State = T.States[5];
  State.Version = core::ConfigVersion(1);
  Lower.State = FakeFold::encode(State);
  Lower.ConfigPosition.StateDigest = FakeFold::digestOf(State);
  B.step(SnapshotReceived{Feeder, Lower}, 3);
  cr_assert(B.S.ConfigPosition == T.position(4, false),
            "a lower version was adopted");
  Snapshot Damaged = T.snapshot(5);
  Damaged.State += " x 1";
  B.step(SnapshotReceived{Feeder, Damaged}, 4);
  cr_assert(B.logged(observe::EventId::DistributionSnapshotInvalid));
  cr_assert(B.next() == 4);
}

// Guards against a gap that is never filled and a buffer that grows.
Test(distribution, a_gap_is_requested_and_buffered_records_are_bounded) {
  const ReferenceLog T(200);
  Fixture B;
  for (std::size_t I = 199; I > 0; --I)
    B.receive(T.batch(I, I + 1), 1);
  cr_assert(B.next() == 0 && B.S.BufferedBatches.size() == MaxBufferedBatches);
  B.step(Tick{}, 50);
  const auto Asked = B.effects<RequestRecords>();
  cr_assert(Asked.size() == 1 &&
            Asked[0].Request.FirstOffset == core::LogOffset(0));
  B.receive(T.batch(0, 136), 60);
  cr_assert(B.next() == 200);
  cr_assert(B.S.BufferedBatches.empty() && B.S.BufferedBytes == 0);
}

// Guards against transfers that fill a host's link after a mass restart.
Test(distribution, snapshot_transfers_are_bounded) {
  const ReferenceLog T(3);
  Fixture B;
  B.step(SnapshotReceived{Feeder, T.snapshot(3)}, 1);
  std::size_t Sent = 0;
  for (int I = 0; I < 20; ++I) {
    B.step(RecordsRequested{Feeder, {core::LogOffset(0), false}}, 2);
    Sent += B.effects<SendSnapshot>().size();
  }
  cr_assert(Sent == MaxSnapshotTransfers, "%zu at a time", Sent);
  B.step(Tick{}, 200);
  B.step(RecordsRequested{Feeder, {core::LogOffset(0), false}}, 200);
  cr_assert(B.effects<SendSnapshot>().size() == 1);
}

// Guards against a process that serves a lower version after a restart because
// the one holder was lost before its state arrived.
Test(distribution, a_lost_holder_proves_nothing) {
  const ReferenceLog T(5);
  Fixture B;
  B.step(PeerPositionReported{Feeder, T.position(5)}, 10);
  for (std::int64_t Millis = 50; Millis < 20000; Millis += 50)
    B.step(Tick{}, Millis);
  cr_assert(!B.S.Ready, "ready without a holder and without the log");
  RecordBatch Answer = T.batch(0, 5);
  Answer.EndStatus = LogEndStatus::Unavailable;
  B.receive(Answer, 20000);
  B.step(Tick{}, 20400);
  cr_assert(!B.S.Ready, "ready before the peers had time to report");
  B.step(Tick{}, 20600);
  cr_assert(B.S.Ready);
}

// Guards against readiness on the word of nodes that are not ready themselves.
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
// newest version are ready with an older one, while a peer that reads the log
// knows better.
Test(distribution, a_starting_node_waits_for_the_end_of_the_log) {
  const ReferenceLog T(5);
  Fixture B;
  B.step(Tick{}, 50);
  const auto Asked = B.effects<RequestLogEnd>();
  cr_assert(Asked.size() == 1 && Asked[0].To == "outside");
  cr_assert(Asked[0].Request.WantsLogEnd);
  for (std::int64_t Millis = 100; Millis < 1900; Millis += 50)
    B.receive(T.batch(0, 3), Millis);
  cr_assert(!B.S.Ready, "ready on the word of members that may be behind");
  RecordBatch End = T.batch(3, 5);
  End.EndStatus = LogEndStatus::Reached;
  B.receive(End, 1950);
  cr_assert(B.S.Ready && B.next() == 5);
}

// Guards against a node that is never ready while nobody reads the log.
Test(distribution, a_ready_peer_without_log_suffices) {
  const ReferenceLog T(3);
  Fixture B;
  for (std::int64_t Millis = 50; Millis <= 4000; Millis += 50)
    B.receive(T.batch(0, 3), Millis);
  cr_assert(!B.S.Ready, "ready without any word about the log");
  RecordBatch Answer = T.batch(0, 3);
  Answer.EndStatus = LogEndStatus::NotReached;
  B.receive(Answer, 4050);
  Answer.EndStatus = LogEndStatus::Unavailable;
  B.receive(Answer, 4100);
  cr_assert(B.S.Ready);
}

// Guards against a confirmed end that is older than the question: a read under
// way may have been answered before the newest record was accepted.
Test(distribution, the_end_is_confirmed_by_a_read_after_the_request) {
  const ReferenceLog T(3);
  Fixture B;
  B.receive(T.batch(0, 3), 10);
  const RecordsRequest Question{core::LogOffset(0), false, true};
  B.step(RecordsRequested{{core::NodeId("b"), "b"}, Question}, 20);
  B.step(Tick{}, 50);
  cr_assert(B.effects<CheckLogEnd>().size() == 1);
  B.step(RecordsRequested{{core::NodeId("c"), "c"}, Question}, 60);
  B.step(LogEndChecked{LogEndStatus::Reached, core::LogOffset(3)}, 70);
  const auto Confirmed = B.effects<SendRecords>();
  cr_assert(Confirmed.size() == 1 && Confirmed[0].To == "b");
  cr_assert(Confirmed[0].Batch.EndStatus == LogEndStatus::Reached &&
            Confirmed[0].Batch.PositionAfter.NextOffset == core::LogOffset(3));
  B.step(Tick{}, 100);
  cr_assert(B.effects<CheckLogEnd>().size() == 1, "c is never answered");
  B.step(LogEndChecked{LogEndStatus::Unavailable, core::LogOffset(3)}, 110);
  const auto Unavailable = B.effects<SendRecords>();
  cr_assert(Unavailable.size() == 1 &&
            Unavailable[0].Batch.EndStatus == LogEndStatus::Unavailable);
}

// Guards against the whole configuration in each snapshot record on each link,
// and against a shorter record with another effect.
Test(distribution, a_snapshot_record_travels_without_its_state) {
  const ReferenceLog T(2);
  const std::string Whole = scenario::snapshotRecord(1, T.States[2]);
  const auto After = FakeFold::apply(T.States[2], core::LogOffset(2), Whole);
  Fixture B;
  B.receive(T.batch(0, 2), 1);
  B.receive({core::LogOffset(2),
             {{core::LogOffset(2), Whole}},
             {core::LogOffset(3), FakeFold::digestOf(After.State),
              After.State.Version, true}},
            2);
  B.step(RecordsRequested{Feeder, {core::LogOffset(2), false}}, 3);
  const auto Sent = B.effects<SendRecords>();
  cr_assert(Sent.size() == 1 && Sent[0].Batch.Records.size() == 1);
  cr_assert(Sent[0].Batch.Records[0].Bytes.size() < 30 && Whole.size() > 2000);
  Fixture Other;
  Other.receive(T.batch(0, 2), 1);
  Other.receive(Sent[0].Batch, 2);
  cr_assert(Other.S.ConfigPosition == B.S.ConfigPosition);
}

// Guards against an order of arrival in which a version falls, a part of a
// batch is applied, or two readers differ.
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
        B.step(SnapshotReceived{Feeder, T.snapshot(End)}, 1);
      else if (Kind == 1)
        B.step(PeerPositionReported{Feeder, T.position(End)}, 1);
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
