"""Machines are stopped in turn by SIGTERM while the bookings queue."""
import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import standins as st

HOSTS, SLOTS, WORK_S = 3, 9, 1.5
CLIENTS = 40             # at each machine, one request at a time
TIMEOUT_MS, TARGET_MS = 10000, 8000
DEADLINE_MS = 12000
LOSS_SLACK_S = 0.2


class Readiness:
    """Two questions in a row without a 200 take a machine out."""

    def __init__(self, fleet):
        self.fleet, self.misses = fleet, {host.number: 0 for host in fleet.hosts}

    def takes(self, host):
        return self.misses[host.number] < 2

    async def watch(self):
        while True:
            for host in self.fleet.hosts:
                good = await self.fleet.is_ready(host)
                self.misses[host.number] = 0 if good else self.misses[host.number] + 1
            await asyncio.sleep(1.0)


async def client(fleet, host, name, ready, stop, lost):
    chance, count = random.Random(name), 0
    while not stop.is_set():
        if not ready.takes(host):
            await asyncio.sleep(0.1)
            continue
        attempt = f"{name}-{count}"
        count += 1
        began = time.monotonic()
        status, fields = await fleet.send(host, "POST", "/booking/slot", attempt, DEADLINE_MS,
                                          b"seat")
        if status in (0, -1):
            lost.append((host.number, attempt, began, time.monotonic()))
        wait = float(fields.get("retry-after", 0.05)) if status != 200 else 0
        await asyncio.sleep(wait + 0.02 * chance.random())


async def case(record):
    fleet = st.Fleet(["booking"] * HOSTS, record)
    instances = [st.Instance(host, SLOTS, WORK_S, record) for host in fleet.hosts]
    at_work = {}   # attempt: when it ran
    for each in instances:
        each.on_run = lambda instance, path, attempt: at_work.setdefault(attempt, time.monotonic())
    stops = {}     # host: (SIGTERM, exit)
    lost = []
    try:
        await fleet.start()
        for each in instances:
            await each.start()
        fleet.publish(1, {"r-book": st.route("non_idempotent", "booking", TIMEOUT_MS, TARGET_MS)})
        await fleet.until_ready()
        ready, stop = Readiness(fleet), asyncio.Event()
        watch = asyncio.create_task(ready.watch())
        clients = [asyncio.create_task(client(fleet, host, f"c{host.number}-{n}", ready, stop, lost))
                   for host in fleet.hosts for n in range(CLIENTS)]
        await asyncio.sleep(10)
        for host in fleet.hosts:
            if st.trouble():
                began = time.monotonic()
                host.process.send_signal(signal.SIGTERM)
                record(f"node {host.node_id} SIGTERM")
                try:
                    await asyncio.wait_for(host.process.wait(), st.GRACE_S)
                except asyncio.TimeoutError:
                    host.process.kill()
                    await host.process.wait()
                stops[host.number] = (began, time.monotonic())
                record(f"node {host.node_id} ended {time.monotonic() - began:.2f} s after SIGTERM")
                await fleet.start_node(host, first=False)
            await asyncio.sleep(9)
        stop.set()
        await asyncio.gather(*clients)
        watch.cancel()
    finally:
        await fleet.end()
    broken = 0
    for number, attempt, began, ended in lost:
        if number not in stops:
            record(f"lost {attempt} without a SIGTERM of its machine")
            continue
        term, end = stops[number]
        if not term <= ended <= term + st.GRACE_S + 1:
            continue
        ran = at_work.get(attempt)
        if ended - began >= TIMEOUT_MS / 1000 - 0.1:
            reason = "the route's timeout was reached"
        elif ran is not None and ran + WORK_S > term + st.GRACE_S * 5 / 6 and began <= term + 3:
            reason = "its instance was at work in the last sixth of grace"
        elif ran is None and ended - began <= LOSS_SLACK_S:
            reason = "within loss_slack"
        else:
            reason = ""
        record(f"lost {attempt} sent {began - term:+.2f} s ended {ended - term:+.2f} s after "
               f"SIGTERM, run: {'no' if ran is None else f'{ran - term:+.2f}'}, "
               f"excused: {reason or 'no'}")
        broken += not reason
    record(f"requests without an answer={len(lost)} not excused={broken}")
    print(f"without an answer={len(lost)} not excused={broken}")
    return broken > 0


st.main(case, pathlib.Path(__file__).resolve().parent)
