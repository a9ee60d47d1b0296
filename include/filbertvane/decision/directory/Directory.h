#ifndef FILBERTVANE_DECISION_DIRECTORY_DIRECTORY_H
#define FILBERTVANE_DECISION_DIRECTORY_DIRECTORY_H

#include "filbertvane/decision/Step.h"
#include "filbertvane/decision/directory/Summary.h"
#include "filbertvane/decision/distribution/Distribution.h"
#include "filbertvane/decision/membership/Membership.h"
#include "filbertvane/decision/request/Events.h"
#include <map>
#include <set>

namespace filbertvane::decision::directory {

/// @name Timeouts and limits
/// @{
/// Minimum interval between two summaries of one data centre.
inline constexpr core::Milliseconds MinSummaryInterval{1000};
/// Period at which unchanged summaries are repeated without their services. At
/// 5 s the repeats of 19 data centres would take two thirds of the 3,000 B/s
/// allowed for an inner node of the tree.
inline constexpr core::Milliseconds SummaryRefreshPeriod{15000};
/// Time without a summary after which a data centre counts as silent; two
/// repeated summaries may be lost before.
inline constexpr core::Milliseconds SilenceTimeout{40000};
/// Entry nodes listed for each target version.
inline constexpr std::size_t MaxEntryNodes = 3;
/// Summaries of further data centres are dropped.
inline constexpr std::size_t MaxDataCentres = 64;
/// @}

/// @brief Identity and location of this node, and seeds in other data centres.
struct Settings {
  core::NodeId Node;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  std::string ControlAddress;
  /// Control address for nodes of other regions.
  std::string ExternalControlAddress;
  /// Control addresses of nodes of other data centres.
  std::vector<std::string> RemoteSeeds;
};

/// @brief Last summary of another data centre.
struct KnownDataCentre {
  DataCentreSummary Summary;
  core::TimePoint HeardAt;
  core::TimePoint ForwardedAt;
  /// Start of the silence; none while summaries arrive.
  std::optional<core::WallTime> SilentSince;
};

/// @brief Directory state of one node.
struct State {
  Settings Local;
  std::vector<membership::Member> LiveMembers;
  bool IsLead = false;
  core::ConfigVersion LowestVersion;
  core::LogOffset LowestNextOffset;
  /// Positions of the members, from which the lowest version is computed.
  std::map<core::NodeId, Position> Positions;
  DataCentreSummary LocalSummary;
  std::map<core::DataCentreId, KnownDataCentre> RemoteDataCentres;
  /// Control addresses of the children in the tree of the data centre.
  std::vector<std::string> ChildAddresses;
  core::TimePoint NextSummary;
  core::TimePoint NextRefresh;
  bool LocalSummaryChanged = false;
  bool ServicesChanged = false;
};

State initial(Settings Local);

/// @name Events
/// @{
struct MembersChanged {
  std::vector<membership::Member> LiveMembers;
};
struct PositionReported {
  core::NodeId Node;
  Position ConfigPosition;
};
struct SummariesReceived {
  Peer From;
  std::vector<DataCentreSummary> Summaries;
};
struct Tick {};
using Event =
    std::variant<MembersChanged, PositionReported, SummariesReceived, Tick>;
/// @}

/// @name Effects
/// @{
struct SendSummaries {
  std::string To;
  std::vector<DataCentreSummary> Summaries;
};
/// @brief Targets of this data centre and entry nodes of the others.
struct EndpointsUpdated {
  std::vector<request::Endpoint> Endpoints;
};
struct RemoteLeadsUpdated {
  std::vector<distribution::RemoteLead> RemoteLeads;
};
struct LeadershipChanged {
  bool IsLead = false;
};
/// @brief A summary of a data centre arrived, with the lowest version that its
///        nodes hold.
struct DataCentreHeard {
  core::DataCentreId DataCentre;
  core::ConfigVersion LowestVersion;
};
/// @brief No summary of a data centre arrived within `SilenceTimeout`.
struct DataCentreSilent {
  core::DataCentreId DataCentre;
  core::WallTime SilentSince;
};
using Effect = std::variant<SendSummaries, DataCentreHeard, DataCentreSilent,
                            EndpointsUpdated, RemoteLeadsUpdated,
                            LeadershipChanged, observe::LogEvent>;
using Effects = std::vector<Effect>;
/// @}

/// @brief Applies one event; the caller sends `Tick` every 50 ms.
Step<State, Effects> reduce(State Before, const Event &E, core::Instant Now);

} // namespace filbertvane::decision::directory

#endif // FILBERTVANE_DECISION_DIRECTORY_DIRECTORY_H
