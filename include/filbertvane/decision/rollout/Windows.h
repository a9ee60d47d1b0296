#ifndef FILBERTVANE_DECISION_ROLLOUT_WINDOWS_H
#define FILBERTVANE_DECISION_ROLLOUT_WINDOWS_H

#include "filbertvane/config/LogRecord.h"
#include "filbertvane/decision/rollout/SequentialTest.h"
#include <map>
#include <vector>

namespace filbertvane::decision::rollout {

/// @brief What the test found on a route, with its figures.
struct RouteFinding {
  Finding Level = Finding::None;
  /// True when answers were slow, false when they failed.
  bool Slow = false;
  Sample New;
  Sample Old;

  friend bool operator==(const RouteFinding &, const RouteFinding &) = default;
};

/// @brief Recent counts of one route of one move.
///
/// Counts are kept per evidence period, older periods merged into ever longer
/// ones. Each span from one of them until now is a window of the test, so that
/// a late fault is not diluted by the good answers before it.
class RouteWindows {
public:
  /// @param SharedChance highest accepted probability of a shared fault
  RouteWindows(double SharedChance = SharedFaultSignificance)
      : Significance(SharedChance) {}

  /// @brief Adds counts to the current period.
  void add(const RouteCounts &Added);

  /// @brief Ends the current period.
  void closePeriod();

  /// @brief Starts windows afresh after the share changed.
  ///
  /// A window over two shares would take a shared fault at the higher share for
  /// a fault of the new version. What is proven stays proven.
  void startStep();

  /// @brief Judges all windows and returns the gravest finding.
  ///
  /// Without new bad answers since the last call, and nothing found then, the
  /// result cannot have become graver and is not computed again.
  /// Complexity: linear in the number of periods kept, at most MaxPeriods.
  RouteFinding evaluate();

  /// @brief Counts of all periods.
  const RouteCounts &total() const { return Total; }

  /// @brief Number of closed periods that are kept.
  std::size_t periodCount() const { return ClosedPeriods.size(); }

  static constexpr std::size_t MaxPeriods = 48;

  friend bool operator==(const RouteWindows &, const RouteWindows &) = default;

private:
  struct Period {
    RouteCounts Counts;
    std::uint32_t Length = 1;
    friend bool operator==(const Period &, const Period &) = default;
  };

  void mergePeriods();
  RouteFinding evaluateWindows() const;

  /// Oldest first.
  std::vector<Period> ClosedPeriods;
  RouteCounts OpenPeriod;
  /// Sum since the share last changed.
  RouteCounts StepTotal;
  RouteCounts Total;
  double Significance;
  RouteFinding LastFinding;
  bool HasNewBadAnswers = false;
};

/// @brief Windows of all routes of all moves that are watched.
///
/// The sum over a move's routes is judged too, under the empty name: a fault of
/// the whole version shows in it after fewer answers than on any one route.
class MoveWindows {
public:
  /// @param SharedChance highest accepted probability of a shared fault
  MoveWindows(double SharedChance = SharedFaultSignificance)
      : Significance(SharedChance) {}

  /// Routes over all moves that are kept; counts of further ones are dropped.
  static constexpr std::size_t MaxRoutes = 1024;

  /// @brief Adds counts of one route.
  /// @return false when the limit of routes is reached
  bool add(const config::MoveId &Move, const core::RouteName &Route,
           const RouteCounts &Added);

  /// @brief Ends the current period of all routes.
  void closePeriod();

  /// @brief Starts the windows of a move afresh after its share changed.
  void startStep(const config::MoveId &Move);

  /// @brief Gravest finding of a move.
  /// @return the route, empty for the whole service, and its finding
  std::pair<core::RouteName, RouteFinding> evaluate(const config::MoveId &Move);

  /// @brief Forgets a move's counts, to judge it afresh.
  void reset(const config::MoveId &Move);

  /// @brief Moves that have counts.
  std::vector<config::MoveId> moves() const;

  friend bool operator==(const MoveWindows &, const MoveWindows &) = default;

private:
  double Significance;
  std::map<config::MoveId, std::map<core::RouteName, RouteWindows>>
      RoutesByMove;
};

/// @brief Turns a finding into the figures of a report.
config::MoveDecision makeVerdict(const core::RouteName &Route,
                                 const RouteFinding &Found);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_WINDOWS_H
