#include "filbertvane/config/Replay.h"
#include "filbertvane/wire/RecordCodec.h"

namespace filbertvane::config {

namespace {

/// State of a snapshot record; none for another record, for a snapshot that
/// cannot be decoded, and when records between it and `First` have expired.
std::optional<FleetState> decodeUsableSnapshot(const StoredRecord &Stored,
                                               core::LogOffset First) {
  const auto Record = wire::decodeRecord(Stored.Bytes);
  if (!core::ok(Record))
    return std::nullopt;
  const auto *Snapshot = std::get_if<SnapshotTaken>(&core::value(Record).Body);
  if (!Snapshot || Snapshot->UpTo >= Stored.Offset)
    return std::nullopt;
  auto State = wire::decodeSnapshot(*Snapshot);
  if (!core::ok(State) || core::value(State).NextOffset < First)
    return std::nullopt;
  return core::take(std::move(State));
}

std::optional<FleetState>
newestSnapshot(const std::vector<StoredRecord> &Records) {
  for (auto Each = Records.rbegin(); Each != Records.rend(); ++Each)
    if (auto State = decodeUsableSnapshot(*Each, Records.front().Offset))
      return State;
  return std::nullopt;
}

} // namespace

ApplyResult applyEncoded(FleetState State, core::LogOffset Offset,
                         std::string_view Bytes) {
  const auto Record = wire::decodeRecord(Bytes);
  if (core::ok(Record))
    return apply(std::move(State), Offset, core::value(Record));
  if (Offset < State.NextOffset)
    return {std::move(State), Duplicate{}};
  State.NextOffset = core::LogOffset(Offset.value() + 1);
  return {std::move(State), Refused{core::failure(Record)}};
}

core::Result<FleetState> replay(const std::vector<StoredRecord> &Records) {
  FleetState State;
  if (Records.empty())
    return State;
  if (auto Found = newestSnapshot(Records))
    State = std::move(*Found);
  else if (Records.front().Offset != core::LogOffset(0))
    return core::Error{core::ErrorCode::LogTrimmed, "no usable snapshot"};
  for (const StoredRecord &Each : Records)
    State = applyEncoded(std::move(State), Each.Offset, Each.Bytes).State;
  return State;
}

} // namespace filbertvane::config
