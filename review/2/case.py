"""Case 2: a stream whose last event is answered while its entry stops after a
SIGTERM is cut before its end (rule LOST, planned work only)."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import (Client, Engine, Entry, Store, configuration, main, now,
                      plain_backend, route, signal)

ENTRIES = 3
RATE = 40          # requests a second and entry
UP_S = 2.5         # traffic before each SIGTERM
ROTATION_S = 2.0   # the balancer's two misses, one second apart
LENGTH_S = 95      # of the whole run
PASS_S = 0.034     # an engine's pass: all its streams get an event at once
GRACE_S = 8.0
DEADLINE_MS = 6000


class StreamEngine(Engine):
    """Answers with 1 to 67 events, one a pass; the last event and the end of
    the answer leave together."""

    async def start(self, listed=True):
        await super().start(listed)
        self.finished = {}
        self.next_pass = asyncio.Event()
        self.passes = asyncio.create_task(self.run_passes())
        self.behave = self.stream

    async def run_passes(self):
        while True:
            await asyncio.sleep(PASS_S)
            done, self.next_pass = self.next_pass, asyncio.Event()
            done.set()

    async def stream(self, _, line, headers, body, writer):
        ident = headers["x-samphirehill-attempt-id"]
        last = int(headers["x-samphirehill-token-counts"].split(",")[1]) // 5
        first = int(headers.get("last-event-id", "0")) + 1
        writer.write(self.head(200, ident, None,
                               b"Content-Type: text/event-stream\r\n"
                               b"Transfer-Encoding: chunked\r\n"))
        for number in range(first, last + 1):
            await self.next_pass.wait()
            event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 65)
            chunk = b"%x\r\n%s\r\n" % (len(event), event)
            if number == last:
                chunk += b"0\r\n\r\n"
                self.finished[ident] = now()
            writer.write(chunk)
        self.record(f"engine {self.ident} ends its run of {ident} whole")


async def case(record, folder, trouble):
    draw = random.Random(1)
    store = Store(record)
    await store.start()
    store.put("config", "main", configuration(
        [route("r-1", "/lohu930/", "huvo11a", "stream", DEADLINE_MS, 500, 2)],
        [plain_backend("huvo11a", 474)]))
    engines = [StreamEngine(store, record, f"i-{n:04x}", "huvo11a", slots=26)
               for n in range(8)]
    for engine in engines:
        await engine.start()
    entries = [Entry(record, store, n, folder) for n in range(1, ENTRIES + 1)]
    cut, served, other = [], 0, 0

    async def one(entry, name, stopped_at):
        nonlocal served, other
        client = Client(record, entry, name)
        try:
            await client.connect()
        except OSError:
            return  # not accepted: no request was read
        tokens = 5 * draw.randint(1, 67)
        ident, status, _ = await client.ask(
            "POST", "/lohu930/2f", DEADLINE_MS, b"p" * 1500,
            b"X-Samphirehill-Token-Counts: 1460,%d\r\n" % tokens)
        client.close()
        if status == 200:
            served += 1
            return
        ended = [e.finished[ident] for e in engines if ident in e.finished]
        since = now() - stopped_at[0] if stopped_at else None
        # The rule: cut after it was passed on to an engine, around a SIGTERM
        # of its machine, and not at work in the last sixth of the grace time.
        if status is None and ended and since is not None \
                and since < GRACE_S * 5 / 6:
            record(f"LOST: {ident} was cut {since:.3f} s after the SIGTERM; "
                   f"its engine had ended it whole {now() - ended[0]:.3f} s "
                   f"before")
            cut.append(ident)
        elif status is None:
            other += 1

    async def roll(entry, delay):
        await asyncio.sleep(delay)
        turn = 0
        while now() < LENGTH_S - 14:
            turn += 1
            await entry.start()
            if not await entry.ready():
                raise RuntimeError(f"{entry.name} isn't ready")
            begun, stopped_at, tasks = now(), [], []
            while now() < begun + UP_S + ROTATION_S:
                if trouble and not stopped_at and now() > begun + UP_S:
                    entry.send(signal.SIGTERM)
                    stopped_at.append(now())
                name = f"{entry.number}-{turn}-{len(tasks)}-"
                tasks.append(asyncio.create_task(one(entry, name, stopped_at)))
                await asyncio.sleep(1 / RATE)
            await asyncio.gather(*tasks)
            if trouble:
                await asyncio.wait_for(entry.process.wait(), GRACE_S + 1)
                record(f"entry {entry.name} ended with "
                       f"{entry.process.returncode}")
            await entry.end()

    try:
        await asyncio.gather(*(roll(e, 1.5 * n)
                               for n, e in enumerate(entries)))
    finally:
        for entry in entries:
            if hasattr(entry, "process"):
                await entry.end()
    record(f"{served} streams whole, {len(cut)} cut after their engine had "
           f"ended them, {other} ended otherwise")
    print(f"{served} streams whole, {len(cut)} cut after their engine had "
          f"ended them, {other} ended otherwise")
    return not cut


main(case, pathlib.Path(__file__).parent)
