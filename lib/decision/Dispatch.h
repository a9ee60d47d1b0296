#ifndef FILBERTVANE_LIB_DECISION_DISPATCH_H
#define FILBERTVANE_LIB_DECISION_DISPATCH_H

#include "filbertvane/decision/Node.h"
#include <deque>

namespace filbertvane::decision {

/// @brief Handles one event and the events that follow from it.
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
  void operator()(const ControlReceived &What);
  void operator()(const TargetAnnounced &What);
  void operator()(const TargetGone &What);
  void operator()(const membership::Event &What);
  void operator()(const distribution::Event &What);
  void operator()(const lease::Event &What);
  void operator()(const directory::Event &What);
  void operator()(const request::Event &What);
  void operator()(const rollout::MonitorEvent &What);
  void operator()(const rollout::ControllerEvent &What);
  /// @}

private:
  /// @name Effects of membership
  /// @{
  void handleEffect(membership::SendMessage &What);
  void handleEffect(membership::EndpointsChanged &What);
  void handleEffect(membership::MemberFailed &What);
  void handleEffect(membership::PositionReported &What);
  /// @}

  /// @name Effects of distribution
  /// @{
  void handleEffect(distribution::SendRecords &What);
  void handleEffect(distribution::RequestRecords &What);
  void handleEffect(distribution::RequestLogEnd &What);
  void handleEffect(distribution::SendSnapshot &What);
  void handleEffect(distribution::StateAdopted &What);
  void handleEffect(distribution::ReadyChanged &What);
  /// @}

  /// @name Effects of the directory
  /// @{
  void handleEffect(directory::SendSummaries &What);
  void handleEffect(directory::DataCentreHeard &What);
  void handleEffect(directory::DataCentreSilent &What);
  void handleEffect(directory::EndpointsUpdated &What);
  void handleEffect(directory::RemoteLeadsUpdated &What);
  void handleEffect(directory::LeadershipChanged &What);
  /// @}

  /// @name Effects of the lease
  /// @{
  void handleEffect(lease::AppendClaim &What);
  void handleEffect(lease::BecameHolder &What);
  void handleEffect(lease::LostLease &What);
  /// @}

  /// @name Effects of requests
  /// @{
  void handleEffect(request::Observed &What);
  void handleEffect(request::SuspectReported &What);
  /// @}

  /// @name Effects of moves
  /// @{
  void handleEffect(rollout::SendEvidence &What);
  void handleEffect(rollout::SendLocalRollback &What);
  void handleEffect(rollout::LocalRollbacksChanged &What);
  void handleEffect(rollout::AppendRecord &What);
  void handleEffect(rollout::PublishLocalRollback &What);
  /// @}

  /// Effects that go outside as they are.
  template <typename T> void handleEffect(T &What) {
    Out.emplace_back(std::move(What));
  }
  template <typename Effects> void handleEffects(Effects &All) {
    for (auto &Each : All)
      std::visit([this](auto &What) { handleEffect(What); }, Each);
  }

  /// @name Messages of other nodes
  /// @{
  void receive(const core::DataCentreId &DataCentre,
               const wire::Evidence &What);
  void receive(const wire::LocalRollback &What);
  /// @}

  template <typename Event> void enqueue(Event What) {
    Pending.emplace_back(std::move(What));
  }
  void send(const std::string &To, wire::ControlMessage What);
  void append(config::RecordBody Body);
  void updateRequestConfiguration();
  void forwardRecordsToLease(const distribution::StateAdopted &What);
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
