#include "Reduction.h"
#include "filbertvane/decision/request/Ejection.h"

namespace filbertvane::decision::request {

namespace {

/// Ticks come more often, for deadlines; medians need not be that fresh.
constexpr core::Milliseconds ReviewPeriod{250};

} // namespace

void Reduction::refreshActive(VersionPool &Pool) {
  for (std::size_t Near = 0; Near < LocalityCount; ++Near) {
    Pool.Active[Near].clear();
    for (TargetIndex At : Pool.Members[Near])
      if (!Next.Targets[At].Gone && !Next.Targets[At].Seen.EjectedUntil)
        Pool.Active[Near].push_back(At);
  }
}

void Reduction::noteHealth(TargetIndex At, bool Fault,
                           core::Microseconds Latency) {
  Target &Which = Next.Targets[At];
  if (!noteAttempt(Which.Seen, Fault, Latency))
    return;
  const auto Service = Next.Services.find(Which.Place.Service);
  if (Service == Next.Services.end())
    return;
  if (VersionPool *Pool = Service->second.poolOf(Which.Place.Version))
    ejectFrom(*Pool, At);
}

void Reduction::ejectFrom(VersionPool &Pool, TargetIndex At) {
  const Target &Which = Next.Targets[At];
  const auto &Members = Pool.Members[static_cast<std::size_t>(Which.Near)];
  if (!eject(Next.Targets, Members, At, Now.Mono))
    return;
  log(observe::EventId::RequestTargetEjected, Which.Place.Target.value());
  refreshActive(Pool);
}

void Reduction::reviewTargets() {
  if (Now.Mono < Next.NextReview)
    return;
  Next.NextReview = Now.Mono + ReviewPeriod;
  for (auto &[Name, Service] : Next.Services)
    for (VersionPool &Pool : Service.Pools)
      reviewPool(Pool);
}

void Reduction::reviewPool(VersionPool &Pool) {
  for (const auto &Members : Pool.Members) {
    const auto Readmitted = readmit(Next.Targets, Members, Now.Mono);
    for (TargetIndex At : Readmitted)
      log(observe::EventId::RequestTargetReadmitted,
          Next.Targets[At].Place.Target.value());
    if (!Readmitted.empty())
      refreshActive(Pool);
    for (TargetIndex At : outliers(Members, Next.Targets.all()))
      ejectFrom(Pool, At);
  }
}

} // namespace filbertvane::decision::request
