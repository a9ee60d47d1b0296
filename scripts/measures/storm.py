"""All nodes killed and restarted at once; time until the last is in force again."""
import time

from fleet import Fleet
from measures.convergence import start
from topology import six_data_centres


def run(build):
    with Fleet(build) as fleet:
        start(fleet, six_data_centres)
        began_single = time.monotonic()
        fleet.nodes[0].kill()
        fleet.nodes[0].start()
        fleet.wait_version(1, 20, fleet.nodes[:1])
        single = time.monotonic() - began_single
        for node in fleet.nodes:
            node.kill()
        began = time.monotonic()
        for node in fleet.nodes:
            node.start()
        fleet.wait_for(lambda: all(n.status().get("ready") and n.status().get("version", 0) >= 1 for n in fleet.nodes),
                       30, "recovery", 0.02)
        recovered = time.monotonic() - began
        peak = max(n.status().get("peak_connects_per_s", 0) for n in fleet.nodes)
    print(f"baseline, restart of one node: {single * 1000:.0f} ms")
    return {"recover_ms": round(recovered * 1000), "peak_connects_per_s": peak, "single_restart_ms": round(single * 1000)}
