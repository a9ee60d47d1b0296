"""Clients send a request in two pieces, split at each byte in turn."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import standins as st

PAUSE_S = 0.2            # between the pieces; header_timeout is 3 s
ROUNDS = 12              # each split position is used as often
AT_ONCE = 24
TIMEOUT_MS, DEADLINE_MS = 1200, 2500
LATE_S = 0.5             # RULES.md: "have no answer half a second later"
LEAST_UNANSWERED = 8     # RULES.md: "Eight or more of them, and over a quarter"


async def send(fleet, host, method, path, attempt, position, ended):
    """One attempt on a new connection; gives up at the client's deadline."""
    sent = st.request_bytes(method, path, attempt, DEADLINE_MS, b"seat=7" if method == "POST" else b"")
    status, whole_at = 0, None
    try:
        reader, writer = await asyncio.open_connection(host.ip, st.PORTS["outbound"])
        if st.trouble():
            writer.write(sent[:position])
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
            writer.write(sent[position:])
        else:
            writer.write(sent)
        await writer.drain()
        whole_at = time.monotonic()
        status, _, _ = await asyncio.wait_for(st.read_answer(reader), DEADLINE_MS / 1000)
        writer.close()
    except asyncio.TimeoutError:
        status = -1
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        status = 0
    ended[attempt] = (status, time.monotonic() - whole_at if whole_at else None, sent, position)


async def case(record):
    fleet = st.Fleet(["directory", "booking"] * 2, record)
    instances = [st.Instance(host, 18, 0.02, record) for host in fleet.hosts]
    ended = {}
    try:
        await fleet.start()
        for each in instances:
            await each.start()
        fleet.publish(1, {"r-list": st.route("idempotent", "directory", TIMEOUT_MS, 600),
                          "r-book": st.route("non_idempotent", "booking", TIMEOUT_MS, 600)})
        await fleet.until_ready()
        await asyncio.sleep(st.STABLE_WINDOW_S + 1)
        plan = []
        for method, path in (("GET", "/directory/list"), ("POST", "/booking/slot")):
            for turn in range(ROUNDS):
                size = len(st.request_bytes(method, path, f"{method}-{turn:02}-000", DEADLINE_MS,
                                            b"seat=7" if method == "POST" else b""))
                plan += [(method, path, f"{method}-{turn:02}-{p:03}", p) for p in range(1, size)]
        room = asyncio.Semaphore(AT_ONCE)

        async def one(number, method, path, attempt, position):
            async with room:
                await send(fleet, fleet.hosts[number % len(fleet.hosts)], method, path, attempt,
                           position, ended)

        await asyncio.gather(*[one(number, *each) for number, each in enumerate(plan)])
    finally:
        await fleet.end()
    ran = {attempt for each in instances for _, attempt, _ in each.runs}
    for attempt, (status, after, sent, position) in ended.items():
        what = {0: "closed", -1: "no answer"}.get(status, status)
        record(f"sent {attempt} split {sent[:position][-12:]!r} | {sent[position:][:12]!r}: {what} "
               f"after_s={-1 if after is None else after:.2f} "
               f"run={'yes' if attempt in ran else 'no'}")
    over = [a for a, (_, after, _, _) in ended.items() if after and after > TIMEOUT_MS / 1000]
    unanswered = [a for a in over if ended[a][1] > TIMEOUT_MS / 1000 + LATE_S and ended[a][0] == -1]
    denied = [a for a, each in ended.items() if 400 <= each[0] < 500 and each[0] not in (408, 421, 429)]
    allowed = 5 + len(ended) / 500
    record(f"requests={len(ended)} answered 200={sum(e[0] == 200 for e in ended.values())}")
    record(f"CONFIG: unanswered at the route's timeout={len(over)}, of these without an answer "
           f"{LATE_S} s later={len(unanswered)}")
    record(f"DENIED: proper requests answered 4xx by the node={len(denied)} allowed={allowed:.1f}, "
           f"of these run={sum(a in ran for a in denied)}")
    print(f"requests={len(ended)} unanswered={len(unanswered)} of {len(over)} denied={len(denied)} "
          f"(allowed {allowed:.1f})")
    return len(unanswered) >= LEAST_UNANSWERED and len(unanswered) > len(over) / 2


st.main(case, pathlib.Path(__file__).resolve().parent)
