#include "filbertvane/config/Routing.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::config {

namespace {

core::Error invalid(const HostRoute &Route, std::string_view Reason) {
  return {core::ErrorCode::RoutingInvalid,
          fmt::format("route {}: {}", Route.Name.value(), Reason)};
}

bool definesService(const Routing &Config, const core::ServiceName &Service) {
  return std::ranges::find(Config.Services, Service) != Config.Services.end();
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

} // namespace

core::Status validateRouting(const Routing &Candidate) {
  for (const HostRoute &Route : Candidate.Routes) {
    core::Status Checked = checkRoute(Candidate, Route);
    if (!core::ok(Checked))
      return Checked;
  }
  return std::monostate();
}

RoutingTable::RoutingTable(Routing Source) : Config(std::move(Source)) {
  for (const HostRoute &Route : Config.Routes)
    RoutesByHost[Route.VirtualHost].push_back(
        std::make_shared<const HostRoute>(Route));
  for (auto &[Host, Routes] : RoutesByHost)
    std::ranges::stable_sort(Routes, [](const auto &A, const auto &B) {
      return A->Prefix.size() > B->Prefix.size();
    });
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

bool RoutingTable::hasService(const core::ServiceName &Service) const {
  return definesService(Config, Service);
}

} // namespace filbertvane::config
