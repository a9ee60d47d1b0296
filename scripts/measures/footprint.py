"""CPU, memory and control bytes per role at several sizes, with slopes.

Three fleets of one data centre with 8, 32 and 96 nodes, then 93 services, then
changes once a second on the largest fleet. Slopes are per member, per service
and per change; the last line extrapolates to 105 members a data centre, 93
services and 2,100 changes a day.
"""
import time

from fleet import Fleet, cpu_seconds, rss_mb
from topology import many_services, one_data_centre

SIZES = (8, 32, 96)
WINDOW = 5.0
CHANGES = 6
MEMBERS_PER_DATA_CENTRE = 106
CHANGES_PER_S = 2100 / 86400


def sample(fleet):
    out = {}
    for node in fleet.nodes:
        status = node.status()
        out[node.name] = (cpu_seconds(node.process.pid), status["control_bytes_in"] + status["control_bytes_out"],
                          rss_mb(node.process.pid), status["lead"])
    return out


def rates(fleet, seconds=WINDOW, action=None):
    """(CPU %, bytes/s, RSS) for the lead and the mean plain node."""
    before = sample(fleet)
    began = time.monotonic()
    if action:
        action()
    time.sleep(max(0.0, began + seconds - time.monotonic()))
    after = sample(fleet)
    took = time.monotonic() - began
    rows = [((after[n][0] - before[n][0]) / took * 100, (after[n][1] - before[n][1]) / took, after[n][2], after[n][3])
            for n in after]
    lead = next(row for row in rows if row[3])
    plain = [row for row in rows if not row[3]]
    mean = tuple(sum(row[i] for row in plain) / len(plain) for i in range(3))
    return lead[:3], mean


def line(label, lead, plain):
    print(f"{label}: lead cpu={lead[0]:.2f}% bytes/s={lead[1]:.0f} rss={lead[2]:.1f}MB; "
          f"node cpu={plain[0]:.2f}% bytes/s={plain[1]:.0f} rss={plain[2]:.1f}MB", flush=True)


def run(build):
    idle = {}
    for size in SIZES:
        with Fleet(build) as fleet:
            fleet.start_log()
            one_data_centre(fleet, size)
            fleet.start_nodes(4)
            fleet.wait_ready(30)
            fleet.publish(0, *many_services(3))
            fleet.wait_version(1, 15)
            time.sleep(2.5)
            idle[size] = rates(fleet)
            line(f"{size} members, 3 services", *idle[size])
            if size != SIZES[-1]:
                continue
            fleet.publish(1, *many_services(93))
            fleet.wait_version(2, 15)
            wide = rates(fleet)
            line(f"{size} members, 93 services", *wide)

            def change():
                for number in range(CHANGES):
                    fleet.publish(2 + number, *many_services(93, number, number + 1))
                fleet.wait_version(2 + CHANGES, 15)

            busy = rates(fleet, WINDOW, change)
            line(f"{size} members, 93 services, {CHANGES} changes in {WINDOW:.0f} s", *busy)
    small, large = idle[SIZES[0]], idle[SIZES[-1]]
    span = SIZES[-1] - SIZES[0]
    figures = {}
    for role, index in (("lead", 0), ("node", 1)):
        slope_bytes = (large[index][1] - small[index][1]) / span
        slope_cpu = (large[index][0] - small[index][0]) / span
        per_change_bytes = (busy[index][1] - wide[index][1]) * WINDOW / CHANGES
        per_change_cpu = (busy[index][0] - wide[index][0]) * WINDOW / CHANGES
        extra = MEMBERS_PER_DATA_CENTRE - SIZES[-1]
        at_size = wide[index][1] + slope_bytes * extra + per_change_bytes * CHANGES_PER_S
        cpu = wide[index][0] + slope_cpu * extra + per_change_cpu * CHANGES_PER_S
        print(f"{role}: bytes/s per member {slope_bytes:.2f}, bytes per change {per_change_bytes:.0f}, "
              f"cpu % per member {slope_cpu:.4f}, rss MB per 90 services {wide[index][2] - large[index][2]:.2f}, "
              f"rss MB per member {(large[index][2] - small[index][2]) / span:.4f}")
        figures[f"{role}_core_percent"] = round(cpu, 2)
        figures[f"{role}_rss_mb"] = round(wide[index][2], 1)
        figures[f"{role}_control_bytes_per_s"] = round(at_size)
    return {"core_percent": max(figures["lead_core_percent"], figures["node_core_percent"]),
            "rss_mb": max(figures["lead_rss_mb"], figures["node_rss_mb"]),
            "control_bytes_per_s": max(figures["lead_control_bytes_per_s"], figures["node_control_bytes_per_s"]),
            **figures}
