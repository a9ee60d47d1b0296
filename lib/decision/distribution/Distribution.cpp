#include "Reducer.h"
#include "filbertvane/decision/membership/Ranking.h"
#include <algorithm>

namespace filbertvane::decision::distribution {

namespace {

std::optional<core::NodeId> regionReader(const State &Of) {
  std::vector<core::NodeId> Leads;
  for (const OtherLead &Lead : Of.Leads)
    if (Lead.Region == Of.Own.Region)
      Leads.push_back(Lead.At.Node);
  if (!Of.Order.empty())
    Leads.push_back(Of.Order.front().At.Node);
  return membership::winner(Of.Own.Region.value(), Leads);
}

bool isRank(const State &Of, std::size_t Rank) {
  return Of.Order.size() > Rank && Of.Order[Rank].At.Node == Of.Own.Own.Node;
}

} // namespace

State initial(Settings Own, std::uint64_t Seed) {
  State S;
  S.Own = std::move(Own);
  S.Chance = core::Random(Seed);
  S.Held = std::make_shared<const config::FleetState>();
  S.At.StateDigest = S.Own.Folding.DigestOf(*S.Held);
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
  return isLead(Of) || (isRank(Of, 1) && Now - Of.LeadHeardAt > ReaderSilence);
}

bool isRegionReader(const State &Of) {
  return isLead(Of) && regionReader(Of) == Of.Own.Own.Node;
}

void Reducer::on(const Started &) {
  S.StartedAt = Now.Mono;
  S.LeadHeardAt = Now.Mono;
  S.ReaderHeardAt = Now.Mono;
  S.Fix.NextSeek = Now.Mono + backoff(0, RequestBackoffMax);
}

void Reducer::on(const Tick &) {
  std::erase_if(S.Transfers,
                [this](core::TimePoint End) { return Now.Mono >= End; });
  tickLog();
  tickRepair();
  tickHeartbeat();
  tickEnds();
}

void Reducer::on(const PositionHeard &What) {
  noteReport(What.From, What.At);
  if (What.At.Next > S.At.Next)
    noteAhead(What.From, What.At.Next, false);
  else if (What.At.Next == S.At.Next && What.At.StateDigest != S.At.StateDigest)
    diverged(What.From);
}

void Reducer::on(const MembersChanged &What) {
  std::vector<core::NodeId> Nodes;
  std::map<core::NodeId, TreeMember> ById;
  for (const TreeMember &Member : What.Live) {
    Nodes.push_back(Member.At.Node);
    ById[Member.At.Node] = Member;
  }
  const std::optional<core::NodeId> Former =
      S.Order.empty() ? std::nullopt : std::optional(S.Order.front().At.Node);
  S.Order.clear();
  for (const core::NodeId &Node :
       membership::ranked(S.Own.DataCentre.value(), std::move(Nodes)))
    S.Order.push_back(ById[Node]);
  // A new lead gets the full time before it counts as silent.
  if (S.Order.empty() || Former != S.Order.front().At.Node) {
    S.LeadHeardAt = Now.Mono;
    S.ReaderHeardAt = Now.Mono;
  }
}

void Reducer::on(const OtherLeadsChanged &What) {
  const std::optional<core::NodeId> Former = regionReader(S);
  S.Leads = What.Leads;
  if (regionReader(S) != Former)
    S.ReaderHeardAt = Now.Mono;
}

void Reducer::noteHeard(const Peer &From) {
  if (!S.Order.empty() && S.Order.front().At.Node == From.Node)
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
  return core::Microseconds(Half + S.Chance.below(Half + 1));
}

Effects Reducer::finish() {
  checkReady();
  return std::move(Out);
}

void Reducer::log(observe::EventId Id, std::string Detail) {
  Out.push_back(observe::LogEvent{Id, std::move(Detail)});
}

} // namespace filbertvane::decision::distribution
