#ifndef FILBERTVANE_LIB_DECISION_DISPATCH_H
#define FILBERTVANE_LIB_DECISION_DISPATCH_H

#include "filbertvane/decision/Node.h"
#include <deque>

namespace filbertvane::decision {

/// @brief Handles one event and the internal events that it causes.
class Dispatch {
public:
  Dispatch(NodeState Before, core::Instant Now)
      : S(std::move(Before)), Now(Now) {}

  void run(NodeEvent First);
  Step<NodeState, NodeEffects> finish() {
    return {std::move(S), std::move(Out)};
  }

  /// @name Events
  /// @{
  void operator()(const Started &);
  void operator()(const Tick &);
  void operator()(const DrainStarted &);
  void operator()(const ControlReceived &Event);
  void operator()(const TargetAnnounced &Event);
  void operator()(const TargetGone &Event);
  void operator()(const membership::Event &Event);
  void operator()(const distribution::Event &Event);
  void operator()(const lease::Event &Event);
  void operator()(const directory::Event &Event);
  void operator()(const request::Event &Event);
  void operator()(const rollout::MonitorEvent &Event);
  void operator()(const rollout::ControllerEvent &Event);
  /// @}

private:
  /// @name Effects of membership
  /// @{
  void handleEffect(membership::SendMessage &Effect);
  void handleEffect(membership::EndpointsChanged &Effect);
  void handleEffect(membership::MemberFailed &Effect);
  void handleEffect(membership::PositionReported &Effect);
  /// @}

  /// @name Effects of distribution
  /// @{
  void handleEffect(distribution::SendRecords &Effect);
  void handleEffect(distribution::RequestRecords &Effect);
  void handleEffect(distribution::RequestLogEnd &Effect);
  void handleEffect(distribution::SendSnapshot &Effect);
  void handleEffect(distribution::StateAdopted &Effect);
  void handleEffect(distribution::ReadyChanged &Effect);
  /// @}

  /// @name Effects of the directory
  /// @{
  void handleEffect(directory::SendSummaries &Effect);
  void handleEffect(directory::DataCentreHeard &Effect);
  void handleEffect(directory::DataCentreSilent &Effect);
  void handleEffect(directory::EndpointsUpdated &Effect);
  void handleEffect(directory::RemoteLeadsUpdated &Effect);
  void handleEffect(directory::LeadershipChanged &Effect);
  /// @}

  /// @name Effects of the lease
  /// @{
  void handleEffect(lease::AppendClaim &Effect);
  void handleEffect(lease::BecameHolder &Effect);
  void handleEffect(lease::LostLease &Effect);
  /// @}

  /// @name Effects of request routing
  /// @{
  void handleEffect(request::ObservedAnswer &Effect);
  void handleEffect(request::SuspectReported &Effect);
  /// @}

  /// @name Effects of rollouts
  /// @{
  void handleEffect(rollout::SendEvidence &Effect);
  void handleEffect(rollout::SendLocalRollback &Effect);
  void handleEffect(rollout::LocalRollbacksChanged &Effect);
  void handleEffect(rollout::AppendRecord &Effect);
  void handleEffect(rollout::PublishLocalRollback &Effect);
  /// @}

  /// Passes effects for the caller on unchanged.
  template <typename T> void handleEffect(T &Effect) {
    Out.emplace_back(std::move(Effect));
  }
  template <typename Effects> void handleEffects(Effects &All) {
    for (auto &Each : All)
      std::visit([this](auto &Effect) { handleEffect(Effect); }, Each);
  }

  /// @name Messages of other nodes
  /// @{
  void receive(const core::DataCentreId &DataCentre,
               const wire::Evidence &Message);
  void receive(const wire::LocalRollback &Message);
  /// @}

  template <typename Event> void enqueue(Event NewEvent) {
    Pending.emplace_back(std::move(NewEvent));
  }
  void send(const std::string &To, wire::ControlMessage Payload);
  void append(config::RecordBody Body);
  void updateRequestConfiguration();
  void forwardRecordsToLease(const distribution::StateAdopted &Adopted);
  void updateLeaseCandidacy();
  void takeSnapshotWhenDue();
  /// Control addresses of the members, without this node.
  std::vector<std::string> memberAddresses() const;
  std::optional<std::string> leadAddress() const;
  std::optional<std::string> coordinatorAddress() const;
  bool isCoordinator() const;

  NodeState S;
  core::Instant Now;
  std::deque<NodeEvent> Pending;
  NodeEffects Out;
};

} // namespace filbertvane::decision

#endif // FILBERTVANE_LIB_DECISION_DISPATCH_H
