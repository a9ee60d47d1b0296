#include "filbertvane/observe/Metrics.h"
#include "filbertvane/core/Random.h"
#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <vector>

using namespace filbertvane;
using observe::LatencyHistogram;
using observe::Metrics;

namespace {

bool holds(const std::string &Text, const std::string &Line) {
  return Text.find(Line + "\n") != std::string::npos;
}

} // namespace

// Guards against quantiles that are off by more than a bin's width.
Test(metrics, quantiles_match_the_sorted_values) {
  core::Random Values(7);
  std::vector<std::int64_t> Sorted;
  LatencyHistogram Histogram;
  for (int I = 0; I < 20000; ++I) {
    const auto Value =
        static_cast<std::int64_t>(std::exp(Values.unit() * 16.) * 10.);
    Sorted.push_back(Value);
    Histogram.add(core::Microseconds(Value));
  }
  std::sort(Sorted.begin(), Sorted.end());
  for (const double Share : {0.01, 0.5, 0.9, 0.99, 0.999}) {
    const auto Rank = static_cast<std::size_t>(std::ceil(Share * 20000.)) - 1;
    const double Exact = static_cast<double>(Sorted[Rank]);
    const auto Got = static_cast<double>(Histogram.quantile(Share).count());
    cr_assert(Got >= Exact * 0.999 && Got <= Exact * 1.05, "%f: %f, exact %f",
              Share, Got, Exact);
  }
  cr_assert(Histogram.quantile(1.).count() == Sorted.back());
  cr_assert(Histogram.max().count() == Sorted.back());
  cr_assert(Histogram.count() == 20000);
}

// Guards against latencies outside the axis that vanish from the counts.
Test(metrics, extreme_latencies_are_counted) {
  LatencyHistogram Histogram;
  cr_assert(Histogram.quantile(0.5).count() == 0);
  Histogram.add(core::Microseconds(-5));
  Histogram.add(core::Microseconds(0));
  Histogram.add(core::Seconds(5000));
  cr_assert(Histogram.count() == 3);
  cr_assert(Histogram.quantile(0.5).count() <= 1);
  cr_assert(Histogram.quantile(1.) == core::Seconds(5000));
}

// Guards against text that a Prometheus server rejects or misreads.
Test(metrics, renders_prometheus_text) {
  Metrics Values;
  Values.count("requests_total", {{"route", "a\"b\\c\n"}});
  Values.count("requests_total", {{"route", "z"}}, 2);
  Values.set("slots", {}, 18);
  Values.observe("latency_seconds", {{"route", "z"}}, core::Microseconds(200));
  Values.observe("latency_seconds", {{"route", "z"}}, core::Seconds(100));
  const std::string Text = Values.render();
  cr_assert(holds(Text, "# TYPE requests_total counter"));
  cr_assert(Text.find("# TYPE requests_total counter") ==
            Text.rfind("# TYPE requests_total counter"));
  cr_assert(holds(Text, R"(requests_total{route="a\"b\\c\n"} 1)"));
  cr_assert(holds(Text, R"(requests_total{route="z"} 2)"));
  cr_assert(holds(Text, "slots 18"));
  cr_assert(holds(Text, R"(latency_seconds_bucket{le="0.0001",route="z"} 0)"));
  cr_assert(holds(Text, R"(latency_seconds_bucket{le="0.00025",route="z"} 1)"));
  cr_assert(holds(Text, R"(latency_seconds_bucket{le="60",route="z"} 1)"));
  cr_assert(holds(Text, R"(latency_seconds_bucket{le="+Inf",route="z"} 2)"));
  cr_assert(holds(Text, R"(latency_seconds_count{route="z"} 2)"));
}

// Guards against label values from callers that fill the memory.
Test(metrics, the_number_of_series_is_bounded) {
  Metrics Values;
  for (std::size_t I = 0; I < Metrics::MaxSeries + 10; ++I)
    Values.count("c", {{"n", std::to_string(I)}});
  Values.count("c", {{"n", "0"}});
  const std::string Text = Values.render();
  cr_assert(holds(Text, "filbertvane_dropped_series_total 10"));
  cr_assert(holds(Text, R"(c{n="0"} 2)"));
}
