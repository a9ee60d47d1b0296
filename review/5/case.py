"""A node restarts while the store is down, after it acknowledged that its
instance leaves."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import standins as st

STORE_DOWN_S = 4.5          # `platform_down` of the site, busy: up to 6.34 s
NODE_BACK_S = 0.5
CHANGE_AFTER_S = 1.0        # a change of the configuration after the store's return
SERVES_ON_S = 7.6           # "at times many seconds"
MARGIN_S = 0.1


async def traffic(fleet, stop, unknown):
    """Bookings at each machine, 15 a second each."""
    async def at(host):
        count, tasks = 0, []

        async def one(attempt):
            status, _ = await fleet.send(host, "POST", "/booking/slot", attempt, 1200, b"seat")
            if status in (0, -1, 502, 504):
                unknown.append((attempt, status))

        while not stop.is_set():
            if host.process.returncode is None:
                tasks.append(asyncio.create_task(one(f"b{host.number}-{count}")))
                count += 1
            await asyncio.sleep(1 / 15)
        await asyncio.gather(*tasks)

    await asyncio.gather(*[at(host) for host in fleet.hosts])


async def case(record):
    fleet = st.Fleet(["booking"] * 4, record)
    instances = [st.Instance(host, 18, 0.2, record) for host in fleet.hosts]
    host, leaving = fleet.hosts[0], instances[0]
    unknown = []
    try:
        await fleet.start()
        for each in instances:
            await each.start()
        routes = {"r-book": st.route("non_idempotent", "booking", 1200, 600)}
        fleet.publish(1, routes)
        await fleet.until_ready()
        stop = asyncio.Event()
        load = asyncio.create_task(traffic(fleet, stop, unknown))
        await asyncio.sleep(5)
        begin = time.monotonic()
        if st.trouble():
            fleet.store.set_mode("busy")
        await asyncio.sleep(0.5)
        if not await leaving.deregister():
            raise st.CannotRun("the leaving was not acknowledged")
        exits_at = leaving.acknowledged_leave_at + SERVES_ON_S
        await asyncio.sleep(0.5)
        if st.trouble():
            host.process.kill()
            await host.process.wait()
            record(f"node {host.node_id} killed")
            await asyncio.sleep(NODE_BACK_S)
            await fleet.start_node(host, first=False)
        back_at = time.monotonic()
        await asyncio.sleep(max(0, begin + STORE_DOWN_S - time.monotonic()))
        if st.trouble():
            fleet.store.set_mode("sound")
        sound_at = time.monotonic()
        await asyncio.sleep(CHANGE_AFTER_S)
        fleet.publish(2, {"r-book": st.route("non_idempotent", "booking", 1300, 600)})
        await asyncio.sleep(exits_at - time.monotonic())
        await leaving.exit()
        await asyncio.sleep(2)
        stop.set()
        await load
    finally:
        await fleet.end()
    bound = leaving.acknowledged_leave_at + st.DRAIN_S + MARGIN_S
    late = [(at, attempt) for at, attempt, _ in leaving.runs if at > bound]
    # Taken and sent on by the node that acknowledged the leaving; it is bound while the
    # store is in disruption, and has run for stable_window since its start.
    own = [(at, attempt) for at, attempt in late
           if attempt.startswith("b0-") and (not st.trouble() or at > back_at + st.STABLE_WINDOW_S)]
    # The verdict: all machines are in touch by every condition.
    in_touch = [each for each in late if each[0] > sound_at + st.STABLE_WINDOW_S]
    for at, attempt in late[:5]:
        record(f"{attempt} reached {leaving.id} {at - leaving.acknowledged_leave_at:.2f} s after "
               f"the acknowledgement, {at - back_at:.2f} s after the node's start, "
               f"{at - sound_at:+.2f} s after the store's return")
    record(f"runs later than drain after the acknowledgement={len(late)}, taken and sent on by the "
           f"node that acknowledged={len(own)}, later than stable_window after the store's "
           f"return={len(in_touch)}, bookings with unknown outcome={len(unknown)}")
    print(f"late={len(late)} by the node itself={len(own)} in touch={len(in_touch)} "
          f"unknown={len(unknown)}")
    return len(in_touch) > 0


st.main(case, pathlib.Path(__file__).resolve().parent)
