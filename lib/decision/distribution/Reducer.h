#ifndef FILBERTVANE_LIB_DECISION_DISTRIBUTION_REDUCER_H
#define FILBERTVANE_LIB_DECISION_DISTRIBUTION_REDUCER_H

#include "filbertvane/decision/distribution/Distribution.h"

namespace filbertvane::decision::distribution {

/// @brief Applies one event to a state and collects the effects.
class Reducer {
public:
  Reducer(State &S, core::Instant Now) : S(S), Now(Now) {}

  /// @name Events
  /// @{
  void on(const Started &E);
  void on(const Tick &E);
  void on(const LogRead &E);
  void on(const LogTrimmed &E);
  void on(const LogUnavailable &E);
  void on(const LogEndChecked &E);
  void on(const RecordsReceived &E);
  void on(const RecordsRequested &E);
  void on(const SnapshotReceived &E);
  void on(const PeerPositionReported &E);
  void on(const MembersChanged &E);
  void on(const RemoteLeadsChanged &E);
  /// @}

  /// @brief Updates the readiness and returns the effects.
  Effects finish();

private:
  /// Result of folding a batch that is not yet adopted.
  struct Candidate {
    config::FleetState State;
    Position ConfigPosition;
    std::vector<RecentRecord> RecentRecords;
    std::vector<AppliedRecord> Applied;
  };

  /// @name Adoption (Adoption.cpp)
  /// @{
  std::optional<Candidate> fold(const std::vector<StoredRecord> &Records);
  RecentRecord toRecentRecord(std::optional<config::FleetState> Before,
                              const StoredRecord &Record,
                              const Position &After);
  bool mayAdopt(const Position &To, bool Repairs);
  void adopt(Candidate New);
  bool adoptSnapshot(const Peer &From, const Snapshot &Received);
  void addRecent(RecentRecord Recent);
  void receiveBatch(const Peer &From, const RecordBatch &Batch);
  void bufferBatch(const Peer &From, const RecordBatch &Batch);
  void drainBuffer();
  void markDiverged(const Peer &From);
  /// @}

  /// @name Sending (Serving.cpp)
  /// @{
  RecordBatch batchFrom(core::LogOffset First) const;
  bool hasRecordsFrom(core::LogOffset First) const;
  void forward(core::LogOffset First);
  void sendRecordsFrom(const std::string &To, core::LogOffset First);
  std::vector<std::string> downstreamAddresses() const;
  void addChildren(std::size_t Rank, std::vector<std::string> &Addresses) const;
  void serveSnapshot(const Peer &To);
  void tickHeartbeat();
  /// @}

  /// @name Repair (Repair.cpp)
  /// @{
  void updateAheadPeer(const Peer &From, core::LogOffset Next,
                       bool Immediately);
  void completeRequest(const Peer &From);
  void resetRetries();
  void requestFromAnyPeer();
  void sendRequest(const Peer &To);
  void tickRepair();
  std::vector<Peer> candidatePeers() const;
  void requestFromRemoteLead();
  bool isBehind() const;
  /// @}

  /// @name Reading the log (LogReading.cpp)
  /// @{
  void tickLog();
  void readLog();
  void applyRead(const std::vector<StoredRecord> &Records);
  void searchSnapshot(const std::vector<StoredRecord> &Records);
  void scheduleLogRetry();
  bool shouldReadLog() const;
  /// @}

  /// @name Readiness after a restart (Readiness.cpp)
  /// @{
  void updateReport(const Peer &From, const Position &At);
  void updateLogEnd(const Peer &From, const RecordBatch &Batch);
  void tickLogEndChecks();
  void requestLogEnd();
  void addLogEndWaiter(const std::string &Address);
  bool isProvenCurrent() const;
  void checkReady();
  /// @}

  core::Microseconds backoff(std::uint32_t Failures, core::Milliseconds Max);
  void updateLastHeard(const Peer &From);
  void log(observe::EventId Id, std::string Detail);

  State &S;
  core::Instant Now;
  Effects Out;
};

} // namespace filbertvane::decision::distribution

#endif // FILBERTVANE_LIB_DECISION_DISTRIBUTION_REDUCER_H
