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
      if (!Fields.Targets[At].Removed &&
          !Fields.Targets[At].Health.EjectedUntil)
        Pool.Active[Near].push_back(At);
  }
}

void Reduction::recordHealth(TargetIndex At, bool Fault,
                             core::Microseconds Latency) {
  Target &Which = Fields.Targets[At];
  if (!recordAttempt(Which.Health, Fault, Latency))
    return;
  const auto Service = Fields.Services.find(Which.Announcement.Service);
  if (Service == Fields.Services.end())
    return;
  if (VersionPool *Pool = Service->second.poolOf(Which.Announcement.Version))
    ejectFrom(*Pool, At);
}

void Reduction::ejectFrom(VersionPool &Pool, TargetIndex At) {
  const Target &Which = Fields.Targets[At];
  const auto &Members = Pool.Members[static_cast<std::size_t>(Which.Distance)];
  if (!eject(Fields.Targets, Members, At, Now.Mono))
    return;
  log(observe::EventId::RequestTargetEjected,
      Which.Announcement.Target.value());
  refreshActive(Pool);
}

void Reduction::reviewTargets() {
  if (Now.Mono < Fields.NextReview)
    return;
  Fields.NextReview = Now.Mono + ReviewPeriod;
  for (auto &[Name, Service] : Fields.Services)
    for (VersionPool &Pool : Service.Pools)
      reviewPool(Pool);
}

void Reduction::reviewPool(VersionPool &Pool) {
  for (const auto &Members : Pool.Members) {
    const auto Readmitted = readmit(Fields.Targets, Members, Now.Mono);
    for (TargetIndex At : Readmitted)
      log(observe::EventId::RequestTargetReadmitted,
          Fields.Targets[At].Announcement.Target.value());
    if (!Readmitted.empty())
      refreshActive(Pool);
    for (TargetIndex At : findOutliers(Members, Fields.Targets.all()))
      ejectFrom(Pool, At);
  }
}

} // namespace filbertvane::decision::request
