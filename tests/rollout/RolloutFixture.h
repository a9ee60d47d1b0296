#ifndef FILBERTVANE_TESTS_ROLLOUT_ROLLOUTFIXTURE_H
#define FILBERTVANE_TESTS_ROLLOUT_ROLLOUTFIXTURE_H

#include "RecordApplier.h"
#include "filbertvane/decision/rollout/Controller.h"

namespace filbertvane::fake {

namespace rollout = decision::rollout;

inline core::Instant at(core::Milliseconds Since) {
  return {core::TimePoint(Since), core::WallTime(core::Seconds(1000) + Since)};
}

inline rollout::RouteCounts answers(std::uint64_t New, std::uint64_t NewFaults,
                                    std::uint64_t Old,
                                    std::uint64_t OldFaults) {
  rollout::RouteCounts Counts;
  Counts.New.Answers = New;
  Counts.New.Faults = NewFaults;
  Counts.Old.Answers = Old;
  Counts.Old.Faults = OldFaults;
  return Counts;
}

/// A fleet with one move, ordered at time 0; the lease is held in epoch 1.
inline config::FleetState orderedFleet(core::Seconds Time) {
  config::FleetState Fleet;
  fake::applyRecord(Fleet,
                    config::LeaseClaimed{core::NodeId("lead"), core::Epoch(1)});
  fake::applyRecord(Fleet, moveSheet(at(core::Milliseconds(0)).Wall, Time));
  return Fleet;
}

/// A coordinator with its log and a simulated clock.
struct Coordinator {
  explicit Coordinator(core::Seconds Time) : Fleet(orderedFleet(Time)) {
    handle(rollout::SlotsChanged{core::ServiceName("booking"),
                                 core::TargetVersion("1"), 60, 10});
    handle(rollout::SlotsChanged{core::ServiceName("booking"),
                                 core::TargetVersion("2"), 60, 0});
    Report.Sender = core::NodeId("dc1");
    readBack();
    handle(rollout::LeaseGained{core::Epoch(1)});
    // Makes the sender known, so that later counts are not taken as a baseline.
    addAnswers(answers(0, 0, 1, 0));
  }

  void handle(const rollout::ControllerEvent &Event) {
    auto Step = reduce(std::move(State), Event, at(Now));
    State = std::move(Step.NextState);
    for (const rollout::ControllerEffect &Effect : Step.EmittedEffects) {
      if (const auto *Append = std::get_if<rollout::AppendRecord>(&Effect))
        AppendedRecords.push_back(Append->Body);
      if (const auto *Publish =
              std::get_if<rollout::PublishLocalRollback>(&Effect))
        PublishedRollbacks.push_back(Publish->Rollback);
      if (const auto *Line = std::get_if<observe::LogEvent>(&Effect))
        LoggedEvents.insert(Line->Id);
    }
  }
  /// Applies the appended records to the fleet state.
  void readBack() {
    std::vector<config::RecordBody> Records;
    Records.swap(AppendedRecords);
    for (const config::RecordBody &Body : Records)
      EffectiveRecords += fake::applyRecord(Fleet, Body) ? 1 : 0;
    handle(rollout::FleetChanged{
        std::make_shared<const config::FleetState>(Fleet)});
  }
  void addAnswers(const rollout::RouteCounts &Added) {
    Report.Moves[move().Id][core::RouteName("read")] += Added;
    ++Report.Revision;
    handle(rollout::EvidenceReceived{Report});
  }
  /// Advances the clock in evidence periods.
  void advance(core::Milliseconds Time) {
    for (core::Milliseconds End = Now + Time; Now < End;) {
      Now += rollout::EvidencePeriod;
      handle(rollout::Tick{});
      if (!AppendedRecords.empty())
        readBack();
    }
  }
  void replaceCoordinator(std::uint64_t Epoch) {
    State = {};
    AppendedRecords.clear();
    fake::applyRecord(
        Fleet, config::LeaseClaimed{core::NodeId("b"), core::Epoch(Epoch)});
    handle(rollout::SlotsChanged{core::ServiceName("booking"),
                                 core::TargetVersion("2"), 60, 0});
    readBack();
    handle(rollout::LeaseGained{core::Epoch(Epoch)});
  }
  const config::MoveStatus &move() const { return Fleet.Moves.back(); }

  core::Milliseconds Now{0};
  config::FleetState Fleet;
  rollout::ControllerState State;
  rollout::Evidence Report;
  std::vector<config::RecordBody> AppendedRecords;
  std::vector<rollout::LocalRollback> PublishedRollbacks;
  std::set<observe::EventId> LoggedEvents;
  int EffectiveRecords = 0;
};

} // namespace filbertvane::fake

#endif // FILBERTVANE_TESTS_ROLLOUT_ROLLOUTFIXTURE_H
