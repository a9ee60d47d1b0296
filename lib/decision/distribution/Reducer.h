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
  void on(const EndChecked &What);
  void on(const RecordsReceived &What);
  void on(const RecordsRequested &What);
  void on(const SnapshotReceived &What);
  void on(const PositionHeard &What);
  void on(const MembersChanged &What);
  void on(const OtherLeadsChanged &What);
  /// @}

  /// @brief Checks the restart rule and returns the effects.
  Effects finish();

private:
  /// What folding a batch yields before it is adopted.
  struct Candidate {
    config::FleetState State;
    Position At;
    std::vector<KeptRecord> Kept;
    std::vector<AppliedRecord> Applied;
  };

  /// @name Adoption (Adoption.cpp)
  /// @{
  std::optional<Candidate> fold(const std::vector<StoredRecord> &Records);
  KeptRecord keepable(std::optional<config::FleetState> Before,
                      const StoredRecord &Record, const Position &After);
  bool mayAdopt(const Position &To, bool Repairs);
  void adopt(Candidate New);
  bool adoptSnapshot(const Peer &From, const Snapshot &What);
  void keep(KeptRecord One);
  void receiveBatch(const Peer &From, const RecordBatch &Batch);
  void buffer(const Peer &From, const RecordBatch &Batch);
  void drainBuffer();
  void diverged(const Peer &From);
  /// @}

  /// @name Sending (Serving.cpp)
  /// @{
  RecordBatch batchFrom(core::LogOffset First) const;
  bool holdsFrom(core::LogOffset First) const;
  void forward(core::LogOffset First);
  void feed(const std::string &To, core::LogOffset First);
  std::vector<std::string> fedAddresses() const;
  void addChildren(std::size_t Rank, std::vector<std::string> &To) const;
  void serveSnapshot(const Peer &To);
  void tickHeartbeat();
  /// @}

  /// @name Repair (Repair.cpp)
  /// @{
  void noteAhead(const Peer &From, core::LogOffset Next, bool AtOnce);
  void answered(const Peer &From);
  void progressed();
  void seek();
  void request(const Peer &To);
  void tickRepair();
  std::vector<Peer> possiblePeers() const;
  void askOtherLead();
  bool behind() const;
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
  void noteReport(const Peer &From, const Position &At);
  void noteEnd(const Peer &From, const RecordBatch &Batch);
  void tickEnds();
  void requestEnd();
  void addEndWaiter(const std::string &Address);
  bool proven() const;
  void checkReady();
  /// @}

  core::Microseconds backoff(std::uint32_t Failures, core::Milliseconds Max);
  void noteHeard(const Peer &From);
  void log(observe::EventId Id, std::string Detail);

  State &S;
  core::Instant Now;
  Effects Out;
};

} // namespace filbertvane::decision::distribution

#endif // FILBERTVANE_LIB_DECISION_DISTRIBUTION_REDUCER_H
