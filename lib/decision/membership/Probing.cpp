#include "Reducer.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::membership {

/// Answers that came during a pause wait behind this tick, so a probe that
/// looks late proves nothing against its member.
void Reducer::restartAfterPause(core::Microseconds Gap) {
  S.Probing.reset();
  S.Relayed.clear();
  S.NextProbe = Now.Mono + IndirectAfter;
  for (auto &[Node, One] : S.Others)
    if (One.Deadline)
      *One.Deadline += Gap;
  log(observe::EventId::MemberPaused, fmt::format("{} us", Gap.count()));
}

void Reducer::tickProbe() {
  if (S.Probing && !S.Probing->IndirectSent &&
      Now.Mono >= S.Probing->IndirectAt)
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
  const std::optional<core::NodeId> Target = nextProbed();
  if (!Target)
    return;
  const std::uint64_t Sequence = S.NextSequence++;
  S.Probing = {Sequence, *Target, Now.Mono + IndirectAfter, false};
  send(S.Others.at(*Target).Known.ControlAddress,
       Probe{Sequence, S.At, takeUpdates()});
}

void Reducer::sendIndirectProbes() {
  S.Probing->IndirectSent = true;
  std::vector<std::string> Helpers;
  for (const auto &[Node, One] : S.Others)
    if (One.Known.Status == MemberStatus::Alive && Node != S.Probing->Target)
      Helpers.push_back(One.Known.ControlAddress);
  for (std::size_t Sent = 0; Sent < IndirectProbes && !Helpers.empty();
       ++Sent) {
    const std::size_t Pick = S.Chance.below(Helpers.size());
    send(Helpers[Pick], IndirectProbe{S.Probing->Sequence, S.Probing->Target});
    Helpers.erase(Helpers.begin() + static_cast<std::ptrdiff_t>(Pick));
  }
}

void Reducer::endProbe() {
  if (!S.Probing)
    return;
  const core::NodeId Target = S.Probing->Target;
  S.Probing.reset();
  const auto Found = S.Others.find(Target);
  if (Found == S.Others.end() ||
      Found->second.Known.Status != MemberStatus::Alive)
    return;
  Member News = Found->second.Known;
  News.Status = MemberStatus::Suspect;
  learn(News);
}

/// Round robin over a shuffled order: each member is probed once per round, so
/// the time until a failure shows is bounded.
std::optional<core::NodeId> Reducer::nextProbed() {
  for (int Round = 0; Round < 2; ++Round) {
    while (!S.ProbeOrder.empty()) {
      const core::NodeId Next = S.ProbeOrder.back();
      S.ProbeOrder.pop_back();
      const auto Found = S.Others.find(Next);
      if (Found != S.Others.end() && isLive(Found->second.Known))
        return Next;
    }
    for (const auto &[Node, One] : S.Others)
      if (isLive(One.Known))
        S.ProbeOrder.push_back(Node);
    for (std::size_t Left = S.ProbeOrder.size(); Left > 1; --Left)
      std::swap(S.ProbeOrder[Left - 1], S.ProbeOrder[S.Chance.below(Left)]);
  }
  return std::nullopt;
}

void Reducer::expireRelayed() {
  std::erase_if(S.Relayed, [this](const auto &One) {
    return Now.Mono >= One.second.Expires;
  });
}

void Reducer::tickJoin() {
  if (Now.Mono < S.NextJoin || S.Self.Status == MemberStatus::Left)
    return;
  const bool Alone =
      std::none_of(S.Others.begin(), S.Others.end(),
                   [](const auto &One) { return isLive(One.second.Known); });
  const core::Microseconds Period = Alone ? FirstJoinPeriod : RejoinPeriod;
  const auto Jitter = S.Chance.below(Period.count() / 2);
  S.NextJoin = Now.Mono + Period + core::Microseconds(Jitter);
  const std::string Address = joinAddress();
  if (!Address.empty())
    send(Address, JoinRequest{S.Self});
}

/// A seed that is no live member, or a failed member: after a partition the
/// two sides find each other again through these.
std::string Reducer::joinAddress() {
  std::vector<std::string> Choices;
  std::vector<std::string> Live{S.Own.ControlAddress};
  for (const auto &[Node, One] : S.Others) {
    if (isLive(One.Known))
      Live.push_back(One.Known.ControlAddress);
    else if (One.Known.Status == MemberStatus::Failed)
      Choices.push_back(One.Known.ControlAddress);
  }
  for (const std::string &Seed : S.Own.Seeds)
    Choices.push_back(Seed);
  std::erase_if(Choices, [&Live](const std::string &One) {
    return std::find(Live.begin(), Live.end(), One) != Live.end();
  });
  if (Choices.empty())
    return {};
  return Choices[S.Chance.below(Choices.size())];
}

} // namespace filbertvane::decision::membership
