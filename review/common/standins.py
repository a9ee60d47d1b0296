"""Stand-ins of the platform for the scripts of this review: store, instances,
clients, and the processes of a small fleet on loopback addresses.

All of them follow the pages of the platform: the log with keyed topics, an
instance that serves one request at a time on a connection and announces itself
every 1.5 s, and a client that sends one request on a new connection. Python's
standard library only.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "filbertvane-meshd"  # as in deploy/system.toml
PORTS = {"inbound": 8300, "outbound": 8304, "ready": 8302, "control": 8306}
APP_PORT, INTERNAL_PORT, METRICS_PORT, STORE_PORT = 8301, 7620, 9464, 8309
ZONES = {"a1": "r1", "a2": "r1", "b1": "r2"}
HEARTBEAT_S = 1.5
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.5
GRACE_S = 6.0
LONGEST_S = 110  # of one case


class CannotRun(Exception):
    """The case cannot run on this machine; exit code 2."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# --- store ---------------------------------------------------------------


class Topic:
    def __init__(self):
        self.records, self.newest, self.end, self.first = [], {}, 0, 0


class Store:
    """The platform's store. `mode` is `sound`, `busy` (503, nothing done) or
    `silent` (no response, nothing done; a connection on which a response was lost
    returns nothing further)."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.topics, self.mode = {}, "sound"
        self.changed = asyncio.Event()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, STORE_PORT)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        topic = self.topic(name)
        entry = (topic.end, key, value)
        topic.records.append(entry)
        topic.newest[key] = entry
        topic.end += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return entry[0]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, fields = head
                body = await read_body(reader, fields)
                status, answer = await self.answer(target, body)
                if status is None:
                    await asyncio.sleep(3600)
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, target, body):
        await asyncio.sleep(0.004)
        if self.mode == "busy":
            return 503, b""
        if self.mode == "silent":
            return None, b""
        path, _, query = target.partition("?")
        words = dict(urllib.parse.parse_qsl(query))
        if path == "/v1/log-append":
            return self.append(words, body)
        if path == "/v1/log-read":
            return await self.read(words)
        if path == "/v1/log-newest":
            return self.newest(words)
        return 404, b""

    def append(self, words, body):
        topic = self.topic(words["topic"])
        if "at" in words and int(words["at"]) != topic.end:
            return 412, json.dumps({"end": topic.end}).encode()
        first = topic.end
        while body:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4:4 + size], body[4 + size:]
            length = content[0]
            self.put(words["topic"], content[1:1 + length].decode(), content[1 + length:])
        return 200, json.dumps({"offset": first, "end": topic.end}).encode()

    async def read(self, words):
        topic, offset = self.topic(words["topic"]), int(words["from"])
        until = time.monotonic() + int(words.get("wait_ms", 0)) / 1000
        while offset >= topic.end and time.monotonic() < until and self.mode == "sound":
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        if self.mode == "busy":
            return 503, b""
        if self.mode == "silent":
            return None, b""
        out = struct.pack(">QQ", topic.end, topic.first)
        for number, key, value in topic.records:
            if number >= offset:
                content = bytes([len(key)]) + key.encode() + value
                out += struct.pack(">I", len(content)) + content
        return 200, out

    def set_mode(self, mode):
        self.mode = mode
        self.record(f"store {mode}")
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def newest(self, words):
        topic = self.topic(words["topic"])
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": number}
                 for number, key, value in sorted(topic.newest.values(), key=lambda e: e[1])]
        return 200, json.dumps({"items": items, "more": False, "end": topic.end}).encode()


# --- HTTP ----------------------------------------------------------------


async def read_head(reader):
    """Method or version, target or status, and headers; none at the end."""
    try:
        line = await reader.readuntil(b"\r\n")
    except asyncio.IncompleteReadError as end:
        if not end.partial:
            return None
        raise
    words = line.decode("latin-1").split(" ", 2)
    fields = {}
    while True:
        line = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
        if not line:
            return words[0], words[1], fields
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        out = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            out += await reader.readexactly(size)
            await reader.readuntil(b"\r\n")
            if size == 0:
                return out
    return await reader.readexactly(int(fields.get("content-length", 0)))


# --- instance ------------------------------------------------------------


class Instance:
    """An application instance beside a node."""

    def __init__(self, host, slots, work_s, record, queue=None):
        self.host, self.slots, self.work_s, self.record = host, slots, work_s, record
        self.queue = slots * 4 if queue is None else queue
        self.incarnation, self.sequence, self.state = 0, 0, "ready"
        self.server, self.beating = None, None
        self.connections, self.tasks = set(), set()
        self.running, self.waiting = 0, 0
        self.free = None
        self.acknowledged_leave_at = None
        self.crashes_on = lambda path: False
        self.on_run = lambda instance, path, attempt: None
        self.on_crash = lambda instance: None
        self.back_after_s = 3.0
        self.runs = []

    @property
    def id(self):
        return f"i-{self.host.node_id}-{self.incarnation}"

    async def start(self):
        self.incarnation += 1
        self.sequence, self.state, self.running, self.waiting = 0, "ready", 0, 0
        self.born = int(time.time() * 1000)
        self.free = asyncio.Condition()
        self.server = await asyncio.start_server(self.serve, self.host.ip, APP_PORT)
        self.record(f"instance {self.id} started")
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def announce(self):
        self.sequence += 1
        await self.say("heartbeat", {
            "service": self.host.service, "address": f"{self.host.ip}:{APP_PORT}",
            "zone": self.host.zone, "version": "v1", "slots": self.slots, "state": self.state,
            "cold_left": "0ms", "sequence": self.sequence, "born": self.born})

    async def say(self, call, content):
        body = json.dumps(content).encode()
        head = (f"POST /v1/instances/{self.id}/{call} HTTP/1.1\r\nHost: control\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n")
        status, _, _ = await exchange(self.host.ip, PORTS["control"], head.encode() + body, 1.0)
        return status == 200

    async def deregister(self):
        """Leaves without a `draining` announcement; goes on serving."""
        self.beating.cancel()
        if await self.say("deregister", {"born": self.born}):
            self.acknowledged_leave_at = time.monotonic()
            self.record(f"instance {self.id} deregistered, acknowledged")
            return True
        self.record(f"instance {self.id} deregister not acknowledged")
        return False

    async def exit(self):
        self.beating.cancel()
        self.close(reset=False)
        self.record(f"instance {self.id} exited")

    def close(self, reset):
        self.server.close()
        for writer in list(self.connections):
            if reset:
                try:
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                except (OSError, AttributeError):
                    continue  # already closed
                writer.transport.abort()
            else:
                writer.close()
        current = asyncio.current_task()
        for task in list(self.tasks):
            if task is not current:
                task.cancel()

    def crash(self):
        self.beating.cancel()
        self.close(reset=True)
        self.record(f"instance {self.id} crashed")
        self.on_crash(self)
        asyncio.get_running_loop().call_later(
            self.back_after_s, lambda: asyncio.ensure_future(self.start()))

    async def serve(self, reader, writer):
        self.connections.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, path, fields = head
                await read_body(reader, fields)
                if not await self.run(reader, writer, path, fields):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            self.connections.discard(writer)
            writer.close()

    async def run(self, reader, writer, path, fields):
        attempt, me = fields.get("x-attempt-id", ""), self.incarnation
        echo = f"X-Attempt-Id: {attempt}\r\n"

        async def respond(status, more, body=b""):
            writer.write(f"HTTP/1.1 {status} X\r\n{echo}{more}"
                         f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()

        if fields.get("x-expected-instance", self.id) != self.id:
            self.record(f"instance {self.id} 421 {attempt}")
            await respond(421, f"X-Instance-Id: {self.id}\r\n")
            return True
        if path == "/health":
            await respond(200 if self.state == "ready" else 503, f"X-Instance-Id: {self.id}\r\n")
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record(f"instance {self.id} full {attempt}")
            await respond(503, "X-Not-Executed: 1\r\n")
            return True
        deadline = time.monotonic() + int(fields.get("x-deadline-ms", 60000)) / 1000
        async with self.free:
            self.waiting += 1
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            if time.monotonic() >= deadline:
                await respond(503, "X-Not-Executed: 1\r\n")
                return True
            self.running += 1
        begun = time.monotonic()
        self.runs.append((begun, attempt, path))
        self.record(f"instance {self.id} runs {attempt} {path}")
        self.on_run(self, path, attempt)
        gone = False
        try:
            if self.crashes_on(path):
                await asyncio.sleep(0.02)
                if me == self.incarnation:
                    self.crash()
                return False
            end = min(begun + self.work_s, deadline)
            # Drops the request when its connection closes.
            while time.monotonic() < end and not gone:
                await asyncio.sleep(min(0.05, max(0.001, end - time.monotonic())))
                gone = reader.at_eof() or writer.transport.is_closing()
        finally:
            if me == self.incarnation:
                self.running -= 1
                async with self.free:
                    self.free.notify_all()
        if gone:
            self.record(f"instance {self.id} dropped {attempt}")
            return False
        if begun + self.work_s > deadline:
            await respond(504, f"X-Response-Signature: {self.id}.504\r\n")
            return True
        self.record(f"instance {self.id} answers {attempt}")
        await respond(200, f"X-Response-Signature: {self.id}.{attempt}\r\n"
                           f"X-Server-Load: {self.running},{self.waiting},{self.slots}\r\n", b"ok")
        return True


# --- client --------------------------------------------------------------


async def exchange(ip, port, sent, time_s):
    """Sends bytes on a new connection and reads one answer.

    Returns the status, headers and body; status 0 when the connection closed
    without a whole answer, -1 when none came in time, -2 when not connected.
    """
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1.0)
    except (OSError, asyncio.TimeoutError):
        return -2, {}, b""
    try:
        writer.write(sent)
        await writer.drain()
        return await asyncio.wait_for(read_answer(reader), time_s)
    except asyncio.TimeoutError:
        return -1, {}, b""
    except (OSError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        writer.close()


async def read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return 0, {}, b""
    _, status, fields = head
    return int(status), fields, await read_body(reader, fields)


def request_bytes(method, path, attempt, deadline_ms, body=b""):
    head = (f"{method} {path} HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\n")
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


# --- fleet ---------------------------------------------------------------


class Host:
    def __init__(self, number, ip, service):
        self.number, self.ip, self.service = number, ip, service
        self.zone = list(ZONES)[number % len(ZONES)]
        self.node_id = f"sidecar-{self.zone}-{number}"
        self.process, self.started_at = None, None


def route(kind, service, timeout_ms, target_ms, priority=1):
    return {"host": "review.example", "path_prefix": f"/{service}/", "route_type": kind,
            "timeout": f"{timeout_ms}ms", "target_latency": f"{target_ms}ms",
            "priority": priority, "service": service, "max_attempts": 2}


def configuration(version, routes):
    services = {each["service"]: {"health_path": "/health", "max_connections": 130,
                                  "protocol": "h1", "tls": False} for each in routes.values()}
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                                  "header_timeout": "3000ms", "idle_timeout": "15000ms"},
                       "base_version": 0}).encode()


class Fleet:
    """Nodes as processes, each on an address of its own."""

    def __init__(self, services, record):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM} is not built")
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="filbertvane-review-"))
        block = self.free_block(len(services) + 1)
        self.store = Store(f"{block}.250", record)
        self.hosts = [Host(n, f"{block}.{n + 1}", service) for n, service in enumerate(services)]

    @staticmethod
    def free_block(hosts):
        """A block of loopback addresses whose ports are free."""
        used = list(PORTS.values()) + [APP_PORT, INTERNAL_PORT, METRICS_PORT, STORE_PORT]
        for _ in range(50):
            block = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            try:
                for last in list(range(1, hosts)) + [250]:
                    for port in used:
                        with socket.socket() as probe:
                            probe.bind((f"{block}.{last}", port))
                return block
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def settings(self, host, first):
        lines = [
            f"node_id={host.node_id}", "role=node", "node_class=sidecar", "serves=sidecar",
            f"ip={host.ip}", f"zone={host.zone}", f"region={ZONES[host.zone]}"]
        lines += [f"zones.{zone}={region}" for zone, region in ZONES.items()]
        lines += [f"listen.{name}={host.ip}:{port}" for name, port in PORTS.items()]
        lines += [
            f"internal_ports={INTERNAL_PORT},7635", "seeds=",
            f"bootstrap={'true' if first else 'false'}", "fault_counted=false",
            "limits.cpu_share=0.2", "limits.cpu_cores=1", "limits.memory_mb=260",
            "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
            "heartbeat=1500ms", "contracts=base,drain,config,cost,retry,recover,rollout,platform",
            "bounds.stable_window=3000ms", "bounds.ack=4000ms", "bounds.drain=2500ms",
            "bounds.grace=6s", "bounds.loss_slack=200ms", "bounds.config_apply=2500ms",
            "bounds.retry_budget_ratio=0.2", "bounds.budget_window=10s", "bounds.budget_slack=64",
            "bounds.recover=15s", f"app_addr={host.ip}:{APP_PORT}", f"service={host.service}",
            f"platform.address={self.store.address}:{STORE_PORT}", "platform.form=log",
            "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.parts=8",
            "platform.append=4ms", "platform.record_bytes=262144", "platform.call_bytes=2097152",
            "platform.keep=300s", ""]
        return "\n".join(lines)

    async def start_node(self, host, first=True):
        path = self.folder / f"{host.node_id}.conf"
        path.write_text(self.settings(host, first), encoding="utf-8")
        log = open(self.folder / f"{host.node_id}.log", "ab")
        host.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), stdout=log, stderr=log, cwd=ROOT,
            env={"FILBERTVANE_CONFIG": str(path), "PATH": os.environ.get("PATH", ""),
                 "HOME": "/tmp", "LANG": "C"})
        log.close()
        host.started_at = time.monotonic()
        self.record(f"node {host.node_id} started")

    async def start(self):
        await self.store.start()
        for host in self.hosts:
            await self.start_node(host)

    def publish(self, version, routes):
        self.store.put("keyed.op", "config", configuration(version, routes))
        self.record(f"operator config version={version}")

    async def is_ready(self, host):
        status, _, _ = await exchange(host.ip, PORTS["ready"],
                                      b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n", 1.0)
        return status == 200

    async def until_ready(self, time_s=15.0):
        until = time.monotonic() + time_s
        for host in self.hosts:
            while not await self.is_ready(host):
                if time.monotonic() > until:
                    raise CannotRun(f"{host.node_id} does not get ready")
                await asyncio.sleep(0.1)
        self.record("all nodes ready")

    async def send(self, host, method, path, attempt, deadline_ms, body=b"", quiet=False):
        began = time.monotonic()
        if not quiet:
            self.record(f"client at {host.node_id} sends {attempt} {method} {path}")
        status, fields, _ = await exchange(
            host.ip, PORTS["outbound"], request_bytes(method, path, attempt, deadline_ms, body),
            deadline_ms / 1000 + 1.0)
        if not quiet:
            what = {0: "closed without an answer", -1: "no answer", -2: "not connected"}
            self.record(f"client at {host.node_id} {attempt} {what.get(status, status)} "
                        f"after_ms={int((time.monotonic() - began) * 1000)}")
        return status, fields

    async def end(self):
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder, file=sys.stderr)


def main(case, folder):
    """Runs a case: exit code 1 when the rule was broken, 0 when it held, 2 when
    the case could not run."""
    record = Record(folder)

    async def whole():
        # The processes are ended also when the script is stopped.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, task.cancel)
        return await asyncio.wait_for(case(record), LONGEST_S)

    try:
        broken = asyncio.run(whole())
    except (Exception, asyncio.CancelledError) as fault:  # only a verdict may exit with 1
        record(f"could not run: {fault!r}")
        print(f"could not run: {fault!r}")
        sys.exit(2)
    verdict = "rule broken" if broken else "rule held"
    record(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
