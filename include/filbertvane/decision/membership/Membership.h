#ifndef FILBERTVANE_DECISION_MEMBERSHIP_MEMBERSHIP_H
#define FILBERTVANE_DECISION_MEMBERSHIP_MEMBERSHIP_H

#include "filbertvane/core/Random.h"
#include "filbertvane/decision/Step.h"
#include "filbertvane/decision/membership/Messages.h"
#include "filbertvane/observe/LogEvent.h"
#include <map>

namespace filbertvane::decision::membership {

/// @name Figures
/// @{
/// Longest distance between two `Tick` events.
inline constexpr core::Milliseconds TickPeriod{50};
inline constexpr core::Milliseconds ProbePeriod{1000};
/// Wait for a direct answer before other members are asked to probe.
inline constexpr core::Milliseconds IndirectProbeDelay{400};
inline constexpr std::size_t IndirectProbeCount = 3;
inline constexpr core::Milliseconds SuspicionTimeout{3000};
/// Updates on one message; keeps a probe within one TCP segment.
inline constexpr std::size_t MaxUpdatesPerMessage = 6;
/// An update is sent this many times log2 of the number of members.
inline constexpr std::size_t RetransmitMultiplier = 3;
/// Period at which a seed or a failed member is asked to join again.
inline constexpr core::Milliseconds RejoinPeriod{5000};
/// The same while no other member is known.
inline constexpr core::Milliseconds InitialJoinPeriod{500};
/// Direct leave messages are repeated, because one may be lost with its
/// connection.
inline constexpr std::size_t LeaveTransmissions = 3;
inline constexpr core::Milliseconds LeaveRetransmitPeriod{500};
/// Failed and left members are remembered this long.
inline constexpr core::Seconds TombstoneLifetime{600};
inline constexpr std::size_t MaxMembers = 1024;
/// Probes that run on behalf of other members.
inline constexpr std::size_t MaxRelayedProbes = 64;
/// A distance between ticks above this means that the process was paused.
inline constexpr core::Milliseconds PauseThreshold{800};
/// @}

/// @brief What a node knows of itself at its start.
struct Settings {
  core::NodeId Node;
  core::DataCentreId DataCentre;
  std::string ControlAddress;
  std::string PeerAddress;
  /// Control addresses of nodes of the data centre.
  std::vector<std::string> Seeds;
};

/// @brief A member and the local bookkeeping for it.
struct MemberEntry {
  Member LastKnown;
  /// Suspicion ends, or the entry is forgotten, at this time.
  std::optional<core::TimePoint> Deadline;
  /// Messages that still carry the news of this member.
  std::size_t TransmissionsLeft = 0;
};

/// @brief The one direct probe under way.
struct OutstandingProbe {
  std::uint64_t Sequence = 0;
  core::NodeId Target;
  core::TimePoint IndirectAt;
  bool IndirectSent = false;
};

/// @brief A probe on behalf of another member.
struct RelayedProbe {
  std::uint64_t RequesterSequence = 0;
  std::string RequesterAddress;
  core::NodeId Target;
  core::TimePoint ExpiresAt;
};

/// @brief State of the membership of one node.
struct State {
  Settings Local;
  Member Self;
  Position ConfigPosition;
  core::Random Rng;
  std::map<core::NodeId, MemberEntry> OtherMembers;

  /// @name Probing
  /// @{
  std::vector<core::NodeId> ProbeOrder;
  std::uint64_t NextSequence = 1;
  std::optional<OutstandingProbe> PendingProbe;
  std::map<std::uint64_t, RelayedProbe> RelayedProbes;
  core::TimePoint NextProbe;
  core::TimePoint NextJoin;
  core::TimePoint LastTick;
  /// @}

  /// @name Own announcement
  /// @{
  std::size_t SelfTransmissionsLeft = 0;
  std::size_t LeaveTransmissionsLeft = 0;
  core::TimePoint NextLeave;
  bool Started = false;
  bool LimitReported = false;
  /// @}
};

/// @brief Creates the state of a process that has not started.
/// @param Number first incarnation, see `firstIncarnation`
/// @param Seed seed of the random choices
State initial(Settings Own, core::Incarnation Number, std::uint64_t Seed);

/// @name Events
/// @{
struct Started {};
struct Tick {};
struct MessageReceived {
  Peer From;
  Message Payload;
};
/// @brief The own target was announced, announced anew, or went away.
struct OwnTargetChanged {
  std::optional<TargetAnnouncement> Target;
};
struct OwnTargetLeaving {};
struct OwnReadinessChanged {
  bool Ready = false;
};
struct OwnPositionChanged {
  Position ConfigPosition;
};
struct DrainStarted {};

using Event = std::variant<Started, Tick, MessageReceived, OwnTargetChanged,
                           OwnTargetLeaving, OwnReadinessChanged,
                           OwnPositionChanged, DrainStarted>;
/// @}

/// @name Effects
/// @{
struct SendMessage {
  std::string To;
  Message Payload;
};
/// @brief The live members, their targets or their readiness changed.
///
/// Lists all live members with this node itself, in order of their ids.
struct EndpointsChanged {
  std::vector<Member> LiveMembers;
};
/// @brief A process is gone: its member failed, left or was replaced.
struct MemberFailed {
  Member LastKnown;
};
/// @brief A member reported its position in the `config` stream.
struct PositionReported {
  Peer From;
  Position ConfigPosition;
};

using Effect = std::variant<SendMessage, EndpointsChanged, MemberFailed,
                            PositionReported, observe::LogEvent>;
using Effects = std::vector<Effect>;
/// @}

/// @brief Applies one event.
/// Complexity: O(n log n) in the members at most.
Step<State, Effects> reduce(State Before, const Event &What, core::Instant Now);

/// @brief Live members with this node itself, in order of their ids.
std::vector<Member> liveMembers(const State &Of);

} // namespace filbertvane::decision::membership

#endif // FILBERTVANE_DECISION_MEMBERSHIP_MEMBERSHIP_H
