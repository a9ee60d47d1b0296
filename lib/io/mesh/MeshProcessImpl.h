#ifndef FILBERTVANE_LIB_IO_MESH_MESHPROCESSIMPL_H
#define FILBERTVANE_LIB_IO_MESH_MESHPROCESSIMPL_H

#include "ReportSocket.h"
#include "SmallRequests.h"
#include "StoreFollower.h"
#include "filbertvane/decision/mesh/Reducer.h"
#include "filbertvane/decision/mesh/ShutdownSchedule.h"
#include "filbertvane/io/ProxyEngine.h"
#include "filbertvane/io/mesh/MeshProcess.h"
#include "filbertvane/observe/LogWriter.h"
#include "filbertvane/observe/Metrics.h"

namespace filbertvane::io::mesh {

namespace decide = decision::mesh;

/// @brief The process: ports, store and loop around the reducer.
class Process final : public MeshProcess {
public:
  Process(EventLoop &Loop, HttpClient &Http, MeshPlace Place,
          std::shared_ptr<const Environment> Surroundings, SharedStore &Store);

  core::Status open();
  void drain() override;
  void reload(const MeshPlace &Place) override;
  std::string metrics() override;

private:
  /// @name Opening
  /// @{
  core::Status openEngine();
  core::Status openReports();
  core::Status openSmallPorts();
  void startStore();
  /// @}

  /// @name Events and effects
  /// @{
  void handle(const decide::Event &What);
  /// @brief Reduces an event, carries out the effects for the outside and
  ///        returns those on requests.
  decision::request::Effects dispatch(const decide::Event &What);
  decision::request::Effects decideRequest(const decision::request::Event &E);
  void carryOut(const decide::SendReport &What);
  void carryOut(const decide::PublishReport &What);
  void carryOut(const decide::WriteMove &What);
  void carryOut(const decide::FetchRecords &What);
  void carryOut(const decide::FollowStore &What);
  void carryOut(const decide::SetReadHold &Change);
  void carryOut(const decide::RecoverFromRestore &Plan);
  void carryOut(const decide::ReadinessChanged &What);
  void carryOut(const decide::SendQuota &Outgoing);
  void carryOut(const observe::LogEvent &What);
  /// @}

  /// @name Inputs
  /// @{
  SmallAnswer announced(const RequestHead &Head, const std::string &Body);
  void takeReport(std::string_view Datagram);
  void takeQuotaMessage(std::string_view Datagram);
  void takeRecord(const decide::RecordSet::Change &Change, bool History);
  const std::string &encodedRecords();
  void readHosts();
  void hostsRead(const core::Result<std::vector<std::string>> &Read);
  bool tellsOfThis(const decide::HostReport &Published) const;
  bool hasJoinedLately() const;
  void readMoves();
  void readStoreInTurn(core::TimePoint Now);
  void storeFault(const core::Error &Why);
  void noteHop(const HopRecord &Hop);
  void tick();
  void advanceStop();
  void tellRefusals(core::TimePoint Now);
  /// @}

  EventLoop &Loop;
  HttpClient &Http;
  MeshPlace Place;
  std::shared_ptr<const Environment> Surroundings;
  SharedStore &Store;
  decide::MeshState State;
  observe::LogWriter Log;
  observe::Metrics Figures;
  /// Of all servers below.
  std::shared_ptr<InputBudget> Inputs =
      std::make_shared<InputBudget>(Place.MaxInputBytes);
  InputRefusals RefusalsTold;
  core::TimePoint RefusalsToldAt;
  std::unique_ptr<ProxyEngine> Engine;
  std::unique_ptr<ReportSocket> Reports;
  std::unique_ptr<HttpServer> Readiness;
  std::unique_ptr<HttpServer> Control;
  std::unique_ptr<HttpServer> Records;
  std::unique_ptr<HttpServer> MetricsPort;
  std::unique_ptr<StoreFollower> Follower;
  Timer Ticker;
  core::TimePoint LastTick;
  core::TimePoint HostsReadAt;
  bool Ready = false;
  bool HostPublished = false;
  /// Time at which the list of hosts first had this process.
  std::optional<core::TimePoint> JoinedAt;
  /// The hosts in the store were read at least once.
  bool HostsRead = false;
  /// Fetches of other nodes' records under way.
  std::size_t Fetches = 0;
  core::TimePoint NextFetchAt;
  /// Records as other nodes get them, encoded once for each change.
  std::string EncodedRecords;
  std::uint64_t EncodedRevision = 0;
  /// A move of unknown age is known; the store may hold its end.
  bool MovesWanted = false;
  core::TimePoint MovesReadAt;
  std::optional<decide::ShutdownSchedule> Stop;
  bool ExitBegun = false;
};

} // namespace filbertvane::io::mesh

#endif // FILBERTVANE_LIB_IO_MESH_MESHPROCESSIMPL_H
