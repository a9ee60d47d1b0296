#include "filbertvane/wire/RecordCodec.h"
#include "config/RandomLog.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace filbertvane;
using namespace filbertvane::config;
using tests::RandomLog;

namespace {

FleetState randomState(RandomLog &Source) {
  FleetState State;
  for (int I = 0; I < 30; ++I)
    State = apply(State, State.NextOffset, Source.record(State)).State;
  return State;
}

/// Calls all decoders; a decoder that throws or crashes ends the test.
void decodeAll(std::string_view Bytes) {
  (void)wire::decodeRecord(Bytes);
  (void)wire::decodeState(Bytes);
  (void)wire::decodeRenewal(Bytes);
  (void)wire::decodeClaims(Bytes);
}

} // namespace

// Guards against a field that is lost or changed on its way through the log.
Test(record_codec, records_and_states_round_trip) {
  cr_assert(rc::check("round trip", [](std::uint64_t Seed) {
    RandomLog Source(Seed);
    const FleetState State = randomState(Source);
    const auto Decoded = wire::decodeState(wire::encode(State));
    RC_ASSERT(core::ok(Decoded));
    RC_ASSERT(core::value(Decoded) == State);
    for (int I = 0; I < 20; ++I) {
      const LogRecord Record = Source.record(State);
      const auto Again = wire::decodeRecord(wire::encode(Record));
      RC_ASSERT(core::ok(Again));
      RC_ASSERT(core::value(Again) == Record);
    }
  }));
}

Test(record_codec, renewals_and_claims_round_trip) {
  cr_assert(rc::check("round trip", [](std::uint64_t A, std::uint64_t B,
                                       const std::string &Key) {
    const wire::LeaseRenewed Renewal{core::NodeId(Key), core::Epoch(A), B};
    RC_ASSERT(core::value(wire::decodeRenewal(wire::encode(Renewal))) ==
              Renewal);
    const wire::Claim One{core::IdempotencyKey(Key), core::NodeId("n"),
                          core::Digest(B)};
    const wire::ClaimBatch Batch{core::WriterId("w"), A, {One, One}};
    RC_ASSERT(core::value(wire::decodeClaims(wire::encode(Batch))) == Batch);
  }));
}

// Guards against a decoder that crashes on what a broken peer or log sends.
Test(record_codec, random_bytes_never_crash_a_decoder) {
  cr_assert(rc::check("random bytes", [](std::uint64_t Seed) {
    RandomLog Source(Seed);
    for (int I = 0; I < 50; ++I)
      decodeAll(Source.bytes(200));
  }));
}

Test(record_codec, damaged_values_never_crash_a_decoder) {
  cr_assert(rc::check("damage", [](std::uint64_t Seed) {
    RandomLog Source(Seed);
    const FleetState State = randomState(Source);
    for (int I = 0; I < 50; ++I) {
      std::string Bytes =
          I % 2 == 0 ? wire::encode(State) : wire::encode(Source.record(State));
      Bytes[Source.below(Bytes.size())] = static_cast<char>(Source.below(256));
      decodeAll(Bytes);
      decodeAll(std::string_view(Bytes).substr(0, Source.below(Bytes.size())));
    }
  }));
}

// Guards against a count in a short message that makes the decoder allocate
// gigabytes: a list of 2^31-1 structures.
Test(record_codec, a_false_element_count_is_refused) {
  const std::string Bytes("\x18\x01w\x16\x02\x19\xfc\xff\xff\xff\xff\x07", 12);
  const auto Decoded = wire::decodeClaims(Bytes);
  cr_assert(!core::ok(Decoded));
  cr_assert(core::failure(Decoded).Code == core::ErrorCode::WireMalformed);
}

Test(record_codec, trailing_bytes_and_excess_length_are_refused) {
  const std::string Bytes = wire::encode(wire::LeaseRenewed{});
  const auto Longer = wire::decodeRenewal(Bytes + "x");
  cr_assert(!core::ok(Longer));
  cr_assert(core::failure(Longer).Code == core::ErrorCode::WireMalformed);
  const std::string Large(wire::MaxRecordBytes + 1, '\0');
  const auto TooLarge = wire::decodeRecord(Large);
  cr_assert(!core::ok(TooLarge));
  cr_assert(core::failure(TooLarge).Code == core::ErrorCode::WireTooLarge);
}

// Guards against a node that starts from a damaged snapshot.
Test(record_codec, a_snapshot_with_another_digest_or_position_is_refused) {
  RandomLog Source(7);
  const FleetState State = randomState(Source);
  SnapshotTaken Snapshot{State.CurrentEpoch,
                         core::LogOffset(State.NextOffset.value() - 1),
                         digestOf(State), wire::encode(State)};
  cr_assert(core::ok(wire::decodeSnapshot(Snapshot)));
  Snapshot.UpTo = State.NextOffset;
  const auto Position = wire::decodeSnapshot(Snapshot);
  cr_assert(!core::ok(Position));
  cr_assert(core::failure(Position).Code ==
            core::ErrorCode::WireDigestMismatch);
  Snapshot.UpTo = core::LogOffset(State.NextOffset.value() - 1);
  Snapshot.StateDigest = core::Digest(1);
  const auto Digest = wire::decodeSnapshot(Snapshot);
  cr_assert(!core::ok(Digest));
  cr_assert(core::failure(Digest).Code == core::ErrorCode::WireDigestMismatch);
}
