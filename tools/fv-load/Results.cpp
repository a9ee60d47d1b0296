#include "Results.h"
#include <fmt/format.h>

namespace filbertvane::tools {

namespace {

constexpr Verdict AllVerdicts[] = {Verdict::Ok,        Verdict::NotRun,
                                   Verdict::Unknown,   Verdict::Failed,
                                   Verdict::Truncated, Verdict::WrongAnswer};

} // namespace

const char *nameOf(Verdict Kind) {
  switch (Kind) {
  case Verdict::Ok:
    return "ok";
  case Verdict::NotRun:
    return "not_run";
  case Verdict::Unknown:
    return "unknown";
  case Verdict::Failed:
    return "failed";
  case Verdict::Truncated:
    return "truncated";
  case Verdict::WrongAnswer:
    return "wrong_answer";
  }
  return "";
}

std::string Results::toJson() const {
  std::string Out = fmt::format("{{\"sent\":{}", Sent);
  for (const Verdict Kind : AllVerdicts) {
    const auto Found = Counts.find(Kind);
    const std::uint64_t Count = Found == Counts.end() ? 0 : Found->second;
    Out += fmt::format(",\"{}\":{}", nameOf(Kind), Count);
  }
  Out += fmt::format(",\"p50_us\":{},\"p99_us\":{},\"max_us\":{}}}",
                     Latency.quantile(0.5).count(),
                     Latency.quantile(0.99).count(), Latency.max().count());
  return Out;
}

} // namespace filbertvane::tools
