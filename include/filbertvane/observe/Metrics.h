#ifndef FILBERTVANE_OBSERVE_METRICS_H
#define FILBERTVANE_OBSERVE_METRICS_H

#include "filbertvane/core/Time.h"
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace filbertvane::observe {

/// @brief Distribution of latencies from 1 us to 1,000 s on a logarithmic axis.
///
/// A quantile is wrong by at most 4%, the width of a bin.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram &&) noexcept;
  LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

  /// @brief Adds one latency. Complexity: constant.
  void add(core::Microseconds Latency);

  /// @brief Number of latencies added.
  std::uint64_t count() const;
  core::Microseconds sum() const;
  /// @brief Largest latency, exactly.
  core::Microseconds max() const;

  /// @brief Latency that the given share of all latencies does not exceed.
  /// @param Share in (0, 1]
  /// @return upper edge of the bin, at most `max()`; 0 without any latency
  core::Microseconds quantile(double Share) const;

  /// @brief Number of latencies up to a bound, rounded to whole bins.
  std::uint64_t countUpTo(core::Microseconds Bound) const;

private:
  struct Bins;
  std::unique_ptr<Bins> Impl;
};

/// @brief Labels of one series, for example `{{"route", "r1"}}`.
using Labels = std::map<std::string, std::string>;

/// @brief Counters, gauges and latencies of a process, as Prometheus text.
///
/// The number of series is bounded; series above the bound are counted in
/// `filbertvane_dropped_series_total` and not kept.
class Metrics {
public:
  static constexpr std::size_t MaxSeries = 4096;

  void count(const std::string &Name, const Labels &Of = {},
             std::uint64_t By = 1);
  void set(const std::string &Name, const Labels &Of, double Value);
  void observe(const std::string &Name, const Labels &Of,
               core::Microseconds Latency);

  /// @brief Prometheus text format 0.0.4, ordered by name and labels.
  std::string render() const;

private:
  using Series = std::pair<std::string, Labels>;
  bool admit(bool Known);

  std::map<Series, std::uint64_t> Counters;
  std::map<Series, double> Gauges;
  std::map<Series, LatencyHistogram> Latencies;
  std::uint64_t Dropped = 0;
};

} // namespace filbertvane::observe

#endif // FILBERTVANE_OBSERVE_METRICS_H
