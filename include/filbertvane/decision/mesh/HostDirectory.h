#ifndef FILBERTVANE_DECISION_MESH_HOSTDIRECTORY_H
#define FILBERTVANE_DECISION_MESH_HOSTDIRECTORY_H

#include "filbertvane/decision/mesh/HostReport.h"
#include <map>

namespace filbertvane::decision::mesh {

/// @brief Where a host stands as seen from this one.
enum class Distance : std::uint8_t { Own, DataCentre, Region, Far };

/// @brief Kind of requests that a host has or lacks room for.
struct RoomFor {
  core::RouteName Route;
  /// Answers may be late, so that leftover turns are enough.
  bool Late = false;

  friend auto operator<=>(const RoomFor &, const RoomFor &) = default;
};

/// @brief A host that this node knows.
struct KnownHost {
  HostReport Report;
  Distance Away = Distance::Far;
  core::TimePoint HeardAt;
  /// Own requests in progress at the host.
  std::uint32_t InFlight = 0;
  /// Own requests sent since the load in the report was taken.
  std::uint32_t SentSince = 0;
  /// Mean times of the target's answers by route, as its host told them.
  std::map<core::RouteName, core::Milliseconds> RouteTimes;
  /// Requests that the host had no room for, with the time until which it is
  /// not asked for such ones again.
  std::map<RoomFor, core::TimePoint> FullUntil;
  /// A connection failed after the last report.
  bool Unreachable = false;
  /// Known from the store only; it has not been heard yet.
  bool Hearsay = false;
};

/// @brief What a report changed.
struct Heard {
  bool New = false;
  bool Restarted = false;
};

/// @brief The hosts of the mesh, from their own reports.
class HostDirectory {
public:
  HostDirectory(core::NodeId Self, core::DataCentreId DataCentre,
                core::RegionId Region);

  /// @brief Takes a report that came from the host itself.
  /// @return what changed; none when the report is older than the known one
  std::optional<Heard> hear(const HostReport &What, core::TimePoint Now);
  /// @brief Takes a report that was read in the store.
  /// @return whether the host was unknown
  bool learn(const HostReport &What, core::TimePoint Now);
  /// @brief Updates the load of a host from an answer.
  void noteLoad(const core::NodeId &Node, const TargetLoad &Load,
                const core::RouteName &Route);
  /// @brief Notes that a host has no room for requests of a kind.
  void noteFull(const core::NodeId &Node, const RoomFor &What,
                core::TimePoint Until);
  /// @brief Drops hosts that were silent for `ForgetAfter`.
  void forgetSilent(core::TimePoint Now);

  KnownHost *find(const core::NodeId &Node);
  const std::map<core::NodeId, KnownHost> &hosts() const { return Hosts; }
  std::map<core::NodeId, KnownHost> &hosts() { return Hosts; }
  Distance distanceOf(const HostReport &Of) const;
  /// @brief Time between two reports of hosts in different data centres.
  core::Milliseconds farPeriod() const;
  /// @brief Whether the host lately refused requests of a kind for lack of
  /// room.
  static bool full(const KnownHost &Host, const RoomFor &What,
                   core::TimePoint Now);
  /// @brief Whether the host missed several reports or refused a connection.
  bool doubtful(const KnownHost &Host, core::TimePoint Now) const;

private:
  core::NodeId Self;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  std::map<core::NodeId, KnownHost> Hosts;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_HOSTDIRECTORY_H
