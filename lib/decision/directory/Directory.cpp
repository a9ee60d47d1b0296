#include "filbertvane/decision/directory/Directory.h"
#include "filbertvane/decision/membership/Ranking.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::directory {

using observe::EventId;

namespace {

using ServiceVersion = std::pair<core::ServiceName, core::TargetVersion>;

/// Counts the targets of each version and lists its entry nodes.
std::vector<ServiceSummary>
summarise(const std::vector<membership::Member> &Live) {
  std::map<ServiceVersion, ServiceSummary> ByVersion;
  for (const membership::Member &Member : Live) {
    if (!Member.Ready || !Member.Target || Member.Target->Leaving)
      continue;
    const membership::TargetAnnouncement &Target = *Member.Target;
    ServiceSummary &Service = ByVersion[{Target.Service, Target.Version}];
    Service.Service = Target.Service;
    Service.Version = Target.Version;
    Service.Targets += 1;
    Service.Slots += Target.Slots;
    if (Service.EntryAddresses.size() < MaxEntryNodes)
      Service.EntryAddresses.push_back(Member.PeerAddress);
  }
  std::vector<ServiceSummary> Summaries;
  Summaries.reserve(ByVersion.size());
  for (const auto &[Key, Service] : ByVersion)
    Summaries.push_back(Service);
  return Summaries;
}

request::Endpoint localEndpoint(const State &S,
                                const membership::Member &Member,
                                core::Instant Now) {
  const membership::TargetAnnouncement &Target = *Member.Target;
  return {Target.Id,
          Target.Service,
          Target.Version,
          Member.Node,
          S.Local.DataCentre,
          S.Local.Region,
          Member.PeerAddress,
          Target.Slots,
          core::toMonotonic(Target.Since, Now)};
}

/// Divides the slots of the version equally among its entry nodes.
request::Endpoint remoteEndpoint(const DataCentreSummary &Remote,
                                 const ServiceSummary &Service,
                                 const std::string &Address) {
  const auto EntryNodes =
      static_cast<std::uint32_t>(Service.EntryAddresses.size());
  request::Endpoint Entry;
  Entry.Target = core::TargetId(
      fmt::format("{}/{}/{}/{}", Remote.DataCentre.value(),
                  Service.Service.value(), Service.Version.value(), Address));
  Entry.Service = Service.Service;
  Entry.Version = Service.Version;
  Entry.Node = core::NodeId(Address);
  Entry.DataCentre = Remote.DataCentre;
  Entry.Region = Remote.Region;
  Entry.Address = Address;
  Entry.Slots = std::max(1U, Service.Slots / EntryNodes);
  return Entry;
}

/// Returns the first address for nodes in the region of the lead, the last one
/// for others.
const std::string &leadAddress(const State &S,
                               const DataCentreSummary &Remote) {
  const bool SameRegion = Remote.Region == S.Local.Region;
  return SameRegion ? Remote.LeadAddresses.front()
                    : Remote.LeadAddresses.back();
}

DataCentreSummary withoutServices(DataCentreSummary Summary) {
  Summary.Services.clear();
  Summary.Partial = true;
  return Summary;
}

/// Applies one event to a state and collects the effects.
class Reducer {
public:
  Reducer(State Before, core::Instant Now) : S(std::move(Before)), Now(Now) {}

  Step<State, Effects> finish() { return {std::move(S), std::move(Out)}; }

  void operator()(const MembersChanged &E) {
    S.LiveMembers = E.LiveMembers;
    updateTree();
    updateLocalSummary();
    reportEndpoints();
  }

  void operator()(const PositionReported &E) {
    S.Positions[E.Node] = E.ConfigPosition;
    updateLowestPosition();
  }

  void operator()(const SummariesReceived &E) {
    if (E.Summaries.empty())
      return sendAllSummaries(E.From.Address);
    bool Changed = false;
    std::vector<DataCentreSummary> Forwarded;
    for (const DataCentreSummary &Update : E.Summaries) {
      const Adoption Result = adopt(E.From, Update);
      Changed = Changed || Result == Adoption::Changed;
      if (Result != Adoption::None && shouldForward(Update, Result))
        Forwarded.push_back(Update);
    }
    // Only new summaries are forwarded, so that they cannot circulate between
    // leads.
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
    sendLocalSummary();
  }

private:
  enum class Adoption { None, Refreshed, Changed };

  void updateTree() {
    std::vector<core::NodeId> Nodes;
    std::map<core::NodeId, std::string> Addresses;
    for (const membership::Member &Member : S.LiveMembers) {
      Nodes.push_back(Member.Node);
      Addresses[Member.Node] = Member.ControlAddress;
    }
    const auto Order =
        membership::rendezvousOrder(S.Local.DataCentre.value(), Nodes);
    const auto Rank = membership::rankOf(Order, S.Local.Node);
    S.ChildAddresses.clear();
    if (Rank)
      for (const std::size_t Child :
           membership::childRanks(*Rank, Order.size()))
        S.ChildAddresses.push_back(Addresses[Order[Child]]);
    setLead(Rank && *Rank == 0);
  }

  void setLead(bool IsLead) {
    if (IsLead == S.IsLead)
      return;
    S.IsLead = IsLead;
    S.NextRefresh = Now.Mono;
    Out.emplace_back(LeadershipChanged{IsLead});
  }

  void updateLocalSummary() {
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
    for (const membership::Member &Member : S.LiveMembers) {
      const auto Found = S.Positions.find(Member.Node);
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
    updateLocalSummary();
  }

  /// Revisions are wall times, so that summaries of a new lead supersede those
  /// of the former one.
  void sendLocalSummary() {
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
    // Summaries also go to the seeds: a restarted data centre knows no leads
    // and is known by its seeds only.
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

  /// Changes that affect routing are forwarded at once, others only often
  /// enough to show that the data centre is not silent.
  bool shouldForward(const DataCentreSummary &Update, Adoption Result) {
    KnownDataCentre &Entry = S.RemoteDataCentres[Update.DataCentre];
    if (Result == Adoption::Refreshed &&
        Now.Mono < Entry.ForwardedAt + SummaryRefreshPeriod / 2)
      return false;
    Entry.ForwardedAt = Now.Mono;
    return true;
  }

  void send(const std::string &To, std::vector<DataCentreSummary> Summaries) {
    Out.emplace_back(SendSummaries{To, std::move(Summaries)});
  }

  Adoption adopt(const Peer &From, const DataCentreSummary &Update) {
    if (Update.DataCentre == S.Local.DataCentre)
      return Adoption::None;
    const auto Found = S.RemoteDataCentres.find(Update.DataCentre);
    if (Found == S.RemoteDataCentres.end() &&
        S.RemoteDataCentres.size() >= MaxDataCentres) {
      Out.emplace_back(observe::LogEvent{EventId::DataCentreLimitReached,
                                         Update.DataCentre.value()});
      return Adoption::None;
    }
    const bool IsKnown = Found != S.RemoteDataCentres.end();
    if (IsKnown && Update.Revision <= Found->second.Summary.Revision)
      return Adoption::None;
    const bool SameServices =
        IsKnown && Update.ServicesSince == Found->second.Summary.ServicesSince;
    if (Update.Partial && !SameServices) {
      send(From.Address, {});
      return Adoption::None;
    }
    KnownDataCentre &Entry = S.RemoteDataCentres[Update.DataCentre];
    DataCentreSummary Next = Update;
    Next.Partial = false;
    if (Update.Partial)
      Next.Services = Entry.Summary.Services;
    const bool Changed = !SameServices || Entry.SilentSince ||
                         Next.LeadNode != Entry.Summary.LeadNode;
    if (Entry.SilentSince)
      Out.emplace_back(observe::LogEvent{EventId::DataCentreHeard,
                                         Update.DataCentre.value()});
    Entry = {std::move(Next), Now.Mono, Entry.ForwardedAt, std::nullopt};
    Out.emplace_back(DataCentreHeard{Update.DataCentre, Update.LowestVersion});
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
    for (const membership::Member &Member : S.LiveMembers)
      if (Member.Ready && Member.Target && !Member.Target->Leaving)
        All.push_back(localEndpoint(S, Member, Now));
    for (const auto &[Id, Other] : S.RemoteDataCentres) {
      if (Other.SilentSince)
        continue;
      for (const ServiceSummary &Service : Other.Summary.Services)
        for (const std::string &Address : Service.EntryAddresses)
          All.push_back(remoteEndpoint(Other.Summary, Service, Address));
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

State initial(Settings Local) {
  State S;
  S.Local = std::move(Local);
  return S;
}

Step<State, Effects> reduce(State Before, const Event &E, core::Instant Now) {
  Reducer R(std::move(Before), Now);
  std::visit(R, E);
  return R.finish();
}

} // namespace filbertvane::decision::directory
