#include "filbertvane/config/Routing.h"
#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace filbertvane::config {

namespace {

core::Error invalid(const HostRoute &Route, std::string_view Reason) {
  return {core::ErrorCode::RoutingInvalid,
          fmt::format("route {}: {}", Route.Name.value(), Reason)};
}

core::Error invalid(const Tenant &Holder, std::string_view Reason) {
  return {core::ErrorCode::RoutingInvalid,
          fmt::format("tenant {}: {}", Holder.Name.value(), Reason)};
}

bool definesService(const Routing &Config, const core::ServiceName &Name) {
  return std::ranges::find(Config.Services, Name, &Service::Name) !=
         Config.Services.end();
}

core::Status checkRoute(const Routing &Config, const HostRoute &Route) {
  const std::string &Prefix = Route.Prefix;
  if (Route.VirtualHost.empty())
    return invalid(Route, "no host");
  if (Prefix.empty() || Prefix.front() != '/' || Prefix.back() != '/')
    return invalid(Route, "the prefix does not begin and end with a slash");
  if (Route.Timeout.count() <= 0)
    return invalid(Route, "no time-out");
  // An objective longer than the time-out is valid, because operators may
  // shorten a time-out without changing the objective.
  if (Route.LatencyObjective.count() <= 0)
    return invalid(Route, "no latency objective");
  if (Route.MaxTargets == 0)
    return invalid(Route, "no target may be reached");
  std::uint64_t Sum = 0;
  for (const WeightedService &Weighted : Route.Services) {
    if (!definesService(Config, Weighted.Service))
      return invalid(Route, "unknown service " + Weighted.Service.value());
    Sum += Weighted.Weight;
  }
  if (Sum == 0)
    return invalid(Route, "no service has a weight");
  return std::monostate();
}

/// A key that two tenants hold would attribute requests to either of them.
core::Status checkTenants(const std::vector<Tenant> &Tenants) {
  std::set<KeyDigest> Keys;
  for (const Tenant &Holder : Tenants) {
    if (Holder.Name.value().empty())
      return invalid(Holder, "no name");
    // The name is the value of a header.
    if (std::ranges::any_of(Holder.Name.value(), [](unsigned char Byte) {
          return Byte < ' ' || Byte == 0x7f;
        }))
      return invalid(Holder, "the name has control characters");
    if (Holder.Name.value().front() == ' ' || Holder.Name.value().back() == ' ')
      return invalid(Holder, "the name begins or ends with a blank");
    for (const KeyDigest &Key :
         std::set(Holder.Keys.begin(), Holder.Keys.end()))
      if (!Keys.insert(Key).second)
        return invalid(Holder, "a key belongs to another tenant as well");
  }
  return std::monostate();
}

} // namespace

core::Status validateRouting(const Routing &Candidate) {
  for (const HostRoute &Route : Candidate.Routes) {
    core::Status Checked = checkRoute(Candidate, Route);
    if (!core::ok(Checked))
      return Checked;
  }
  return Candidate.Tenants ? checkTenants(*Candidate.Tenants)
                           : core::Status(std::monostate());
}

RoutingTable::RoutingTable(Routing Source) : Config(std::move(Source)) {
  for (const HostRoute &Route : Config.Routes) {
    const auto Shared = std::make_shared<const HostRoute>(Route);
    RoutesByHost[Route.VirtualHost].push_back(Shared);
    RoutesByName.emplace(Route.Name, Shared);
  }
  for (auto &[Host, Routes] : RoutesByHost)
    std::ranges::stable_sort(Routes, [](const auto &A, const auto &B) {
      return A->Prefix.size() > B->Prefix.size();
    });
  if (!Config.Tenants)
    return;
  for (const Tenant &Holder : *Config.Tenants) {
    const auto Shared = std::make_shared<const Tenant>(Holder);
    TenantsByName.emplace(Holder.Name, Shared);
    HasQuotas = HasQuotas || Holder.Quota.RequestsPerSecond > 0;
    for (const KeyDigest &Key : Holder.Keys)
      TenantsByKey.emplace(Key, Shared);
  }
}

std::shared_ptr<const HostRoute>
RoutingTable::match(std::string_view Host, std::string_view Path) const {
  const auto Found = RoutesByHost.find(Host.substr(0, Host.rfind(':')));
  if (Found == RoutesByHost.end())
    return nullptr;
  const std::string_view PathOnly = Path.substr(0, Path.find('?'));
  for (const auto &Route : Found->second)
    if (PathOnly.starts_with(Route->Prefix))
      return Route;
  return nullptr;
}

std::shared_ptr<const HostRoute>
RoutingTable::findRoute(const core::RouteName &Name) const {
  const auto Found = RoutesByName.find(Name);
  return Found == RoutesByName.end() ? nullptr : Found->second;
}

bool RoutingTable::hasService(const core::ServiceName &Name) const {
  return definesService(Config, Name);
}

const Service *RoutingTable::findService(const core::ServiceName &Name) const {
  const auto Found = std::ranges::find(Config.Services, Name, &Service::Name);
  return Found == Config.Services.end() ? nullptr : &*Found;
}

std::shared_ptr<const Tenant>
RoutingTable::tenantOf(const KeyDigest &Key) const {
  const auto Found = TenantsByKey.find(Key);
  return Found == TenantsByKey.end() ? nullptr : Found->second;
}

std::shared_ptr<const Tenant>
RoutingTable::findTenant(const core::TenantName &Name) const {
  const auto Found = TenantsByName.find(Name);
  return Found == TenantsByName.end() ? nullptr : Found->second;
}

} // namespace filbertvane::config
