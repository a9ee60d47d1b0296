#include "LogFold.h"
#include "filbertvane/config/Replay.h"
#include "filbertvane/wire/RecordCodec.h"

namespace filbertvane::io {

decision::distribution::FoldedRecord LogFold::apply(config::FleetState State,
                                                    core::LogOffset Offset,
                                                    const std::string &Bytes) {
  config::ApplyResult After =
      config::applyEncoded(std::move(State), Offset, Bytes);
  auto Decoded = wire::decodeRecord(Bytes);
  std::optional<config::LogRecord> Record;
  if (core::ok(Decoded))
    Record = core::take(std::move(Decoded));
  return {std::move(After.State), std::move(Record), std::move(After.Outcome)};
}

core::Digest LogFold::digestOf(const config::FleetState &State) {
  return config::digestOf(State);
}

std::string LogFold::encode(const config::FleetState &State) {
  return wire::encode(State);
}

core::Result<config::FleetState> LogFold::decode(const std::string &Bytes) {
  return wire::decodeState(Bytes);
}

/// The fold keeps nothing of a snapshot but its writer's sequence, so nodes
/// that read no log can do without the state in it.
std::optional<std::string> LogFold::reduced(const std::string &Bytes) {
  auto Decoded = wire::decodeRecord(Bytes);
  if (!core::ok(Decoded))
    return std::nullopt;
  config::LogRecord Record = core::take(std::move(Decoded));
  auto *Snapshot = std::get_if<config::SnapshotTaken>(&Record.Body);
  if (Snapshot == nullptr)
    return std::nullopt;
  Snapshot->State.clear();
  return wire::encode(Record);
}

} // namespace filbertvane::io
