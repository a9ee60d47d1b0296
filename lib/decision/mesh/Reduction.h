#ifndef FILBERTVANE_LIB_DECISION_MESH_REDUCTION_H
#define FILBERTVANE_LIB_DECISION_MESH_REDUCTION_H

#include "filbertvane/decision/mesh/AllowedRegions.h"
#include "filbertvane/decision/mesh/Limits.h"
#include "filbertvane/decision/mesh/Reducer.h"
#include <functional>

namespace filbertvane::decision::mesh {

/// @brief Applies one event: collects its effects and updates the state.
class Reduction {
public:
  Reduction(MeshState &State, core::TimePoint Now) : State(State), Now(Now) {}

  /// @name Requests
  /// @{
  void operator()(const request::CallArrived &Arrival);
  void operator()(const request::AnswerStarted &Started);
  void operator()(const request::AttemptEnded &Ended);
  void operator()(const request::CallerDisconnected &Gone);
  /// @}

  /// @name Target, hosts and store
  /// @{
  void operator()(const TargetAnnounced &Announcement);
  void operator()(const TargetDeregistered &Deregistered);
  void operator()(const ReportReceived &Received);
  void operator()(const StoredReportsRead &Stored);
  void operator()(const RoutingLoaded &Loaded);
  void operator()(const PositionReached &Reached);
  void operator()(const StoreRestored &Restored);
  void operator()(const MoveOrdered &Order);
  void operator()(const EvacuationOrdered &Order);
  void operator()(const MoveStateRead &Stored);
  void operator()(const StoreReachabilityChanged &Change);
  void operator()(const ServiceAssigned &Assigned);
  void operator()(const ShutdownRequested &Shutdown);
  void operator()(const ExitDue &Exit);
  void operator()(const request::Tick &Tick);
  void operator()(const QuotaRequestReceived &Received);
  void operator()(const QuotaReplyReceived &Received);
  /// @}

  Effects takeEffects() { return std::move(Produced); }

private:
  /// @name Arrival and placement
  /// @{
  void acceptFromPeer(const request::CallArrived &Arrival);
  void acceptFromCaller(const request::CallArrived &Arrival);
  void refuseAsOutdated(const request::CallArrived &Arrival);
  /// @return whether the caller may send the request
  bool checkAccess(const request::CallArrived &Arrival, MeshCall &Call);
  bool callersNeedKeys() const;
  /// @return whether the key of an accepted request is still in force
  bool renewTenant(MeshCall &Call) const;
  void refuseWithdrawnKeys();
  /// @param MayWorkOn the target may not have noticed the end
  void recordRunEnd(const MeshCall &Call, bool MayWorkOn);
  bool admitByQuota(MeshCall &Call);
  void refuseByQuota(MeshCall &Call, const quota::Verdict &Decision);
  void serveAwaitingQuota();
  void decideAwaiting(MeshCall &Call);
  void sendQuotaMessages();
  void updateQuotaFleet();
  /// @brief Chooses the service of an accepted request, and a host.
  void route(MeshCall &Call);
  void place(MeshCall &Call);
  std::vector<Candidate> candidates(MeshCall &Call);
  /// @brief Regions in which a request may run, by the newest configuration.
  AllowedRegions regionsOf(const MeshCall &Call) const;
  bool mayRunHere(const MeshCall &Call) const;
  void refuseQueuedOutsideRegions();
  void chooseVersion(MeshCall &Call, const VersionShares &Shares);
  bool acceptsVersion(const MeshCall &Call, const VersionShares &Shares,
                      const core::TargetVersion &Version) const;
  bool hasReadyTarget(const core::ServiceName &Service,
                      const core::TargetVersion &Version,
                      const AllowedRegions &Regions) const;
  bool hasReadyTargetOfOtherVersion(const MeshCall &Call,
                                    const VersionShares &Shares) const;
  void sendToPeer(MeshCall &Call, const core::NodeId &Peer);
  void enqueue(MeshCall &Call);
  bool hasBudgetForCalls(const MeshCall &Call);
  void sendToTarget(MeshCall &Call);
  void dispatchQueue();
  core::TimePoint exitBeforeAnswer(const MeshCall &Call) const;
  void boundQueuedCallsByExit();
  void recordPeerExit(const HostReport &Report);
  /// @}

  /// @name Completion
  /// @{
  void finishTargetAttempt(MeshCall &Call, const request::AttemptEnded &Ended);
  void finishPeerAttempt(MeshCall &Call, const request::AttemptEnded &Ended);
  void concludePeerCall(MeshCall &Call, const request::AttemptEnded &Ended);
  void conclude(MeshCall &Call, const request::AttemptEnded &Ended);
  void concludeAnswer(MeshCall &Call, const request::AttemptEnded &Ended);
  void recordTargetAttempt(const MeshCall &Call,
                           const request::AttemptEnded &Ended, bool Fault);
  std::vector<RouteTally *> talliesFor(const MeshCall &Call);
  void recordCutOff(const MeshCall &Call);
  /// @brief Load of the local target, for the entry node of a request.
  TargetLoad loadFor(const MeshCall &Call) const;
  void recordAnswerSize(const MeshCall &Call, std::uint64_t Bytes);
  bool hadAmpleTime(const MeshCall &Call) const;
  void logServed(const MeshCall &Call, int Status);
  bool tryTakeRetry(MeshCall &Call);
  void logRetry(const MeshCall &Call, std::string_view Cause);
  void expire(MeshCall &Call);
  void abandon(MeshCall &Call);
  void refuse(MeshCall &Call, core::ErrorCode Reason, bool Reached = false);
  void deliverHeldFailure(MeshCall &Call, core::ErrorCode Reason);
  void endWithUnknownOutcome(MeshCall &Call, core::ErrorCode Reason);
  void recordCrash(const CrashSuspects::Identity &Request,
                   std::uint64_t Generation, std::string_view Detail);
  void recordUnanswered(const MeshCall &Call);
  void recordSilentCrash(std::string_view Sign);
  void recordSignOfLife();
  void recordSuspects(const HostReport &Report);
  void refuseQueuedSuspects();
  void reportSuspects();
  void publishSuspectsIfChanged();
  void erase(core::CallId Id);
  MeshCall *find(core::CallId Id);
  core::Milliseconds retryAfter(const MeshCall &Call);
  std::string describe(const MeshCall &Call) const;
  /// @}

  /// @name Target
  /// @{
  bool isOutdated(const TargetAnnounced &Announcement) const;
  bool hasDeparted(const TargetAnnounced &Announcement) const;
  void recordDeparture(DepartedTarget Target);
  bool adoptDeparture(const DepartedTarget &Target);
  void replaceTarget(const TargetAnnounced &Announcement);
  void setTargetState(TargetState NewState, std::string_view Reason);
  void refuseQueued(core::ErrorCode Reason,
                    const std::function<bool(const MeshCall &)> &Concerns);
  void checkTargetSilence();
  void applyStatement(const MeshCall &Call,
                      const request::TargetStatement &Statement);
  void applyColdLimit();
  void applyRateLimit(const request::TargetStatement &Statement);
  void publishRateLimitIfChanged();
  /// @}

  /// @name Reports and moves
  /// @{
  void applyFormerReport(const HostReport &Former);
  void applyFormerLimit();
  void reportTo(std::vector<std::string> Addresses);
  void reportToAll();
  void sendPeriodicReports();
  void reportLeavingIfDue();
  void fetchMissingRecords();
  bool hasMissingRecords(const KnownHost &Host) const;
  void enterEra(core::StoreEra Era);
  void recordLost(const PositionReached &Reached);
  std::size_t localFollowRank() const;
  /// @brief Whether this node has lacked records for too long that most others
  ///        have.
  bool lacksRecords() const;
  void updateOutdated();
  void updateStoreFollowing();
  void updateStoreWatching(bool FirstFollower);
  bool canFollow(const KnownHost &Host) const;
  void reportPosition();
  void updateReadiness();
  void reviewMoves();
  bool isExcluded(const TargetAnnounced &Target) const;
  void startTallyStep();
  void reportBadAnswers();
  void reviewMove(const TrackedMove &Move);
  void scheduleMoveWrite(const core::ServiceName &Service, MovePhase Phase);
  void rewriteMoveStates();
  void recordOtherEnd(const MoveStateRead &Stored, const TrackedMove &Move);
  void writeMoveIfDue(const TrackedMove &Move);
  std::vector<const TargetReport *>
  targetsOf(const core::ServiceName &Service) const;
  std::size_t rankFor(const std::string &Task) const;
  /// @}

  MeshServiceState &stateOf(const core::ServiceName &Service);
  MeshRouteState &stateOf(const core::RouteName &Route);
  void log(observe::EventId Id, std::string Detail);

  MeshState &State;
  core::TimePoint Now;
  Effects Produced;
  /// Keeps the report alive to which the result of `targetsOf` points.
  mutable std::optional<TargetReport> LocalReport;
};

/// @brief Report on the local target; none when it is unknown.
std::optional<TargetReport> localTargetReport(const MeshState &State);
/// @brief Remaining transmission time of the large answers queued on the link
///        of this host, or of the large requests announced to it.
core::Milliseconds linkWait(const MeshState &State, core::TimePoint Now);

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_LIB_DECISION_MESH_REDUCTION_H
