#include "Reduction.h"
#include "filbertvane/core/Digest.h"
#include "filbertvane/decision/mesh/Evacuations.h"
#include "filbertvane/decision/mesh/LinkPacer.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

using core::ErrorCode;

namespace {

/// Retry delay stated to callers while no current configuration is loaded: a
/// new node reads it within about this time, and one that lacks a newer one
/// asks for it as often.
constexpr core::Milliseconds StartupRetryAfter{300};
constexpr int StatusNotFound = 404;
constexpr int StatusTooLarge = 413;
/// Part of the latency objective reserved for what this node does not observe:
/// the round trip between the caller and this node (2 to 16 ms) and the delays
/// of its own event loop.
constexpr core::Milliseconds ObjectiveReserve{20};
/// For short objectives the reserve is the objective divided by this.
constexpr int ShortObjectiveDivisor = 10;
/// Time within which other nodes learn that this one is leaving.
constexpr core::Milliseconds LeavingReportDelay{500};
/// Rank of the calls that running requests make. Their callers hold a slot of
/// another target until the call is answered.
constexpr std::uint32_t NestedCallRank = 0;
/// Time left for a request when its sender states no deadline.
constexpr core::Milliseconds DefaultTimeLeft{5000};

request::Refuse refusal(core::CallId Id, ErrorCode Reason, std::string Detail) {
  request::Refuse Refusal;
  Refusal.Id = Id;
  Refusal.Result = request::Outcome::NotRun;
  Refusal.Reason = {Reason, std::move(Detail)};
  return Refusal;
}

/// The same for each repeat of a request, at the entry node and at the host.
core::Digest digestOf(const request::CallArrived &Arrival) {
  return core::digestOf(Arrival.VirtualHost, Arrival.RequestDigest.value());
}

} // namespace

void Reduction::operator()(const request::CallArrived &Arrival) {
  State.LinkFreeAt = Now + Arrival.LinkWait;
  State.UploadsFreeAt = Now + Arrival.UploadWait;
  if (State.Calls.size() >= MaximumCalls) {
    log(observe::EventId::MeshRequestRefused,
        fmt::format("request={} reason=calls calls={}", Arrival.CallerId,
                    State.Calls.size()));
    request::Refuse TooManyCalls =
        refusal(Arrival.Id, ErrorCode::RequestTooManyCalls, "");
    TooManyCalls.RetryAfter = MaximumRetryAfter;
    Produced.emplace_back(std::move(TooManyCalls));
    State.Runs.recordCallFailure(Arrival.ParentId);
    return;
  }
  if (Arrival.FromNode)
    return acceptFromPeer(Arrival);
  acceptFromCaller(Arrival);
  if (find(Arrival.Id) == nullptr)
    State.Runs.recordCallFailure(Arrival.ParentId);
}

void Reduction::acceptFromPeer(const request::CallArrived &Arrival) {
  const bool IsServed = State.Target &&
                        State.Target->State == TargetState::Ready &&
                        Arrival.Target == State.Target->Announcement.Id;
  // The entry node may not know yet that the version was rejected.
  const bool Excluded = State.Target && isExcluded(State.Target->Announcement);
  // Reports that this node is leaving may still be in transit.
  const bool HasLeft =
      State.Draining && Now >= State.ReportLeavingAt + LeavingReportDelay;
  // The entry node may not know of the evacuation yet.
  const bool Evacuated = isEvacuated(State, State.Settings.DataCentre);
  if (!IsServed || Excluded || HasLeft || Evacuated || !Arrival.Terms) {
    request::Refuse NoTarget =
        refusal(Arrival.Id, ErrorCode::RequestDraining, "target is not here");
    log(observe::EventId::MeshRequestRefused,
        fmt::format("request={} reason={} expected={}", Arrival.CallerId,
                    Evacuated  ? "evacuated"
                    : Excluded ? "version_excluded"
                               : "target_gone",
                    Arrival.Target.value_or(core::TargetId()).value()));
    Produced.emplace_back(std::move(NoTarget));
    return;
  }
  MeshCall Call;
  Call.Id = Arrival.Id;
  Call.FromPeer = true;
  Call.Sender = Arrival.Sender;
  Call.CallerId = Arrival.CallerId;
  Call.Caller = Arrival.Caller.value_or(core::ServiceName());
  Call.RequestDigest = digestOf(Arrival);
  Call.Service = State.Target->Announcement.Service;
  Call.Terms = *Arrival.Terms;
  Call.ArrivedAt = Now;
  Call.Objective = Now + Arrival.Terms->ObjectiveLeft;
  Call.Deadline = Now + Arrival.TimeLeft.value_or(DefaultTimeLeft);
  if (stateOf(Call.Terms.Route).MeanAnswerBytes > LinkPacer::LargeAnswerBytes)
    Call.LinkWait = Arrival.LinkWait;
  const bool LinkBusy = Call.LinkWait > MaximumLinkWait;
  MeshCall &Accepted =
      State.Calls.emplace(Arrival.Id, std::move(Call)).first->second;
  if (State.Suspects.isRefused({Accepted.RequestDigest, Accepted.Caller}))
    return refuse(Accepted, ErrorCode::RequestSuspect);
  // The entry node may not have the configuration that withdrew this region.
  if (!mayRunHere(Accepted))
    return refuse(Accepted, ErrorCode::RequestOutsideRegions);
  if (LinkBusy || Arrival.UploadRefused)
    return refuse(Accepted, ErrorCode::RequestWouldMissObjective);
  enqueue(Accepted);
}

void Reduction::acceptFromCaller(const request::CallArrived &Arrival) {
  if (!State.Routing) {
    request::Refuse NotReady =
        refusal(Arrival.Id, ErrorCode::RequestNotReady, "");
    NotReady.RetryAfter = StartupRetryAfter;
    log(observe::EventId::MeshRequestRefused,
        fmt::format("request={} reason=no_configuration", Arrival.CallerId));
    Produced.emplace_back(std::move(NotReady));
    return;
  }
  if (State.Outdated)
    return refuseAsOutdated(Arrival);
  auto Route = State.Routing->match(Arrival.VirtualHost, Arrival.Path);
  const config::Routing &Routing = State.Routing->routing();
  if (!Route) {
    request::Refuse NoRoute =
        refusal(Arrival.Id, ErrorCode::RequestNoRoute, "");
    NoRoute.Status = StatusNotFound;
    log(observe::EventId::MeshRequestRefused,
        fmt::format("request={} reason=no_route config={}", Arrival.CallerId,
                    Routing.Version.value()));
    Produced.emplace_back(std::move(NoRoute));
    return;
  }
  if (Routing.Limits.MaxBodyBytes > 0 &&
      Arrival.ContentLength > Routing.Limits.MaxBodyBytes) {
    request::Refuse TooLarge =
        refusal(Arrival.Id, ErrorCode::RequestTooLarge, "body");
    TooLarge.Status = StatusTooLarge;
    log(observe::EventId::MeshRequestRefused,
        fmt::format("request={} reason=body bytes={}", Arrival.CallerId,
                    Arrival.ContentLength));
    Produced.emplace_back(std::move(TooLarge));
    return;
  }
  MeshCall Call;
  Call.Id = Arrival.Id;
  Call.CallerId = Arrival.CallerId;
  Call.ParentId = Arrival.ParentId;
  Call.Caller = State.Settings.Service;
  Call.RequestDigest = digestOf(Arrival);
  Call.BodyBytes = Arrival.ContentLength;
  Call.Route = Route;
  Call.ArrivedAt = Now;
  const core::Milliseconds Reserve = std::min(
      ObjectiveReserve, Route->LatencyObjective / ShortObjectiveDivisor);
  Call.Objective = Now + Route->LatencyObjective - Reserve;
  Call.Deadline =
      Now + std::min(Arrival.TimeLeft.value_or(Route->Timeout), Route->Timeout);
  if (State.ShutdownDeadline && Now > State.AcceptsAllUntil &&
      Call.Deadline > *State.ShutdownDeadline) {
    request::Refuse Stopping =
        refusal(Arrival.Id, ErrorCode::RequestDraining, "");
    Stopping.RetryAfter = MinimumRetryAfter;
    log(observe::EventId::MeshRequestRefused,
        fmt::format("request={} reason=stopping", Arrival.CallerId));
    Produced.emplace_back(std::move(Stopping));
    return;
  }
  Call.Terms.Route = Route->Name;
  Call.Terms.Rank = Route->Rank;
  if (!checkAccess(Arrival, Call))
    return;
  // A late answer to a nested call is still of use to the request that waits
  // for it, while a refusal fails that request and wastes its run.
  // Targets present no key, so that a caller with one cannot claim to be one.
  if (!Arrival.ParentId.empty() && !Call.Credential) {
    Call.Terms.Rank = NestedCallRank;
    Call.Objective = Call.Deadline - Reserve;
  }
  Call.Terms.Idempotent = Route->Idempotent;
  MeshCall &Accepted =
      State.Calls.emplace(Arrival.Id, std::move(Call)).first->second;
  if (admitByQuota(Accepted))
    route(Accepted);
}

/// Which requests the missing configuration concerns is not known here.
void Reduction::refuseAsOutdated(const request::CallArrived &Arrival) {
  request::Refuse Outdated =
      refusal(Arrival.Id, ErrorCode::RequestConfigurationOutdated, "");
  Outdated.RetryAfter = StartupRetryAfter;
  if (const auto Refused = State.OutdatedRefusals.record(Now))
    log(observe::EventId::MeshRequestRefused,
        fmt::format("request={} reason=configuration_outdated config={} "
                    "refused={}",
                    Arrival.CallerId, State.Routing->routing().Version.value(),
                    *Refused));
  Produced.emplace_back(std::move(Outdated));
}

void Reduction::route(MeshCall &Call) {
  // Refused requests take no turn of the split.
  Call.Service =
      stateOf(Call.Route->Name).ServiceSplit.next(Call.Route->Services);
  Call.Terms.Repeat = State.Runs.recordCall(Call.ParentId, Call.Service);
  SharedRetryBudget &Budget = stateOf(Call.Service).Budget;
  bool HasBudget = true;
  if (Call.Terms.Repeat)
    HasBudget = Budget.tryTakeCall(nodesSharingBudget(State), Now);
  else
    Budget.recordRequest(Now);
  if (State.Suspects.isRefused({Call.RequestDigest, Call.Caller}))
    return refuse(Call, ErrorCode::RequestSuspect);
  if (!HasBudget)
    return refuse(Call, ErrorCode::RequestCallBudgetSpent);
  place(Call);
}

/// Time after which an answer cannot reach the caller, since the target or the
/// process of this node or of the entry node exits.
core::TimePoint Reduction::exitBeforeAnswer(const MeshCall &Call) const {
  const core::TimePoint Exit =
      std::min(State.ShutdownDeadline.value_or(core::TimePoint::max()),
               State.Target ? State.Target->LeavesAt : core::TimePoint::max());
  const auto Peer = State.PeerExits.find(Call.Sender);
  return Call.FromPeer && Peer != State.PeerExits.end()
             ? std::min(Exit, Peer->second)
             : Exit;
}

/// Requests that wait for a slot and would be cut off by the exit of a process
/// end as not run while this can still be told.
void Reduction::boundQueuedCallsByExit() {
  for (const auto &[Id, Call] : State.Calls)
    if (Call.Phase == CallPhase::Queued)
      State.Slots.boundByExit(Id, exitBeforeAnswer(Call));
  dispatchQueue();
}

/// A repeated run makes its calls again, which count as repeats for the
/// services that it calls. It is refused while the share of this host has no
/// room for them, since calls that are refused afterwards waste the run.
bool Reduction::hasBudgetForCalls(const MeshCall &Call) {
  const std::size_t Nodes = nodesSharingBudget(State);
  return std::ranges::all_of(
      State.Runs.callsPerRun(Call.Terms.Route), [&](const auto &Calls) {
        const auto &[Callee, PerRun] = Calls;
        return stateOf(Callee).Budget.remaining(Nodes, Now) -
                   State.Runs.expectedRepeatedCalls(Callee) >=
               PerRun;
      });
}

void Reduction::enqueue(MeshCall &Call) {
  Call.Phase = CallPhase::Queued;
  Call.CurrentHost = State.Settings.Node;
  if (Call.Terms.Repeat && !hasBudgetForCalls(Call)) {
    if (Call.FromPeer)
      return refuse(Call, ErrorCode::RequestCallBudgetSpent);
    Call.TriedHosts.push_back(State.Settings.Node);
    return place(Call);
  }
  if (Call.Terms.Repeat)
    State.Runs.addWaiting(Call.CallerId, Call.Terms.Route);
  SlotRequest Request;
  Request.Id = Call.Id;
  Request.Route = Call.Terms.Route;
  Request.Rank = Call.Terms.Rank;
  Request.Objective = Call.Objective;
  // The answer must cross the link before the deadline as well. The objective
  // is not shortened: most answers wait for less than all queued bytes, since
  // smaller answers go first.
  Request.Deadline = Call.Deadline - Call.LinkWait;
  Request.AcceptLate = Call.Terms.AcceptLate;
  Request.ExitAt = exitBeforeAnswer(Call);
  const SlotVerdict Verdict = State.Slots.submit(Request, Now);
  switch (Verdict.Action) {
  case SlotVerdict::ActionKind::Start:
    return sendToTarget(Call);
  case SlotVerdict::ActionKind::Wait:
    // The request may have evicted another one, which is refused at once.
    return dispatchQueue();
  case SlotVerdict::ActionKind::Refuse:
    if (Call.FromPeer)
      return refuse(Call, Verdict.Reason);
    Call.LateHosts.push_back(State.Settings.Node);
    return place(Call);
  }
}

void Reduction::dispatchQueue() {
  if (!State.Target || State.Target->State == TargetState::Down)
    return;
  while (const auto Next = State.Slots.next(Now)) {
    MeshCall *Call = find(Next->Id);
    if (Call == nullptr) {
      if (Next->Verdict.Action == SlotVerdict::ActionKind::Start)
        State.Slots.release({}, std::nullopt);
      continue;
    }
    const bool WasEvicted = Next->Verdict.Reason == ErrorCode::RequestQueueFull;
    if (Next->Verdict.Action == SlotVerdict::ActionKind::Start) {
      sendToTarget(*Call);
    } else if (WasEvicted && !Call->FromPeer) {
      Call->LateHosts.push_back(State.Settings.Node);
      place(*Call);
    } else {
      refuse(*Call, Next->Verdict.Reason);
    }
  }
}

void Reduction::sendToTarget(MeshCall &Call) {
  Call.Phase = CallPhase::AtTarget;
  Call.Attempt = core::AttemptId(++State.LastAttempt);
  Call.SentAt = Now;
  Call.TargetGeneration = State.Target->Generation;
  State.Runs.start(Call.CallerId, Call.Terms.Route, Call.Terms.Repeat);
  request::StartAttempt Start;
  Start.Id = Call.Id;
  Start.Attempt = Call.Attempt;
  Start.To.Node = State.Settings.Node;
  Start.To.Local = true;
  Start.To.Address = State.Settings.TargetAddress;
  Start.To.Target = State.Target->Announcement.Id;
  Start.Deadline = Call.Deadline;
  Start.Service = Call.Service;
  Start.Caller = Call.Caller;
  // The target learns the tenant where callers need keys; elsewhere all headers
  // pass.
  if (callersNeedKeys() && !Call.Terms.Tenant)
    Call.Terms.Tenant = core::TenantName();
  if (Call.Terms.Tenant)
    Start.Terms = Call.Terms;
  Start.HoldAnswer = true;
  // A kept-alive connection may carry a late answer to an earlier request, or
  // close as the request arrives; a request that is not idempotent cannot be
  // retried after either.
  Start.FreshConnection = !Call.Terms.Idempotent;
  Produced.emplace_back(std::move(Start));
}

} // namespace filbertvane::decision::mesh
