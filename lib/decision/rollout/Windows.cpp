#include "filbertvane/decision/rollout/Windows.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::rollout {

namespace {

/// Periods of one length that are kept before two of them are merged.
constexpr std::size_t PeriodsPerLength = 3;

Sample faultsOf(const VersionCounts &Counts) {
  return {Counts.Answers, Counts.Faults};
}

Sample slowOf(const VersionCounts &Counts, std::size_t Boundary) {
  return {Counts.Latency.total(), Counts.Latency.countAbove(Boundary)};
}

/// Judges windows from the longest to the shortest.
class Scan {
public:
  /// @param AllOld answers of the old version since acceptance
  Scan(double Floor, bool Slow, Sample AllOld, double SharedChance)
      : Control(controlRate(AllOld, Floor)), Floor(Floor), Slow(Slow),
        SharedChance(SharedChance) {}

  void window(Sample New, Sample Old) {
    // Chance makes some short window inside a long shared fault look like a
    // fault of the new version alone; the rate of the longer windows around it
    // tells them apart.
    Control = std::max(Control, controlRate(Old, Floor));
    const Finding Level = compareVersions(New, Old, Control, SharedChance);
    if (Level > Gravest.Level)
      Gravest = {Level, Slow, New, Old};
  }

  const RouteFinding &gravest() const { return Gravest; }

private:
  double Control;
  double Floor;
  bool Slow;
  double SharedChance;
  RouteFinding Gravest;
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
  // Walks from the newest period; two of the same length are merged when more
  // than PeriodsPerLength have it, which may cascade to the next length.
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
  Scan Faults(ControlErrorRate, false, faultsOf(Total.Old), Significance);
  Scan Latency(ControlSlowRate, true,
               Boundary ? slowOf(Total.Old, *Boundary) : Sample(),
               Significance);
  RouteCounts Window = StepTotal;
  const auto Judge = [&] {
    Faults.window(faultsOf(Window.New), faultsOf(Window.Old));
    if (Boundary)
      Latency.window(slowOf(Window.New, *Boundary),
                     slowOf(Window.Old, *Boundary));
  };
  Judge();
  for (const Period &Oldest : ClosedPeriods) {
    Window = increaseSince(Oldest.Counts, Window);
    Judge();
  }
  return std::max(Faults.gravest(), Latency.gravest(),
                  [](const RouteFinding &Left, const RouteFinding &Right) {
                    return Left.Level < Right.Level;
                  });
}

bool MoveWindows::add(const config::MoveId &Move, const core::RouteName &Route,
                      const RouteCounts &Added) {
  auto &Routes = RoutesByMove[Move];
  if (!Routes.contains(Route)) {
    std::size_t Kept = 0;
    for (const auto &[Id, Others] : RoutesByMove)
      Kept += Others.size();
    if (Kept >= MaxRoutes)
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
  std::pair<core::RouteName, RouteFinding> Gravest;
  const auto Found = RoutesByMove.find(Move);
  if (Found == RoutesByMove.end())
    return Gravest;
  for (auto &[Route, Windows] : Found->second) {
    const RouteFinding Here = Windows.evaluate();
    if (Here.Level > Gravest.second.Level)
      Gravest = {Route, Here};
  }
  return Gravest;
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
