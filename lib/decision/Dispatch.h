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
  void operator()(const rollout::GuardEvent &What);
  void operator()(const rollout::ControllerEvent &What);
  /// @}

private:
  /// @name Effects of membership
  /// @{
  void route(membership::SendMessage &What);
  void route(membership::EndpointsChanged &What);
  void route(membership::MemberFailed &What);
  void route(membership::PositionReported &What);
  /// @}

  /// @name Effects of distribution
  /// @{
  void route(distribution::SendRecords &What);
  void route(distribution::RequestRecords &What);
  void route(distribution::RequestEnd &What);
  void route(distribution::SendSnapshot &What);
  void route(distribution::StateAdopted &What);
  void route(distribution::ReadyChanged &What);
  /// @}

  /// @name Effects of the directory
  /// @{
  void route(directory::SendSummaries &What);
  void route(directory::DataCentreHeard &What);
  void route(directory::DataCentreCutOff &What);
  void route(directory::EndpointsKnown &What);
  void route(directory::LeadsKnown &What);
  void route(directory::LeadershipChanged &What);
  /// @}

  /// @name Effects of the lease
  /// @{
  void route(lease::AppendClaim &What);
  void route(lease::BecameHolder &What);
  void route(lease::LostLease &What);
  /// @}

  /// @name Effects of requests
  /// @{
  void route(request::ObservedAnswer &What);
  void route(request::SuspectReported &What);
  /// @}

  /// @name Effects of moves
  /// @{
  void route(rollout::SendEvidence &What);
  void route(rollout::SendOverlay &What);
  void route(rollout::LocalRollbacksChanged &What);
  void route(rollout::Append &What);
  void route(rollout::PublishOverlay &What);
  /// @}

  /// Effects that go outside as they are.
  template <typename T> void route(T &What) {
    Out.emplace_back(std::move(What));
  }
  template <typename Effects> void routeAll(Effects &All) {
    for (auto &Each : All)
      std::visit([this](auto &What) { route(What); }, Each);
  }

  /// @name Messages of other nodes
  /// @{
  void receive(const core::DataCentreId &DataCentre,
               const wire::Evidence &What);
  void receive(const wire::LocalRollback &What);
  /// @}

  template <typename Event> void follow(Event What) {
    Pending.emplace_back(std::move(What));
  }
  void send(const std::string &To, wire::ControlMessage What);
  void append(config::RecordBody Body);
  void tellRequestsConfiguration();
  void tellLeaseOfRecords(const distribution::StateAdopted &What);
  void tellCandidacy();
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
