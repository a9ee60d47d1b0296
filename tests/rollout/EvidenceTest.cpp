#include "RolloutFixture.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::decision;
using namespace filbertvane::decision::rollout;
using namespace std::chrono_literals;
using fake::answers;

namespace {

const core::RouteName Read("read");

Evidence report(const char *Sender, std::uint64_t Incarnation,
                std::uint64_t Revision, const config::MoveId &Move,
                const RouteCounts &Counts) {
  Evidence Report;
  Report.Sender = core::NodeId(Sender);
  Report.SenderIncarnation = core::Incarnation(Incarnation);
  Report.Revision = Revision;
  Report.Moves[Move][Read] = Counts;
  return Report;
}

const config::MoveId Move{core::ServiceName("booking"), core::ConfigVersion(1)};

request::ObservedAnswer observed(const char *Version) {
  request::ObservedAnswer Answer;
  Answer.Service = core::ServiceName("booking");
  Answer.Route = Read;
  Answer.Version = core::TargetVersion(Version);
  Answer.Latency = 5ms;
  return Answer;
}

} // namespace

// Guards against wrong sums when reports are lost, duplicated or reordered.
Test(rollout_2_evidence, a_newer_report_replaces_the_older_one) {
  EvidenceTable Table;
  Table.merge(report("n1", 1, 2, Move, answers(5, 1, 50, 0)), {});
  const auto Late =
      Table.merge(report("n1", 1, 1, Move, answers(3, 0, 30, 0)), {});
  cr_assert(Late.Added.empty());
  const auto Newer =
      Table.merge(report("n1", 1, 3, Move, answers(9, 2, 70, 0)), {});
  cr_assert(Newer.Added.at(Move).at(Read) == answers(4, 1, 20, 0));
  cr_assert(Table.total(Move).at(Read) == answers(9, 2, 70, 0));
}

// Guards against losing the counts that a sender reported before its restart.
Test(rollout_2_evidence, a_restarted_sender_adds) {
  EvidenceTable Table;
  Table.merge(report("n1", 1, 9, Move, answers(5, 1, 50, 0)), {});
  const auto Again =
      Table.merge(report("n1", 2, 1, Move, answers(2, 0, 20, 0)), {Move});
  cr_assert(Again.Added.at(Move).at(Read) == answers(2, 0, 20, 0));
  cr_assert(Table.total(Move).at(Read) == answers(7, 1, 70, 0));
}

// Guards against taking old counts of an unknown sender for new faults.
Test(rollout_2_evidence, an_unknown_sender_of_an_old_move_is_a_baseline) {
  EvidenceTable Table;
  const auto First =
      Table.merge(report("n1", 1, 9, Move, answers(5, 5, 50, 0)), {Move});
  cr_assert(First.Added.empty());
  cr_assert(Table.total(Move).at(Read) == answers(5, 5, 50, 0));
}

// Guards against unbounded growth of the table.
Test(rollout_2_evidence, drops_senders_beyond_the_limit) {
  EvidenceTable Table;
  for (std::size_t I = 0; I <= EvidenceTable::MaxSenders; ++I) {
    const std::string Name = std::to_string(I);
    const auto Merged =
        Table.merge(report(Name.c_str(), 1, 1, Move, answers(1, 0, 1, 0)), {});
    cr_assert(Merged.Accepted == (I < EvidenceTable::MaxSenders));
  }
}

// Guards against attributing the latency or faults of a link between data
// centres to the new version.
Test(rollout_2_evidence, leaves_out_answers_from_other_data_centres) {
  NodeCounter Counter;
  const auto Fleet = fake::orderedFleet(600s);
  auto Answer = observed("2");
  Answer.Remote = true;
  cr_assert(!Counter.record(Answer, Fleet, fake::at(0ms)));
  Answer.Remote = false;
  cr_assert(Counter.record(Answer, Fleet, fake::at(0ms)));
}

// Guards against a rollback because of one request that crashes any target and
// is retried.
Test(rollout_2_evidence, counts_a_crash_of_one_request_once) {
  NodeCounter Counter;
  const auto Fleet = fake::orderedFleet(600s);
  auto Answer = observed("2");
  Answer.Fault = Answer.TargetCrashed = true;
  Answer.RequestDigest = core::Digest(7);
  cr_assert(Counter.record(Answer, Fleet, fake::at(0ms)));
  cr_assert(!Counter.record(Answer, Fleet, fake::at(1ms)));
  Answer.RequestDigest = core::Digest(8);
  cr_assert(Counter.record(Answer, Fleet, fake::at(2ms)));
}

// Guards against a rollback because of one request that crashes any target and
// is retried through several nodes.
Test(rollout_2_evidence, counts_a_crash_of_one_request_once_in_the_fleet) {
  EvidenceTable Table;
  std::uint64_t Faults = 0;
  for (const char *Sender : {"n1", "n2", "n3"}) {
    Table.merge(report(Sender, 1, 1, Move, answers(1, 0, 1, 0)), {});
    auto Report = report(Sender, 1, 2, Move, answers(1, 0, 1, 0));
    addCrash(Report, Move, Read, {core::Digest(7), true});
    auto Merged = Table.merge(Report, {});
    Faults += Merged.Added[Move][Read].New.Faults;
  }
  cr_assert(Faults == 1);
}

// Guards against evaluating the slow first answers of a cold target.
Test(rollout_2_evidence, leaves_out_latencies_during_the_warm_up) {
  NodeCounter Counter;
  auto Fleet = fake::orderedFleet(600s);
  Fleet.Moves.back().Share = WarmUpShare;
  Counter.startWarmUps(Fleet, fake::at(0ms).Mono);
  const auto Cold = Counter.record(observed("2"), Fleet, fake::at(0ms));
  cr_assert(Cold->Counts.New.Answers == 1);
  cr_assert(Cold->Counts.New.Latency.total() == 0);
  const auto Warm =
      Counter.record(observed("2"), Fleet, fake::at(WarmUpDuration));
  cr_assert(Warm->Counts.New.Latency.total() == 1);
}

// Guards against counting answers of a third version for a version of the move.
Test(rollout_2_evidence, counts_only_versions_of_the_move) {
  NodeCounter Counter;
  const auto Fleet = fake::orderedFleet(600s);
  cr_assert(!Counter.record(observed("3"), Fleet, fake::at(0ms)));
  const auto Old = Counter.record(observed("1"), Fleet, fake::at(0ms));
  cr_assert(Old->Counts.Old.Answers == 1 && Old->Counts.New.Answers == 0);
}
