"""Control bytes per change, beside sending the whole configuration to each node."""
import time

from fleet import Fleet
from measures.convergence import SERVICES, publish_series, start
from topology import separate_nodes, six_data_centres

CHANGES = 12
IDLE_SECONDS = 10
CHANGES_PER_DAY = 2100
SECONDS_PER_DAY = 86400


def totals(nodes):
    sums = {"control": 0, "cross": 0}
    for node in nodes:
        status = node.status()
        sums["control"] += status["control_bytes_in"] + status["control_bytes_out"]
        sums["cross"] += status["cross_region_bytes"] + status["log_bytes_in"] * (node.log_port != node.fleet.log_port)
    return sums


def rates(fleet, first):
    """(bytes per change, cross-region bytes per change, idle bytes/s, state bytes)."""
    before = totals(fleet.nodes)
    time.sleep(IDLE_SECONDS)
    idle = totals(fleet.nodes)
    began = time.monotonic()
    publish_series(fleet, first, CHANGES, fleet.nodes)
    took = time.monotonic() - began
    after = totals(fleet.nodes)
    idle_rate = (idle["control"] - before["control"]) / IDLE_SECONDS
    idle_cross = (idle["cross"] - before["cross"]) / IDLE_SECONDS
    per_change = (after["control"] - idle["control"] - idle_rate * took) / CHANGES
    cross = (after["cross"] - idle["cross"] - idle_cross * took) / CHANGES
    return per_change, cross, idle_rate, fleet.nodes[0].status()["state_bytes"]


def run(build):
    with Fleet(build) as fleet:
        first = start(fleet, lambda f: separate_nodes(f, 18))
        publish_series(fleet, first, CHANGES, fleet.nodes)
        direct = sum(n.status()["log_bytes_in"] for n in fleet.nodes) / CHANGES
    with Fleet(build) as fleet:
        first = start(fleet, six_data_centres)
        per_change, cross, idle_rate, state_bytes = rates(fleet, first)
        nodes = len(fleet.nodes)
    full_push = state_bytes * nodes
    # Each message on a connection between nodes is counted at both ends.
    per_node = idle_rate / nodes + per_change * CHANGES_PER_DAY / SECONDS_PER_DAY / nodes
    print(f"baseline, whole configuration to each node: {full_push} bytes per change")
    print(f"baseline, every node reads the log: {direct:.0f} bytes per change")
    return {"per_change_cross_region": round(cross), "per_node_per_s": round(per_node),
            "fullpush_ratio": round(per_change / 2 / full_push, 4), "per_change": round(per_change / 2),
            "services": SERVICES}
