#include "Reducer.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::membership {

/// Answers that came during a pause wait behind this tick, so a probe that
/// looks late proves nothing against its member.
void Reducer::resetAfterPause(core::Microseconds Gap) {
  S.PendingProbe.reset();
  S.RelayedProbes.clear();
  S.NextProbe = Now.Mono + IndirectProbeDelay;
  for (auto &[Node, One] : S.OtherMembers)
    if (One.Deadline)
      *One.Deadline += Gap;
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
  for (const auto &[Node, One] : S.OtherMembers)
    if (One.LastKnown.Status == MemberStatus::Alive &&
        Node != S.PendingProbe->Target)
      Helpers.push_back(One.LastKnown.ControlAddress);
  for (std::size_t Sent = 0; Sent < IndirectProbeCount && !Helpers.empty();
       ++Sent) {
    const std::size_t Pick = S.Rng.below(Helpers.size());
    send(Helpers[Pick],
         IndirectProbe{S.PendingProbe->Sequence, S.PendingProbe->Target});
    Helpers.erase(Helpers.begin() + static_cast<std::ptrdiff_t>(Pick));
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
  Member News = Found->second.LastKnown;
  News.Status = MemberStatus::Suspect;
  applyUpdate(News);
}

/// Round robin over a shuffled order: each member is probed once per round, so
/// the time until a failure shows is bounded.
std::optional<core::NodeId> Reducer::nextProbeTarget() {
  for (int Round = 0; Round < 2; ++Round) {
    while (!S.ProbeOrder.empty()) {
      const core::NodeId Next = S.ProbeOrder.back();
      S.ProbeOrder.pop_back();
      const auto Found = S.OtherMembers.find(Next);
      if (Found != S.OtherMembers.end() && isLive(Found->second.LastKnown))
        return Next;
    }
    for (const auto &[Node, One] : S.OtherMembers)
      if (isLive(One.LastKnown))
        S.ProbeOrder.push_back(Node);
    for (std::size_t Left = S.ProbeOrder.size(); Left > 1; --Left)
      std::swap(S.ProbeOrder[Left - 1], S.ProbeOrder[S.Rng.below(Left)]);
  }
  return std::nullopt;
}

void Reducer::expireRelayedProbes() {
  std::erase_if(S.RelayedProbes, [this](const auto &One) {
    return Now.Mono >= One.second.ExpiresAt;
  });
}

void Reducer::tickJoin() {
  if (Now.Mono < S.NextJoin || S.Self.Status == MemberStatus::Left)
    return;
  const bool Alone = std::none_of(
      S.OtherMembers.begin(), S.OtherMembers.end(),
      [](const auto &One) { return isLive(One.second.LastKnown); });
  const core::Microseconds Period = Alone ? InitialJoinPeriod : RejoinPeriod;
  const auto Jitter = S.Rng.below(Period.count() / 2);
  S.NextJoin = Now.Mono + Period + core::Microseconds(Jitter);
  const std::string Address = joinAddress();
  if (!Address.empty())
    send(Address, JoinRequest{S.Self});
}

/// A seed that is no live member, or a failed member: after a partition the
/// two sides find each other again through these.
std::string Reducer::joinAddress() {
  std::vector<std::string> Choices;
  std::vector<std::string> Live{S.Local.ControlAddress};
  for (const auto &[Node, One] : S.OtherMembers) {
    if (isLive(One.LastKnown))
      Live.push_back(One.LastKnown.ControlAddress);
    else if (One.LastKnown.Status == MemberStatus::Failed)
      Choices.push_back(One.LastKnown.ControlAddress);
  }
  for (const std::string &Seed : S.Local.Seeds)
    Choices.push_back(Seed);
  std::erase_if(Choices, [&Live](const std::string &One) {
    return std::find(Live.begin(), Live.end(), One) != Live.end();
  });
  if (Choices.empty())
    return {};
  return Choices[S.Rng.below(Choices.size())];
}

} // namespace filbertvane::decision::membership
