#include "Reducer.h"

namespace filbertvane::decision::distribution {

bool Reducer::behind() const {
  return S.Fix.AheadPeer && S.Fix.AheadNext > S.At.Next;
}

void Reducer::noteAhead(const Peer &From, core::LogOffset Next, bool AtOnce) {
  if (Next <= S.At.Next)
    return;
  const bool Known = behind();
  if (!Known || Next >= S.Fix.AheadNext) {
    S.Fix.AheadPeer = From;
    S.Fix.AheadNext = Next;
  }
  if (S.Fix.Asked || S.Fix.Failures > 0)
    return;
  const auto Jitter = S.Chance.below(core::Microseconds(RepairGrace).count());
  if (AtOnce)
    S.Fix.NotBefore = Now.Mono;
  else if (!Known)
    S.Fix.NotBefore = Now.Mono + RepairGrace + core::Microseconds(Jitter);
}

void Reducer::answered(const Peer &From) {
  if (S.Fix.Asked && S.Fix.Asked->Address == From.Address)
    S.Fix.Asked.reset();
}

void Reducer::progressed() {
  S.Fix.Failures = 0;
  S.Fix.NotBefore = Now.Mono;
}

void Reducer::tickRepair() {
  if (S.Fix.Asked && Now.Mono < S.Fix.Timeout)
    return;
  if (S.Fix.Asked) {
    S.Fix.Asked.reset();
    // The peer may be gone; the next one that reports is asked.
    S.Fix.AheadPeer.reset();
    S.Fix.Diverged.reset();
  }
  if (Now.Mono >= S.Fix.NotBefore && (S.Fix.Diverged || behind())) {
    request(S.Fix.Diverged ? *S.Fix.Diverged : *S.Fix.AheadPeer);
    ++S.Fix.Failures;
    S.Fix.NotBefore = Now.Mono + backoff(S.Fix.Failures, RequestBackoffMax);
    return;
  }
  if (!S.Ready && Now.Mono >= S.Fix.NextSeek)
    seek();
}

void Reducer::request(const Peer &To) {
  S.Fix.Asked = To;
  S.Fix.Timeout = Now.Mono + RequestTimeout;
  const bool WantsSnapshot = S.Fix.Diverged.has_value();
  Out.push_back(RequestRecords{To.Address, {S.At.Next, WantsSnapshot, false}});
}

/// A node that is not ready asks any peer, since one of them may hold a
/// configuration.
void Reducer::seek() {
  S.Fix.NextSeek = Now.Mono + backoff(S.Fix.Seeks, RequestBackoffMax);
  ++S.Fix.Seeks;
  const std::vector<Peer> Choices = possiblePeers();
  if (!Choices.empty())
    request(Choices[S.Chance.below(Choices.size())]);
}

std::vector<Peer> Reducer::possiblePeers() const {
  std::vector<Peer> Choices;
  // Only relays ask other data centres, so that a restart does not send every
  // node across the link; every second time, because the members of their own
  // data centre may all have restarted.
  const bool Abroad = actsAsLead(S, Now.Mono) && S.Fix.Seeks % 2 == 0;
  for (const TreeMember &Member : S.Order)
    if (Member.At.Node != S.Own.Own.Node && !Abroad)
      Choices.push_back(Member.At);
  if (!Abroad)
    return Choices;
  for (const OtherLead &Lead : S.Leads)
    Choices.push_back(Lead.At);
  for (const std::string &Address : S.Own.Outside)
    Choices.push_back({core::NodeId(), Address});
  return Choices;
}

/// The log may be out of reach for this region only.
void Reducer::askOtherLead() {
  std::vector<Peer> Choices;
  for (const OtherLead &Lead : S.Leads)
    Choices.push_back(Lead.At);
  if (Choices.empty())
    return;
  const Peer &To = Choices[S.Chance.below(Choices.size())];
  Out.push_back(RequestRecords{To.Address, {S.At.Next, false, false}});
}

} // namespace filbertvane::decision::distribution
