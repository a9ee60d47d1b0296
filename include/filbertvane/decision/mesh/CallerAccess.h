#ifndef FILBERTVANE_DECISION_MESH_CALLERACCESS_H
#define FILBERTVANE_DECISION_MESH_CALLERACCESS_H

#include "filbertvane/config/Routing.h"
#include <string>
#include <unordered_map>

namespace filbertvane::decision::mesh {

enum class AccessFault {
  /// The route requires a key and the request has none.
  KeyMissing,
  /// No tenant holds the key.
  KeyUnknown,
};

/// @brief Whether a caller may send a request, and as which tenant.
struct AccessVerdict {
  /// Set when the request is refused.
  std::optional<AccessFault> Fault;
  /// Null for a request without a tenant.
  std::shared_ptr<const config::Tenant> Tenant;

  friend bool operator==(const AccessVerdict &,
                         const AccessVerdict &) = default;
};

/// @brief Decides by the key of a request.
/// @param IsTargetCall the local target makes the call; it has no key
AccessVerdict checkKey(const config::RoutingTable &Table,
                       const config::HostRoute &Route,
                       const std::optional<config::KeyDigest> &Key,
                       bool IsTargetCall);

/// @brief Recognises the calls that the local target makes while it runs
///        requests.
///
/// The target may go on running a request after its end at this node, and
/// requests that a former process of the node sent to it.
class TargetCallers {
public:
  /// @brief The first configuration tells for how long the requests of a
  ///        former process may still run.
  /// @param Local service of the target on this host
  /// @param FormerUntil time until which a former process may have sent
  ///        requests to the target
  void configured(const config::Routing &Loaded, const core::ServiceName &Local,
                  core::TimePoint FormerUntil);
  /// @brief A run ended at this node; the target may work on it until its
  ///        deadline.
  void recordEnd(const std::string &RequestId, core::TimePoint Deadline);
  /// @brief Whether a request that ended here may still run, or one of a former
  ///        process.
  bool mayRun(const std::string &RequestId, core::TimePoint Now) const;
  void expire(core::TimePoint Now);

private:
  std::optional<core::TimePoint> FormerRunsUntil;
  std::unordered_map<std::string, core::TimePoint> Ended;
};

/// @brief Bounds the rate of log lines about refusals of one kind.
class RefusalLog {
public:
  /// @return refusals since the last line when a line is due
  std::optional<std::uint64_t> record(core::TimePoint Now);
  std::uint64_t total() const { return Total; }

private:
  std::uint64_t Total = 0;
  std::uint64_t SinceLine = 0;
  core::TimePoint NextLineAt;
};

/// @brief Accepted requests per tenant at this entry node, for metrics.
///
/// The first tenants that a process meets are counted by name, the others
/// together, so that the number of series is bounded.
class TenantCounts {
public:
  static constexpr std::size_t MaximumNamed = 32;

  void record(const core::TenantName &Tenant);
  const std::map<core::TenantName, std::uint64_t> &named() const {
    return Named;
  }
  std::uint64_t others() const { return Others; }

private:
  std::map<core::TenantName, std::uint64_t> Named;
  std::uint64_t Others = 0;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_CALLERACCESS_H
