"""The store gives no response for two seconds; a later change of the
configuration is not in force in time."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import standins as st

SILENT_S = 2.0           # `platform_down` of the site, silent: up to 8 s
CONFIG_APPLY_S = 2.5
MARGIN_S = 0.2


def routes(service):
    """One route, which a change moves from a service to another."""
    return {"r-list": {**st.route("idempotent", service, 1200, 600), "path_prefix": "/list/"}}


async def case(record):
    fleet = st.Fleet(["directory", "booking"] * 2, record)
    instances = [st.Instance(host, 18, 0.02, record) for host in fleet.hosts]
    ran_by = {}
    for each in instances:
        each.on_run = lambda instance, path, attempt: ran_by.setdefault(attempt,
                                                                        instance.host.service)
    sent_at = {}

    def publish(version, service):
        table = {**routes(service), "r-book": st.route("non_idempotent", "booking", 1200, 600),
                 "r-dir": st.route("idempotent", "directory", 1200, 600)}
        fleet.publish(version, table)
        return time.monotonic()

    async def traffic(host, stop):
        count, tasks = 0, []
        while not stop.is_set():
            attempt = f"q{host.number}-{count}"
            count += 1
            sent_at[attempt] = time.monotonic()
            tasks.append(asyncio.create_task(fleet.send(host, "GET", "/list/a", attempt, 1200)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    try:
        await fleet.start()
        for each in instances:
            await each.start()
        publish(1, "directory")
        await fleet.until_ready()
        await asyncio.sleep(st.STABLE_WINDOW_S + 1)
        stop = asyncio.Event()
        load = [asyncio.create_task(traffic(host, stop)) for host in fleet.hosts]
        publish(2, "directory")
        await asyncio.sleep(1.5)
        if st.trouble():
            fleet.store.set_mode("silent")
        await asyncio.sleep(SILENT_S)
        if st.trouble():
            fleet.store.set_mode("sound")
        sound_at = time.monotonic()
        await asyncio.sleep(st.STABLE_WINDOW_S + 0.2)
        acknowledged = publish(3, "booking")
        await asyncio.sleep(9)
        stop.set()
        await asyncio.gather(*load)
    finally:
        await fleet.end()
    bound = acknowledged + CONFIG_APPLY_S + MARGIN_S
    stale = [(at - acknowledged, attempt) for attempt, at in sent_at.items()
             if at > bound and ran_by.get(attempt) == "directory"]
    for after, attempt in stale[:3] + stale[-3:]:
        record(f"{attempt} sent {after:.2f} s after the acknowledgement, run by the old service")
    machines = {attempt.split("-")[0] for _, attempt in stale}
    record(f"change acknowledged {acknowledged - sound_at:.2f} s after the store's return; requests "
           f"sent later than config_apply and run by the old service={len(stale)} at "
           f"{len(machines)} of {len(fleet.hosts)} machines")
    print(f"stale={len(stale)} machines={len(machines)} "
          f"until={max([after for after, _ in stale], default=0):.2f} s")
    return len(stale) > 0


st.main(case, pathlib.Path(__file__).resolve().parent)
