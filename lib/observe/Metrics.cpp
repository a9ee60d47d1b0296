#include "filbertvane/observe/Metrics.h"
#include <fmt/format.h>
#include <iterator>

namespace filbertvane::observe {

namespace {

/// Bucket bounds of the rendered histograms, in seconds.
constexpr double Bounds[] = {0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005,
                             0.01,   0.025,   0.05,   0.1,   0.25,   0.5,
                             1.,     2.5,     5.,     10.,   60.};

std::string escaped(const std::string &Text) {
  std::string Out;
  for (const char C : Text) {
    if (C == '\n')
      Out += "\\n";
    else if (C == '\\' || C == '"')
      Out += {'\\', C};
    else
      Out += C;
  }
  return Out;
}

std::string labelText(Labels Of, const char *Extra = nullptr,
                      const std::string &Value = "") {
  if (Extra != nullptr)
    Of.emplace(Extra, Value);
  std::string Out;
  for (const auto &[Name, Text] : Of)
    Out +=
        fmt::format("{}{}=\"{}\"", Out.empty() ? "" : ",", Name, escaped(Text));
  return Out.empty() ? Out : "{" + Out + "}";
}

/// Writes the type line before the first series of each name.
void writeType(std::string &Out, std::string &Last, const std::string &Name,
               const char *Type) {
  if (Name != Last)
    Out += fmt::format("# TYPE {} {}\n", Name, Type);
  Last = Name;
}

void writeHistogram(std::string &Out, const std::string &Name, const Labels &Of,
                    const LatencyHistogram &Values) {
  for (const double Bound : Bounds) {
    const core::Microseconds Edge(static_cast<std::int64_t>(Bound * 1e6));
    Out += fmt::format("{}_bucket{} {}\n", Name,
                       labelText(Of, "le", fmt::format("{}", Bound)),
                       Values.countUpTo(Edge));
  }
  Out += fmt::format("{}_bucket{} {}\n", Name, labelText(Of, "le", "+Inf"),
                     Values.count());
  const double Seconds = static_cast<double>(Values.sum().count()) * 1e-6;
  Out += fmt::format("{}_sum{} {}\n", Name, labelText(Of), Seconds);
  Out += fmt::format("{}_count{} {}\n", Name, labelText(Of), Values.count());
}

} // namespace

bool Metrics::admit(bool Known) {
  if (Known || Counters.size() + Gauges.size() + Latencies.size() < MaxSeries)
    return true;
  ++Dropped;
  return false;
}

void Metrics::count(const std::string &Name, const Labels &Of,
                    std::uint64_t By) {
  const Series Key{Name, Of};
  if (admit(Counters.count(Key) > 0))
    Counters[Key] += By;
}

void Metrics::set(const std::string &Name, const Labels &Of, double Value) {
  const Series Key{Name, Of};
  if (admit(Gauges.count(Key) > 0))
    Gauges[Key] = Value;
}

void Metrics::observe(const std::string &Name, const Labels &Of,
                      core::Microseconds Latency) {
  const Series Key{Name, Of};
  if (admit(Latencies.count(Key) > 0))
    Latencies[Key].add(Latency);
}

std::string Metrics::render() const {
  std::string Out;
  std::string Last;
  for (const auto &[Key, Value] : Counters) {
    writeType(Out, Last, Key.first, "counter");
    Out += fmt::format("{}{} {}\n", Key.first, labelText(Key.second), Value);
  }
  for (const auto &[Key, Value] : Gauges) {
    writeType(Out, Last, Key.first, "gauge");
    Out += fmt::format("{}{} {}\n", Key.first, labelText(Key.second), Value);
  }
  for (const auto &[Key, Value] : Latencies) {
    writeType(Out, Last, Key.first, "histogram");
    writeHistogram(Out, Key.first, Key.second, Value);
  }
  writeType(Out, Last, "filbertvane_dropped_series_total", "counter");
  Out += fmt::format("filbertvane_dropped_series_total {}\n", Dropped);
  return Out;
}

} // namespace filbertvane::observe
