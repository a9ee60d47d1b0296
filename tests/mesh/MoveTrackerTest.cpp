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
  TargetReport Made = *report("n1").Target;
  Made.Version = core::TargetVersion(Version);
  Made.Tallies = {
      {core::RouteName("list"), Answers, Faults,
       milliseconds(MeanMs * static_cast<std::int64_t>(Answers - Faults))}};
  return Made;
}

MoveVerdict judged(const std::vector<TargetReport> &Targets) {
  MoveTracker Moves;
  Moves.applyOrder(order(), at(0));
  std::vector<const TargetReport *> All;
  All.reserve(Targets.size());
  for (const TargetReport &Each : Targets)
    All.push_back(&Each);
  return evaluateMove(Moves.moves().at(Shop), All);
}

} // namespace

// Guards against a new version that gets more than the canary before it is
// proven, and against a move that is not done in time.
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

// Guards against requests for a version that was taken back or superseded.
Test(move_tracker, a_condemned_version_gets_nothing) {
  MoveTracker Moves;
  Moves.applyOrder(order(5, "v2"), at(0));
  cr_assert(Moves.advance(Shop, MovePhase::Rejected, "bad"));
  cr_assert(
      Moves.shares(Shop, at(1)).Excluded.contains(core::TargetVersion("v2")));
  // The next order does not bring it back.
  Moves.applyOrder(order(6, "v3"), at(10));
  const VersionShares Shares = Moves.shares(Shop, at(11));
  cr_assert(Shares.Excluded.contains(core::TargetVersion("v2")));
  cr_assert(Shares.Candidate == core::TargetVersion("v3"));
  // An order that was read twice changes nothing.
  cr_assert(!Moves.applyOrder(order(5, "v2"), at(20)));
}

// Guards against a move that has two ends.
Test(move_tracker, the_first_end_stays) {
  MoveTracker Moves;
  Moves.applyOrder(order(), at(0));
  cr_assert(Moves.advance(Shop, MovePhase::Completed, ""));
  cr_assert(!Moves.advance(Shop, MovePhase::RolledBack, ""));
  cr_assert(Moves.shares(Shop, at(1)).Exclusive == core::TargetVersion("v2"));
}

// Guards against a node that restarts in the middle of a move and begins it
// anew.
Test(move_tracker, the_earliest_known_begin_counts) {
  MoveTracker Moves;
  Moves.applyOrder(order(), at(10000));
  Moves.applyReport({Shop, core::TargetVersion("v2"), core::LogOffset(5),
                     MovePhase::Running, milliseconds(9000)},
                    at(10100));
  cr_assert(Moves.shares(Shop, at(10200)).CandidatePermille == 200);
}

// Guards against bad versions that are found late, and sound ones taken back.
Test(move_tracker, the_verdict_compares_versions) {
  // Half of the answers fail.
  cr_assert(judged({target("v1", 500, 2, 100), target("v2", 12, 6, 100),
                    target("v2", 12, 6, 100)})
                .Rejected);
  // Answers take several times as long.
  cr_assert(
      judged({target("v1", 500, 2, 100), target("v2", 20, 0, 450)}).Rejected);
  // A host that is slower than the others by its make is no proof.
  cr_assert(
      !judged({target("v1", 500, 2, 100), target("v2", 20, 0, 200)}).Rejected);
  // Both versions fail alike: the fault is elsewhere.
  cr_assert(!judged({target("v1", 500, 150, 100), target("v2", 24, 8, 100)})
                 .Rejected);
  // One host of several fails: the host, not the version.
  cr_assert(!judged({target("v1", 500, 2, 100), target("v2", 30, 15, 100),
                     target("v2", 30, 0, 100)})
                 .Rejected);
  // Too few answers say nothing.
  cr_assert(
      !judged({target("v1", 500, 2, 100), target("v2", 3, 1, 100)}).Rejected);
}
