#include "filbertvane/decision/mesh/MoveTracker.h"
#include "filbertvane/decision/rollout/SequentialTest.h"
#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

namespace {

/// @brief Step of a move's schedule.
struct Step {
  /// Part of the time until the deadline after which the step begins.
  double After;
  std::uint32_t Permille;
};

/// The canary lasts for half of the time, since some faults show only seconds
/// after the start; the steps after it leave a quarter of the time for the end.
constexpr std::array<Step, 4> Schedule = {Step{0.0, 50}, Step{0.5, 200},
                                          Step{0.6, 500}, Step{0.68, 1000}};
/// Part of the time after which a sound move is completed: requests under way
/// at the old version have ended by then.
constexpr double CompleteAfter = 0.8;

/// Answers without fault from which on mean times are compared.
constexpr std::uint64_t LeastTimedAnswers = 10;
/// A version whose answers take this many times as long as the others' is bad.
/// Hosts of one service differ by up to 2.3 times in speed.
constexpr double SlowFactor = 2.5;
/// A new version whose rate of faults is below this many times that of the old
/// one is not blamed: load and lost answers vary between hosts of one version.
constexpr double LeastRateFactor = 3;
/// Answers with a fault at one host that say something about it.
constexpr std::uint64_t LeastFaultsPerHost = 2;
/// Answers from which on a host takes part in a verdict.
constexpr std::uint64_t LeastAnswersPerHost = 4;

double partOfTime(const TrackedMove &Move, core::TimePoint Now) {
  const auto Whole = static_cast<double>((Move.Deadline - Move.Began).count());
  const auto Passed = static_cast<double>((Now - Move.Began).count());
  return Whole <= 0 ? 1.0 : Passed / Whole;
}

VersionSample sampleOf(const RouteTally &Tally) {
  return {Tally.Answers, Tally.Faults, static_cast<double>(Tally.Time.count())};
}

void add(VersionSample &To, const VersionSample &More) {
  To.Answers += More.Answers;
  To.Faults += More.Faults;
  To.TimeMs += More.TimeMs;
}

std::optional<double> meanTime(const VersionSample &Of) {
  const std::uint64_t Good = Of.Answers - std::min(Of.Answers, Of.Faults);
  if (Good < LeastTimedAnswers)
    return std::nullopt;
  return Of.TimeMs / static_cast<double>(Good);
}

/// @brief Evidence on one route.
struct RouteEvidence {
  VersionSample New;
  VersionSample Old;
  std::size_t HostsHeard = 0;
  std::size_t HostsFaulty = 0;
};

using Evidence = std::map<core::RouteName, RouteEvidence>;

Evidence gather(const core::TargetVersion &To,
                const std::vector<const TargetReport *> &Targets) {
  Evidence All;
  for (const TargetReport *Target : Targets)
    for (const RouteTally &Tally : Target->Tallies) {
      RouteEvidence &Route = All[Tally.Route];
      const bool IsNew = Target->Version == To;
      add(IsNew ? Route.New : Route.Old, sampleOf(Tally));
      if (IsNew && Tally.Answers >= LeastAnswersPerHost)
        ++Route.HostsHeard;
      if (IsNew && Tally.Faults >= LeastFaultsPerHost)
        ++Route.HostsFaulty;
    }
  return All;
}

double faultRate(const rollout::Sample &Of) {
  return Of.Answers == 0
             ? 0.0
             : static_cast<double>(Of.Bad) / static_cast<double>(Of.Answers);
}

bool faultsProven(const RouteEvidence &Route) {
  const std::size_t Needed = Route.HostsHeard >= 2 ? 2 : 1;
  if (Route.HostsFaulty < Needed)
    return false;
  const rollout::Sample New{Route.New.Answers, Route.New.Faults};
  const rollout::Sample Old{Route.Old.Answers, Route.Old.Faults};
  if (faultRate(New) < LeastRateFactor * faultRate(Old))
    return false;
  const double Control = rollout::controlRate(Old, rollout::ControlErrorRate);
  return rollout::compareVersions(New, Old, Control) ==
         rollout::Finding::Proven;
}

bool slownessProven(const RouteEvidence &Route) {
  const auto New = meanTime(Route.New);
  const auto Old = meanTime(Route.Old);
  return New && Old && *New > SlowFactor * *Old;
}

} // namespace

MoveVerdict judgeMove(const TrackedMove &Move,
                      const std::vector<const TargetReport *> &Targets) {
  for (const auto &[Name, Route] : gather(Move.What.To, Targets)) {
    if (faultsProven(Route))
      return {true,
              fmt::format("route {}: {} of {} answers failed", Name.value(),
                          Route.New.Faults, Route.New.Answers)};
    if (slownessProven(Route))
      return {true,
              fmt::format("route {}: {:.0f} ms against {:.0f} ms", Name.value(),
                          *meanTime(Route.New), *meanTime(Route.Old))};
  }
  return {};
}

bool MoveTracker::order(const MoveOrdered &What, core::TimePoint Now) {
  const auto Found = Moves.find(What.Service);
  if (Found != Moves.end() && Found->second.What.Order >= What.Order)
    return false;
  auto &Doubted = Unproven[What.Service];
  if (Found != Moves.end() && Found->second.Phase != MovePhase::Completed)
    Doubted.insert(Found->second.What.To);
  Doubted.erase(What.To);
  TrackedMove Move;
  Move.What = What;
  Move.Began = Now;
  Move.Deadline = Now + What.Duration;
  Moves.insert_or_assign(What.Service, std::move(Move));
  return true;
}

void MoveTracker::hear(const MoveReport &What, core::TimePoint Now) {
  const auto Found = Moves.find(What.Service);
  if (Found == Moves.end() || Found->second.What.Order != What.Order)
    return;
  TrackedMove &Move = Found->second;
  const core::TimePoint Began = Now - What.Elapsed;
  if (Began < Move.Began) {
    Move.Deadline -= Move.Began - Began;
    Move.Began = Began;
  }
  if (What.Phase > Move.Phase && !Move.over())
    Move.Phase = What.Phase;
}

bool MoveTracker::advance(const core::ServiceName &Service, MovePhase To,
                          std::string Reason) {
  const auto Found = Moves.find(Service);
  if (Found == Moves.end() || Found->second.Phase >= To || Found->second.over())
    return false;
  Found->second.Phase = To;
  if (!Reason.empty())
    Found->second.Reason = std::move(Reason);
  return true;
}

VersionShares MoveTracker::shares(const core::ServiceName &Service,
                                  core::TimePoint Now) const {
  VersionShares Result;
  if (const auto Doubted = Unproven.find(Service); Doubted != Unproven.end())
    Result.Banned = Doubted->second;
  const auto Found = Moves.find(Service);
  if (Found == Moves.end())
    return Result;
  const TrackedMove &Move = Found->second;
  switch (Move.Phase) {
  case MovePhase::Completed:
    Result.Only = Move.What.To;
    return Result;
  case MovePhase::Condemned:
  case MovePhase::RolledBack:
    Result.Banned.insert(Move.What.To);
    return Result;
  case MovePhase::Running:
    break;
  }
  Result.Candidate = Move.What.To;
  const double Part = partOfTime(Move, Now);
  for (const Step &Each : Schedule)
    if (Part >= Each.After)
      Result.CandidatePermille = Each.Permille;
  return Result;
}

bool MoveTracker::settled(const TrackedMove &Move, core::TimePoint Now) const {
  return Move.Phase == MovePhase::Running &&
         partOfTime(Move, Now) >= CompleteAfter;
}

std::vector<MoveReport> MoveTracker::reports(core::TimePoint Now) const {
  std::vector<MoveReport> All;
  for (const auto &[Service, Move] : Moves)
    All.push_back(
        {Service, Move.What.To, Move.What.Order, Move.Phase,
         std::chrono::duration_cast<core::Milliseconds>(Now - Move.Began)});
  return All;
}

} // namespace filbertvane::decision::mesh
