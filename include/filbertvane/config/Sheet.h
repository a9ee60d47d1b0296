#ifndef FILBERTVANE_CONFIG_SHEET_H
#define FILBERTVANE_CONFIG_SHEET_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Time.h"
#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace filbertvane::config {

/// @brief Order to move a service's traffic to another target version.
struct MoveOrder {
  core::TargetVersion To;
  /// Time by which all traffic must have moved.
  core::WallTime Deadline;

  friend auto operator<=>(const MoveOrder &, const MoveOrder &) = default;
};

/// @brief A service of the sheet.
struct ServiceSpec {
  core::ServiceName Name;
  /// Version that takes all traffic when no move is in progress.
  core::TargetVersion Version;
  std::optional<MoveOrder> Move;

  friend auto operator<=>(const ServiceSpec &, const ServiceSpec &) = default;
};

/// @brief How the requests of a route are treated under load.
enum class TrafficKind {
  /// Worthless when late: refused rather than queued for long.
  Interactive,
  /// Large bodies: limited by bytes in flight.
  Bulk,
  /// May wait until its deadline.
  Patient,
};

/// @brief A route: a path prefix that leads to a service.
struct RouteSpec {
  core::RouteName Name;
  std::string Prefix;
  core::ServiceName Service;
  /// A request of a non-idempotent route runs at most once.
  bool Idempotent = true;
  TrafficKind Kind = TrafficKind::Interactive;
  /// Deadline of a request that brings none, counted from its arrival.
  core::Milliseconds Timeout{2000};

  friend auto operator<=>(const RouteSpec &, const RouteSpec &) = default;
};

/// @brief What planners publish; a value without any state of the fleet.
struct Sheet {
  /// Sheet version on which this sheet was built; 0 for the first one.
  core::ConfigVersion Base;
  /// Sorted by name.
  std::vector<ServiceSpec> Services;
  /// Sorted by name.
  std::vector<RouteSpec> Routes;

  friend auto operator<=>(const Sheet &, const Sheet &) = default;
};

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_SHEET_H
