#include "MoveRecords.h"
#include "filbertvane/config/SheetValidation.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::config {

namespace {

using core::ErrorCode;

MoveStatus *findInProgress(FleetState &State, const MoveId &Id) {
  const auto Found = std::find_if(
      State.Moves.begin(), State.Moves.end(), [&](const MoveStatus &Each) {
        return Each.Id == Id && Each.Stage == MoveStage::InProgress;
      });
  return Found == State.Moves.end() ? nullptr : &*Found;
}

Refused unknownMove(const MoveId &Id) {
  return {{ErrorCode::MoveUnknown,
           fmt::format("service {}, ordered in version {}", Id.Service.value(),
                       Id.OrderedIn.value())}};
}

bool isFinal(const MoveStatus &Move) {
  return Move.Stage != MoveStage::InProgress;
}

void dropOldestEnded(std::vector<MoveStatus> &Moves) {
  const auto Ended = std::count_if(Moves.begin(), Moves.end(), isFinal);
  if (static_cast<std::size_t>(Ended) > MaxEndedMoves)
    Moves.erase(std::find_if(Moves.begin(), Moves.end(), isFinal));
}

MoveDecision truncated(MoveDecision Decision) {
  if (Decision.Reason.size() > MaxReasonBytes)
    Decision.Reason.resize(MaxReasonBytes);
  if (Decision.Route.value().size() > MaxNameBytes)
    Decision.Route =
        core::RouteName(Decision.Route.value().substr(0, MaxNameBytes));
  return Decision;
}

void endMove(FleetState &State, MoveStatus &Move, MoveStage Stage,
             core::WallTime At, std::optional<MoveDecision> Decision) {
  Move.Stage = Stage;
  Move.EndedAt = At;
  Move.Decision = std::move(Decision);
  if (Move.Decision)
    Move.Decision = truncated(std::move(*Move.Decision));
  dropOldestEnded(State.Moves);
}

} // namespace

RecordOutcome applyStep(FleetState &State, const MoveStepped &Step) {
  MoveStatus *Move = findInProgress(State, Step.Move);
  if (!Move)
    return unknownMove(Step.Move);
  if (Step.Share <= Move->Share || Step.Share > FullShare)
    return Refused{
        {ErrorCode::MoveShareNotRaised,
         fmt::format("service {}, share {}, current share {}",
                     Step.Move.Service.value(), Step.Share, Move->Share)}};
  Move->Share = Step.Share;
  State.TrafficByService[Step.Move.Service].CandidateShare = Step.Share;
  return nextVersion(State);
}

RecordOutcome applyRollback(FleetState &State, const MoveRolledBack &Rollback) {
  MoveStatus *Move = findInProgress(State, Rollback.Move);
  if (!Move)
    return unknownMove(Rollback.Move);
  TrafficSplit &Split = State.TrafficByService[Rollback.Move.Service];
  Split.Candidate.reset();
  Split.CandidateShare = 0;
  Move->Share = 0;
  endMove(State, *Move, MoveStage::RolledBack, Rollback.At, Rollback.Decision);
  return nextVersion(State);
}

RecordOutcome applyCompletion(FleetState &State,
                              const MoveCompleted &Completion) {
  MoveStatus *Move = findInProgress(State, Completion.Move);
  if (!Move)
    return unknownMove(Completion.Move);
  TrafficSplit &Split = State.TrafficByService[Completion.Move.Service];
  Split = TrafficSplit{Move->Order.To, std::nullopt, 0};
  Move->Share = FullShare;
  endMove(State, *Move, MoveStage::Completed, Completion.At,
          Completion.Decision);
  return nextVersion(State);
}

void supersedeMove(FleetState &State, const core::ServiceName &Service,
                   core::WallTime At) {
  const auto Found = std::find_if(
      State.Moves.begin(), State.Moves.end(), [&](const MoveStatus &Each) {
        return Each.Id.Service == Service && !isFinal(Each);
      });
  if (Found != State.Moves.end())
    endMove(State, *Found, MoveStage::Superseded, At, std::nullopt);
}

Accepted nextVersion(FleetState &State) {
  State.Version = core::ConfigVersion(State.Version.value() + 1);
  return {State.Version};
}

std::string epochDetail(core::Epoch Carried, core::Epoch Current) {
  return fmt::format("epoch {}, current epoch {}", Carried.value(),
                     Current.value());
}

} // namespace filbertvane::config
