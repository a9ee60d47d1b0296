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

/// @name Figures
/// @{
/// Silence of the region reader, or of the lead, after which a lead, or the
/// standby, reads the log itself.
inline constexpr core::Milliseconds ReaderTimeout{1000};
/// Period of empty batches; three fit into `ReaderTimeout`.
inline constexpr core::Milliseconds HeartbeatPeriod{300};
/// Wait before records that a peer reports are requested, since they usually
/// are on their way down the tree.
inline constexpr core::Milliseconds RepairDelay{100};
inline constexpr core::Milliseconds RequestTimeout{500};
inline constexpr core::Milliseconds BackoffBase{200};
inline constexpr core::Milliseconds RequestBackoffMax{5000};
inline constexpr core::Milliseconds LogBackoffMax{2000};
/// Period in which a starting node asks for the end of the log; ten requests,
/// of which each may be lost, fit into `LogEndTimeout`.
inline constexpr core::Milliseconds LogEndRequestPeriod{200};
/// Time after its start in which a node trusts only the end of the log. After
/// it, the word of a ready peer that cannot read the log either suffices.
inline constexpr core::Milliseconds LogEndTimeout{2000};
/// Starting nodes that wait at one peer for the end of the log; the size of a
/// data centre that restarts at once.
inline constexpr std::size_t MaxLogEndWaiters = 128;
/// Time in which a starting node collects the positions of its peers.
inline constexpr core::Milliseconds PeerReportWindow{500};
/// A report that was not repeated for this long is of a peer out of reach.
inline constexpr core::Milliseconds PeerReportLifetime{5000};
/// Snapshot transfers at a time, and the time that one occupies its place.
inline constexpr std::size_t MaxSnapshotTransfers = 4;
inline constexpr core::Milliseconds SnapshotTransferTime{100};
inline constexpr std::size_t MaxBatchBytes = std::size_t{512} * 1024;
/// Records kept to serve requests.
inline constexpr std::size_t MaxRecentRecords = 1024;
inline constexpr std::size_t MaxRecentBytes = std::size_t{2} * 1024 * 1024;
/// Batches that wait for earlier records.
inline constexpr std::size_t MaxBufferedBatches = 64;
inline constexpr std::size_t MaxBufferedBytes = std::size_t{1024} * 1024;
inline constexpr std::size_t MaxPeerReports = 256;
/// A record above this is replaced by its reduced form, if that has the same
/// effect.
inline constexpr std::size_t ReductionThresholdBytes = 1024;
/// @}

/// @name Values
/// @{
struct Settings {
  Peer Self;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  /// Control addresses of nodes of other data centres, for a start without
  /// any holder in the own one.
  std::vector<std::string> RemoteSeeds;
  Fold Folding;
};

/// @brief A live member of the data centre.
struct TreeMember {
  Peer Contact;
  /// Its children are fed past it as well.
  bool Suspect = false;

  friend auto operator<=>(const TreeMember &, const TreeMember &) = default;
};

/// @brief The lead of another data centre.
struct RemoteLead {
  Peer Contact;
  core::DataCentreId DataCentre;
  core::RegionId Region;

  friend auto operator<=>(const RemoteLead &, const RemoteLead &) = default;
};

/// @brief A record of the log with what it did.
struct AppliedRecord {
  core::LogOffset Offset;
  std::optional<config::LogRecord> Record;
  config::RecordOutcome Outcome;
};
/// @}

/// @name Parts of the state
/// @{

/// @brief A record kept to serve requests.
struct RecentRecord {
  StoredRecord Record;
  Position PositionAfter;
};

/// @brief Reading of the log.
struct LogReaderState {
  bool Active = false;
  bool ReadPending = false;
  bool LogAvailable = true;
  /// Looking for a snapshot behind the trimmed head.
  bool SearchingSnapshot = false;
  core::LogOffset ReadOffset;
  /// The end of the log was reached once.
  bool ReachedEnd = false;
  std::uint32_t Failures = 0;
  core::TimePoint RetryAt;
};

/// @brief The one request for records under way, and its backoff.
struct RepairState {
  std::optional<Peer> PendingPeer;
  core::TimePoint Deadline;
  /// The peer known to be ahead.
  std::optional<Peer> AheadPeer;
  core::LogOffset AheadOffset;
  /// The own state differs from this peer's at the same offset.
  std::optional<Peer> DivergedFrom;
  core::TimePoint NextRequest;
  /// Requests since the last progress.
  std::uint32_t RequestsWithoutProgress = 0;
  /// The same for a node that is not ready and asks any peer.
  core::TimePoint NextCatchUp;
  std::uint32_t CatchUpRequests = 0;
};

/// @brief Starting peers that asked for the end of the log.
struct LogEndChecks {
  /// Addresses to which the end is confirmed.
  std::vector<std::string> Waiting;
  /// A read is under way; those who ask during it wait for the next one.
  bool ReadPending = false;
  std::vector<std::string> InProgress;
};

/// @brief Position that a peer reported, for the restart rule.
struct PeerReport {
  core::LogOffset NextOffset;
  core::TimePoint HeardAt;
  /// First time the peer said that it is ready.
  std::optional<core::TimePoint> ReadySince;
  /// The peer tried to read the log for this node, and could not.
  bool LogUnavailable = false;
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
  /// Ends of the snapshot transfers under way.
  std::vector<core::TimePoint> TransferEnds;

  /// @name Restart rule
  /// @{
  std::map<core::NodeId, PeerReport> PeerReports;
  core::TimePoint StartedAt;
  core::TimePoint NextLogEndRequest;
  /// End of the log that a peer read after this process had started.
  std::optional<core::LogOffset> ConfirmedLogEnd;
  LogEndChecks EndChecks;
  bool Ready = false;
  /// @}
};
/// @}

/// @brief State of a process that starts; it holds the empty configuration.
State initial(Settings Own, std::uint64_t Seed);

/// @name Events
/// @{
struct Started {};
struct Tick {};
/// @brief A read of the log ended.
struct LogRead {
  /// Consecutive records; empty when there was nothing new.
  std::vector<StoredRecord> Records;
  /// Offset after the newest record of the log.
  core::LogOffset EndOffset;
};
/// @brief The requested offset is before the head of the log.
struct LogTrimmed {
  core::LogOffset HeadOffset;
};
struct LogUnavailable {};
/// @brief A check of the log's end is over.
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
/// @brief Live members of the data centre, with this node.
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
/// @brief Read the log; exactly one read is under way until `LogRead`,
///        `LogTrimmed` or `LogUnavailable` answers it.
struct ReadLog {
  core::LogOffset Offset;
  /// Wait for new records when there are none.
  bool LongPoll = false;
};
/// @brief Read the log once, beside `ReadLog`, to learn whether it ends at an
///        offset; `LogEndChecked` answers it.
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
/// @brief Ask a peer for the end of the log.
struct RequestLogEnd {
  std::string To;
  RecordsRequest Request;
};
struct SendSnapshot {
  std::string To;
  Snapshot Payload;
};
/// @brief A newer state holds.
struct StateAdopted {
  std::shared_ptr<const config::FleetState> State;
  Position ConfigPosition;
  /// Records that led to it; empty when a snapshot did.
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

/// @brief Applies one event; `Tick` is expected every 50 ms.
Step<State, Effects> reduce(State Before, const Event &What, core::Instant Now);

/// @name Roles
/// @{
/// @brief Whether the node is the lead of its data centre (rank 0).
bool isLead(const State &Of);
/// @brief Whether it is the lead, or the standby of a silent lead.
bool actsAsLead(const State &Of, core::TimePoint Now);
/// @brief Whether it reads the log and feeds the leads of its region.
bool isRegionReader(const State &Of);
/// @}

} // namespace filbertvane::decision::distribution

#endif // FILBERTVANE_DECISION_DISTRIBUTION_DISTRIBUTION_H
