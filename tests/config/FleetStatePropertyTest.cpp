#include "config/RandomLog.h"
#include "filbertvane/config/Replay.h"
#include "filbertvane/wire/RecordCodec.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace filbertvane;
using namespace filbertvane::config;
using tests::RandomLog;

namespace {

constexpr std::size_t Length = 60;

/// A log that also contains duplicate and malformed records.
std::vector<StoredRecord> randomLog(std::uint64_t Seed) {
  RandomLog Source(Seed);
  FleetState State;
  std::vector<StoredRecord> Log;
  for (std::size_t I = 0; I < Length; ++I) {
    std::string Bytes = wire::encode(Source.record(State));
    if (!Log.empty() && Source.oneIn(10))
      Bytes = Log[Source.below(Log.size())].Bytes;
    if (Source.oneIn(20))
      Bytes = Source.bytes(40);
    Log.push_back({core::LogOffset(I), Bytes});
    State = applyEncoded(State, Log.back().Offset, Bytes).State;
  }
  return Log;
}

FleetState foldOf(const std::vector<StoredRecord> &Log) {
  FleetState State;
  for (const StoredRecord &Each : Log)
    State = applyEncoded(State, Each.Offset, Each.Bytes).State;
  return State;
}

/// Fields that only an accepted record may change.
auto configurationOf(const FleetState &State) {
  return std::tie(State.Version, State.SheetVersion, State.CurrentSheet,
                  State.TrafficByService, State.Moves);
}

} // namespace

// Guards against nodes that derive different configurations from the same log
// because one of them starts from a snapshot.
Test(fleet_state_properties, readers_of_one_log_agree) {
  cr_assert(rc::check("readers agree", [](std::uint64_t Seed) {
    const auto Log = randomLog(Seed);
    const FleetState Whole = foldOf(Log);
    const auto Replayed = replay(Log);
    RC_ASSERT(core::ok(Replayed));
    RC_ASSERT(core::value(Replayed) == Whole);
    RC_ASSERT(digestOf(core::value(Replayed)) == digestOf(Whole));
  }));
}

// Guards against a reader of a trimmed log that starts from a snapshot although
// records after the snapshot have expired.
Test(fleet_state_properties, a_reader_after_trimming_agrees_or_refuses) {
  std::size_t Agreed = 0;
  cr_assert(rc::check("trimmed", [&](std::uint64_t Seed) {
    auto Log = randomLog(Seed);
    const FleetState Whole = foldOf(Log);
    Log.erase(Log.begin(), Log.begin() + Length / 3);
    const auto Late = replay(Log);
    if (core::ok(Late)) {
      ++Agreed;
      RC_ASSERT(core::value(Late) == Whole);
    } else {
      RC_ASSERT(core::failure(Late).Code == core::ErrorCode::LogTrimmed);
    }
  }));
  cr_assert(Agreed > 50, "too few logs held a usable snapshot");
}

// Guards against a configuration version that decreases (I1), and against a
// refused or duplicate record that changes the configuration.
Test(fleet_state_properties, only_accepted_records_change_configuration) {
  std::size_t Accepts = 0;
  std::size_t Refusals = 0;
  std::size_t Duplicates = 0;
  cr_assert(rc::check("versions", [&](std::uint64_t Seed) {
    FleetState State;
    for (const StoredRecord &Each : randomLog(Seed)) {
      const ApplyResult After = applyEncoded(State, Each.Offset, Each.Bytes);
      const auto *Accept = std::get_if<Accepted>(&After.Outcome);
      Accepts += Accept ? 1 : 0;
      Refusals += std::holds_alternative<Refused>(After.Outcome);
      Duplicates += std::holds_alternative<Duplicate>(After.Outcome);
      if (Accept)
        RC_ASSERT(After.State.Version.value() == State.Version.value() + 1);
      else
        RC_ASSERT(configurationOf(After.State) == configurationOf(State));
      RC_ASSERT(After.State.NextOffset > State.NextOffset);
      State = After.State;
    }
  }));
  cr_assert(Accepts > 300, "accepted %zu", Accepts);
  cr_assert(Refusals > 300, "refused %zu", Refusals);
  cr_assert(Duplicates > 100, "duplicates %zu", Duplicates);
}

// Guards against records that are received again and applied twice.
Test(fleet_state_properties, late_offsets_do_nothing) {
  cr_assert(rc::check("late offsets", [](std::uint64_t Seed) {
    const auto Log = randomLog(Seed);
    const FleetState State = foldOf(Log);
    for (const StoredRecord &Each : Log) {
      const ApplyResult After = applyEncoded(State, Each.Offset, Each.Bytes);
      RC_ASSERT(std::holds_alternative<Duplicate>(After.Outcome));
      RC_ASSERT(After.State == State);
    }
  }));
}

// Guards against a record that is applied twice because its append was repeated
// after a lost acknowledgement.
Test(fleet_state_properties, a_repeated_record_only_moves_the_position) {
  cr_assert(rc::check("repeats", [](std::uint64_t Seed) {
    const auto Log = randomLog(Seed);
    FleetState State;
    for (const StoredRecord &Each : Log) {
      State = applyEncoded(State, Each.Offset, Each.Bytes).State;
      if (!core::ok(wire::decodeRecord(Each.Bytes)))
        continue;
      const ApplyResult Again =
          applyEncoded(State, State.NextOffset, Each.Bytes);
      RC_ASSERT(std::holds_alternative<Duplicate>(Again.Outcome));
      FleetState Expected = State;
      Expected.NextOffset = core::LogOffset(State.NextOffset.value() + 1);
      RC_ASSERT(Again.State == Expected);
    }
  }));
}

// Guards against traffic splits that do not match the moves in progress.
Test(fleet_state_properties, traffic_follows_the_moves_in_progress) {
  cr_assert(rc::check("traffic", [](std::uint64_t Seed) {
    const FleetState State = foldOf(randomLog(Seed));
    std::size_t Candidates = 0;
    for (const auto &[Service, Split] : State.TrafficByService)
      Candidates += Split.Candidate ? 1 : 0;
    std::size_t InProgress = 0;
    for (const MoveStatus &Move : State.Moves) {
      RC_ASSERT(Move.EndedAt.has_value() ==
                (Move.Stage != MoveStage::InProgress));
      if (Move.Stage != MoveStage::InProgress)
        continue;
      ++InProgress;
      const TrafficSplit &Split = State.TrafficByService.at(Move.Id.Service);
      RC_ASSERT(Split == (TrafficSplit{Move.From, Move.Order.To, Move.Share}));
    }
    RC_ASSERT(InProgress == Candidates);
  }));
}

// Guards against a delta that loses or adds parts of a sheet.
Test(fleet_state_properties, a_delta_leads_from_one_sheet_to_the_other) {
  cr_assert(rc::check("delta", [](std::uint64_t Seed) {
    RandomLog Source(Seed);
    const Sheet From = Source.sheet({});
    Sheet To = Source.sheet({});
    To.Base = From.Base;
    RC_ASSERT(applyDelta(From, computeDelta(From, To)) == To);
    RC_ASSERT(computeDelta(From, From) == SheetDelta{});
  }));
}
