#ifndef FILBERTVANE_CONFIG_SHEET_H
#define FILBERTVANE_CONFIG_SHEET_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Time.h"
#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace filbertvane::config {

/// @brief Instruction to move a service's traffic to another target version.
struct MoveOrder {
  core::TargetVersion To;
  /// Time by which all traffic must have moved.
  core::WallTime Deadline;

  friend auto operator<=>(const MoveOrder &, const MoveOrder &) = default;
};

/// @brief Configuration of a service.
struct ServiceSpec {
  core::ServiceName Name;
  /// Version that receives all traffic when no move is in progress.
  core::TargetVersion Version;
  std::optional<MoveOrder> Move;

  friend auto operator<=>(const ServiceSpec &, const ServiceSpec &) = default;
};

/// @brief How requests of a route are handled under load.
enum class TrafficKind {
  /// Of no use when late: refused instead of waiting in a long queue.
  Interactive,
  /// Large bodies: limited by the number of bytes in flight.
  Bulk,
  /// May wait until its deadline.
  Patient,
};

/// @brief Route from a path prefix to a service.
struct RouteSpec {
  core::RouteName Name;
  std::string Prefix;
  core::ServiceName Service;
  /// A request of a non-idempotent route runs at most once.
  bool Idempotent = true;
  TrafficKind Kind = TrafficKind::Interactive;
  /// Default deadline of a request, counted from its arrival.
  core::Milliseconds Timeout{2000};

  friend auto operator<=>(const RouteSpec &, const RouteSpec &) = default;
};

/// @brief Configuration sheet that an operator publishes: all services and
///        routes.
struct Sheet {
  /// Version of the sheet that this one was derived from; 0 for the first.
  core::ConfigVersion Base;
  /// Sorted by name.
  std::vector<ServiceSpec> Services;
  /// Sorted by name.
  std::vector<RouteSpec> Routes;

  friend auto operator<=>(const Sheet &, const Sheet &) = default;
};

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_SHEET_H
