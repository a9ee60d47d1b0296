#ifndef FILBERTVANE_LIB_DECISION_MEMBERSHIP_REDUCER_H
#define FILBERTVANE_LIB_DECISION_MEMBERSHIP_REDUCER_H

#include "filbertvane/decision/membership/Membership.h"

namespace filbertvane::decision::membership {

/// @brief One application of an event: the state being changed and the effects
///        collected so far.
class Reducer {
public:
  Reducer(State &S, core::Instant Now) : S(S), Now(Now) {}

  /// @name Events (Membership.cpp)
  /// @{
  void on(const Started &What);
  void on(const Tick &What);
  void on(const MessageReceived &What);
  void on(const OwnTargetChanged &What);
  void on(const OwnTargetLeaving &What);
  void on(const OwnReadinessChanged &What);
  void on(const OwnPositionChanged &What);
  void on(const DrainStarted &What);
  /// @}

  /// @brief Effects, with the change of endpoints last.
  Effects finish();

private:
  /// @name Messages (Messages.cpp)
  /// @{
  void receive(const Peer &From, const Probe &What);
  void receive(const Peer &From, const ProbeAck &What);
  void receive(const Peer &From, const IndirectProbe &What);
  void receive(const Peer &From, const IndirectProbeAck &What);
  void receive(const Peer &From, const JoinRequest &What);
  void receive(const Peer &From, const JoinReply &What);
  void receive(const Peer &From, const Leave &What);
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

  /// @name Knowledge of members (Updates.cpp)
  /// @{
  void applyUpdate(const Member &News);
  void applyOwnUpdate(const Member &News);
  bool ensureCapacity();
  void replaceMember(MemberEntry &Place, const Member &News);
  void failOthersAtAddress(const Member &News);
  void setDeadline(MemberEntry &Place);
  void tickDeadlines();
  std::vector<Member> selectUpdates();
  std::size_t transmissionLimit() const;
  /// @}

  /// @name Own announcement
  /// @{
  void announceSelf();
  void sendLeaves();
  void tickLeaves();
  /// @}

  void send(const std::string &To, Message What);
  void log(observe::EventId Id, std::string Detail);

  State &S;
  core::Instant Now;
  Effects Out;
  bool Changed = false;
};

} // namespace filbertvane::decision::membership

#endif // FILBERTVANE_LIB_DECISION_MEMBERSHIP_REDUCER_H
