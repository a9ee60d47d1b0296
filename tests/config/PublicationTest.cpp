#include "config/FakeLog.h"
#include "config/RandomLog.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::config;
using tests::FakeLog;
using Behaviour = FakeLog::Behaviour;

namespace {

LogRecord sheetRecord(const char *Writer, std::uint64_t Base) {
  SheetPublished Body;
  Body.Base = core::ConfigVersion(Base);
  Body.Delta.ChangedServices = {
      {core::ServiceName("a"), core::TargetVersion("1"), std::nullopt}};
  Body.Operator = "ann";
  Body.PublishedAt = tests::PublishTime;
  return {core::WriterId(Writer), 1, Body};
}

core::Result<RecordOutcome> publishTo(FakeLog &Log, const LogRecord &Record) {
  FleetState State;
  return Publication(Log, State, Record).run();
}

bool accepted(const core::Result<RecordOutcome> &Outcome,
              std::uint64_t Version) {
  return core::ok(Outcome) &&
         core::value(Outcome) ==
             RecordOutcome(Accepted{core::ConfigVersion(Version)});
}

} // namespace

Test(publication, an_acknowledged_sheet_is_read_back_as_accepted) {
  FakeLog Log;
  cr_assert(accepted(publishTo(Log, sheetRecord("w", 0)), 1));
  cr_assert(Log.Records.size() == 1);
}

// Guards against a repeated append after a lost acknowledgement.
Test(publication, a_lost_acknowledgement_is_read_back_not_repeated) {
  FakeLog Log;
  Log.AppendBehaviours = {Behaviour::LoseAcknowledgement};
  cr_assert(accepted(publishTo(Log, sheetRecord("w", 0)), 1));
  cr_assert(Log.Records.size() == 1);
}

// Guards against a publisher that reports success although the log was down.
Test(publication, an_append_without_effect_is_repeated) {
  FakeLog Log;
  Log.AppendBehaviours = {Behaviour::Fail, Behaviour::Fail};
  Log.ReadBehaviours = {Behaviour::Fail};
  cr_assert(accepted(publishTo(Log, sheetRecord("w", 0)), 1));
  cr_assert(Log.Records.size() == 1);
  cr_assert(Log.Pauses == 1);
}

// Guards against a sheet that is reported as accepted although another sheet on
// the same base was appended first.
Test(publication, the_later_of_two_sheets_is_refused) {
  FakeLog Log;
  for (int I = 0; I < 3; ++I)
    Log.Records.push_back(wire::encode(sheetRecord("other", 0)));
  const auto Outcome = publishTo(Log, sheetRecord("w", 0));
  cr_assert(core::ok(Outcome));
  const auto *Refusal = std::get_if<Refused>(&core::value(Outcome));
  cr_assert(Refusal);
  cr_assert(Refusal->Reason.Code == core::ErrorCode::SheetStaleBase);
}

Test(publication, a_long_outage_ends_with_an_unknown_outcome) {
  FakeLog Log;
  Log.AppendBehaviours.assign(100, Behaviour::Fail);
  Log.ReadBehaviours.assign(100, Behaviour::Fail);
  const auto Outcome = publishTo(Log, sheetRecord("w", 0));
  cr_assert(!core::ok(Outcome));
  cr_assert(core::failure(Outcome).Code == core::ErrorCode::LogUnavailable);
}

Test(publication, a_rejected_append_is_not_repeated) {
  FakeLog Log;
  Log.Rejects = true;
  const auto Outcome = publishTo(Log, sheetRecord("w", 0));
  cr_assert(!core::ok(Outcome));
  cr_assert(core::failure(Outcome).Code == core::ErrorCode::LogRejected);
  cr_assert(Log.Pauses == 0);
}

// Guards against a state without the records that expired before the snapshot,
// and against a gap between the snapshot and the remaining records.
Test(publication, a_trimmed_log_is_loaded_from_its_snapshot) {
  FakeLog Log;
  Log.Records = {wire::encode(sheetRecord("w", 0))};
  const auto Before = loadState(Log);
  cr_assert(core::ok(Before));
  const FleetState &State = core::value(Before);
  const SnapshotTaken Snapshot{core::Epoch(0), core::LogOffset(0),
                               digestOf(State), wire::encode(State)};
  Log.Records.push_back(wire::encode(sheetRecord("x", 1)));
  Log.Records.push_back(
      wire::encode(LogRecord{core::WriterId("c"), 1, Snapshot}));
  const auto Whole = loadState(Log);
  Log.First = 1;
  cr_assert(core::ok(Whole));
  cr_assert(core::value(Whole).Version == core::ConfigVersion(2));
  cr_assert(loadState(Log) == Whole);
  Log.First = 2;
  const auto Gap = loadState(Log);
  cr_assert(!core::ok(Gap));
  cr_assert(core::failure(Gap).Code == core::ErrorCode::LogTrimmed);
}
