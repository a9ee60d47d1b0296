#include "RestoreFleet.h"
#include <rapidcheck.h>

using namespace meshbench;

namespace {

const core::ServiceName Shop("shop");

bool isEvacuated(const RestoreFleet::Node &Node) {
  const auto &Known = Node.State->Evacuations;
  const auto Found = Known.find(core::DataCentreId("z1"));
  return Found != Known.end() && Found->second.Active;
}

} // namespace

// Guards against a fleet that reads the whole list at the same time, and
// against callers that are refused for a restore.
Test(restore_fleet, a_restore_costs_two_lists_a_data_centre) {
  constexpr std::size_t Centres = 4;
  RestoreFleet Fleet(1, 60, Centres);
  Fleet.run(milliseconds(8000));
  for (int Round = 0; Round < 3; ++Round) {
    Fleet.configure();
    Fleet.run(milliseconds(1500));
    const std::size_t Before = Fleet.listReads();
    Fleet.setStoreAway(true);
    Fleet.run(milliseconds(1000));
    Fleet.restore(milliseconds(3000), milliseconds(300));
    Fleet.run(milliseconds(4000));
    cr_assert(Fleet.Broken.empty(), "%s", Fleet.Broken.c_str());
    cr_assert(Fleet.listReads() - Before <= 2 * Centres, "%zu",
              Fleet.listReads() - Before);
    for (const RestoreFleet::Node &Node : Fleet.Nodes) {
      cr_assert(Node.State->Ready && Node.version() == Fleet.lastVersion());
      cr_assert(Node.Records.lostCount() == 0);
      cr_assert(Fleet.Hosts.contains(Node.Name));
    }
  }
}

// Guards against what is lost when the operator takes its time.
Test(restore_fleet, a_process_that_starts_serves_by_what_was_lost) {
  RestoreFleet Fleet(2, 6, 2);
  Fleet.run(milliseconds(4000));
  Fleet.configure();
  Fleet.evacuate(true);
  Fleet.run(milliseconds(1500));
  Fleet.setStoreAway(true);
  Fleet.run(milliseconds(500));
  Fleet.restore(milliseconds(4000), milliseconds(60000));
  Fleet.run(milliseconds(1000));
  Fleet.kill(3);
  Fleet.start(3);
  Fleet.run(milliseconds(1500));
  for (const RestoreFleet::Node &Node : Fleet.Nodes) {
    cr_assert(Node.version() == Fleet.lastVersion(), "%s", Node.Name.c_str());
    cr_assert(isEvacuated(Node));
    cr_assert(Node.Records.lostCount() == 2);
  }
}

// Guards against a version that was rejected and gets requests again since its
// order is written again, and against an end that the operator doesn't see.
Test(restore_fleet, a_rejected_version_stays_rejected) {
  RestoreFleet Fleet(3, 6, 2);
  Fleet.run(milliseconds(4000));
  Fleet.move("v2");
  Fleet.run(milliseconds(1500));
  // One node finds the fault; the others hear of it.
  Fleet.Nodes[0].State->Moves.advance(Shop, MovePhase::Rejected, "test");
  Fleet.run(milliseconds(4000));
  cr_assert(Fleet.MoveEnds.contains("shop"));
  for (int Round = 0; Round < 2; ++Round) {
    Fleet.setStoreAway(true);
    Fleet.run(milliseconds(500));
    Fleet.restore(milliseconds(20000), milliseconds(700));
    // Processes that start meanwhile read the order before they hear its end.
    Fleet.kill(4);
    Fleet.run(milliseconds(1200));
    Fleet.start(4);
    Fleet.run(milliseconds(5000));
    cr_assert(Fleet.MoveEnds.contains("shop"));
    cr_assert(Fleet.MoveEnds.at("shop").Phase == MovePhase::RolledBack);
    for (const RestoreFleet::Node &Node : Fleet.Nodes)
      cr_assert(Node.State->Moves.shares(Shop, Fleet.now())
                    .Excluded.contains(core::TargetVersion("v2")),
                "%s", Node.Name.c_str());
  }
}

// Guards against records that go out of force, go back, or differ between
// nodes, whatever else happens around a restore.
Test(restore_fleet, restores_beside_other_faults_break_nothing) {
  cr_assert(rc::check([] {
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    core::Random Draw(Seed);
    const std::size_t Count = 4 + Draw.below(5);
    RestoreFleet Fleet(Seed, Count, 1 + Draw.below(3));
    Fleet.run(milliseconds(3000));
    for (int Event = 0; Event < 25; ++Event) {
      const std::size_t Index = Draw.below(Count);
      switch (Draw.below(10)) {
      case 0:
      case 1:
        Fleet.configure();
        break;
      case 2:
        Fleet.evacuate(Draw.below(2) == 0);
        break;
      case 3:
        Fleet.setStoreAway(true);
        Fleet.run(milliseconds(Draw.below(1500)));
        [[fallthrough]];
      case 4:
        Fleet.restore(milliseconds(Draw.below(9000)),
                      milliseconds(50 + Draw.below(1500)));
        break;
      case 5:
        Fleet.kill(Index);
        Fleet.run(milliseconds(Draw.below(1000)));
        Fleet.start(Index);
        break;
      case 6:
        Fleet.freeze(Index, milliseconds(500 + Draw.below(5000)));
        break;
      case 7:
        Fleet.cutFromStore(Index, true);
        break;
      case 8:
        Fleet.cutFromStore(Index, false);
        break;
      default:
        if (Draw.below(5) == 0)
          for (std::size_t Each = 0; Each < Count; ++Each) {
            Fleet.kill(Each);
            Fleet.start(Each);
          }
      }
      Fleet.run(milliseconds(Draw.below(1200)));
      RC_ASSERT(Fleet.Broken == "");
    }
    for (std::size_t Each = 0; Each < Count; ++Each)
      Fleet.cutFromStore(Each, false);
    Fleet.run(milliseconds(8000));
    RC_ASSERT(Fleet.Broken == "");
    for (const RestoreFleet::Node &Node : Fleet.Nodes) {
      RC_ASSERT(Node.version() == Fleet.lastVersion());
      RC_ASSERT(isEvacuated(Node) == Fleet.isEvacuated());
      RC_ASSERT(Node.Records.lostCount() == 0u);
      RC_ASSERT(Fleet.Hosts.contains(Node.Name));
    }
  }));
}
