#include "Reducer.h"
#include <fmt/format.h>

namespace filbertvane::decision::membership {

void Reducer::receive(const Peer &From, const Probe &What) {
  for (const Member &News : What.Updates)
    applyUpdate(News);
  Out.push_back(PositionReported{From, What.ConfigPosition});
  send(From.Address,
       ProbeAck{What.Sequence, S.ConfigPosition, selectUpdates()});
}

void Reducer::receive(const Peer &From, const ProbeAck &What) {
  for (const Member &News : What.Updates)
    applyUpdate(News);
  Out.push_back(PositionReported{From, What.ConfigPosition});
  // Another process may have taken the address over: only the probed node
  // itself can prove that it lives.
  if (S.PendingProbe && S.PendingProbe->Sequence == What.Sequence &&
      S.PendingProbe->Target == From.Node)
    S.PendingProbe.reset();
  const auto Relay = S.RelayedProbes.find(What.Sequence);
  if (Relay == S.RelayedProbes.end() || Relay->second.Target != From.Node)
    return;
  send(Relay->second.RequesterAddress,
       IndirectProbeAck{Relay->second.RequesterSequence, From.Node});
  S.RelayedProbes.erase(Relay);
}

void Reducer::receive(const Peer &From, const IndirectProbe &What) {
  const auto Found = S.OtherMembers.find(What.Target);
  if (Found == S.OtherMembers.end())
    return;
  if (S.RelayedProbes.size() >= MaxRelayedProbes) {
    log(observe::EventId::RelayedProbeLimitReached, From.Node.value());
    return;
  }
  const std::uint64_t Sequence = S.NextSequence++;
  S.RelayedProbes[Sequence] = {What.Sequence, From.Address, What.Target,
                               Now.Mono + ProbePeriod};
  send(Found->second.LastKnown.ControlAddress,
       Probe{Sequence, S.ConfigPosition, selectUpdates()});
}

void Reducer::receive(const Peer &, const IndirectProbeAck &What) {
  if (S.PendingProbe && S.PendingProbe->Sequence == What.Sequence &&
      S.PendingProbe->Target == What.Target)
    S.PendingProbe.reset();
}

void Reducer::receive(const Peer &From, const JoinRequest &What) {
  // A node that is known here as failed, or under its former process, is told
  // so by the reply and answers with a higher incarnation.
  applyUpdate(What.Self);
  JoinReply Reply;
  Reply.ConfigPosition = S.ConfigPosition;
  Reply.Members.push_back(S.Self);
  for (const auto &[Node, One] : S.OtherMembers)
    Reply.Members.push_back(One.LastKnown);
  send(From.Address, std::move(Reply));
}

void Reducer::receive(const Peer &From, const JoinReply &What) {
  for (const Member &News : What.Members)
    applyUpdate(News);
  Out.push_back(PositionReported{From, What.ConfigPosition});
}

void Reducer::receive(const Peer &, const Leave &What) {
  applyUpdate(What.Self);
}

} // namespace filbertvane::decision::membership
