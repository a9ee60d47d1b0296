#ifndef FILBERTVANE_DECISION_ROLLOUT_COUNTS_H
#define FILBERTVANE_DECISION_ROLLOUT_COUNTS_H

#include "filbertvane/core/Time.h"
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace filbertvane::decision::rollout {

/// @brief Latency histogram whose buckets have the upper bounds 1, 2, 4, ...
///        1024 ms; the last bucket is unbounded.
struct LatencyHistogram {
  static constexpr std::size_t BucketCount = 12;
  std::array<std::uint64_t, BucketCount> Counts{};

  /// @brief Bucket that a latency falls into.
  static std::size_t bucketOf(core::Microseconds Latency);

  /// @brief Number of latencies in all buckets.
  std::uint64_t total() const;

  /// @brief Number of latencies in the buckets above one.
  std::uint64_t countAbove(std::size_t Bucket) const;

  friend bool operator==(const LatencyHistogram &,
                         const LatencyHistogram &) = default;
};

/// @brief Answers of one target version on one route.
struct VersionCounts {
  std::uint64_t Answers = 0;
  std::uint64_t Faults = 0;
  LatencyHistogram Latency;

  friend bool operator==(const VersionCounts &,
                         const VersionCounts &) = default;
};

/// @brief Answers of both versions of a move on one route in the same time
///        window.
struct RouteCounts {
  VersionCounts New;
  VersionCounts Old;

  friend bool operator==(const RouteCounts &, const RouteCounts &) = default;
};

/// @name Arithmetic
/// @{
VersionCounts &operator+=(VersionCounts &Left, const VersionCounts &Right);
RouteCounts &operator+=(RouteCounts &Left, const RouteCounts &Right);

/// @brief Increase of the counts since an earlier report of the same
///        incarnation; 0 where a count fell, since counts are monotonic.
RouteCounts increaseSince(const RouteCounts &Earlier, const RouteCounts &Later);
/// @}

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_COUNTS_H
