#ifndef FILBERTVANE_OBSERVE_TRACER_H
#define FILBERTVANE_OBSERVE_TRACER_H

#include "filbertvane/core/Time.h"
#include "filbertvane/observe/TraceContext.h"
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace filbertvane::io {
class EventLoop;
class HttpClient;
} // namespace filbertvane::io

namespace filbertvane::observe {

/// @brief One finished hop of a request.
struct Span {
  TraceContext Context;
  /// Span id of the parent; empty at the start of a trace.
  std::string Parent;
  std::string Name;
  core::WallTime Begin;
  core::WallTime End;
  bool Failed = false;
  std::map<std::string, std::string> Attributes;

  friend auto operator<=>(const Span &, const Span &) = default;
};

/// @brief OTLP JSON (`ExportTraceServiceRequest`) of a batch of spans.
std::string toOtlpJson(const std::string &Service, const std::string &Instance,
                       const std::vector<Span> &Batch);

/// @brief Collects spans and exports them in batches over HTTP.
class Tracer {
public:
  struct Options {
    /// URL of an OTLP/HTTP receiver; nothing is kept or sent without one.
    std::string Url;
    std::string Service = "filbertvane";
    std::string Instance;
  };

  /// Spans waiting for export; further ones are dropped and counted.
  static constexpr std::size_t MaxWaiting = 4096;
  /// Spans of one export.
  static constexpr std::size_t MaxBatch = 512;

  Tracer(io::EventLoop &Loop, io::HttpClient &Client, Options Settings);
  ~Tracer();
  Tracer(const Tracer &) = delete;
  Tracer &operator=(const Tracer &) = delete;

  /// @brief Keeps a sampled span for the next export.
  void record(Span Finished);
  /// @brief Exports one batch now, unless an export is under way.
  void flush();

  std::size_t waiting() const;
  /// @brief Spans lost to the bound or to failed exports.
  std::uint64_t dropped() const;

private:
  struct Exporter;
  std::unique_ptr<Exporter> Impl;
};

} // namespace filbertvane::observe

#endif // FILBERTVANE_OBSERVE_TRACER_H
