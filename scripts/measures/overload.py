"""Goodput at three times the capacity against goodput at capacity."""
from fleet import Fleet
from topology import PLAIN_SERVICES, ROUTES, one_data_centre

SLOTS = 11
SERVICE_MS = 50
TARGETS = 2
CAPACITY = TARGETS * SLOTS * 1000 // SERVICE_MS
SECONDS = 10


def goodput(build, factor):
    with Fleet(build) as fleet:
        fleet.start_log()
        one_data_centre(fleet, TARGETS)
        fleet.start_nodes()
        fleet.wait_ready()
        fleet.publish(0, PLAIN_SERVICES, ROUTES)
        for node in fleet.nodes:
            fleet.add_target(node, "listings", "1.0", SLOTS, ["--service-ms", str(SERVICE_MS)])
        fleet.start_targets()
        fleet.wait_for(lambda: all(n.status().get("endpoints", 0) >= TARGETS for n in fleet.nodes), 10, "targets")
        result = fleet.load("load", fleet.caller_urls(), int(CAPACITY * factor), SECONDS,
                            "--path", "/listings", "--deadline-ms", "1000")()
        print(f"{factor}x: {result}")
        return result["ok"] / SECONDS


def run(build):
    base = goodput(build, 1)
    over = goodput(build, 3)
    return {"goodput_ratio": round(over / base, 3), "at_capacity_per_s": round(base), "at_3x_per_s": round(over),
            "capacity_per_s": CAPACITY}
