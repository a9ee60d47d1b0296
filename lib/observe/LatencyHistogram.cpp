#include "filbertvane/observe/Metrics.h"
#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace filbertvane::observe {

namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<std::uint64_t>;
using Histogram = bh::histogram<std::tuple<LogAxis>, Storage>;

constexpr double LowestUs = 1.;
constexpr double HighestUs = 1e9;
/// 1e9^(1/540) = 1.039: each bin is 3.9% wide.
constexpr unsigned BinCount = 540;

} // namespace

struct LatencyHistogram::Bins {
  Histogram Counts = bh::make_histogram_with(
      Storage(), LogAxis(BinCount, LowestUs, HighestUs));
  std::uint64_t Count = 0;
  core::Microseconds Sum{0};
  core::Microseconds Max{0};
};

LatencyHistogram::LatencyHistogram() : Impl(std::make_unique<Bins>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &
LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::add(core::Microseconds Latency) {
  const core::Microseconds Known = std::max(Latency, core::Microseconds(0));
  Impl->Counts(std::max(static_cast<double>(Known.count()), LowestUs));
  ++Impl->Count;
  Impl->Sum += Known;
  Impl->Max = std::max(Impl->Max, Known);
}

std::uint64_t LatencyHistogram::count() const { return Impl->Count; }
core::Microseconds LatencyHistogram::sum() const { return Impl->Sum; }
core::Microseconds LatencyHistogram::max() const { return Impl->Max; }

core::Microseconds LatencyHistogram::quantile(double Share) const {
  if (Impl->Count == 0)
    return core::Microseconds(0);
  const double Wanted = std::ceil(Share * static_cast<double>(Impl->Count));
  const auto Rank = static_cast<std::uint64_t>(std::max(Wanted, 1.));
  const auto &Axis = Impl->Counts.axis();
  std::uint64_t Seen = 0;
  for (int Bin = 0; Bin < Axis.size(); ++Bin) {
    Seen += Impl->Counts.at(Bin);
    if (Seen < Rank)
      continue;
    const core::Microseconds Edge(std::llround(Axis.value(Bin + 1)));
    return std::min(Edge, Impl->Max);
  }
  return Impl->Max;
}

std::uint64_t LatencyHistogram::countUpTo(core::Microseconds Bound) const {
  const auto &Axis = Impl->Counts.axis();
  // A bound on an edge must not lose the bin below it to rounding.
  const double Edge = static_cast<double>(Bound.count()) * 1.0001;
  std::uint64_t Seen = 0;
  for (int Bin = 0; Bin < Axis.size() && Axis.value(Bin + 1) <= Edge; ++Bin)
    Seen += Impl->Counts.at(Bin);
  return Seen;
}

} // namespace filbertvane::observe
