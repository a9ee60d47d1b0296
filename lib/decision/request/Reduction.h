#ifndef FILBERTVANE_LIB_DECISION_REQUEST_REDUCTION_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_LIB_DECISION_REQUEST_REDUCTION_H

#include "filbertvane/decision/request/Reducer.h"

namespace filbertvane::decision::request {

/// @brief Applies one event to the fields of a state.
class Reduction {
public:
  Reduction(StateFields &Next, Effects &Out, core::Instant Now)
      : Fields(Next), Out(Out), Now(Now) {}

  /// @name Events
  /// @{
  void operator()(const CallArrived &Arrival);
  void operator()(const AnswerStarted &Started);
  void operator()(const AttemptEnded &Ended);
  void operator()(const CallerDisconnected &Disconnect);
  void operator()(const ClaimDecided &Decision);
  void operator()(const OwnerReplied &Reply);
  void operator()(const KeptResultRequested &Request);
  void operator()(const SuspectLearned &Report);
  void operator()(const ConfigurationChanged &Change);
  void operator()(const EndpointsChanged &Change);
  void operator()(const TargetLeaving &Leaving);
  void operator()(const DrainStarted &Drain);
  void operator()(const Tick &Periodic);
  /// @}

private:
  /// @name Arrival (ReduceArrival.cpp)
  /// @{
  /// Error with which all new calls are refused, or none.
  std::optional<core::Error> newCallError() const;
  RoutePtr findRoute(const CallArrived &Arrival) const;
  Call makeCall(const CallArrived &Arrival, RoutePtr Route) const;
  void routeCall(Call &ActiveCall);
  void startHostedCall(Call &ActiveCall, const core::TargetId &Target);
  /// @}

  /// @name Selection (ReduceSelection.cpp)
  /// @{
  std::optional<TargetIndex> selectTarget(Call &ActiveCall);
  VersionPool *selectPool(Call &ActiveCall, ServiceState &Service);
  std::optional<TargetIndex> selectFromPool(const Call &ActiveCall,
                                            ServiceState &Service,
                                            const VersionPool &Pool);
  std::optional<TargetIndex> pick(const Call &ActiveCall,
                                  std::span<const TargetIndex> Members);
  /// @}

  /// @name Attempts (ReduceAttempts.cpp)
  /// @{
  void startAttempt(Call &ActiveCall, TargetIndex Index);
  void sendAttempt(Call &ActiveCall);
  /// Updates the load of the target and releases the slot or queue entry.
  void releaseTarget(Call &ActiveCall,
                     std::optional<core::Microseconds> Duration);
  /// Starts or refuses waiting requests of a local target.
  void serveQueue(TargetIndex Index);
  /// @}

  /// @name Failures (ReduceFailures.cpp)
  /// @{
  /// Retries or refuses a call whose attempt did not run.
  /// @param WasSent false when the admission of the local target refused it
  void handleNotRun(Call &ActiveCall, const AttemptEnded &Ended,
                    core::ErrorCode Reason, bool WasSent);
  void refuseQueued(Call &ActiveCall, core::ErrorCode Reason);
  void handleNoAnswer(Call &ActiveCall, const AttemptEnded &Ended);
  /// Ends a call whose answer was forwarded, completely or partially.
  void handleForwarded(Call &ActiveCall, const AttemptEnded &Ended, bool Fault);
  bool retry(Call &ActiveCall, const AttemptEnded &Ended, bool WasSent);
  bool mayRetry(const Call &ActiveCall, const AttemptEnded &Ended) const;
  void reportObservation(const Call &ActiveCall, bool Fault,
                         bool TargetCrashed = false);
  void recordCrash(Call &ActiveCall);
  /// @}

  /// @name Ejection (ReduceEjection.cpp)
  /// @{
  void recordHealth(TargetIndex Index, bool Fault, core::Microseconds Latency);
  void ejectFrom(VersionPool &Pool, TargetIndex Index);
  void reviewTargets();
  void reviewPool(VersionPool &Pool);
  void refreshActive(VersionPool &Pool);
  /// @}

  /// @name Ends (ReduceEnds.cpp)
  /// @{
  void refuse(Call &ActiveCall, core::ErrorCode Reason, bool Retried,
              bool TargetCrashed = false);
  void refuse(core::CallId Id, Outcome Result, core::Error Reason);
  void recordResult(Call &ActiveCall, claims::ResultState Result,
                    std::shared_ptr<const KeptAnswer> Answer);
  void erase(core::CallId Id) { Fields.Calls.erase(Id); }
  void addExpiry(const Call &ActiveCall);
  void expire(Call &ActiveCall);
  /// @}

  /// @name Claims (ReduceClaims.cpp)
  /// @{
  void claimOrRepeat(Call &ActiveCall);
  void claim(Call &ActiveCall, claims::KeptResults::Entry &Entry);
  /// Ends a call with the result of its key on this node, or lets it wait for
  /// the result.
  void answerRepeat(core::CallId Id, const claims::KeptResults::Entry &Entry);
  void askOwner(Call &ActiveCall, const ClaimOwner &Owner);
  /// Hands the claim of a call that ends over to another call with the key.
  void abandonClaim(Call &ActiveCall);
  /// @}

  /// @name Fleet (ReduceFleet.cpp)
  /// @{
  void rebuildPools();
  void openTarget(TargetIndex Index);
  void closeTarget(TargetIndex Index);
  /// @}

  void log(observe::EventId Id, std::string Detail);
  Call *find(core::CallId Id);
  ServiceState *serviceOf(const Call &ActiveCall);

  StateFields &Fields;
  Effects &Out;
  core::Instant Now;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_LIB_DECISION_REQUEST_REDUCTION_H
