#include "filbertvane/config/Report.h"
#include "config/RandomLog.h"
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace filbertvane;
using namespace filbertvane::config;
using tests::LaterTime;
using tests::PublishTime;

namespace {

MoveStatus move(MoveStage Stage, Permille Share) {
  MoveStatus Move;
  Move.Id = {core::ServiceName("reading"), core::ConfigVersion(4)};
  Move.From = core::TargetVersion("1.0");
  Move.Order = {core::TargetVersion("2.0"), LaterTime};
  Move.AcceptedAt = PublishTime;
  Move.Stage = Stage;
  Move.Share = Share;
  if (Stage == MoveStage::InProgress)
    return Move;
  Move.EndedAt = PublishTime + std::chrono::minutes(5);
  if (Stage != MoveStage::Superseded)
    Move.Decision = MoveDecision{core::RouteName("lists"),
                                 "the new version fails more often",
                                 41,
                                 9,
                                 780,
                                 0};
  return Move;
}

void assertSentence(const MoveStatus &Move, const std::string &Expected) {
  const std::string Sentence = describeMove(Move, PublishTime);
  cr_assert_str_eq(Sentence.c_str(), Expected.c_str());
}

} // namespace

// Guards against reports without the outcome, time or reason of a move.
Test(report, each_stage_reads_as_a_plain_sentence) {
  assertSentence(move(MoveStage::InProgress, 0),
                 "Move of reading from 1.0 to 2.0: accepted at "
                 "2026-12-04T10:00:00Z, no requests yet; to be complete by "
                 "2026-12-04T11:00:00Z, 1 h 0 min left.");
  assertSentence(move(MoveStage::InProgress, 125),
                 "Move of reading from 1.0 to 2.0: in progress with 12.5% of "
                 "the requests; to be complete by 2026-12-04T11:00:00Z, 1 h 0 "
                 "min left.");
  assertSentence(move(MoveStage::RolledBack, 0),
                 "Move of reading from 1.0 to 2.0: reversed at "
                 "2026-12-04T10:05:00Z because the new version fails more "
                 "often. Answers on route lists: 9 of 41 failed on 2.0, 0 of "
                 "780 on 1.0.");
  assertSentence(move(MoveStage::Superseded, 0),
                 "Move of reading from 1.0 to 2.0: replaced by a newer sheet "
                 "at 2026-12-04T10:05:00Z.");
}

Test(report, a_missed_deadline_is_stated) {
  const std::string Sentence = describeMove(
      move(MoveStage::InProgress, 125), LaterTime + std::chrono::seconds(90));
  cr_assert(Sentence.ends_with("was to be complete by 2026-12-04T11:00:00Z, 1 "
                               "min 30 s ago."),
            "%s", Sentence.c_str());
}

Test(report, the_json_report_holds_the_deciding_figures) {
  FleetState State;
  State.Moves = {move(MoveStage::RolledBack, 0)};
  const auto Read = nlohmann::json::parse(reportJson(State, PublishTime));
  cr_assert(Read["moves"][0]["stage"] == "reversed");
  cr_assert(Read["moves"][0]["decided"]["new_faults"] == 9);
  cr_assert(Read["moves"][0]["ended_at"] == "2026-12-04T10:05:00Z");
}

// Guards against exceptions on names that are not valid UTF-8.
Test(report, any_state_can_be_reported) {
  cr_assert(rc::check("report", [](std::uint64_t Seed) {
    tests::RandomLog Source(Seed);
    FleetState State;
    for (int I = 0; I < 30; ++I)
      State = apply(State, State.NextOffset, Source.record(State)).State;
    State.RefusedSheets.push_back({{}, Source.bytes(50), {}});
    State.LeaseHolder = core::NodeId(Source.bytes(50));
    const auto Read = nlohmann::json::parse(reportJson(State, PublishTime));
    RC_ASSERT(Read["moves"].size() == State.Moves.size());
    RC_ASSERT(!reportText(State, PublishTime).empty());
  }));
}
