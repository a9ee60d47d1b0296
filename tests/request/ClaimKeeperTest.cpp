#include "KeeperFixture.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace request_fixture;

namespace {

const std::int64_t Start = 0x018c00000000;

KeeperFixture keeperOf(const Stream &Log, const char *Writer = "w1") {
  KeeperFixture Keeper(Writer);
  Keeper.handle(BecameKeeper{});
  Keeper.readFrom(Log);
  return Keeper;
}

} // namespace

// Guards against a claim decided by the acknowledgement of its append instead
// of the order of the log.
Test(claim_keeper, a_claim_is_decided_only_by_its_own_record_or_an_earlier) {
  Stream Log;
  KeeperFixture Keeper = keeperOf(Log);
  const auto Request = Keeper.request(claimOf(keyAt(Start), "n1"));
  Keeper.handle(BatchDue{});
  const ClaimBatch Batch = Keeper.takeAppend();
  // Another data centre's claim of the same key came first.
  Log.append({core::WriterId("w2"), 5, {claimOf(keyAt(Start), "n2")}});
  Log.append(Batch);
  Keeper.handle(AppendAcknowledged{Batch.Sequence});
  cr_assert(Keeper.Replies.empty(), "replied before the record was read back");
  Keeper.readFrom(Log);
  cr_assert(Keeper.ownerIn(Request) == core::NodeId("n2"),
            "owner is not the first claim");
  const auto Repeat = Keeper.request(claimOf(keyAt(Start), "n1", 2));
  cr_assert(Keeper.ownerIn(Repeat) == core::NodeId("n2"),
            "the owner was forgotten");
  cr_assert(Keeper.Appends.empty(), "a known key was appended");
}

// Guards against a second append while the first one may have taken effect.
Test(claim_keeper, a_lost_acknowledgement_is_settled_by_reading) {
  Stream Log;
  KeeperFixture Keeper = keeperOf(Log);
  const auto Request = Keeper.request(claimOf(keyAt(Start), "n1"));
  Keeper.handle(BatchDue{});
  const ClaimBatch Batch = Keeper.takeAppend();
  Keeper.handle(AppendUnknown{Batch.Sequence});
  Keeper.handle(BatchDue{});
  cr_assert(Keeper.Appends.empty(), "appended again before reading the log");
  // The read that was in progress started before the append.
  Keeper.readFrom(Stream{});
  cr_assert(Keeper.Appends.empty(),
            "a read from before the append decided its result");
  Log.append(Batch);
  Keeper.readFrom(Log);
  cr_assert(Keeper.Appends.empty(), "appended again although it is in the log");
  cr_assert(Keeper.ownerIn(Request) == core::NodeId("n1"), "claim not decided");
}

// Guards against losing a claim whose append did not reach the log.
Test(claim_keeper, a_batch_that_is_not_in_the_log_is_appended_again) {
  Stream Log;
  KeeperFixture Keeper = keeperOf(Log);
  Keeper.request(claimOf(keyAt(Start), "n1"));
  Keeper.handle(BatchDue{});
  const ClaimBatch Batch = Keeper.takeAppend();
  Keeper.handle(AppendUnknown{Batch.Sequence});
  Keeper.readFrom(Log);
  Keeper.readFrom(Log);
  cr_assert(Keeper.Appends.size() == 1, "the batch was not appended again");
  cr_assert(Keeper.Appends.front() == Batch,
            "appended with a different sequence");
}

// Guards against a wrong time at the head of a trimmed stream: readers take it
// from the sequence of the first batch.
Test(claim_keeper, an_old_batch_gets_a_new_sequence) {
  Stream Log;
  KeeperFixture Keeper = keeperOf(Log);
  Keeper.request(claimOf(keyAt(Start), "n1"), 60000);
  Keeper.handle(BatchDue{});
  const ClaimBatch Batch = Keeper.takeAppend();
  Keeper.handle(AppendUnknown{Batch.Sequence});
  Keeper.Millis += 31000;
  Keeper.readFrom(Log);
  Keeper.readFrom(Log);
  Keeper.handle(BatchDue{});
  cr_assert(Keeper.takeAppend().Sequence > Batch.Sequence,
            "an old sequence was appended");
}

// Guards against deciding a key whose earlier records were trimmed.
Test(claim_keeper, a_keeper_after_a_trim_decides_only_later_keys) {
  Stream Log;
  const auto Old = static_cast<std::uint64_t>(Start - 600000);
  Log.append({core::WriterId("w2"), Old - 1, {claimOf(keyAt(Start), "n2")}});
  Log.append({core::WriterId("w2"), Old, {claimOf(keyAt(1), "n2")}});
  Log.trim(1);
  KeeperFixture Keeper = keeperOf(Log);
  const std::int64_t Margin = 60000;
  const auto Before = Keeper.request(claimOf(keyAt(Start - 600000), "n1"));
  cr_assert(Keeper.errorIn(Before) == core::ErrorCode::ClaimHistoryIncomplete,
            "decided from an incomplete history");
  const auto After =
      Keeper.request(claimOf(keyAt(Start - 600000 + Margin), "n1"));
  cr_assert(!Keeper.errorIn(After),
            "a key created after the trimmed records was refused");
}

// Guards against decisions before all earlier records were read.
Test(claim_keeper, a_keeper_that_still_reads_waits) {
  Stream Log;
  Log.append({core::WriterId("w2"), 1, {claimOf(keyAt(Start), "n2")}});
  Log.append({core::WriterId("w2"), 2, {claimOf(keyAt(Start, 1), "n3")}});
  KeeperFixture Keeper("w1");
  Keeper.handle(BecameKeeper{});
  Keeper.readFrom(Log, 1);
  const auto Known = Keeper.request(claimOf(keyAt(Start, 1), "n1"), 100);
  Keeper.handle(BatchDue{});
  cr_assert(Keeper.Replies.empty() && Keeper.Appends.empty(),
            "replied or appended before the end of the stream was read");
  Keeper.readFrom(Log, 1);
  cr_assert(Keeper.ownerIn(Known) == core::NodeId("n3"), "claim not decided");
}

// Guards against claims that never get a reply, and against decisions by a node
// that is no longer the keeper.
Test(claim_keeper, a_claim_without_decision_is_undecided) {
  Stream Log;
  KeeperFixture Keeper = keeperOf(Log);
  const auto Late = Keeper.request(claimOf(keyAt(Start), "n1"), 100);
  const auto Waits = Keeper.request(claimOf(keyAt(Start, 1), "n1"));
  Keeper.Millis += 100;
  Keeper.handle(BatchDue{});
  cr_assert(Keeper.errorIn(Late) == core::ErrorCode::ClaimUndecided,
            "expired claim got no error");
  Keeper.handle(CeasedToBeKeeper{});
  cr_assert(Keeper.errorIn(Waits) == core::ErrorCode::ClaimKeeperChanged,
            "a waiting claim got no error when the keeper changed");
  const auto Other = Keeper.request(claimOf(keyAt(Start, 2), "n1"));
  cr_assert(Keeper.errorIn(Other) == core::ErrorCode::ClaimKeeperChanged,
            "a new claim was accepted after the keeper changed");
}

// Guards against two different requests with one key sharing a result.
Test(claim_keeper, a_key_of_another_request_is_refused) {
  Stream Log;
  Log.append({core::WriterId("w2"), 1, {claimOf(keyAt(Start), "n2")}});
  KeeperFixture Keeper = keeperOf(Log);
  Claim Other = claimOf(keyAt(Start), "n1");
  Other.RequestDigest = core::Digest(8);
  const auto Request = Keeper.request(Other);
  cr_assert(Keeper.errorIn(Request) == core::ErrorCode::ClaimKeyReused,
            "a key of another request was accepted");
}

// Guards against unbounded memory, and against deciding keys that were evicted
// to stay within the limit.
Test(claim_keeper, the_oldest_keys_are_dropped_and_not_decided) {
  Stream Log;
  KeeperFixture Keeper("w1", 2);
  for (std::int64_t Age = 0; Age < 3; ++Age)
    Log.append({core::WriterId("w2"),
                static_cast<std::uint64_t>(Age + 1),
                {claimOf(keyAt(Start - Age), "n2")}});
  Keeper.handle(BecameKeeper{});
  Keeper.readFrom(Log);
  cr_assert(Keeper.Now.Table.size() == 2, "the limit of keys is not enforced");
  const auto Oldest = Keeper.request(claimOf(keyAt(Start - 2), "n1"));
  cr_assert(Keeper.errorIn(Oldest) == core::ErrorCode::ClaimHistoryIncomplete,
            "an evicted key was decided");
  Keeper.Millis += 3700000;
  Keeper.handle(BatchDue{});
  cr_assert(Keeper.Now.Table.size() == 0, "kept beyond the retention");
}

// Guards against a delayed duplicate of a batch that restores removed keys, and
// against a new batch that is mistaken for a duplicate.
Test(claim_keeper, a_repeated_batch_has_no_effect) {
  ClaimTable Table(100);
  const ClaimBatch Batch{core::WriterId("w2"), 5, {claimOf(keyAt(1), "n2")}};
  Table.apply(Batch);
  Table.eraseBefore(core::WallTime(core::Milliseconds(2)));
  Table.apply(Batch);
  cr_assert(Table.size() == 0, "a duplicate batch was applied");
  Table.apply({core::WriterId("w2"), 6, {claimOf(keyAt(3), "n2")}});
  Table.apply({core::WriterId("w3"), 5, {claimOf(keyAt(4), "n3")}});
  cr_assert(Table.size() == 2, "a new batch was dropped");
}

// Guards against two owners of one key: keepers that read the same stream in
// different portions, before or after it is trimmed, must return the same
// owner.
Test(claim_keeper, keepers_of_one_stream_agree) {
  const bool Passed = rc::check([] {
    RandomChoices Pick;
    Stream Log;
    std::vector<KeeperFixture> Keepers;
    for (const char *Writer : {"w1", "w2", "w3"})
      Keepers.emplace_back(Writer).handle(BecameKeeper{});
    std::map<std::uint64_t, core::IdempotencyKey> KeyOf[3];
    std::map<core::IdempotencyKey, ClaimOwner> Owners;
    std::vector<ClaimBatch> Delayed;
    for (int Step = 0; Step < 200; ++Step) {
      const auto Index = Pick(0, 3);
      KeeperFixture &Keeper = Keepers[Index];
      Keeper.Millis = Start + Step * std::int64_t{400};
      const auto Key = keyAt(Start + Pick(0, 4) * 20000);
      switch (Pick(0, 8)) {
      case 0:
      case 1: {
        const std::string Node = "n" + std::to_string(Index);
        const auto Request =
            Keeper.request(claimOf(Key, Node.c_str(), Keeper.LastRequest));
        KeyOf[Index][Request] = Key;
        break;
      }
      case 2:
        Keeper.handle(BatchDue{});
        break;
      case 3:
      case 4:
        if (!Keeper.Appends.empty()) {
          const ClaimBatch Batch = Keeper.takeAppend();
          const int Kind = Pick(0, 4);
          if (Kind < 2)
            Log.append(Batch);
          if (Kind == 2)
            Delayed.push_back(Batch);
          if (Kind == 0)
            Keeper.handle(AppendAcknowledged{Batch.Sequence});
          else
            Keeper.handle(AppendUnknown{Batch.Sequence});
        }
        break;
      case 5:
        if (!Delayed.empty()) {
          Log.append(Delayed.back());
          Delayed.pop_back();
        } else if (Log.Records.size() > 2 && Pick(0, 4) == 0) {
          Log.trim(1);
        }
        break;
      case 6:
        if (Pick(0, 5) == 0)
          Keeper.handle(CeasedToBeKeeper{});
        Keeper.handle(BecameKeeper{});
        break;
      default:
        Keeper.readFrom(Log, Pick(1, 4));
      }
      for (const auto &[Request, Reply] : Keeper.Replies) {
        if (Reply.Failure)
          continue;
        const auto [Position, New] =
            Owners.try_emplace(KeyOf[Index].at(Request), Reply.Owner);
        RC_ASSERT(Position->second == Reply.Owner);
      }
    }
    RC_CLASSIFY(!Owners.empty());
  });
  cr_assert(Passed, "two owners of one key");
}
