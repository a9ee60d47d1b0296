#ifndef FILBERTVANE_DECISION_MESH_LIMITS_H
#define FILBERTVANE_DECISION_MESH_LIMITS_H

#include "filbertvane/core/Time.h"
#include <cstddef>
#include <cstdint>

namespace filbertvane::decision::mesh {

/// @name Reports between nodes
/// @{
/// Half of the time after which a change of load makes a placement stale: a
/// target of 18 slots and 160 ms answers turns over four times in it.
inline constexpr core::Milliseconds ReportPeriod{500};
/// Reports to other data centres are rarer, since their links are paid by
/// volume; answers tell the load of the hosts that are in use.
inline constexpr core::Milliseconds FarReportPeriod{1000};
/// Reports that a node sends to other data centres in one far period. With more
/// hosts the period grows, so that its bytes (some 170 a report) stay below
/// the 3 KB a second that control may take.
inline constexpr std::size_t FarReportsPerPeriod = 16;
/// Reports missing in a row after which a host is placed last.
inline constexpr int MissedReports = 3;
/// A host that was not heard for this time is forgotten.
inline constexpr core::Seconds ForgetAfter{30};
/// Most hosts that a node remembers.
inline constexpr std::size_t MostHosts = 4096;
/// Nodes of a data centre that follow the store; the others have the records
/// from them. Two, so that one may be lost or cut off at any moment. With two a
/// region, a data centre missed a change for 2.5 s while nodes were restarted
/// in turn during a series of changes.
inline constexpr std::size_t FollowersPerDataCentre = 2;
/// Hosts of each other data centre that are told of new records at once, so
/// that a data centre whose followers the store turned away learns of them.
inline constexpr std::size_t ToldPerDataCentre = 2;
/// @}

/// @name Own target
/// @{
/// Announcements come about every 1.5 s and may be late by seconds; a target
/// that neither announced nor answered for this time counts as gone.
inline constexpr core::Milliseconds SilentTargetAfter{6000};
/// A target that is known from the former process of the node only counts as
/// gone after this time: two announcements are missing then.
inline constexpr core::Milliseconds UnconfirmedTargetFor{3000};
/// Announcements come up to some seconds late; one in this time after a target
/// left whose start is not known belongs to the life that ended.
inline constexpr core::Milliseconds LateAnnouncements{6000};
/// A host whose link is busy for longer refuses requests with large answers.
/// They would be late, and a node that took one may stop before it is there:
/// with up to 5 s, answers that waited for 3.5 s were cut with their entry
/// node.
inline constexpr core::Milliseconds LongestLinkWait{1500};
/// Waiting requests per slot; more would wait for longer than any latency
/// objective allows.
inline constexpr std::uint32_t WaitingPerSlot = 4;
/// @}

/// @name Requests
/// @{
/// Hosts that may refuse a request before its caller is told.
inline constexpr std::uint32_t MostPlacements = 4;
/// Hosts that may refuse a request for lateness before one is asked to accept
/// it late.
inline constexpr std::uint32_t PlacementsOnTime = 2;
/// A host that refused a request as late is not asked on that route for the
/// objective divided by this. A full queue holds work for less than an
/// objective, so that hardly a free slot is missed; asking more often costs a
/// message to each host for each request that an overloaded service cannot
/// take.
inline constexpr int FullObjectiveParts = 4;
/// Calls in progress at one node; more than the descriptors of a small host.
inline constexpr std::size_t MostCalls = 1500;
/// A peer without reports for this time has lost the requests sent to it.
inline constexpr core::Milliseconds LostPeerAfter{2500};
/// Smallest and largest time after which a refused caller is asked to return.
inline constexpr core::Milliseconds ShortestReturn{50};
inline constexpr core::Milliseconds LongestReturn{1000};
/// @}

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_LIMITS_H
