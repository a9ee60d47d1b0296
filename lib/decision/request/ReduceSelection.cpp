#include "Reduction.h"

namespace filbertvane::decision::request {

std::optional<TargetIndex> Reduction::selectTarget(Call &Which) {
  ServiceState *Service = serviceOf(Which);
  if (!Service)
    return std::nullopt;
  VersionPool *Pool = selectPool(Which, *Service);
  if (!Pool)
    return std::nullopt;
  return selectFromPool(Which, *Service, *Pool);
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
/// shares.
VersionPool *Reduction::selectPool(Call &Which, ServiceState &Service) {
  if (Which.FixedVersion)
    return Service.poolOf(*Which.FixedVersion);
  VersionPool *Stable = Service.poolOf(Service.Versions.Stable);
  VersionPool *Candidate = nullptr;
  const config::Permille Share =
      eligibleShare(Service.Versions.CandidateShare, Which.idempotent(),
                    Service.HasIdempotentRoute);
  if (Service.Versions.Candidate && Share > 0)
    Candidate = Service.poolOf(*Service.Versions.Candidate);
  const bool Selected = Share > 0 && Service.Selector.selectCandidate(Share);
  // An unproven candidate never stands in for the stable version.
  const bool Proven = Share > CanaryShare;
  VersionPool *Pool =
      Selected || (Proven && !hasActive(Stable)) ? Candidate : Stable;
  if (!hasActive(Pool))
    Pool = Stable;
  if (Pool)
    Which.FixedVersion = Pool->Version;
  return Pool;
}

std::optional<TargetIndex> Reduction::selectFromPool(const Call &Which,
                                                     ServiceState &Service,
                                                     const VersionPool &Pool) {
  // A request of another data centre's entry node stays in this one.
  const std::size_t Reach = Which.FromNode ? 1 : LocalityCount;
  std::size_t Nearest = 0;
  while (Nearest + 1 < Reach && Pool.Active[Nearest].empty())
    ++Nearest;
  std::size_t First = Nearest;
  // After two refusals the near targets count as full for this call.
  if (Which.Tried.size() > 1 ||
      (Which.Tried.empty() && Reach > 1 && Service.Spillover.spillNext()))
    ++First;
  std::optional<TargetIndex> Fallback;
  for (std::size_t Near = First; Near < Reach; ++Near) {
    const auto Found = pick(Which, Pool.Active[Near]);
    if (!Found)
      continue;
    const Target &Chosen = Fields.Targets[*Found];
    if (Chosen.Outstanding < Chosen.Announcement.Slots)
      return Found;
    if (!Fallback)
      Fallback = Found;
  }
  for (std::size_t Near = Nearest; Near < First && !Fallback; ++Near)
    Fallback = pick(Which, Pool.Active[Near]);
  return Fallback;
}

std::optional<TargetIndex>
Reduction::pick(const Call &Which, std::span<const TargetIndex> Members) {
  const PickContext Context{Members, Fields.Targets.all(), Which.Tried,
                            Which.Route->Kind, Now.Mono};
  return std::visit(
      [&](auto &Picker) { return Picker.pick(Context, Fields.Rng); },
      Fields.Config.Picker);
}

} // namespace filbertvane::decision::request
