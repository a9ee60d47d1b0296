#ifndef FILBERTVANE_CONFIG_ROUTING_H
#define FILBERTVANE_CONFIG_ROUTING_H

#include "filbertvane/config/KeyDigest.h"
#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Result.h"
#include "filbertvane/core/Time.h"
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace filbertvane::config {

/// @brief A service with its weight in a traffic split.
struct WeightedService {
  core::ServiceName Service;
  std::uint32_t Weight = 1;

  friend auto operator<=>(const WeightedService &,
                          const WeightedService &) = default;
};

/// @brief A route of a virtual host.
struct HostRoute {
  core::RouteName Name;
  std::string VirtualHost;
  /// Begins and ends with a slash.
  std::string Prefix;
  /// One service, or all services of a traffic split.
  std::vector<WeightedService> Services;
  /// A request of a non-idempotent route runs at most once.
  bool Idempotent = false;
  /// Large requests or answers are expected.
  bool Bulk = false;
  /// Kind that the operator named, if this version of the node does not know
  /// it.
  std::optional<std::string> UnknownKind;
  /// Time after which a request fails if it has no answer.
  core::Milliseconds Timeout{0};
  /// Target latency; a later answer is of less value to the caller.
  core::Milliseconds LatencyObjective{0};
  /// Priority of the route's requests; 0 is the most urgent.
  std::uint32_t Rank = 0;
  /// Maximum number of targets to which one request may be sent.
  std::uint32_t MaxTargets = 1;
  /// Regions in which requests may run and be held; empty for all.
  std::vector<core::RegionId> AllowedRegions;
  /// Requests need no key, also where the configuration names tenants.
  bool AllowsAnonymous = false;

  friend auto operator<=>(const HostRoute &, const HostRoute &) = default;
};

/// @brief A service to which routes may lead.
struct Service {
  core::ServiceName Name;
  /// Requests per second that a target accepts while it is cold; 0 for no
  /// limit.
  double ColdRequestsPerSecond = 0;

  friend auto operator<=>(const Service &, const Service &) = default;
};

/// @brief Requests that a tenant may make, over all nodes together.
struct Quota {
  /// 0 for no limit.
  double RequestsPerSecond = 0;
  /// Requests beyond the rate that may come at once.
  double Burst = 0;

  friend auto operator<=>(const Quota &, const Quota &) = default;
};

/// @brief A tenant: callers that share keys, a priority and a quota.
struct Tenant {
  core::TenantName Name;
  std::vector<KeyDigest> Keys;
  /// Replaces the rank of the route; 0 is the most urgent.
  std::optional<std::uint32_t> Rank;
  config::Quota Quota;
  /// Regions in which requests may run and be held; empty for all.
  std::vector<core::RegionId> AllowedRegions;

  friend auto operator<=>(const Tenant &, const Tenant &) = default;
};

/// @brief Size and time limits for requests of callers.
struct CallerLimits {
  std::uint64_t MaxHeaderBytes = 0;
  std::uint64_t MaxBodyBytes = 0;
  core::Milliseconds HeaderTimeout{0};
  core::Milliseconds IdleTimeout{0};

  friend auto operator<=>(const CallerLimits &, const CallerLimits &) = default;
};

/// @brief One version of the routing configuration.
struct Routing {
  core::ConfigVersion Version;
  std::vector<HostRoute> Routes;
  std::vector<Service> Services;
  CallerLimits Limits;
  /// None when callers need no key.
  std::optional<std::vector<Tenant>> Tenants;

  friend auto operator<=>(const Routing &, const Routing &) = default;
};

/// @brief Validates a configuration as a whole.
/// @return success, or `RoutingInvalid` with the first error found
core::Status validateRouting(const Routing &Candidate);

/// @brief Matches requests to the routes of one configuration.
class RoutingTable {
public:
  explicit RoutingTable(Routing Source);

  /// @brief Route of the virtual host whose prefix is the longest match for
  ///        the path, or null.
  /// @param Host value of the `Host` header; a port is ignored
  /// @param Path request path; a query is ignored
  /// Complexity: linear in the routes of the virtual host.
  std::shared_ptr<const HostRoute> match(std::string_view Host,
                                         std::string_view Path) const;
  /// @brief Route of a name, or null.
  std::shared_ptr<const HostRoute> findRoute(const core::RouteName &Name) const;
  /// @brief Whether the configuration names a service.
  bool hasService(const core::ServiceName &Name) const;
  /// @brief The service of a name, or null.
  const Service *findService(const core::ServiceName &Name) const;
  /// @brief Whether requests need a key, unless their route is anonymous.
  bool requiresKeys() const { return Config.Tenants.has_value(); }
  /// @brief Whether any tenant has a quota.
  bool hasQuotas() const { return HasQuotas; }
  /// @brief Tenant that holds a key, or null.
  std::shared_ptr<const Tenant> tenantOf(const KeyDigest &Key) const;
  /// @brief Tenant of a name, or null.
  std::shared_ptr<const Tenant> findTenant(const core::TenantName &Name) const;
  const Routing &routing() const { return Config; }

private:
  Routing Config;
  /// Routes of each virtual host, longest prefix first.
  std::map<std::string, std::vector<std::shared_ptr<const HostRoute>>,
           std::less<>>
      RoutesByHost;
  std::map<core::RouteName, std::shared_ptr<const HostRoute>> RoutesByName;
  std::map<KeyDigest, std::shared_ptr<const Tenant>> TenantsByKey;
  std::map<core::TenantName, std::shared_ptr<const Tenant>> TenantsByName;
  bool HasQuotas = false;
};

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_ROUTING_H
