#ifndef FILBERTVANE_DECISION_MESH_ANSWERTIMES_H
#define FILBERTVANE_DECISION_MESH_ANSWERTIMES_H

#include "filbertvane/core/Time.h"
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace filbertvane::decision::mesh {

/// @brief Histogram of answer times, four buckets for each factor of two.
///
/// The upper bounds of the buckets are 4, 4.8, 5.7, 6.7, 8, ... ms; the last
/// bucket is unbounded.
class AnswerTimes {
public:
  static constexpr std::size_t BucketCount = 48;
  using Buckets = std::array<std::uint32_t, BucketCount>;

  AnswerTimes() = default;
  explicit AnswerTimes(const Buckets &Counts) : Counts(Counts) {}

  /// @brief This histogram and one more time.
  [[nodiscard]] AnswerTimes with(core::Microseconds Time) const;
  friend AnswerTimes operator+(const AnswerTimes &Left,
                               const AnswerTimes &Right);

  std::uint64_t total() const;
  /// @brief Number of times in the buckets above the one of a time.
  std::uint64_t countAbove(core::Microseconds Time) const;
  /// @brief Middle of the bucket that has the median; 0 without times.
  core::Microseconds median() const;
  const Buckets &buckets() const { return Counts; }

  friend auto operator<=>(const AnswerTimes &, const AnswerTimes &) = default;

private:
  Buckets Counts{};
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_ANSWERTIMES_H
