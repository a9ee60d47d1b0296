"""Starts the stand-ins and a fleet of nodes on loopback and stops them again.

Used by scripts/demo and scripts/measure. Every process started here is ended
by its process id when the fleet closes.
"""
import datetime
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
FIRST_PORT = 21000
SHARED_KEY = "loopback-fleet-key"


class Ports:
    """Hands out ports that can be bound right now."""

    def __init__(self, first=FIRST_PORT):
        self.next = first

    def take(self):
        while True:
            self.next += 1
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, self.next))
                    return self.next
                except OSError:
                    continue


def http_call(port, method, path, body=None, timeout=2.0, headers=None):
    """One HTTP exchange on loopback; returns (status, body) or (0, b"")."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        reply = connection.getresponse()
        return reply.status, reply.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class Node:
    """Settings and process of one filbertvaned."""

    def __init__(self, fleet, name, data_centre, region):
        self.fleet, self.name = fleet, name
        self.data_centre, self.region = data_centre, region
        self.callers, self.peers, self.control, self.admin = (fleet.ports.take() for _ in range(4))
        self.external_control = self.control
        self.log_port = fleet.log_port
        self.process = None
        self.targets = []

    def write_settings(self, seeds):
        lines = [
            f"node: {{id: {self.name}, data_centre: {self.data_centre}, region: {self.region}}}",
            "listen:",
            f"  callers: {HOST}:{self.callers}",
            f"  peers: {HOST}:{self.peers}",
            f"  control: {HOST}:{self.control}",
            f"  admin: {HOST}:{self.admin}",
        ]
        if self.external_control != self.control:
            lines.append(f"advertise: {{other_regions: '{HOST}:{self.external_control}'}}")
        lines += [f"log: {{url: 'http://{HOST}:{self.log_port}', retention_s: 600}}", "seeds:"]
        for seed in seeds:
            port = seed.control if seed.region == self.region else seed.external_control
            lines.append(f"  - {{data_centre: {seed.data_centre}, region: {seed.region}, control: {HOST}:{port}}}")
        lines.append(f"shared_key: {SHARED_KEY}")
        self.settings = self.fleet.folder / f"{self.name}.yaml"
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self):
        self.process = self.fleet.spawn(self.name, "filbertvaned", "--settings", str(self.settings))

    def kill(self, sig=signal.SIGKILL):
        self.fleet.stop(self.process, sig)

    def status(self, timeout=2.0):
        code, body = http_call(self.admin, "GET", "/status", timeout=timeout)
        return json.loads(body) if code == 200 else {}


class Target:
    """One fv-target beside its node."""

    def __init__(self, fleet, node, service, version, slots, options=()):
        self.fleet, self.node, self.port = fleet, node, fleet.ports.take()
        self.service, self.version, self.slots, self.options = service, version, slots, list(options)
        self.process = None
        node.targets.append(self)

    def start(self):
        name = f"target-{self.node.name}-{self.service}-{self.version}-{self.port}"
        self.process = self.fleet.spawn(
            name, "fv-target", "--port", str(self.port), "--admin", f"{HOST}:{self.node.admin}",
            "--service", self.service, "--version", self.version, "--slots", str(self.slots), *self.options)

    def kill(self, sig=signal.SIGKILL):
        self.fleet.stop(self.process, sig)

    def executions(self):
        code, body = http_call(self.port, "GET", "/executions")
        return json.loads(body) if code == 200 else {}


class Fleet:
    """Log, nodes, targets and links; a context manager that ends them all."""

    def __init__(self, build="build", quiet=True):
        self.build = ROOT / build
        self.ports = Ports()
        self.quiet = quiet
        self.processes = []
        self.nodes = []
        self.targets = []
        self.temporary = tempfile.TemporaryDirectory(prefix="filbertvane-")
        self.folder = pathlib.Path(self.temporary.name)
        self.log_port = self.ports.take()
        self.log = None
        self.sheet_number = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.temporary.cleanup()

    # --- processes ---

    def spawn(self, name, program, *arguments):
        output = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen([str(self.build / program), *arguments], stdin=subprocess.DEVNULL,
                                   stdout=output, stderr=output)
        output.close()
        self.processes.append(process)
        return process

    @staticmethod
    def stop(process, sig=signal.SIGKILL, timeout=30):
        if process and process.poll() is None:
            process.send_signal(sig)
            process.wait(timeout)

    def start_log(self, *options):
        self.log = self.spawn("log", "fv-log", "--port", str(self.log_port), *options)
        self.wait_for(lambda: http_call(self.log_port, "GET", "/stats")[0] == 200, 5, "the platform log")

    def add_node(self, name, data_centre, region):
        node = Node(self, name, data_centre, region)
        self.nodes.append(node)
        return node

    def add_target(self, node, service, version, slots=18, options=()):
        target = Target(self, node, service, version, slots, options)
        self.targets.append(target)
        return target

    def start_nodes(self, seeds_per_data_centre=2):
        """Writes the settings and starts all nodes at once."""
        seeds, count = [], {}
        for node in self.nodes:
            count[node.data_centre] = count.get(node.data_centre, 0) + 1
            if count[node.data_centre] <= seeds_per_data_centre:
                seeds.append(node)
        for node in self.nodes:
            node.write_settings(seeds)
        for node in self.nodes:
            node.start()

    def start_targets(self):
        for target in self.targets:
            target.start()

    # --- waiting and reading ---

    @staticmethod
    def wait_for(condition, timeout, what, period=0.05):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if condition():
                return time.monotonic()
            time.sleep(period)
        raise TimeoutError(f"{what} not seen within {timeout} s")

    def wait_ready(self, timeout=20):
        return self.wait_for(lambda: all(n.status().get("ready") for n in self.nodes), timeout, "readiness of all nodes")

    def wait_version(self, version, timeout, nodes=None):
        nodes = nodes or self.nodes
        return self.wait_for(lambda: all(n.status().get("version", -1) >= version for n in nodes),
                             timeout, f"version {version} on all nodes", 0.01)

    # --- sheets ---

    def filbertvane(self, *arguments, settings=None, timeout=30):
        settings = settings or self.nodes[0].settings
        command = [str(self.build / "filbertvane"), arguments[0], "--settings", str(settings), *arguments[1:]]
        done = subprocess.run(command, capture_output=True, text=True, timeout=timeout)
        return done.returncode, done.stdout + done.stderr

    def report(self):
        code, text = self.filbertvane("report", "--json")
        return json.loads(text) if code == 0 else {}

    def write_sheet(self, base, services, routes):
        """services: (name, version, move or None); move: (to, seconds from now)."""
        lines = [f"base: {base}", "services:"]
        for name, version, move in services:
            lines += [f"  - name: {name}", f'    version: "{version}"']
            if move:
                by = datetime.datetime.now(datetime.timezone.utc) + datetime.timedelta(seconds=move[1])
                lines.append(f'    move: {{to: "{move[0]}", by: "{by.strftime("%Y-%m-%dT%H:%M:%SZ")}"}}')
        lines.append("routes:")
        for name, prefix, service, extra in routes:
            fields = "".join(f", {key}: {value}" for key, value in extra.items())
            lines.append(f"  - {{name: {name}, prefix: {prefix}, service: {service}{fields}}}")
        self.sheet_number += 1
        path = self.folder / f"sheet-{self.sheet_number}.yaml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def publish(self, base, services, routes):
        code, text = self.filbertvane("publish", str(self.write_sheet(base, services, routes)))
        if code != 0:
            raise RuntimeError(f"publish failed with {code}: {text}")
        return text

    def log_faults(self, **faults):
        http_call(self.log_port, "POST", "/faults", json.dumps(faults))

    def load(self, name, urls, rate, seconds, *options):
        """Starts a load generator; returns a function that waits for its result."""
        output = self.folder / f"load-{name}.json"
        arguments = [item for url in urls for item in ("--url", url)]
        with open(output, "wb") as sink:
            process = subprocess.Popen(
                [str(self.build / "fv-load"), *arguments, "--rate", str(rate), "--seconds", str(seconds), *options],
                stdin=subprocess.DEVNULL, stdout=sink, stderr=subprocess.DEVNULL)
        self.processes.append(process)

        def result():
            process.wait(seconds + 60)
            return json.loads(output.read_text().strip().splitlines()[-1])

        return result

    def caller_urls(self, nodes=None):
        return [f"http://{HOST}:{n.callers}" for n in (nodes or self.nodes)]


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0
