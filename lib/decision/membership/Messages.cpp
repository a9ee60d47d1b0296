#include "Reducer.h"
#include <fmt/format.h>

namespace filbertvane::decision::membership {

void Reducer::receive(const Peer &From, const Probe &Received) {
  for (const Member &Update : Received.Updates)
    applyUpdate(Update);
  Out.push_back(PositionReported{From, Received.ConfigPosition});
  send(From.Address,
       ProbeAck{Received.Sequence, S.ConfigPosition, selectUpdates()});
}

void Reducer::receive(const Peer &From, const ProbeAck &Received) {
  for (const Member &Update : Received.Updates)
    applyUpdate(Update);
  Out.push_back(PositionReported{From, Received.ConfigPosition});
  // Another process may have taken over the address: only an acknowledgement
  // of the probed node proves that it is alive.
  if (S.PendingProbe && S.PendingProbe->Sequence == Received.Sequence &&
      S.PendingProbe->Target == From.Node)
    S.PendingProbe.reset();
  const auto Relayed = S.RelayedProbes.find(Received.Sequence);
  if (Relayed == S.RelayedProbes.end() || Relayed->second.Target != From.Node)
    return;
  send(Relayed->second.RequesterAddress,
       IndirectProbeAck{Relayed->second.RequesterSequence, From.Node});
  S.RelayedProbes.erase(Relayed);
}

void Reducer::receive(const Peer &From, const IndirectProbe &Received) {
  const auto Found = S.OtherMembers.find(Received.Target);
  if (Found == S.OtherMembers.end())
    return;
  if (S.RelayedProbes.size() >= MaxRelayedProbes) {
    log(observe::EventId::RelayedProbeLimitReached, From.Node.value());
    return;
  }
  const std::uint64_t Sequence = S.NextSequence++;
  S.RelayedProbes[Sequence] = {Received.Sequence, From.Address, Received.Target,
                               Now.Mono + ProbePeriod};
  send(Found->second.LastKnown.ControlAddress,
       Probe{Sequence, S.ConfigPosition, selectUpdates()});
}

void Reducer::receive(const Peer &, const IndirectProbeAck &Received) {
  if (S.PendingProbe && S.PendingProbe->Sequence == Received.Sequence &&
      S.PendingProbe->Target == Received.Target)
    S.PendingProbe.reset();
}

void Reducer::receive(const Peer &From, const JoinRequest &Received) {
  // The reply tells a node that is known here as failed, or as its former
  // process; the node then announces a higher incarnation.
  applyUpdate(Received.Self);
  JoinReply Reply;
  Reply.ConfigPosition = S.ConfigPosition;
  Reply.Members.push_back(S.Self);
  for (const auto &[Node, Entry] : S.OtherMembers)
    Reply.Members.push_back(Entry.LastKnown);
  send(From.Address, std::move(Reply));
}

void Reducer::receive(const Peer &From, const JoinReply &Received) {
  for (const Member &Update : Received.Members)
    applyUpdate(Update);
  Out.push_back(PositionReported{From, Received.ConfigPosition});
}

void Reducer::receive(const Peer &, const Leave &Received) {
  applyUpdate(Received.Self);
}

} // namespace filbertvane::decision::membership
