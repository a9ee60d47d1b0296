#include "Reduction.h"
#include "filbertvane/decision/mesh/LinkPacer.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

using core::ErrorCode;

namespace {

/// Return time of a caller when no configuration is known yet: a new node
/// reads it within about this time.
constexpr core::Milliseconds StartupReturn{300};
constexpr int StatusNotFound = 404;
constexpr int StatusTooLarge = 413;
/// Part of the latency objective that is not planned with: the way between the
/// caller and this node, which it does not see (2 to 16 ms there and back), and
/// the turns of its own loop.
constexpr core::Milliseconds UnseenWay{20};
/// The same for objectives that are shorter than ten times that.
constexpr int ShortObjectiveParts = 10;
/// Time after which other nodes know that this one stops.
constexpr core::Milliseconds StopReportTime{500};
/// Deadline of a request that states none on either side.
constexpr core::Milliseconds UsualTimeLeft{5000};

request::Refuse refusal(core::CallId Id, ErrorCode Why, std::string Detail) {
  request::Refuse Out;
  Out.Id = Id;
  Out.Result = request::Outcome::NotRun;
  Out.Reason = {Why, std::move(Detail)};
  return Out;
}

} // namespace

void Reduction::operator()(const request::CallArrived &What) {
  State.LinkFreeAt = Now + What.LinkWait;
  if (State.Calls.size() >= MaximumCalls) {
    log(observe::EventId::MeshRequestRefused,
        fmt::format("request={} reason=calls calls={}", What.CallerId,
                    State.Calls.size()));
    request::Refuse Full = refusal(What.Id, ErrorCode::RequestTooManyCalls, "");
    Full.RetryAfter = MaximumRetryAfter;
    Produced.emplace_back(std::move(Full));
    return;
  }
  if (What.FromNode)
    acceptFromPeer(What);
  else
    acceptFromCaller(What);
}

void Reduction::acceptFromPeer(const request::CallArrived &What) {
  const bool Here = State.Target && State.Target->State == TargetState::Ready &&
                    What.Target == State.Target->Announcement.Id;
  // Reports of the stop may still be under way.
  const bool Stopped =
      State.Draining && Now >= State.ReportLeavingAt + StopReportTime;
  if (!Here || Stopped || !What.Terms) {
    request::Refuse Gone =
        refusal(What.Id, ErrorCode::RequestDraining, "target is not here");
    log(observe::EventId::MeshRequestRefused,
        fmt::format("request={} reason=target_gone expected={}", What.CallerId,
                    What.Target.value_or(core::TargetId()).value()));
    Produced.emplace_back(std::move(Gone));
    return;
  }
  MeshCall Call;
  Call.Id = What.Id;
  Call.FromPeer = true;
  Call.CallerId = What.CallerId;
  Call.Caller = What.Caller.value_or(core::ServiceName());
  Call.Service = State.Target->Announcement.Service;
  Call.Terms = *What.Terms;
  Call.ArrivedAt = Now;
  Call.Objective = Now + What.Terms->ObjectiveLeft;
  Call.Deadline = Now + What.TimeLeft.value_or(UsualTimeLeft);
  if (stateOf(Call.Terms.Route).MeanAnswerBytes > LinkPacer::LargeAnswerBytes)
    Call.LinkWait = What.LinkWait;
  const bool LinkBusy = Call.LinkWait > MaximumLinkWait;
  MeshCall &Taken = State.Calls.emplace(What.Id, std::move(Call)).first->second;
  if (LinkBusy)
    return refuse(Taken, ErrorCode::RequestWouldBeLate);
  enqueue(Taken);
}

void Reduction::acceptFromCaller(const request::CallArrived &What) {
  if (!State.Routing) {
    request::Refuse NotReady = refusal(What.Id, ErrorCode::RequestNotReady, "");
    NotReady.RetryAfter = StartupReturn;
    log(observe::EventId::MeshRequestRefused,
        fmt::format("request={} reason=no_configuration", What.CallerId));
    Produced.emplace_back(std::move(NotReady));
    return;
  }
  auto Route = State.Routing->match(What.VirtualHost, What.Path);
  const config::Routing &Routing = State.Routing->routing();
  if (!Route) {
    request::Refuse Unknown = refusal(What.Id, ErrorCode::RequestNoRoute, "");
    Unknown.Status = StatusNotFound;
    log(observe::EventId::MeshRequestRefused,
        fmt::format("request={} reason=no_route config={}", What.CallerId,
                    Routing.Version.value()));
    Produced.emplace_back(std::move(Unknown));
    return;
  }
  if (Routing.Limits.BodyBytes > 0 &&
      What.ContentLength > Routing.Limits.BodyBytes) {
    request::Refuse TooLarge =
        refusal(What.Id, ErrorCode::RequestTooLarge, "body");
    TooLarge.Status = StatusTooLarge;
    log(observe::EventId::MeshRequestRefused,
        fmt::format("request={} reason=body bytes={}", What.CallerId,
                    What.ContentLength));
    Produced.emplace_back(std::move(TooLarge));
    return;
  }
  MeshCall Call;
  Call.Id = What.Id;
  Call.CallerId = What.CallerId;
  Call.Caller = State.Settings.Service;
  Call.Route = Route;
  Call.Service = stateOf(Route->Name).ServiceSplit.next(Route->Services);
  Call.ArrivedAt = Now;
  const core::Milliseconds Unseen =
      std::min(UnseenWay, Route->Objective / ShortObjectiveParts);
  Call.Objective = Now + Route->Objective - Unseen;
  Call.Deadline =
      Now + std::min(What.TimeLeft.value_or(Route->Timeout), Route->Timeout);
  if (State.ShutdownDeadline && Now > State.AcceptsAllUntil &&
      Call.Deadline > *State.ShutdownDeadline) {
    request::Refuse Stopping = refusal(What.Id, ErrorCode::RequestDraining, "");
    Stopping.RetryAfter = MinimumRetryAfter;
    log(observe::EventId::MeshRequestRefused,
        fmt::format("request={} reason=stopping", What.CallerId));
    Produced.emplace_back(std::move(Stopping));
    return;
  }
  Call.Terms.Route = Route->Name;
  Call.Terms.Rank = Route->Rank;
  Call.Terms.Idempotent = Route->Idempotent;
  stateOf(Call.Service).Budget.recordRequest(Now);
  place(State.Calls.emplace(What.Id, std::move(Call)).first->second);
}

void Reduction::enqueue(MeshCall &Call) {
  Call.Phase = CallPhase::Queued;
  Call.CurrentHost = State.Settings.Node;
  SlotRequest Who;
  Who.Id = Call.Id;
  Who.Route = Call.Terms.Route;
  Who.Rank = Call.Terms.Rank;
  Who.Objective = Call.Objective;
  // The answer has to cross the link before the deadline as well. Most wait for
  // less than all queued bytes, since smaller answers go first, so that the
  // objective is not shortened by them.
  Who.Deadline = Call.Deadline - Call.LinkWait;
  Who.AcceptLate = Call.Terms.AcceptLate;
  const SlotVerdict Verdict = State.Slots.submit(Who, Now);
  switch (Verdict.Action) {
  case SlotVerdict::ActionKind::Start:
    return sendToTarget(Call);
  case SlotVerdict::ActionKind::Wait:
    // It may have displaced another one, which is told at once.
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
  while (const auto Turn = State.Slots.next(Now)) {
    MeshCall *Call = find(Turn->Id);
    if (Call == nullptr) {
      if (Turn->Verdict.Action == SlotVerdict::ActionKind::Start)
        State.Slots.release({}, std::nullopt);
      continue;
    }
    const bool Displaced = Turn->Verdict.Reason == ErrorCode::RequestQueueFull;
    if (Turn->Verdict.Action == SlotVerdict::ActionKind::Start) {
      sendToTarget(*Call);
    } else if (Displaced && !Call->FromPeer) {
      Call->LateHosts.push_back(State.Settings.Node);
      place(*Call);
    } else {
      refuse(*Call, Turn->Verdict.Reason);
    }
  }
}

void Reduction::sendToTarget(MeshCall &Call) {
  Call.Phase = CallPhase::AtTarget;
  Call.Attempt = core::AttemptId(++State.LastAttempt);
  Call.SentAt = Now;
  Call.TargetGeneration = State.Target->Generation;
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
  Start.HoldAnswer = true;
  // A kept connection can carry a late answer to an earlier request, or close
  // as the request arrives; neither can be repaired by a repeat here.
  Start.FreshConnection = !Call.Terms.Idempotent;
  Produced.emplace_back(std::move(Start));
}

} // namespace filbertvane::decision::mesh
