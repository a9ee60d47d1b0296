#include "RolloutFixture.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::decision;
using namespace filbertvane::decision::rollout;
using namespace std::chrono_literals;
using fake::answers;

namespace {

struct Node {
  explicit Node(const char *Name = "n1")
      : Fleet(fake::orderedFleet(600s)),
        State(makeMonitorState(core::NodeId(Name), core::Incarnation(1),
                               core::DataCentreId("a"))) {
    step(CanaryShare);
  }
  void handle(const MonitorEvent &Event) {
    auto Step = reduce(std::move(State), Event, fake::at(Now));
    State = std::move(Step.NextState);
    for (const MonitorEffect &Effect : Step.EmittedEffects) {
      if (const auto *Changed = std::get_if<LocalRollbacksChanged>(&Effect))
        RolledBackMoves = Changed->Moves;
      if (const auto *Sent = std::get_if<SendLocalRollback>(&Effect))
        SentRollbacks.push_back(*Sent);
      if (const auto *Sent = std::get_if<SendEvidence>(&Effect))
        SentReports.push_back(*Sent);
    }
  }
  void step(config::Permille Share) {
    fake::applyRecord(Fleet, config::MoveStepped{core::Epoch(1), id(), Share});
    applyFleet();
  }
  void applyFleet() {
    handle(FleetChanged{std::make_shared<const config::FleetState>(Fleet)});
  }
  void answer(const char *Version, bool Fault, int Times) {
    request::ObservedAnswer Answer;
    Answer.Service = core::ServiceName("booking");
    Answer.Route = core::RouteName("read");
    Answer.Version = core::TargetVersion(Version);
    Answer.Fault = Fault;
    for (int I = 0; I < Times; ++I)
      handle(Answer);
  }
  void failNewVersion() {
    answer("1", false, 96);
    answer("2", true, 4);
  }
  config::MoveId id() const { return Fleet.Moves.back().Id; }

  core::Milliseconds Now{0};
  config::FleetState Fleet;
  MonitorState State;
  std::vector<config::MoveId> RolledBackMoves;
  std::vector<SendLocalRollback> SentRollbacks;
  std::vector<SendEvidence> SentReports;
};

} // namespace

// Guards against a node that waits for the coordinator while requests fail.
Test(rollout_5_monitor, a_node_withdraws_the_version_on_its_own_evidence) {
  Node N;
  N.failNewVersion();
  cr_assert(N.RolledBackMoves.size() == 1);
  cr_assert(N.SentRollbacks.front().To == Recipient::Lead);
}

// Guards against a lead that ignores evidence spread over several members.
Test(rollout_5_monitor, a_lead_withdraws_on_the_sum_of_its_members) {
  Node Lead;
  Lead.handle(LeadershipChanged{true});
  for (const char *Member : {"n2", "n3", "n4"}) {
    Evidence Report;
    Report.Sender = core::NodeId(Member);
    Report.Revision = 1;
    Report.Moves[Lead.id()][core::RouteName("read")] = answers(1, 1, 40, 0);
    Lead.handle(EvidenceReceived{Report});
  }
  cr_assert(Lead.RolledBackMoves.size() == 1);
  cr_assert(Lead.SentRollbacks.front().To == Recipient::Members);
  cr_assert(Lead.SentRollbacks.back().To == Recipient::Coordinator);
}

// Guards against a version that stays withdrawn after the end of its move, or
// is withdrawn by a rollback that arrives later.
Test(rollout_5_monitor, drops_local_rollbacks_of_ended_moves) {
  Node N;
  N.failNewVersion();
  const LocalRollback Rollback = N.SentRollbacks.front().Rollback;
  fake::applyRecord(N.Fleet,
                    config::MoveRolledBack{core::Epoch(1), N.id(), {}, {}});
  N.applyFleet();
  cr_assert(N.RolledBackMoves.empty());
  N.handle(LocalRollbackReceived{Rollback});
  cr_assert(N.RolledBackMoves.empty());
  fake::applyRecord(N.Fleet, fake::moveSheet(fake::at(1s).Wall, 600s));
  N.applyFleet();
  N.handle(LocalRollbackReceived{Rollback});
  cr_assert(N.RolledBackMoves.empty());
}

// Guards against a step that was appended before the coordinator received a
// proven local rollback.
Test(rollout_5_monitor, a_step_does_not_bring_back_a_proven_bad_version) {
  Node N;
  N.failNewVersion();
  N.step(100);
  cr_assert(N.RolledBackMoves.size() == 1);
}

// Guards against a refuted suspicion that withdraws the version again.
Test(rollout_5_monitor, a_step_ends_a_suspicion) {
  Node N;
  N.step(950);
  N.answer("2", true, 4);
  cr_assert(N.RolledBackMoves.size() == 1);
  cr_assert(!N.SentRollbacks.front().Rollback.Proven);
  // Answers after the withdrawal must not confirm the suspicion.
  N.answer("1", false, 500);
  N.answer("2", true, 1);
  N.step(951);
  cr_assert(N.RolledBackMoves.empty());
  N.answer("2", false, 1);
  cr_assert(N.RolledBackMoves.empty());
}

// Guards against applying the local rollback of another data centre.
Test(rollout_5_monitor, ignores_local_rollbacks_of_other_data_centres) {
  Node N;
  LocalRollback Other{N.id(), core::DataCentreId("b"), CanaryShare, {}, true,
                      {}};
  N.handle(LocalRollbackReceived{Other});
  cr_assert(N.RolledBackMoves.empty());
  Other.DataCentre = {};
  N.handle(LocalRollbackReceived{Other});
  cr_assert(N.RolledBackMoves.size() == 1);
}

// Guards against counting answers twice when a node becomes the lead again.
Test(rollout_5_monitor, a_returning_lead_does_not_count_the_past_again) {
  Node Lead;
  Evidence Report;
  Report.Sender = core::NodeId("n2");
  const auto Send = [&](std::uint64_t Answers) {
    Report.Revision++;
    Report.Moves[Lead.id()][core::RouteName("read")] =
        answers(0, 0, Answers, 0);
    Lead.handle(EvidenceReceived{Report});
  };
  Lead.handle(LeadershipChanged{true});
  Send(10);
  Lead.handle(LeadershipChanged{false});
  Lead.Now = 60s;
  Send(500);
  Lead.handle(LeadershipChanged{true});
  Send(600);
  Send(605);
  Lead.handle(Tick{});
  const auto &Pooled = Lead.SentReports.back().Report.Moves.at(Lead.id());
  cr_assert(Pooled.begin()->second.Old.Answers == 15);
}

// Guards against a fault during the canary that is reported only at the end of
// the period.
Test(rollout_5_monitor, reports_a_fault_at_the_canary_at_once) {
  Node N;
  N.handle(Tick{});
  N.Now += MinEvidenceInterval;
  N.answer("1", false, 1);
  cr_assert(N.SentReports.empty());
  N.answer("1", true, 2);
  cr_assert(N.SentReports.size() == 1,
            "expected one report per MinEvidenceInterval");
}

// Guards against sending unchanged evidence at each tick.
Test(rollout_5_monitor, reports_once_per_period_and_only_changes) {
  Node N;
  N.answer("1", false, 5);
  N.handle(Tick{});
  N.handle(Tick{});
  N.Now += EvidencePeriod;
  N.handle(Tick{});
  cr_assert(N.SentReports.size() == 1);
}
