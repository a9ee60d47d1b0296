#include "filbertvane/decision/mesh/MoveTracker.h"
#include "filbertvane/decision/rollout/SequentialTest.h"
#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

using rollout::Finding;

namespace {

/// @brief Step in the schedule of a move.
struct ScheduleStep {
  /// Fraction of the time until the deadline after which the step begins.
  double AfterFraction;
  std::uint32_t Permille;
};

/// The canary takes half of the time, since some faults appear only seconds
/// after the start. The steps after it are short, so that a fault that appears
/// under more load is found while the new version has got less than a tenth of
/// the requests of the whole time.
constexpr std::array<ScheduleStep, 5> Schedule = {
    ScheduleStep{0.0, 60}, ScheduleStep{0.5, 100}, ScheduleStep{0.6, 250},
    ScheduleStep{0.66, 500}, ScheduleStep{0.72, 1000}};
/// Fraction of the time at which a move stops until the evidence is sufficient.
constexpr double GatedFraction = 0.6;
/// Share of the new version meanwhile, in thousandths: with it, the new version
/// gets less than a tenth of the requests also if the move stops for good.
constexpr std::uint32_t GatedPermille = 100;
/// Fraction of the time after which a move without faults is completed:
/// requests in progress at the old version have ended by then.
constexpr double CompletionFraction = 0.82;

/// Fraction of the time after which a new version that is still suspected is
/// rejected: no time is left to complete the move.
constexpr double SuspicionFraction = 0.85;

/// Answers of the new version among which a fault or a delay of one in four
/// raises a suspicion with a probability of 0.99.
constexpr std::uint64_t SufficientAnswers = 60;
/// Logarithm of the likelihood ratio above which a version is suspected. Of
/// good versions, whose share of slow answers is the tolerated one, one in a
/// hundred exceeds it after sixty answers; this only delays its move.
constexpr double SuspicionLogRatio = 1.5;

/// @brief What counts as slow, and how much of it is tolerated.
struct SlowLimit {
  /// An answer is slow when it takes longer than this multiple of the median of
  /// the other versions, which holds when some of their hosts are slow.
  int MedianFactor;
  /// Share of slow answers that is tolerated in any version.
  double ToleratedRate;
};

/// Hosts of one service differ in speed by a factor of up to 3: the rate is
/// that of a slow host with widely spread answer times.
constexpr SlowLimit RejectionLimit{4, 0.1};
constexpr SlowLimit SuspicionLimit{3, 0.05};
/// Answers of the other versions below which there is no median to compare
/// with.
constexpr std::uint64_t MinimumOldTimes = 10;
/// Ratios of the rates of the versions below which the new one is not rejected.
/// Load and lost answers vary between hosts of one version; a slow host of the
/// old version must not hide a new version that is slow everywhere.
constexpr double MinimumFaultRateRatio = 3;
constexpr double MinimumSlowRateRatio = 2;
/// Difference of the rates that suffices whatever their ratio: where the other
/// versions fail often as well, no rate is a multiple of theirs.
constexpr double SufficientRateDifference = 0.25;
/// Bad answers after which a host counts as showing them.
constexpr std::uint64_t MinimumFaultsPerHost = 2;
/// Answers after which a host counts in a verdict.
constexpr std::uint64_t MinimumAnswersPerHost = 4;

/// Restores during one move whose positions are remembered.
constexpr std::size_t MaximumFormerPositions = 8;

double fractionOf(const TrackedMove &Move, core::Microseconds Time) {
  const core::Microseconds TotalTime = Move.Deadline - Move.StartedAt;
  if (TotalTime.count() <= 0)
    return 1;
  return static_cast<double>(Time.count()) /
         static_cast<double>(TotalTime.count());
}

bool isGated(const TrackedMove &Move, core::TimePoint Now) {
  return !Move.SufficientSince &&
         fractionOf(Move, Now - Move.StartedAt) >= GatedFraction;
}

/// Position in the schedule: late evidence delays the steps after the gate.
double schedulePosition(const TrackedMove &Move, core::TimePoint Now) {
  const double Elapsed = fractionOf(Move, Now - Move.StartedAt);
  if (Elapsed < GatedFraction || !Move.SufficientSince)
    return std::min(Elapsed, GatedFraction);
  return std::min(Elapsed, GatedFraction +
                               fractionOf(Move, Now - *Move.SufficientSince));
}

/// @brief Answers of one version on one route, summed over hosts.
struct VersionSample {
  rollout::Sample Faults;
  AnswerTimes Times;
  AnswerTimes CutOffTimes;
};

/// @brief Evidence on one route.
struct RouteEvidence {
  VersionSample New;
  VersionSample Old;
  /// Tallies of the new version, one for each host.
  std::vector<const RouteTally *> NewHosts;
};

using Evidence = std::map<core::RouteName, RouteEvidence>;

Evidence gather(const core::TargetVersion &NewVersion,
                const std::vector<const TargetReport *> &Targets,
                std::vector<RouteTally> TargetReport::*Tallies) {
  Evidence All;
  for (const TargetReport *Target : Targets)
    for (const RouteTally &Tally : Target->*Tallies) {
      RouteEvidence &Route = All[Tally.Route];
      const bool IsNew = Target->Version == NewVersion;
      VersionSample &Version = IsNew ? Route.New : Route.Old;
      Version.Faults.Answers += Tally.Answers;
      Version.Faults.Bad += Tally.Faults;
      Version.Times = Version.Times + Tally.Times;
      Version.CutOffTimes = Version.CutOffTimes + Tally.CutOffTimes;
      if (IsNew)
        Route.NewHosts.push_back(&Tally);
    }
  return All;
}

double badRate(const rollout::Sample &Sample) {
  return Sample.Answers == 0 ? 0.0
                             : static_cast<double>(Sample.Bad) /
                                   static_cast<double>(Sample.Answers);
}

/// Whether bad answers come from two hosts, or from the only one that answered.
template <typename SampleOfHost>
bool isSharedByHosts(const RouteEvidence &Route, SampleOfHost Of) {
  std::size_t WithAnswers = 0;
  std::size_t WithBad = 0;
  for (const RouteTally *Host : Route.NewHosts) {
    const rollout::Sample Sample = Of(*Host);
    WithAnswers += Sample.Answers >= MinimumAnswersPerHost ? 1 : 0;
    WithBad += Sample.Bad >= MinimumFaultsPerHost ? 1 : 0;
  }
  return WithBad >= (WithAnswers >= 2 ? 2U : 1U);
}

Finding compare(const rollout::Sample &New, const rollout::Sample &Old,
                double ToleratedRate, double MinimumRatio) {
  const double OldRate = badRate(Old);
  const double MinimumRate =
      std::min(MinimumRatio * OldRate, OldRate + SufficientRateDifference);
  if (New.Bad < 2 || badRate(New) < MinimumRate)
    return Finding::None;
  const double Control = rollout::controlRate(Old, ToleratedRate);
  if (rollout::compareVersions(New, Old, Control) == Finding::Proven)
    return Finding::Proven;
  return rollout::logLikelihoodRatio(New, Control) >= SuspicionLogRatio
             ? Finding::Suspected
             : Finding::None;
}

Finding findFaults(const RouteEvidence &Route) {
  const auto OfHost = [](const RouteTally &Host) {
    return rollout::Sample{Host.Answers, Host.Faults};
  };
  if (!isSharedByHosts(Route, OfHost))
    return Finding::None;
  return compare(Route.New.Faults, Route.Old.Faults, rollout::ControlErrorRate,
                 MinimumFaultRateRatio);
}

/// A request that was cut off before the bound tells nothing.
rollout::Sample slowSample(const AnswerTimes &Times, const AnswerTimes &CutOff,
                           core::Microseconds Bound) {
  const std::uint64_t CutOffSlow = CutOff.countAbove(Bound);
  return {Times.total() + CutOffSlow, Times.countAbove(Bound) + CutOffSlow};
}

/// Samples of slow answers of both versions.
struct SlowEvidence {
  Finding Result = Finding::None;
  core::Microseconds Bound{0};
  rollout::Sample New;
  rollout::Sample Old;
};

SlowEvidence findSlowness(const RouteEvidence &Route, const SlowLimit &Limit) {
  SlowEvidence Found;
  if (Route.Old.Times.total() < MinimumOldTimes)
    return Found;
  Found.Bound = Route.Old.Times.median() * Limit.MedianFactor;
  Found.New = slowSample(Route.New.Times, Route.New.CutOffTimes, Found.Bound);
  Found.Old = slowSample(Route.Old.Times, Route.Old.CutOffTimes, Found.Bound);
  const auto OfHost = [&Found](const RouteTally &Host) {
    return slowSample(Host.Times, Host.CutOffTimes, Found.Bound);
  };
  if (isSharedByHosts(Route, OfHost))
    Found.Result = compare(Found.New, Found.Old, Limit.ToleratedRate,
                           MinimumSlowRateRatio);
  return Found;
}

std::string describe(const core::RouteName &Name,
                     const rollout::Sample &Faults) {
  return fmt::format("route {}: {} of {} answers failed", Name.value(),
                     Faults.Bad, Faults.Answers);
}

std::string describe(const core::RouteName &Name, const SlowEvidence &Slow) {
  return fmt::format(
      "route {}: {} of {} answers took longer than {} ms, of "
      "other versions {} of {}",
      Name.value(), Slow.New.Bad, Slow.New.Answers,
      std::chrono::duration_cast<core::Milliseconds>(Slow.Bound).count(),
      Slow.Old.Bad, Slow.Old.Answers);
}

/// Finding on one route, with the evidence for it.
std::pair<Finding, std::string> judge(const core::RouteName &Name,
                                      const RouteEvidence &Route) {
  const Finding Faults = findFaults(Route);
  if (Faults == Finding::Proven)
    return {Faults, describe(Name, Route.New.Faults)};
  const SlowEvidence Slow = findSlowness(Route, RejectionLimit);
  if (Slow.Result == Finding::Proven)
    return {Slow.Result, describe(Name, Slow)};
  if (Faults == Finding::Suspected)
    return {Faults, describe(Name, Route.New.Faults)};
  const SlowEvidence Suspicion = findSlowness(Route, SuspicionLimit);
  if (Suspicion.Result != Finding::None)
    return {Finding::Suspected, describe(Name, Suspicion)};
  return {Finding::None, ""};
}

} // namespace

MoveVerdict evaluateMove(const TrackedMove &Move,
                         const std::vector<const TargetReport *> &Targets) {
  const core::TargetVersion &NewVersion = Move.Order.NewVersion;
  MoveVerdict Verdict;
  std::uint64_t Answers = 0;
  const auto Judge = [&](const core::RouteName &Name,
                         const RouteEvidence &Route) {
    auto [Result, Reason] = judge(Name, Route);
    if (Result <= Verdict.Result)
      return;
    Verdict.Result = Result;
    Verdict.Reason = std::move(Reason);
  };
  const Evidence All = gather(NewVersion, Targets, &TargetReport::Tallies);
  for (const auto &[Name, Route] : All) {
    Answers += Route.New.Faults.Answers;
    Judge(Name, Route);
  }
  for (auto &[Name, Route] :
       gather(NewVersion, Targets, &TargetReport::StepTallies)) {
    // At the last step the other versions answer nothing any more.
    const auto Whole = All.find(Name);
    if (Route.Old.Faults.Answers < SufficientAnswers && Whole != All.end())
      Route.Old = Whole->second.Old;
    Judge(Name, Route);
  }
  Verdict.Sufficient =
      Verdict.Result == Finding::None && Answers >= SufficientAnswers;
  return Verdict;
}

bool MoveTracker::applyOrder(const MoveOrdered &Order, core::TimePoint Now) {
  const auto Found = Moves.find(Order.Service);
  const bool Known = Found != Moves.end();
  if (Known && Order.Renumbered &&
      Found->second.Order.NewVersion == Order.NewVersion) {
    renumber(Found->second, Order);
    return false;
  }
  if (Known && Found->second.Order.OrderPosition >= Order.OrderPosition)
    return false;
  // An order that takes the place of a later one corrects it: the later one was
  // the copy of an order that had ended, and its version may serve.
  const bool Corrects =
      Known && isLater(Found->second.Order.OrderPosition, Order.OrderPosition);
  auto &Uncompleted = UncompletedVersions[Order.Service];
  if (Known && Found->second.Phase != MovePhase::Completed &&
      (!Corrects || Found->second.Phase != MovePhase::Running))
    Uncompleted[Found->second.Order.NewVersion] =
        Found->second.Order.OrderPosition;
  Uncompleted.erase(Order.NewVersion);
  TrackedMove Move;
  Move.Order = Order;
  Move.StartedAt = Now;
  Move.Deadline = Now + Order.Duration;
  eraseUnreadUpTo(Order);
  Moves.insert_or_assign(Order.Service, std::move(Move));
  return true;
}

void MoveTracker::renumber(TrackedMove &Move, const MoveOrdered &Order) {
  if (Move.Order.OrderPosition != Order.OrderPosition) {
    if (Move.FormerPositions.size() >= MaximumFormerPositions)
      Move.FormerPositions.erase(Move.FormerPositions.begin());
    Move.FormerPositions.push_back(Move.Order.OrderPosition);
  }
  Move.Order.OrderPosition = Order.OrderPosition;
  Move.Order.SeenAt = Order.SeenAt;
  eraseUnreadUpTo(Order);
}

void MoveTracker::eraseUnreadUpTo(const MoveOrdered &Order) {
  const auto Unread = UnreadOrders.find(Order.Service);
  if (Unread != UnreadOrders.end() &&
      !isLater(Unread->second.OrderPosition,
               later(Order.OrderPosition, Order.SeenAt)))
    UnreadOrders.erase(Unread);
}

void MoveTracker::applyReport(const MoveReport &Report, core::TimePoint Now,
                              core::StoreEra Era) {
  const auto Found = Moves.find(Report.Service);
  const bool IsSame =
      Found != Moves.end() &&
      (Found->second.Order.OrderPosition == Report.OrderPosition ||
       std::ranges::find(Found->second.FormerPositions, Report.OrderPosition) !=
           Found->second.FormerPositions.end());
  if (!IsSame) {
    applyEarlierMove(Report);
    applyUnreadOrder(Report, Era);
    applyLaterRejection(Report);
    return;
  }
  TrackedMove &Move = Found->second;
  const core::TimePoint StartedAt = Now - Report.Elapsed;
  if (StartedAt < Move.StartedAt) {
    Move.Deadline -= Move.StartedAt - StartedAt;
    Move.StartedAt = StartedAt;
  }
  if (Report.Phase > Move.Phase && !Move.ended())
    Move.Phase = Report.Phase;
}

/// A process that starts during a move reads only the newest order of the
/// service from the store. Targets of an earlier order may still run.
void MoveTracker::applyEarlierMove(const MoveReport &Report) {
  const auto Found = Moves.find(Report.Service);
  const bool IsEarlier =
      Found != Moves.end() &&
      isLater(Found->second.Order.OrderPosition, Report.OrderPosition);
  if (!IsEarlier || Report.NewVersion == Found->second.Order.NewVersion)
    return;
  if (Report.Phase == MovePhase::Rejected ||
      Report.Phase == MovePhase::RolledBack)
    UncompletedVersions[Report.Service].emplace(Report.NewVersion,
                                                Report.OrderPosition);
}

/// An order of another era may be the copy of one that this node knows: its
/// version may be the one that serves.
void MoveTracker::applyUnreadOrder(const MoveReport &Report,
                                   core::StoreEra Era) {
  if (Report.OrderPosition.era() != Era)
    return;
  const auto Found = Moves.find(Report.Service);
  if (Found != Moves.end() &&
      !isLater(Report.OrderPosition, later(Found->second.Order.OrderPosition,
                                           Found->second.Order.SeenAt)))
    return;
  const auto [Known, First] = UnreadOrders.try_emplace(Report.Service, Report);
  if (First || isLater(Report.OrderPosition, Known->second.OrderPosition) ||
      (Report.OrderPosition == Known->second.OrderPosition &&
       Report.Phase > Known->second.Phase))
    Known->second = Report;
}

/// The same version was rejected after a restore of which this node has not
/// read.
void MoveTracker::applyLaterRejection(const MoveReport &Report) {
  const auto Found = Moves.find(Report.Service);
  if (Found == Moves.end() ||
      Found->second.Order.NewVersion != Report.NewVersion ||
      Report.OrderPosition.era() <= Found->second.Order.OrderPosition.era())
    return;
  const bool Rejected = Report.Phase == MovePhase::Rejected ||
                        Report.Phase == MovePhase::RolledBack;
  if (Rejected && Found->second.Phase == MovePhase::Running)
    Found->second.Phase = MovePhase::Rejected;
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
    for (const auto &[Version, Position] : Uncompleted->second)
      Result.Excluded.insert(Version);
  if (const auto Unread = UnreadOrders.find(Service);
      Unread != UnreadOrders.end() &&
      Unread->second.Phase != MovePhase::Completed)
    Result.Excluded.insert(Unread->second.NewVersion);
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
  if (isGated(Move, Now)) {
    Result.CandidatePermille = GatedPermille;
    return Result;
  }
  const double Position = schedulePosition(Move, Now);
  for (const ScheduleStep &Step : Schedule)
    if (Position >= Step.AfterFraction)
      Result.CandidatePermille = Step.Permille;
  return Result;
}

bool MoveTracker::mustDecide(const TrackedMove &Move,
                             core::TimePoint Now) const {
  return !Move.SufficientSince &&
         fractionOf(Move, Now - Move.StartedAt) >= SuspicionFraction;
}

bool MoveTracker::readyToComplete(const TrackedMove &Move,
                                  core::TimePoint Now) const {
  return Move.Phase == MovePhase::Running && Move.SufficientSince &&
         schedulePosition(Move, Now) >= CompletionFraction;
}

void MoveTracker::recordSufficientEvidence(const core::ServiceName &Service,
                                           core::TimePoint Now) {
  const auto Found = Moves.find(Service);
  if (Found != Moves.end() && !Found->second.SufficientSince)
    Found->second.SufficientSince = Now;
}

void MoveTracker::withdrawSufficientEvidence(const core::ServiceName &Service) {
  const auto Found = Moves.find(Service);
  if (Found != Moves.end())
    Found->second.SufficientSince.reset();
}

std::vector<MoveReport> MoveTracker::reports(core::TimePoint Now) const {
  std::vector<MoveReport> All;
  for (const auto &[Service, Move] : Moves)
    All.push_back(
        {Service, Move.Order.NewVersion, Move.Order.OrderPosition, Move.Phase,
         std::chrono::duration_cast<core::Milliseconds>(Now - Move.StartedAt)});
  for (const auto &[Service, Versions] : UncompletedVersions)
    for (const auto &[Version, Position] : Versions)
      All.push_back({Service, Version, Position, MovePhase::RolledBack,
                     core::Milliseconds(0)});
  return All;
}

} // namespace filbertvane::decision::mesh
