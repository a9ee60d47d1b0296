#ifndef FILBERTVANE_DECISION_MESH_HOSTDIRECTORY_H
#define FILBERTVANE_DECISION_MESH_HOSTDIRECTORY_H

#include "filbertvane/decision/mesh/HostReport.h"
#include <map>
#include <set>

namespace filbertvane::decision::mesh {

/// @brief Network distance of a host from this one.
enum class Distance : std::uint8_t {
  Local,
  SameDataCentre,
  SameRegion,
  OtherRegion
};

/// @brief Class of requests for which the capacity of a host is tracked.
struct RequestClass {
  core::RouteName Route;
  /// The answers may be late, so that leftover slots suffice.
  bool AcceptLate = false;

  friend auto operator<=>(const RequestClass &, const RequestClass &) = default;
};

/// @brief A target that said in an answer that it leaves.
struct LeavingTarget {
  core::TargetId Id;
  /// Time until which this node remembers it.
  core::TimePoint Until;

  friend auto operator<=>(const LeavingTarget &,
                          const LeavingTarget &) = default;
};

/// @brief A host known to this node.
struct KnownHost {
  HostReport Report;
  Distance HostDistance = Distance::OtherRegion;
  core::TimePoint LastReportAt;
  /// Requests of this node in progress at the host.
  std::uint32_t InFlight = 0;
  /// Requests sent by this node since the load in the report was updated.
  std::uint32_t SentSinceLoadUpdate = 0;
  /// Mean answer times of the target by route, as stated by its host.
  std::map<core::RouteName, core::Milliseconds> RouteTimes;
  /// Request classes refused for lack of capacity, with the time until which
  /// the host is not asked for them again.
  std::map<RequestClass, core::TimePoint> AtCapacityUntil;
  std::optional<LeavingTarget> Leaving;
  /// Departure that a former process of the host reported and the present one
  /// does not know of.
  std::optional<DepartedTarget> FormerDeparted;
  /// A connection failed after the last report.
  bool Unreachable = false;
  /// Read from the store; no report has arrived from the host itself.
  bool FromStoreOnly = false;
};

/// @brief Change of a host that a report brought.
struct HostChange {
  bool New = false;
  bool Restarted = false;
};

/// @brief Directory of the other hosts of the mesh, built from their reports.
class HostDirectory {
public:
  HostDirectory(core::NodeId Self, core::DataCentreId DataCentre,
                core::RegionId Region);

  /// @brief Applies a report received from the host itself.
  /// @return the change; none when the report is outdated, is one of this node,
  ///         or the directory is full
  std::optional<HostChange> applyReport(const HostReport &Report,
                                        core::TimePoint Now);
  /// @brief Adds a host from a report read from the store; a known host stays
  ///        as it is.
  /// @return whether the host was added
  bool addFromStore(const HostReport &Report, core::TimePoint Now);
  /// @brief Updates the load of a host from an answer.
  void updateLoad(const core::NodeId &Node, const TargetLoad &Load,
                  const core::RouteName &Route);
  /// @brief Records that a host has no capacity for a class of requests.
  void markAtCapacity(const core::NodeId &Node, const RequestClass &Class,
                      core::TimePoint Until);
  /// @brief Records that the target of a host said in an answer that it leaves.
  void markLeaving(const core::NodeId &Node, const LeavingTarget &Target);
  /// @brief Removes hosts without a report for `HostEvictionTimeout`.
  void evictSilent(core::TimePoint Now);

  KnownHost *find(const core::NodeId &Node);
  const std::map<core::NodeId, KnownHost> &hosts() const { return Hosts; }
  std::map<core::NodeId, KnownHost> &hosts() { return Hosts; }
  /// @brief Largest number of hosts known at one time. Hosts that were cut off
  ///        and evicted may still be running.
  std::size_t largestSize() const { return LargestSize; }
  /// @brief Number of hosts that were ever known.
  std::size_t everKnown() const { return EverKnown.size(); }
  /// @brief Number of those whose processes have left in order and have not
  ///        come back.
  std::size_t leftInOrder(core::TimePoint Now) const;
  /// @brief Whether each host that has not left in order has sent a report. It
  ///        sends reports to those that it knows, so that it knows this one.
  bool hasReportsOfAllHosts() const;
  Distance distanceTo(const HostReport &Host) const;
  /// @brief Interval of reports between hosts in different data centres; grows
  ///        with the number of hosts.
  core::Milliseconds remoteReportPeriod() const;
  /// @brief Whether the host recently refused requests of a class for lack of
  ///        capacity.
  static bool isAtCapacity(const KnownHost &Host, const RequestClass &Class,
                           core::TimePoint Now);
  /// @brief Whether the target of the host said in an answer that it leaves;
  ///        a host that restarted since then may not know.
  static bool hasLeavingTarget(const KnownHost &Host, core::TimePoint Now);
  /// @brief Whether the host missed several reports, refused a connection, or
  ///        is known from the store only.
  bool isSuspect(const KnownHost &Host, core::TimePoint Now) const;

private:
  void add(KnownHost Host);
  void recordLeaving(const HostReport &Report, core::TimePoint From);

  core::NodeId Self;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  std::map<core::NodeId, KnownHost> Hosts;
  std::size_t LargestSize = 0;
  std::set<core::NodeId> EverKnown;
  /// Time from which a host counts as left.
  std::map<core::NodeId, core::TimePoint> LeftAt;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_HOSTDIRECTORY_H
