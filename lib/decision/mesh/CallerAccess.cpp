#include "filbertvane/decision/mesh/CallerAccess.h"
#include <algorithm>
#include <utility>

namespace filbertvane::decision::mesh {

namespace {

/// Ended runs that are remembered. A target with 18 slots and 20 ms answers
/// ends 900 runs a second, each with a deadline of a few seconds.
constexpr std::size_t MaximumEndedRuns = 8192;
constexpr core::Seconds RefusalLogPeriod{1};

} // namespace

/// A key that no tenant holds is refused on anonymous routes as well: its
/// caller means to act as a tenant, and is none.
AccessVerdict checkKey(const config::RoutingTable &Table,
                       const config::HostRoute &Route,
                       const std::optional<config::KeyDigest> &Key,
                       bool IsTargetCall) {
  if (!Table.requiresKeys())
    return {};
  if (Key) {
    auto Tenant = Table.tenantOf(*Key);
    if (!Tenant)
      return {AccessFault::KeyUnknown, nullptr};
    return {std::nullopt, std::move(Tenant)};
  }
  if (Route.AllowsAnonymous || IsTargetCall)
    return {};
  return {AccessFault::KeyMissing, nullptr};
}

void TargetCallers::configured(const config::Routing &Loaded,
                               const core::ServiceName &Local,
                               core::TimePoint FormerUntil) {
  if (FormerRunsUntil)
    return;
  core::Milliseconds Longest{0};
  for (const config::HostRoute &Route : Loaded.Routes)
    if (std::ranges::find(Route.Services, Local,
                          &config::WeightedService::Service) !=
        Route.Services.end())
      Longest = std::max(Longest, Route.Timeout);
  FormerRunsUntil = FormerUntil + Longest;
}

void TargetCallers::recordEnd(const std::string &RequestId,
                              core::TimePoint Deadline) {
  if (!RequestId.empty() && Ended.size() < MaximumEndedRuns)
    Ended.insert_or_assign(RequestId, Deadline);
}

bool TargetCallers::mayRun(const std::string &RequestId,
                           core::TimePoint Now) const {
  if (RequestId.empty())
    return false;
  if (FormerRunsUntil && Now < *FormerRunsUntil)
    return true;
  const auto Found = Ended.find(RequestId);
  return Found != Ended.end() && Now < Found->second;
}

void TargetCallers::expire(core::TimePoint Now) {
  std::erase_if(Ended,
                [Now](const auto &Entry) { return Entry.second <= Now; });
}

std::optional<std::uint64_t> RefusalLog::record(core::TimePoint Now) {
  ++Total;
  ++SinceLine;
  if (Now < NextLineAt)
    return std::nullopt;
  NextLineAt = Now + RefusalLogPeriod;
  return std::exchange(SinceLine, 0);
}

void TenantCounts::record(const core::TenantName &Tenant) {
  const auto Known = Named.find(Tenant);
  if (Known != Named.end())
    ++Known->second;
  else if (Named.size() < MaximumNamed)
    Named.emplace(Tenant, 1);
  else
    ++Others;
}

} // namespace filbertvane::decision::mesh
