#include "MeshBench.h"

using namespace meshbench;

namespace {

const core::ServiceName Shop("shop");

MoveOrdered order(std::uint64_t Offset = 5, const std::string &To = "v2") {
  return {Shop, core::TargetVersion(To), milliseconds(16000),
          core::LogOffset(Offset), false};
}

TargetReport target(const std::string &Version, std::uint64_t Answers,
                    std::uint64_t Faults, std::int64_t MeanMs) {
  TargetReport Report = *report("n1").Target;
  Report.Version = core::TargetVersion(Version);
  Report.Tallies = {
      {core::RouteName("list"), Answers, Faults,
       milliseconds(MeanMs * static_cast<std::int64_t>(Answers - Faults))}};
  return Report;
}

MoveVerdict evaluate(const std::vector<TargetReport> &Targets) {
  MoveTracker Moves;
  Moves.applyOrder(order(), at(0));
  std::vector<const TargetReport *> Pointers;
  Pointers.reserve(Targets.size());
  for (const TargetReport &Target : Targets)
    Pointers.push_back(&Target);
  return evaluateMove(Moves.moves().at(Shop), Pointers);
}

} // namespace

// Guards against a new version that gets more than the canary share too early,
// and against a move that does not complete in time.
Test(move_tracker, the_share_follows_the_time_since_the_order) {
  MoveTracker Moves;
  Moves.applyOrder(order(), at(0));
  cr_assert(Moves.shares(Shop, at(100)).CandidatePermille == 50);
  cr_assert(Moves.shares(Shop, at(7900)).CandidatePermille == 50);
  cr_assert(Moves.shares(Shop, at(8100)).CandidatePermille == 200);
  cr_assert(Moves.shares(Shop, at(11000)).CandidatePermille == 1000);
  cr_assert(!Moves.readyToComplete(Moves.moves().at(Shop), at(12000)));
  cr_assert(Moves.readyToComplete(Moves.moves().at(Shop), at(12900)));
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
  Moves.applyReport({Shop, core::TargetVersion("v2"), core::LogOffset(5),
                     MovePhase::Running, milliseconds(9000)},
                    at(10100));
  cr_assert(Moves.shares(Shop, at(10200)).CandidatePermille == 200);
}

// Guards against faulty versions that are not detected, and good ones that are
// rejected.
Test(move_tracker, the_verdict_compares_versions) {
  // Half of the answers fail.
  cr_assert(evaluate({target("v1", 500, 2, 100), target("v2", 12, 6, 100),
                      target("v2", 12, 6, 100)})
                .Rejected);
  // Answers take several times as long.
  cr_assert(
      evaluate({target("v1", 500, 2, 100), target("v2", 20, 0, 450)}).Rejected);
  // A difference as between slower and faster hosts is no evidence.
  cr_assert(!evaluate({target("v1", 500, 2, 100), target("v2", 20, 0, 200)})
                 .Rejected);
  // Both versions fail at the same rate: the cause is elsewhere.
  cr_assert(!evaluate({target("v1", 500, 150, 100), target("v2", 24, 8, 100)})
                 .Rejected);
  // Only one of several hosts fails: the host is at fault, not the version.
  cr_assert(!evaluate({target("v1", 500, 2, 100), target("v2", 30, 15, 100),
                       target("v2", 30, 0, 100)})
                 .Rejected);
  // Too few answers are no evidence.
  cr_assert(
      !evaluate({target("v1", 500, 2, 100), target("v2", 3, 1, 100)}).Rejected);
}
