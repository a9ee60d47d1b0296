#ifndef FILBERTVANE_OBSERVE_TRACECONTEXT_H
#define FILBERTVANE_OBSERVE_TRACECONTEXT_H

#include "filbertvane/core/Random.h"
#include <optional>
#include <string>
#include <string_view>

namespace filbertvane::observe {

/// @brief Position in a trace, as in the W3C header `traceparent`.
struct TraceContext {
  /// 32 lower-case hexadecimal digits, not all zero.
  std::string TraceId;
  /// 16 lower-case hexadecimal digits, not all zero.
  std::string SpanId;
  bool Sampled = true;

  friend auto operator<=>(const TraceContext &, const TraceContext &) = default;
};

/// @brief Parses a `traceparent` value.
/// @return none when the value is malformed
std::optional<TraceContext> parseTraceParent(std::string_view Text);

/// @brief Value of `traceparent` for a context.
std::string toTraceParent(const TraceContext &Context);

/// @brief Context of a new span: in its parent's trace, or in a new one.
TraceContext childOf(const std::optional<TraceContext> &Parent,
                     core::Random &Ids);

} // namespace filbertvane::observe

#endif // FILBERTVANE_OBSERVE_TRACECONTEXT_H
