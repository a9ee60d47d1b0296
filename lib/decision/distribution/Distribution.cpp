#include "Reducer.h"
#include "filbertvane/decision/membership/Ranking.h"
#include <algorithm>

namespace filbertvane::decision::distribution {

namespace {

std::optional<core::NodeId> regionReader(const State &Of) {
  std::vector<core::NodeId> Leads;
  for (const RemoteLead &Lead : Of.RemoteLeads)
    if (Lead.Region == Of.Local.Region)
      Leads.push_back(Lead.Contact.Node);
  if (!Of.RankedMembers.empty())
    Leads.push_back(Of.RankedMembers.front().Contact.Node);
  return membership::rendezvousWinner(Of.Local.Region.value(), Leads);
}

bool isRank(const State &Of, std::size_t Rank) {
  return Of.RankedMembers.size() > Rank &&
         Of.RankedMembers[Rank].Contact.Node == Of.Local.Self.Node;
}

} // namespace

State initial(Settings Own, std::uint64_t Seed) {
  State S;
  S.Local = std::move(Own);
  S.Rng = core::Random(Seed);
  S.Fleet = std::make_shared<const config::FleetState>();
  S.ConfigPosition.StateDigest = S.Local.Folding.DigestOf(*S.Fleet);
  return S;
}

Step<State, Effects> reduce(State Before, const Event &What,
                            core::Instant Now) {
  Reducer R(Before, Now);
  std::visit([&R](const auto &One) { R.on(One); }, What);
  Effects Out = R.finish();
  return {std::move(Before), std::move(Out)};
}

bool isLead(const State &Of) { return isRank(Of, 0); }

bool actsAsLead(const State &Of, core::TimePoint Now) {
  return isLead(Of) || (isRank(Of, 1) && Now - Of.LeadHeardAt > ReaderTimeout);
}

bool isRegionReader(const State &Of) {
  return isLead(Of) && regionReader(Of) == Of.Local.Self.Node;
}

void Reducer::on(const Started &) {
  S.StartedAt = Now.Mono;
  S.LeadHeardAt = Now.Mono;
  S.ReaderHeardAt = Now.Mono;
  S.Repair.NextCatchUp = Now.Mono + backoff(0, RequestBackoffMax);
}

void Reducer::on(const Tick &) {
  std::erase_if(S.TransferEnds,
                [this](core::TimePoint End) { return Now.Mono >= End; });
  tickLog();
  tickRepair();
  tickHeartbeat();
  tickLogEndChecks();
}

void Reducer::on(const PeerPositionReported &What) {
  recordReport(What.From, What.ConfigPosition);
  if (What.ConfigPosition.NextOffset > S.ConfigPosition.NextOffset)
    recordPeerAhead(What.From, What.ConfigPosition.NextOffset, false);
  else if (What.ConfigPosition.NextOffset == S.ConfigPosition.NextOffset &&
           What.ConfigPosition.StateDigest != S.ConfigPosition.StateDigest)
    recordDivergence(What.From);
}

void Reducer::on(const MembersChanged &What) {
  std::vector<core::NodeId> Nodes;
  std::map<core::NodeId, TreeMember> ById;
  for (const TreeMember &Member : What.LiveMembers) {
    Nodes.push_back(Member.Contact.Node);
    ById[Member.Contact.Node] = Member;
  }
  const std::optional<core::NodeId> Former =
      S.RankedMembers.empty()
          ? std::nullopt
          : std::optional(S.RankedMembers.front().Contact.Node);
  S.RankedMembers.clear();
  for (const core::NodeId &Node : membership::rendezvousOrder(
           S.Local.DataCentre.value(), std::move(Nodes)))
    S.RankedMembers.push_back(ById[Node]);
  // A new lead gets the full time before it counts as silent.
  if (S.RankedMembers.empty() ||
      Former != S.RankedMembers.front().Contact.Node) {
    S.LeadHeardAt = Now.Mono;
    S.ReaderHeardAt = Now.Mono;
  }
}

void Reducer::on(const RemoteLeadsChanged &What) {
  const std::optional<core::NodeId> Former = regionReader(S);
  S.RemoteLeads = What.RemoteLeads;
  if (regionReader(S) != Former)
    S.ReaderHeardAt = Now.Mono;
}

void Reducer::recordContact(const Peer &From) {
  if (!S.RankedMembers.empty() &&
      S.RankedMembers.front().Contact.Node == From.Node)
    S.LeadHeardAt = Now.Mono;
  if (regionReader(S) == From.Node)
    S.ReaderHeardAt = Now.Mono;
}

/// Half of the wait is random, so that peers that failed together do not try
/// again together.
core::Microseconds Reducer::backoff(std::uint32_t Failures,
                                    core::Milliseconds Max) {
  const std::uint32_t Doublings = std::min(Failures, 10U);
  const core::Microseconds Full = std::min<core::Microseconds>(
      core::Microseconds(BackoffBase) * (1U << Doublings), Max);
  const std::uint64_t Half = Full.count() / 2;
  return core::Microseconds(Half + S.Rng.below(Half + 1));
}

Effects Reducer::finish() {
  checkReady();
  return std::move(Out);
}

void Reducer::log(observe::EventId Id, std::string Detail) {
  Out.push_back(observe::LogEvent{Id, std::move(Detail)});
}

} // namespace filbertvane::decision::distribution
