#include "Reducer.h"

namespace filbertvane::decision::distribution {

bool Reducer::isBehind() const {
  return S.Repair.AheadPeer &&
         S.Repair.AheadOffset > S.ConfigPosition.NextOffset;
}

void Reducer::updateAheadPeer(const Peer &From, core::LogOffset Next,
                              bool Immediately) {
  if (Next <= S.ConfigPosition.NextOffset)
    return;
  const bool WasBehind = isBehind();
  if (!WasBehind || Next >= S.Repair.AheadOffset) {
    S.Repair.AheadPeer = From;
    S.Repair.AheadOffset = Next;
  }
  if (S.Repair.PendingPeer || S.Repair.RequestsWithoutProgress > 0)
    return;
  const auto Jitter = S.Rng.below(core::Microseconds(RepairDelay).count());
  if (Immediately)
    S.Repair.NextRequest = Now.Mono;
  else if (!WasBehind)
    S.Repair.NextRequest = Now.Mono + RepairDelay + core::Microseconds(Jitter);
}

void Reducer::completeRequest(const Peer &From) {
  if (S.Repair.PendingPeer && S.Repair.PendingPeer->Address == From.Address)
    S.Repair.PendingPeer.reset();
}

void Reducer::resetRetries() {
  S.Repair.RequestsWithoutProgress = 0;
  S.Repair.NextRequest = Now.Mono;
}

void Reducer::tickRepair() {
  if (S.Repair.PendingPeer && Now.Mono < S.Repair.Deadline)
    return;
  if (S.Repair.PendingPeer) {
    S.Repair.PendingPeer.reset();
    // The peer may have failed; the next one to report a position is used.
    S.Repair.AheadPeer.reset();
    S.Repair.DivergedFrom.reset();
  }
  if (Now.Mono >= S.Repair.NextRequest &&
      (S.Repair.DivergedFrom || isBehind())) {
    sendRequest(S.Repair.DivergedFrom ? *S.Repair.DivergedFrom
                                      : *S.Repair.AheadPeer);
    ++S.Repair.RequestsWithoutProgress;
    S.Repair.NextRequest =
        Now.Mono + backoff(S.Repair.RequestsWithoutProgress, MaxRequestBackoff);
    return;
  }
  if (!S.Ready && Now.Mono >= S.Repair.NextCatchUp)
    requestFromAnyPeer();
}

void Reducer::sendRequest(const Peer &To) {
  S.Repair.PendingPeer = To;
  S.Repair.Deadline = Now.Mono + RequestTimeout;
  const bool WantsSnapshot = S.Repair.DivergedFrom.has_value();
  Out.push_back(RequestRecords{
      To.Address, {S.ConfigPosition.NextOffset, WantsSnapshot, false}});
}

/// Used while this node is not ready, since any peer may hold a configuration.
void Reducer::requestFromAnyPeer() {
  S.Repair.NextCatchUp =
      Now.Mono + backoff(S.Repair.CatchUpRequests, MaxRequestBackoff);
  ++S.Repair.CatchUpRequests;
  const std::vector<Peer> Candidates = candidatePeers();
  if (!Candidates.empty())
    sendRequest(Candidates[S.Rng.below(Candidates.size())]);
}

std::vector<Peer> Reducer::candidatePeers() const {
  std::vector<Peer> Candidates;
  // Only the acting lead requests from other data centres, so that a restart
  // does not load the links between them. It does so every second time, because
  // all members of its own data centre may have restarted.
  const bool Remote =
      actsAsLead(S, Now.Mono) && S.Repair.CatchUpRequests % 2 == 0;
  for (const TreeMember &Member : S.RankedMembers)
    if (Member.Contact.Node != S.Local.Self.Node && !Remote)
      Candidates.push_back(Member.Contact);
  if (!Remote)
    return Candidates;
  for (const RemoteLead &Lead : S.RemoteLeads)
    Candidates.push_back(Lead.Contact);
  for (const std::string &Address : S.Local.RemoteSeeds)
    Candidates.push_back({core::NodeId(), Address});
  return Candidates;
}

/// The log may be unreachable for this region only.
void Reducer::requestFromRemoteLead() {
  std::vector<Peer> Candidates;
  for (const RemoteLead &Lead : S.RemoteLeads)
    Candidates.push_back(Lead.Contact);
  if (Candidates.empty())
    return;
  const Peer &To = Candidates[S.Rng.below(Candidates.size())];
  Out.push_back(
      RequestRecords{To.Address, {S.ConfigPosition.NextOffset, false, false}});
}

} // namespace filbertvane::decision::distribution
