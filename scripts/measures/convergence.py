"""Time from the publication of a sheet to its adoption on every node.

18 nodes in 6 data centres with 20 ms between regions, once undisturbed and
once with the lead of a data centre killed just before a publication. Baseline:
18 nodes that each read the log themselves.
"""
import time

from fleet import Fleet, percentile
from topology import many_services, separate_nodes, six_data_centres

SHEETS = 12
SERVICES = 93


def adoption_delays(nodes, first, last):
    """Milliseconds from publication to adoption, per version and node."""
    delays = {}
    for node in nodes:
        for version, adopted_ms, published_ms in node.status().get("adopted", []):
            if first <= version <= last:
                delays.setdefault(version, []).append(adopted_ms - published_ms)
    return delays


def publish_series(fleet, first, count, nodes):
    version = first
    for number in range(count):
        services, routes = many_services(SERVICES, number % SERVICES, number + 1)
        fleet.publish(version, services, routes)
        version += 1
        fleet.wait_version(version, 10, nodes)
    return version


def start(fleet, make_nodes):
    fleet.start_log()
    make_nodes(fleet)
    fleet.start_nodes()
    fleet.wait_ready()
    fleet.publish(0, *many_services(SERVICES))
    fleet.wait_version(1, 10)
    return 1


def run(build):
    with Fleet(build) as fleet:
        start(fleet, lambda f: separate_nodes(f, 18))
        last = publish_series(fleet, 1, SHEETS, fleet.nodes)
        baseline = [max(d) for d in adoption_delays(fleet.nodes, 2, last).values()]
    print(f"baseline, every node reads the log: p50_ms={percentile(baseline, 0.5)} max_ms={max(baseline)}")
    with Fleet(build) as fleet:
        start(fleet, six_data_centres)
        last = publish_series(fleet, 1, SHEETS, fleet.nodes)
        delays = adoption_delays(fleet.nodes, 2, last)
        flat = [d for values in delays.values() for d in values]
        worst = max(max(values) for values in delays.values())
        complete = all(len(values) == len(fleet.nodes) for values in delays.values()) and len(delays) == SHEETS
        lead = next(n for n in fleet.nodes if n.status().get("lead"))
        lead.kill()
        survivors = [n for n in fleet.nodes if n is not lead]
        services, routes = many_services(SERVICES, 50, 999)
        fleet.publish(last, services, routes)
        fleet.wait_version(last + 1, 15, survivors)
        killed = max(d for d in adoption_delays(survivors, last + 1, last + 1)[last + 1])
        time.sleep(0.1)
    return {"p50_ms": percentile(flat, 0.5), "p99_ms": percentile(flat, 0.99), "max_ms": worst,
            "max_ms_relay_killed": killed, "baseline_max_ms": max(baseline), "complete": int(complete)}
