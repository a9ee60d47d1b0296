#ifndef FILBERTVANE_DECISION_DISTRIBUTION_DISTRIBUTION_H
#define FILBERTVANE_DECISION_DISTRIBUTION_DISTRIBUTION_H

#include "filbertvane/core/Random.h"
#include "filbertvane/decision/Step.h"
#include "filbertvane/decision/distribution/Batch.h"
#include "filbertvane/decision/distribution/Fold.h"
#include "filbertvane/observe/LogEvent.h"
#include <deque>
#include <map>
#include <memory>

namespace filbertvane::decision::distribution {

/// @name Timeouts and limits
/// @{
/// Time without a message of the region reader after which a lead reads the log
/// itself; the same for a standby and its lead.
inline constexpr core::Milliseconds ReaderTimeout{1000};
/// Three heartbeats fit into `ReaderTimeout`.
inline constexpr core::Milliseconds HeartbeatPeriod{300};
/// Delay before requesting records that a peer reports, since they usually
/// arrive through the tree meanwhile.
inline constexpr core::Milliseconds RepairDelay{100};
inline constexpr core::Milliseconds RequestTimeout{500};
inline constexpr core::Milliseconds BackoffBase{200};
inline constexpr core::Milliseconds MaxRequestBackoff{5000};
inline constexpr core::Milliseconds MaxLogBackoff{2000};
/// Period at which a starting node requests a check of the end of the log. Ten
/// requests fit into `LogEndTimeout`, since each may be lost.
inline constexpr core::Milliseconds LogEndRequestPeriod{200};
/// Time after the start of a node in which only the end of the log proves that
/// its state is current. Later, a ready peer that cannot read the log suffices.
inline constexpr core::Milliseconds LogEndTimeout{2000};
/// Nodes that wait at one peer for a check of the end of the log; covers a data
/// centre that restarts at once.
inline constexpr std::size_t MaxLogEndWaiters = 128;
/// Time for which a peer must have reported that it is ready before its report
/// proves a position; other peers report theirs meanwhile.
inline constexpr core::Milliseconds PeerReportWindow{500};
/// A peer whose report is older counts as unreachable.
inline constexpr core::Milliseconds PeerReportLifetime{5000};
/// Concurrent snapshot transfers, and the time for which each is counted.
inline constexpr std::size_t MaxSnapshotTransfers = 4;
inline constexpr core::Milliseconds SnapshotTransferTime{100};
inline constexpr std::size_t MaxBatchBytes = std::size_t{512} * 1024;
/// Records cached to serve requests.
inline constexpr std::size_t MaxRecentRecords = 1024;
inline constexpr std::size_t MaxRecentBytes = std::size_t{2} * 1024 * 1024;
/// Batches buffered until earlier records arrive.
inline constexpr std::size_t MaxBufferedBatches = 64;
inline constexpr std::size_t MaxBufferedBytes = std::size_t{1024} * 1024;
inline constexpr std::size_t MaxPeerReports = 256;
/// A larger record is replaced by its reduced form if the effect is the same.
inline constexpr std::size_t ReductionThresholdBytes = 1024;
/// @}

/// @name Values
/// @{
struct Settings {
  Peer Self;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  /// Control addresses of nodes of other data centres, used when no node of the
  /// local one holds the configuration.
  std::vector<std::string> RemoteSeeds;
  Fold Folding;
};

/// @brief Live member of the data centre, a node of the distribution tree.
struct TreeMember {
  Peer Contact;
  /// Its parent also sends records to its children directly.
  bool Suspect = false;

  friend auto operator<=>(const TreeMember &, const TreeMember &) = default;
};

/// @brief Lead of another data centre.
struct RemoteLead {
  Peer Contact;
  core::DataCentreId DataCentre;
  core::RegionId Region;

  friend auto operator<=>(const RemoteLead &, const RemoteLead &) = default;
};

/// @brief Record of the log and the outcome of applying it.
struct AppliedRecord {
  core::LogOffset Offset;
  std::optional<config::LogRecord> Record;
  config::RecordOutcome Outcome;
};
/// @}

/// @name Parts of the state
/// @{

/// @brief Record cached to serve requests.
struct RecentRecord {
  StoredRecord Record;
  Position PositionAfter;
};

/// @brief State of reading the log.
struct LogReaderState {
  /// The role of this node requires it to read the log.
  bool Active = false;
  bool ReadPending = false;
  bool LogAvailable = true;
  /// Searching for a snapshot after the head of a trimmed log.
  bool SearchingSnapshot = false;
  core::LogOffset ReadOffset;
  /// The end of the log was reached at least once.
  bool ReachedEnd = false;
  std::uint32_t Failures = 0;
  core::TimePoint RetryAt;
};

/// @brief Outstanding request for records and its backoff; there is at most
///        one.
struct RepairState {
  std::optional<Peer> PendingPeer;
  core::TimePoint Deadline;
  /// Peer with the highest reported position.
  std::optional<Peer> AheadPeer;
  core::LogOffset AheadOffset;
  /// Peer whose state differs from the local one at the same offset.
  std::optional<Peer> DivergedFrom;
  core::TimePoint NextRequest;
  /// Requests since the last progress.
  std::uint32_t RequestsWithoutProgress = 0;
  /// Next request to any peer, and requests sent so far, while this node is not
  /// ready.
  core::TimePoint NextCatchUp;
  std::uint32_t CatchUpRequests = 0;
};

/// @brief Requests of starting peers to check the end of the log.
struct LogEndChecks {
  /// Addresses that the next check answers.
  std::vector<std::string> Waiting;
  /// A check is under way; it does not answer requests that arrive during it.
  bool ReadPending = false;
  /// Addresses that the check under way answers.
  std::vector<std::string> InProgress;
};

/// @brief Position that a peer reported to this starting node.
struct PeerReport {
  core::LogOffset NextOffset;
  core::TimePoint HeardAt;
  /// Time of the first report since which the peer has been ready.
  std::optional<core::TimePoint> ReadySince;
  /// The peer could not read the log when it checked its end.
  bool LogUnreadable = false;
};

struct State {
  Settings Local;
  core::Random Rng;

  /// @name Configuration
  /// @{
  std::shared_ptr<const config::FleetState> Fleet;
  Position ConfigPosition;
  std::deque<RecentRecord> RecentRecords;
  std::size_t RecentBytes = 0;
  std::map<core::LogOffset, std::pair<Peer, RecordBatch>> BufferedBatches;
  std::size_t BufferedBytes = 0;
  /// @}

  /// @name Roles
  /// @{
  /// Live members in rendezvous order of the data centre.
  std::vector<TreeMember> RankedMembers;
  std::vector<RemoteLead> RemoteLeads;
  core::TimePoint LeadHeardAt;
  core::TimePoint ReaderHeardAt;
  core::TimePoint NextHeartbeat;
  /// @}

  LogReaderState LogReader;
  RepairState Repair;
  /// Times at which the current snapshot transfers end.
  std::vector<core::TimePoint> TransferEnds;

  /// @name Readiness after a restart
  /// @{
  std::map<core::NodeId, PeerReport> PeerReports;
  core::TimePoint StartedAt;
  core::TimePoint NextLogEndRequest;
  /// End of the log as confirmed by a peer after this process started.
  std::optional<core::LogOffset> ConfirmedLogEnd;
  LogEndChecks EndChecks;
  bool Ready = false;
  /// @}
};
/// @}

/// @brief Creates the state of a starting process, with an empty configuration.
State initial(Settings Local, std::uint64_t Seed);

/// @name Events
/// @{
struct Started {};
struct Tick {};
/// @brief A read of the log succeeded.
struct LogRead {
  /// Consecutive records; empty without new ones.
  std::vector<StoredRecord> Records;
  /// Offset after the newest record of the log.
  core::LogOffset EndOffset;
};
/// @brief The requested offset precedes the head of the log.
struct LogTrimmed {
  core::LogOffset HeadOffset;
};
struct LogUnavailable {};
/// @brief Completes a `CheckLogEnd`.
struct LogEndChecked {
  LogEndStatus Status = LogEndStatus::Unavailable;
  core::LogOffset Offset;
};
struct RecordsReceived {
  Peer From;
  RecordBatch Batch;
};
struct RecordsRequested {
  Peer From;
  RecordsRequest Request;
};
struct SnapshotReceived {
  Peer From;
  Snapshot Payload;
};
struct PeerPositionReported {
  Peer From;
  Position ConfigPosition;
};
/// @brief The live members of the data centre, including this node, changed.
struct MembersChanged {
  std::vector<TreeMember> LiveMembers;
};
struct RemoteLeadsChanged {
  std::vector<RemoteLead> RemoteLeads;
};

using Event = std::variant<Started, Tick, LogRead, LogTrimmed, LogUnavailable,
                           LogEndChecked, RecordsReceived, RecordsRequested,
                           SnapshotReceived, PeerPositionReported,
                           MembersChanged, RemoteLeadsChanged>;
/// @}

/// @name Effects
/// @{
/// @brief Reads the log; completed by `LogRead`, `LogTrimmed` or
///        `LogUnavailable`. At most one is under way.
struct ReadLog {
  core::LogOffset Offset;
  /// Waits for new records if there are none.
  bool LongPoll = false;
};
/// @brief Checks whether the log ends at an offset, by a read independent of
///        `ReadLog`; completed by `LogEndChecked`.
struct CheckLogEnd {
  core::LogOffset Offset;
};
struct SendRecords {
  std::string To;
  RecordBatch Batch;
};
struct RequestRecords {
  std::string To;
  RecordsRequest Request;
};
/// @brief Requests a check of the end of the log from a peer.
struct RequestLogEnd {
  std::string To;
  RecordsRequest Request;
};
struct SendSnapshot {
  std::string To;
  Snapshot Payload;
};
/// @brief A newer state was adopted.
struct StateAdopted {
  std::shared_ptr<const config::FleetState> State;
  Position ConfigPosition;
  /// Records that were applied; empty for a snapshot.
  std::vector<AppliedRecord> Records;
};
struct ReadyChanged {
  bool Ready = false;
};

using Effect = std::variant<ReadLog, CheckLogEnd, SendRecords, RequestRecords,
                            RequestLogEnd, SendSnapshot, StateAdopted,
                            ReadyChanged, observe::LogEvent>;
using Effects = std::vector<Effect>;
/// @}

/// @brief Applies one event; the caller sends `Tick` every 50 ms.
Step<State, Effects> reduce(State Before, const Event &E, core::Instant Now);

/// @name Roles
/// @{
/// @brief Whether this node is the lead of its data centre (rank 0).
bool isLead(const State &S);
/// @brief Whether this node is the lead, or the standby (rank 1) of a lead that
///        exceeded `ReaderTimeout`.
bool actsAsLead(const State &S, core::TimePoint Now);
/// @brief Whether this node reads the log and sends the records to the leads of
///        its region.
bool isRegionReader(const State &S);
/// @}

} // namespace filbertvane::decision::distribution

#endif // FILBERTVANE_DECISION_DISTRIBUTION_DISTRIBUTION_H
