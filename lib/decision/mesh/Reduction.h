#ifndef FILBERTVANE_LIB_DECISION_MESH_REDUCTION_H
#define FILBERTVANE_LIB_DECISION_MESH_REDUCTION_H

#include "filbertvane/decision/mesh/Limits.h"
#include "filbertvane/decision/mesh/Reducer.h"

namespace filbertvane::decision::mesh {

/// @brief One event being reduced: the state, the time, and the effects.
class Reduction {
public:
  Reduction(MeshState &State, core::TimePoint Now) : State(State), Now(Now) {}

  /// @name Requests
  /// @{
  void operator()(const request::CallArrived &What);
  void operator()(const request::AnswerStarted &What);
  void operator()(const request::AttemptEnded &What);
  void operator()(const request::CallerDisconnected &What);
  /// @}

  /// @name Target, hosts and store
  /// @{
  void operator()(const TargetAnnounced &What);
  void operator()(const TargetDeregistered &What);
  void operator()(const ReportHeard &What);
  void operator()(const ReportsLearned &What);
  void operator()(const RoutingLearned &What);
  void operator()(const PositionReached &What);
  void operator()(const MoveOrdered &What);
  void operator()(const MoveEndKnown &What);
  void operator()(const StoreChanged &What);
  void operator()(const ServiceAssigned &What);
  void operator()(const StopAnnounced &What);
  void operator()(const request::Tick &What);
  /// @}

  Effects take() { return std::move(Out); }

private:
  /// @name Arrival and placement
  /// @{
  void arriveHosted(const request::CallArrived &What);
  void arriveFromCaller(const request::CallArrived &What);
  void place(MeshCall &Call);
  std::vector<Candidate> candidates(MeshCall &Call);
  void chooseVersion(MeshCall &Call, const VersionShares &Shares);
  bool versionTakes(const MeshCall &Call, const VersionShares &Shares,
                    const core::TargetVersion &Version) const;
  bool hasReady(const core::ServiceName &Service,
                const core::TargetVersion &Version) const;
  void sendToPeer(MeshCall &Call, const core::NodeId &To);
  void enterQueue(MeshCall &Call);
  void sendToTarget(MeshCall &Call);
  void serveQueue();
  /// @}

  /// @name Ends
  /// @{
  void endedAtTarget(MeshCall &Call, const request::AttemptEnded &What);
  void endedAtPeer(MeshCall &Call, const request::AttemptEnded &What);
  void concludeHosted(MeshCall &Call, const request::AttemptEnded &What);
  void conclude(MeshCall &Call, const request::AttemptEnded &What);
  void concludeAnswer(MeshCall &Call, const request::AttemptEnded &What);
  void noteAtTarget(const MeshCall &Call, const request::AttemptEnded &What,
                    bool Fault);
  /// @brief Load of the own target as told to the entry node of a request.
  TargetLoad loadFor(const MeshCall &Call) const;
  void noteAnswerSize(const MeshCall &Call, std::uint64_t Size);
  bool hadTime(const MeshCall &Call) const;
  bool callFailedSince(const MeshCall &Call) const;
  void noteCallFailure(const MeshCall &Call);
  void logServed(const MeshCall &Call, int Status);
  bool mayRepeat(MeshCall &Call);
  void expire(MeshCall &Call);
  void leave(MeshCall &Call);
  void refuse(MeshCall &Call, core::ErrorCode Why, bool Reached = false);
  void deliverFailure(MeshCall &Call, core::ErrorCode Why);
  void endUnknown(MeshCall &Call, core::ErrorCode Why);
  void erase(core::CallId Id) { State.Calls.erase(Id); }
  MeshCall *find(core::CallId Id);
  core::Milliseconds returnTime(const MeshCall &Call);
  std::string describe(const MeshCall &Call) const;
  /// @}

  /// @name Target
  /// @{
  bool outdated(const TargetAnnounced &What) const;
  bool leaves(const TargetAnnounced &What) const;
  void noteLeaving(LeftTarget Which);
  void targetReplaced(const TargetAnnounced &What);
  void setTargetState(TargetState To, std::string_view Why);
  void refuseQueue(core::ErrorCode Why);
  void checkTarget();
  /// @}

  /// @name Reports and moves
  /// @{
  void learnOwn(const HostReport &Former);
  void inheritTarget(const TargetReport &Former);
  void reportTo(std::vector<std::string> Addresses);
  void reportToAll();
  void reportInTurn();
  void checkLeaving();
  void checkPosition();
  void checkReading();
  void tellPosition();
  void checkReady();
  void reviewMoves();
  void reviewMove(const TrackedMove &Move);
  void wantWrite(const core::ServiceName &Service, MovePhase Phase);
  void writeDue(const TrackedMove &Move);
  std::vector<const TargetReport *>
  targetsOf(const core::ServiceName &Service) const;
  std::size_t rankFor(const std::string &Duty) const;
  /// @}

  ServiceMemory &memoryOf(const core::ServiceName &Service);
  RouteMemory &memoryOf(const core::RouteName &Route);
  void log(observe::EventId Id, std::string Detail);

  MeshState &State;
  core::TimePoint Now;
  Effects Out;
  /// Own target as reported, for comparisons with other hosts.
  mutable std::optional<TargetReport> OwnReported;
};

/// @brief What the node says of its own target.
std::optional<TargetReport> ownTargetReport(const MeshState &State);
/// @brief Time that the large answers queued on the own link take.
core::Milliseconds linkWait(const MeshState &State, core::TimePoint Now);

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_LIB_DECISION_MESH_REDUCTION_H
