#ifndef FILBERTVANE_DECISION_CONNECTIONS_CLOSINGORDER_H
#define FILBERTVANE_DECISION_CONNECTIONS_CLOSINGORDER_H

#include "filbertvane/core/Time.h"
#include <compare>
#include <cstddef>
#include <optional>
#include <span>

namespace filbertvane::decision::connections {

/// @brief How far the requests of a connection have come; those that are closed
///        first come first.
enum class Progress {
  /// No head is complete.
  NoHead,
  /// The closing answer was sent; further input is dropped.
  Closing,
  /// The first request is not whole.
  NoRequest,
  /// A request was whole.
  Served,
};

/// @brief What one connection takes of the process.
struct ConnectionUse {
  Progress Reached = Progress::NoHead;
  /// The other end is a node of the fleet.
  bool FromNode = false;
  core::TimePoint OpenedAt;
  /// Received and held for requests in progress.
  std::size_t HeldBytes = 0;
  /// Time at which its idle time-out ends; none while a request is in progress.
  std::optional<core::TimePoint> IdleUntil = std::nullopt;

  friend auto operator<=>(const ConnectionUse &,
                          const ConnectionUse &) = default;
};

/// @brief Connection to close so that another one can be accepted: the oldest
///        of the lowest progress, then the caller's that has been idle for
///        longest; none when all are in use.
std::optional<std::size_t> closeForRoom(std::span<const ConnectionUse> All);

/// @brief Connection to close so that the process holds fewer bytes: of those
///        that hold any, the oldest without a whole request, then the one that
///        holds most; nodes of the fleet last.
std::optional<std::size_t> closeForMemory(std::span<const ConnectionUse> All);

} // namespace filbertvane::decision::connections

#endif // FILBERTVANE_DECISION_CONNECTIONS_CLOSINGORDER_H
