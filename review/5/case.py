"""An instance leaves while bookings wait in the queue of its node."""
import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import standins as st

HOSTS, SLOTS, WORK_S = 3, 9, 0.9
CLIENTS = 40             # at each machine, one request at a time
TIMEOUT_MS, TARGET_MS = 8000, 5000
DEADLINE_MS = 12000
LITTLE_LONGER_S = 1.5
MARGIN_S = 0.1


async def client(fleet, host, name, stop, ended):
    chance, count = random.Random(name), 0
    while not stop.is_set():
        attempt = f"{name}-{count}"
        count += 1
        status, fields = await fleet.send(host, "POST", "/booking/slot", attempt, DEADLINE_MS,
                                          b"seat")
        ended[attempt] = status
        wait = float(fields.get("retry-after", 0.05)) if status != 200 else 0
        await asyncio.sleep(wait + 0.02 * chance.random())


async def case(record):
    fleet = st.Fleet(["booking"] * HOSTS, record)
    instances = [st.Instance(host, SLOTS, WORK_S, record) for host in fleet.hosts]
    leaving, ended = instances[0], {}
    try:
        await fleet.start()
        for each in instances:
            await each.start()
        fleet.publish(1, {"r-book": st.route("non_idempotent", "booking", TIMEOUT_MS, TARGET_MS)})
        await fleet.until_ready()
        stop = asyncio.Event()
        clients = [asyncio.create_task(client(fleet, host, f"c{host.number}-{n}", stop, ended))
                   for host in fleet.hosts for n in range(CLIENTS)]
        await asyncio.sleep(12)
        acknowledged = None
        if st.trouble():
            leaving.beating.cancel()
            leaving.state = "draining"
            await leaving.announce()
            acknowledged = time.monotonic()
            record(f"instance {leaving.id} draining, acknowledged")
            leaving.beating = asyncio.create_task(leaving.beat())
            await asyncio.sleep(st.DRAIN_S + LITTLE_LONGER_S)
            await leaving.deregister()
            await leaving.exit()
        await asyncio.sleep(6)
        stop.set()
        await asyncio.gather(*clients)
    finally:
        await fleet.end()
    late = []
    if acknowledged is not None:
        late = [(at, attempt) for at, attempt, _ in leaving.runs
                if at > acknowledged + st.DRAIN_S + MARGIN_S]
    lost = [attempt for _, attempt in late if ended.get(attempt) != 200]
    for at, attempt in late:
        record(f"{attempt} reached {leaving.id} {at - acknowledged:.2f} s after the "
               f"acknowledgement, answered {ended.get(attempt)}")
    record(f"runs later than drain after the acknowledgement={len(late)}, of these without the "
           f"instance's answer={len(lost)}")
    print(f"late={len(late)} lost={len(lost)}")
    return len(late) > 0


st.main(case, pathlib.Path(__file__).resolve().parent)
