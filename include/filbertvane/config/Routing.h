#ifndef FILBERTVANE_CONFIG_ROUTING_H
#define FILBERTVANE_CONFIG_ROUTING_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Result.h"
#include "filbertvane/core/Time.h"
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace filbertvane::config {

/// @brief A service of a traffic split and its part of the requests.
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
  /// One service, or the parts of a traffic split.
  std::vector<WeightedService> Services;
  /// A request of a non-idempotent route runs at most once.
  bool Idempotent = false;
  /// Answers are large.
  bool Bulk = false;
  /// Longest time for which a caller is kept waiting.
  core::Milliseconds Timeout{0};
  /// Time within which an answer has its full value.
  core::Milliseconds LatencyObjective{0};
  /// Rank of the route's requests; 0 is the most urgent.
  std::uint32_t Rank = 0;
  /// Most targets that one request may reach.
  std::uint32_t MaxTargets = 1;

  friend auto operator<=>(const HostRoute &, const HostRoute &) = default;
};

/// @brief What callers may send, and how long they may take.
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
  std::vector<core::ServiceName> Services;
  CallerLimits Limits;

  friend auto operator<=>(const Routing &, const Routing &) = default;
};

/// @brief Checks a configuration as a whole.
/// @return success, or `RoutingInvalid` with the first fault found
core::Status validateRouting(const Routing &Candidate);

/// @brief Finds the route of a request in one configuration.
class RoutingTable {
public:
  explicit RoutingTable(Routing From);

  /// @brief Route with the longest prefix of the path on a virtual host, or
  ///        null.
  /// @param Host value of the `Host` header; a port is ignored
  /// @param Path path, with or without a query
  /// Complexity: linear in the routes of the virtual host.
  std::shared_ptr<const HostRoute> match(std::string_view Host,
                                         std::string_view Path) const;
  /// @brief Whether the configuration names a service.
  bool hasService(const core::ServiceName &Service) const;
  const Routing &routing() const { return From; }

private:
  Routing From;
  /// Routes of each virtual host, longest prefix first.
  std::map<std::string, std::vector<std::shared_ptr<const HostRoute>>,
           std::less<>>
      ByHost;
};

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_ROUTING_H
