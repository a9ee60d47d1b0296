#include "Reducer.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::membership {

State initial(Settings Local, core::Incarnation Number, std::uint64_t Seed) {
  State S;
  S.Self.Node = Local.Node;
  S.Self.Incarnation = Number;
  S.Self.ControlAddress = Local.ControlAddress;
  S.Self.PeerAddress = Local.PeerAddress;
  S.Local = std::move(Local);
  S.Rng = core::Random(Seed);
  return S;
}

std::vector<Member> liveMembers(const State &S) {
  std::vector<Member> Live;
  for (const auto &[Node, Entry] : S.OtherMembers)
    if (isLive(Entry.LastKnown))
      Live.push_back(Entry.LastKnown);
  if (isLive(S.Self))
    Live.push_back(S.Self);
  std::sort(Live.begin(), Live.end(),
            [](const Member &A, const Member &B) { return A.Node < B.Node; });
  return Live;
}

Step<State, Effects> reduce(State Before, const Event &E, core::Instant Now) {
  Reducer R(Before, Now);
  std::visit([&R](const auto &Alternative) { R.on(Alternative); }, E);
  Effects Out = R.finish();
  return {std::move(Before), std::move(Out)};
}

void Reducer::on(const Started &) {
  S.Started = true;
  S.LastTick = Now.Mono;
  // A random phase prevents synchronous probes after a mass restart.
  const auto Phase = S.Rng.below(core::Microseconds(ProbePeriod).count());
  S.NextProbe = Now.Mono + core::Microseconds(Phase);
  S.NextJoin = Now.Mono + InitialJoinPeriod;
  for (const std::string &Seed : S.Local.Seeds)
    if (Seed != S.Local.ControlAddress)
      send(Seed, JoinRequest{S.Self});
  Changed = true;
}

void Reducer::on(const Tick &) {
  if (!S.Started)
    return;
  const core::Microseconds Gap = Now.Mono - S.LastTick;
  S.LastTick = Now.Mono;
  if (Gap > PauseThreshold)
    resetAfterPause(Gap);
  tickDeadlines();
  tickProbe();
  expireRelayedProbes();
  tickJoin();
  tickLeaves();
}

void Reducer::on(const MessageReceived &E) {
  if (!S.Started)
    return;
  std::visit([&](const auto &Alternative) { receive(E.From, Alternative); },
             E.Payload);
}

void Reducer::on(const OwnTargetChanged &E) {
  if (S.Self.Target == E.Target)
    return;
  S.Self.Target = E.Target;
  announceSelf();
}

void Reducer::on(const OwnTargetLeaving &) {
  if (!S.Self.Target || S.Self.Target->Leaving)
    return;
  S.Self.Target->Leaving = true;
  announceSelf();
  S.LeaveTransmissionsLeft = LeaveTransmissions;
  sendLeaves();
}

void Reducer::on(const OwnReadinessChanged &E) {
  if (S.Self.Ready == E.Ready)
    return;
  S.Self.Ready = E.Ready;
  announceSelf();
}

void Reducer::on(const OwnPositionChanged &E) {
  S.ConfigPosition = E.ConfigPosition;
}

void Reducer::on(const DrainStarted &) {
  if (S.Self.Status == MemberStatus::Left)
    return;
  S.Self.Status = MemberStatus::Left;
  S.Self.Ready = false;
  if (S.Self.Target)
    S.Self.Target->Leaving = true;
  announceSelf();
  S.LeaveTransmissionsLeft = LeaveTransmissions;
  sendLeaves();
}

void Reducer::announceSelf() {
  ++S.Self.Revision;
  S.SelfTransmissionsLeft = transmissionLimit();
  Changed = true;
}

void Reducer::sendLeaves() {
  for (const auto &[Node, Entry] : S.OtherMembers)
    if (isLive(Entry.LastKnown))
      send(Entry.LastKnown.ControlAddress, Leave{S.Self});
  --S.LeaveTransmissionsLeft;
  S.NextLeave = Now.Mono + LeaveRetransmitPeriod;
}

void Reducer::tickLeaves() {
  if (S.LeaveTransmissionsLeft > 0 && Now.Mono >= S.NextLeave)
    sendLeaves();
}

Effects Reducer::finish() {
  if (Changed)
    Out.push_back(EndpointsChanged{liveMembers(S)});
  return std::move(Out);
}

void Reducer::send(const std::string &To, Message Payload) {
  Out.push_back(SendMessage{To, std::move(Payload)});
}

void Reducer::log(observe::EventId Id, std::string Detail) {
  Out.push_back(observe::LogEvent{Id, std::move(Detail)});
}

} // namespace filbertvane::decision::membership
