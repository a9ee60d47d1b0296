#include "Reduction.h"
#include "filbertvane/decision/request/Suspects.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

using core::ErrorCode;
using request::AttemptEnd;

namespace {

constexpr int FirstServerError = 500;
/// Weight of one answer in the moving average of faults: a target that fails
/// half of its requests stands out within about ten answers.
constexpr double FaultWeight = 0.06;
/// Weight of one answer in the moving average of answer sizes.
constexpr double SizeWeight = 0.05;
constexpr int StatusBadGateway = 502;
/// One of this many routine answers is logged.
constexpr std::uint64_t ServedLogInterval = 32;
constexpr int StatusUnauthorised = 401;
constexpr int StatusGatewayTimeout = 504;
/// Multiple of the typical answer time after which a passed deadline is a fault
/// of the target.
constexpr int AmpleTimeFactor = 2;

std::int64_t millis(core::Microseconds Time) {
  return std::chrono::duration_cast<core::Milliseconds>(Time).count();
}

} // namespace

void Reduction::operator()(const request::AnswerStarted &Started) {
  MeshCall *Call = find(Started.Id);
  if (Call == nullptr || Call->Attempt != Started.Attempt)
    return;
  Call->AnswerStarted = true;
  if (Started.Statement)
    applyStatement(*Call, *Started.Statement);
}

void Reduction::operator()(const request::AttemptEnded &Ended) {
  MeshCall *Call = find(Ended.Id);
  if (Call == nullptr || Call->isUnsent() || Call->Attempt != Ended.Attempt)
    return;
  if (Call->Phase == CallPhase::AtTarget)
    finishTargetAttempt(*Call, Ended);
  else
    finishPeerAttempt(*Call, Ended);
}

void Reduction::recordTargetAttempt(const MeshCall &Call,
                                    const request::AttemptEnded &Ended,
                                    bool Fault) {
  if (!State.Target || State.Target->Generation != Call.TargetGeneration)
    return;
  LocalTarget &Target = *State.Target;
  const core::Microseconds AnswerTime = Now - Call.SentAt;
  const bool Answered =
      (Ended.End == AttemptEnd::Held || Ended.End == AttemptEnd::Answered) &&
      Ended.Status < FirstServerError;
  State.Slots.release(Call.Terms.Route, Answered && !Fault
                                            ? std::optional(AnswerTime)
                                            : std::nullopt);
  Target.FaultRatio += FaultWeight * ((Fault ? 1.0 : 0.0) - Target.FaultRatio);
  if (Answered)
    Target.LastAnswerAt = Now;
  // A refused request is no evidence about the version.
  if (Ended.End == AttemptEnd::NotRun || (!Answered && !Fault))
    return;
  for (RouteTally *Tally : talliesFor(Call)) {
    ++Tally->Answers;
    if (Fault)
      ++Tally->Faults;
    else
      Tally->Times = Tally->Times.with(AnswerTime);
  }
  State.HasBadAnswerToReport = State.HasBadAnswerToReport || Fault;
}

/// Tallies of the call's route at the local target; none while the target warms
/// up, since it is slow in any version then.
std::vector<RouteTally *> Reduction::talliesFor(const MeshCall &Call) {
  if (!State.Target || State.Target->Generation != Call.TargetGeneration ||
      Now < State.Target->WarmAt)
    return {};
  const core::RouteName &Route = Call.Terms.Route;
  std::vector<RouteTally *> Found;
  for (auto *Tallies : {&State.Target->Tallies, &State.Target->StepTallies}) {
    RouteTally &Tally = (*Tallies)[Route];
    Tally.Route = Route;
    Found.push_back(&Tally);
  }
  return Found;
}

/// A request that ends before its answer still tells that the answer took
/// longer. Without these, the slower a version is, the fewer of its slow
/// answers are counted.
void Reduction::recordCutOff(const MeshCall &Call) {
  for (RouteTally *Tally : talliesFor(Call))
    Tally->CutOffTimes = Tally->CutOffTimes.with(Now - Call.SentAt);
}

void Reduction::finishTargetAttempt(MeshCall &Call,
                                    const request::AttemptEnded &Ended) {
  // A target whose own call failed answers with a failure as well; the fault is
  // that of the service it called.
  const bool CallFailed = State.Runs.hasFailedCall(Call.CallerId);
  recordRunEnd(Call, Ended.End == AttemptEnd::NoAnswer ||
                         Ended.End == AttemptEnd::Truncated);
  const bool Broken = Ended.End == AttemptEnd::NoAnswer ||
                      Ended.End == AttemptEnd::Truncated ||
                      Ended.End == AttemptEnd::NotRun;
  const bool CutOff =
      Ended.Status == StatusGatewayTimeout ||
      (Ended.End == AttemptEnd::NoAnswer && Now >= Call.Deadline);
  const bool OutOfTime = CutOff && !hadAmpleTime(Call);
  const bool Failed = Ended.Status >= FirstServerError && !CallFailed;
  if (CutOff)
    recordCutOff(Call);
  recordTargetAttempt(Call, Ended, (Broken || Failed) && !OutOfTime);
  const bool SameProcess =
      State.Target && State.Target->Generation == Call.TargetGeneration;
  // A target that leaves exits in order, whatever it still runs.
  const bool Crashed =
      Ended.TargetCrashed && Ended.End == AttemptEnd::NoAnswer &&
      !(SameProcess && State.Target->State == TargetState::Draining);
  const bool Answered =
      Ended.End == AttemptEnd::Held || Ended.End == AttemptEnd::Answered;
  if (Crashed) {
    ++Call.Crashes;
    recordCrash({Call.RequestDigest, Call.Caller}, Call.TargetGeneration,
                describe(Call));
  } else if (Answered) {
    State.Suspects.recordAnswer({Call.RequestDigest, Call.Caller});
  } else if (Ended.End == AttemptEnd::NoAnswer) {
    recordUnanswered(Call);
  }
  if (Answered && SameProcess)
    recordSignOfLife();
  if (Ended.Statement)
    applyStatement(Call, *Ended.Statement);
  if (SameProcess &&
      (Ended.Unreachable || Ended.Misdirected || Ended.TargetCrashed))
    setTargetState(TargetState::Down,
                   Ended.Misdirected ? "misdirected" : "no connection");
  if (Call.FromPeer)
    concludePeerCall(Call, Ended);
  else
    conclude(Call, Ended);
  dispatchQueue();
}

void Reduction::concludePeerCall(MeshCall &Call,
                                 const request::AttemptEnded &Ended) {
  switch (Ended.End) {
  case AttemptEnd::Held:
    recordAnswerSize(Call, Ended.AnswerBytes);
    Produced.emplace_back(request::DeliverAnswer{Call.Id, loadFor(Call)});
    return erase(Call.Id);
  case AttemptEnd::Answered:
  case AttemptEnd::Truncated:
    return erase(Call.Id);
  case AttemptEnd::NotRun:
    return refuse(Call, ErrorCode::RequestRefusedByTarget, Ended.ReachedTarget);
  case AttemptEnd::NoAnswer:
    return endWithUnknownOutcome(Call, ErrorCode::RequestNoAnswer);
  }
}

void Reduction::finishPeerAttempt(MeshCall &Call,
                                  const request::AttemptEnded &Ended) {
  if (KnownHost *Host = State.Hosts.find(Call.CurrentHost)) {
    Host->InFlight -= std::min(Host->InFlight, 1U);
    Host->Unreachable = Host->Unreachable || Ended.Unreachable;
    if (Ended.Load && Ended.Load->RouteResponseTime.count() > 0)
      stateOf(Call.Terms.Route).LastMeanTime = Ended.Load->RouteResponseTime;
    if (Ended.Load)
      State.Hosts.updateLoad(Call.CurrentHost, *Ended.Load, Call.Terms.Route);
  }
  if (Ended.TargetCrashed && Ended.End == AttemptEnd::NoAnswer)
    ++Call.Crashes;
  else if (Ended.End == AttemptEnd::Held || Ended.End == AttemptEnd::Answered)
    State.Suspects.recordAnswer({Call.RequestDigest, Call.Caller});
  if (Ended.Statement)
    applyStatement(Call, *Ended.Statement);
  conclude(Call, Ended);
}

TargetLoad Reduction::loadFor(const MeshCall &Call) const {
  TargetLoad Load = State.Slots.load();
  Load.RouteResponseTime = std::chrono::duration_cast<core::Milliseconds>(
      State.Slots.meanTime(Call.Terms.Route));
  Load.LinkQueueTime = linkWait(State, Now);
  return Load;
}

/// A passed deadline is no fault of the target if the request arrived with
/// little time left.
bool Reduction::hadAmpleTime(const MeshCall &Call) const {
  return Now - Call.SentAt >
         State.Slots.typicalTime(Call.Terms.Route) * AmpleTimeFactor;
}

bool Reduction::tryTakeRetry(MeshCall &Call) {
  if (Call.ReachedTargets >= Call.Route->MaxTargets ||
      Now + MinimumRetryAfter >= Call.Deadline)
    return false;
  if (Call.Crashes >= request::CrashesToRefuse ||
      State.Suspects.isRefused({Call.RequestDigest, Call.Caller}))
    return false;
  if (!stateOf(Call.Service)
           .Budget.tryTake(nodesSharingBudget(State), Now,
                           State.Runs.expectedRepeatedCalls(Call.Service)))
    return false;
  Call.Terms.Repeat = true;
  return true;
}

void Reduction::logRetry(const MeshCall &Call, std::string_view Cause) {
  const std::size_t Nodes = nodesSharingBudget(State);
  log(observe::EventId::MeshRequestRetried,
      fmt::format("{} after={} nodes={} budget_left={:.1f}", describe(Call),
                  Cause, Nodes,
                  stateOf(Call.Service).Budget.remaining(Nodes, Now)));
}

void Reduction::conclude(MeshCall &Call, const request::AttemptEnded &Ended) {
  switch (Ended.End) {
  case AttemptEnd::Held:
    return concludeAnswer(Call, Ended);
  case AttemptEnd::Answered:
  case AttemptEnd::Truncated:
    log(Ended.End == AttemptEnd::Answered
            ? observe::EventId::MeshRequestAnswered
            : observe::EventId::MeshOutcomeUnknown,
        fmt::format("{} status={} streamed=1", describe(Call), Ended.Status));
    if (Ended.End == AttemptEnd::Truncated || Ended.Status >= FirstServerError)
      State.Runs.recordCallFailure(Call.ParentId);
    return erase(Call.Id);
  case AttemptEnd::NotRun:
    // The host knows that the request crashes targets; others may not yet.
    if (Ended.TargetCrashed)
      return refuse(Call, ErrorCode::RequestSuspect);
    if (!Ended.ReachedTarget) {
      // A host that refuses for lack of room states its load; asking one again
      // that refused for another reason is in vain.
      const bool LacksRoom = !Ended.Unreachable && Ended.Load;
      (LacksRoom ? Call.LateHosts : Call.TriedHosts)
          .push_back(Call.CurrentHost);
      if (LacksRoom)
        State.Hosts.markAtCapacity(
            Call.CurrentHost, {Call.Terms.Route, Call.Terms.AcceptLate},
            Now + Call.Route->LatencyObjective / AtCapacityObjectiveDivisor);
      return place(Call);
    }
    ++Call.ReachedTargets;
    Call.TriedHosts.push_back(Call.CurrentHost);
    if (!tryTakeRetry(Call))
      return refuse(Call, ErrorCode::RequestRefusedByTarget);
    logRetry(Call, "refused");
    return place(Call);
  case AttemptEnd::NoAnswer:
    ++Call.ReachedTargets;
    Call.MayHaveRun = true;
    Call.TriedHosts.push_back(Call.CurrentHost);
    if (!Call.Terms.Idempotent || !tryTakeRetry(Call))
      return endWithUnknownOutcome(Call, ErrorCode::RequestNoAnswer);
    logRetry(Call, "no_answer");
    return place(Call);
  }
}

void Reduction::recordAnswerSize(const MeshCall &Call, std::uint64_t Bytes) {
  double &MeanBytes = stateOf(Call.Terms.Route).MeanAnswerBytes;
  const auto Sample = static_cast<double>(Bytes);
  MeanBytes =
      MeanBytes == 0 ? Sample : MeanBytes + SizeWeight * (Sample - MeanBytes);
}

void Reduction::concludeAnswer(MeshCall &Call,
                               const request::AttemptEnded &Ended) {
  ++Call.ReachedTargets;
  Call.MayHaveRun = true;
  const bool Failed = Ended.Status >= FirstServerError;
  if (Failed && Call.Terms.Idempotent && tryTakeRetry(Call)) {
    Call.TriedHosts.push_back(Call.CurrentHost);
    Call.HoldsFailedAnswer = true;
    logRetry(Call, fmt::format("status_{}", Ended.Status));
    return place(Call);
  }
  recordAnswerSize(Call, Ended.AnswerBytes);
  if (Failed)
    State.Runs.recordCallFailure(Call.ParentId);
  logServed(Call, Ended.Status);
  Produced.emplace_back(request::DeliverAnswer{Call.Id, std::nullopt});
  erase(Call.Id);
}

/// Only one of `ServedLogInterval` routine answers is logged: the budget of log
/// lines is for requests that may need an explanation.
void Reduction::logServed(const MeshCall &Call, int Status) {
  const bool Routine = Now <= Call.Objective && Call.Placements <= 1 &&
                       Status < FirstServerError;
  if (Routine && Call.Id.value() % ServedLogInterval != 0)
    return;
  log(observe::EventId::MeshRequestAnswered,
      fmt::format("{} status={} late={}", describe(Call), Status,
                  Now > Call.Objective));
}

void Reduction::operator()(const request::CallerDisconnected &Gone) {
  MeshCall *Call = find(Gone.Id);
  if (Call == nullptr)
    return;
  if (!Call->FromPeer)
    log(observe::EventId::MeshCallerGone, describe(*Call));
  abandon(*Call);
  erase(Gone.Id);
  dispatchQueue();
}

/// Removes the call from the queue, or cancels its attempt.
void Reduction::abandon(MeshCall &Call) {
  switch (Call.Phase) {
  case CallPhase::AwaitingQuota:
    return;
  case CallPhase::Queued:
    State.Slots.withdraw(Call.Id);
    return;
  case CallPhase::AtTarget:
    recordCutOff(Call);
    recordUnanswered(Call);
    recordRunEnd(Call, true);
    if (State.Target && State.Target->Generation == Call.TargetGeneration)
      State.Slots.release(Call.Terms.Route, std::nullopt);
    break;
  case CallPhase::AtPeer:
    if (KnownHost *Host = State.Hosts.find(Call.CurrentHost))
      Host->InFlight -= std::min(Host->InFlight, 1U);
    break;
  }
  Produced.emplace_back(request::CancelAttempt{Call.Id, Call.Attempt});
}

void Reduction::expire(MeshCall &Call) {
  const bool Unsent = Call.isUnsent();
  // The sender cuts off a started large answer at its own deadline.
  if (Call.AnswerStarted)
    return;
  if (Call.Phase == CallPhase::AtTarget) {
    recordCutOff(Call);
    request::AttemptEnded Ended;
    Ended.End = AttemptEnd::NoAnswer;
    recordTargetAttempt(Call, Ended, hadAmpleTime(Call));
    recordUnanswered(Call);
    Call.TargetGeneration = 0;
  }
  abandon(Call);
  if (Unsent)
    return refuse(Call, ErrorCode::RequestDeadlinePassed);
  endWithUnknownOutcome(Call, ErrorCode::RequestDeadlinePassed);
}

/// The failed answer of the target is more informative than an error of this
/// node.
void Reduction::deliverHeldFailure(MeshCall &Call, ErrorCode Reason) {
  State.Runs.recordCallFailure(Call.ParentId);
  log(observe::EventId::MeshRequestAnswered,
      fmt::format("{} failed=1 repeat=FV{}", describe(Call),
                  static_cast<int>(Reason)));
  Produced.emplace_back(request::DeliverAnswer{Call.Id, std::nullopt});
  erase(Call.Id);
}

void Reduction::refuse(MeshCall &Call, ErrorCode Reason, bool Reached) {
  if (Call.MayHaveRun)
    return endWithUnknownOutcome(Call, Reason);
  State.Runs.recordCallFailure(Call.ParentId);
  if (Call.TokenUntil)
    State.Quotas.giveBack(*Call.Terms.Tenant, *Call.TokenUntil, Now);
  request::Refuse Refusal;
  Refusal.Id = Call.Id;
  Refusal.Result = request::Outcome::NotRun;
  Refusal.Reason = {Reason, Call.Terms.Route.value()};
  Refusal.ReachedTarget = Reached;
  Refusal.TargetCrashed = Reason == ErrorCode::RequestSuspect;
  if (Reason == ErrorCode::RequestKeyWithdrawn)
    Refusal.Status = StatusUnauthorised;
  else if (!Call.FromPeer)
    Refusal.RetryAfter =
        Refusal.TargetCrashed ? MaximumRetryAfter : retryAfter(Call);
  else if (Reason != ErrorCode::RequestCallBudgetSpent &&
           Reason != ErrorCode::RequestOutsideRegions &&
           Reason != ErrorCode::RequestEvacuated)
    Refusal.Load = loadFor(Call);
  log(observe::EventId::MeshRequestRefused,
      fmt::format("{} reason=FV{} reached={}", describe(Call),
                  static_cast<int>(Reason), Reached));
  Produced.emplace_back(std::move(Refusal));
  erase(Call.Id);
}

void Reduction::endWithUnknownOutcome(MeshCall &Call, ErrorCode Reason) {
  if (Call.HoldsFailedAnswer)
    return deliverHeldFailure(Call, Reason);
  State.Runs.recordCallFailure(Call.ParentId);
  request::Refuse Refusal;
  Refusal.Id = Call.Id;
  Refusal.Result = request::Outcome::Unknown;
  Refusal.Reason = {Reason, Call.Terms.Route.value()};
  Refusal.TargetCrashed = Call.Crashes > 0;
  if (!Call.FromPeer && Reason != ErrorCode::RequestDeadlinePassed)
    Refusal.Status = StatusBadGateway;
  log(observe::EventId::MeshOutcomeUnknown,
      fmt::format("{} reason=FV{}", describe(Call), static_cast<int>(Reason)));
  Produced.emplace_back(std::move(Refusal));
  erase(Call.Id);
}

std::string Reduction::describe(const MeshCall &Call) const {
  std::string Description = fmt::format(
      "request={} role={} route={} service={} at={} age_ms={} sent_ms={} "
      "placements={} reached={} late_ok={}",
      Call.CallerId, Call.FromPeer ? "host" : "entry", Call.Terms.Route.value(),
      Call.Service.value(), Call.CurrentHost.value(),
      millis(Now - Call.ArrivedAt),
      Call.isUnsent() ? -1 : millis(Now - Call.SentAt), Call.Placements,
      Call.ReachedTargets, Call.Terms.AcceptLate);
  if (Call.Terms.Tenant && !Call.Terms.Tenant->value().empty())
    Description += " tenant=" + Call.Terms.Tenant->value();
  if (State.Routing)
    Description +=
        fmt::format(" config={}", State.Routing->routing().Version.value());
  const auto Host = State.Hosts.hosts().find(Call.CurrentHost);
  if (Host != State.Hosts.hosts().end() && Host->second.Report.Target) {
    const TargetLoad &Load = Host->second.Report.Target->Load;
    Description +=
        fmt::format(" load={}+{}/{} load_age_ms={}", Load.Running, Load.Waiting,
                    Load.Slots, millis(Now - Host->second.LastReportAt));
  } else if (Call.CurrentHost == State.Settings.Node) {
    const TargetLoad Load = State.Slots.load();
    Description +=
        fmt::format(" load={}+{}/{}", Load.Running, Load.Waiting, Load.Slots);
  }
  return Description;
}

} // namespace filbertvane::decision::mesh
