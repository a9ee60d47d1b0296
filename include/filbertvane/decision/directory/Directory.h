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

/// @name Figures
/// @{
/// Shortest time between two summaries of one data centre.
inline constexpr core::Milliseconds MinSummaryInterval{1000};
/// Summaries are repeated, without their services, at this period although
/// nothing changed. At 5 s the repeats of 19 data centres would cost an inner
/// node of the tree two thirds of its 3,000 B/s.
inline constexpr core::Milliseconds SummaryRefreshPeriod{15000};
/// Silence of a data centre after which it counts as cut off; two repeated
/// summaries may be lost before.
inline constexpr core::Milliseconds SilenceTimeout{40000};
/// Nodes named as entry nodes of one target version.
inline constexpr std::size_t MaxEntryNodes = 3;
/// Data centres kept; summaries of further ones are dropped.
inline constexpr std::size_t MaxDataCentres = 64;
/// @}

/// @brief Place of a node and the seeds in other data centres.
struct Settings {
  core::NodeId Node;
  core::DataCentreId DataCentre;
  core::RegionId Region;
  std::string ControlAddress;
  /// Control address that nodes of other regions use.
  std::string ExternalControlAddress;
  /// Control addresses of nodes of other data centres.
  std::vector<std::string> RemoteSeeds;
};

/// @brief A data centre, as last summarised.
struct KnownDataCentre {
  DataCentreSummary Summary;
  core::TimePoint HeardAt;
  core::TimePoint ForwardedAt;
  /// Time since when it is cut off; none while it is heard.
  std::optional<core::WallTime> SilentSince;
};

/// @brief State of the directory of one node.
struct State {
  Settings Local;
  std::vector<membership::Member> LiveMembers;
  bool IsLead = false;
  core::ConfigVersion LowestVersion;
  core::LogOffset LowestNextOffset;
  /// Positions of the members, for the lowest version in force.
  std::map<core::NodeId, Position> Positions;
  DataCentreSummary LocalSummary;
  std::map<core::DataCentreId, KnownDataCentre> RemoteDataCentres;
  /// Ranks below this node in the tree of its data centre.
  std::vector<std::string> ChildAddresses;
  core::TimePoint NextSummary;
  core::TimePoint NextRefresh;
  bool LocalSummaryChanged = false;
  bool ServicesChanged = false;
};

State initial(Settings Own);

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
/// @brief Targets of the own data centre and entry nodes of the others.
struct EndpointsUpdated {
  std::vector<request::Endpoint> Endpoints;
};
struct RemoteLeadsUpdated {
  std::vector<distribution::RemoteLead> RemoteLeads;
};
struct LeadershipChanged {
  bool IsLead = false;
};
/// @brief A data centre is heard and reports the version that all its nodes
///        hold.
struct DataCentreHeard {
  core::DataCentreId DataCentre;
  core::ConfigVersion LowestVersion;
};
struct DataCentreSilent {
  core::DataCentreId DataCentre;
  core::WallTime SilentSince;
};
using Effect = std::variant<SendSummaries, DataCentreHeard, DataCentreSilent,
                            EndpointsUpdated, RemoteLeadsUpdated,
                            LeadershipChanged, observe::LogEvent>;
using Effects = std::vector<Effect>;
/// @}

/// @brief Applies one event; `Tick` is expected every 50 ms.
Step<State, Effects> reduce(State Before, const Event &What, core::Instant Now);

} // namespace filbertvane::decision::directory

#endif // FILBERTVANE_DECISION_DIRECTORY_DIRECTORY_H
