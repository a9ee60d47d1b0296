#ifndef FILBERTVANE_DECISION_MEMBERSHIP_MEMBERSHIP_H
#define FILBERTVANE_DECISION_MEMBERSHIP_MEMBERSHIP_H

#include "filbertvane/core/Random.h"
#include "filbertvane/decision/Step.h"
#include "filbertvane/decision/membership/Messages.h"
#include "filbertvane/observe/LogEvent.h"
#include <map>

namespace filbertvane::decision::membership {

/// @name Timeouts and limits
/// @{
/// Maximum interval between two `Tick` events.
inline constexpr core::Milliseconds TickPeriod{50};
inline constexpr core::Milliseconds ProbePeriod{1000};
/// Time without an acknowledgement after which other members are asked to
/// probe.
inline constexpr core::Milliseconds IndirectProbeDelay{400};
inline constexpr std::size_t IndirectProbeCount = 3;
inline constexpr core::Milliseconds SuspicionTimeout{3000};
/// Updates piggybacked on one message; keeps a probe within one TCP segment.
inline constexpr std::size_t MaxUpdatesPerMessage = 6;
/// An update is sent this factor times log2 of the number of members.
inline constexpr std::size_t RetransmitMultiplier = 3;
/// Period of join requests to a seed or a failed member.
inline constexpr core::Milliseconds RejoinPeriod{5000};
/// The same while no other member is known.
inline constexpr core::Milliseconds InitialJoinPeriod{500};
/// Leave messages are sent repeatedly, because one may be lost with its
/// connection.
inline constexpr std::size_t LeaveTransmissions = 3;
inline constexpr core::Milliseconds LeaveRetransmitPeriod{500};
/// Time for which failed and left members are kept.
inline constexpr core::Seconds TombstoneLifetime{600};
inline constexpr std::size_t MaxMembers = 1024;
/// Concurrent probes on behalf of other members.
inline constexpr std::size_t MaxRelayedProbes = 64;
/// A longer interval between ticks means that the process was paused.
inline constexpr core::Milliseconds PauseThreshold{800};
/// @}

/// @brief Identity of this node and its seeds.
struct Settings {
  core::NodeId Node;
  core::DataCentreId DataCentre;
  std::string ControlAddress;
  std::string PeerAddress;
  /// Control addresses of nodes of the data centre.
  std::vector<std::string> Seeds;
};

/// @brief Known state of a member and its timers.
struct MemberEntry {
  Member LastKnown;
  /// Time at which a suspect member fails, or a failed or left one is removed.
  std::optional<core::TimePoint> Deadline;
  /// Number of further messages that carry the update of this member.
  std::size_t TransmissionsLeft = 0;
};

/// @brief Outstanding direct probe; there is at most one.
struct OutstandingProbe {
  std::uint64_t Sequence = 0;
  core::NodeId Target;
  core::TimePoint IndirectAt;
  bool IndirectSent = false;
};

/// @brief Probe on behalf of another member.
struct RelayedProbe {
  std::uint64_t RequesterSequence = 0;
  std::string RequesterAddress;
  core::NodeId Target;
  core::TimePoint ExpiresAt;
};

/// @brief Membership state of one node.
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

  /// @name Announcements of this node
  /// @{
  std::size_t SelfTransmissionsLeft = 0;
  std::size_t LeaveTransmissionsLeft = 0;
  core::TimePoint NextLeave;
  bool Started = false;
  /// `MemberLimitReached` was logged.
  bool LimitReported = false;
  /// @}
};

/// @brief Creates the initial state of a process.
/// @param Number first incarnation, see `firstIncarnation`
/// @param Seed seed of the random choices
State initial(Settings Local, core::Incarnation Number, std::uint64_t Seed);

/// @name Events
/// @{
struct Started {};
struct Tick {};
struct MessageReceived {
  Peer From;
  Message Payload;
};
/// @brief The target of this host was announced, changed or removed.
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
/// Lists all live members including this node, ordered by id.
struct EndpointsChanged {
  std::vector<Member> LiveMembers;
};
/// @brief A member failed, left or was replaced by a new process.
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
/// Complexity: at most O(n log n) in the number of members.
Step<State, Effects> reduce(State Before, const Event &E, core::Instant Now);

/// @brief Live members including this node, ordered by id.
std::vector<Member> liveMembers(const State &S);

} // namespace filbertvane::decision::membership

#endif // FILBERTVANE_DECISION_MEMBERSHIP_MEMBERSHIP_H
