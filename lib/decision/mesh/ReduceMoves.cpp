#include "Reduction.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

namespace {

/// Lead of each node over the next one for a write: longer than a write and a
/// report of its outcome take.
constexpr core::Milliseconds WriteLead{700};
/// Nodes further down wait no longer than this together.
constexpr std::size_t MostLeads = 4;
/// Time after which a write that had no effect is tried again.
constexpr core::Milliseconds RewriteAfter{1500};

} // namespace

std::vector<const TargetReport *>
Reduction::targetsOf(const core::ServiceName &Service) const {
  std::vector<const TargetReport *> Found;
  LocalReport = localTargetReport(State);
  if (LocalReport && LocalReport->Service == Service)
    Found.push_back(&*LocalReport);
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (Host.Report.Target && Host.Report.Target->Service == Service)
      Found.push_back(&*Host.Report.Target);
  return Found;
}

void Reduction::operator()(const MoveOrdered &What) {
  if (!State.Moves.applyOrder(What, Now))
    return;
  State.PendingMoveWrites.erase(What.Service);
  // The versions are compared over the same time: what the old one did before
  // says nothing about a fault that both meet now.
  if (State.Target && State.Target->Announcement.Service == What.Service)
    State.Target->Tallies.clear();
  log(observe::EventId::MeshMoveOrdered,
      fmt::format("service={} to={} duration_ms={} order={} old={}",
                  What.Service.value(), What.NewVersion.value(),
                  What.Duration.count(), What.OrderOffset.value(),
                  What.FromHistory));
  // The first state says no more than the order, so one writer is enough.
  if (!What.FromHistory && rankFor(What.Service.value()) == 0)
    scheduleMoveWrite(What.Service, MovePhase::Running);
}

void Reduction::operator()(const MoveStateRead &What) {
  const auto Found = State.Moves.moves().find(What.Service);
  if (Found == State.Moves.moves().end() ||
      Found->second.Order.NewVersion != What.NewVersion)
    return;
  const auto Duty = State.PendingMoveWrites.find(What.Service);
  if (Duty != State.PendingMoveWrites.end() && Duty->second.Phase &&
      *Duty->second.Phase <= What.Phase)
    Duty->second.Phase.reset();
  if (!State.Moves.advance(What.Service, What.Phase, ""))
    return;
  log(observe::EventId::MeshMoveEnded,
      fmt::format("service={} to={} phase={}", What.Service.value(),
                  What.NewVersion.value(),
                  What.Phase == MovePhase::Completed ? "completed"
                                                     : "rolled_back"));
  reportToAll();
}

void Reduction::scheduleMoveWrite(const core::ServiceName &Service,
                                  MovePhase Phase) {
  PendingMoveWrite &Duty = State.PendingMoveWrites[Service];
  if (Duty.Phase && *Duty.Phase >= Phase)
    return;
  Duty.Phase = Phase;
  const std::size_t Rank = std::min(rankFor(Service.value()), MostLeads);
  Duty.WriteAt = Now + WriteLead * static_cast<int>(Rank);
}

void Reduction::writeMoveIfDue(const TrackedMove &Move) {
  const auto Found = State.PendingMoveWrites.find(Move.Order.Service);
  if (Found == State.PendingMoveWrites.end() || !Found->second.Phase ||
      Now < Found->second.WriteAt)
    return;
  PendingMoveWrite &Duty = Found->second;
  Duty.WriteAt = Now + RewriteAfter;
  const MovePhase Phase = *Duty.Phase;
  if (Phase == MovePhase::Running)
    Duty.Phase.reset();
  Produced.emplace_back(
      WriteMove{Move.Order.Service, Move.Order.NewVersion, Phase});
}

void Reduction::reviewMove(const TrackedMove &Move) {
  const core::ServiceName Service = Move.Order.Service;
  if (Move.Phase == MovePhase::Running) {
    const auto Targets = targetsOf(Service);
    const MoveVerdict Verdict = evaluateMove(Move, Targets);
    if (Verdict.Rejected) {
      log(observe::EventId::MeshVersionRejected,
          fmt::format("service={} to={} evidence=\"{}\"", Service.value(),
                      Move.Order.NewVersion.value(), Verdict.Reason));
      State.Moves.advance(Service, MovePhase::Rejected, Verdict.Reason);
      reportToAll();
    } else if (State.Moves.readyToComplete(Move, Now) &&
               hasReadyTarget(Service, Move.Order.NewVersion)) {
      scheduleMoveWrite(Service, MovePhase::Completed);
    }
  }
  if (Move.Phase == MovePhase::Rejected)
    scheduleMoveWrite(Service, MovePhase::RolledBack);
  if (!Move.ended())
    writeMoveIfDue(Move);
}

void Reduction::reviewMoves() {
  for (const auto &[Service, Move] : State.Moves.moves())
    reviewMove(Move);
}

} // namespace filbertvane::decision::mesh
