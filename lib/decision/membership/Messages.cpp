#include "Reducer.h"
#include <fmt/format.h>

namespace filbertvane::decision::membership {

void Reducer::receive(const Peer &From, const Probe &What) {
  for (const Member &News : What.Updates)
    learn(News);
  Out.push_back(PositionReported{From, What.At});
  send(From.Address, ProbeAck{What.Sequence, S.At, takeUpdates()});
}

void Reducer::receive(const Peer &From, const ProbeAck &What) {
  for (const Member &News : What.Updates)
    learn(News);
  Out.push_back(PositionReported{From, What.At});
  // Another process may have taken the address over: only the probed node
  // itself can prove that it lives.
  if (S.Probing && S.Probing->Sequence == What.Sequence &&
      S.Probing->Target == From.Node)
    S.Probing.reset();
  const auto Relay = S.Relayed.find(What.Sequence);
  if (Relay == S.Relayed.end() || Relay->second.Target != From.Node)
    return;
  send(Relay->second.RequesterAddress,
       IndirectProbeAck{Relay->second.RequesterSequence, From.Node});
  S.Relayed.erase(Relay);
}

void Reducer::receive(const Peer &From, const IndirectProbe &What) {
  const auto Found = S.Others.find(What.Target);
  if (Found == S.Others.end())
    return;
  if (S.Relayed.size() >= MaxRelayedProbes) {
    log(observe::EventId::MemberRelayedProbesFull, From.Node.value());
    return;
  }
  const std::uint64_t Sequence = S.NextSequence++;
  S.Relayed[Sequence] = {What.Sequence, From.Address, What.Target,
                         Now.Mono + ProbePeriod};
  send(Found->second.Known.ControlAddress,
       Probe{Sequence, S.At, takeUpdates()});
}

void Reducer::receive(const Peer &, const IndirectProbeAck &What) {
  if (S.Probing && S.Probing->Sequence == What.Sequence &&
      S.Probing->Target == What.Target)
    S.Probing.reset();
}

void Reducer::receive(const Peer &From, const JoinRequest &What) {
  // A node that is known here as failed, or under its former process, is told
  // so by the reply and answers with a higher incarnation.
  learn(What.Self);
  JoinReply Reply;
  Reply.At = S.At;
  Reply.Members.push_back(S.Self);
  for (const auto &[Node, One] : S.Others)
    Reply.Members.push_back(One.Known);
  send(From.Address, std::move(Reply));
}

void Reducer::receive(const Peer &From, const JoinReply &What) {
  for (const Member &News : What.Members)
    learn(News);
  Out.push_back(PositionReported{From, What.At});
}

void Reducer::receive(const Peer &, const Leave &What) { learn(What.Self); }

} // namespace filbertvane::decision::membership
