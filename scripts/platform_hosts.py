#!/usr/bin/env python3
"""Writes settings files of nodes on the platform's stand-in, one host an
address of 127.0.0.0/8, and a configuration for them.

usage: platform_hosts.py FOLDER HOSTS STORE[,STORE...] [NET]
Hosts take the addresses of the store in turn; NET is the first half of their own
addresses (127.0 unless given).
"""
import json
import pathlib
import sys

SERVICES = ["directory", "booking", "media"]
ZONES = {"a1": "r1", "a2": "r1", "b1": "r2", "b2": "r2", "c1": "r3", "c2": "r3"}


def settings(number, store, net):
    ip = f"{net}.{1 + number // 200}.{1 + number % 200}"
    zone = list(ZONES)[number // len(SERVICES) % len(ZONES)]
    return "\n".join([
        f"node_id=side-{zone}-{number}", f"zone={zone}", f"region={ZONES[zone]}", f"ip={ip}",
        f"listen.outbound={ip}:8304", f"listen.inbound={ip}:8300", f"listen.ready={ip}:8302",
        f"listen.control={ip}:8306", "internal_ports=7620,7635", f"app_addr={ip}:8301",
        f"service={SERVICES[number % len(SERVICES)]}",
        "bounds.retry_budget_ratio=0.2", "bounds.budget_slack=64", "bounds.budget_window=10s",
        "bounds.grace=6s", "limits.max_fds=4100", f"platform.address={store}", ""])


def route(kind, service, priority):
    return {"host": "demo.example", "path_prefix": f"/{service}/", "route_type": kind,
            "timeout": "1200ms", "target_latency": "600ms", "priority": priority,
            "service": service, "max_attempts": 2}


def configuration():
    return {"version": 1,
            "routes": {"list": route("idempotent", "directory", 2),
                       "book": route("non_idempotent", "booking", 1),
                       "load": route("download", "media", 2)},
            "services": {name: {} for name in SERVICES},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout": "3000ms", "idle_timeout": "15000ms"},
            "base_version": 0}


def main():
    folder, hosts, stores = pathlib.Path(sys.argv[1]), int(sys.argv[2]), sys.argv[3].split(",")
    net = sys.argv[4] if len(sys.argv) > 4 else "127.0"
    folder.mkdir(parents=True, exist_ok=True)
    for number in range(hosts):
        store = stores[number % len(stores)]
        (folder / f"host-{number}.conf").write_text(settings(number, store, net))
    (folder / "config.json").write_text(json.dumps(configuration()))


main()
