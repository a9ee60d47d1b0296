#ifndef FILBERTVANE_DECISION_ROLLOUT_WINDOWS_H
#define FILBERTVANE_DECISION_ROLLOUT_WINDOWS_H

#include "filbertvane/config/LogRecord.h"
#include "filbertvane/decision/rollout/SequentialTest.h"
#include <map>
#include <vector>

namespace filbertvane::decision::rollout {

/// @brief Result of the test on a route, with the samples it is based on.
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
/// Counts are stored per evidence period; older periods are merged into
/// progressively longer ones. The test is applied to each window from the start
/// of a period until now, so that earlier good answers do not hide a late
/// fault.
class RouteWindows {
public:
  /// @param Significance level at which a shared fault is ruled out
  RouteWindows(double Significance = SharedFaultSignificance)
      : Significance(Significance) {}

  /// @brief Adds counts to the current period.
  void add(const RouteCounts &Added);

  /// @brief Ends the current period.
  void closePeriod();

  /// @brief Drops the windows after the share changed, unless a fault is
  ///        proven.
  ///
  /// In a window across two shares, a shared fault at the higher share would
  /// look like a fault of the new version.
  void startStep();

  /// @brief Tests all windows and returns the most severe finding.
  ///
  /// The cached result is returned when the last call found nothing and there
  /// were no bad answers of the new version since.
  /// Complexity: linear in the number of stored periods, at most MaxPeriods.
  RouteFinding evaluate();

  /// @brief Counts of all periods.
  const RouteCounts &total() const { return Total; }

  /// @brief Number of stored periods, not including the current one.
  std::size_t periodCount() const { return ClosedPeriods.size(); }

  static constexpr std::size_t MaxPeriods = 48;

  friend bool operator==(const RouteWindows &, const RouteWindows &) = default;

private:
  struct Period {
    RouteCounts Counts;
    /// In evidence periods.
    std::uint32_t Length = 1;
    friend bool operator==(const Period &, const Period &) = default;
  };

  void mergePeriods();
  RouteFinding evaluateWindows() const;

  /// Oldest first.
  std::vector<Period> ClosedPeriods;
  RouteCounts OpenPeriod;
  /// Sum since the last change of the share.
  RouteCounts StepTotal;
  RouteCounts Total;
  double Significance;
  RouteFinding LastFinding;
  bool HasNewBadAnswers = false;
};

/// @brief Windows of all routes of all monitored moves.
///
/// The sum over the routes of a move is tested too, under the empty route name:
/// a fault on all routes is detected there after fewer answers than on any
/// single route.
class MoveWindows {
public:
  /// @param Significance level at which a shared fault is ruled out
  MoveWindows(double Significance = SharedFaultSignificance)
      : Significance(Significance) {}

  /// Maximum number of routes of all moves; counts of further ones are dropped.
  static constexpr std::size_t MaxRoutes = 1024;

  /// @brief Adds counts of one route.
  /// @return false when the counts were dropped at MaxRoutes
  bool add(const config::MoveId &Move, const core::RouteName &Route,
           const RouteCounts &Added);

  /// @brief Ends the current period of all routes.
  void closePeriod();

  /// @brief Drops the windows of a move after its share changed, as
  ///        RouteWindows::startStep does.
  void startStep(const config::MoveId &Move);

  /// @brief Most severe finding of a move.
  /// @return the route, empty for the whole service, and its finding
  std::pair<core::RouteName, RouteFinding> evaluate(const config::MoveId &Move);

  /// @brief Drops all counts of a move.
  void reset(const config::MoveId &Move);

  /// @brief Moves that have counts.
  std::vector<config::MoveId> moves() const;

  friend bool operator==(const MoveWindows &, const MoveWindows &) = default;

private:
  double Significance;
  std::map<config::MoveId, std::map<core::RouteName, RouteWindows>>
      RoutesByMove;
};

/// @brief Converts a finding to the verdict that is stored with a rollback.
config::MoveDecision makeVerdict(const core::RouteName &Route,
                                 const RouteFinding &Found);

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_WINDOWS_H
