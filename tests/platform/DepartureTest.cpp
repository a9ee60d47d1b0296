#include "PlatformFleet.h"

using namespace platformfleet;

namespace {

/// Time from the return of the store in which each node has read it again and
/// the others have had reports from it.
constexpr milliseconds RecoveryTime{1500};

/// Lets the target of host 2 leave while the store is away and restarts nodes
/// in that time; returns the number of requests that reach the target later.
std::size_t arrivalsAfterDeparture(tools::StoreMode Outage,
                                   const std::vector<std::size_t> &Restarted,
                                   bool StoreReturnsFirst) {
  Fleet All({"home", "shop", "shop"});
  All.publish(1);
  for (int I = 0; All.instance(2).runsInAll() == 0; ++I) {
    All.ask(1, "/list/a", fmt::format("w{}", I));
    cr_assert(I < 500, "the target is not used");
  }
  All.Store.setMode(Outage);
  All.instance(2).stopAnnouncing();
  All.instance(2).deregister();
  All.until("the acknowledgement",
            [&] { return All.instance(2).acknowledged(); });
  if (StoreReturnsFirst)
    All.Store.setMode(tools::StoreMode::Sound);
  for (const std::size_t Host : Restarted)
    All.restart(Host);
  All.Store.setMode(tools::StoreMode::Sound);
  const std::size_t Before = All.instance(2).runsInAll();
  const core::TimePoint End = All.Loop.now().Mono + RecoveryTime;
  for (int I = 0; All.Loop.now().Mono < End; ++I) {
    All.ask(1, "/list/a", fmt::format("q{}", I));
    All.runFor(milliseconds(5));
  }
  return All.instance(2).runsInAll() - Before;
}

} // namespace

// Guards against a node that uses a target again whose departure its previous
// process acknowledged while the store was away (review, case 5).
Test(platform_departure, a_departure_outlasts_an_outage_and_restarts) {
  using Mode = tools::StoreMode;
  const std::vector<std::size_t> HostOnly = {2};
  const std::vector<std::size_t> EachNode = {1, 2, 3};
  const std::vector<std::size_t> Twice = {2, 2};
  for (const auto &Restarted : {HostOnly, EachNode, Twice})
    cr_expect(arrivalsAfterDeparture(Mode::Busy, Restarted, false) == 0);
  cr_expect(arrivalsAfterDeparture(Mode::Silent, EachNode, false) == 0);
  cr_expect(arrivalsAfterDeparture(Mode::Busy, HostOnly, true) == 0);
}
