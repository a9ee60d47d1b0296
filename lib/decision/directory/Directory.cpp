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
    if (Sum.EntryAddresses.size() < MaxEntryNodes)
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
  return {Target.Id,
          Target.Service,
          Target.Version,
          Each.Node,
          S.Local.DataCentre,
          S.Local.Region,
          Each.PeerAddress,
          Target.Slots,
          core::toMonotonic(Target.Since, Now)};
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
  const bool SameRegion = Of.Region == S.Local.Region;
  return SameRegion ? Of.LeadAddresses.front() : Of.LeadAddresses.back();
}

DataCentreSummary withoutServices(DataCentreSummary Of) {
  Of.Services.clear();
  Of.Partial = true;
  return Of;
}

/// One reduction of one event.
class Reducer {
public:
  Reducer(State Before, core::Instant Now) : S(std::move(Before)), Now(Now) {}

  Step<State, Effects> finish() { return {std::move(S), std::move(Out)}; }

  void operator()(const MembersChanged &What) {
    S.LiveMembers = What.LiveMembers;
    updateTree();
    updateOwnSummary();
    reportEndpoints();
  }

  void operator()(const PositionReported &What) {
    S.Positions[What.Node] = What.ConfigPosition;
    updateLowestPosition();
  }

  void operator()(const SummariesReceived &What) {
    if (What.Summaries.empty())
      return sendAllSummaries(What.From.Address);
    bool Changed = false;
    std::vector<DataCentreSummary> Forwarded;
    for (const DataCentreSummary &Each : What.Summaries) {
      const Adoption Result = adopt(What.From, Each);
      Changed = Changed || Result == Adoption::Changed;
      if (Result != Adoption::None && shouldForward(Each, Result))
        Forwarded.push_back(Each);
    }
    // Only what is new goes on, so that a cycle of leads cannot arise.
    if (!Forwarded.empty())
      for (const std::string &Child : S.ChildAddresses)
        send(Child, Forwarded);
    if (!Changed)
      return;
    reportEndpoints();
    reportLeads();
  }

  void operator()(const Tick &) {
    detectSilence();
    if (!S.IsLead)
      return;
    const bool Repeat = Now.Mono >= S.NextRefresh;
    const bool Due = S.LocalSummaryChanged && Now.Mono >= S.NextSummary;
    if (!Repeat && !Due)
      return;
    sendOwnSummary();
  }

private:
  enum class Adoption { None, Refreshed, Changed };

  void updateTree() {
    std::vector<core::NodeId> Nodes;
    std::map<core::NodeId, std::string> AddressOf;
    for (const membership::Member &Each : S.LiveMembers) {
      Nodes.push_back(Each.Node);
      AddressOf[Each.Node] = Each.ControlAddress;
    }
    const auto Order =
        membership::rendezvousOrder(S.Local.DataCentre.value(), Nodes);
    const auto Rank = membership::rankOf(Order, S.Local.Node);
    S.ChildAddresses.clear();
    if (Rank)
      for (const std::size_t Child :
           membership::childRanks(*Rank, Order.size()))
        S.ChildAddresses.push_back(AddressOf[Order[Child]]);
    setLead(Rank && *Rank == 0);
  }

  void setLead(bool IsLead) {
    if (IsLead == S.IsLead)
      return;
    S.IsLead = IsLead;
    S.NextRefresh = Now.Mono;
    Out.emplace_back(LeadershipChanged{IsLead});
  }

  void updateOwnSummary() {
    DataCentreSummary Next = S.LocalSummary;
    Next.DataCentre = S.Local.DataCentre;
    Next.Region = S.Local.Region;
    Next.Services = summarise(S.LiveMembers);
    Next.LeadNode = S.Local.Node;
    Next.LeadAddresses = {S.Local.ControlAddress,
                          S.Local.ExternalControlAddress};
    Next.LowestVersion = S.LowestVersion;
    Next.LowestNext = S.LowestNextOffset;
    if (Next == S.LocalSummary)
      return;
    S.ServicesChanged =
        S.ServicesChanged || Next.Services != S.LocalSummary.Services;
    S.LocalSummary = std::move(Next);
    S.LocalSummaryChanged = true;
  }

  void updateLowestPosition() {
    core::ConfigVersion Version{~std::uint64_t{0}};
    core::LogOffset Next{~std::uint64_t{0}};
    for (const membership::Member &Each : S.LiveMembers) {
      const auto Found = S.Positions.find(Each.Node);
      if (Found == S.Positions.end())
        return;
      Version = std::min(Version, Found->second.Version);
      Next = std::min(Next, Found->second.NextOffset);
    }
    if (S.LiveMembers.empty() || Version == S.LowestVersion)
      return;
    S.LowestVersion = Version;
    S.LowestNextOffset = Next;
    Out.emplace_back(DataCentreHeard{S.Local.DataCentre, Version});
    updateOwnSummary();
  }

  /// Revisions are wall times, so that a new lead's summaries supersede those
  /// of the former one.
  void sendOwnSummary() {
    const auto Stamp =
        static_cast<std::uint64_t>(Now.Wall.time_since_epoch().count());
    S.LocalSummary.Revision = std::max(S.LocalSummary.Revision + 1, Stamp);
    if (S.ServicesChanged || S.LocalSummary.ServicesSince == 0)
      S.LocalSummary.ServicesSince = S.LocalSummary.Revision;
    const bool Full = S.LocalSummary.ServicesSince == S.LocalSummary.Revision;
    S.LocalSummaryChanged = false;
    S.ServicesChanged = false;
    S.NextSummary = Now.Mono + MinSummaryInterval;
    S.NextRefresh = Now.Mono + SummaryRefreshPeriod;
    std::set<std::string> Receivers(S.Local.RemoteSeeds.begin(),
                                    S.Local.RemoteSeeds.end());
    // Seeds stay among the receivers, because a restarted data centre knows
    // no lead and is known by its seeds only.
    for (const auto &[Id, Other] : S.RemoteDataCentres)
      if (!Other.Summary.LeadAddresses.empty())
        Receivers.insert(leadAddress(S, Other.Summary));
    const DataCentreSummary Sent =
        Full ? S.LocalSummary : withoutServices(S.LocalSummary);
    for (const std::string &To : Receivers)
      send(To, {Sent});
  }

  void sendAllSummaries(const std::string &To) {
    std::vector<DataCentreSummary> All;
    if (S.LocalSummary.Revision > 0)
      All.push_back(S.LocalSummary);
    for (const auto &[Id, Other] : S.RemoteDataCentres)
      All.push_back(Other.Summary);
    if (!All.empty())
      send(To, std::move(All));
  }

  /// Members need what changes their routing at once, and the rest only often
  /// enough to know that the data centre is heard.
  bool shouldForward(const DataCentreSummary &News, Adoption Result) {
    KnownDataCentre &Entry = S.RemoteDataCentres[News.DataCentre];
    if (Result == Adoption::Refreshed &&
        Now.Mono < Entry.ForwardedAt + SummaryRefreshPeriod / 2)
      return false;
    Entry.ForwardedAt = Now.Mono;
    return true;
  }

  void send(const std::string &To, std::vector<DataCentreSummary> What) {
    Out.emplace_back(SendSummaries{To, std::move(What)});
  }

  Adoption adopt(const Peer &From, const DataCentreSummary &News) {
    if (News.DataCentre == S.Local.DataCentre)
      return Adoption::None;
    const auto Found = S.RemoteDataCentres.find(News.DataCentre);
    if (Found == S.RemoteDataCentres.end() &&
        S.RemoteDataCentres.size() >= MaxDataCentres) {
      Out.emplace_back(observe::LogEvent{EventId::DataCentreLimitReached,
                                         News.DataCentre.value()});
      return Adoption::None;
    }
    const bool IsKnown = Found != S.RemoteDataCentres.end();
    if (IsKnown && News.Revision <= Found->second.Summary.Revision)
      return Adoption::None;
    const bool SameServices =
        IsKnown && News.ServicesSince == Found->second.Summary.ServicesSince;
    if (News.Partial && !SameServices) {
      send(From.Address, {});
      return Adoption::None;
    }
    KnownDataCentre &Entry = S.RemoteDataCentres[News.DataCentre];
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

  void detectSilence() {
    bool Changed = false;
    for (auto &[Id, Other] : S.RemoteDataCentres) {
      if (Other.SilentSince || Now.Mono < Other.HeardAt + SilenceTimeout)
        continue;
      Other.SilentSince = core::toWall(Other.HeardAt, Now);
      Changed = true;
      Out.emplace_back(DataCentreSilent{Id, *Other.SilentSince});
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
    for (const membership::Member &Each : S.LiveMembers)
      if (Each.Ready && Each.Target && !Each.Target->Leaving)
        All.push_back(localEndpoint(S, Each, Now));
    for (const auto &[Id, Other] : S.RemoteDataCentres) {
      if (Other.SilentSince)
        continue;
      for (const ServiceSummary &Sum : Other.Summary.Services)
        for (const std::string &Address : Sum.EntryAddresses)
          All.push_back(remoteEndpoint(Other.Summary, Sum, Address));
    }
    Out.emplace_back(EndpointsUpdated{std::move(All)});
  }

  void reportLeads() {
    std::vector<distribution::RemoteLead> Leads;
    for (const auto &[Id, Other] : S.RemoteDataCentres)
      if (!Other.SilentSince && !Other.Summary.LeadAddresses.empty())
        Leads.push_back(
            {{Other.Summary.LeadNode, leadAddress(S, Other.Summary)},
             Id,
             Other.Summary.Region});
    Out.emplace_back(RemoteLeadsUpdated{std::move(Leads)});
  }

  State S;
  core::Instant Now;
  Effects Out;
};

} // namespace

State initial(Settings Own) {
  State S;
  S.Local = std::move(Own);
  return S;
}

Step<State, Effects> reduce(State Before, const Event &What,
                            core::Instant Now) {
  Reducer R(std::move(Before), Now);
  std::visit(R, What);
  return R.finish();
}

} // namespace filbertvane::decision::directory
