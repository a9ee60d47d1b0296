#include "FakeFold.h"
#include <fmt/format.h>
#include <sstream>

namespace filbertvane::scenario {

namespace {

/// Makes a snapshot record larger than `ReductionThresholdBytes`.
const std::string Padding(2000, '.');

std::optional<config::LogRecord> parse(const std::string &Bytes) {
  std::istringstream In(Bytes);
  std::string Writer;
  std::string Kind;
  config::LogRecord Record;
  if (!(In >> Writer >> Record.Sequence >> Kind))
    return std::nullopt;
  Record.Writer = core::WriterId(Writer);
  std::uint64_t Number = 0;
  std::string Name;
  if (Kind == "sheet" && In >> Number) {
    Record.Body =
        config::SheetPublished{core::ConfigVersion(Number), {}, Writer, {}};
  } else if (Kind == "claim" && In >> Name >> Number) {
    Record.Body = config::LeaseClaimed{core::NodeId(Name), core::Epoch(Number)};
  } else if (Kind == "step" && In >> Number) {
    Record.Body = config::MoveStepped{core::Epoch(Number), {}, 0};
  } else if (Kind == "snapshot") {
    config::SnapshotTaken Taken;
    std::getline(In, Taken.State, '|');
    Taken.StateDigest = core::digestOf(Taken.State);
    Record.Body = Taken;
  } else {
    return std::nullopt;
  }
  return Record;
}

config::RecordOutcome accept(config::FleetState &State) {
  State.Version = core::ConfigVersion(State.Version.value() + 1);
  return config::Accepted{State.Version};
}

config::RecordOutcome refuse(core::ErrorCode Code) {
  return config::Refused{{Code, ""}};
}

config::RecordOutcome outcome(config::FleetState &State,
                              const config::RecordBody &Body) {
  if (const auto *Sheet = std::get_if<config::SheetPublished>(&Body)) {
    if (Sheet->Base != State.SheetVersion)
      return refuse(core::ErrorCode::SheetStaleBase);
    config::RecordOutcome Result = accept(State);
    State.SheetVersion = State.Version;
    return Result;
  }
  if (const auto *Claim = std::get_if<config::LeaseClaimed>(&Body)) {
    if (Claim->NewEpoch.value() != State.CurrentEpoch.value() + 1)
      return refuse(core::ErrorCode::MoveEpochClaimed);
    State.CurrentEpoch = Claim->NewEpoch;
    State.LeaseHolder = Claim->Holder;
    return config::Recorded{};
  }
  if (const auto *Step = std::get_if<config::MoveStepped>(&Body)) {
    if (Step->LeaseEpoch != State.CurrentEpoch)
      return refuse(core::ErrorCode::MoveStaleEpoch);
    return accept(State);
  }
  return config::Recorded{};
}

} // namespace

decision::distribution::FoldedRecord FakeFold::apply(config::FleetState State,
                                                     core::LogOffset Offset,
                                                     const std::string &Bytes) {
  State.NextOffset = core::LogOffset(Offset.value() + 1);
  std::optional<config::LogRecord> Record = parse(Bytes);
  if (!Record)
    return {State, {}, refuse(core::ErrorCode::WireMalformed)};
  std::uint64_t &Last = State.LastSequence[Record->Writer];
  if (Record->Sequence <= Last)
    return {State, Record, config::Duplicate{}};
  Last = Record->Sequence;
  config::RecordOutcome Result = outcome(State, Record->Body);
  return {std::move(State), std::move(Record), std::move(Result)};
}

core::Digest FakeFold::digestOf(const config::FleetState &State) {
  return core::digestOf(encode(State));
}

std::string FakeFold::encode(const config::FleetState &State) {
  std::string Text =
      fmt::format(" {} {} {} {} [{}]", State.NextOffset.value(),
                  State.Version.value(), State.SheetVersion.value(),
                  State.CurrentEpoch.value(), State.LeaseHolder.value());
  for (const auto &[Writer, Sequence] : State.LastSequence)
    Text += fmt::format(" {} {}", Writer.value(), Sequence);
  return Text;
}

core::Result<config::FleetState> FakeFold::decode(const std::string &Bytes) {
  std::istringstream In(Bytes);
  std::uint64_t Next = 0;
  std::uint64_t Version = 0;
  std::uint64_t Sheet = 0;
  std::uint64_t Epoch = 0;
  std::string Holder;
  if (!(In >> Next >> Version >> Sheet >> Epoch >> Holder))
    return core::Error{core::ErrorCode::WireMalformed, "state"};
  config::FleetState State;
  State.NextOffset = core::LogOffset(Next);
  State.Version = core::ConfigVersion(Version);
  State.SheetVersion = core::ConfigVersion(Sheet);
  State.CurrentEpoch = core::Epoch(Epoch);
  State.LeaseHolder = core::NodeId(Holder.substr(1, Holder.size() - 2));
  std::string Writer;
  std::uint64_t Sequence = 0;
  while (In >> Writer >> Sequence)
    State.LastSequence[core::WriterId(Writer)] = Sequence;
  return State;
}

std::optional<std::string> FakeFold::reduced(const std::string &Bytes) {
  const std::size_t At = Bytes.find(" snapshot");
  if (At == std::string::npos)
    return std::nullopt;
  return Bytes.substr(0, At + 9);
}

std::string sheetRecord(std::uint64_t Sequence, std::uint64_t Base) {
  return fmt::format("operator {} sheet {}", Sequence, Base);
}

std::string claimRecord(const std::string &Writer, std::uint64_t Sequence,
                        const std::string &Holder, std::uint64_t Epoch) {
  return fmt::format("{} {} claim {} {}", Writer, Sequence, Holder, Epoch);
}

std::string stepRecord(std::uint64_t Sequence, std::uint64_t Epoch) {
  return fmt::format("steps {} step {}", Sequence, Epoch);
}

std::string snapshotRecord(std::uint64_t Sequence,
                           const config::FleetState &State) {
  return fmt::format("snapshots {} snapshot{}|{}", Sequence,
                     FakeFold::encode(State), Padding);
}

} // namespace filbertvane::scenario
