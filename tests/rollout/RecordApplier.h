#ifndef FILBERTVANE_TESTS_ROLLOUT_RECORDAPPLIER_H
#define FILBERTVANE_TESTS_ROLLOUT_RECORDAPPLIER_H

#include "filbertvane/config/FleetState.h"
#include <algorithm>

namespace filbertvane::fake {

/// Test double of config::apply with the rules for lease, move and sheet
/// records.
class RecordApplier {
public:
  explicit RecordApplier(config::FleetState &State) : State(State) {}

  bool operator()(const config::LeaseClaimed &Record) {
    if (Record.NewEpoch.value() != State.CurrentEpoch.value() + 1)
      return false;
    State.CurrentEpoch = Record.NewEpoch;
    State.LeaseHolder = Record.Holder;
    return true;
  }
  bool operator()(const config::MoveStepped &Record) {
    config::MoveStatus *Move = inProgress(Record.LeaseEpoch, Record.Move);
    if (Move == nullptr || Record.Share <= Move->Share ||
        Record.Share > config::FullShare)
      return false;
    Move->Share = Record.Share;
    State.TrafficByService[Move->Id.Service] = {Move->From, Move->Order.To,
                                                Record.Share};
    return advanceVersion();
  }
  bool operator()(const config::MoveRolledBack &Record) {
    return endMove(Record, config::MoveStage::RolledBack);
  }
  bool operator()(const config::MoveCompleted &Record) {
    return endMove(Record, config::MoveStage::Completed);
  }
  bool operator()(const config::InForceReported &Record) {
    if (Record.LeaseEpoch != State.CurrentEpoch)
      return false;
    State.InForce = Record;
    return true;
  }
  bool operator()(const config::SheetPublished &Record) {
    for (const config::ServiceSpec &Service : Record.Delta.ChangedServices)
      startMove(Service, Record.PublishedAt);
    State.SheetVersion = State.Version;
    return true;
  }
  bool operator()(const config::SnapshotTaken &) { return false; }

private:
  bool advanceVersion() {
    State.Version = core::ConfigVersion(State.Version.value() + 1);
    return true;
  }
  config::MoveStatus *inProgress(core::Epoch Epoch, const config::MoveId &Id) {
    const auto Found = std::find_if(
        State.Moves.begin(), State.Moves.end(),
        [&](const config::MoveStatus &Move) { return Move.Id == Id; });
    const bool Valid = Epoch == State.CurrentEpoch &&
                       Found != State.Moves.end() &&
                       Found->Stage == config::MoveStage::InProgress;
    return Valid ? &*Found : nullptr;
  }
  template <typename Record>
  bool endMove(const Record &Ended, config::MoveStage Stage) {
    config::MoveStatus *Move = inProgress(Ended.LeaseEpoch, Ended.Move);
    if (Move == nullptr)
      return false;
    Move->Stage = Stage;
    Move->EndedAt = Ended.At;
    Move->Decision = Ended.Decision;
    const bool IsCompleted = Stage == config::MoveStage::Completed;
    State.TrafficByService[Move->Id.Service] = {
        IsCompleted ? Move->Order.To : Move->From, std::nullopt, 0};
    return advanceVersion();
  }
  void startMove(const config::ServiceSpec &Service, core::WallTime At) {
    advanceVersion();
    for (config::MoveStatus &Move : State.Moves)
      if (Move.Id.Service == Service.Name &&
          Move.Stage == config::MoveStage::InProgress)
        Move.Stage = config::MoveStage::Superseded;
    State.TrafficByService[Service.Name] = {Service.Version, std::nullopt, 0};
    if (!Service.Move)
      return;
    config::MoveStatus Move;
    Move.Id = {Service.Name, State.Version};
    Move.From = Service.Version;
    Move.Order = *Service.Move;
    Move.AcceptedAt = At;
    State.Moves.push_back(Move);
  }

  config::FleetState &State;
};

/// Applies one record.
/// @return whether it had an effect
inline bool applyRecord(config::FleetState &State,
                        const config::RecordBody &Body) {
  State.NextOffset = core::LogOffset(State.NextOffset.value() + 1);
  return std::visit(RecordApplier(State), Body);
}

/// Sheet that orders a move of one service.
inline config::SheetPublished moveSheet(core::WallTime Now, core::Seconds Time,
                                        const char *To = "2") {
  config::ServiceSpec Service;
  Service.Name = core::ServiceName("booking");
  Service.Version = core::TargetVersion("1");
  Service.Move = config::MoveOrder{core::TargetVersion(To), Now + Time};
  config::SheetPublished Sheet;
  Sheet.Delta.ChangedServices = {Service};
  Sheet.PublishedAt = Now;
  return Sheet;
}

} // namespace filbertvane::fake

#endif // FILBERTVANE_TESTS_ROLLOUT_RECORDAPPLIER_H
