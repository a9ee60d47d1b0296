#include "MeshBench.h"

using namespace meshbench;

namespace rollout = filbertvane::decision::rollout;

namespace {

const core::ServiceName Shop("shop");

MoveOrdered order(std::uint64_t Offset = 5, const std::string &To = "v2") {
  return {Shop, core::TargetVersion(To), milliseconds(16000), position(Offset),
          false};
}

/// Answer times spread evenly around a middle.
AnswerTimes timesAround(std::int64_t MiddleMs, std::uint64_t Count) {
  AnswerTimes Times;
  for (std::uint64_t I = 0; I < Count; ++I)
    Times = Times.with(milliseconds(MiddleMs * (60 + 20 * (I % 5)) / 100));
  return Times;
}

TargetReport target(const std::string &Version, std::uint64_t Answers,
                    std::uint64_t Faults, std::int64_t MiddleMs) {
  TargetReport Report = *report("n1").Target;
  Report.Version = core::TargetVersion(Version);
  Report.Tallies = {{core::RouteName("list"),
                     Answers,
                     Faults,
                     timesAround(MiddleMs, Answers - Faults),
                     {}}};
  return Report;
}

/// A target of which one answer in two takes several times as long.
TargetReport slowTarget(std::uint64_t Answers, std::int64_t SlowMs) {
  TargetReport Report = target("v2", Answers, 0, 100);
  RouteTally &Tally = Report.Tallies.front();
  Tally.Times =
      timesAround(100, Answers / 2) + timesAround(SlowMs, Answers / 2);
  return Report;
}

MoveVerdict verdictOn(const std::vector<TargetReport> &Targets) {
  MoveTracker Moves;
  Moves.applyOrder(order(), at(0));
  std::vector<const TargetReport *> Pointers;
  Pointers.reserve(Targets.size());
  for (const TargetReport &Target : Targets)
    Pointers.push_back(&Target);
  return evaluateMove(Moves.moves().at(Shop), Pointers);
}

bool isRejected(const std::vector<TargetReport> &Targets) {
  return verdictOn(Targets).Result == rollout::Finding::Proven;
}

} // namespace

// Guards against a new version that gets more than the canary share too early,
// and against a move that does not complete in time.
Test(move_tracker, the_share_follows_the_time_since_the_order) {
  MoveTracker Moves;
  Moves.applyOrder(order(), at(0));
  cr_assert(Moves.shares(Shop, at(100)).CandidatePermille == 60);
  cr_assert(Moves.shares(Shop, at(7900)).CandidatePermille == 60);
  cr_assert(Moves.shares(Shop, at(8100)).CandidatePermille == 100);
  Moves.recordSufficientEvidence(Shop, at(9000));
  cr_assert(Moves.shares(Shop, at(9700)).CandidatePermille == 250);
  cr_assert(Moves.shares(Shop, at(11600)).CandidatePermille == 1000);
  cr_assert(!Moves.readyToComplete(Moves.moves().at(Shop), at(13000)));
  cr_assert(Moves.readyToComplete(Moves.moves().at(Shop), at(13200)));
}

// Guards against a bad version that gets all requests only because time passed
// while hardly any of its answers were seen.
Test(move_tracker, the_share_stays_low_without_sufficient_evidence) {
  MoveTracker Moves;
  Moves.applyOrder(order(), at(0));
  double Exposure = 0;
  for (std::int64_t Ms = 0; Ms < 16000; Ms += 10)
    Exposure += Moves.shares(Shop, at(Ms)).CandidatePermille / 1000.0 / 1600;
  cr_assert(Exposure < 0.1, "%f", Exposure);
  cr_assert(!Moves.readyToComplete(Moves.moves().at(Shop), at(16000)));
  // Evidence that comes late delays the remaining steps.
  Moves.recordSufficientEvidence(Shop, at(12000));
  cr_assert(Moves.shares(Shop, at(12100)).CandidatePermille == 250);
  cr_assert(Moves.shares(Shop, at(14000)).CandidatePermille == 1000);
  cr_assert(!Moves.readyToComplete(Moves.moves().at(Shop), at(15400)));
  cr_assert(Moves.readyToComplete(Moves.moves().at(Shop), at(15600)));
}

// Guards against a restarted node that sends requests to the targets of a
// version that was rolled back before the order that it reads.
Test(move_tracker, an_earlier_rollback_is_known_after_a_restart) {
  MoveTracker Running;
  Running.applyOrder(order(5, "v2"), at(0));
  Running.advance(Shop, MovePhase::RolledBack, "");
  Running.applyOrder(order(6, "v3"), at(10));
  MoveTracker Restarted;
  Restarted.applyOrder(order(6, "v3"), at(20));
  for (const MoveReport &Report : Running.reports(at(30)))
    Restarted.applyReport(Report, at(30), core::StoreEra());
  cr_assert(Restarted.shares(Shop, at(40))
                .Excluded.contains(core::TargetVersion("v2")));
  // A later order of the same version is a new attempt.
  Restarted.applyOrder(order(7, "v2"), at(50));
  for (const MoveReport &Report : Running.reports(at(60)))
    Restarted.applyReport(Report, at(60), core::StoreEra());
  const VersionShares Shares = Restarted.shares(Shop, at(70));
  cr_assert(Shares.Candidate == core::TargetVersion("v2"));
  cr_assert(!Shares.Excluded.contains(core::TargetVersion("v2")));
}

// Guards against requests for a version that was rolled back or superseded.
Test(move_tracker, a_rejected_version_gets_no_requests) {
  MoveTracker Moves;
  Moves.applyOrder(order(5, "v2"), at(0));
  cr_assert(Moves.advance(Shop, MovePhase::Rejected, "bad"));
  cr_assert(
      Moves.shares(Shop, at(1)).Excluded.contains(core::TargetVersion("v2")));
  // The next order does not restore it.
  Moves.applyOrder(order(6, "v3"), at(10));
  const VersionShares Shares = Moves.shares(Shop, at(11));
  cr_assert(Shares.Excluded.contains(core::TargetVersion("v2")));
  cr_assert(Shares.Candidate == core::TargetVersion("v3"));
  // An order that is read again is ignored.
  cr_assert(!Moves.applyOrder(order(5, "v2"), at(20)));
}

// Guards against a node that knows targets of a new version, but not yet the
// order, and sends them the same share as all others.
Test(move_tracker, the_version_of_an_unread_order_gets_no_requests) {
  MoveTracker Moves;
  const core::TargetVersion New("v2");
  MoveReport Told{Shop, New, position(5), MovePhase::Running,
                  milliseconds(300)};
  Moves.applyReport(Told, at(300), core::StoreEra());
  cr_assert(Moves.shares(Shop, at(300)).Excluded.contains(New));
  // Completed: no other version has targets.
  Told.Phase = MovePhase::Completed;
  Moves.applyReport(Told, at(400), core::StoreEra());
  cr_assert(!Moves.shares(Shop, at(400)).Excluded.contains(New));
  Moves.applyOrder(order(5, "v2"), at(500));
  const VersionShares Shares = Moves.shares(Shop, at(500));
  cr_assert(Shares.Candidate == New);
  cr_assert(Shares.Excluded.empty());
}

// Guards against a move that is both completed and rolled back.
Test(move_tracker, the_first_end_stays) {
  MoveTracker Moves;
  Moves.applyOrder(order(), at(0));
  cr_assert(Moves.advance(Shop, MovePhase::Completed, ""));
  cr_assert(!Moves.advance(Shop, MovePhase::RolledBack, ""));
  cr_assert(Moves.shares(Shop, at(1)).Exclusive == core::TargetVersion("v2"));
}

// Guards against a node that restarts during a move and starts the schedule
// over.
Test(move_tracker, the_earliest_known_start_counts) {
  MoveTracker Moves;
  Moves.applyOrder(order(), at(10000));
  Moves.applyReport({Shop, core::TargetVersion("v2"), position(5),
                     MovePhase::Running, milliseconds(9000)},
                    at(10100), core::StoreEra());
  cr_assert(Moves.shares(Shop, at(10200)).CandidatePermille == 100);
}

// Guards against faulty versions that are not detected, and good ones that are
// rejected.
Test(move_tracker, the_verdict_compares_versions) {
  const TargetReport Old = target("v1", 500, 2, 100);
  // Half of the answers fail.
  cr_assert(
      isRejected({Old, target("v2", 12, 6, 100), target("v2", 12, 6, 100)}));
  // Answers take several times as long.
  cr_assert(isRejected({Old, target("v2", 20, 0, 900)}));
  // Half of the answers do.
  cr_assert(isRejected({Old, slowTarget(20, 800), slowTarget(20, 800)}));
  // A difference as between slower and faster hosts is no evidence.
  cr_assert(!isRejected({Old, target("v2", 20, 0, 200)}));
  // Both versions fail at the same rate: the cause is elsewhere.
  cr_assert(
      !isRejected({target("v1", 500, 150, 100), target("v2", 24, 8, 100)}));
  // One of the other hosts is slow, which does not hide a slow version.
  cr_assert(isRejected({Old, target("v1", 100, 0, 700), slowTarget(30, 800),
                        slowTarget(30, 800)}));
  // Only one of several hosts is slow.
  cr_assert(!isRejected({Old, slowTarget(60, 800), target("v2", 30, 0, 100)}));
  // Only one of several hosts fails: the host is at fault, not the version.
  cr_assert(
      !isRejected({Old, target("v2", 30, 15, 100), target("v2", 30, 0, 100)}));
  // Too few answers are no evidence.
  cr_assert(!isRejected({Old, target("v2", 3, 1, 100)}));
}

// Guards against a slow version whose slow answers are not counted, since their
// requests are given up at the time-out.
Test(move_tracker, requests_that_are_cut_off_count_as_slow) {
  const auto CutOff = [](std::int64_t AfterMs) {
    TargetReport Report = target("v2", 30, 0, 100);
    Report.Tallies.front().CutOffTimes = timesAround(AfterMs, 20);
    return Report;
  };
  const TargetReport Old = target("v1", 500, 2, 100);
  cr_assert(isRejected({Old, CutOff(1200), CutOff(1200)}));
  // One that had little time left tells nothing.
  cr_assert(!isRejected({Old, CutOff(150), CutOff(150)}));
}

// Guards against faults under a larger share that the answers before dilute.
Test(move_tracker, the_answers_since_the_last_step_decide_as_well) {
  TargetReport New = target("v2", 150, 4, 100);
  TargetReport Old = target("v1", 500, 2, 100);
  cr_assert(!isRejected({Old, New, New}));
  New.StepTallies = target("v2", 6, 4, 100).Tallies;
  Old.StepTallies = target("v1", 20, 0, 100).Tallies;
  cr_assert(isRejected({Old, New, New}));
}

// Guards against a move that goes on before its faults could have shown.
Test(move_tracker, sixty_answers_without_a_suspicion_are_sufficient) {
  cr_assert(!verdictOn({target("v1", 500, 0, 100), target("v2", 40, 0, 100)})
                 .Sufficient);
  cr_assert(verdictOn({target("v1", 500, 0, 100), target("v2", 40, 0, 100),
                       target("v2", 20, 0, 100)})
                .Sufficient);
}

// Guards against a version that is slow by less than what proves it, and gets
// all requests since nothing is proved.
Test(move_tracker, a_suspected_version_is_held_and_at_last_rejected) {
  const std::vector<TargetReport> Targets = {
      target("v1", 500, 2, 100), slowTarget(40, 360), slowTarget(40, 360)};
  const MoveVerdict Verdict = verdictOn(Targets);
  cr_assert(Verdict.Result == rollout::Finding::Suspected);
  cr_assert(!Verdict.Sufficient);
  MoveTracker Moves;
  Moves.applyOrder(order(), at(0));
  const TrackedMove &Move = Moves.moves().at(Shop);
  cr_assert(!Moves.mustDecide(Move, at(13000)));
  cr_assert(Moves.mustDecide(Move, at(13700)));
  // A suspicion under a larger share takes it back.
  Moves.recordSufficientEvidence(Shop, at(9000));
  cr_assert(Moves.shares(Shop, at(11000)).CandidatePermille == 500);
  Moves.withdrawSufficientEvidence(Shop);
  cr_assert(Moves.shares(Shop, at(11000)).CandidatePermille == 100);
  cr_assert(Moves.mustDecide(Move, at(13700)));
}

// Guards against a version that was rejected and is tried again since the store
// was restored and its order is written a second time.
Test(move_tracker, an_order_that_is_written_again_goes_on) {
  MoveTracker Moves;
  MoveOrdered Order = order(5);
  Order.OrderPosition = position(5, 1);
  Moves.applyOrder(Order, at(0));
  Moves.advance(Shop, MovePhase::Rejected, "test");
  Order.OrderPosition = position(3, 2);
  Order.SeenAt = Order.OrderPosition;
  Order.Renumbered = true;
  cr_assert(!Moves.applyOrder(Order, at(9000)));
  const TrackedMove &Move = Moves.moves().at(Shop);
  cr_assert(Move.Phase == MovePhase::Rejected && Move.StartedAt == at(0));
  cr_assert(Move.Order.OrderPosition == position(3, 2));
  // A node that has not read of the restore speaks of the same order.
  {
    MoveTracker Started;
    Order.Renumbered = false;
    Started.applyOrder(Order, at(9000));
    Order.OrderPosition = position(2, 3);
    Order.Renumbered = true;
    Started.applyOrder(Order, at(9100));
    Started.applyReport({Shop, core::TargetVersion("v2"), position(3, 2),
                         MovePhase::Rejected, milliseconds(9000)},
                        at(9200), core::StoreEra(3));
    cr_assert(Started.moves().at(Shop).Phase == MovePhase::Rejected);
  }
}

// Guards against a version that serves and gets no requests since another node
// takes its order, which a copy brought back, for a new one.
Test(move_tracker, the_order_of_a_copy_excludes_nothing) {
  MoveTracker Moves;
  MoveOrdered Served = order(3, "v2");
  Served.OrderPosition = position(3, 1);
  Moves.applyOrder(Served, at(0));
  Moves.advance(Shop, MovePhase::Completed, "");
  MoveOrdered Next = order(9, "v3");
  Next.OrderPosition = position(9, 1);
  Moves.applyOrder(Next, at(1000));
  const MoveReport Mistaken{Shop, core::TargetVersion("v2"), position(3, 2),
                            MovePhase::Running, milliseconds(0)};
  const auto Excludes = [&] {
    return Moves.shares(Shop, at(2000))
        .Excluded.contains(core::TargetVersion("v2"));
  };
  // Before this node has read of the restore, and afterwards.
  {
    Moves.applyReport(Mistaken, at(1500), core::StoreEra(1));
    cr_assert(!Excludes());
    Next.SeenAt = position(3, 2);
    Next.Renumbered = true;
    Moves.applyOrder(Next, at(1600));
    Moves.applyReport(Mistaken, at(1700), core::StoreEra(2));
    cr_assert(!Excludes());
  }
  // A node that took it for a new one learns better.
  {
    MoveTracker Started;
    Served.OrderPosition = position(3, 2);
    Started.applyOrder(Served, at(1500));
    Next.Renumbered = false;
    Started.applyOrder(Next, at(1800));
    cr_assert(Started.moves().at(Shop).Order.NewVersion ==
              core::TargetVersion("v3"));
    cr_assert(!Started.shares(Shop, at(1900))
                   .Excluded.contains(core::TargetVersion("v2")));
  }
}

// Guards against a rejected version that gets requests from a node that has not
// read of a restore.
Test(move_tracker, a_rejection_of_a_later_era_counts) {
  MoveTracker Moves;
  MoveOrdered Order = order(5);
  Order.OrderPosition = position(5, 1);
  Moves.applyOrder(Order, at(0));
  Moves.applyReport({Shop, core::TargetVersion("v2"), position(2, 2),
                     MovePhase::Rejected, milliseconds(500)},
                    at(500), core::StoreEra(1));
  cr_assert(
      Moves.shares(Shop, at(600)).Excluded.contains(core::TargetVersion("v2")));
}
