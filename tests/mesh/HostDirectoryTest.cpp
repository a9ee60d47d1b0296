#include "MeshBench.h"

using namespace meshbench;

namespace {

HostDirectory directory() {
  return {core::NodeId("n0"), core::DataCentreId("dc1"), core::RegionId("r1")};
}

} // namespace

// Guards against reordered reports.
Test(host_directory, an_older_report_changes_nothing) {
  HostDirectory Hosts = directory();
  HostReport Newer = report("n1", 5);
  Newer.Target->State = TargetState::Draining;
  cr_assert(Hosts.applyReport(Newer, at(0))->New);
  cr_assert(!Hosts.applyReport(report("n1", 4), at(10)).has_value());
  cr_assert(Hosts.find(core::NodeId("n1"))->Report.Target->State ==
            TargetState::Draining);
}

// Guards against a restarted host that is mistaken for its previous process,
// also when the system clock was set back in between.
Test(host_directory, a_restarted_host_replaces_its_former_process) {
  HostDirectory Hosts = directory();
  HostReport First = report("n1", 900);
  First.Incarnation = core::Incarnation(50);
  Hosts.applyReport(First, at(0));
  HostReport Second = report("n1", 1);
  Second.Incarnation = core::Incarnation(40);
  cr_assert(!Hosts.applyReport(Second, at(100)).has_value(),
            "reordered datagram");
  cr_assert(Hosts.applyReport(Second, at(2500))->Restarted);
}

// Guards against selecting hosts that send no reports.
Test(host_directory, a_silent_host_is_suspect_and_then_evicted) {
  HostDirectory Hosts = directory();
  Hosts.applyReport(report("n1"), at(0));
  const KnownHost &Host = *Hosts.find(core::NodeId("n1"));
  cr_assert(!Hosts.isSuspect(Host, at(1400)));
  cr_assert(Hosts.isSuspect(Host, at(1600)));
  Hosts.evictSilent(at(29000));
  cr_assert(Hosts.hosts().size() == 1);
  Hosts.evictSilent(at(31000));
  cr_assert(Hosts.hosts().empty());
}

// Guards against control traffic between data centres that grows with the
// square of the number of hosts (on aclu-lecturas-grown it amounted to 0.2 of a
// calm day's worth).
Test(host_directory, far_reports_are_rarer_with_more_hosts) {
  HostDirectory Hosts = directory();
  cr_assert(Hosts.remoteReportPeriod() == milliseconds(1000));
  for (int I = 0; I < 64; ++I)
    Hosts.applyReport(report("n" + std::to_string(100 + I), 1, "dc2"), at(0));
  cr_assert(Hosts.remoteReportPeriod() == milliseconds(5000));
  // A host that reports at this interval is not suspect before it has missed
  // three reports.
  const KnownHost &Host = *Hosts.find(core::NodeId("n100"));
  cr_assert(!Hosts.isSuspect(Host, at(14900)));
  cr_assert(Hosts.isSuspect(Host, at(15100)));
}

// Guards against stored reports that override reports of the host itself.
Test(host_directory, reports_of_a_host_override_the_store) {
  HostDirectory Hosts = directory();
  cr_assert(Hosts.addFromStore(report("n1", 7), at(0)));
  cr_assert(Hosts.isSuspect(*Hosts.find(core::NodeId("n1")), at(0)));
  cr_assert(Hosts.applyReport(report("n1", 3), at(5))->New);
  cr_assert(!Hosts.addFromStore(report("n1", 7), at(10)));
  cr_assert(!Hosts.isSuspect(*Hosts.find(core::NodeId("n1")), at(10)));
}
