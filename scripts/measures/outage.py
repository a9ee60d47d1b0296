"""Log down and one data centre cut off at the same time.

The cut data centre loses every link to other regions and to the log; callers
in it go on. Baseline: the same fleet a few seconds earlier, undisturbed.
"""
import time

from fleet import Fleet, http_call
from topology import PLAIN_SERVICES, ROUTES, six_data_centres

SECONDS = 8
BAD = ("failed", "truncated", "unknown", "not_run", "wrong_answer")


def share(results):
    sent = sum(result["sent"] for result in results)
    return sum(result["ok"] for result in results) / sent


def run_loads(fleet, suffix):
    """One caller group per data centre, on the service that each one has."""
    waits = []
    for index, node in enumerate(fleet.nodes[::3]):
        waits.append(fleet.load(f"{suffix}-{index}", fleet.caller_urls([node]), 40, SECONDS, "--path", "/listings"))
    return waits


def run(build):
    with Fleet(build) as fleet:
        fleet.start_log()
        six_data_centres(fleet)
        fleet.start_nodes()
        fleet.wait_ready()
        fleet.publish(0, PLAIN_SERVICES, ROUTES)
        for node in fleet.nodes[1::3]:
            fleet.add_target(node, "listings", "1.0", 18, ["--service-ms", "2"])
        fleet.start_targets()
        fleet.wait_version(1, 10)
        fleet.wait_for(lambda: all(n.status().get("endpoints", 0) >= 1 for n in fleet.nodes), 10, "targets")
        before = share([wait() for wait in run_loads(fleet, "before")])
        versions = {n.name: n.status()["version"] for n in fleet.nodes}
        fleet.log_faults(mode="outage")
        for name, control in fleet.links.items():
            if "south1" in name:
                http_call(control, "POST", "/cut")
        http_call(fleet.links["log-south"], "POST", "/cut")
        results = [wait() for wait in run_loads(fleet, "during")]
        restarted = fleet.nodes[0]
        restarted.kill()
        restarted.start()
        fleet.wait_for(lambda: restarted.status().get("ready"), 10, "readiness of a node restarted during the outage")
        time.sleep(1)
        reverted = sum(1 for n in fleet.nodes if n.status()["version"] < versions[n.name])
    print(f"baseline, undisturbed: served_ratio={before:.4f}")
    print(f"during: {results}")
    return {"served_ratio": round(share(results), 4), "reverted_versions": reverted, "baseline_ratio": round(before, 4)}
