#include "filbertvane/decision/rollout/Schedule.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::rollout {

namespace {

/// Latest time of each share, as a part of the time between acceptance and the
/// planned completion.
struct Due {
  config::Permille Share;
  double Part;
};
constexpr std::array<Due, 7> Timetable{{{CanaryShare, 0.0},
                                        {100, 0.5},
                                        {250, 0.6},
                                        {500, 0.7},
                                        {750, 0.8},
                                        {950, 0.88},
                                        {config::FullShare, 1.0}}};

/// Reserve as a part of the whole time, for long moves.
constexpr int ReserveDivisor = 20;

/// Spare capacity that the new version's targets keep.
constexpr double Headroom = 1.25;

core::WallTime plannedEnd(const config::MoveStatus &Move) {
  const core::Milliseconds Whole = Move.Order.Deadline - Move.AcceptedAt;
  const core::Milliseconds Reserve =
      std::max<core::Milliseconds>(MinDeadlineReserve, Whole / ReserveDivisor);
  return std::max(Move.Order.Deadline - Reserve, Move.AcceptedAt);
}

double elapsedPart(const config::MoveStatus &Move, core::WallTime Now) {
  const core::WallTime End = dueAt(Move, 100);
  const auto Passed = static_cast<double>((Now - Move.AcceptedAt).count());
  const auto Whole = static_cast<double>((End - Move.AcceptedAt).count());
  return Whole <= 0 ? 1.0 : std::clamp(Passed / Whole, 1e-3, 1.0);
}

/// Whether each busy route has had StepAnswers since the last step.
bool stepEvidenceIn(const MoveProgress &Seen) {
  for (const auto &[Route, Counts] : Seen.TotalCounts) {
    if (Counts.New.Answers < MinCanaryAnswers)
      continue;
    const auto Before = Seen.CountsAtStep.find(Route);
    const std::uint64_t AtStep =
        Before == Seen.CountsAtStep.end() ? 0 : Before->second.New.Answers;
    if (Counts.New.Answers < AtStep + MinStepAnswers)
      return false;
  }
  return true;
}

config::Permille stepAfter(config::Permille Share) {
  const auto Next =
      std::upper_bound(ShareSteps.begin(), ShareSteps.end(), Share);
  return Next == ShareSteps.end() ? config::FullShare : *Next;
}

/// Share that the timetable alone asks for.
config::Permille dueShare(const config::MoveStatus &Move, core::WallTime Now) {
  config::Permille Share = 0;
  for (const Due &Entry : Timetable)
    if (Now >= dueAt(Move, Entry.Share))
      Share = Entry.Share;
  return Share;
}

config::Permille earlyShare(const config::MoveStatus &Move,
                            const MoveProgress &Seen, core::WallTime Now) {
  const config::Permille Next = stepAfter(Move.Share);
  if (Next > MaxComparableShare || Now < Seen.EarliestStepAt)
    return Move.Share;
  const bool Plain =
      hasEnoughEvidence(Move, Seen.TotalCounts, Now) && stepEvidenceIn(Seen);
  return Plain ? Next : Move.Share;
}

} // namespace

core::WallTime dueAt(const config::MoveStatus &Move, config::Permille Share) {
  const core::Milliseconds Whole = plannedEnd(Move) - Move.AcceptedAt;
  double Part = 1.0;
  for (auto Entry = Timetable.rbegin(); Entry != Timetable.rend(); ++Entry)
    if (Share <= Entry->Share)
      Part = Entry->Part;
  const auto Offset =
      static_cast<std::int64_t>(static_cast<double>(Whole.count()) * Part);
  return Move.AcceptedAt + core::Milliseconds(Offset);
}

bool hasEnoughEvidence(const config::MoveStatus &Move, const MoveCounts &Counts,
                       core::WallTime Now) {
  const double Elapsed = elapsedPart(Move, Now);
  bool Any = false;
  for (const auto &[Route, Seen] : Counts) {
    const bool Enough = Seen.New.Answers >= MinCanaryAnswers;
    const double Expected = static_cast<double>(Seen.New.Answers) / Elapsed;
    if (!Enough && Expected >= static_cast<double>(MinCanaryAnswers))
      return false;
    Any = Any || Enough;
  }
  return Any;
}

bool canaryMayEnd(const config::MoveStatus &Move, const MoveProgress &Seen,
                  core::WallTime Now) {
  return Now >= dueAt(Move, stepAfter(CanaryShare)) ||
         hasEnoughEvidence(Move, Seen.TotalCounts, Now);
}

config::Permille capacityShare(const ReadySlots &Slots) {
  if (Slots.New == 0)
    return 0;
  const double Needed = Headroom * Slots.InUse;
  if (Slots.Old == 0 || Needed <= Slots.New)
    return config::FullShare;
  return static_cast<config::Permille>(config::FullShare * Slots.New / Needed);
}

config::Permille nextShare(const config::MoveStatus &Move,
                           const MoveProgress &Seen, const ReadySlots &Slots,
                           core::WallTime Now) {
  config::Permille Share =
      std::max(dueShare(Move, Now), earlyShare(Move, Seen, Now));
  // One step of the ladder at a time, also after a long outage of the log.
  Share = std::min(Share, stepAfter(Move.Share));
  if (Move.Share > 0 && Now < Seen.EarliestStepAt)
    return Move.Share;
  if (!canaryMayEnd(Move, Seen, Now))
    Share = std::min(Share, CanaryShare);
  return std::max(Move.Share, std::min(Share, capacityShare(Slots)));
}

core::Status checkDeadline(const config::MoveOrder &Order, core::WallTime Now) {
  const auto Left =
      std::chrono::duration_cast<core::Seconds>(Order.Deadline - Now).count();
  if (Order.Deadline <= Now)
    return core::Error{
        core::ErrorCode::SheetTimePassed,
        fmt::format("move to {}: {} s ago", Order.To.value(), -Left)};
  if (Order.Deadline - Now < MinMoveDuration)
    return core::Error{
        core::ErrorCode::SheetTimeTooShort,
        fmt::format("move to {}: {} s are left, a move takes at least {} s",
                    Order.To.value(), Left, MinMoveDuration.count())};
  return std::monostate();
}

} // namespace filbertvane::decision::rollout
