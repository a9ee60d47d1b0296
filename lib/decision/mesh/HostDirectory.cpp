#include "filbertvane/decision/mesh/HostDirectory.h"
#include "filbertvane/decision/mesh/Limits.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Datagrams of a previous process may arrive for about this time after the
/// first one of its successor.
constexpr core::Milliseconds DatagramReorderTime{2000};

/// Maximum number of routes per host whose answer times are kept. Few routes of
/// one service are in use at a time, and removed ones must not accumulate.
constexpr std::size_t MaximumRouteTimes = 64;

/// Time for which a process may still use what it had before it reported that
/// it leaves: longer than all promises between nodes.
constexpr core::Milliseconds LeavingTime{2000};

/// Whether another target replaced the one whose answer times were recorded.
bool targetReplaced(const HostReport &Before, const HostReport &After) {
  return Before.Target && After.Target && Before.Target->Id != After.Target->Id;
}

/// Processes of a host are ordered by their start. The system clock may have
/// been set back between them, so that an older start is accepted once the
/// newer process has been silent for `DatagramReorderTime`.
bool isOutdated(const KnownHost &Known, const HostReport &Report,
                core::TimePoint Now) {
  if (Report.Incarnation == Known.Report.Incarnation)
    return Report.Sequence <= Known.Report.Sequence && !Known.FromStoreOnly;
  return Report.Incarnation < Known.Report.Incarnation &&
         Now - Known.LastReportAt < DatagramReorderTime;
}

} // namespace

HostDirectory::HostDirectory(core::NodeId Self, core::DataCentreId DataCentre,
                             core::RegionId Region)
    : Self(std::move(Self)), DataCentre(std::move(DataCentre)),
      Region(std::move(Region)) {}

Distance HostDirectory::distanceTo(const HostReport &Host) const {
  if (Host.Node == Self)
    return Distance::Local;
  if (Host.DataCentre == DataCentre)
    return Distance::SameDataCentre;
  return Host.Region == Region ? Distance::SameRegion : Distance::OtherRegion;
}

std::optional<HostChange> HostDirectory::applyReport(const HostReport &Report,
                                                     core::TimePoint Now) {
  if (Report.Node == Self)
    return std::nullopt;
  const auto Found = Hosts.find(Report.Node);
  if (Found == Hosts.end()) {
    if (Hosts.size() >= MaximumHosts)
      return std::nullopt;
    recordLeaving(Report, Now + LeavingTime);
    KnownHost Host;
    Host.Report = Report;
    Host.HostDistance = distanceTo(Report);
    Host.LastReportAt = Now;
    add(std::move(Host));
    return HostChange{true, false};
  }
  KnownHost &Known = Found->second;
  if (isOutdated(Known, Report, Now))
    return std::nullopt;
  recordLeaving(Report, Now + LeavingTime);
  const HostChange Change{Known.FromStoreOnly,
                          Report.Incarnation != Known.Report.Incarnation};
  if (targetReplaced(Known.Report, Report)) {
    Known.RouteTimes.clear();
    Known.AtCapacityUntil.clear();
  }
  if (Change.Restarted && Known.Report.Departed)
    Known.FormerDeparted = Known.Report.Departed;
  if (Known.FormerDeparted && !isLater(*Known.FormerDeparted, Report.Departed))
    Known.FormerDeparted.reset();
  Known.Report = Report;
  Known.LastReportAt = Now;
  Known.SentSinceLoadUpdate = 0;
  Known.Unreachable = false;
  Known.FromStoreOnly = false;
  return Change;
}

bool HostDirectory::addFromStore(const HostReport &Report,
                                 core::TimePoint Now) {
  if (Report.Node == Self || Hosts.contains(Report.Node) ||
      Hosts.size() >= MaximumHosts)
    return false;
  recordLeaving(Report, Now);
  KnownHost Host;
  Host.Report = Report;
  Host.HostDistance = distanceTo(Report);
  Host.LastReportAt = Now;
  Host.FromStoreOnly = true;
  add(std::move(Host));
  return true;
}

void HostDirectory::recordLeaving(const HostReport &Report,
                                  core::TimePoint From) {
  EverKnown.insert(Report.Node);
  if (Report.Leaving)
    LeftAt.try_emplace(Report.Node, From);
  else
    LeftAt.erase(Report.Node);
}

std::size_t HostDirectory::leftInOrder(core::TimePoint Now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      LeftAt, [Now](const auto &Entry) { return Entry.second <= Now; }));
}

bool HostDirectory::hasReportsOfAllHosts() const {
  return std::ranges::all_of(Hosts, [this](const auto &Entry) {
    return !Entry.second.FromStoreOnly || LeftAt.contains(Entry.first);
  });
}

void HostDirectory::add(KnownHost Host) {
  const core::NodeId Node = Host.Report.Node;
  Hosts.emplace(Node, std::move(Host));
  LargestSize = std::max(LargestSize, Hosts.size());
}

void HostDirectory::updateLoad(const core::NodeId &Node, const TargetLoad &Load,
                               const core::RouteName &Route) {
  KnownHost *Known = find(Node);
  if (Known == nullptr || !Known->Report.Target)
    return;
  Known->Report.Target->Load = Load;
  Known->SentSinceLoadUpdate = 0;
  if (Load.RouteResponseTime.count() <= 0)
    return;
  if (Known->RouteTimes.size() >= MaximumRouteTimes)
    Known->RouteTimes.clear();
  Known->RouteTimes[Route] = Load.RouteResponseTime;
}

void HostDirectory::markAtCapacity(const core::NodeId &Node,
                                   const RequestClass &Class,
                                   core::TimePoint Until) {
  KnownHost *Known = find(Node);
  if (Known == nullptr)
    return;
  if (Known->AtCapacityUntil.size() >= MaximumRouteTimes)
    Known->AtCapacityUntil.clear();
  Known->AtCapacityUntil[Class] = Until;
}

bool HostDirectory::isAtCapacity(const KnownHost &Host,
                                 const RequestClass &Class,
                                 core::TimePoint Now) {
  const auto Found = Host.AtCapacityUntil.find(Class);
  return Found != Host.AtCapacityUntil.end() && Now < Found->second;
}

void HostDirectory::markLeaving(const core::NodeId &Node,
                                const LeavingTarget &Target) {
  if (KnownHost *Known = find(Node))
    Known->Leaving = Target;
}

bool HostDirectory::hasLeavingTarget(const KnownHost &Host,
                                     core::TimePoint Now) {
  if (!Host.Leaving || !Host.Report.Target)
    return false;
  // A host that knows of the departure and has a ready target of the same id
  // has a new process of it.
  const bool KnownToHost =
      Host.Report.Departed && Host.Report.Departed->Id == Host.Leaving->Id;
  return Host.Report.Target->Id == Host.Leaving->Id &&
         Now < Host.Leaving->Until && !KnownToHost;
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
