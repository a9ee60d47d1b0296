#include "filbertvane/decision/rollout/Counts.h"
#include <algorithm>
#include <bit>
#include <numeric>

namespace filbertvane::decision::rollout {

std::size_t LatencyHistogram::bucketOf(core::Microseconds Latency) {
  if (Latency <= core::Milliseconds(1))
    return 0;
  const auto Micros = static_cast<std::uint64_t>(Latency.count());
  const std::uint64_t Millis = (Micros + 999) / 1000;
  return std::min<std::size_t>(std::bit_width(Millis - 1), BucketCount - 1);
}

std::uint64_t LatencyHistogram::total() const {
  return std::accumulate(Counts.begin(), Counts.end(), std::uint64_t{0});
}

std::uint64_t LatencyHistogram::countAbove(std::size_t Bucket) const {
  std::uint64_t Sum = 0;
  for (std::size_t I = Bucket + 1; I < BucketCount; ++I)
    Sum += Counts[I];
  return Sum;
}

VersionCounts &operator+=(VersionCounts &Left, const VersionCounts &Right) {
  Left.Answers += Right.Answers;
  Left.Faults += Right.Faults;
  for (std::size_t I = 0; I < LatencyHistogram::BucketCount; ++I)
    Left.Latency.Counts[I] += Right.Latency.Counts[I];
  return Left;
}

RouteCounts &operator+=(RouteCounts &Left, const RouteCounts &Right) {
  Left.New += Right.New;
  Left.Old += Right.Old;
  return Left;
}

namespace {

std::uint64_t counterIncrease(std::uint64_t Earlier, std::uint64_t Later) {
  return Later > Earlier ? Later - Earlier : 0;
}

VersionCounts increaseSince(const VersionCounts &Earlier,
                            const VersionCounts &Later) {
  VersionCounts Added;
  Added.Answers = counterIncrease(Earlier.Answers, Later.Answers);
  Added.Faults = counterIncrease(Earlier.Faults, Later.Faults);
  for (std::size_t I = 0; I < LatencyHistogram::BucketCount; ++I)
    Added.Latency.Counts[I] =
        counterIncrease(Earlier.Latency.Counts[I], Later.Latency.Counts[I]);
  return Added;
}

} // namespace

RouteCounts increaseSince(const RouteCounts &Earlier,
                          const RouteCounts &Later) {
  return {increaseSince(Earlier.New, Later.New),
          increaseSince(Earlier.Old, Later.Old)};
}

} // namespace filbertvane::decision::rollout
