#include "filbertvane/decision/mesh/MoveTracker.h"
#include "filbertvane/decision/rollout/SequentialTest.h"
#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

namespace {

/// @brief Step in the schedule of a move.
struct ScheduleStep {
  /// Fraction of the time until the deadline after which the step begins.
  double AfterFraction;
  std::uint32_t Permille;
};

/// The canary takes half of the time, since some faults appear only seconds
/// after the start. The steps after it leave a quarter of the time for the
/// completion.
constexpr std::array<ScheduleStep, 4> Schedule = {
    ScheduleStep{0.0, 50}, ScheduleStep{0.5, 200}, ScheduleStep{0.6, 500},
    ScheduleStep{0.68, 1000}};
/// Fraction of the time after which a move without faults is completed:
/// requests in progress at the old version have ended by then.
constexpr double CompletionFraction = 0.8;

/// Answers without fault that both versions need before mean times are
/// compared.
constexpr std::uint64_t MinimumTimedAnswers = 10;
/// Ratio of mean times above which the new version is rejected. Hosts of one
/// service differ in speed by a factor of up to 2.3.
constexpr double MaximumTimeRatio = 2.5;
/// Ratio of fault rates below which the new version is not rejected: load and
/// lost answers vary between hosts of one version.
constexpr double MinimumFaultRateRatio = 3;
/// Faults after which a host counts as showing a fault.
constexpr std::uint64_t MinimumFaultsPerHost = 2;
/// Answers after which a host counts in a verdict.
constexpr std::uint64_t MinimumAnswersPerHost = 4;

double elapsedFraction(const TrackedMove &Move, core::TimePoint Now) {
  const auto TotalTime =
      static_cast<double>((Move.Deadline - Move.StartedAt).count());
  const auto ElapsedTime = static_cast<double>((Now - Move.StartedAt).count());
  return TotalTime <= 0 ? 1.0 : ElapsedTime / TotalTime;
}

VersionSample toSample(const RouteTally &Tally) {
  return {Tally.Answers, Tally.Faults,
          static_cast<double>(Tally.TotalTime.count())};
}

void add(VersionSample &Total, const VersionSample &Sample) {
  Total.Answers += Sample.Answers;
  Total.Faults += Sample.Faults;
  Total.TotalTimeMs += Sample.TotalTimeMs;
}

std::optional<double> meanTimeMs(const VersionSample &Sample) {
  const std::uint64_t Successful =
      Sample.Answers - std::min(Sample.Answers, Sample.Faults);
  if (Successful < MinimumTimedAnswers)
    return std::nullopt;
  return Sample.TotalTimeMs / static_cast<double>(Successful);
}

/// @brief Evidence on one route.
struct RouteEvidence {
  VersionSample New;
  VersionSample Old;
  std::size_t HostsWithAnswers = 0;
  std::size_t HostsWithFaults = 0;
};

using Evidence = std::map<core::RouteName, RouteEvidence>;

Evidence gather(const core::TargetVersion &NewVersion,
                const std::vector<const TargetReport *> &Targets) {
  Evidence All;
  for (const TargetReport *Target : Targets)
    for (const RouteTally &Tally : Target->Tallies) {
      RouteEvidence &Route = All[Tally.Route];
      const bool IsNew = Target->Version == NewVersion;
      add(IsNew ? Route.New : Route.Old, toSample(Tally));
      if (IsNew && Tally.Answers >= MinimumAnswersPerHost)
        ++Route.HostsWithAnswers;
      if (IsNew && Tally.Faults >= MinimumFaultsPerHost)
        ++Route.HostsWithFaults;
    }
  return All;
}

double faultRate(const rollout::Sample &Sample) {
  return Sample.Answers == 0 ? 0.0
                             : static_cast<double>(Sample.Bad) /
                                   static_cast<double>(Sample.Answers);
}

bool hasProvenFaults(const RouteEvidence &Route) {
  const std::size_t Needed = Route.HostsWithAnswers >= 2 ? 2 : 1;
  if (Route.HostsWithFaults < Needed)
    return false;
  const rollout::Sample New{Route.New.Answers, Route.New.Faults};
  const rollout::Sample Old{Route.Old.Answers, Route.Old.Faults};
  if (faultRate(New) < MinimumFaultRateRatio * faultRate(Old))
    return false;
  const double Control = rollout::controlRate(Old, rollout::ControlErrorRate);
  return rollout::compareVersions(New, Old, Control) ==
         rollout::Finding::Proven;
}

bool isTooSlow(const RouteEvidence &Route) {
  const auto New = meanTimeMs(Route.New);
  const auto Old = meanTimeMs(Route.Old);
  return New && Old && *New > MaximumTimeRatio * *Old;
}

} // namespace

MoveVerdict evaluateMove(const TrackedMove &Move,
                         const std::vector<const TargetReport *> &Targets) {
  for (const auto &[Name, Route] : gather(Move.Order.NewVersion, Targets)) {
    if (hasProvenFaults(Route))
      return {true,
              fmt::format("route {}: {} of {} answers failed", Name.value(),
                          Route.New.Faults, Route.New.Answers)};
    if (isTooSlow(Route))
      return {true,
              fmt::format("route {}: {:.0f} ms against {:.0f} ms", Name.value(),
                          *meanTimeMs(Route.New), *meanTimeMs(Route.Old))};
  }
  return {};
}

bool MoveTracker::applyOrder(const MoveOrdered &Order, core::TimePoint Now) {
  const auto Found = Moves.find(Order.Service);
  if (Found != Moves.end() &&
      Found->second.Order.OrderOffset >= Order.OrderOffset)
    return false;
  auto &Uncompleted = UncompletedVersions[Order.Service];
  if (Found != Moves.end() && Found->second.Phase != MovePhase::Completed)
    Uncompleted.insert(Found->second.Order.NewVersion);
  Uncompleted.erase(Order.NewVersion);
  TrackedMove Move;
  Move.Order = Order;
  Move.StartedAt = Now;
  Move.Deadline = Now + Order.Duration;
  Moves.insert_or_assign(Order.Service, std::move(Move));
  return true;
}

void MoveTracker::applyReport(const MoveReport &Report, core::TimePoint Now) {
  const auto Found = Moves.find(Report.Service);
  if (Found == Moves.end() ||
      Found->second.Order.OrderOffset != Report.OrderOffset)
    return;
  TrackedMove &Move = Found->second;
  const core::TimePoint StartedAt = Now - Report.Elapsed;
  if (StartedAt < Move.StartedAt) {
    Move.Deadline -= Move.StartedAt - StartedAt;
    Move.StartedAt = StartedAt;
  }
  if (Report.Phase > Move.Phase && !Move.ended())
    Move.Phase = Report.Phase;
}

bool MoveTracker::advance(const core::ServiceName &Service, MovePhase Phase,
                          std::string Reason) {
  const auto Found = Moves.find(Service);
  if (Found == Moves.end() || Found->second.Phase >= Phase ||
      Found->second.ended())
    return false;
  Found->second.Phase = Phase;
  if (!Reason.empty())
    Found->second.Reason = std::move(Reason);
  return true;
}

VersionShares MoveTracker::shares(const core::ServiceName &Service,
                                  core::TimePoint Now) const {
  VersionShares Result;
  if (const auto Uncompleted = UncompletedVersions.find(Service);
      Uncompleted != UncompletedVersions.end())
    Result.Excluded = Uncompleted->second;
  const auto Found = Moves.find(Service);
  if (Found == Moves.end())
    return Result;
  const TrackedMove &Move = Found->second;
  switch (Move.Phase) {
  case MovePhase::Completed:
    Result.Exclusive = Move.Order.NewVersion;
    return Result;
  case MovePhase::Rejected:
  case MovePhase::RolledBack:
    Result.Excluded.insert(Move.Order.NewVersion);
    return Result;
  case MovePhase::Running:
    break;
  }
  Result.Candidate = Move.Order.NewVersion;
  const double Fraction = elapsedFraction(Move, Now);
  for (const ScheduleStep &Step : Schedule)
    if (Fraction >= Step.AfterFraction)
      Result.CandidatePermille = Step.Permille;
  return Result;
}

bool MoveTracker::readyToComplete(const TrackedMove &Move,
                                  core::TimePoint Now) const {
  return Move.Phase == MovePhase::Running &&
         elapsedFraction(Move, Now) >= CompletionFraction;
}

std::vector<MoveReport> MoveTracker::reports(core::TimePoint Now) const {
  std::vector<MoveReport> All;
  for (const auto &[Service, Move] : Moves)
    All.push_back(
        {Service, Move.Order.NewVersion, Move.Order.OrderOffset, Move.Phase,
         std::chrono::duration_cast<core::Milliseconds>(Now - Move.StartedAt)});
  return All;
}

} // namespace filbertvane::decision::mesh
