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
  if (What.Incarnation == Known.Report.Incarnation)
    return What.Sequence <= Known.Report.Sequence && !Known.FromStoreOnly;
  return What.Incarnation < Known.Report.Incarnation &&
         Now - Known.LastReportAt < ReorderTime;
}

} // namespace

HostDirectory::HostDirectory(core::NodeId Self, core::DataCentreId DataCentre,
                             core::RegionId Region)
    : Self(std::move(Self)), DataCentre(std::move(DataCentre)),
      Region(std::move(Region)) {}

Distance HostDirectory::distanceTo(const HostReport &Of) const {
  if (Of.Node == Self)
    return Distance::Local;
  if (Of.DataCentre == DataCentre)
    return Distance::SameDataCentre;
  return Of.Region == Region ? Distance::SameRegion : Distance::OtherRegion;
}

std::optional<HostChange> HostDirectory::applyReport(const HostReport &What,
                                                     core::TimePoint Now) {
  if (What.Node == Self)
    return std::nullopt;
  const auto Found = Hosts.find(What.Node);
  if (Found == Hosts.end()) {
    if (Hosts.size() >= MaximumHosts)
      return std::nullopt;
    KnownHost Host;
    Host.Report = What;
    Host.HostDistance = distanceTo(What);
    Host.LastReportAt = Now;
    Hosts.emplace(What.Node, std::move(Host));
    return HostChange{true, false};
  }
  KnownHost &Known = Found->second;
  if (outdated(Known, What, Now))
    return std::nullopt;
  const HostChange Change{Known.FromStoreOnly,
                          What.Incarnation != Known.Report.Incarnation};
  if (otherTarget(Known.Report, What)) {
    Known.RouteTimes.clear();
    Known.AtCapacityUntil.clear();
  }
  Known.Report = What;
  Known.LastReportAt = Now;
  Known.SentSinceLoadUpdate = 0;
  Known.Unreachable = false;
  Known.FromStoreOnly = false;
  return Change;
}

bool HostDirectory::addFromStore(const HostReport &What, core::TimePoint Now) {
  if (What.Node == Self || Hosts.contains(What.Node) ||
      Hosts.size() >= MaximumHosts)
    return false;
  KnownHost Host;
  Host.Report = What;
  Host.HostDistance = distanceTo(What);
  Host.LastReportAt = Now;
  Host.FromStoreOnly = true;
  Hosts.emplace(What.Node, std::move(Host));
  return true;
}

void HostDirectory::updateLoad(const core::NodeId &Node, const TargetLoad &Load,
                               const core::RouteName &Route) {
  KnownHost *Known = find(Node);
  if (Known == nullptr || !Known->Report.Target)
    return;
  Known->Report.Target->Load = Load;
  Known->SentSinceLoadUpdate = 0;
  if (Load.RouteTime.count() <= 0)
    return;
  if (Known->RouteTimes.size() >= MostRouteTimes)
    Known->RouteTimes.clear();
  Known->RouteTimes[Route] = Load.RouteTime;
}

void HostDirectory::markAtCapacity(const core::NodeId &Node,
                                   const RequestClass &What,
                                   core::TimePoint Until) {
  KnownHost *Known = find(Node);
  if (Known == nullptr)
    return;
  if (Known->AtCapacityUntil.size() >= MostRouteTimes)
    Known->AtCapacityUntil.clear();
  Known->AtCapacityUntil[What] = Until;
}

bool HostDirectory::isAtCapacity(const KnownHost &Host,
                                 const RequestClass &What,
                                 core::TimePoint Now) {
  const auto Found = Host.AtCapacityUntil.find(What);
  return Found != Host.AtCapacityUntil.end() && Now < Found->second;
}

void HostDirectory::evictSilent(core::TimePoint Now) {
  std::erase_if(Hosts, [Now](const auto &Entry) {
    return Now - Entry.second.LastReportAt > HostEvictionTimeout;
  });
}

KnownHost *HostDirectory::find(const core::NodeId &Node) {
  const auto Found = Hosts.find(Node);
  return Found == Hosts.end() ? nullptr : &Found->second;
}

core::Milliseconds HostDirectory::remoteReportPeriod() const {
  const std::size_t Rounds = Hosts.size() / RemoteReportsPerPeriod + 1;
  return RemoteReportPeriod * static_cast<int>(Rounds);
}

bool HostDirectory::isSuspect(const KnownHost &Host,
                              core::TimePoint Now) const {
  const core::Milliseconds Period =
      Host.HostDistance == Distance::SameDataCentre ? ReportPeriod
                                                    : remoteReportPeriod();
  return Host.Unreachable || Host.FromStoreOnly ||
         Now - Host.LastReportAt > Period * SuspectAfterMissedReports;
}

} // namespace filbertvane::decision::mesh
