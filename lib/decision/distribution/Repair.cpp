#include "Reducer.h"

namespace filbertvane::decision::distribution {

bool Reducer::isBehind() const {
  return S.Repair.AheadPeer &&
         S.Repair.AheadOffset > S.ConfigPosition.NextOffset;
}

void Reducer::recordPeerAhead(const Peer &From, core::LogOffset Next,
                              bool AtOnce) {
  if (Next <= S.ConfigPosition.NextOffset)
    return;
  const bool Known = isBehind();
  if (!Known || Next >= S.Repair.AheadOffset) {
    S.Repair.AheadPeer = From;
    S.Repair.AheadOffset = Next;
  }
  if (S.Repair.PendingPeer || S.Repair.RequestsWithoutProgress > 0)
    return;
  const auto Jitter = S.Rng.below(core::Microseconds(RepairDelay).count());
  if (AtOnce)
    S.Repair.NextRequest = Now.Mono;
  else if (!Known)
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
    // The peer may be gone; the next one that reports is asked.
    S.Repair.AheadPeer.reset();
    S.Repair.DivergedFrom.reset();
  }
  if (Now.Mono >= S.Repair.NextRequest &&
      (S.Repair.DivergedFrom || isBehind())) {
    sendRequest(S.Repair.DivergedFrom ? *S.Repair.DivergedFrom
                                      : *S.Repair.AheadPeer);
    ++S.Repair.RequestsWithoutProgress;
    S.Repair.NextRequest =
        Now.Mono + backoff(S.Repair.RequestsWithoutProgress, RequestBackoffMax);
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

/// A node that is not ready asks any peer, since one of them may hold a
/// configuration.
void Reducer::requestFromAnyPeer() {
  S.Repair.NextCatchUp =
      Now.Mono + backoff(S.Repair.CatchUpRequests, RequestBackoffMax);
  ++S.Repair.CatchUpRequests;
  const std::vector<Peer> Choices = candidatePeers();
  if (!Choices.empty())
    sendRequest(Choices[S.Rng.below(Choices.size())]);
}

std::vector<Peer> Reducer::candidatePeers() const {
  std::vector<Peer> Choices;
  // Only relays ask other data centres, so that a restart does not send every
  // node across the link; every second time, because the members of their own
  // data centre may all have restarted.
  const bool Abroad =
      actsAsLead(S, Now.Mono) && S.Repair.CatchUpRequests % 2 == 0;
  for (const TreeMember &Member : S.RankedMembers)
    if (Member.Contact.Node != S.Local.Self.Node && !Abroad)
      Choices.push_back(Member.Contact);
  if (!Abroad)
    return Choices;
  for (const RemoteLead &Lead : S.RemoteLeads)
    Choices.push_back(Lead.Contact);
  for (const std::string &Address : S.Local.RemoteSeeds)
    Choices.push_back({core::NodeId(), Address});
  return Choices;
}

/// The log may be out of reach for this region only.
void Reducer::requestFromRemoteLead() {
  std::vector<Peer> Choices;
  for (const RemoteLead &Lead : S.RemoteLeads)
    Choices.push_back(Lead.Contact);
  if (Choices.empty())
    return;
  const Peer &To = Choices[S.Rng.below(Choices.size())];
  Out.push_back(
      RequestRecords{To.Address, {S.ConfigPosition.NextOffset, false, false}});
}

} // namespace filbertvane::decision::distribution
