"""Goodput at three times the capacity against goodput at capacity.

Callers give up after 1,000 ms. The route states 900 ms, so that a request
that cannot be answered in time is refused before it takes a slot. Baseline: a
route that states 2,000 ms, so that the nodes do not know how long callers wait.
"""
from fleet import Fleet
from topology import PLAIN_SERVICES, ROUTES, one_data_centre

SLOTS = 11
SERVICE_MS = 50
TARGETS = 2
CAPACITY = TARGETS * SLOTS * 1000 // SERVICE_MS
SECONDS = 9
CALLER_WAIT_MS = 1000
ROUTE_TIMEOUT_MS = 900
UNAWARE_TIMEOUT_MS = 2000


def goodput(build, factor, timeout_ms):
    with Fleet(build) as fleet:
        fleet.start_log()
        one_data_centre(fleet, TARGETS)
        fleet.start_nodes()
        fleet.wait_ready()
        route = ("listing-pages", "/listings", "listings", {"idempotent": "true", "timeout_ms": timeout_ms})
        fleet.publish(0, PLAIN_SERVICES, [route] + ROUTES[1:])
        for node in fleet.nodes:
            fleet.add_target(node, "listings", "1.0", SLOTS, ["--service-ms", str(SERVICE_MS)])
        fleet.start_targets()
        fleet.wait_for(lambda: all(n.status().get("endpoints", 0) >= TARGETS for n in fleet.nodes), 10, "targets")
        result = fleet.load("load", fleet.caller_urls(), int(CAPACITY * factor), SECONDS,
                            "--path", "/listings", "--deadline-ms", str(CALLER_WAIT_MS))()
        print(f"{factor}x, route timeout {timeout_ms} ms: {result}")
        # Requests that still wait at the end of the load are answered after it.
        return result["ok"] / (SECONDS + result["max_us"] / 1e6)


def run(build):
    base = goodput(build, 1, ROUTE_TIMEOUT_MS)
    over = goodput(build, 3, ROUTE_TIMEOUT_MS)
    unaware = goodput(build, 3, UNAWARE_TIMEOUT_MS)
    return {"goodput_ratio": round(over / base, 3), "baseline_ratio": round(unaware / base, 3),
            "at_capacity_per_s": round(base), "at_3x_per_s": round(over), "capacity_per_s": CAPACITY}
