#include "Reducer.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::membership {

/// Acknowledgements that arrived during a pause are handled after this tick, so
/// a pending probe says nothing about its member.
void Reducer::resetAfterPause(core::Microseconds Gap) {
  S.PendingProbe.reset();
  S.RelayedProbes.clear();
  S.NextProbe = Now.Mono + IndirectProbeDelay;
  for (auto &[Node, Entry] : S.OtherMembers)
    if (Entry.Deadline)
      *Entry.Deadline += Gap;
  log(observe::EventId::MemberPaused, fmt::format("{} us", Gap.count()));
}

void Reducer::tickProbe() {
  if (S.PendingProbe && !S.PendingProbe->IndirectSent &&
      Now.Mono >= S.PendingProbe->IndirectAt)
    sendIndirectProbes();
  if (Now.Mono < S.NextProbe)
    return;
  endProbe();
  startProbe();
  S.NextProbe = Now.Mono + ProbePeriod;
}

void Reducer::startProbe() {
  if (S.Self.Status == MemberStatus::Left)
    return;
  const std::optional<core::NodeId> Target = nextProbeTarget();
  if (!Target)
    return;
  const std::uint64_t Sequence = S.NextSequence++;
  S.PendingProbe = {Sequence, *Target, Now.Mono + IndirectProbeDelay, false};
  send(S.OtherMembers.at(*Target).LastKnown.ControlAddress,
       Probe{Sequence, S.ConfigPosition, selectUpdates()});
}

void Reducer::sendIndirectProbes() {
  S.PendingProbe->IndirectSent = true;
  std::vector<std::string> Helpers;
  for (const auto &[Node, Entry] : S.OtherMembers)
    if (Entry.LastKnown.Status == MemberStatus::Alive &&
        Node != S.PendingProbe->Target)
      Helpers.push_back(Entry.LastKnown.ControlAddress);
  for (std::size_t Sent = 0; Sent < IndirectProbeCount && !Helpers.empty();
       ++Sent) {
    const std::size_t Index = S.Rng.below(Helpers.size());
    send(Helpers[Index],
         IndirectProbe{S.PendingProbe->Sequence, S.PendingProbe->Target});
    Helpers.erase(Helpers.begin() + static_cast<std::ptrdiff_t>(Index));
  }
}

void Reducer::endProbe() {
  if (!S.PendingProbe)
    return;
  const core::NodeId Target = S.PendingProbe->Target;
  S.PendingProbe.reset();
  const auto Found = S.OtherMembers.find(Target);
  if (Found == S.OtherMembers.end() ||
      Found->second.LastKnown.Status != MemberStatus::Alive)
    return;
  Member Update = Found->second.LastKnown;
  Update.Status = MemberStatus::Suspect;
  applyUpdate(Update);
}

/// Round robin over a shuffled order: each member is probed once per round,
/// which bounds the time to detect a failure.
std::optional<core::NodeId> Reducer::nextProbeTarget() {
  for (int Round = 0; Round < 2; ++Round) {
    while (!S.ProbeOrder.empty()) {
      const core::NodeId Next = S.ProbeOrder.back();
      S.ProbeOrder.pop_back();
      const auto Found = S.OtherMembers.find(Next);
      if (Found != S.OtherMembers.end() && isLive(Found->second.LastKnown))
        return Next;
    }
    for (const auto &[Node, Entry] : S.OtherMembers)
      if (isLive(Entry.LastKnown))
        S.ProbeOrder.push_back(Node);
    for (std::size_t Left = S.ProbeOrder.size(); Left > 1; --Left)
      std::swap(S.ProbeOrder[Left - 1], S.ProbeOrder[S.Rng.below(Left)]);
  }
  return std::nullopt;
}

void Reducer::expireRelayedProbes() {
  std::erase_if(S.RelayedProbes, [this](const auto &Entry) {
    return Now.Mono >= Entry.second.ExpiresAt;
  });
}

void Reducer::tickJoin() {
  if (Now.Mono < S.NextJoin || S.Self.Status == MemberStatus::Left)
    return;
  const bool Alone = std::none_of(
      S.OtherMembers.begin(), S.OtherMembers.end(),
      [](const auto &Entry) { return isLive(Entry.second.LastKnown); });
  const core::Microseconds Period = Alone ? InitialJoinPeriod : RejoinPeriod;
  const auto Jitter = S.Rng.below(Period.count() / 2);
  S.NextJoin = Now.Mono + Period + core::Microseconds(Jitter);
  const std::string Address = joinAddress();
  if (!Address.empty())
    send(Address, JoinRequest{S.Self});
}

/// Returns the address of a random failed member, or of a seed that is not a
/// live member, so that the two sides of a partition merge afterwards.
std::string Reducer::joinAddress() {
  std::vector<std::string> Candidates;
  std::vector<std::string> Live{S.Local.ControlAddress};
  for (const auto &[Node, Entry] : S.OtherMembers) {
    if (isLive(Entry.LastKnown))
      Live.push_back(Entry.LastKnown.ControlAddress);
    else if (Entry.LastKnown.Status == MemberStatus::Failed)
      Candidates.push_back(Entry.LastKnown.ControlAddress);
  }
  for (const std::string &Seed : S.Local.Seeds)
    Candidates.push_back(Seed);
  std::erase_if(Candidates, [&Live](const std::string &Address) {
    return std::find(Live.begin(), Live.end(), Address) != Live.end();
  });
  if (Candidates.empty())
    return {};
  return Candidates[S.Rng.below(Candidates.size())];
}

} // namespace filbertvane::decision::membership
