#ifndef FILBERTVANE_LIB_DECISION_DISTRIBUTION_REDUCER_H
#define FILBERTVANE_LIB_DECISION_DISTRIBUTION_REDUCER_H

#include "filbertvane/decision/distribution/Distribution.h"

namespace filbertvane::decision::distribution {

/// @brief One application of an event: the state being changed and the effects
///        collected so far.
class Reducer {
public:
  Reducer(State &S, core::Instant Now) : S(S), Now(Now) {}

  /// @name Events
  /// @{
  void on(const Started &What);
  void on(const Tick &What);
  void on(const LogRead &What);
  void on(const LogTrimmed &What);
  void on(const LogUnavailable &What);
  void on(const LogEndChecked &What);
  void on(const RecordsReceived &What);
  void on(const RecordsRequested &What);
  void on(const SnapshotReceived &What);
  void on(const PeerPositionReported &What);
  void on(const MembersChanged &What);
  void on(const RemoteLeadsChanged &What);
  /// @}

  /// @brief Checks the restart rule and returns the effects.
  Effects finish();

private:
  /// What folding a batch yields before it is adopted.
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
  bool adoptSnapshot(const Peer &From, const Snapshot &What);
  void addRecent(RecentRecord One);
  void receiveBatch(const Peer &From, const RecordBatch &Batch);
  void bufferBatch(const Peer &From, const RecordBatch &Batch);
  void drainBuffer();
  void recordDivergence(const Peer &From);
  /// @}

  /// @name Sending (Serving.cpp)
  /// @{
  RecordBatch batchFrom(core::LogOffset First) const;
  bool hasRecordsFrom(core::LogOffset First) const;
  void forward(core::LogOffset First);
  void sendRecordsFrom(const std::string &To, core::LogOffset First);
  std::vector<std::string> downstreamAddresses() const;
  void addChildren(std::size_t Rank, std::vector<std::string> &To) const;
  void serveSnapshot(const Peer &To);
  void tickHeartbeat();
  /// @}

  /// @name Repair (Repair.cpp)
  /// @{
  void recordPeerAhead(const Peer &From, core::LogOffset Next, bool AtOnce);
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
  void logFailed();
  bool wantsLog() const;
  /// @}

  /// @name Restart rule (Readiness.cpp)
  /// @{
  void recordReport(const Peer &From, const Position &At);
  void recordLogEnd(const Peer &From, const RecordBatch &Batch);
  void tickLogEndChecks();
  void requestLogEnd();
  void addLogEndWaiter(const std::string &Address);
  bool isProvenCurrent() const;
  void checkReady();
  /// @}

  core::Microseconds backoff(std::uint32_t Failures, core::Milliseconds Max);
  void recordContact(const Peer &From);
  void log(observe::EventId Id, std::string Detail);

  State &S;
  core::Instant Now;
  Effects Out;
};

} // namespace filbertvane::decision::distribution

#endif // FILBERTVANE_LIB_DECISION_DISTRIBUTION_REDUCER_H
