#include "filbertvane/decision/mesh/HostDirectory.h"
#include "filbertvane/decision/mesh/Limits.h"

namespace filbertvane::decision::mesh {

namespace {

/// Datagrams of a former process can arrive for about this time after its
/// successor was heard.
constexpr core::Milliseconds ReorderTime{2000};

/// Routes that a host's times are kept of; the routes of one service that are
/// in use are few, and removed ones must not pile up.
constexpr std::size_t MostRouteTimes = 64;

/// Another target took the place of the one that the times were noted of.
bool otherTarget(const HostReport &Before, const HostReport &After) {
  return Before.Target && After.Target && Before.Target->Id != After.Target->Id;
}

/// Two processes of a host are ordered by their start; the time of day may have
/// jumped back between them, so that an older start counts once the newer one
/// is silent.
bool outdated(const KnownHost &Known, const HostReport &What,
              core::TimePoint Now) {
  if (What.Start == Known.Report.Start)
    return What.Sequence <= Known.Report.Sequence && !Known.Hearsay;
  return What.Start < Known.Report.Start && Now - Known.HeardAt < ReorderTime;
}

} // namespace

HostDirectory::HostDirectory(core::NodeId Self, core::DataCentreId DataCentre,
                             core::RegionId Region)
    : Self(std::move(Self)), DataCentre(std::move(DataCentre)),
      Region(std::move(Region)) {}

Distance HostDirectory::distanceOf(const HostReport &Of) const {
  if (Of.Node == Self)
    return Distance::Own;
  if (Of.DataCentre == DataCentre)
    return Distance::DataCentre;
  return Of.Region == Region ? Distance::Region : Distance::Far;
}

std::optional<Heard> HostDirectory::hear(const HostReport &What,
                                         core::TimePoint Now) {
  if (What.Node == Self)
    return std::nullopt;
  const auto Found = Hosts.find(What.Node);
  if (Found == Hosts.end()) {
    if (Hosts.size() >= MostHosts)
      return std::nullopt;
    KnownHost Host;
    Host.Report = What;
    Host.Away = distanceOf(What);
    Host.HeardAt = Now;
    Hosts.emplace(What.Node, std::move(Host));
    return Heard{true, false};
  }
  KnownHost &Known = Found->second;
  if (outdated(Known, What, Now))
    return std::nullopt;
  const Heard Change{Known.Hearsay, What.Start != Known.Report.Start};
  if (otherTarget(Known.Report, What)) {
    Known.RouteTimes.clear();
    Known.FullUntil.clear();
  }
  Known.Report = What;
  Known.HeardAt = Now;
  Known.SentSince = 0;
  Known.Unreachable = false;
  Known.Hearsay = false;
  return Change;
}

bool HostDirectory::learn(const HostReport &What, core::TimePoint Now) {
  if (What.Node == Self || Hosts.contains(What.Node) ||
      Hosts.size() >= MostHosts)
    return false;
  KnownHost Host;
  Host.Report = What;
  Host.Away = distanceOf(What);
  Host.HeardAt = Now;
  Host.Hearsay = true;
  Hosts.emplace(What.Node, std::move(Host));
  return true;
}

void HostDirectory::noteLoad(const core::NodeId &Node, const TargetLoad &Load,
                             const core::RouteName &Route) {
  KnownHost *Known = find(Node);
  if (Known == nullptr || !Known->Report.Target)
    return;
  Known->Report.Target->Load = Load;
  Known->SentSince = 0;
  if (Load.RouteResponseTime.count() <= 0)
    return;
  if (Known->RouteTimes.size() >= MostRouteTimes)
    Known->RouteTimes.clear();
  Known->RouteTimes[Route] = Load.RouteResponseTime;
}

void HostDirectory::noteFull(const core::NodeId &Node, const RoomFor &What,
                             core::TimePoint Until) {
  KnownHost *Known = find(Node);
  if (Known == nullptr)
    return;
  if (Known->FullUntil.size() >= MostRouteTimes)
    Known->FullUntil.clear();
  Known->FullUntil[What] = Until;
}

bool HostDirectory::full(const KnownHost &Host, const RoomFor &What,
                         core::TimePoint Now) {
  const auto Found = Host.FullUntil.find(What);
  return Found != Host.FullUntil.end() && Now < Found->second;
}

void HostDirectory::forgetSilent(core::TimePoint Now) {
  std::erase_if(Hosts, [Now](const auto &Entry) {
    return Now - Entry.second.HeardAt > ForgetAfter;
  });
}

KnownHost *HostDirectory::find(const core::NodeId &Node) {
  const auto Found = Hosts.find(Node);
  return Found == Hosts.end() ? nullptr : &Found->second;
}

core::Milliseconds HostDirectory::farPeriod() const {
  const std::size_t Rounds = Hosts.size() / FarReportsPerPeriod + 1;
  return FarReportPeriod * static_cast<int>(Rounds);
}

bool HostDirectory::doubtful(const KnownHost &Host, core::TimePoint Now) const {
  const core::Milliseconds Period =
      Host.Away == Distance::DataCentre ? ReportPeriod : farPeriod();
  return Host.Unreachable || Host.Hearsay ||
         Now - Host.HeardAt > Period * MissedReports;
}

} // namespace filbertvane::decision::mesh
