#include "PlatformFleet.h"

using namespace platformfleet;

namespace {

/// Time from the return of the store in which each node has read it again and
/// the others have had reports from it.
constexpr milliseconds RecoveryTime{1500};

/// What happens around the departure of the target of host 2.
struct Course {
  tools::StoreMode Outage = tools::StoreMode::Busy;
  /// Nodes that restart, in this order.
  std::vector<std::size_t> Restarted = {2};
  bool StoreReturnsFirst = false;
  /// Announcements that the target sent before arrive for the whole time.
  bool AnnouncementsLate = false;
  /// Time after which no request may reach the target.
  milliseconds Allowed{0};
};

/// Lets the target leave while the store is away and restarts nodes in that
/// time; returns the number of requests that reach the target later.
std::size_t arrivalsAfterDeparture(const Course &Played) {
  Fleet All({"home", "shop", "shop"});
  All.publish(1);
  for (int I = 0; All.instance(2).runsInAll() == 0; ++I) {
    All.ask(1, "/list/a", fmt::format("w{}", I));
    cr_assert(I < 500, "the target is not used");
  }
  All.Store.setMode(Played.Outage);
  if (!Played.AnnouncementsLate)
    All.instance(2).stopAnnouncing();
  All.instance(2).deregister();
  All.until("the acknowledgement",
            [&] { return All.instance(2).acknowledged(); });
  if (Played.StoreReturnsFirst)
    All.Store.setMode(tools::StoreMode::Sound);
  for (const std::size_t Host : Played.Restarted)
    All.restart(Host);
  if (!Played.AnnouncementsLate)
    All.Store.setMode(tools::StoreMode::Sound);
  All.runFor(Played.Allowed);
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
  const std::vector<std::size_t> EachNode = {1, 2, 3};
  const Course Courses[] = {{Mode::Busy, {2}},
                            {Mode::Busy, EachNode},
                            {Mode::Busy, {2, 2}},
                            {Mode::Silent, EachNode},
                            {Mode::Busy, {2}, true}};
  for (const Course &Each : Courses)
    cr_expect(arrivalsAfterDeparture(Each) == 0, "course %td", &Each - Courses);
}

// Guards against announcements that were sent before the departure and arrive
// at the next process of the node: other nodes know of the departure.
Test(platform_departure, a_late_announcement_does_not_undo_a_departure) {
  Course Late;
  Late.AnnouncementsLate = true;
  Late.Allowed = milliseconds(1000);
  cr_expect(arrivalsAfterDeparture(Late) == 0);
}
