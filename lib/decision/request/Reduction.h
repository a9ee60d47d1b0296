#ifndef FILBERTVANE_LIB_DECISION_REQUEST_REDUCTION_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_LIB_DECISION_REQUEST_REDUCTION_H

#include "filbertvane/decision/request/Reducer.h"

namespace filbertvane::decision::request {

/// @brief One run of the reducer over one event.
class Reduction {
public:
  Reduction(StateFields &Next, Effects &Out, core::Instant Now)
      : Fields(Next), Out(Out), Now(Now) {}

  /// @name Events
  /// @{
  void operator()(const CallArrived &What);
  void operator()(const AnswerStarted &What);
  void operator()(const AttemptEnded &What);
  void operator()(const CallerDisconnected &What);
  void operator()(const ClaimDecided &What);
  void operator()(const OwnerReplied &What);
  void operator()(const KeptResultRequested &What);
  void operator()(const SuspectLearned &What);
  void operator()(const ConfigurationChanged &What);
  void operator()(const EndpointsChanged &What);
  void operator()(const TargetLeaving &What);
  void operator()(const DrainStarted &What);
  void operator()(const Tick &What);
  /// @}

private:
  /// @name Arrival (ReduceArrival.cpp)
  /// @{
  /// Error that refuses any new call, or none.
  std::optional<core::Error> newCallError() const;
  RoutePtr findRoute(const CallArrived &What) const;
  Call makeCall(const CallArrived &What, RoutePtr Route) const;
  void routeCall(Call &Which);
  void startHostedCall(Call &Which, const core::TargetId &Target);
  /// @}

  /// @name Selection (ReduceSelection.cpp)
  /// @{
  std::optional<TargetIndex> selectTarget(Call &Which);
  VersionPool *selectPool(Call &Which, ServiceState &Service);
  std::optional<TargetIndex> selectFromPool(const Call &Which,
                                            ServiceState &Service,
                                            const VersionPool &Pool);
  std::optional<TargetIndex> pick(const Call &Which,
                                  std::span<const TargetIndex> Members);
  /// @}

  /// @name Attempts (ReduceAttempts.cpp)
  /// @{
  void startAttempt(Call &Which, TargetIndex At);
  void sendAttempt(Call &Which);
  /// Frees the target's count and the slot of a sent attempt.
  void releaseTarget(Call &Which, std::optional<core::Microseconds> Took);
  /// Starts or refuses the waiting requests of an own target.
  void serveQueue(TargetIndex At);
  /// @}

  /// @name Failures (ReduceFailures.cpp)
  /// @{
  /// An attempt is over that did not run.
  /// @param WasSent false when the own target's admission refused
  void handleNotRun(Call &Which, const AttemptEnded &What, core::ErrorCode Why,
                    bool WasSent);
  void refuseQueued(Call &Which, core::ErrorCode Why);
  void handleNoAnswer(Call &Which, const AttemptEnded &What);
  /// The answer was passed on, in whole or in part.
  void handleForwarded(Call &Which, const AttemptEnded &What, bool Fault);
  bool retry(Call &Which, const AttemptEnded &What, bool WasSent);
  bool mayRetry(const Call &Which, const AttemptEnded &What) const;
  void reportObservation(const Call &Which, bool Fault,
                         bool TargetCrashed = false);
  void recordCrash(Call &Which);
  /// @}

  /// @name Ejection (ReduceEjection.cpp)
  /// @{
  void recordHealth(TargetIndex At, bool Fault, core::Microseconds Latency);
  void ejectFrom(VersionPool &Pool, TargetIndex At);
  void reviewTargets();
  void reviewPool(VersionPool &Pool);
  void refreshActive(VersionPool &Pool);
  /// @}

  /// @name Ends (ReduceEnds.cpp)
  /// @{
  void refuse(Call &Which, core::ErrorCode Why, bool Retried,
              bool TargetCrashed = false);
  void refuse(core::CallId Id, Outcome Result, core::Error Why);
  void recordResult(Call &Which, claims::ResultState Result,
                    std::shared_ptr<const KeptAnswer> Answer);
  void erase(core::CallId Id) { Fields.Calls.erase(Id); }
  void addExpiry(const Call &Which);
  void expire(Call &Which);
  /// @}

  /// @name Claims (ReduceClaims.cpp)
  /// @{
  void claimOrRepeat(Call &Which);
  void claim(Call &Which, claims::KeptResults::Entry &Entry);
  /// Ends a call with the result that its key has on this node.
  void answerRepeat(core::CallId Id, const claims::KeptResults::Entry &Entry);
  void askOwner(Call &Which, const ClaimOwner &Owner);
  /// A claiming call ends; another call of the key takes its place.
  void abandonClaim(Call &Which);
  /// @}

  /// @name Fleet (ReduceFleet.cpp)
  /// @{
  void rebuildPools();
  void openTarget(TargetIndex At);
  void closeTarget(TargetIndex At);
  /// @}

  void log(observe::EventId Id, std::string Detail);
  Call *find(core::CallId Id);
  ServiceState *serviceOf(const Call &Which);

  StateFields &Fields;
  Effects &Out;
  core::Instant Now;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_LIB_DECISION_REQUEST_REDUCTION_H
