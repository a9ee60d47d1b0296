#include "Reduction.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::mesh {

using core::ErrorCode;
using request::AttemptEnd;

namespace {

constexpr int FirstServerError = 500;
/// Weight of one answer in the recent part of faults: a target that fails half
/// of its requests shows within some ten answers.
constexpr double FaultWeight = 0.06;
/// Weight of one answer in the mean size of a route's answers.
constexpr double SizeWeight = 0.05;
constexpr int StatusBadGateway = 502;
/// One in so many answers that went as they should gets a log line.
constexpr std::uint64_t ServedSample = 32;
constexpr int StatusGatewayTimeout = 504;
/// A target that had this many times the usual time is to blame when the
/// deadline passes.
constexpr int AmpleTimeFactor = 2;

std::int64_t millis(core::Microseconds Time) {
  return std::chrono::duration_cast<core::Milliseconds>(Time).count();
}

} // namespace

void Reduction::operator()(const request::AnswerStarted &What) {
  MeshCall *Call = find(What.Id);
  if (Call != nullptr && Call->Attempt == What.Attempt)
    Call->AnswerStarted = true;
}

void Reduction::operator()(const request::AttemptEnded &What) {
  MeshCall *Call = find(What.Id);
  if (Call == nullptr || Call->Phase == CallPhase::Queued ||
      Call->Attempt != What.Attempt)
    return;
  if (Call->Phase == CallPhase::AtTarget)
    endedAtTarget(*Call, What);
  else
    endedAtPeer(*Call, What);
}

void Reduction::noteAtTarget(const MeshCall &Call,
                             const request::AttemptEnded &What, bool Fault) {
  if (!State.Target || State.Target->Life != Call.TargetLife)
    return;
  OwnTarget &Target = *State.Target;
  const core::Microseconds Took = Now - Call.SentAt;
  const bool Answered =
      (What.End == AttemptEnd::Held || What.End == AttemptEnd::Answered) &&
      What.Status < FirstServerError;
  State.Slots.finished(Call.Terms.Route,
                       Answered && !Fault ? std::optional(Took) : std::nullopt);
  Target.FaultPart += FaultWeight * ((Fault ? 1.0 : 0.0) - Target.FaultPart);
  if (Answered)
    Target.AnsweredAt = Now;
  // A refused request says nothing about the version, and a cold target is slow
  // in each version.
  if (What.End == AttemptEnd::NotRun || Now < Target.WarmAt ||
      (!Answered && !Fault))
    return;
  RouteTally &Tally = Target.Tallies[Call.Terms.Route];
  Tally.Route = Call.Terms.Route;
  ++Tally.Answers;
  if (Fault)
    ++Tally.Faults;
  else
    Tally.Time += std::chrono::duration_cast<core::Milliseconds>(Took);
}

void Reduction::endedAtTarget(MeshCall &Call,
                              const request::AttemptEnded &What) {
  const bool Broken = What.End == AttemptEnd::NoAnswer ||
                      What.End == AttemptEnd::Truncated ||
                      What.End == AttemptEnd::NotRun;
  const bool OutOfTime =
      (What.Status == StatusGatewayTimeout ||
       (What.End == AttemptEnd::NoAnswer && Now >= Call.Deadline)) &&
      !hadTime(Call);
  const bool Failed = What.Status >= FirstServerError && !callFailedSince(Call);
  noteAtTarget(Call, What, (Broken || Failed) && !OutOfTime);
  const bool SameLife = State.Target && State.Target->Life == Call.TargetLife;
  if (SameLife && (What.Unreachable || What.Misdirected || What.TargetCrashed))
    setTargetState(TargetState::Down,
                   What.Misdirected ? "misdirected" : "no connection");
  if (Call.Hosted)
    concludeHosted(Call, What);
  else
    conclude(Call, What);
  serveQueue();
}

void Reduction::concludeHosted(MeshCall &Call,
                               const request::AttemptEnded &What) {
  switch (What.End) {
  case AttemptEnd::Held:
    noteAnswerSize(Call, What.AnswerBytes);
    Out.emplace_back(request::DeliverAnswer{Call.Id, loadFor(Call)});
    return erase(Call.Id);
  case AttemptEnd::Answered:
  case AttemptEnd::Truncated:
    return erase(Call.Id);
  case AttemptEnd::NotRun:
    return refuse(Call, ErrorCode::RequestRefusedByTarget, What.ReachedTarget);
  case AttemptEnd::NoAnswer:
    return endUnknown(Call, ErrorCode::RequestNoAnswer);
  }
}

void Reduction::endedAtPeer(MeshCall &Call, const request::AttemptEnded &What) {
  if (KnownHost *Host = State.Hosts.find(Call.At)) {
    Host->InFlight -= std::min(Host->InFlight, 1U);
    Host->Unreachable = Host->Unreachable || What.Unreachable;
    if (What.Load && What.Load->RouteTime.count() > 0)
      memoryOf(Call.Terms.Route).Time = What.Load->RouteTime;
    if (What.Load)
      State.Hosts.noteLoad(Call.At, *What.Load, Call.Terms.Route);
  }
  conclude(Call, What);
}

TargetLoad Reduction::loadFor(const MeshCall &Call) const {
  TargetLoad Load = State.Slots.load();
  Load.RouteTime = std::chrono::duration_cast<core::Milliseconds>(
      State.Slots.meanTime(Call.Terms.Route));
  Load.LinkWait = linkWait(State, Now);
  return Load;
}

/// A target that could not make a call of its own answers with a failure too;
/// the service that it called is to blame.
bool Reduction::callFailedSince(const MeshCall &Call) const {
  return State.CallFailedAt >= Call.SentAt;
}

void Reduction::noteCallFailure(const MeshCall &Call) {
  if (!Call.Hosted && State.Target &&
      State.Target->Last.Service != Call.Service)
    State.CallFailedAt = Now;
}

/// A request that came with little time left says nothing about its target.
bool Reduction::hadTime(const MeshCall &Call) const {
  return Now - Call.SentAt >
         State.Slots.neededTime(Call.Terms.Route) * AmpleTimeFactor;
}

bool Reduction::mayRepeat(MeshCall &Call) {
  if (Call.Reached >= Call.Route->MaxTargets ||
      Now + ShortestReturn >= Call.Deadline)
    return false;
  return memoryOf(Call.Service)
      .Budget.take(State.Hosts.hosts().size() + 1, Now);
}

void Reduction::conclude(MeshCall &Call, const request::AttemptEnded &What) {
  switch (What.End) {
  case AttemptEnd::Held:
    return concludeAnswer(Call, What);
  case AttemptEnd::Answered:
  case AttemptEnd::Truncated:
    log(What.End == AttemptEnd::Answered ? observe::EventId::MeshServed
                                         : observe::EventId::MeshUnknown,
        fmt::format("{} status={} streamed=1", describe(Call), What.Status));
    return erase(Call.Id);
  case AttemptEnd::NotRun:
    if (!What.ReachedTarget) {
      (What.Unreachable ? Call.Tried : Call.Late).push_back(Call.At);
      if (!What.Unreachable && What.Load)
        State.Hosts.noteFull(Call.At, {Call.Terms.Route, Call.Terms.AcceptLate},
                             Now + Call.Route->Objective / FullObjectiveParts);
      return place(Call);
    }
    ++Call.Reached;
    Call.Tried.push_back(Call.At);
    if (!mayRepeat(Call))
      return refuse(Call, ErrorCode::RequestRefusedByTarget);
    log(observe::EventId::MeshRepeated,
        fmt::format("{} after=refused", describe(Call)));
    return place(Call);
  case AttemptEnd::NoAnswer:
    ++Call.Reached;
    Call.MayHaveRun = true;
    Call.Tried.push_back(Call.At);
    if (!Call.Terms.Idempotent || !mayRepeat(Call))
      return endUnknown(Call, ErrorCode::RequestNoAnswer);
    log(observe::EventId::MeshRepeated,
        fmt::format("{} after=no_answer", describe(Call)));
    return place(Call);
  }
}

void Reduction::noteAnswerSize(const MeshCall &Call, std::uint64_t Size) {
  double &Bytes = memoryOf(Call.Terms.Route).AnswerBytes;
  const auto Sample = static_cast<double>(Size);
  Bytes = Bytes == 0 ? Sample : Bytes + SizeWeight * (Sample - Bytes);
}

void Reduction::concludeAnswer(MeshCall &Call,
                               const request::AttemptEnded &What) {
  ++Call.Reached;
  Call.MayHaveRun = true;
  const bool Failed = What.Status >= FirstServerError;
  if (Failed && Call.Terms.Idempotent && mayRepeat(Call)) {
    Call.Tried.push_back(Call.At);
    Call.FailureHeld = true;
    log(observe::EventId::MeshRepeated,
        fmt::format("{} after=status_{}", describe(Call), What.Status));
    return place(Call);
  }
  noteAnswerSize(Call, What.AnswerBytes);
  if (Failed)
    noteCallFailure(Call);
  logServed(Call, What.Status);
  Out.emplace_back(request::DeliverAnswer{Call.Id, std::nullopt});
  erase(Call.Id);
}

/// Answers that went as they should are told of one in `ServedSample`; the
/// budget of lines is for those that somebody may ask about.
void Reduction::logServed(const MeshCall &Call, int Status) {
  const bool Plain = Now <= Call.Objective && Call.Placements <= 1 &&
                     Status < FirstServerError;
  if (Plain && Call.Id.value() % ServedSample != 0)
    return;
  log(observe::EventId::MeshServed,
      fmt::format("{} status={} late={}", describe(Call), Status,
                  Now > Call.Objective));
}

void Reduction::operator()(const request::CallerDisconnected &What) {
  MeshCall *Call = find(What.Id);
  if (Call == nullptr)
    return;
  if (!Call->Hosted)
    log(observe::EventId::MeshLost, describe(*Call));
  leave(*Call);
  erase(What.Id);
  serveQueue();
}

/// Takes the call out of the queue, or cancels it where it was sent.
void Reduction::leave(MeshCall &Call) {
  switch (Call.Phase) {
  case CallPhase::Queued:
    State.Slots.withdraw(Call.Id);
    return;
  case CallPhase::AtTarget:
    if (State.Target && State.Target->Life == Call.TargetLife)
      State.Slots.finished(Call.Terms.Route, std::nullopt);
    break;
  case CallPhase::AtPeer:
    if (KnownHost *Host = State.Hosts.find(Call.At))
      Host->InFlight -= std::min(Host->InFlight, 1U);
    break;
  }
  Out.emplace_back(request::CancelAttempt{Call.Id, Call.Attempt});
}

void Reduction::expire(MeshCall &Call) {
  const bool Queued = Call.Phase == CallPhase::Queued;
  // A large answer that has started is cut by the sender's own deadline.
  if (Call.AnswerStarted)
    return;
  if (Call.Phase == CallPhase::AtTarget) {
    request::AttemptEnded Late;
    Late.End = AttemptEnd::NoAnswer;
    noteAtTarget(Call, Late, hadTime(Call));
    Call.TargetLife = 0;
  }
  leave(Call);
  if (Queued)
    return refuse(Call, ErrorCode::RequestDeadlinePassed);
  endUnknown(Call, ErrorCode::RequestDeadlinePassed);
}

/// The answer that a target gave says more than an own one in its place.
void Reduction::deliverFailure(MeshCall &Call, ErrorCode Why) {
  noteCallFailure(Call);
  log(observe::EventId::MeshServed,
      fmt::format("{} failed=1 repeat=FV{}", describe(Call),
                  static_cast<int>(Why)));
  Out.emplace_back(request::DeliverAnswer{Call.Id, std::nullopt});
  erase(Call.Id);
}

void Reduction::refuse(MeshCall &Call, ErrorCode Why, bool Reached) {
  if (Call.MayHaveRun)
    return endUnknown(Call, Why);
  noteCallFailure(Call);
  request::Refuse Refusal;
  Refusal.Id = Call.Id;
  Refusal.Result = request::Outcome::NotRun;
  Refusal.Reason = {Why, Call.Terms.Route.value()};
  Refusal.ReachedTarget = Reached;
  if (Call.Hosted)
    Refusal.Load = loadFor(Call);
  else
    Refusal.RetryAfter = returnTime(Call);
  log(observe::EventId::MeshRefused,
      fmt::format("{} reason=FV{} reached={}", describe(Call),
                  static_cast<int>(Why), Reached));
  Out.emplace_back(std::move(Refusal));
  erase(Call.Id);
}

void Reduction::endUnknown(MeshCall &Call, ErrorCode Why) {
  if (Call.FailureHeld)
    return deliverFailure(Call, Why);
  noteCallFailure(Call);
  request::Refuse Refusal;
  Refusal.Id = Call.Id;
  Refusal.Result = request::Outcome::Unknown;
  Refusal.Reason = {Why, Call.Terms.Route.value()};
  if (!Call.Hosted && Why != ErrorCode::RequestDeadlinePassed)
    Refusal.Status = StatusBadGateway;
  log(observe::EventId::MeshUnknown,
      fmt::format("{} reason=FV{}", describe(Call), static_cast<int>(Why)));
  Out.emplace_back(std::move(Refusal));
  erase(Call.Id);
}

std::string Reduction::describe(const MeshCall &Call) const {
  std::string Text = fmt::format(
      "request={} role={} route={} service={} at={} age_ms={} sent_ms={} "
      "placements={} reached={} late_ok={}",
      Call.CallerId, Call.Hosted ? "host" : "entry", Call.Terms.Route.value(),
      Call.Service.value(), Call.At.value(), millis(Now - Call.Arrived),
      Call.Phase == CallPhase::Queued ? -1 : millis(Now - Call.SentAt),
      Call.Placements, Call.Reached, Call.Terms.AcceptLate);
  if (State.Routing)
    Text += fmt::format(" config={}", State.Routing->routing().Version.value());
  const auto Host = State.Hosts.hosts().find(Call.At);
  if (Host != State.Hosts.hosts().end() && Host->second.Report.Target) {
    const TargetLoad &Load = Host->second.Report.Target->Load;
    Text +=
        fmt::format(" load={}+{}/{} load_age_ms={}", Load.Running, Load.Waiting,
                    Load.Slots, millis(Now - Host->second.HeardAt));
  } else if (Call.At == State.Own.Node) {
    const TargetLoad Load = State.Slots.load();
    Text +=
        fmt::format(" load={}+{}/{}", Load.Running, Load.Waiting, Load.Slots);
  }
  return Text;
}

} // namespace filbertvane::decision::mesh
