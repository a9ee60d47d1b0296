#ifndef FILBERTVANE_DECISION_MESH_LIMITS_H
#define FILBERTVANE_DECISION_MESH_LIMITS_H

#include "filbertvane/core/Time.h"
#include <cstddef>
#include <cstdint>

namespace filbertvane::decision::mesh {

/// @name Reports between nodes
/// @{
/// Interval of reports within a data centre: half of the time after which a
/// change of load makes placements stale. A target with 18 slots and 160 ms
/// answers replaces its requests four times within it.
inline constexpr core::Milliseconds ReportPeriod{500};
/// Minimum interval of reports to other data centres. Links to them are billed
/// by volume, and the load of hosts in use arrives with their answers.
inline constexpr core::Milliseconds RemoteReportPeriod{1000};
/// Reports that a node sends to other data centres per remote period. With more
/// hosts the period grows, so that reports of about 170 bytes stay below the
/// 3 KB/s allowed for control traffic.
inline constexpr std::size_t RemoteReportsPerPeriod = 16;
/// Consecutive missed reports after which a host is suspect.
inline constexpr int SuspectAfterMissedReports = 3;
/// Time without a report after which a host is removed from the directory.
inline constexpr core::Seconds HostEvictionTimeout{30};
/// Hosts kept in the directory.
inline constexpr std::size_t MaximumHosts = 4096;
/// Nodes of a data centre that follow the store; the others fetch the records
/// from them. Two, so that one may fail or be cut off at any time. With two per
/// region, a data centre missed a change for 2.5 s during a rolling restart of
/// the nodes.
inline constexpr std::size_t StoreFollowersPerDataCentre = 2;
/// Data centres of which one follower reads the store at short intervals, so
/// that a read whose answer was lost without a sign is noticed by some node.
inline constexpr std::size_t WatchingDataCentres = 3;
/// Longest time for which the store holds a read of such a follower back. With
/// the time until a read is repeated, it is below the three seconds after which
/// a node is expected to be current again.
inline constexpr core::Milliseconds WatchReadHold{1000};
/// The same for the other followers. Each read is paid for, so that a calm day
/// should need few.
inline constexpr core::Milliseconds LongReadHold{10000};
/// Hosts in each other data centre that are notified of new records at once, so
/// that a data centre whose followers cannot reach the store learns of them.
inline constexpr std::size_t NotifiedHostsPerDataCentre = 2;
/// @}

/// @name Local target
/// @{
/// Time without an announcement or an answer after which the target is down.
/// Announcements arrive about every 1.5 s and may be seconds late.
inline constexpr core::Milliseconds TargetSilenceTimeout{6000};
/// Time without an announcement or an answer after which the requests that were
/// lost at the target are suspects of its crash: two announcements are missing.
inline constexpr core::Milliseconds CrashSilenceTimeout{3000};
/// Pause between two ticks after which the silence of a target says nothing.
inline constexpr core::Milliseconds MaximumTickGap{1000};
/// Maximum delay of an announcement. After a target with an unknown process
/// start left, announcements within this time belong to the departed process.
inline constexpr core::Milliseconds MaximumAnnouncementDelay{6000};
/// Time for which an entry node remembers that a target said in an answer that
/// it leaves. A target ends within some seconds; later its id may belong to a
/// new process.
inline constexpr core::Seconds LeavingTargetMemory{30};
/// Minimum time between two reports to the store about a rate limit; a target
/// that names one in some answers only must not use up the writes of the store.
inline constexpr core::Milliseconds RateLimitPublishPeriod{1000};
/// Time for which a host reports the requests that ran when its target crashed:
/// several reports within the data centre, and some to each other one.
inline constexpr core::Milliseconds CrashReportTime{5000};
/// Minimum time between two reports to the store about refused requests.
inline constexpr core::Milliseconds SuspectPublishPeriod{1000};
/// Link backlog above which a host refuses requests with large answers. The
/// answers would be late, and the entry node may exit before they arrive: with
/// 5 s, answers that waited for 3.5 s were cut off by the exit of their entry
/// node.
inline constexpr core::Milliseconds MaximumLinkWait{1500};
/// Waiting requests per slot; more would wait longer than any latency objective
/// allows.
inline constexpr std::uint32_t MaximumWaitingPerSlot = 4;
/// @}

/// @name Requests
/// @{
/// Hosts that may refuse a request before it is refused to its caller.
inline constexpr std::uint32_t MaximumPlacements = 4;
/// Hosts that may refuse a request as late before one is asked to accept a late
/// answer.
inline constexpr std::uint32_t OnTimePlacements = 2;
/// A host that refused a request as late is skipped on that route for the
/// latency objective divided by this. A full queue holds less work than one
/// objective, so that hardly a free slot is missed; asking more often costs a
/// message to each host for each request that an overloaded service cannot
/// take.
inline constexpr int AtCapacityObjectiveDivisor = 4;
/// Calls in progress at one node; exceeds the file descriptors of a small host.
inline constexpr std::size_t MaximumCalls = 1500;
/// Time without reports after which requests sent to a peer are lost.
inline constexpr core::Milliseconds PeerLossTimeout{2500};
/// Bounds of the delay after which a refused caller is asked to retry.
inline constexpr core::Milliseconds MinimumRetryAfter{50};
inline constexpr core::Milliseconds MaximumRetryAfter{1000};
/// @}

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_LIMITS_H
