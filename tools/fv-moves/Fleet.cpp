#include "Fleet.h"
#include "../../tests/rollout/RecordApplier.h"
#include <algorithm>

namespace filbertvane::moves {

namespace {

constexpr core::Milliseconds LocalDelay{1};
constexpr core::Milliseconds RegionDelay{20};
constexpr core::Seconds TakeoverTime{8};
constexpr core::Seconds LeaseTime{6};
constexpr core::Milliseconds TickPeriod{250};

int dataCentreOf(int Node) { return Node / NodesPerDataCentre; }
int leadOf(int DataCentre) { return DataCentre * NodesPerDataCentre; }

core::Milliseconds delay(int From, int To) {
  return From / 2 == To / 2 ? LocalDelay : RegionDelay;
}

core::Milliseconds delayFromLog(int DataCentre) {
  return DataCentre < 2 ? LocalDelay : RegionDelay;
}

} // namespace

Fleet::Fleet(const Scenario &Move, bool IsLocal)
    : Move(Move), IsLocal(IsLocal), Views(Nodes), IsWithdrawn(Nodes, false) {
  for (int Node = 0; Node < Nodes; ++Node) {
    const int Centre = dataCentreOf(Node);
    Guards.push_back(rollout::makeMonitorState(
        core::NodeId("n" + std::to_string(Node)), core::Incarnation(1),
        core::DataCentreId("dc" + std::to_string(Centre))));
    if (Node == leadOf(Centre))
      feedGuard(Node, rollout::LeadershipChanged{true});
  }
  fake::applyRecord(Log, fake::moveSheet(instant().Wall, Move.Length));
  distribute();
  startCoordinator(0);
}

core::Instant Fleet::instant() const {
  return {core::TimePoint(Now), core::WallTime(core::Seconds(1000000) + Now)};
}

void Fleet::send(int From, int To, std::function<void()> Deliver) {
  const bool IsCut =
      From != To && (Move.isCutOff(From, Now) || Move.isCutOff(To, Now));
  if (!IsCut)
    Queue.emplace(Now + delay(From, To), std::move(Deliver));
}

config::Permille Fleet::share(int Node) const {
  const auto &View = Views.at(static_cast<std::size_t>(Node));
  if (!View || IsWithdrawn.at(static_cast<std::size_t>(Node)))
    return 0;
  const config::MoveStatus &Status = View->Moves.back();
  if (Status.Stage == config::MoveStage::Completed)
    return config::FullShare;
  return Status.Stage == config::MoveStage::InProgress ? Status.Share : 0;
}

void Fleet::answered(int Node, const request::ObservedAnswer &Answer) {
  feedGuard(Node, Answer);
}

void Fleet::feedGuard(int Node, const rollout::MonitorEvent &Event) {
  auto &Guard = Guards.at(static_cast<std::size_t>(Node));
  auto Step = rollout::reduce(std::move(Guard), Event, instant());
  Guard = std::move(Step.NextState);
  for (const rollout::MonitorEffect &Effect : Step.EmittedEffects)
    handle(Node, Effect);
}

void Fleet::handle(int Node, const rollout::MonitorEffect &Effect) {
  const int Centre = dataCentreOf(Node);
  if (const auto *Changed =
          std::get_if<rollout::LocalRollbacksChanged>(&Effect)) {
    IsWithdrawn.at(static_cast<std::size_t>(Node)) =
        IsLocal && !Changed->Moves.empty();
    if (IsLocal && !Changed->Moves.empty())
      noteDecision();
  }
  const auto ToController = [&](const rollout::ControllerEvent &Event) {
    send(Centre, CoordinatorAt, [this, Event] {
      if (IsCoordinatorUp)
        feedController(Event);
    });
  };
  const auto ToNode = [&](int To, const rollout::MonitorEvent &Event) {
    send(Centre, Centre, [this, To, Event] { feedGuard(To, Event); });
  };
  if (const auto *Sends = std::get_if<rollout::SendEvidence>(&Effect)) {
    if (Sends->To == rollout::Recipient::Lead)
      ToNode(leadOf(Centre), rollout::EvidenceReceived{Sends->Report});
    else
      ToController(rollout::EvidenceReceived{Sends->Report});
  }
  const auto *Sends = std::get_if<rollout::SendLocalRollback>(&Effect);
  if (Sends == nullptr || !IsLocal)
    return;
  if (Sends->To == rollout::Recipient::Lead)
    ToNode(leadOf(Centre), rollout::LocalRollbackReceived{Sends->Rollback});
  else if (Sends->To == rollout::Recipient::Coordinator)
    ToController(rollout::LocalRollbackReceived{Sends->Rollback});
  else
    for (int I = 1; I < NodesPerDataCentre; ++I)
      ToNode(leadOf(Centre) + I,
             rollout::LocalRollbackReceived{Sends->Rollback});
}

void Fleet::feedController(const rollout::ControllerEvent &Event) {
  auto Step = rollout::reduce(std::move(Control), Event, instant());
  Control = std::move(Step.NextState);
  for (const rollout::ControllerEffect &Effect : Step.EmittedEffects) {
    if (const auto *Record = std::get_if<rollout::AppendRecord>(&Effect))
      append(Record->Body);
    const auto *Publish = std::get_if<rollout::PublishLocalRollback>(&Effect);
    if (Publish == nullptr || !IsLocal)
      continue;
    noteDecision();
    for (int Centre = 0; Centre < DataCentres; ++Centre)
      send(CoordinatorAt, Centre, [this, Centre, Value = Publish->Rollback] {
        feedGuard(leadOf(Centre), rollout::LocalRollbackReceived{Value});
      });
  }
}

void Fleet::append(const config::RecordBody &Body) {
  if (std::holds_alternative<config::MoveRolledBack>(Body))
    noteDecision();
  if (Move.isCutOff(CoordinatorAt, Now) || Move.isLogDown(Now))
    return;
  Queue.emplace(Now + delayFromLog(CoordinatorAt), [this, Body] {
    if (!Move.isLogDown(Now) && fake::applyRecord(Log, Body))
      distribute();
  });
}

void Fleet::noteDecision() {
  if (!Decided)
    Decided = Now;
}

void Fleet::distribute() {
  const auto State = std::make_shared<const config::FleetState>(Log);
  // A step after a decision dispelled it; the next one counts afresh.
  const config::MoveStatus &Status = State->Moves.back();
  if (Status.Stage == config::MoveStage::InProgress && Decided &&
      Now > *Decided + rollout::SuspicionRetryDelay / 2)
    Decided.reset();
  for (int Centre = 0; Centre < DataCentres; ++Centre) {
    if (Move.isCutOff(Centre, Now))
      continue;
    const core::Milliseconds At = Now + delayFromLog(Centre) + LocalDelay;
    for (int I = 0; I < NodesPerDataCentre; ++I) {
      const int Node = leadOf(Centre) + I;
      Queue.emplace(At + (I > 0 ? LocalDelay : core::Milliseconds(0)),
                    [this, Node, State] {
                      auto &View = Views.at(static_cast<std::size_t>(Node));
                      if (View && View->NextOffset >= State->NextOffset)
                        return;
                      View = State;
                      feedGuard(Node, rollout::FleetChanged{State});
                    });
    }
    if (Centre == CoordinatorAt)
      Queue.emplace(At, [this, State] {
        if (IsCoordinatorUp)
          feedController(rollout::FleetChanged{State});
      });
  }
}

void Fleet::startCoordinator(int DataCentre) {
  CoordinatorAt = DataCentre;
  Control = {};
  IsCoordinatorUp = true;
  const core::Epoch Next(Log.CurrentEpoch.value() + 1);
  fake::applyRecord(Log, config::LeaseClaimed{core::NodeId("n"), Next});
  for (const char *Version : {"1", "2"})
    feedController(rollout::SlotsChanged{
        core::ServiceName("booking"), core::TargetVersion(Version), 108, 20});
  feedController(rollout::LogAvailabilityChanged{!Move.isLogDown(Now)});
  distribute();
  Queue.emplace(Now + 2 * RegionDelay,
                [this, Next] { feedController(rollout::LeaseGained{Next}); });
}

void Fleet::superviseLease() {
  const bool IsKilled = Move.With == Trouble::CoordinatorKilled &&
                        Now >= Move.TroubleFrom && Log.CurrentEpoch.value() < 2;
  if (IsKilled && IsCoordinatorUp) {
    IsCoordinatorUp = false;
    TakeoverAt = Now + TakeoverTime;
  }
  if (Move.isCutOff(CoordinatorAt, Now) && !TakeoverAt)
    TakeoverAt = Move.TroubleFrom + TakeoverTime;
  if (TakeoverAt && IsCoordinatorUp &&
      Now >= *TakeoverAt - TakeoverTime + LeaseTime)
    feedController(rollout::LeaseLost{});
  if (TakeoverAt && Now >= *TakeoverAt && !Move.isLogDown(Now)) {
    TakeoverAt.reset();
    startCoordinator((CoordinatorAt + 3) % DataCentres);
  }
}

void Fleet::tick() {
  superviseLease();
  const bool IsDown = Move.isLogDown(Now);
  if (IsDown != WasLogDown && IsCoordinatorUp)
    feedController(rollout::LogAvailabilityChanged{!IsDown});
  WasLogDown = IsDown;
  // Views that missed records in a cut are repaired by probes within a second.
  const bool IsStale = std::any_of(Views.begin(), Views.end(), [&](auto &View) {
    return !View || View->NextOffset != Log.NextOffset;
  });
  if (Now % core::Milliseconds(1000) == core::Milliseconds(0) && IsStale)
    distribute();
  for (int Node = 0; Node < Nodes; ++Node)
    feedGuard(Node, rollout::Tick{});
  if (IsCoordinatorUp)
    feedController(rollout::Tick{});
}

void Fleet::advance(core::Milliseconds Until) {
  while (!Queue.empty() && Queue.begin()->first <= Until) {
    const auto Next = Queue.extract(Queue.begin());
    Now = std::max(Now, Next.key());
    Next.mapped()();
  }
  Now = Until;
  if (Now % TickPeriod == core::Milliseconds(0))
    tick();
}

std::optional<FinalWord> Fleet::finalWord() const {
  const config::MoveStatus &Status = Log.Moves.back();
  if (!Status.EndedAt)
    return std::nullopt;
  const core::WallTime Start(core::Seconds(1000000));
  return FinalWord{Status.Stage == config::MoveStage::RolledBack,
                   *Status.EndedAt - Start};
}

} // namespace filbertvane::moves
