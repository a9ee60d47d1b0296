"""Planned stops of a target, a node and both under load, downloads among it."""
import signal
import time

from fleet import Fleet
from topology import PLAIN_SERVICES, ROUTES, one_data_centre

SECONDS = 16


def run(build):
    with Fleet(build) as fleet:
        fleet.start_log()
        one_data_centre(fleet, 4)
        fleet.start_nodes()
        fleet.wait_ready()
        fleet.publish(0, PLAIN_SERVICES, ROUTES)
        for node in fleet.nodes:
            fleet.add_target(node, "listings", "1.0", 18, ["--service-ms", "20"])
            fleet.add_target(node, "media", "1.0", 18, ["--service-ms", "200"])
        fleet.start_targets()
        fleet.wait_for(lambda: all(n.status().get("endpoints", 0) >= 8 for n in fleet.nodes), 10, "targets")
        entry = fleet.caller_urls(fleet.nodes[:1])
        short = fleet.load("short", entry, 100, SECONDS, "--path", "/listings")
        long = fleet.load("long", entry, 5, SECONDS, "--path", "/media?bytes=4000000")
        time.sleep(3)
        leaving = fleet.targets[2]
        began = time.monotonic()
        count_before = leaving.executions().get("last_start_ms", 0)
        leaving.process.send_signal(signal.SIGTERM)
        stopped_ms = int(time.time() * 1000)
        leaving.process.wait(30)
        target_exit = time.monotonic() - began
        time.sleep(1)
        fleet.nodes[2].process.send_signal(signal.SIGTERM)
        fleet.nodes[2].process.wait(30)
        time.sleep(1)
        for target in fleet.nodes[3].targets:
            target.process.send_signal(signal.SIGTERM)
        fleet.nodes[3].process.send_signal(signal.SIGTERM)
        fleet.nodes[3].process.wait(30)
        results = {"short": short(), "long": long()}
        for name, result in results.items():
            print(f"{name}: {result}")
        new_work_ms = fleet.last_start_after(leaving, stopped_ms) if hasattr(fleet, "last_start_after") else None
    cut = sum(r["failed"] + r["truncated"] + r["unknown"] + r["not_run"] for r in results.values())
    return {"cut_requests": cut, "new_work_after_ms": new_work_ms, "target_exit_ms": round(target_exit * 1000),
            "sent": sum(r["sent"] for r in results.values()), "first": count_before}
