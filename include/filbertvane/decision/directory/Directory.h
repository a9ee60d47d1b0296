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
inline constexpr core::Milliseconds SummaryPeriod{1000};
/// Summaries are repeated, without their services, at this period although
/// nothing changed. At 5 s the repeats of 19 data centres would cost an inner
/// node of the tree two thirds of its 3,000 B/s.
inline constexpr core::Milliseconds RepeatPeriod{15000};
/// Silence of a data centre after which it counts as cut off; two repeated
/// summaries may be lost before.
inline constexpr core::Milliseconds SilenceLimit{40000};
/// Nodes named as entry nodes of one target version.
inline constexpr std::size_t EntryNodes = 3;
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
  std::string ExternalControl;
  /// Control addresses of nodes of other data centres.
  std::vector<std::string> Outside;
};

/// @brief A data centre, as last summarised.
struct Known {
  DataCentreSummary Summary;
  core::TimePoint HeardAt;
  core::TimePoint ForwardedAt;
  /// Time since when it is cut off; none while it is heard.
  std::optional<core::WallTime> SilentSince;
};

/// @brief State of the directory of one node.
struct State {
  Settings Own;
  std::vector<membership::Member> Live;
  bool IsLead = false;
  core::ConfigVersion LowestVersion;
  core::LogOffset LowestNext;
  /// Positions of the members, for the lowest version in force.
  std::map<core::NodeId, Position> Positions;
  DataCentreSummary Mine;
  std::map<core::DataCentreId, Known> Others;
  /// Ranks below this node in the tree of its data centre.
  std::vector<std::string> Children;
  core::TimePoint NextSend;
  core::TimePoint NextRepeat;
  bool MineChanged = false;
  bool ServicesChanged = false;
};

State initial(Settings Own);

/// @name Events
/// @{
struct MembersChanged {
  std::vector<membership::Member> Live;
};
struct PositionKnown {
  core::NodeId Node;
  Position At;
};
struct SummariesReceived {
  Peer From;
  std::vector<DataCentreSummary> DataCentres;
};
struct Tick {};
using Event =
    std::variant<MembersChanged, PositionKnown, SummariesReceived, Tick>;
/// @}

/// @name Effects
/// @{
struct SendSummaries {
  std::string To;
  std::vector<DataCentreSummary> DataCentres;
};
/// @brief Targets of the own data centre and entry nodes of the others.
struct EndpointsKnown {
  std::vector<request::Endpoint> Endpoints;
};
struct LeadsKnown {
  std::vector<distribution::OtherLead> Leads;
};
struct LeadershipChanged {
  bool IsLead = false;
};
/// @brief A data centre is heard and reports the version that all its nodes
///        hold.
struct DataCentreHeard {
  core::DataCentreId DataCentre;
  core::ConfigVersion Lowest;
};
struct DataCentreCutOff {
  core::DataCentreId DataCentre;
  core::WallTime Since;
};
using Effect = std::variant<SendSummaries, DataCentreHeard, DataCentreCutOff,
                            EndpointsKnown, LeadsKnown, LeadershipChanged,
                            observe::LogEvent>;
using Effects = std::vector<Effect>;
/// @}

/// @brief Applies one event; `Tick` is expected every 50 ms.
Step<State, Effects> reduce(State Before, const Event &What, core::Instant Now);

} // namespace filbertvane::decision::directory

#endif // FILBERTVANE_DECISION_DIRECTORY_DIRECTORY_H
