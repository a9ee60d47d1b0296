#include "PlatformFleet.h"

using namespace platformfleet;

namespace {

constexpr milliseconds ConfigApply{2500};

/// Three nodes that serve by version 1, of which a copy was taken, and then by
/// later versions.
class RestoredFleet : public Fleet {
public:
  RestoredFleet() : Fleet({"home", "shop", "home"}) {
    publish(1);
    untilAllServe("/list/a");
    Copy = Store.copy();
  }

  /// Publishes a version that adds a route, and waits until it is in force.
  void change(std::uint64_t Version) {
    publish(Version, "shop", fmt::format("v{}", Version));
    untilAllServe(fmt::format("/v{}/a", Version));
  }

  void untilAllServe(const std::string &Path) {
    const core::TimePoint Deadline = Loop.now().Mono + core::Seconds(5);
    for (std::size_t Host = 1; Host <= 3; ++Host)
      while (ask(Host, Path, fmt::format("u{}", ++LastRequest)).Status != 200) {
        cr_assert(Loop.now().Mono < Deadline, "n%zu does not serve %s", Host,
                  Path.c_str());
        runFor(milliseconds(20));
      }
  }

  void restore() { Store.restore(Copy); }

  /// @return whether a node serves the route that a version added
  bool serves(std::size_t Host, std::uint64_t Version) {
    return ask(Host, fmt::format("/v{}/a", Version),
               fmt::format("r{}", ++LastRequest))
               .Status == 200;
  }

  tools::StoreStandIn::Copy Copy;

private:
  std::size_t LastRequest = 0;
};

} // namespace

// Guards against a change that is acknowledged after a restore and never in
// force, since its offset was given out before.
Test(restored_store, a_change_after_a_restore_is_in_force) {
  RestoredFleet All;
  for (std::uint64_t Version = 2; Version <= 4; ++Version)
    All.change(Version);
  // One restore, and two in a row.
  std::uint64_t Next = 5;
  for (const int Restores : {1, 2}) {
    for (int I = 0; I < Restores; ++I)
      All.restore();
    All.runFor(milliseconds(300));
    const core::TimePoint Sent = All.Loop.now().Mono;
    All.change(Next);
    cr_assert(All.Loop.now().Mono - Sent < ConfigApply, "%lu",
              static_cast<unsigned long>(Next));
    Next += 3;
  }
}

// Guards against reads of the whole list that don't end.
Test(restored_store, the_list_is_read_a_few_times_for_a_restore) {
  RestoredFleet All;
  All.change(2);
  All.change(3);
  const std::uint64_t Before = All.Store.listReads();
  All.restore();
  All.runFor(milliseconds(3000));
  // Each node may read the list of records, of hosts and of moves.
  cr_assert(All.Store.listReads() - Before <= 9, "%lu",
            static_cast<unsigned long>(All.Store.listReads() - Before));
}

// Guards against an acknowledged change that goes out of force since the copy
// lacks it, also at a process that starts before it is written again.
Test(restored_store, a_change_that_the_copy_lacks_stays_in_force) {
  RestoredFleet All;
  All.change(2);
  All.restore();
  All.runFor(milliseconds(1500));
  for (std::size_t Host = 1; Host <= 3; ++Host)
    cr_assert(All.serves(Host, 2), "n%zu", Host);
  All.restart(1);
  All.runFor(milliseconds(1500));
  cr_assert(All.serves(1, 2), "a process that started after the restore");
  All.publish(2, "shop", "v2");
  All.change(3);
}

// Guards against hosts that a process which starts after a restore doesn't
// find.
Test(restored_store, each_host_is_in_the_list_again) {
  Fleet All({"home", "shop", "home"});
  const tools::StoreStandIn::Copy Empty = All.Store.copy();
  All.publish(1);
  for (std::size_t Host = 1; Host <= 3; ++Host)
    All.untilServed(Host, "/list/a");
  All.Store.restore(Empty);
  All.until("the entries", [&] {
    for (const char *Node : {"n1", "n2", "n3"})
      if (All.Store.newest("keyed.hosts", Node).empty())
        return false;
    return true;
  });
}

// Guards against an end of a move that the operator doesn't see any more.
Test(restored_store, the_end_of_a_move_is_written_again) {
  Fleet All({"home", "shop"});
  All.publish(1);
  All.Store.put("keyed.op", "rollout/shop",
                R"({"service":"shop","target_version":"v1",)"
                R"("duration":"600ms"})");
  const auto Before = All.Store.copy();
  All.Store.put("keyed.status", "rollout/shop",
                R"({"service":"shop","target_version":"v1",)"
                R"("state":"completed"})");
  // The nodes learn the end from the store.
  for (const std::size_t Host : {1, 2}) {
    All.restart(Host);
    All.untilServed(Host, "/list/a");
  }
  All.runFor(milliseconds(500));
  All.Store.restore(Before);
  All.until("the state", [&] {
    return All.Store.newest("keyed.status", "rollout/shop").find("completed") !=
           std::string::npos;
  });
}

// Guards against work for a target whose departure was acknowledged and is
// missing in the copy, at a process that starts after the restore.
Test(restored_store, a_departure_that_the_copy_lacks_holds) {
  Fleet All({"home", "shop", "shop"});
  All.publish(1);
  All.untilServed(1, "/list/a");
  const auto Before = All.Store.copy();
  All.instance(2).deregister();
  All.until("the acknowledgement",
            [&] { return All.instance(2).acknowledged(); });
  All.Store.restore(Before);
  All.restart(2);
  All.runFor(milliseconds(1500));
  const std::size_t Runs = All.instance(2).runsInAll();
  for (int I = 0; I < 10; ++I)
    cr_assert(All.ask(1, "/list/a", fmt::format("q{}", I)).Status == 200);
  cr_assert(All.instance(2).runsInAll() == Runs);
}

// Guards against calls without end to a store that goes back and names no later
// era.
Test(restored_store,
     a_store_that_names_an_older_era_is_not_called_without_end) {
  RestoredFleet All;
  All.change(2);
  for (const std::uint64_t Era : {0, 1}) {
    All.Store.restore(All.Copy);
    All.Store.nameEra(Era);
    All.runFor(milliseconds(300));
    const std::uint64_t Before = All.Store.calls();
    All.runFor(milliseconds(3000));
    cr_assert(All.Store.calls() - Before < 60, "era %lu: %lu calls",
              static_cast<unsigned long>(Era),
              static_cast<unsigned long>(All.Store.calls() - Before));
    for (std::size_t Host = 1; Host <= 3; ++Host)
      cr_assert(All.serves(Host, 2), "n%zu", Host);
  }
}
