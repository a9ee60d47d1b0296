#include "Reducer.h"
#include <fmt/format.h>

namespace filbertvane::decision::distribution {

void Reducer::noteReport(const Peer &From, const Position &At) {
  if (S.Ready)
    return;
  if (S.Reports.size() >= MaxReports && !S.Reports.contains(From.Node))
    return;
  Report &One = S.Reports[From.Node];
  One.Next = At.Next;
  One.HeardAt = Now.Mono;
  if (!At.Ready)
    One.ReadySince.reset();
  else if (!One.ReadySince)
    One.ReadySince = Now.Mono;
}

/// A new process serves nothing before it holds what its peers hold and knows
/// from the log, or from a node in force, that nothing newer was in force.
void Reducer::checkReady() {
  if (S.Ready)
    return;
  std::erase_if(S.Reports, [this](const auto &One) {
    return Now.Mono - One.second.HeardAt > ReportLifetime;
  });
  // The proof of a holder ends with its report, so that a holder that is lost
  // before its state arrived proves nothing.
  bool Proven = S.Log.ReachedEnd;
  for (const auto &[Node, One] : S.Reports) {
    if (One.Next > S.At.Next)
      return;
    if (One.ReadySince && Now.Mono - *One.ReadySince >= SettleTime)
      Proven = true;
  }
  if (!Proven)
    return;
  S.Ready = true;
  S.At.Ready = true;
  S.Reports.clear();
  log(observe::EventId::DistributionReady,
      fmt::format("offset {} version {}", S.At.Next.value(),
                  S.At.Version.value()));
  Out.push_back(ReadyChanged{true});
}

} // namespace filbertvane::decision::distribution
