#include "EvenLoadModel.h"
#include "filbertvane/decision/mesh/EvenPlacement.h"
#include <criterion/criterion.h>

using namespace meshbench;

namespace {

Candidate candidate(const std::string &Node, Distance HostDistance,
                    std::uint32_t Load) {
  return {
      core::NodeId(Node), HostDistance, Load, 9, milliseconds(140), 0, false};
}

/// Choices of a target among 1000.
std::vector<std::size_t> choices(const std::vector<Candidate> &Candidates) {
  const PlacementQuery Query{milliseconds(600), 2000};
  core::Random Source(7);
  std::vector<std::size_t> Count(Candidates.size());
  for (int I = 0; I < 1000; ++I)
    ++Count[*chooseByFreeSlots(Candidates, Query, Source)];
  return Count;
}

} // namespace

// Guards against requests that wait while a target nearby is idle: 18 nodes
// choose by reports that are 500 ms to 2 s old, at 80% of the capacity.
Test(even_load, fewer_requests_wait_while_a_target_nearby_is_idle) {
  EvenLoad Load;
  Load.Demand = 0.8;
  const EvenLoadResult Before = EvenLoadModel(Load, chooseTarget).run();
  const EvenLoadResult After = EvenLoadModel(Load, chooseByFreeSlots).run();
  cr_assert(Before.share(Before.Uneven) > 0.35, "%f",
            Before.share(Before.Uneven));
  cr_assert(After.share(After.Uneven) < 0.75 * Before.share(Before.Uneven),
            "%f against %f", After.share(After.Uneven),
            Before.share(Before.Uneven));
  cr_assert(After.InTime == After.Requests);
}

// Guards against evenness that is paid for with late answers: targets are slow
// for 600 ms at a time, and 76 nodes choose by reports that are up to 5 s old.
Test(even_load, fewer_answers_are_late_when_targets_turn_slow) {
  EvenLoad Load;
  Load.Nodes = 76;
  Load.Demand = 0.5;
  Load.NoiseShare = 0.15;
  Load.RemoteReports = milliseconds(5000);
  Load.Length = milliseconds(4000);
  const EvenLoadResult Before = EvenLoadModel(Load, chooseTarget).run();
  const EvenLoadResult After = EvenLoadModel(Load, chooseByFreeSlots).run();
  cr_assert(After.share(After.Late) < 0.9 * Before.share(Before.Late),
            "%f against %f", After.share(After.Late),
            Before.share(Before.Late));
  cr_assert(After.share(After.Uneven) < 0.6 * Before.share(Before.Uneven),
            "%f against %f", After.share(After.Uneven),
            Before.share(Before.Uneven));
  cr_assert(After.Refused == 0);
}

// Guards against bytes between data centres that only make load even.
Test(even_load, requests_stay_in_their_data_centre_while_it_has_room) {
  const auto Count = choices({candidate("here", Distance::Local, 8),
                              candidate("near", Distance::SameDataCentre, 0),
                              candidate("other", Distance::SameRegion, 0),
                              candidate("far", Distance::OtherRegion, 0)});
  cr_assert(Count[0] + Count[1] == 1000);
  cr_assert(Count[1] > 800, "%zu to the idle target", Count[1]);
}

// Guards against small answers, whose bytes cost little, that leave their data
// centre for evenness alone.
Test(even_load, small_answers_stay_in_their_data_centre_as_well) {
  const PlacementQuery Small{milliseconds(600), 900};
  core::Random Source(7);
  const std::vector<Candidate> Candidates = {
      candidate("here", Distance::Local, 8),
      candidate("other", Distance::SameRegion, 0)};
  for (int I = 0; I < 1000; ++I)
    cr_assert(chooseByFreeSlots(Candidates, Small, Source) == 0U);
}

// Guards against an idle target that is idle since it fails its requests, and
// against a new target that gets nothing.
Test(even_load, failing_targets_get_nothing_and_new_ones_a_share) {
  std::vector<Candidate> Candidates = {
      candidate("a", Distance::SameDataCentre, 8),
      candidate("b", Distance::SameDataCentre, 0),
      candidate("c", Distance::SameDataCentre, 0)};
  Candidates[1].FaultPermille = 20;
  Candidates[2].Slots = 0;
  const auto Count = choices(Candidates);
  cr_assert(Count[1] == 0);
  cr_assert(Count[2] > 200, "%zu to the new target", Count[2]);
}

// Guards against nodes that choose a target by the last free slot in its report
// all at once, and against a full target that gets nothing once it has room.
Test(even_load, a_nearly_full_target_gets_fewer_requests) {
  const auto Count = choices({candidate("a", Distance::SameDataCentre, 8),
                              candidate("b", Distance::SameDataCentre, 4),
                              candidate("c", Distance::SameDataCentre, 0)});
  cr_assert(Count[0] > 0 && Count[0] < 150, "%zu", Count[0]);
  cr_assert(Count[2] > Count[1], "%zu against %zu", Count[2], Count[1]);
}

// Guards against a choice that prefers the suspect among equally loaded ones.
Test(even_load, a_suspect_target_is_the_last_choice) {
  Candidate Suspect = candidate("a", Distance::Local, 0);
  Suspect.Suspect = true;
  const auto Count =
      choices({Suspect, candidate("b", Distance::SameDataCentre, 20)});
  cr_assert(Count[0] == 0);
}

// Guards against a change of small meshes, whose reports are never old.
Test(even_load, small_meshes_have_no_old_reports) {
  cr_assert(!hasOldReports(31));
  cr_assert(hasOldReports(32));
}
