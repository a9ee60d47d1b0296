#ifndef FILBERTVANE_TOOLS_FV_LOAD_RESULTS_H
#define FILBERTVANE_TOOLS_FV_LOAD_RESULTS_H

#include "filbertvane/observe/Metrics.h"

namespace filbertvane::tools {

/// @brief How a request ended for the load generator.
enum class Verdict {
  Ok,
  /// Refused with a "not run" marker, or never handed over.
  NotRun,
  /// Marked "unknown", or no answer after hand-over.
  Unknown,
  /// An answer with another status, or one seen as broken.
  Failed,
  /// An answer taken as whole that is shorter than it must be.
  Truncated,
  /// An answer to another request, or with other content.
  WrongAnswer,
};

/// @brief Name of a verdict in the result line.
const char *nameOf(Verdict Kind);

/// @brief Counts of a run.
struct Results {
  std::uint64_t Sent = 0;
  std::map<Verdict, std::uint64_t> Counts;
  /// Latencies of the requests that ended `Ok`.
  observe::LatencyHistogram Latency;

  /// @brief The result line.
  std::string toJson() const;
};

} // namespace filbertvane::tools

#endif // FILBERTVANE_TOOLS_FV_LOAD_RESULTS_H
