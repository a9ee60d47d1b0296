#include "config/RandomLog.h"
#include "filbertvane/config/SheetValidation.h"
#include "filbertvane/wire/RecordCodec.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::config;
using core::ErrorCode;
using tests::LaterTime;
using tests::PublishTime;

namespace {

/// Fleet state that is built from the records that a test appends.
class TestFleet {
public:
  RecordOutcome append(RecordBody Body) {
    ApplyResult After =
        apply(State, State.NextOffset,
              {core::WriterId("w"), ++Sequence, std::move(Body)});
    State = std::move(After.State);
    return After.Outcome;
  }

  RecordOutcome publish(const Sheet &Wanted) {
    return publishOn(State.SheetVersion, Wanted);
  }

  RecordOutcome publishOn(core::ConfigVersion Base, const Sheet &Wanted) {
    return append(SheetPublished{Base, computeDelta(State.CurrentSheet, Wanted),
                                 "ann", PublishTime});
  }

  FleetState State;

private:
  std::uint64_t Sequence = 0;
};

ServiceSpec service(const char *Name, const char *Version) {
  return {core::ServiceName(Name), core::TargetVersion(Version), std::nullopt};
}

ServiceSpec moving(const char *Name, const char *Version, const char *To,
                   core::WallTime By = LaterTime) {
  return {core::ServiceName(Name), core::TargetVersion(Version),
          MoveOrder{core::TargetVersion(To), By}};
}

RouteSpec route(const char *Name, const char *Prefix, const char *Service) {
  RouteSpec Spec;
  Spec.Name = core::RouteName(Name);
  Spec.Prefix = Prefix;
  Spec.Service = core::ServiceName(Service);
  return Spec;
}

Sheet sheet(std::vector<ServiceSpec> Services,
            std::vector<RouteSpec> Routes = {}) {
  return {core::ConfigVersion(0), std::move(Services), std::move(Routes)};
}

/// Error of a refused record; otherwise an error that no test expects.
core::Error errorOf(const RecordOutcome &Outcome) {
  const auto *Refusal = std::get_if<Refused>(&Outcome);
  return Refusal ? Refusal->Reason
                 : core::Error{ErrorCode::ProcessListenFailed, "not refused"};
}

void assertRefused(const RecordOutcome &Outcome, ErrorCode Code,
                   const std::string &Detail) {
  const core::Error Reason = errorOf(Outcome);
  const std::string Text = core::toString(Reason);
  cr_assert(Reason.Code == Code, "%s", Text.c_str());
  cr_assert_str_eq(Reason.Detail.c_str(), Detail.c_str());
}

bool accepted(const RecordOutcome &Outcome, std::uint64_t Version) {
  return Outcome == RecordOutcome(Accepted{core::ConfigVersion(Version)});
}

/// Fleet in epoch 1 that moves service `a` from version 1.0 to 2.0.
TestFleet movingFleet() {
  TestFleet Fleet;
  Fleet.append(LeaseClaimed{core::NodeId("n1"), core::Epoch(1)});
  Fleet.publish(sheet({moving("a", "1.0", "2.0")}));
  return Fleet;
}

const MoveId MoveOfA{core::ServiceName("a"), core::ConfigVersion(1)};
const core::Epoch First(1);
const MoveDecision Figures{
    core::RouteName("r"), "9 of 41 failed", 41, 9, 780, 0};

} // namespace

Test(fleet_state, a_sheet_on_the_current_base_is_accepted) {
  TestFleet Fleet;
  cr_assert(accepted(Fleet.publish(sheet({service("a", "1.0")})), 1));
  cr_assert(Fleet.State.SheetVersion == core::ConfigVersion(1));
  cr_assert(Fleet.State.TrafficByService.at(core::ServiceName("a")) ==
            (TrafficSplit{core::TargetVersion("1.0"), std::nullopt, 0}));
}

// Guards against operators who overwrite each other's sheets.
Test(fleet_state, the_second_sheet_on_one_base_is_refused) {
  TestFleet Fleet;
  Fleet.publish(sheet({service("a", "1.0")}));
  const FleetState Before = Fleet.State;
  assertRefused(
      Fleet.publishOn(core::ConfigVersion(0), sheet({service("b", "1.0")})),
      ErrorCode::SheetStaleBase, "base 0, version in force 1");
  cr_assert(Fleet.State.CurrentSheet == Before.CurrentSheet);
  cr_assert(Fleet.State.RefusedSheets.size() == 1);
  cr_assert(Fleet.State.RefusedSheets[0].Offset == Before.NextOffset);
  cr_assert(Fleet.State.RefusedSheets[0].Reason.Code ==
            ErrorCode::SheetStaleBase);
}

// Guards against routes to a service that the sheet does not define (I2).
Test(fleet_state, a_route_to_an_unknown_service_is_refused) {
  TestFleet Fleet;
  assertRefused(
      Fleet.publish(sheet({service("a", "1.0")}, {route("r", "/", "b")})),
      ErrorCode::SheetUnknownService, "route r: service: b");
}

// Guards against the removal of a service that a route still refers to.
Test(fleet_state, removing_a_service_under_a_route_is_refused) {
  TestFleet Fleet;
  Fleet.publish(sheet({service("a", "1.0")}, {route("r", "/", "a")}));
  assertRefused(Fleet.publish(sheet({}, {route("r", "/", "a")})),
                ErrorCode::SheetUnknownService, "route r: service: a");
}

Test(fleet_state, a_delta_that_names_a_service_twice_is_refused) {
  TestFleet Fleet;
  SheetDelta Delta;
  Delta.ChangedServices = {service("a", "1.0"), service("a", "2.0")};
  assertRefused(Fleet.append(SheetPublished{{}, Delta, "ann", PublishTime}),
                ErrorCode::SheetDuplicateName, "service a");
}

Test(fleet_state, a_move_to_the_stable_version_is_refused) {
  TestFleet Fleet;
  Fleet.publish(sheet({service("a", "1.0")}));
  assertRefused(Fleet.publish(sheet({moving("a", "1.0", "1.0")})),
                ErrorCode::SheetFieldInvalid,
                "service a: move.to: 1.0 is already the stable version");
}

Test(fleet_state, a_move_with_a_passed_deadline_is_refused) {
  TestFleet Fleet;
  assertRefused(Fleet.publish(sheet({moving("a", "1.0", "2.0", PublishTime)})),
                ErrorCode::SheetTimePassed,
                "service a: move.by: 2026-12-04T10:00:00Z is not later than "
                "2026-12-04T10:00:00Z");
}

// Guards against moving all traffic at once, without a gradual move.
Test(fleet_state, another_version_without_a_move_is_refused) {
  TestFleet Fleet;
  Fleet.publish(sheet({service("a", "1.0")}));
  assertRefused(Fleet.publish(sheet({service("a", "2.0")})),
                ErrorCode::SheetFieldInvalid,
                "service a: version: 2.0 differs from the stable version 1.0: "
                "order a move");
}

Test(fleet_state, two_routes_with_one_prefix_are_refused) {
  TestFleet Fleet;
  assertRefused(
      Fleet.publish(sheet({service("a", "1.0")},
                          {route("r", "/x", "a"), route("s", "/x", "a")})),
      ErrorCode::SheetFieldInvalid,
      "route s: prefix: /x is also the prefix of route r");
}

Test(fleet_state, a_move_is_stepped_and_completed) {
  TestFleet Fleet = movingFleet();
  cr_assert(accepted(Fleet.append(MoveStepped{First, MoveOfA, 50}), 2));
  const core::ServiceName Service("a");
  cr_assert(Fleet.State.TrafficByService.at(Service).CandidateShare == 50);
  cr_assert(accepted(
      Fleet.append(MoveCompleted{First, MoveOfA, LaterTime, Figures}), 3));
  cr_assert(Fleet.State.TrafficByService.at(Service) ==
            (TrafficSplit{core::TargetVersion("2.0"), std::nullopt, 0}));
  cr_assert(Fleet.State.Moves[0].Stage == MoveStage::Completed);
  cr_assert(Fleet.State.Moves[0].Decision == Figures);
}

// Guards against a rolled-back version that receives traffic again through a
// late step or an unrelated sheet change.
Test(fleet_state, a_rolled_back_move_stays_rolled_back) {
  TestFleet Fleet = movingFleet();
  Fleet.append(MoveStepped{First, MoveOfA, 50});
  cr_assert(accepted(
      Fleet.append(MoveRolledBack{First, MoveOfA, LaterTime, Figures}), 3));
  const TrafficSplit Old{core::TargetVersion("1.0"), std::nullopt, 0};
  assertRefused(Fleet.append(MoveStepped{First, MoveOfA, 100}),
                ErrorCode::MoveUnknown, "service a, ordered in version 1");
  cr_assert(accepted(
      Fleet.publish(sheet({moving("a", "1.0", "2.0"), service("b", "1.0")})),
      4));
  cr_assert(Fleet.State.TrafficByService.at(core::ServiceName("a")) == Old);
  cr_assert(Fleet.State.Moves.size() == 1);
}

// Guards against a completed move that makes every later sheet invalid.
Test(fleet_state, an_unchanged_order_is_not_checked_again) {
  TestFleet Fleet = movingFleet();
  Fleet.append(MoveCompleted{First, MoveOfA, LaterTime, Figures});
  cr_assert(accepted(
      Fleet.publish(sheet({moving("a", "1.0", "2.0"), service("b", "1.0")})),
      3));
}

Test(fleet_state, a_changed_order_supersedes_the_move_in_progress) {
  TestFleet Fleet = movingFleet();
  Fleet.append(MoveStepped{First, MoveOfA, 50});
  cr_assert(accepted(Fleet.publish(sheet({moving("a", "1.0", "3.0")})), 3));
  cr_assert(Fleet.State.Moves[0].Stage == MoveStage::Superseded);
  cr_assert(Fleet.State.Moves[1].Id.OrderedIn == core::ConfigVersion(3));
  cr_assert(Fleet.State.TrafficByService.at(core::ServiceName("a")) ==
            (TrafficSplit{core::TargetVersion("1.0"),
                          core::TargetVersion("3.0"), 0}));
}

Test(fleet_state, a_share_may_only_rise) {
  TestFleet Fleet = movingFleet();
  Fleet.append(MoveStepped{First, MoveOfA, 50});
  assertRefused(Fleet.append(MoveStepped{First, MoveOfA, 50}),
                ErrorCode::MoveShareNotRaised,
                "service a, share 50, current share 50");
}

// Guards against a paused coordinator that continues to write after another one
// has taken over the lease.
Test(fleet_state, records_of_an_old_epoch_are_refused) {
  TestFleet Fleet = movingFleet();
  Fleet.append(LeaseClaimed{core::NodeId("n2"), core::Epoch(2)});
  const char *Detail = "epoch 1, current epoch 2";
  const std::vector<RecordBody> Stale = {
      MoveStepped{First, MoveOfA, 50},
      MoveRolledBack{First, MoveOfA, LaterTime, Figures},
      MoveCompleted{First, MoveOfA, LaterTime, Figures},
      InForceReported{First, core::ConfigVersion(1), LaterTime, {}},
      SnapshotTaken{First, core::LogOffset(0), core::Digest(0), ""}};
  for (const RecordBody &Body : Stale)
    assertRefused(Fleet.append(Body), ErrorCode::MoveStaleEpoch, Detail);
  cr_assert(!Fleet.State.InForce);
}

Test(fleet_state, the_first_claim_of_an_epoch_holds_the_lease) {
  TestFleet Fleet;
  const LeaseClaimed Claim{core::NodeId("n1"), core::Epoch(1)};
  cr_assert(Fleet.append(Claim) == RecordOutcome(Recorded{}));
  assertRefused(Fleet.append(LeaseClaimed{core::NodeId("n2"), core::Epoch(1)}),
                ErrorCode::MoveEpochClaimed, "epoch 1, current epoch 1");
  cr_assert(Fleet.State.LeaseHolder == core::NodeId("n1"));
}

// Guards against a state that grows without limit until its snapshot exceeds
// the size of a log record.
Test(fleet_state, lists_of_the_state_are_bounded) {
  TestFleet Fleet = movingFleet();
  for (int I = 0; I < 700; ++I) {
    const std::string To = "v" + std::to_string(I);
    Fleet.publish(sheet({moving("a", "1.0", To.c_str())}));
    Fleet.publishOn(core::ConfigVersion(0), sheet({}));
    Fleet.State = apply(Fleet.State, Fleet.State.NextOffset,
                        {core::WriterId(To), 1,
                         LeaseClaimed{core::NodeId("n"), core::Epoch(0)}})
                      .State;
  }
  cr_assert(Fleet.State.Moves.size() == 101);
  cr_assert(Fleet.State.Moves.back().Stage == MoveStage::InProgress);
  cr_assert(Fleet.State.RefusedSheets.size() == 32);
  cr_assert(Fleet.State.LastSequence.size() == 256);
  cr_assert(Fleet.State.LastSequence.contains(core::WriterId("w")));
}

// Guards against a snapshot that exceeds the size of a log record. The state
// combines the largest number of moves with full lists of long names.
Test(fleet_state, the_largest_state_fits_into_one_record) {
  TestFleet Fleet = movingFleet();
  const std::string Long(64, 'x');
  for (int I = 0; I < 200; ++I) {
    const std::string To = std::to_string(I) + Long.substr(0, 60);
    Fleet.publish(sheet({moving(Long.c_str(), Long.c_str(), To.c_str())}));
    const MoveId Id = Fleet.State.Moves.back().Id;
    Fleet.append(MoveRolledBack{
        First,
        Id,
        LaterTime,
        {core::RouteName(Long), std::string(300, 'r'), ~0ULL, 1, ~0ULL, 1}});
    Fleet.append(SheetPublished{{}, {}, std::string(300, 'o'), PublishTime});
    Fleet.State.LastSequence[core::WriterId(std::to_string(I) + Long)] = ~0ULL;
  }
  std::vector<ServiceSpec> Dense;
  for (int I = 1000; I < 10000; ++I) {
    Dense.push_back(moving(std::to_string(I).c_str(), "1", "2"));
    if (wire::encode(sheet(Dense)).size() <= MaxSheetBytes)
      continue;
    Dense.pop_back();
    break;
  }
  const std::uint64_t Next = Fleet.State.Version.value() + 1;
  cr_assert(accepted(Fleet.publish(sheet(Dense)), Next));
  cr_assert(Fleet.State.Moves.size() == Dense.size() + 100);
  const std::size_t Size = wire::encode(Fleet.State).size();
  cr_assert(Size > wire::MaxRecordBytes / 2, "%zu", Size);
  cr_assert(Size < wire::MaxRecordBytes - 1024, "%zu", Size);
}
