"""Fleets of the sizes that the measures use."""
from fleet import HOST

REGIONS = ("south", "centre", "north")
SERVICES = ("listings", "reservations", "media")
REGION_DELAY_MS = 20
ROUTES = [
    ("listing-pages", "/listings", "listings", {"idempotent": "true", "kind": "interactive", "timeout_ms": 2000}),
    ("reserve", "/reserve", "reservations", {"idempotent": "false", "kind": "patient", "timeout_ms": 10000}),
    ("reservation-list", "/reservations", "reservations", {"idempotent": "true", "timeout_ms": 2000}),
    ("videos", "/media", "media", {"idempotent": "true", "kind": "bulk", "timeout_ms": 30000}),
]
PLAIN_SERVICES = [(name, "1.0", None) for name in SERVICES]


def six_data_centres(fleet, nodes_per_data_centre=3, delay_ms=REGION_DELAY_MS, remote_log=True):
    """Three regions of two data centres; links delay what crosses regions.

    Each node advertises a delayed address to other regions, and nodes outside
    the central region reach the log through a delayed link.
    """
    for region_number, region in enumerate(REGIONS):
        for number in (1, 2):
            for index in range(nodes_per_data_centre):
                name = f"{region}{number}-{index}"
                fleet.add_node(name, f"{region}-{number}", region)
        if remote_log and region_number != 1:
            port = add_link(fleet, f"log-{region}", fleet.log_port, delay_ms)
            for node in fleet.nodes:
                if node.region == region:
                    node.log_port = port
    for node in fleet.nodes:
        node.external_control = add_link(fleet, f"control-{node.name}", node.control, delay_ms)
    return fleet.nodes


def separate_nodes(fleet, count):
    """Baseline: every node is alone in its region and reads the log itself."""
    for index in range(count):
        fleet.add_node(f"alone-{index}", f"alone-{index}", f"alone-{index}")
    return fleet.nodes


def add_link(fleet, name, to_port, delay_ms):
    port, control = fleet.ports.take(), fleet.ports.take()
    fleet.spawn(f"link-{name}", "fv-link", "--listen", f"{HOST}:{port}", "--to", f"{HOST}:{to_port}",
                "--delay-ms", str(delay_ms), "--control", str(control))
    fleet.links = getattr(fleet, "links", {})
    fleet.links[name] = control
    return port


def one_data_centre(fleet, nodes):
    for index in range(nodes):
        fleet.add_node(f"n{index}", "dc-1", "r-1")
    return fleet.nodes


def many_services(count, changed=None, generation=0):
    """A sheet of `count` services with a route each; `changed` has a new timeout."""
    services = [(f"service-{i:03d}", "1.0", None) for i in range(count)]
    routes = []
    for i in range(count):
        timeout = 2000 + (generation if i == changed else 0)
        routes.append((f"route-{i:03d}", f"/service-{i:03d}", f"service-{i:03d}", {"timeout_ms": timeout}))
    return services, routes
