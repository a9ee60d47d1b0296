"""Seeded pairs of faults on real processes, with traffic all along.

Two data centres of three nodes each. Each seed draws two different faults, which
overlap; after each pair the fleet is healed. Violations: a version that falls
on a process that was not restarted, a ready node below the version that was in
force everywhere before the pair, a key executed twice, a key executed although
all its callers were told "not run". Baseline: the same traffic without faults.
"""
import random
import signal
import time

from fleet import Fleet, http_call
from measures.at_most_once import executions, read_outcomes
from topology import PLAIN_SERVICES, ROUTES, add_link

SEED = 20261204
PAIRS = 30
PAIR_SECONDS = 0.8
LOAD_SECONDS = 30
BASELINE_SECONDS = 3
STATUS_TIMEOUT = 0.1


class Faults:
    """Each method starts one fault and returns the function that ends it."""

    def __init__(self, fleet, chance):
        self.fleet, self.chance = fleet, chance

    def victim(self):
        # Nodes 0 and 3 are entry nodes of the callers and stay.
        return self.fleet.nodes[self.chance.choice([1, 2, 4, 5])]

    def kill_node(self):
        node = self.victim()
        node.kill()
        return node.start

    def pause_node(self):
        node = self.victim()
        node.process.send_signal(signal.SIGSTOP)
        return lambda: node.process.poll() is None and node.process.send_signal(signal.SIGCONT)

    def log_outage(self):
        self.fleet.log_faults(mode="outage")
        return lambda: self.fleet.log_faults(mode="none")

    def lost_acknowledgements(self):
        self.fleet.log_faults(mode="lose_acknowledgement", rate=0.5)
        return lambda: self.fleet.log_faults(mode="none")

    def slow_log(self):
        self.fleet.log_faults(mode="slow", delay_ms=300)
        return lambda: self.fleet.log_faults(mode="none")

    def silent_log_connections(self):
        http_call(self.fleet.links["log"], "POST", "/silence-open")
        return lambda: None

    def log_cut_from_data_centre(self):
        http_call(self.fleet.links["log"], "POST", "/cut")
        return lambda: http_call(self.fleet.links["log"], "POST", "/heal")

    NAMES = ("kill_node", "pause_node", "log_outage", "lost_acknowledgements", "slow_log",
             "silent_log_connections", "log_cut_from_data_centre")


def start(fleet):
    fleet.start_log()
    for index in range(6):
        fleet.add_node(f"n{index}", f"dc-{index // 3 + 1}", "r-1")
    link = add_link(fleet, "log", fleet.log_port, 0)
    for node in fleet.nodes[3:]:
        node.log_port = link
    fleet.start_nodes()
    fleet.wait_ready()
    fleet.publish(0, PLAIN_SERVICES, ROUTES)
    services = ["listings", "reservations", "reservations", "listings", "reservations", "reservations"]
    for node, service in zip(fleet.nodes, services):
        fleet.add_target(node, service, "1.0", 18, ["--service-ms", "3"])
    fleet.start_targets()
    fleet.wait_for(lambda: all(n.status().get("endpoints", 0) >= 3 for n in fleet.nodes), 10, "targets")


def loads(fleet, seconds, suffix):
    entry = fleet.caller_urls([fleet.nodes[0], fleet.nodes[3]])
    keys = fleet.folder / f"keys-{suffix}"
    return keys, [
        fleet.load(f"reads-{suffix}", entry, 60, seconds, "--path", "/listings?bytes=20000"),
        fleet.load(f"keyed-{suffix}", entry, 60, seconds, "--path", "/reserve", "--method", "POST", "--bytes", "100",
                   "--key", "--repeat-rate", "0.1", "--keys-file", str(keys))]


def versions(fleet):
    running = [n for n in fleet.nodes if n.process.poll() is None]
    known = {n.name: n.status(STATUS_TIMEOUT) for n in running}
    return {name: state["version"] for name, state in known.items() if state}


def below(fleet, floor):
    """Ready nodes that hold less than what was in force everywhere."""
    # A paused node does not answer.
    states = [n.status(STATUS_TIMEOUT) for n in fleet.nodes]
    return sum(1 for s in states if s.get("ready") and s["version"] < floor)


def run(build):
    chance = random.Random(SEED)
    violations, stuck = 0, 0
    pairs = set()
    with Fleet(build) as fleet:
        start(fleet)
        keys, waits = loads(fleet, BASELINE_SECONDS, "baseline")
        calm = [wait() for wait in waits]
        print(f"baseline: {calm}")
        keys, waits = loads(fleet, LOAD_SECONDS, "faults")
        faults = Faults(fleet, chance)
        for _ in range(PAIRS):
            floor = min(versions(fleet).values() or [0])
            names = chance.sample(Faults.NAMES, 2)
            pairs.add(tuple(sorted(names)))
            ends = []
            for name in names:
                ends.append(getattr(faults, name)())
                time.sleep(chance.uniform(0.05, 0.3))
            violations += below(fleet, floor)
            time.sleep(PAIR_SECONDS / 2)
            violations += below(fleet, floor)
            for end in ends:
                end()
            time.sleep(chance.uniform(0.05, 0.2))
        results = [wait() for wait in waits]
        for node in fleet.nodes:
            if node.process.poll() is not None:
                node.start()
        try:
            fleet.wait_ready(20)
        except TimeoutError:
            stuck = sum(1 for n in fleet.nodes if not n.status().get("ready"))
        counts = executions(fleet.targets)
        outcomes = read_outcomes(keys)
    print(f"during faults: {results}")
    double = sum(1 for count in counts.values() if count > 1)
    false_not_run = sum(1 for key, seen in outcomes.items()
                        if all(o == "not_run" for o in seen) and counts.get(key, 0) > 0)
    # Reads are idempotent and both entry nodes stay: none may end without an answer or a refusal.
    lost = results[0]["failed"] + results[0]["unknown"]
    truncated = sum(r["wrong_answer"] for r in results)
    return {"seeds": PAIRS, "pairs": len(pairs), "violations": violations + double + false_not_run + stuck,
            "lost_answers": lost, "truncated_as_whole": truncated, "double_runs": double,
            "false_not_run": false_not_run, "not_ready_after": stuck,
            "refused": sum(r["not_run"] for r in results), "unknown": sum(r["unknown"] for r in results)}
