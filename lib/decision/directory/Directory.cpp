#include "filbertvane/decision/directory/Directory.h"
#include "filbertvane/decision/membership/Ranking.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::directory {

using observe::EventId;

namespace {

using ServiceVersion = std::pair<core::ServiceName, core::TargetVersion>;

/// Counts the targets of each version and names the first nodes that have one.
std::vector<ServiceSummary>
summarise(const std::vector<membership::Member> &Live) {
  std::map<ServiceVersion, ServiceSummary> Of;
  for (const membership::Member &Each : Live) {
    if (!Each.Ready || !Each.Target || Each.Target->Leaving)
      continue;
    const membership::TargetAnnouncement &Target = *Each.Target;
    ServiceSummary &Sum = Of[{Target.Service, Target.Version}];
    Sum.Service = Target.Service;
    Sum.Version = Target.Version;
    Sum.Targets += 1;
    Sum.Slots += Target.Slots;
    if (Sum.EntryAddresses.size() < EntryNodes)
      Sum.EntryAddresses.push_back(Each.PeerAddress);
  }
  std::vector<ServiceSummary> Sums;
  Sums.reserve(Of.size());
  for (const auto &[Key, Sum] : Of)
    Sums.push_back(Sum);
  return Sums;
}

request::Endpoint localEndpoint(const State &S, const membership::Member &Each,
                                core::Instant Now) {
  const membership::TargetAnnouncement &Target = *Each.Target;
  return {
      Target.Id,        Target.Service,   Target.Version,
      Each.Node,        S.Own.DataCentre, S.Own.Region,
      Each.PeerAddress, Target.Slots,     core::toMonotonic(Target.Since, Now)};
}

/// An entry node takes its part of the capacity of the version.
request::Endpoint remoteEndpoint(const DataCentreSummary &There,
                                 const ServiceSummary &Sum,
                                 const std::string &Address) {
  const auto Parts = static_cast<std::uint32_t>(Sum.EntryAddresses.size());
  request::Endpoint Entry;
  Entry.Target = core::TargetId(
      fmt::format("{}/{}/{}/{}", There.DataCentre.value(), Sum.Service.value(),
                  Sum.Version.value(), Address));
  Entry.Service = Sum.Service;
  Entry.Version = Sum.Version;
  Entry.Node = core::NodeId(Address);
  Entry.DataCentre = There.DataCentre;
  Entry.Region = There.Region;
  Entry.Address = Address;
  Entry.Slots = std::max(1U, Sum.Slots / Parts);
  return Entry;
}

/// The first address serves the lead's own region, the last one all others.
const std::string &leadAddress(const State &S, const DataCentreSummary &Of) {
  const bool SameRegion = Of.Region == S.Own.Region;
  return SameRegion ? Of.LeadAddresses.front() : Of.LeadAddresses.back();
}

DataCentreSummary withoutServices(DataCentreSummary Of) {
  Of.Services.clear();
  Of.Partial = true;
  return Of;
}

/// One reduction of one event.
class Reduction {
public:
  Reduction(State Before, core::Instant Now) : S(std::move(Before)), Now(Now) {}

  Step<State, Effects> finish() { return {std::move(S), std::move(Out)}; }

  void operator()(const MembersChanged &What) {
    S.Live = What.Live;
    updateTree();
    updateOwnSummary();
    reportEndpoints();
  }

  void operator()(const PositionKnown &What) {
    S.Positions[What.Node] = What.At;
    updateLowest();
  }

  void operator()(const SummariesReceived &What) {
    if (What.DataCentres.empty())
      return sendAll(What.From.Address);
    bool Changed = false;
    std::vector<DataCentreSummary> Forwarded;
    for (const DataCentreSummary &Each : What.DataCentres) {
      const Adoption Result = adopt(What.From, Each);
      Changed = Changed || Result == Adoption::Changed;
      if (Result != Adoption::None && forwards(Each, Result))
        Forwarded.push_back(Each);
    }
    // Only what is new goes on, so that a cycle of leads cannot arise.
    if (!Forwarded.empty())
      for (const std::string &Child : S.Children)
        send(Child, Forwarded);
    if (!Changed)
      return;
    reportEndpoints();
    reportLeads();
  }

  void operator()(const Tick &) {
    noteSilence();
    if (!S.IsLead)
      return;
    const bool Repeat = Now.Mono >= S.NextRepeat;
    const bool Due = S.MineChanged && Now.Mono >= S.NextSend;
    if (!Repeat && !Due)
      return;
    sendOwnSummary();
  }

private:
  enum class Adoption { None, Refreshed, Changed };

  void updateTree() {
    std::vector<core::NodeId> Nodes;
    std::map<core::NodeId, std::string> AddressOf;
    for (const membership::Member &Each : S.Live) {
      Nodes.push_back(Each.Node);
      AddressOf[Each.Node] = Each.ControlAddress;
    }
    const auto Order = membership::ranked(S.Own.DataCentre.value(), Nodes);
    const auto Rank = membership::rankOf(Order, S.Own.Node);
    S.Children.clear();
    if (Rank)
      for (const std::size_t Child :
           membership::childRanks(*Rank, Order.size()))
        S.Children.push_back(AddressOf[Order[Child]]);
    setLead(Rank && *Rank == 0);
  }

  void setLead(bool IsLead) {
    if (IsLead == S.IsLead)
      return;
    S.IsLead = IsLead;
    S.NextRepeat = Now.Mono;
    Out.emplace_back(LeadershipChanged{IsLead});
  }

  void updateOwnSummary() {
    DataCentreSummary Next = S.Mine;
    Next.DataCentre = S.Own.DataCentre;
    Next.Region = S.Own.Region;
    Next.Services = summarise(S.Live);
    Next.LeadNode = S.Own.Node;
    Next.LeadAddresses = {S.Own.ControlAddress, S.Own.ExternalControl};
    Next.LowestVersion = S.LowestVersion;
    Next.LowestNext = S.LowestNext;
    if (Next == S.Mine)
      return;
    S.ServicesChanged = S.ServicesChanged || Next.Services != S.Mine.Services;
    S.Mine = std::move(Next);
    S.MineChanged = true;
  }

  void updateLowest() {
    core::ConfigVersion Version{~std::uint64_t{0}};
    core::LogOffset Next{~std::uint64_t{0}};
    for (const membership::Member &Each : S.Live) {
      const auto Found = S.Positions.find(Each.Node);
      if (Found == S.Positions.end())
        return;
      Version = std::min(Version, Found->second.Version);
      Next = std::min(Next, Found->second.Next);
    }
    if (S.Live.empty() || Version == S.LowestVersion)
      return;
    S.LowestVersion = Version;
    S.LowestNext = Next;
    Out.emplace_back(DataCentreHeard{S.Own.DataCentre, Version});
    updateOwnSummary();
  }

  /// Revisions are wall times, so that a new lead's summaries supersede those
  /// of the former one.
  void sendOwnSummary() {
    const auto Stamp =
        static_cast<std::uint64_t>(Now.Wall.time_since_epoch().count());
    S.Mine.Revision = std::max(S.Mine.Revision + 1, Stamp);
    if (S.ServicesChanged || S.Mine.ServicesSince == 0)
      S.Mine.ServicesSince = S.Mine.Revision;
    const bool Full = S.Mine.ServicesSince == S.Mine.Revision;
    S.MineChanged = false;
    S.ServicesChanged = false;
    S.NextSend = Now.Mono + SummaryPeriod;
    S.NextRepeat = Now.Mono + RepeatPeriod;
    std::set<std::string> Receivers(S.Own.Outside.begin(), S.Own.Outside.end());
    // Seeds stay among the receivers, because a restarted data centre knows
    // no lead and is known by its seeds only.
    for (const auto &[Id, Other] : S.Others)
      if (!Other.Summary.LeadAddresses.empty())
        Receivers.insert(leadAddress(S, Other.Summary));
    const DataCentreSummary Sent = Full ? S.Mine : withoutServices(S.Mine);
    for (const std::string &To : Receivers)
      send(To, {Sent});
  }

  void sendAll(const std::string &To) {
    std::vector<DataCentreSummary> All;
    if (S.Mine.Revision > 0)
      All.push_back(S.Mine);
    for (const auto &[Id, Other] : S.Others)
      All.push_back(Other.Summary);
    if (!All.empty())
      send(To, std::move(All));
  }

  /// Members need what changes their routing at once, and the rest only often
  /// enough to know that the data centre is heard.
  bool forwards(const DataCentreSummary &News, Adoption Result) {
    Known &Entry = S.Others[News.DataCentre];
    if (Result == Adoption::Refreshed &&
        Now.Mono < Entry.ForwardedAt + RepeatPeriod / 2)
      return false;
    Entry.ForwardedAt = Now.Mono;
    return true;
  }

  void send(const std::string &To, std::vector<DataCentreSummary> What) {
    Out.emplace_back(SendSummaries{To, std::move(What)});
  }

  Adoption adopt(const Peer &From, const DataCentreSummary &News) {
    if (News.DataCentre == S.Own.DataCentre)
      return Adoption::None;
    const auto Found = S.Others.find(News.DataCentre);
    if (Found == S.Others.end() && S.Others.size() >= MaxDataCentres) {
      Out.emplace_back(observe::LogEvent{EventId::DataCentreLimitReached,
                                         News.DataCentre.value()});
      return Adoption::None;
    }
    const bool IsKnown = Found != S.Others.end();
    if (IsKnown && News.Revision <= Found->second.Summary.Revision)
      return Adoption::None;
    const bool SameServices =
        IsKnown && News.ServicesSince == Found->second.Summary.ServicesSince;
    if (News.Partial && !SameServices) {
      send(From.Address, {});
      return Adoption::None;
    }
    Known &Entry = S.Others[News.DataCentre];
    DataCentreSummary Next = News;
    Next.Partial = false;
    if (News.Partial)
      Next.Services = Entry.Summary.Services;
    const bool Changed = !SameServices || Entry.SilentSince ||
                         Next.LeadNode != Entry.Summary.LeadNode;
    if (Entry.SilentSince)
      Out.emplace_back(
          observe::LogEvent{EventId::DataCentreHeard, News.DataCentre.value()});
    Entry = {std::move(Next), Now.Mono, Entry.ForwardedAt, std::nullopt};
    Out.emplace_back(DataCentreHeard{News.DataCentre, News.LowestVersion});
    return Changed ? Adoption::Changed : Adoption::Refreshed;
  }

  void noteSilence() {
    bool Changed = false;
    for (auto &[Id, Other] : S.Others) {
      if (Other.SilentSince || Now.Mono < Other.HeardAt + SilenceLimit)
        continue;
      Other.SilentSince = core::toWall(Other.HeardAt, Now);
      Changed = true;
      Out.emplace_back(DataCentreCutOff{Id, *Other.SilentSince});
      Out.emplace_back(
          observe::LogEvent{EventId::DataCentreSilent, Id.value()});
    }
    if (!Changed)
      return;
    reportEndpoints();
    reportLeads();
  }

  void reportEndpoints() {
    std::vector<request::Endpoint> All;
    for (const membership::Member &Each : S.Live)
      if (Each.Ready && Each.Target && !Each.Target->Leaving)
        All.push_back(localEndpoint(S, Each, Now));
    for (const auto &[Id, Other] : S.Others) {
      if (Other.SilentSince)
        continue;
      for (const ServiceSummary &Sum : Other.Summary.Services)
        for (const std::string &Address : Sum.EntryAddresses)
          All.push_back(remoteEndpoint(Other.Summary, Sum, Address));
    }
    Out.emplace_back(EndpointsKnown{std::move(All)});
  }

  void reportLeads() {
    std::vector<distribution::OtherLead> Leads;
    for (const auto &[Id, Other] : S.Others)
      if (!Other.SilentSince && !Other.Summary.LeadAddresses.empty())
        Leads.push_back(
            {{Other.Summary.LeadNode, leadAddress(S, Other.Summary)},
             Id,
             Other.Summary.Region});
    Out.emplace_back(LeadsKnown{std::move(Leads)});
  }

  State S;
  core::Instant Now;
  Effects Out;
};

} // namespace

State initial(Settings Own) {
  State S;
  S.Own = std::move(Own);
  return S;
}

Step<State, Effects> reduce(State Before, const Event &What,
                            core::Instant Now) {
  Reduction R(std::move(Before), Now);
  std::visit(R, What);
  return R.finish();
}

} // namespace filbertvane::decision::directory
