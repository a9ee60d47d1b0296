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
  if (State.Calls.size() >= MostCalls) {
    log(observe::EventId::MeshRefused,
        fmt::format("request={} reason=calls calls={}", What.CallerId,
                    State.Calls.size()));
    request::Refuse Full = refusal(What.Id, ErrorCode::RequestTooManyCalls, "");
    Full.RetryAfter = LongestReturn;
    Out.emplace_back(std::move(Full));
    return;
  }
  if (What.FromNode)
    arriveHosted(What);
  else
    arriveFromCaller(What);
}

void Reduction::arriveHosted(const request::CallArrived &What) {
  const bool Here = State.Target && State.Target->State == TargetState::Ready &&
                    What.Target == State.Target->Last.Id;
  // Reports of the stop may still be under way.
  const bool Stopped = State.Draining && Now >= State.LeavesAt + StopReportTime;
  if (!Here || Stopped || !What.Terms) {
    request::Refuse Gone =
        refusal(What.Id, ErrorCode::RequestDraining, "target is not here");
    log(observe::EventId::MeshRefused,
        fmt::format("request={} reason=target_gone expected={}", What.CallerId,
                    What.Target.value_or(core::TargetId()).value()));
    Out.emplace_back(std::move(Gone));
    return;
  }
  MeshCall Call;
  Call.Id = What.Id;
  Call.Hosted = true;
  Call.CallerId = What.CallerId;
  Call.Caller = What.Caller.value_or(core::ServiceName());
  Call.Service = State.Target->Last.Service;
  Call.Terms = *What.Terms;
  Call.Arrived = Now;
  Call.Objective = Now + What.Terms->ObjectiveLeft;
  Call.Deadline = Now + What.TimeLeft.value_or(UsualTimeLeft);
  if (memoryOf(Call.Terms.Route).AnswerBytes > LinkPacer::BulkBytes)
    Call.LinkWait = What.LinkWait;
  const bool LinkBusy = Call.LinkWait > LongestLinkWait;
  MeshCall &Taken = State.Calls.emplace(What.Id, std::move(Call)).first->second;
  if (LinkBusy)
    return refuse(Taken, ErrorCode::RequestWouldMissObjective);
  enterQueue(Taken);
}

void Reduction::arriveFromCaller(const request::CallArrived &What) {
  if (!State.Routing) {
    request::Refuse NotReady = refusal(What.Id, ErrorCode::RequestNotReady, "");
    NotReady.RetryAfter = StartupReturn;
    log(observe::EventId::MeshRefused,
        fmt::format("request={} reason=no_configuration", What.CallerId));
    Out.emplace_back(std::move(NotReady));
    return;
  }
  auto Route = State.Routing->match(What.VirtualHost, What.Path);
  const config::Routing &Routing = State.Routing->routing();
  if (!Route) {
    request::Refuse Unknown = refusal(What.Id, ErrorCode::RequestNoRoute, "");
    Unknown.Status = StatusNotFound;
    log(observe::EventId::MeshRefused,
        fmt::format("request={} reason=no_route config={}", What.CallerId,
                    Routing.Version.value()));
    Out.emplace_back(std::move(Unknown));
    return;
  }
  if (Routing.Limits.MaxBodyBytes > 0 &&
      What.ContentLength > Routing.Limits.MaxBodyBytes) {
    request::Refuse TooLarge =
        refusal(What.Id, ErrorCode::RequestTooLarge, "body");
    TooLarge.Status = StatusTooLarge;
    log(observe::EventId::MeshRefused,
        fmt::format("request={} reason=body bytes={}", What.CallerId,
                    What.ContentLength));
    Out.emplace_back(std::move(TooLarge));
    return;
  }
  MeshCall Call;
  Call.Id = What.Id;
  Call.CallerId = What.CallerId;
  Call.Caller = State.Own.Service;
  Call.Route = Route;
  Call.Service = memoryOf(Route->Name).Split.next(Route->Services);
  Call.Arrived = Now;
  const core::Milliseconds Unseen =
      std::min(UnseenWay, Route->LatencyObjective / ShortObjectiveParts);
  Call.Objective = Now + Route->LatencyObjective - Unseen;
  Call.Deadline =
      Now + std::min(What.TimeLeft.value_or(Route->Timeout), Route->Timeout);
  if (State.StopsAt && Now > State.TakesAllUntil &&
      Call.Deadline > *State.StopsAt) {
    request::Refuse Stopping = refusal(What.Id, ErrorCode::RequestDraining, "");
    Stopping.RetryAfter = ShortestReturn;
    log(observe::EventId::MeshRefused,
        fmt::format("request={} reason=stopping", What.CallerId));
    Out.emplace_back(std::move(Stopping));
    return;
  }
  Call.Terms.Route = Route->Name;
  Call.Terms.Rank = Route->Rank;
  Call.Terms.Idempotent = Route->Idempotent;
  memoryOf(Call.Service).Budget.noteRequest(Now);
  place(State.Calls.emplace(What.Id, std::move(Call)).first->second);
}

void Reduction::enterQueue(MeshCall &Call) {
  Call.Phase = CallPhase::Queued;
  Call.At = State.Own.Node;
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
  const SlotVerdict Verdict = State.Slots.arrive(Who, Now);
  switch (Verdict.What) {
  case SlotVerdict::Kind::Start:
    return sendToTarget(Call);
  case SlotVerdict::Kind::Wait:
    // It may have displaced another one, which is told at once.
    return serveQueue();
  case SlotVerdict::Kind::Refuse:
    if (Call.Hosted)
      return refuse(Call, Verdict.Why);
    Call.Late.push_back(State.Own.Node);
    return place(Call);
  }
}

void Reduction::serveQueue() {
  if (!State.Target || State.Target->State == TargetState::Down)
    return;
  while (const auto Turn = State.Slots.next(Now)) {
    MeshCall *Call = find(Turn->Id);
    if (Call == nullptr) {
      if (Turn->Verdict.What == SlotVerdict::Kind::Start)
        State.Slots.finished({}, std::nullopt);
      continue;
    }
    const bool Displaced = Turn->Verdict.Why == ErrorCode::RequestQueueFull;
    if (Turn->Verdict.What == SlotVerdict::Kind::Start) {
      sendToTarget(*Call);
    } else if (Displaced && !Call->Hosted) {
      Call->Late.push_back(State.Own.Node);
      place(*Call);
    } else {
      refuse(*Call, Turn->Verdict.Why);
    }
  }
}

void Reduction::sendToTarget(MeshCall &Call) {
  Call.Phase = CallPhase::AtTarget;
  Call.Attempt = core::AttemptId(++State.LastAttempt);
  Call.SentAt = Now;
  Call.TargetLife = State.Target->Life;
  request::StartAttempt Start;
  Start.Id = Call.Id;
  Start.Attempt = Call.Attempt;
  Start.To.Node = State.Own.Node;
  Start.To.Local = true;
  Start.To.Address = State.Own.TargetAddress;
  Start.To.Target = State.Target->Last.Id;
  Start.Deadline = Call.Deadline;
  Start.Service = Call.Service;
  Start.Caller = Call.Caller;
  Start.HoldAnswer = true;
  // A kept connection can carry a late answer to an earlier request, or close
  // as the request arrives; neither can be repaired by a repeat here.
  Start.FreshConnection = !Call.Terms.Idempotent;
  Out.emplace_back(std::move(Start));
}

} // namespace filbertvane::decision::mesh
