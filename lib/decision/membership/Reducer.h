#ifndef FILBERTVANE_LIB_DECISION_MEMBERSHIP_REDUCER_H
#define FILBERTVANE_LIB_DECISION_MEMBERSHIP_REDUCER_H

#include "filbertvane/decision/membership/Membership.h"

namespace filbertvane::decision::membership {

/// @brief Applies one event to a state and collects the effects.
class Reducer {
public:
  Reducer(State &S, core::Instant Now) : S(S), Now(Now) {}

  /// @name Events (Membership.cpp)
  /// @{
  void on(const Started &E);
  void on(const Tick &E);
  void on(const MessageReceived &E);
  void on(const OwnTargetChanged &E);
  void on(const OwnTargetLeaving &E);
  void on(const OwnReadinessChanged &E);
  void on(const OwnPositionChanged &E);
  void on(const DrainStarted &E);
  /// @}

  /// @brief Returns the effects, with `EndpointsChanged` last.
  Effects finish();

private:
  /// @name Messages (Messages.cpp)
  /// @{
  void receive(const Peer &From, const Probe &Received);
  void receive(const Peer &From, const ProbeAck &Received);
  void receive(const Peer &From, const IndirectProbe &Received);
  void receive(const Peer &From, const IndirectProbeAck &Received);
  void receive(const Peer &From, const JoinRequest &Received);
  void receive(const Peer &From, const JoinReply &Received);
  void receive(const Peer &From, const Leave &Received);
  /// @}

  /// @name Probing (Probing.cpp)
  /// @{
  void resetAfterPause(core::Microseconds Gap);
  void tickProbe();
  void startProbe();
  void sendIndirectProbes();
  void endProbe();
  std::optional<core::NodeId> nextProbeTarget();
  void expireRelayedProbes();
  void tickJoin();
  std::string joinAddress();
  /// @}

  /// @name State of members (Updates.cpp)
  /// @{
  void applyUpdate(const Member &Update);
  void applySelfUpdate(const Member &Update);
  bool ensureCapacity();
  void replaceMember(MemberEntry &Entry, const Member &Update);
  void failOthersAtAddress(const Member &Update);
  void setDeadline(MemberEntry &Entry);
  void tickDeadlines();
  std::vector<Member> selectUpdates();
  std::size_t transmissionLimit() const;
  /// @}

  /// @name Announcements of this node
  /// @{
  void announceSelf();
  void sendLeaves();
  void tickLeaves();
  /// @}

  void send(const std::string &To, Message Payload);
  void log(observe::EventId Id, std::string Detail);

  State &S;
  core::Instant Now;
  Effects Out;
  bool Changed = false;
};

} // namespace filbertvane::decision::membership

#endif // FILBERTVANE_LIB_DECISION_MEMBERSHIP_REDUCER_H
