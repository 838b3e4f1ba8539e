"""Case 5: an entry lists the engines in two pages and goes on watching from
the second page's revision. What changed on the first page in between is lost:
an engine that leaves just then gets requests long after drain_ms."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import (Client, Engine, Entry, Store, configuration, main, now,
                      plain_backend, route)

DRAIN_S = 2.0        # bounds.drain_ms
CONTACT_S = 3.0      # bounds.contact_ms
LEAVES_AFTER_S = 4.25  # when the leaving engine ends its process
BOOKINGS = 6


async def case(record, folder, trouble):
    # LATER=1: the engine reports draining half a second after the list.
    later = os.environ.get("LATER", "0") == "1"
    store = Store(record, page=50)
    await store.start()
    store.put("config", "main", configuration(
        [route("r-1", "/puxa403/", "wuno96b", "unsafe", 2500, 150, 1)],
        [plain_backend("huvo11a", 474), plain_backend("wuno96b")]))
    zones = ["amman-east", "amman-west", "zarqa-hall"]
    bookings = [Engine(store, record, f"i-0{n}", "wuno96b", zone=zones[n],
                       work_s=0.4) for n in range(3)]
    pool = [Engine(store, record, f"i-1{n:02d}", "huvo11a", zone=zones[n % 3],
                   slots=26) for n in range(48)]
    for engine in bookings + pool:
        await engine.start()
    leaving = bookings[0]
    accepted = []

    def between_pages(kind, after, truncated):
        if kind != "servers":
            return
        record(f"store has read the page of servers after {after!r} at "
               f"revision {store.revision}, truncated: {truncated}")
        if trouble and truncated and not accepted:
            accepted.append(None)
            loop = asyncio.get_running_loop()
            loop.call_later(0.5 if later else 0.0005, drain)

    def drain():
        accepted[0] = leaving.drain()

    store.on_page = between_pages
    entry = Entry(record, store, 1, folder, first_start=False)
    await entry.start()
    started = now()
    try:
        if not await entry.ready():
            return None
        # The machine is in touch from contact_ms after its start.
        await asyncio.sleep(started + CONTACT_S + 1.0 - now())
        clients = [Client(record, entry, f"b{n}-") for n in range(BOOKINGS)]
        for client in clients:
            await client.connect()
        asks = [asyncio.create_task(c.ask("POST", "/puxa403/2f", 2500,
                                          b"b" * 600)) for c in clients]
        if trouble:
            await asyncio.sleep(started + LEAVES_AFTER_S - now())
            record(f"engine {leaving.ident} ends, "
                   f"{now() - accepted[0]:.3f} s after the store accepted "
                   f"that it leaves")
            leaving.stop()
            store.remove("servers", leaving.ident)
        answers = await asyncio.gather(*asks)
    finally:
        await entry.end()
    late = [(at, ident) for at, ident in leaving.ran
            if accepted and at > accepted[0] + DRAIN_S]
    for at, ident in late:
        status = next(s for i, s, _ in answers if i == ident)
        record(f"DRAIN: {ident} reached {leaving.ident} "
               f"{at - accepted[0]:.3f} s after the store accepted that it "
               f"leaves; the client got {status}")
    print(f"{len(late)} bookings reached the engine after drain_ms; answers "
          f"{sorted(str(s) for _, s, _ in answers)}")
    return not late


main(case, pathlib.Path(__file__).parent)
