"""All entries are killed at the same time, twice: is a request that crashes engines still
known? Follows case 4 of the first review, whose rolling restart was mended since."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import (Client, Engine, Entry, Store, configuration, main, now,
                      plain_backend, route, signal)

CONTACT_S = 3.0
LAPSE_S = 3.6      # three heartbeats of 1,200 ms
BACK_S = 2.5       # a crashed engine is back after some seconds
ENGINES = 8
KILLS = 2
DEADLY = "/cufi504/deadly"
ZONES = ["amman-east", "amman-west", "zarqa-hall"]


class Fleet:
    """Engines; one that begins to run the deadly request crashes."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.engines, self.crashes, self.count = [], [], 0

    async def add(self):
        self.count += 1
        engine = Engine(self.store, self.record, f"i-{self.count:04x}",
                        "wuno96b", zone=ZONES[self.count % 3])
        engine.behave = self.answer
        await engine.start()
        self.engines.append(engine)

    async def answer(self, engine, line, headers, body, writer):
        ident = headers["x-samphirehill-attempt-id"]
        if DEADLY in line:
            self.crashes.append((now(), ident))
            self.record(f"CRASH {len(self.crashes)}: engine {engine.ident} "
                        f"begins to run {ident} and crashes, "
                        f"{engine.running - 1} other requests run there")
            engine.stop()
            asyncio.create_task(self.replace(engine))
            return
        await asyncio.sleep(0.2)
        if engine.server.is_serving():
            writer.write(engine.head(200, ident, 800) + b"x" * 800)

    async def replace(self, engine):
        self.engines.remove(engine)
        await asyncio.sleep(BACK_S)
        await self.add()
        await asyncio.sleep(LAPSE_S - BACK_S)
        self.store.remove("servers", engine.ident)


async def case(record, folder, trouble):
    store = Store(record)
    await store.start()
    store.put("config", "main", configuration(
        [route("r-1", "/puxa403/", "wuno96b", "unsafe", 2500, 150, 1),
         route("r-2", "/cufi504/", "wuno96b", "safe", 2500, 150, 2)],
        [plain_backend("wuno96b")]))
    fleet = Fleet(store, record)
    for _ in range(ENGINES):
        await fleet.add()
    entries = [Entry(record, store, n, folder, first_start=False)
               for n in (1, 2)]
    lost = []
    stopping = set()

    async def ask(entry, name, method, path):
        client = Client(record, entry, name)
        try:
            await client.connect()
        except OSError:
            return
        _, status, _ = await client.ask(method, path, 2500,
                                        b"b" * 600 if method == "POST" else b"")
        client.close()
        if method == "POST" and status in (502, None):
            lost.append((now(), name, status))

    async def bookings():
        count = 0
        while True:
            for entry in entries:
                if entry not in stopping:
                    asyncio.create_task(
                        ask(entry, f"b{count:04d}-", "POST", "/puxa403/2f"))
                    count += 1
            await asyncio.sleep(0.12)

    async def deadly(entry, times):
        # The same path, caller and body again; each attempt has its own id.
        for _ in range(times):
            await ask(entry, f"d{len(asked)}-", "GET", DEADLY)
            asked.append(now())
            await asyncio.sleep(1.0)

    asked = []
    loop = None
    try:
        for entry in entries:
            await entry.start()
        for entry in entries:
            if not await entry.ready():
                return None
        loop = asyncio.create_task(bookings())
        await asyncio.sleep(CONTACT_S + 1.0)
        await deadly(entries[0], 2)
        await deadly(entries[1], 2)
        if len(fleet.crashes) < 3:
            return None
        third = fleet.crashes[2][0]
        await asyncio.sleep(third + CONTACT_S + 0.5 - now())
        for _ in range(KILLS):
            stopping.update(entries)
            if trouble:
                for entry in entries:
                    entry.send(signal.SIGKILL)
                for entry in entries:
                    await entry.process.wait()
                await asyncio.sleep(0.5)
                for entry in entries:
                    await entry.start()
                for entry in entries:
                    if not await entry.ready():
                        return None
            # The machines are in touch again contact_ms after their start.
            await asyncio.sleep(CONTACT_S + 0.5)
            stopping.clear()
            await deadly(entries[0], 2)
            await deadly(entries[1], 2)
    finally:
        if loop:
            loop.cancel()
        for entry in entries:
            await entry.end()
    third = fleet.crashes[2][0]
    late = [ident for at, ident in fleet.crashes if at > third + CONTACT_S]
    work = [name for at, name, _ in lost if at > third + CONTACT_S]
    text = (f"{len(fleet.crashes)} crashes; {len(late)} sends of the request "
            f"later than contact_ms after the third (three are allowed); "
            f"{len(work)} bookings lost in these crashes")
    record(text)
    print(text)
    return len(late) <= 3


main(case, pathlib.Path(__file__).parent)
