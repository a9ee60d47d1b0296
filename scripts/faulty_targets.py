"""Targets of the platform's stand-in that answer wrongly in a seeded way.

A Targets object plays any number of instances on one event loop. The signature
and every line of a body name the target, the run and the status, so that the
answer of a caller proves which run made it. Each connection keeps at most
MOST_EARLIER answers, and a body has at most MOST_BYTES.
"""
import asyncio
import json
import random
import time
import zlib

MOST_BYTES = 192 * 1024
MOST_EARLIER = 4       # answers kept for copies on each connection
EARLY_COPY_S = 0.03
LATEST_COPY_S = 0.4    # time after an answer within which its copy is sent
SLOTS = 18
WAIT_S = 5.0           # bound of each wait for the other end

# Weights of what a target does with a request. "copy" is a late copy of the
# answer, "earlier" one of an answer that the connection carried before.
KINDS = {"full": 24, "failure": 6, "failure-copy": 6, "shed": 5, "shed-copy": 5, "copy": 10,
         "copy-pieces": 5, "copies": 3, "earlier": 5, "cut-close": 4, "cut-open-copy": 3,
         "unframed": 4, "unframed-copy": 3, "chunked": 6, "chunked-copy": 3, "chunked-cut": 2,
         "chunked-cut-copy": 3, "silent-close": 2, "idle-close": 4, "last": 4}
COPIES = ["copy", "copy-pieces"]  # of the mode with copies only


def signed_body(signature, size):
    """The body of a run; its lines are numbered, so no part stands for another."""
    line = len(signature) + 9
    text = "".join(f"{signature}:{number:07d}\n" for number in range(size // line + 1))
    return text.encode()[:size]


def chunked(body):
    parts = [body[at:at + 5000] for at in range(0, len(body), 5000)]
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


async def read_message(reader):
    """The first line, headers and body of a message; no length is no body here."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in
              (line.partition(":") for line in head[1:] if line)}
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readline()
        body = b"".join(parts)
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return head[0], fields, body


class Run:
    """One arrival of a request at a target; it counts as run unless it was shed."""

    def __init__(self, target, number, kind, status, size):
        self.signature = f"{target}.{number}.{status}"
        self.kind, self.status, self.size = kind, status, size
        self.ran = not kind.startswith("shed")
        self.begun = time.monotonic()

    def head(self, request_id, framing):
        proof = f"X-Response-Signature: {self.signature}" if self.ran else "X-Not-Executed: 1"
        return (f"HTTP/1.1 {self.status} Text\r\nX-Attempt-Id: {request_id}\r\n{proof}\r\n"
                f"{framing}\r\n").encode()


class Targets:
    """The targets, what they ran, and what they were sent in another form."""

    def __init__(self, seed, copies, refusing, without):
        self.seed, self.copies, self.refusing = seed, copies, refusing
        self.kinds = {kind: weight for kind, weight in KINDS.items() if kind not in without}
        self.faulty = False
        self.runs = {}      # request id -> its arrivals at targets
        self.changed = []   # requests whose body or method is not the caller's
        self.counts = {}    # kind -> times
        self.running = {}
        self.number = 0
        self.servers, self.tasks = [], set()

    async def open(self, settings):
        words = dict(line.split("=", 1) for line in settings.read_text().splitlines() if line)
        name, (ip, port) = f"i-{words['node_id']}", words["app_addr"].split(":")
        self.running[name] = 0
        self.servers.append(await asyncio.start_server(
            lambda reader, writer: self.serve(name, reader, writer), ip, int(port),
            limit=1 << 20))
        self.spawn(self.announce(name, words))

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def close(self):
        for task in list(self.tasks):
            task.cancel()
        for server in self.servers:
            server.close()

    async def announce(self, name, words):
        born, sequence = int(time.time() * 1000), 0
        while True:
            sequence += 1
            state = {"service": words["service"], "address": words["app_addr"],
                     "zone": words["zone"], "version": "v1", "slots": SLOTS, "state": "ready",
                     "cold_left": "0ms", "born": born, "sequence": sequence}
            text = json.dumps(state)
            try:
                ip, port = words["listen.control"].split(":")
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(f"POST /v1/instances/{name}/heartbeat HTTP/1.1\r\nHost: control\r\n"
                             f"Content-Type: application/json\r\nConnection: close\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n{text}".encode())
                await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                await asyncio.sleep(1)
            except (OSError, EOFError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)

    async def serve(self, name, reader, writer):
        lock, earlier = asyncio.Lock(), []
        try:
            goes_on = True
            while goes_on:
                first, fields, body = await read_message(reader)
                goes_on = await self.take(name, writer, lock, earlier, first, fields, body)
        except (OSError, EOFError, ValueError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()

    def choose(self, chance):
        if not self.faulty:
            return "full"
        if self.refusing is not None:
            return "shed" if chance.random() < self.refusing else "full"
        if self.copies is not None:
            return chance.choice(COPIES) if chance.random() < self.copies else "full"
        return chance.choices(list(self.kinds), list(self.kinds.values()))[0]

    async def take(self, name, writer, lock, earlier, first, fields, body):
        """Answers a request; returns whether the connection takes another."""
        request_id = fields.get("x-attempt-id", "")
        if fields.get("x-expected-instance") != name:
            writer.write(f"HTTP/1.1 421 Text\r\nX-Instance-Id: {name}\r\n"
                         f"X-Attempt-Id: {request_id}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.number += 1
        chance = random.Random(f"{self.seed}-{name}-{self.number}")
        kind = self.choose(chance)
        if self.running[name] >= SLOTS:
            kind = "shed"
        self.counts[kind] = self.counts.get(kind, 0) + 1
        status = {"failure": 500, "shed": 503}.get(kind.split("-")[0], 200)
        size = chance.randrange(300) if status != 200 else chance.randrange(2000)
        if request_id.startswith("d") and status == 200:
            size = chance.randrange(4000, MOST_BYTES)
        run = Run(name, self.number, kind, status, size)
        self.runs.setdefault(request_id, []).append(run)
        post = request_id.startswith("b")
        if not first.startswith("POST" if post else "GET") or body != sent_body(request_id, post):
            self.changed.append(request_id)
        if run.ran:
            self.running[name] += 1
            await asyncio.sleep(chance.uniform(0, 0.03))
            self.running[name] -= 1
        return await self.answer(writer, lock, earlier, run, request_id, chance)

    async def answer(self, writer, lock, earlier, run, request_id, chance):
        content, kind = signed_body(run.signature, run.size), run.kind
        framing = f"Content-Length: {len(content)}\r\n"
        if kind.startswith("chunked"):
            framing, content = "Transfer-Encoding: chunked\r\n", chunked(content)
        elif kind.startswith("unframed"):
            framing = "Connection: close\r\n" if chance.random() < 0.5 else ""
        elif kind == "last":
            framing += "Connection: close\r\n"
        head = run.head(request_id, framing)
        whole = head + content
        if kind == "silent-close":
            return False
        sent = whole
        if "cut" in kind:
            sent = whole[:len(head) + int(len(content) * chance.random())]
        await self.write(writer, lock, [sent])
        if kind == "unframed-copy":
            await asyncio.sleep(chance.uniform(0, 0.1))
            await self.write(writer, lock, [whole])
        if kind in ("last", "cut-close", "chunked-cut") or kind.startswith("unframed"):
            return False
        if kind == "idle-close":
            # A request that comes meanwhile is lost with its connection.
            self.spawn(self.close_later(writer, chance.uniform(0, 1)))
        copies = []
        if kind == "earlier" and earlier:
            copies = [chance.choice(earlier)]
        elif "cop" in kind:
            copies = [whole] * (2 if kind == "copies" else 1)
        for copy in copies:
            at = chance.randrange(1, len(copy))
            pieces = [copy[:at], copy[at:]] if kind == "copy-pieces" else [copy]
            # Half of the copies come early enough to meet a repeat of their request.
            latest = chance.choice([EARLY_COPY_S, LATEST_COPY_S])
            self.spawn(self.write_later(writer, lock, pieces, chance.uniform(0, latest)))
        earlier.append(whole)
        del earlier[:-MOST_EARLIER]
        return True

    async def write(self, writer, lock, pieces):
        """Writes a message; none begins amid another one."""
        async with lock:
            for number, piece in enumerate(pieces):
                if number > 0:
                    await asyncio.sleep(0.03)
                writer.write(piece)
                await asyncio.wait_for(writer.drain(), WAIT_S)

    async def write_later(self, writer, lock, pieces, delay):
        await asyncio.sleep(delay)
        try:
            if not writer.is_closing():
                await self.write(writer, lock, pieces)
        except (OSError, asyncio.TimeoutError):
            pass

    async def close_later(self, writer, delay):
        await asyncio.sleep(delay)
        writer.close()


def sent_body(request_id, post):
    """The body with which a caller sends a request."""
    return (request_id.encode() + b"\n") * (zlib.crc32(request_id.encode()) % 200) if post else b""
