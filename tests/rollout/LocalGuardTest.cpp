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
        State(guardOf(core::NodeId(Name), core::Incarnation(1),
                      core::DataCentreId("a"))) {
    step(CanaryShare);
  }
  void feed(const GuardEvent &Event) {
    auto Step = reduce(std::move(State), Event, fake::at(Now));
    State = std::move(Step.Next);
    for (const GuardEffect &Effect : Step.Out) {
      if (const auto *Changed = std::get_if<LocalRollbacksChanged>(&Effect))
        Withdrawn = Changed->Moves;
      if (const auto *Sent = std::get_if<SendOverlay>(&Effect))
        Overlays.push_back(*Sent);
      if (const auto *Sent = std::get_if<SendEvidence>(&Effect))
        Reports.push_back(*Sent);
    }
  }
  void step(config::Permille Share) {
    fake::fold(Fleet, config::MoveStepped{core::Epoch(1), id(), Share});
    takeOver();
  }
  void takeOver() {
    feed(FleetChanged{std::make_shared<const config::FleetState>(Fleet)});
  }
  void answer(const char *Version, bool Fault, int Times) {
    request::ObservedAnswer Answer;
    Answer.Service = core::ServiceName("booking");
    Answer.Route = core::RouteName("read");
    Answer.Version = core::TargetVersion(Version);
    Answer.Fault = Fault;
    for (int I = 0; I < Times; ++I)
      feed(Answer);
  }
  void fail() {
    answer("1", false, 96);
    answer("2", true, 4);
  }
  config::MoveId id() const { return Fleet.Moves.back().Id; }

  core::Milliseconds Now{0};
  config::FleetState Fleet;
  GuardState State;
  std::vector<config::MoveId> Withdrawn;
  std::vector<SendOverlay> Overlays;
  std::vector<SendEvidence> Reports;
};

} // namespace

// Guards against a node that waits for the coordinator while requests fail.
Test(rollout_5_guard, a_node_withdraws_the_version_on_its_own_evidence) {
  Node N;
  N.fail();
  cr_assert(N.Withdrawn.size() == 1);
  cr_assert(N.Overlays.front().To == Receiver::Lead);
}

// Guards against a lead that waits until one node alone has the evidence.
Test(rollout_5_guard, a_lead_withdraws_on_the_sum_of_its_members) {
  Node Lead;
  Lead.feed(LeadershipChanged{true});
  for (const char *Member : {"n2", "n3", "n4"}) {
    Evidence Report;
    Report.Sender = core::NodeId(Member);
    Report.Revision = 1;
    Report.Moves[Lead.id()][core::RouteName("read")] = answers(1, 1, 40, 0);
    Lead.feed(EvidenceReceived{Report});
  }
  cr_assert(Lead.Withdrawn.size() == 1);
  cr_assert(Lead.Overlays.front().To == Receiver::Members);
  cr_assert(Lead.Overlays.back().To == Receiver::Coordinator);
}

// Guards against a version that stays withdrawn after the move's end, or by
// an overlay that arrives afterwards.
Test(rollout_5_guard, drops_overlays_of_ended_moves) {
  Node N;
  N.fail();
  const Overlay Made = N.Overlays.front().Value;
  fake::fold(N.Fleet, config::MoveRolledBack{core::Epoch(1), N.id(), {}, {}});
  N.takeOver();
  cr_assert(N.Withdrawn.empty());
  N.feed(OverlayReceived{Made});
  cr_assert(N.Withdrawn.empty());
  fake::fold(N.Fleet, fake::moveSheet(fake::at(1s).Wall, 600s));
  N.takeOver();
  N.feed(OverlayReceived{Made});
  cr_assert(N.Withdrawn.empty());
}

// Guards against a step appended in ignorance of a proven local rollback.
Test(rollout_5_guard, a_step_does_not_bring_back_a_proven_bad_version) {
  Node N;
  N.fail();
  N.step(100);
  cr_assert(N.Withdrawn.size() == 1);
}

// Guards against a dispelled suspicion that withdraws the version again.
Test(rollout_5_guard, a_step_ends_a_suspicion) {
  Node N;
  N.step(950);
  N.answer("2", true, 4);
  cr_assert(N.Withdrawn.size() == 1);
  cr_assert(!N.Overlays.front().Value.Proven);
  // Answers after the withdrawal are no proof of what happened before it.
  N.answer("1", false, 500);
  N.answer("2", true, 1);
  N.step(951);
  cr_assert(N.Withdrawn.empty());
  N.answer("2", false, 1);
  cr_assert(N.Withdrawn.empty());
}

// Guards against an overlay of one data centre that acts in another.
Test(rollout_5_guard, ignores_overlays_of_other_data_centres) {
  Node N;
  Overlay Other{N.id(), core::DataCentreId("b"), CanaryShare, {}, true, {}};
  N.feed(OverlayReceived{Other});
  cr_assert(N.Withdrawn.empty());
  Other.DataCentre = {};
  N.feed(OverlayReceived{Other});
  cr_assert(N.Withdrawn.size() == 1);
}

// Guards against answers that are counted twice after the lead changed twice.
Test(rollout_5_guard, a_returning_lead_does_not_count_the_past_again) {
  Node Lead;
  Evidence Report;
  Report.Sender = core::NodeId("n2");
  const auto Send = [&](std::uint64_t Answers) {
    Report.Revision++;
    Report.Moves[Lead.id()][core::RouteName("read")] =
        answers(0, 0, Answers, 0);
    Lead.feed(EvidenceReceived{Report});
  };
  Lead.feed(LeadershipChanged{true});
  Send(10);
  Lead.feed(LeadershipChanged{false});
  Lead.Now = 60s;
  Send(500);
  Lead.feed(LeadershipChanged{true});
  Send(600);
  Send(605);
  Lead.feed(Tick{});
  const auto &Pooled = Lead.Reports.back().Report.Moves.at(Lead.id());
  cr_assert(Pooled.begin()->second.Old.Answers == 15);
}

// Guards against a fault at the canary that waits for the end of a period.
Test(rollout_5_guard, reports_a_fault_at_the_canary_at_once) {
  Node N;
  N.feed(Tick{});
  N.Now += PromptEvidencePeriod;
  N.answer("1", false, 1);
  cr_assert(N.Reports.empty());
  N.answer("1", true, 2);
  cr_assert(N.Reports.size() == 1, "at most one in PromptEvidencePeriod");
}

// Guards against evidence sent at each tick although nothing was added.
Test(rollout_5_guard, reports_once_per_period_and_only_changes) {
  Node N;
  N.answer("1", false, 5);
  N.feed(Tick{});
  N.feed(Tick{});
  N.Now += EvidencePeriod;
  N.feed(Tick{});
  cr_assert(N.Reports.size() == 1);
}
