#include "filbertvane/decision/rollout/Windows.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::rollout {

namespace {

/// Number of periods of one length above which the oldest two are merged.
constexpr std::size_t PeriodsPerLength = 3;

Sample faultSample(const VersionCounts &Counts) {
  return {Counts.Answers, Counts.Faults};
}

Sample slowSample(const VersionCounts &Counts, std::size_t Boundary) {
  return {Counts.Latency.total(), Counts.Latency.countAbove(Boundary)};
}

/// Tests windows in order, from the longest to the shortest.
class WindowEvaluator {
public:
  /// @param OldTotal all answers of the old version since acceptance
  WindowEvaluator(double Floor, bool Slow, Sample OldTotal, double Significance)
      : Control(controlRate(OldTotal, Floor)), Floor(Floor), Slow(Slow),
        Significance(Significance) {}

  void evaluate(Sample New, Sample Old) {
    // Inside a long shared fault, some short window looks by chance like a
    // fault of the new version alone. The control rate of the longer windows
    // that contain it prevents a false positive.
    Control = std::max(Control, controlRate(Old, Floor));
    const Finding Level = compareVersions(New, Old, Control, Significance);
    if (Level > MostSevere.Level)
      MostSevere = {Level, Slow, New, Old};
  }

  const RouteFinding &mostSevere() const { return MostSevere; }

private:
  double Control;
  double Floor;
  bool Slow;
  double Significance;
  RouteFinding MostSevere;
};

} // namespace

void RouteWindows::add(const RouteCounts &Added) {
  OpenPeriod += Added;
  StepTotal += Added;
  Total += Added;
  const auto Boundary = slowBoundary(Total.Old.Latency);
  HasNewBadAnswers = HasNewBadAnswers || Added.New.Faults > 0 ||
                     (Boundary && Added.New.Latency.countAbove(*Boundary) > 0);
}

void RouteWindows::startStep() {
  if (LastFinding.Level == Finding::Proven)
    return;
  ClosedPeriods.clear();
  OpenPeriod = {};
  StepTotal = {};
  LastFinding = {};
  HasNewBadAnswers = false;
}

RouteFinding RouteWindows::evaluate() {
  if (HasNewBadAnswers || LastFinding.Level != Finding::None)
    LastFinding = evaluateWindows();
  HasNewBadAnswers = false;
  return LastFinding;
}

void RouteWindows::closePeriod() {
  if (OpenPeriod == RouteCounts())
    return;
  ClosedPeriods.push_back({OpenPeriod, 1});
  OpenPeriod = {};
  mergePeriods();
}

void RouteWindows::mergePeriods() {
  // Starts with the newest periods. Merging two periods may put more than
  // PeriodsPerLength periods into the next length.
  std::size_t End = ClosedPeriods.size();
  while (End > 0) {
    const std::uint32_t Length = ClosedPeriods[End - 1].Length;
    std::size_t First = End;
    while (First > 0 && ClosedPeriods[First - 1].Length == Length)
      --First;
    if (End - First <= PeriodsPerLength)
      break;
    ClosedPeriods[First].Counts += ClosedPeriods[First + 1].Counts;
    ClosedPeriods[First].Length += ClosedPeriods[First + 1].Length;
    ClosedPeriods.erase(ClosedPeriods.begin() +
                        static_cast<std::ptrdiff_t>(First) + 1);
    End = First + 1;
  }
  if (ClosedPeriods.size() <= MaxPeriods)
    return;
  ClosedPeriods[1].Counts += ClosedPeriods[0].Counts;
  ClosedPeriods.erase(ClosedPeriods.begin());
}

RouteFinding RouteWindows::evaluateWindows() const {
  const auto Boundary = slowBoundary(Total.Old.Latency);
  WindowEvaluator Faults(ControlErrorRate, false, faultSample(Total.Old),
                         Significance);
  WindowEvaluator Latency(
      ControlSlowRate, true,
      Boundary ? slowSample(Total.Old, *Boundary) : Sample(), Significance);
  RouteCounts Window = StepTotal;
  const auto Evaluate = [&] {
    Faults.evaluate(faultSample(Window.New), faultSample(Window.Old));
    if (Boundary)
      Latency.evaluate(slowSample(Window.New, *Boundary),
                       slowSample(Window.Old, *Boundary));
  };
  Evaluate();
  for (const Period &Oldest : ClosedPeriods) {
    Window = increaseSince(Oldest.Counts, Window);
    Evaluate();
  }
  return std::max(Faults.mostSevere(), Latency.mostSevere(),
                  [](const RouteFinding &Left, const RouteFinding &Right) {
                    return Left.Level < Right.Level;
                  });
}

bool MoveWindows::add(const config::MoveId &Move, const core::RouteName &Route,
                      const RouteCounts &Added) {
  auto &Routes = RoutesByMove[Move];
  if (!Routes.contains(Route)) {
    std::size_t RouteCount = 0;
    for (const auto &[Id, OtherRoutes] : RoutesByMove)
      RouteCount += OtherRoutes.size();
    if (RouteCount >= MaxRoutes)
      return false;
  }
  Routes.try_emplace(Route, Significance).first->second.add(Added);
  const core::RouteName WholeService;
  Routes.try_emplace(WholeService, Significance).first->second.add(Added);
  return true;
}

void MoveWindows::closePeriod() {
  for (auto &[Move, Routes] : RoutesByMove)
    for (auto &[Route, Windows] : Routes)
      Windows.closePeriod();
}

std::pair<core::RouteName, RouteFinding>
MoveWindows::evaluate(const config::MoveId &Move) {
  std::pair<core::RouteName, RouteFinding> MostSevere;
  const auto Found = RoutesByMove.find(Move);
  if (Found == RoutesByMove.end())
    return MostSevere;
  for (auto &[Route, Windows] : Found->second) {
    const RouteFinding Result = Windows.evaluate();
    if (Result.Level > MostSevere.second.Level)
      MostSevere = {Route, Result};
  }
  return MostSevere;
}

void MoveWindows::startStep(const config::MoveId &Move) {
  if (const auto Found = RoutesByMove.find(Move); Found != RoutesByMove.end())
    for (auto &[Route, Windows] : Found->second)
      Windows.startStep();
}

void MoveWindows::reset(const config::MoveId &Move) {
  RoutesByMove.erase(Move);
}

std::vector<config::MoveId> MoveWindows::moves() const {
  std::vector<config::MoveId> Ids;
  for (const auto &[Move, Routes] : RoutesByMove)
    Ids.push_back(Move);
  return Ids;
}

config::MoveDecision makeVerdict(const core::RouteName &Route,
                                 const RouteFinding &Found) {
  config::MoveDecision Result;
  Result.Route = Route;
  Result.Reason = fmt::format(
      "{} of {} answers {}, {} of {} on the old version", Found.New.Bad,
      Found.New.Answers, Found.Slow ? "were slow" : "failed", Found.Old.Bad,
      Found.Old.Answers);
  Result.NewAnswers = Found.New.Answers;
  Result.NewFaults = Found.New.Bad;
  Result.OldAnswers = Found.Old.Answers;
  Result.OldFaults = Found.Old.Bad;
  return Result;
}

} // namespace filbertvane::decision::rollout
