#include "Reduction.h"

namespace filbertvane::decision::request {

std::optional<TargetIndex> Reduction::selectTarget(Call &ActiveCall) {
  ServiceState *Service = serviceOf(ActiveCall);
  if (!Service)
    return std::nullopt;
  VersionPool *Pool = selectPool(ActiveCall, *Service);
  if (!Pool)
    return std::nullopt;
  return selectFromPool(ActiveCall, *Service, *Pool);
}

namespace {

bool hasActive(const VersionPool *Pool) {
  if (!Pool)
    return false;
  for (const auto &Members : Pool->Active)
    if (!Members.empty())
      return true;
  return false;
}

} // namespace

/// The version is selected once per call, so that retries do not change the
/// traffic shares.
VersionPool *Reduction::selectPool(Call &ActiveCall, ServiceState &Service) {
  if (ActiveCall.FixedVersion)
    return Service.poolOf(*ActiveCall.FixedVersion);
  VersionPool *Stable = Service.poolOf(Service.Versions.Stable);
  VersionPool *Candidate = nullptr;
  const config::Permille Share =
      eligibleShare(Service.Versions.CandidateShare, ActiveCall.idempotent(),
                    Service.HasIdempotentRoute);
  if (Service.Versions.Candidate && Share > 0)
    Candidate = Service.poolOf(*Service.Versions.Candidate);
  const bool Selected = Share > 0 && Service.Selector.selectCandidate(Share);
  // An unproven candidate never replaces the stable version.
  const bool Proven = Share > CanaryShare;
  VersionPool *Pool =
      Selected || (Proven && !hasActive(Stable)) ? Candidate : Stable;
  if (!hasActive(Pool))
    Pool = Stable;
  if (Pool)
    ActiveCall.FixedVersion = Pool->Version;
  return Pool;
}

std::optional<TargetIndex> Reduction::selectFromPool(const Call &ActiveCall,
                                                     ServiceState &Service,
                                                     const VersionPool &Pool) {
  // A request forwarded from another data centre must stay in this one.
  const std::size_t LocalityEnd = ActiveCall.FromNode ? 1 : LocalityCount;
  std::size_t Nearest = 0;
  while (Nearest + 1 < LocalityEnd && Pool.Active[Nearest].empty())
    ++Nearest;
  std::size_t Start = Nearest;
  // After two attempts the nearest targets are considered full for this call.
  if (ActiveCall.Tried.size() > 1 ||
      (ActiveCall.Tried.empty() && LocalityEnd > 1 &&
       Service.Spillover.spillNext()))
    ++Start;
  std::optional<TargetIndex> Fallback;
  for (std::size_t Distance = Start; Distance < LocalityEnd; ++Distance) {
    const auto Found = pick(ActiveCall, Pool.Active[Distance]);
    if (!Found)
      continue;
    const Target &Chosen = Fields.Targets[*Found];
    if (Chosen.Outstanding < Chosen.Announcement.Slots)
      return Found;
    if (!Fallback)
      Fallback = Found;
  }
  for (std::size_t Distance = Nearest; Distance < Start && !Fallback;
       ++Distance)
    Fallback = pick(ActiveCall, Pool.Active[Distance]);
  return Fallback;
}

std::optional<TargetIndex>
Reduction::pick(const Call &ActiveCall, std::span<const TargetIndex> Members) {
  const PickContext Context{Members, Fields.Targets.all(), ActiveCall.Tried,
                            ActiveCall.Route->Kind, Now.Mono};
  return std::visit(
      [&](auto &Picker) { return Picker.pick(Context, Fields.Rng); },
      Fields.Config.Picker);
}

} // namespace filbertvane::decision::request
