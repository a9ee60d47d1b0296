#include "filbertvane/decision/rollout/Schedule.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::rollout {

namespace {

/// Scheduled time of a share, as a fraction of the time from acceptance to the
/// planned completion.
struct ScheduledShare {
  config::Permille Share;
  double Fraction;
};
constexpr std::array<ScheduledShare, 7> ShareSchedule{
    {{CanaryShare, 0.0},
     {100, 0.5},
     {250, 0.6},
     {500, 0.7},
     {750, 0.8},
     {950, 0.88},
     {config::FullShare, 1.0}}};

/// Long moves reserve this fraction of their time, as a divisor.
constexpr int ReserveDivisor = 20;

/// Slots that the new version needs per slot in use, to keep spare capacity.
constexpr double CapacityHeadroom = 1.25;

core::WallTime plannedEnd(const config::MoveStatus &Move) {
  const core::Milliseconds Duration = Move.Order.Deadline - Move.AcceptedAt;
  const core::Milliseconds Reserve = std::max<core::Milliseconds>(
      MinDeadlineReserve, Duration / ReserveDivisor);
  return std::max(Move.Order.Deadline - Reserve, Move.AcceptedAt);
}

double elapsedFraction(const config::MoveStatus &Move, core::WallTime Now) {
  const core::WallTime End = dueAt(Move, 100);
  const auto Elapsed = static_cast<double>((Now - Move.AcceptedAt).count());
  const auto Duration = static_cast<double>((End - Move.AcceptedAt).count());
  return Duration <= 0 ? 1.0 : std::clamp(Elapsed / Duration, 1e-3, 1.0);
}

/// Whether each busy route has had MinStepAnswers since the last step.
bool hasEnoughStepEvidence(const MoveProgress &Progress) {
  for (const auto &[Route, Counts] : Progress.TotalCounts) {
    if (Counts.New.Answers < MinCanaryAnswers)
      continue;
    const auto Before = Progress.CountsAtStep.find(Route);
    const std::uint64_t AtStep =
        Before == Progress.CountsAtStep.end() ? 0 : Before->second.New.Answers;
    if (Counts.New.Answers < AtStep + MinStepAnswers)
      return false;
  }
  return true;
}

config::Permille nextStep(config::Permille Share) {
  const auto Next =
      std::upper_bound(ShareSteps.begin(), ShareSteps.end(), Share);
  return Next == ShareSteps.end() ? config::FullShare : *Next;
}

/// Highest share whose scheduled time has passed.
config::Permille scheduledShare(const config::MoveStatus &Move,
                                core::WallTime Now) {
  config::Permille Share = 0;
  for (const ScheduledShare &Entry : ShareSchedule)
    if (Now >= dueAt(Move, Entry.Share))
      Share = Entry.Share;
  return Share;
}

config::Permille earlyShare(const config::MoveStatus &Move,
                            const MoveProgress &Progress, core::WallTime Now) {
  const config::Permille Next = nextStep(Move.Share);
  if (Next > MaxComparableShare || Now < Progress.EarliestStepAt)
    return Move.Share;
  const bool IsSufficient =
      hasEnoughEvidence(Move, Progress.TotalCounts, Now) &&
      hasEnoughStepEvidence(Progress);
  return IsSufficient ? Next : Move.Share;
}

} // namespace

core::WallTime dueAt(const config::MoveStatus &Move, config::Permille Share) {
  const core::Milliseconds Duration = plannedEnd(Move) - Move.AcceptedAt;
  double Fraction = 1.0;
  for (auto Entry = ShareSchedule.rbegin(); Entry != ShareSchedule.rend();
       ++Entry)
    if (Share <= Entry->Share)
      Fraction = Entry->Fraction;
  const auto Offset = static_cast<std::int64_t>(
      static_cast<double>(Duration.count()) * Fraction);
  return Move.AcceptedAt + core::Milliseconds(Offset);
}

bool hasEnoughEvidence(const config::MoveStatus &Move, const MoveCounts &Counts,
                       core::WallTime Now) {
  const double Elapsed = elapsedFraction(Move, Now);
  bool AnyEnough = false;
  for (const auto &[Route, Added] : Counts) {
    const bool Enough = Added.New.Answers >= MinCanaryAnswers;
    const double Expected = static_cast<double>(Added.New.Answers) / Elapsed;
    if (!Enough && Expected >= static_cast<double>(MinCanaryAnswers))
      return false;
    AnyEnough = AnyEnough || Enough;
  }
  return AnyEnough;
}

bool canaryMayEnd(const config::MoveStatus &Move, const MoveProgress &Progress,
                  core::WallTime Now) {
  return Now >= dueAt(Move, nextStep(CanaryShare)) ||
         hasEnoughEvidence(Move, Progress.TotalCounts, Now);
}

config::Permille capacityShare(const ReadySlots &Slots) {
  if (Slots.New == 0)
    return 0;
  const double Needed = CapacityHeadroom * Slots.InUse;
  if (Slots.Old == 0 || Needed <= Slots.New)
    return config::FullShare;
  return static_cast<config::Permille>(config::FullShare * Slots.New / Needed);
}

config::Permille nextShare(const config::MoveStatus &Move,
                           const MoveProgress &Progress,
                           const ReadySlots &Slots, core::WallTime Now) {
  config::Permille Share =
      std::max(scheduledShare(Move, Now), earlyShare(Move, Progress, Now));
  // No step is skipped, even after a long outage of the log.
  Share = std::min(Share, nextStep(Move.Share));
  if (Move.Share > 0 && Now < Progress.EarliestStepAt)
    return Move.Share;
  if (!canaryMayEnd(Move, Progress, Now))
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
