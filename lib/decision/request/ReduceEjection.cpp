#include "Reduction.h"
#include "filbertvane/decision/request/Ejection.h"

namespace filbertvane::decision::request {

namespace {

/// Longer than the tick interval, because outlier detection does not need the
/// precision of deadlines.
constexpr core::Milliseconds ReviewInterval{250};

} // namespace

void Reduction::refreshActive(VersionPool &Pool) {
  for (std::size_t Distance = 0; Distance < LocalityCount; ++Distance) {
    Pool.Active[Distance].clear();
    for (TargetIndex Index : Pool.Members[Distance])
      if (!Fields.Targets[Index].Removed &&
          !Fields.Targets[Index].Health.EjectedUntil)
        Pool.Active[Distance].push_back(Index);
  }
}

void Reduction::recordHealth(TargetIndex Index, bool Fault,
                             core::Microseconds Latency) {
  Target &Candidate = Fields.Targets[Index];
  if (!recordAttempt(Candidate.Health, Fault, Latency))
    return;
  const auto Service = Fields.Services.find(Candidate.Announcement.Service);
  if (Service == Fields.Services.end())
    return;
  if (VersionPool *Pool =
          Service->second.poolOf(Candidate.Announcement.Version))
    ejectFrom(*Pool, Index);
}

void Reduction::ejectFrom(VersionPool &Pool, TargetIndex Index) {
  const Target &Candidate = Fields.Targets[Index];
  const auto &Members =
      Pool.Members[static_cast<std::size_t>(Candidate.Distance)];
  if (!eject(Fields.Targets, Members, Index, Now.Mono))
    return;
  log(observe::EventId::RequestTargetEjected,
      Candidate.Announcement.Target.value());
  refreshActive(Pool);
}

void Reduction::reviewTargets() {
  if (Now.Mono < Fields.NextReview)
    return;
  Fields.NextReview = Now.Mono + ReviewInterval;
  for (auto &[Name, Service] : Fields.Services)
    for (VersionPool &Pool : Service.Pools)
      reviewPool(Pool);
}

void Reduction::reviewPool(VersionPool &Pool) {
  for (const auto &Members : Pool.Members) {
    const auto Readmitted = readmit(Fields.Targets, Members, Now.Mono);
    for (TargetIndex Index : Readmitted)
      log(observe::EventId::RequestTargetReadmitted,
          Fields.Targets[Index].Announcement.Target.value());
    if (!Readmitted.empty())
      refreshActive(Pool);
    for (TargetIndex Index : findOutliers(Members, Fields.Targets.all()))
      ejectFrom(Pool, Index);
  }
}

} // namespace filbertvane::decision::request
