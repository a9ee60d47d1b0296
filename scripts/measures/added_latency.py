"""Latency through the node against direct calls to the target, same run."""
from fleet import HOST, Fleet
from topology import PLAIN_SERVICES, ROUTES, one_data_centre

RATE = 400
SECONDS = 12


def run(build):
    with Fleet(build) as fleet:
        fleet.start_log()
        one_data_centre(fleet, 2)
        fleet.start_nodes()
        fleet.wait_ready()
        fleet.publish(0, PLAIN_SERVICES, ROUTES)
        target = fleet.add_target(fleet.nodes[1], "listings", "1.0", 18, ["--service-ms", "1"])
        fleet.start_targets()
        fleet.wait_for(lambda: fleet.nodes[0].status().get("endpoints", 0) >= 1, 10, "the target at the entry node")
        results = {}
        # The three paths run at the same time, so that noise hits all of them.
        direct = fleet.load("direct", [f"http://{HOST}:{target.port}"], RATE // 4, SECONDS, "--path", "/listings")
        local = fleet.load("local", fleet.caller_urls(fleet.nodes[1:]), RATE // 4, SECONDS, "--path", "/listings")
        remote = fleet.load("remote", fleet.caller_urls(fleet.nodes[:1]), RATE // 4, SECONDS, "--path", "/listings")
        for name, wait in (("direct", direct), ("local", local), ("remote", remote)):
            results[name] = wait()
            print(f"{name}: {results[name]}")
    return {"p50_us": results["remote"]["p50_us"] - results["direct"]["p50_us"],
            "p99_us": results["remote"]["p99_us"] - results["direct"]["p99_us"],
            "one_node_p50_us": results["local"]["p50_us"] - results["direct"]["p50_us"],
            "one_node_p99_us": results["local"]["p99_us"] - results["direct"]["p99_us"],
            "direct_p99_us": results["direct"]["p99_us"]}
