#include "Reducer.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::membership {

State initial(Settings Own, core::Incarnation Number, std::uint64_t Seed) {
  State S;
  S.Self.Node = Own.Node;
  S.Self.Number = Number;
  S.Self.ControlAddress = Own.ControlAddress;
  S.Self.PeerAddress = Own.PeerAddress;
  S.Own = std::move(Own);
  S.Chance = core::Random(Seed);
  return S;
}

std::vector<Member> liveMembers(const State &Of) {
  std::vector<Member> Live;
  for (const auto &[Node, One] : Of.Others)
    if (isLive(One.Known))
      Live.push_back(One.Known);
  if (isLive(Of.Self))
    Live.push_back(Of.Self);
  std::sort(Live.begin(), Live.end(),
            [](const Member &A, const Member &B) { return A.Node < B.Node; });
  return Live;
}

Step<State, Effects> reduce(State Before, const Event &What,
                            core::Instant Now) {
  Reducer R(Before, Now);
  std::visit([&R](const auto &One) { R.on(One); }, What);
  Effects Out = R.finish();
  return {std::move(Before), std::move(Out)};
}

void Reducer::on(const Started &) {
  S.Started = true;
  S.LastTick = Now.Mono;
  // A random phase keeps the nodes of a mass restart from probing in step.
  const auto Phase = S.Chance.below(core::Microseconds(ProbePeriod).count());
  S.NextProbe = Now.Mono + core::Microseconds(Phase);
  S.NextJoin = Now.Mono + FirstJoinPeriod;
  for (const std::string &Seed : S.Own.Seeds)
    if (Seed != S.Own.ControlAddress)
      send(Seed, JoinRequest{S.Self});
  Changed = true;
}

void Reducer::on(const Tick &) {
  if (!S.Started)
    return;
  const core::Microseconds Gap = Now.Mono - S.LastTick;
  S.LastTick = Now.Mono;
  if (Gap > PauseThreshold)
    restartAfterPause(Gap);
  tickDeadlines();
  tickProbe();
  expireRelayed();
  tickJoin();
  tickLeaves();
}

void Reducer::on(const MessageReceived &What) {
  if (!S.Started)
    return;
  std::visit([&](const auto &One) { receive(What.From, One); }, What.What);
}

void Reducer::on(const OwnTargetChanged &What) {
  if (S.Self.Target == What.Target)
    return;
  S.Self.Target = What.Target;
  announceSelf();
}

void Reducer::on(const OwnTargetLeaving &) {
  if (!S.Self.Target || S.Self.Target->Leaving)
    return;
  S.Self.Target->Leaving = true;
  announceSelf();
  S.LeavesLeft = LeaveSends;
  sendLeaves();
}

void Reducer::on(const OwnReadinessChanged &What) {
  if (S.Self.Ready == What.Ready)
    return;
  S.Self.Ready = What.Ready;
  announceSelf();
}

void Reducer::on(const OwnPositionChanged &What) { S.At = What.At; }

void Reducer::on(const DrainStarted &) {
  if (S.Self.Status == MemberStatus::Left)
    return;
  S.Self.Status = MemberStatus::Left;
  S.Self.Ready = false;
  if (S.Self.Target)
    S.Self.Target->Leaving = true;
  announceSelf();
  S.LeavesLeft = LeaveSends;
  sendLeaves();
}

void Reducer::announceSelf() {
  ++S.Self.Revision;
  S.SelfSendsLeft = repeats();
  Changed = true;
}

void Reducer::sendLeaves() {
  for (const auto &[Node, One] : S.Others)
    if (isLive(One.Known))
      send(One.Known.ControlAddress, Leave{S.Self});
  --S.LeavesLeft;
  S.NextLeave = Now.Mono + LeaveRepeat;
}

void Reducer::tickLeaves() {
  if (S.LeavesLeft > 0 && Now.Mono >= S.NextLeave)
    sendLeaves();
}

Effects Reducer::finish() {
  if (Changed)
    Out.push_back(EndpointsChanged{liveMembers(S)});
  return std::move(Out);
}

void Reducer::send(const std::string &To, Message What) {
  Out.push_back(SendMessage{To, std::move(What)});
}

void Reducer::log(observe::EventId Id, std::string Detail) {
  Out.push_back(observe::LogEvent{Id, std::move(Detail)});
}

} // namespace filbertvane::decision::membership
