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
inline constexpr core::Milliseconds ReaderSilence{1000};
/// Period of empty batches; three fit into `ReaderSilence`.
inline constexpr core::Milliseconds HeartbeatPeriod{300};
/// Wait before records that a peer reports are requested, since they usually
/// are on their way down the tree.
inline constexpr core::Milliseconds RepairGrace{100};
inline constexpr core::Milliseconds RequestTimeout{500};
inline constexpr core::Milliseconds BackoffBase{200};
inline constexpr core::Milliseconds RequestBackoffMax{5000};
inline constexpr core::Milliseconds LogBackoffMax{2000};
/// Period in which a starting node asks for the end of the log; ten requests,
/// of which each may be lost, fit into `EndWait`.
inline constexpr core::Milliseconds EndRequestPeriod{200};
/// Time after its start in which a node trusts only the end of the log. After
/// it, the word of a ready peer that cannot read the log either suffices.
inline constexpr core::Milliseconds EndWait{2000};
/// Starting nodes that wait at one peer for the end of the log; the size of a
/// data centre that restarts at once.
inline constexpr std::size_t MaxEndWaiters = 128;
/// Time in which a starting node collects the positions of its peers.
inline constexpr core::Milliseconds SettleTime{500};
/// A report that was not repeated for this long is of a peer out of reach.
inline constexpr core::Milliseconds ReportLifetime{5000};
/// Snapshot transfers at a time, and the time that one occupies its place.
inline constexpr std::size_t MaxTransfers = 4;
inline constexpr core::Milliseconds TransferTime{100};
inline constexpr std::size_t MaxBatchBytes = std::size_t{512} * 1024;
/// Records kept to serve requests.
inline constexpr std::size_t MaxRecent = 1024;
inline constexpr std::size_t MaxRecentBytes = std::size_t{2} * 1024 * 1024;
/// Batches that wait for earlier records.
inline constexpr std::size_t MaxBuffered = 64;
inline constexpr std::size_t MaxBufferedBytes = std::size_t{1024} * 1024;
inline constexpr std::size_t MaxReports = 256;
/// A record above this is replaced by its reduced form, if that has the same
/// effect.
inline constexpr std::size_t ReduceAbove = 1024;
/// @}

/// @name Values
/// @{
struct Settings {
  Peer Own;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  /// Control addresses of nodes of other data centres, for a start without
  /// any holder in the own one.
  std::vector<std::string> Outside;
  Fold Folding;
};

/// @brief A live member of the data centre.
struct TreeMember {
  Peer At;
  /// Its children are fed past it as well.
  bool Suspect = false;

  friend auto operator<=>(const TreeMember &, const TreeMember &) = default;
};

/// @brief The lead of another data centre.
struct OtherLead {
  Peer At;
  core::DataCentreId DataCentre;
  core::RegionId Region;

  friend auto operator<=>(const OtherLead &, const OtherLead &) = default;
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
struct KeptRecord {
  StoredRecord Record;
  Position After;
};

/// @brief Reading of the log.
struct LogReading {
  bool Wanted = false;
  bool Pending = false;
  bool Available = true;
  /// Looking for a snapshot behind the trimmed head.
  bool Searching = false;
  core::LogOffset From;
  /// The end of the log was reached once.
  bool ReachedEnd = false;
  std::uint32_t Failures = 0;
  core::TimePoint RetryAt;
};

/// @brief The one request for records under way, and its backoff.
struct Repair {
  std::optional<Peer> Asked;
  core::TimePoint Timeout;
  /// The peer known to be ahead.
  std::optional<Peer> AheadPeer;
  core::LogOffset AheadNext;
  /// The own state differs from this peer's at the same offset.
  std::optional<Peer> Diverged;
  core::TimePoint NotBefore;
  /// Requests since the last progress.
  std::uint32_t Failures = 0;
  /// The same for a node that is not ready and asks any peer.
  core::TimePoint NextSeek;
  std::uint32_t Seeks = 0;
};

/// @brief Starting peers that asked for the end of the log.
struct EndChecks {
  /// Addresses to which the end is confirmed.
  std::vector<std::string> Waiting;
  /// A read is under way; those who ask during it wait for the next one.
  bool Pending = false;
  std::vector<std::string> Served;
};

/// @brief Position that a peer reported, for the restart rule.
struct Report {
  core::LogOffset Next;
  core::TimePoint HeardAt;
  /// First time the peer said that it is ready.
  std::optional<core::TimePoint> ReadySince;
  /// The peer tried to read the log for this node, and could not.
  bool WithoutLog = false;
};

struct State {
  Settings Own;
  core::Random Chance;

  /// @name Configuration
  /// @{
  std::shared_ptr<const config::FleetState> Held;
  Position At;
  std::deque<KeptRecord> Recent;
  std::size_t RecentBytes = 0;
  std::map<core::LogOffset, std::pair<Peer, RecordBatch>> Buffered;
  std::size_t BufferedBytes = 0;
  /// @}

  /// @name Roles
  /// @{
  /// Live members in rendezvous order of the data centre.
  std::vector<TreeMember> Order;
  std::vector<OtherLead> Leads;
  core::TimePoint LeadHeardAt;
  core::TimePoint ReaderHeardAt;
  core::TimePoint NextHeartbeat;
  /// @}

  LogReading Log;
  Repair Fix;
  /// Ends of the snapshot transfers under way.
  std::vector<core::TimePoint> Transfers;

  /// @name Restart rule
  /// @{
  std::map<core::NodeId, Report> Reports;
  core::TimePoint StartedAt;
  core::TimePoint NextEndRequest;
  /// End of the log that a peer read after this process had started.
  std::optional<core::LogOffset> ConfirmedEnd;
  EndChecks Ends;
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
  core::LogOffset End;
};
/// @brief The requested offset is before the head of the log.
struct LogTrimmed {
  core::LogOffset Head;
};
struct LogUnavailable {};
/// @brief A check of the log's end is over.
struct EndChecked {
  LogEnd Found = LogEnd::Unread;
  core::LogOffset From;
};
struct RecordsReceived {
  Peer From;
  RecordBatch Batch;
};
struct RecordsRequested {
  Peer From;
  RecordsRequest What;
};
struct SnapshotReceived {
  Peer From;
  Snapshot What;
};
struct PositionHeard {
  Peer From;
  Position At;
};
/// @brief Live members of the data centre, with this node.
struct MembersChanged {
  std::vector<TreeMember> Live;
};
struct OtherLeadsChanged {
  std::vector<OtherLead> Leads;
};

using Event =
    std::variant<Started, Tick, LogRead, LogTrimmed, LogUnavailable, EndChecked,
                 RecordsReceived, RecordsRequested, SnapshotReceived,
                 PositionHeard, MembersChanged, OtherLeadsChanged>;
/// @}

/// @name Effects
/// @{
/// @brief Read the log; exactly one read is under way until `LogRead`,
///        `LogTrimmed` or `LogUnavailable` answers it.
struct ReadLog {
  core::LogOffset From;
  /// Wait for new records when there are none.
  bool LongPoll = false;
};
/// @brief Read the log once, beside `ReadLog`, to learn whether it ends at an
///        offset; `EndChecked` answers it.
struct CheckEnd {
  core::LogOffset From;
};
struct SendRecords {
  std::string To;
  RecordBatch Batch;
};
struct RequestRecords {
  std::string To;
  RecordsRequest What;
};
/// @brief Ask a peer for the end of the log.
struct RequestEnd {
  std::string To;
  RecordsRequest What;
};
struct SendSnapshot {
  std::string To;
  Snapshot What;
};
/// @brief A newer state holds.
struct StateAdopted {
  std::shared_ptr<const config::FleetState> State;
  Position At;
  /// Records that led to it; empty when a snapshot did.
  std::vector<AppliedRecord> Records;
};
struct ReadyChanged {
  bool Ready = false;
};

using Effect =
    std::variant<ReadLog, CheckEnd, SendRecords, RequestRecords, RequestEnd,
                 SendSnapshot, StateAdopted, ReadyChanged, observe::LogEvent>;
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
