#include "Reduction.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

namespace {

/// Delay between the writes of nodes that are next to each other in rank:
/// longer than a write and the report of its outcome take.
constexpr core::Milliseconds WriteStagger{700};
/// Rank above which the delay no longer grows.
constexpr std::size_t MaximumStaggerRank = 4;
/// Time after which a write without effect is retried.
constexpr core::Milliseconds WriteRetryInterval{1500};
/// Minimum time between reports of bad answers of a new version. Periodic
/// reports to other data centres are seconds apart, in which a version that
/// fails under its full load gets too many requests.
constexpr core::Milliseconds BadAnswerReportInterval{250};
/// Nodes that sum up the evidence of the whole fleet on a move: two, so that
/// one may fail or be cut off.
constexpr std::size_t MoveReviewers = 2;
/// Nodes that write the end of a move again after a restore: any two of them
/// may end before their turn.
constexpr std::size_t MoveStateWriters = 3;

std::string_view nameOf(MovePhase Phase) {
  switch (Phase) {
  case MovePhase::Running:
    return "in_progress";
  case MovePhase::Rejected:
    return "rejected";
  case MovePhase::Completed:
    return "completed";
  case MovePhase::RolledBack:
    return "rolled_back";
  }
  return "unknown";
}

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

void Reduction::operator()(const MoveOrdered &Order) {
  if (!State.Moves.applyOrder(Order, Now))
    return;
  State.PendingMoveWrites.erase(Order.Service);
  // The versions are compared over the same period: earlier answers of the old
  // version would hide a fault that now affects both.
  if (State.Target && State.Target->Announcement.Service == Order.Service)
    State.Target->Tallies.clear();
  log(observe::EventId::MeshMoveOrdered,
      fmt::format("service={} to={} duration_ms={} order={} old={}",
                  Order.Service.value(), Order.NewVersion.value(),
                  Order.Duration.count(), Order.OrderPosition.offset().value(),
                  Order.FromHistory));
  // The first state adds nothing to the order, so that one writer suffices.
  if (!Order.FromHistory && rankFor(Order.Service.value()) == 0)
    scheduleMoveWrite(Order.Service, MovePhase::Running);
}

void Reduction::operator()(const MoveStateRead &Stored) {
  const auto Found = State.Moves.moves().find(Stored.Service);
  if (Found == State.Moves.moves().end() ||
      Found->second.Order.NewVersion != Stored.NewVersion)
    return;
  const auto Pending = State.PendingMoveWrites.find(Stored.Service);
  if (Pending != State.PendingMoveWrites.end() && Pending->second.Phase &&
      *Pending->second.Phase <= Stored.Phase)
    Pending->second.Phase.reset();
  recordOtherEnd(Stored, Found->second);
  if (!State.Moves.advance(Stored.Service, Stored.Phase, ""))
    return;
  log(observe::EventId::MeshMoveEnded,
      fmt::format("service={} to={} phase={}", Stored.Service.value(),
                  Stored.NewVersion.value(), nameOf(Stored.Phase)));
  reportToAll();
}

/// Two ends can be written when a restore loses the first one; the operator may
/// have acted on either, so that none is overwritten.
void Reduction::recordOtherEnd(const MoveStateRead &Stored,
                               const TrackedMove &Move) {
  if (!Move.ended() || Stored.Phase < MovePhase::Completed ||
      Stored.Phase == Move.Phase)
    return;
  State.PendingMoveWrites.erase(Stored.Service);
  log(observe::EventId::MeshMoveEndsDiffer,
      fmt::format("service={} to={} stored={} in_force={}",
                  Stored.Service.value(), Stored.NewVersion.value(),
                  nameOf(Stored.Phase), nameOf(Move.Phase)));
}

/// The first nodes by rank write what the store may have lost; each looks first
/// whether it stands there.
void Reduction::rewriteMoveStates() {
  for (const auto &[Service, Move] : State.Moves.moves()) {
    const std::size_t Writers = Move.ended() ? MoveStateWriters : 1;
    if (Move.Phase != MovePhase::Rejected && rankFor(Service.value()) < Writers)
      scheduleMoveWrite(Service, Move.Phase);
  }
}

void Reduction::scheduleMoveWrite(const core::ServiceName &Service,
                                  MovePhase Phase) {
  PendingMoveWrite &Pending = State.PendingMoveWrites[Service];
  if (Pending.Phase && *Pending.Phase >= Phase)
    return;
  Pending.Phase = Phase;
  const std::size_t Rank =
      std::min(rankFor(Service.value()), MaximumStaggerRank);
  Pending.WriteAt = Now + WriteStagger * static_cast<int>(Rank);
}

void Reduction::writeMoveIfDue(const TrackedMove &Move) {
  const auto Found = State.PendingMoveWrites.find(Move.Order.Service);
  if (Found == State.PendingMoveWrites.end() || !Found->second.Phase ||
      Now < Found->second.WriteAt)
    return;
  PendingMoveWrite &Pending = Found->second;
  Pending.WriteAt = Now + WriteRetryInterval;
  const MovePhase Phase = *Pending.Phase;
  if (Phase == MovePhase::Running)
    Pending.Phase.reset();
  Produced.emplace_back(
      WriteMove{Move.Order.Service, Move.Order.NewVersion, Phase});
}

void Reduction::reviewMove(const TrackedMove &Move) {
  const core::ServiceName Service = Move.Order.Service;
  if (Move.Phase == MovePhase::Running) {
    const auto Targets = targetsOf(Service);
    const MoveVerdict Verdict = evaluateMove(Move, Targets);
    const bool Rejected = Verdict.Result == rollout::Finding::Proven ||
                          (Verdict.Result == rollout::Finding::Suspected &&
                           State.Moves.mustDecide(Move, Now));
    if (Rejected) {
      log(observe::EventId::MeshVersionRejected,
          fmt::format("service={} to={} evidence=\"{}\"", Service.value(),
                      Move.Order.NewVersion.value(), Verdict.Reason));
      State.Moves.advance(Service, MovePhase::Rejected, Verdict.Reason);
      reportToAll();
    } else if (Verdict.Result == rollout::Finding::Suspected) {
      State.Moves.withdrawSufficientEvidence(Service);
    } else if (Verdict.Sufficient) {
      State.Moves.recordSufficientEvidence(Service, Now);
    }
    if (State.Moves.readyToComplete(Move, Now) &&
        hasReadyTarget(Service, Move.Order.NewVersion, {{}, {}}))
      scheduleMoveWrite(Service, MovePhase::Completed);
  }
  if (Move.Phase == MovePhase::Rejected)
    scheduleMoveWrite(Service, MovePhase::RolledBack);
  writeMoveIfDue(Move);
}

/// Faults that a larger share brings out are not diluted by the answers before.
void Reduction::startTallyStep() {
  if (!State.Target)
    return;
  const std::uint32_t Permille =
      State.Moves.shares(State.Target->Announcement.Service, Now)
          .CandidatePermille;
  if (Permille == State.Target->StepPermille)
    return;
  State.Target->StepPermille = Permille;
  State.Target->StepTallies.clear();
}

void Reduction::reportBadAnswers() {
  if (!State.HasBadAnswerToReport || Now < State.NextBadAnswerReportAt)
    return;
  State.HasBadAnswerToReport = false;
  if (!State.Target)
    return;
  const TargetAnnounced &Target = State.Target->Announcement;
  const auto Move = State.Moves.moves().find(Target.Service);
  if (Move == State.Moves.moves().end() ||
      Move->second.Phase != MovePhase::Running ||
      Move->second.Order.NewVersion != Target.Version)
    return;
  State.NextBadAnswerReportAt = Now + BadAnswerReportInterval;
  reportToAll();
}

bool Reduction::isExcluded(const TargetAnnounced &Target) const {
  return State.Moves.shares(Target.Service, Now)
      .Excluded.contains(Target.Version);
}

void Reduction::reviewMoves() {
  for (const auto &[Service, Move] : State.Moves.moves())
    reviewMove(Move);
  if (State.Target && isExcluded(State.Target->Announcement))
    refuseQueued(core::ErrorCode::RequestNoTarget, {});
}

} // namespace filbertvane::decision::mesh
