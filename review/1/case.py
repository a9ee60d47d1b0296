"""A request crashes each instance that runs it and comes again once a second."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import standins as st

POISON = "/listing/poison"
COMES_AGAIN_S = 1.0
TIMES = 30
ALLOWED_RETRIES = 3     # RULES.md: "in more than three retries"
CRASHES_BEFORE = 3      # "after it has crashed the third"
MARGIN_S = 0.3          # time between the node's sending and the instance's run


async def ordinary(fleet, stop, lost):
    """Bookings at each machine in turn, 10 a second."""
    count = 0
    tasks = []

    async def one(number):
        host = fleet.hosts[number % len(fleet.hosts)]
        status, _ = await fleet.send(host, "POST", "/booking/b", f"booking-{number}", 1200, b"seat")
        if status not in (200, 503):
            lost.append((f"booking-{number}", status))

    while not stop.is_set():
        tasks.append(asyncio.create_task(one(count)))
        count += 1
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    return count


async def case(record):
    fleet = st.Fleet(["directory"] * 6, record)
    instances = [st.Instance(host, 18, 0.1, record) for host in fleet.hosts]
    crashes, poison_runs = [], []
    for each in instances:
        each.crashes_on = lambda path: st.trouble() and path == POISON
        each.on_crash = lambda instance: crashes.append(time.monotonic())
        each.on_run = lambda instance, path, attempt: (
            poison_runs.append((time.monotonic(), attempt)) if path == POISON else None)
    try:
        await fleet.start()
        for each in instances:
            await each.start()
        fleet.publish(1, {
            "r-list": {**st.route("idempotent", "directory", 1200, 600), "path_prefix": "/listing/"},
            "r-book": {**st.route("non_idempotent", "directory", 1200, 600),
                       "path_prefix": "/booking/"}})
        await fleet.until_ready()
        await asyncio.sleep(st.STABLE_WINDOW_S + 1)
        stop, lost = asyncio.Event(), []
        traffic = asyncio.create_task(ordinary(fleet, stop, lost))
        sent = []
        for number in range(TIMES):
            sent.append(asyncio.create_task(fleet.send(
                fleet.hosts[number % len(fleet.hosts)], "GET", POISON, f"poison-{number}", 1200)))
            await asyncio.sleep(COMES_AGAIN_S)
        await asyncio.gather(*sent)
        stop.set()
        bookings = await traffic
    finally:
        await fleet.end()
    late = set()
    if len(crashes) >= CRASHES_BEFORE:
        bound = crashes[CRASHES_BEFORE - 1] + st.STABLE_WINDOW_S + MARGIN_S
        late = {attempt for at, attempt in poison_runs if at > bound}
    record(f"crashes={len(crashes)} retries that reached an instance later than 3 s after the "
           f"third crash={len(late)} allowed={ALLOWED_RETRIES}")
    record(f"ordinary bookings={bookings} without an answer or with an unknown outcome={len(lost)}")
    print(f"crashes={len(crashes)} late retries={len(late)} bookings={bookings} lost={len(lost)}")
    return len(late) > ALLOWED_RETRIES


st.main(case, pathlib.Path(__file__).resolve().parent)
