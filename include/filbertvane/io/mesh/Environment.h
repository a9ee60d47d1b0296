#ifndef FILBERTVANE_IO_MESH_ENVIRONMENT_H
#define FILBERTVANE_IO_MESH_ENVIRONMENT_H

#include "filbertvane/decision/mesh/Events.h"
#include "filbertvane/decision/mesh/SharedRetryBudget.h"
#include "filbertvane/io/InputBudget.h"
#include "filbertvane/io/RequestDialect.h"
#include "filbertvane/io/mesh/OperatorRecords.h"
#include <functional>

namespace filbertvane::io::mesh {

/// @brief The durable store that all nodes share.
///
/// Each callback is called once, from the loop. A call without an answer may
/// still take effect later.
class SharedStore {
public:
  using RecordsRead = std::function<void(core::Result<OperatorRecords>)>;
  using HostsRead = std::function<void(core::Result<std::vector<std::string>>)>;
  using MovesRead = std::function<void(
      core::Result<std::vector<decision::mesh::MoveStateRead>>)>;
  using Done = std::function<void(core::Status)>;

  virtual ~SharedStore() = default;

  /// @brief Calls back when an answer names a later era than all before: the
  ///        store was restored from an older copy.
  virtual void onRestored(std::function<void(core::StoreEra)> Callback) = 0;

  /// @name Operators' records
  /// @{
  /// @brief Reads the newest record of each key.
  virtual void readNewest(RecordsRead OnDone) = 0;
  /// @brief Reads records from a position on; the store holds the answer back
  ///        for up to `Wait` when there is none. `StoreTrimmed` when the store
  ///        does not have the offset, `StoreRestored` when it is of another
  ///        era.
  virtual void readFrom(StorePosition From, core::Milliseconds Wait,
                        RecordsRead OnDone) = 0;
  /// @brief Gives up a read that is under way; its callback is not called, and
  ///        the next read does not use its connection.
  virtual void abandonRead() = 0;
  /// @}

  /// @name Hosts
  /// @{
  /// @brief Writes the report of a host. `StoreRestored` when the store may
  ///        have lost it since.
  virtual void publishHost(const core::NodeId &Node, std::string Report,
                           Done OnDone) = 0;
  virtual void readHosts(HostsRead OnDone) = 0;
  /// @}

  /// @name Moves
  /// @{
  /// @brief Reads the states of moves that were written.
  virtual void readMoves(MovesRead OnDone) = 0;
  /// @brief Writes the state of a move, unless the end of the same move stands
  ///        in the store.
  /// @return the state that stands in the store then
  virtual void writeMove(
      const decision::mesh::WriteMove &What,
      std::function<void(core::Result<decision::mesh::MovePhase>)> OnDone) = 0;
  /// @}
};

/// @brief A record of an operator, decoded.
using OperatorOrder = std::variant<config::Routing, decision::mesh::MoveOrdered,
                                   decision::mesh::EvacuationOrdered>;

/// @brief What the target of a host said.
using Announcement = std::variant<decision::mesh::TargetAnnounced,
                                  decision::mesh::TargetDeregistered>;

/// @brief How the surroundings of a node speak.
class Environment {
public:
  virtual ~Environment() = default;

  /// @brief Decodes an operator's record.
  /// @return the order; none for a key of another purpose; an error as of
  ///         core/errors/Routing.def
  virtual core::Result<std::optional<OperatorOrder>>
  decode(const OperatorRecord &Record) const = 0;

  /// @brief Version of an operator's record; none for records without versions
  ///        and for those that can't be decoded.
  virtual std::optional<core::ConfigVersion>
  versionOf(const OperatorRecord &Record) const = 0;

  /// @brief Decodes what a target said at the control address.
  /// @return the announcement, or `AnnouncementMalformed` or
  ///         `AnnouncementWrongHost`
  virtual core::Result<Announcement>
  decodeAnnouncement(const RequestHead &Head, const std::string &Body,
                     const std::string &TargetAddress) const = 0;

  /// @brief Path at which the readiness of the node is asked for.
  virtual std::string readinessPath() const = 0;
  virtual std::shared_ptr<const RequestDialect> dialect() const = 0;
};

/// @brief Addresses and identity of a node, from its settings.
struct MeshPlace {
  core::NodeId Node;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  std::string Address;
  /// `ip:port` at which callers and the target of the host send requests.
  std::string Callers;
  /// `ip:port` at which other nodes send requests.
  std::string Peers;
  std::string Readiness;
  /// `ip:port` at which the target announces itself.
  std::string Control;
  /// Port of reports (UDP) and of records (TCP) between nodes.
  std::uint16_t InternalPort = 0;
  /// `ip:port` of metrics; empty for none.
  std::string Metrics;
  std::string TargetAddress;
  core::ServiceName Service;
  decision::mesh::SharedRetryBudgetSettings Budget;
  /// Time that a stopped process has for its requests in progress.
  core::Milliseconds StopTime{0};
  /// Time for which a target serves on after its departure was acknowledged;
  /// not known in older settings.
  std::optional<core::Milliseconds> TargetDrainTime;
  /// Time within which a configuration has to be in force; not known in older
  /// settings.
  std::optional<core::Milliseconds> ConfigurationTime;
  std::uint32_t MaxConnections = 0;
  /// Bytes of unanswered requests that all connections hold together.
  std::size_t MaxInputBytes = InputBudget::DefaultBytes;
  /// Rate of the host's link; 0 when it is not known.
  double LinkBytesPerSecond = 0;
  /// The whole fleet starts for the first time: no process was there before.
  bool FirstStart = false;

  friend auto operator<=>(const MeshPlace &, const MeshPlace &) = default;
};

} // namespace filbertvane::io::mesh

#endif // FILBERTVANE_IO_MESH_ENVIRONMENT_H
