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
  OwnReported = ownTargetReport(State);
  if (OwnReported && OwnReported->Service == Service)
    Found.push_back(&*OwnReported);
  for (const auto &[Node, Host] : State.Hosts.hosts())
    if (Host.Report.Target && Host.Report.Target->Service == Service)
      Found.push_back(&*Host.Report.Target);
  return Found;
}

void Reduction::operator()(const MoveOrdered &What) {
  if (!State.Moves.order(What, Now))
    return;
  State.Duties.erase(What.Service);
  // The versions are compared over the same time: what the old one did before
  // says nothing about a fault that both meet now.
  if (State.Target && State.Target->Last.Service == What.Service)
    State.Target->Tallies.clear();
  log(observe::EventId::MeshMoveOrdered,
      fmt::format("service={} to={} duration_ms={} order={} old={}",
                  What.Service.value(), What.To.value(), What.Duration.count(),
                  What.Order.value(), What.Old));
  // The first state says no more than the order, so one writer is enough.
  if (!What.Old && rankFor(What.Service.value()) == 0)
    wantWrite(What.Service, MovePhase::Running);
}

void Reduction::operator()(const MoveEndKnown &What) {
  const auto Found = State.Moves.moves().find(What.Service);
  if (Found == State.Moves.moves().end() || Found->second.What.To != What.To)
    return;
  const auto Duty = State.Duties.find(What.Service);
  if (Duty != State.Duties.end() && Duty->second.Wanted &&
      *Duty->second.Wanted <= What.Phase)
    Duty->second.Wanted.reset();
  if (!State.Moves.advance(What.Service, What.Phase, ""))
    return;
  log(observe::EventId::MeshMoveEnded,
      fmt::format(
          "service={} to={} phase={}", What.Service.value(), What.To.value(),
          What.Phase == MovePhase::Completed ? "completed" : "rolled_back"));
  reportToAll();
}

void Reduction::wantWrite(const core::ServiceName &Service, MovePhase Phase) {
  MoveDuty &Duty = State.Duties[Service];
  if (Duty.Wanted && *Duty.Wanted >= Phase)
    return;
  Duty.Wanted = Phase;
  const std::size_t Rank = std::min(rankFor(Service.value()), MostLeads);
  Duty.WriteAt = Now + WriteLead * static_cast<int>(Rank);
}

void Reduction::writeDue(const TrackedMove &Move) {
  const auto Found = State.Duties.find(Move.What.Service);
  if (Found == State.Duties.end() || !Found->second.Wanted ||
      Now < Found->second.WriteAt)
    return;
  MoveDuty &Duty = Found->second;
  Duty.WriteAt = Now + RewriteAfter;
  const MovePhase Phase = *Duty.Wanted;
  if (Phase == MovePhase::Running)
    Duty.Wanted.reset();
  Out.emplace_back(WriteMove{Move.What.Service, Move.What.To, Phase});
}

void Reduction::reviewMove(const TrackedMove &Move) {
  const core::ServiceName Service = Move.What.Service;
  if (Move.Phase == MovePhase::Running) {
    const auto Targets = targetsOf(Service);
    const MoveVerdict Verdict = judgeMove(Move, Targets);
    if (Verdict.Bad) {
      log(observe::EventId::MeshMoveCondemned,
          fmt::format("service={} to={} evidence=\"{}\"", Service.value(),
                      Move.What.To.value(), Verdict.Reason));
      State.Moves.advance(Service, MovePhase::Condemned, Verdict.Reason);
      reportToAll();
    } else if (State.Moves.settled(Move, Now) &&
               hasReady(Service, Move.What.To)) {
      wantWrite(Service, MovePhase::Completed);
    }
  }
  if (Move.Phase == MovePhase::Condemned)
    wantWrite(Service, MovePhase::RolledBack);
  if (!Move.over())
    writeDue(Move);
}

void Reduction::reviewMoves() {
  for (const auto &[Service, Move] : State.Moves.moves())
    reviewMove(Move);
}

} // namespace filbertvane::decision::mesh
