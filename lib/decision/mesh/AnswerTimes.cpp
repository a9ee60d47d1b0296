#include "filbertvane/decision/mesh/AnswerTimes.h"
#include <algorithm>
#include <cmath>
#include <numeric>

namespace filbertvane::decision::mesh {

namespace {

/// Upper bound of the first bucket, in microseconds.
constexpr double FirstBound = 4000;
constexpr double BucketsPerDoubling = 4;

std::size_t bucketOf(core::Microseconds Time) {
  const double Ratio = static_cast<double>(Time.count()) / FirstBound;
  if (Ratio <= 1)
    return 0;
  const double Bucket = std::ceil(std::log2(Ratio) * BucketsPerDoubling);
  return std::min(static_cast<std::size_t>(Bucket),
                  AnswerTimes::BucketCount - 1);
}

core::Microseconds middleOf(std::size_t Bucket) {
  const double Middle =
      FirstBound *
      std::exp2((static_cast<double>(Bucket) - 0.5) / BucketsPerDoubling);
  return core::Microseconds(std::llround(Middle));
}

} // namespace

AnswerTimes AnswerTimes::with(core::Microseconds Time) const {
  AnswerTimes Result = *this;
  ++Result.Counts[bucketOf(Time)];
  return Result;
}

AnswerTimes operator+(const AnswerTimes &Left, const AnswerTimes &Right) {
  AnswerTimes Sum;
  std::ranges::transform(Left.Counts, Right.Counts, Sum.Counts.begin(),
                         std::plus<>());
  return Sum;
}

std::uint64_t AnswerTimes::total() const {
  return std::accumulate(Counts.begin(), Counts.end(), std::uint64_t{0});
}

std::uint64_t AnswerTimes::countAbove(core::Microseconds Time) const {
  return std::accumulate(Counts.begin() +
                             static_cast<std::ptrdiff_t>(bucketOf(Time)) + 1,
                         Counts.end(), std::uint64_t{0});
}

core::Microseconds AnswerTimes::median() const {
  const std::uint64_t Half = (total() + 1) / 2;
  if (Half == 0)
    return core::Microseconds(0);
  std::uint64_t Seen = 0;
  std::size_t Bucket = 0;
  while (Seen + Counts[Bucket] < Half)
    Seen += Counts[Bucket++];
  return middleOf(Bucket);
}

} // namespace filbertvane::decision::mesh
