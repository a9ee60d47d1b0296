#include "filbertvane/config/Routing.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::config {

namespace {

core::Error invalid(const HostRoute &Route, std::string_view Fault) {
  return {core::ErrorCode::RoutingInvalid,
          fmt::format("route {}: {}", Route.Name.value(), Fault)};
}

bool named(const Routing &In, const core::ServiceName &Service) {
  return std::ranges::find(In.Services, Service) != In.Services.end();
}

core::Status checkRoute(const Routing &In, const HostRoute &Route) {
  const std::string &Prefix = Route.Prefix;
  if (Route.VirtualHost.empty())
    return invalid(Route, "no host");
  if (Prefix.empty() || Prefix.front() != '/' || Prefix.back() != '/')
    return invalid(Route, "the prefix does not begin and end with a slash");
  if (Route.Timeout.count() <= 0)
    return invalid(Route, "no time-out");
  // An objective beyond the time-out is valid: operators shorten a time-out
  // without touching the objective.
  if (Route.LatencyObjective.count() <= 0)
    return invalid(Route, "no latency objective");
  if (Route.MaxTargets == 0)
    return invalid(Route, "no target may be reached");
  std::uint64_t Sum = 0;
  for (const WeightedService &Part : Route.Services) {
    if (!named(In, Part.Service))
      return invalid(Route, "unknown service " + Part.Service.value());
    Sum += Part.Weight;
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

RoutingTable::RoutingTable(Routing Source) : From(std::move(Source)) {
  for (const HostRoute &Route : From.Routes)
    ByHost[Route.VirtualHost].push_back(
        std::make_shared<const HostRoute>(Route));
  for (auto &[Host, Routes] : ByHost)
    std::ranges::stable_sort(Routes, [](const auto &A, const auto &B) {
      return A->Prefix.size() > B->Prefix.size();
    });
}

std::shared_ptr<const HostRoute>
RoutingTable::match(std::string_view Host, std::string_view Path) const {
  const auto Found = ByHost.find(Host.substr(0, Host.rfind(':')));
  if (Found == ByHost.end())
    return nullptr;
  const std::string_view Plain = Path.substr(0, Path.find('?'));
  for (const auto &Route : Found->second)
    if (Plain.starts_with(Route->Prefix))
      return Route;
  return nullptr;
}

bool RoutingTable::hasService(const core::ServiceName &Service) const {
  return named(From, Service);
}

} // namespace filbertvane::config
