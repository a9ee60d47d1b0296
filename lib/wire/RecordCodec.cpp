#include "filbertvane/wire/RecordCodec.h"
#include "CompactBuffer.h"
#include "StateThrift.h"

namespace filbertvane::wire {

namespace {

gen::LeaseRenewed renewalToThrift(const LeaseRenewed &From) {
  gen::LeaseRenewed To;
  To.holder = From.Holder.value();
  To.epoch = toSigned(From.LeaseEpoch.value());
  To.sequence = toSigned(From.Sequence);
  return To;
}

LeaseRenewed renewalFromThrift(const gen::LeaseRenewed &From) {
  return {core::NodeId(From.holder), core::Epoch(toUnsigned(From.epoch)),
          toUnsigned(From.sequence)};
}

gen::ClaimBatch batchToThrift(const ClaimBatch &From) {
  gen::ClaimBatch To;
  To.writer = From.Writer.value();
  To.sequence = toSigned(From.Sequence);
  for (const Claim &Each : From.Claims) {
    gen::Claim Item;
    Item.key = Each.Key.value();
    Item.owner = Each.Owner.value();
    Item.requestDigest = toSigned(Each.RequestDigest.value());
    To.claims.push_back(Item);
  }
  return To;
}

ClaimBatch batchFromThrift(const gen::ClaimBatch &From) {
  ClaimBatch To{core::WriterId(From.writer), toUnsigned(From.sequence), {}};
  for (const gen::Claim &Each : From.claims)
    To.Claims.push_back({core::IdempotencyKey(Each.key),
                         core::NodeId(Each.owner),
                         core::Digest(toUnsigned(Each.requestDigest))});
  return To;
}

/// Decodes a Thrift value and converts it with a check of its numbers.
template <typename Value, typename Thrift>
core::Result<Value> decoded(std::string_view Bytes, std::size_t MaxBytes) {
  const core::Result<Thrift> Message = fromCompact<Thrift>(Bytes, MaxBytes);
  if (!core::ok(Message))
    return core::failure(Message);
  RangeCheck Check;
  Value Converted = fromThrift(core::value(Message), Check);
  return Check.result(std::move(Converted));
}

} // namespace

std::string encode(const config::LogRecord &Record) {
  return toCompact(toThrift(Record));
}

std::string encode(const config::FleetState &State) {
  return toCompact(toThrift(State));
}

std::string encode(const config::Sheet &Content) {
  return toCompact(toThrift(Content));
}

std::string encode(const LeaseRenewed &Renewal) {
  return toCompact(renewalToThrift(Renewal));
}

std::string encode(const ClaimBatch &Batch) {
  return toCompact(batchToThrift(Batch));
}

core::Result<config::LogRecord> decodeRecord(std::string_view Bytes) {
  return decoded<config::LogRecord, gen::LogRecord>(Bytes, MaxRecordBytes);
}

core::Result<config::FleetState> decodeState(std::string_view Bytes) {
  return decoded<config::FleetState, gen::FleetState>(Bytes, MaxStateBytes);
}

core::Result<LeaseRenewed> decodeRenewal(std::string_view Bytes) {
  const auto Message = fromCompact<gen::LeaseRenewed>(Bytes, MaxRecordBytes);
  if (!core::ok(Message))
    return core::failure(Message);
  return renewalFromThrift(core::value(Message));
}

core::Result<ClaimBatch> decodeClaims(std::string_view Bytes) {
  const auto Message = fromCompact<gen::ClaimBatch>(Bytes, MaxRecordBytes);
  if (!core::ok(Message))
    return core::failure(Message);
  return batchFromThrift(core::value(Message));
}

core::Result<config::FleetState>
decodeSnapshot(const config::SnapshotTaken &Snapshot) {
  core::Result<config::FleetState> State = decodeState(Snapshot.State);
  if (!core::ok(State))
    return State;
  const config::FleetState &Held = core::value(State);
  if (Held.NextOffset.value() != Snapshot.UpTo.value() + 1)
    return core::Error{core::ErrorCode::WireDigestMismatch, "position"};
  if (config::digestOf(Held) != Snapshot.StateDigest)
    return core::Error{core::ErrorCode::WireDigestMismatch, "digest"};
  return State;
}

} // namespace filbertvane::wire
