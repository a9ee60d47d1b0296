"""Planned stops of a target, a node and both under load, downloads among it.

Callers enter through two nodes that stay. Baseline: the same target killed
instead of drained.
"""
import json
import signal
import time

from fleet import Fleet
from topology import PLAIN_SERVICES, ROUTES, one_data_centre

SECONDS = 14
SERVICE_OF_NODE = ["listings", "media", "listings", "media", "listings", "media"]
BAD = ("failed", "truncated", "unknown", "not_run", "wrong_answer")


def last_summary(fleet, target):
    path = next(fleet.folder.glob(f"target-{target.node.name}-*.log"))
    return json.loads(path.read_text().strip().splitlines()[-1])


def start(fleet):
    fleet.start_log()
    one_data_centre(fleet, len(SERVICE_OF_NODE))
    fleet.start_nodes()
    fleet.wait_ready()
    fleet.publish(0, PLAIN_SERVICES, ROUTES)
    for node, service in zip(fleet.nodes, SERVICE_OF_NODE):
        fleet.add_target(node, service, "1.0", 18, ["--service-ms", "20"])
    fleet.start_targets()
    fleet.wait_for(lambda: all(n.status().get("endpoints", 0) >= len(SERVICE_OF_NODE) for n in fleet.nodes), 10, "targets")


def loads(fleet, seconds):
    entry = fleet.caller_urls(fleet.nodes[:2])
    return {"short": fleet.load("short", entry, 150, seconds, "--path", "/listings"),
            "long": fleet.load("long", entry, 10, seconds, "--path", "/media?bytes=8000000")}


def bad(results):
    return sum(result[key] for result in results.values() for key in BAD)


def run(build):
    with Fleet(build) as fleet:
        start(fleet)
        waits = loads(fleet, 6)
        time.sleep(2)
        fleet.targets[2].kill()
        fleet.targets[3].kill()
        killed = {name: wait() for name, wait in waits.items()}
    print(f"baseline, two targets killed: {bad(killed)} of {sum(r['sent'] for r in killed.values())} requests not answered")
    with Fleet(build) as fleet:
        start(fleet)
        waits = loads(fleet, SECONDS)
        time.sleep(2)
        for target in fleet.targets[2:4]:
            target.process.send_signal(signal.SIGTERM)
        for target in fleet.targets[2:4]:
            target.process.wait(30)
        summaries = [last_summary(fleet, target) for target in fleet.targets[2:4]]
        for node in fleet.nodes[4:5]:
            node.process.send_signal(signal.SIGTERM)
            node.process.wait(40)
        # Both together: the target and its node leave at the same moment.
        fleet.targets[5].process.send_signal(signal.SIGTERM)
        fleet.nodes[5].process.send_signal(signal.SIGTERM)
        fleet.nodes[5].process.wait(40)
        results = {name: wait() for name, wait in waits.items()}
    for name, result in results.items():
        print(f"{name}: {result}")
    print(f"targets at their end: {summaries}")
    return {"cut_requests": bad(results), "new_work_after_ms": max(s["new_work_after_ms"] for s in summaries),
            "sent": sum(r["sent"] for r in results.values()), "baseline_cut": bad(killed)}
