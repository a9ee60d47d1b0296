#include "filbertvane/config/FleetState.h"
#include "MoveRecords.h"
#include "SheetAcceptance.h"
#include "WriterSequences.h"
#include "filbertvane/wire/RecordCodec.h"
#include <limits>

namespace filbertvane::config {

namespace {

using core::ErrorCode;

/// Data centres kept of a report, which bounds the state. The largest fleet
/// that the design covers has 19.
constexpr std::size_t MaxMissing = 64;

const core::LogOffset LastOffset(std::numeric_limits<std::uint64_t>::max());

RecordOutcome applyBody(FleetState &State, core::LogOffset Offset,
                        const SheetPublished &Body) {
  return acceptSheet(State, Offset, Body);
}

RecordOutcome applyBody(FleetState &State, core::LogOffset,
                        const LeaseClaimed &Body) {
  if (Body.NewEpoch.value() != State.CurrentEpoch.value() + 1)
    return Refused{{ErrorCode::MoveEpochClaimed,
                    epochDetail(Body.NewEpoch, State.CurrentEpoch)}};
  State.CurrentEpoch = Body.NewEpoch;
  State.LeaseHolder = Body.Holder;
  return Recorded{};
}

RecordOutcome applyBody(FleetState &State, core::LogOffset,
                        const MoveStepped &Body) {
  return applyStep(State, Body);
}

RecordOutcome applyBody(FleetState &State, core::LogOffset,
                        const MoveRolledBack &Body) {
  return applyRollback(State, Body);
}

RecordOutcome applyBody(FleetState &State, core::LogOffset,
                        const MoveCompleted &Body) {
  return applyCompletion(State, Body);
}

RecordOutcome applyBody(FleetState &State, core::LogOffset,
                        const InForceReported &Body) {
  State.InForce = Body;
  if (Body.Missing.size() > MaxMissing)
    State.InForce->Missing.resize(MaxMissing);
  return Recorded{};
}

RecordOutcome applyBody(FleetState &, core::LogOffset, const SnapshotTaken &) {
  return Recorded{};
}

/// Epoch that a record of the coordinator carries; none for other records.
std::optional<core::Epoch> epochOf(const RecordBody &Body) {
  return std::visit(
      [](const auto &Each) -> std::optional<core::Epoch> {
        if constexpr (requires { Each.LeaseEpoch; })
          return Each.LeaseEpoch;
        else
          return std::nullopt;
      },
      Body);
}

} // namespace

ApplyResult apply(FleetState State, core::LogOffset Offset,
                  const LogRecord &Record) {
  // The next offset after the largest one cannot be represented.
  if (Offset < State.NextOffset || Offset == LastOffset)
    return {std::move(State), Duplicate{}};
  State.NextOffset = core::LogOffset(Offset.value() + 1);
  if (!recordSequence(State.LastSequence, Record.Writer, Record.Sequence))
    return {std::move(State), Duplicate{}};
  const auto LeaseEpoch = epochOf(Record.Body);
  if (LeaseEpoch && *LeaseEpoch != State.CurrentEpoch) {
    std::string Detail = epochDetail(*LeaseEpoch, State.CurrentEpoch);
    return {std::move(State),
            Refused{{ErrorCode::MoveStaleEpoch, std::move(Detail)}}};
  }
  RecordOutcome Outcome = std::visit(
      [&](const auto &Body) { return applyBody(State, Offset, Body); },
      Record.Body);
  return {std::move(State), std::move(Outcome)};
}

core::Digest digestOf(const FleetState &State) {
  return core::digestOf(wire::encode(State));
}

} // namespace filbertvane::config
