"""Keyed requests under killed nodes, lost acknowledgements and silent links.

Every execution is counted at the targets by key. A key that a caller was told
"not-run" about must not have been executed. Baseline: the share of keyed
requests that were sent again by their callers, which a proxy without claims
would have executed twice.
"""
import time

from fleet import Fleet, http_call
from topology import ROUTES, PLAIN_SERVICES, add_link, one_data_centre

RATE = 320
SECONDS = 34
NODES = 6


def executions(targets):
    counts = {}
    for target in targets:
        for key, count in target.executions().items():
            counts[key] = counts.get(key, 0) + count
    return counts


def read_outcomes(path):
    """Key to the set of outcomes that callers saw for it."""
    outcomes = {}
    for line in path.read_text().splitlines():
        key, outcome = line.split()
        outcomes.setdefault(key, []).append(outcome)
    return outcomes


def run(build):
    with Fleet(build) as fleet:
        fleet.start_log()
        one_data_centre(fleet, NODES)
        # Nodes 4 and 5 run targets only, so that their loss shows at the
        # entry nodes; their log goes over a link that falls silent.
        link = add_link(fleet, "log", fleet.log_port, 0)
        for node in fleet.nodes[2:]:
            node.log_port = link
        fleet.start_nodes()
        fleet.wait_ready()
        fleet.publish(0, PLAIN_SERVICES, ROUTES)
        for node in fleet.nodes[2:]:
            fleet.add_target(node, "reservations", "1.0", 18, ["--service-ms", "5"])
        fleet.start_targets()
        fleet.wait_for(lambda: all(n.status().get("endpoints", 0) >= 4 for n in fleet.nodes), 10, "targets")
        keys = fleet.folder / "keys.jsonl"
        wait = fleet.load("keyed", fleet.caller_urls(fleet.nodes[:4]), RATE, SECONDS, "--path", "/reserve", "--method",
                          "POST", "--bytes", "100", "--key", "--repeat-rate", "0.1", "--keys-file", str(keys))
        began = time.monotonic()

        def at(second):
            time.sleep(max(0.0, began + second - time.monotonic()))

        at(4)
        fleet.nodes[5].kill()
        at(8)
        fleet.log_faults(mode="lose_acknowledgement", rate=0.5)
        at(13)
        fleet.log_faults(mode="none")
        fleet.nodes[5].start()
        at(16)
        http_call(fleet.links["log"], "POST", "/silence-open")
        at(20)
        fleet.nodes[3].kill()
        at(23)
        fleet.nodes[3].start()
        at(25)
        fleet.log_faults(mode="outage")
        at(27)
        fleet.log_faults(mode="none")
        result = wait()
        counts = executions(fleet.targets)
        outcomes = read_outcomes(keys)
    print(f"load: {result}")
    double = sum(1 for count in counts.values() if count > 1)
    false_not_run = sum(1 for key, seen in outcomes.items() if all(o == "not_run" for o in seen) and counts.get(key, 0) > 0)
    lost = sum(1 for key, seen in outcomes.items() if "ok" in seen and counts.get(key, 0) == 0)
    repeated = sum(1 for seen in outcomes.values() if len(seen) > 1)
    print(f"baseline, keys sent more than once by their callers: {repeated}")
    return {"bookings": len(outcomes), "double_runs": double, "false_not_run": false_not_run, "answered_not_run_by_target": lost,
            "ok": result["ok"], "not_run": result["not_run"], "unknown": result["unknown"], "baseline_repeats": repeated}
