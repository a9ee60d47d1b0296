#include "Reducer.h"
#include "filbertvane/decision/membership/Ranking.h"
#include <algorithm>

namespace filbertvane::decision::distribution {

namespace {

std::optional<core::NodeId> regionReader(const State &S) {
  std::vector<core::NodeId> Leads;
  for (const RemoteLead &Lead : S.RemoteLeads)
    if (Lead.Region == S.Local.Region)
      Leads.push_back(Lead.Contact.Node);
  if (!S.RankedMembers.empty())
    Leads.push_back(S.RankedMembers.front().Contact.Node);
  return membership::rendezvousWinner(S.Local.Region.value(), Leads);
}

bool isRank(const State &S, std::size_t Rank) {
  return S.RankedMembers.size() > Rank &&
         S.RankedMembers[Rank].Contact.Node == S.Local.Self.Node;
}

} // namespace

State initial(Settings Local, std::uint64_t Seed) {
  State S;
  S.Local = std::move(Local);
  S.Rng = core::Random(Seed);
  S.Fleet = std::make_shared<const config::FleetState>();
  S.ConfigPosition.StateDigest = S.Local.Folding.DigestOf(*S.Fleet);
  return S;
}

Step<State, Effects> reduce(State Before, const Event &E, core::Instant Now) {
  Reducer R(Before, Now);
  std::visit([&R](const auto &Alternative) { R.on(Alternative); }, E);
  Effects Out = R.finish();
  return {std::move(Before), std::move(Out)};
}

bool isLead(const State &S) { return isRank(S, 0); }

bool actsAsLead(const State &S, core::TimePoint Now) {
  return isLead(S) || (isRank(S, 1) && Now - S.LeadHeardAt > ReaderTimeout);
}

bool isRegionReader(const State &S) {
  return isLead(S) && regionReader(S) == S.Local.Self.Node;
}

void Reducer::on(const Started &) {
  S.StartedAt = Now.Mono;
  S.LeadHeardAt = Now.Mono;
  S.ReaderHeardAt = Now.Mono;
  S.Repair.NextCatchUp = Now.Mono + backoff(0, MaxRequestBackoff);
}

void Reducer::on(const Tick &) {
  std::erase_if(S.TransferEnds,
                [this](core::TimePoint End) { return Now.Mono >= End; });
  tickLog();
  tickRepair();
  tickHeartbeat();
  tickLogEndChecks();
}

void Reducer::on(const PeerPositionReported &E) {
  updateReport(E.From, E.ConfigPosition);
  if (E.ConfigPosition.NextOffset > S.ConfigPosition.NextOffset)
    updateAheadPeer(E.From, E.ConfigPosition.NextOffset, false);
  else if (E.ConfigPosition.NextOffset == S.ConfigPosition.NextOffset &&
           E.ConfigPosition.StateDigest != S.ConfigPosition.StateDigest)
    markDiverged(E.From);
}

void Reducer::on(const MembersChanged &E) {
  std::vector<core::NodeId> Nodes;
  std::map<core::NodeId, TreeMember> ById;
  for (const TreeMember &Member : E.LiveMembers) {
    Nodes.push_back(Member.Contact.Node);
    ById[Member.Contact.Node] = Member;
  }
  const std::optional<core::NodeId> Previous =
      S.RankedMembers.empty()
          ? std::nullopt
          : std::optional(S.RankedMembers.front().Contact.Node);
  S.RankedMembers.clear();
  for (const core::NodeId &Node : membership::rendezvousOrder(
           S.Local.DataCentre.value(), std::move(Nodes)))
    S.RankedMembers.push_back(ById[Node]);
  // A new lead gets the full timeout.
  if (S.RankedMembers.empty() ||
      Previous != S.RankedMembers.front().Contact.Node) {
    S.LeadHeardAt = Now.Mono;
    S.ReaderHeardAt = Now.Mono;
  }
}

void Reducer::on(const RemoteLeadsChanged &E) {
  const std::optional<core::NodeId> Previous = regionReader(S);
  S.RemoteLeads = E.RemoteLeads;
  if (regionReader(S) != Previous)
    S.ReaderHeardAt = Now.Mono;
}

void Reducer::updateLastHeard(const Peer &From) {
  if (!S.RankedMembers.empty() &&
      S.RankedMembers.front().Contact.Node == From.Node)
    S.LeadHeardAt = Now.Mono;
  if (regionReader(S) == From.Node)
    S.ReaderHeardAt = Now.Mono;
}

/// Exponential backoff with a random half, so that peers that failed together
/// do not retry together.
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
