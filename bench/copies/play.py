#!/usr/bin/env python3
"""Plays copies of refusals, and trouble that needs no copy, against entries as
real processes, and counts requests that ran twice or against a promise.

    bench/copies/play.py [--cases] [--history SEED...] [--seconds S] [--tree DIR]

--cases plays each way once, --history random mixes of all of them. --tree names
a checkout whose target/samphirehilld-platform is played, this one by default
(build: the command of deploy/system.toml). --log DIR keeps the entries' logs.
Prints one line a play and exits with 1 if a rule was broken.

The engines, the store and the entries are those of review/standins.py; the
engines here also refuse requests and write copies of their refusals.
"""

import argparse
import asyncio
import collections
import importlib.util
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review"))
import standins  # noqa: E402
from standins import Engine, Entry, Store, now  # noqa: E402


def load_group_engines():
    """Returns the module of the review's first case, which has engines that
    form groups. The module plays its case when it is loaded; not here."""
    spec = importlib.util.spec_from_file_location(
        "group_engines", ROOT / "review/1/case.py")
    module = importlib.util.module_from_spec(spec)
    play_case_of_review = standins.main
    standins.main = lambda *_: None
    try:
        spec.loader.exec_module(module)
    finally:
        standins.main = play_case_of_review
    return module


group_engines = load_group_engines()

SERVICE = "wuno96b"
ZONE = "amman-east"
PROMISES = (408, 421, 429, 503)
# Path, route type, method; bookings and streams that can't be resumed must run
# once.
KINDS = {"booking": ("/puxa403/", "unsafe", "POST"),
         "stream": ("/teli220/", "stream", "POST"),
         "lookup": ("/cufi504/", "safe", "GET"),
         "head": ("/cufi504/", "safe", "HEAD"),
         "generation": ("/lohu930/", "stream", "POST")}
ONCE = ("booking", "stream", "generation")
GENERATION_HEADERS = (
    f"X-Samphirehill-Model: {group_engines.MODEL}\r\n"
    "X-Samphirehill-Token-Counts: 1460,135\r\n"
    "X-Samphirehill-Prefix-Hash: 5c1e07a2:1460\r\n").encode()
# When the copy of a refusal is written: on the idle connection; before the next
# answer on the connection, in one write with it, or behind it.
MOMENTS = ("idle", "before", "with", "behind")
FORMS = ("id", "no id", "no length")


class Judge:
    """Collects what clients and engines saw."""

    def __init__(self, record):
        self.record = record
        self.kinds = {}
        self.open = collections.Counter()   # sends not answered yet, by id
        self.promised = {}                  # last answer was a promise, by id
        self.runs = collections.Counter()
        self.since_send = collections.Counter()
        self.counts = collections.Counter()
        self.twice, self.refused = set(), set()

    def sent(self, ident, kind):
        self.kinds[ident] = kind
        self.open[ident] += 1
        self.promised.pop(ident, None)
        self.since_send[ident] = 0
        self.counts["sent"] += 1

    def answered(self, ident, status):
        self.open[ident] -= 1
        self.counts[f"answer {status}"] += 1
        if status in PROMISES:
            self.promised[ident] = status
            if self.kinds[ident] in ONCE and self.since_send[ident]:
                self.break_rule(self.refused, "REFUSED", ident)

    def ran(self, ident, where):
        self.runs[ident] += 1
        self.since_send[ident] += 1
        self.counts["runs"] += 1
        if self.kinds.get(ident) not in ONCE:
            return
        if self.runs[ident] > 1:
            self.break_rule(self.twice, "TWICE", f"{ident} at {where}")
        if ident in self.promised:
            self.break_rule(self.refused, "REFUSED", f"{ident} at {where}")

    def break_rule(self, where, rule, what):
        where.add(what.split(" ")[0])
        self.record(f"{rule}: {what}")

    def summary(self):
        names = ("sent", "runs", "refusals", "copies", "answer 200",
                 "answer 502", "answer 503", "answer 504", "answer None")
        return " ".join(f"{n.replace(' ', '_')}={self.counts[n]}"
                        for n in names if self.counts[n])


class CopyingEngine(Engine):
    """An engine that refuses some requests and writes each such refusal once
    more. `plan(engine, ident)` returns None to run a request, or (status,
    moment, form) to refuse it."""

    def __init__(self, *args, judge, plan, **kwargs):
        super().__init__(*args, **kwargs)
        self.judge, self.plan = judge, plan

    def refusal(self, status, ident, form):
        text = b"HTTP/1.1 %d X\r\n" % status
        if form != "no id":
            text += b"X-Samphirehill-Attempt-Id: %s\r\n" % ident.encode()
        text += b"X-Samphirehill-Not-Executed: 1\r\n"
        if form != "no length":
            text += b"Content-Length: 0\r\n"
        return text + b"\r\n"

    async def write_later(self, writer, data):
        await asyncio.sleep(random.choice((0.002, 0.02, 0.08, 0.2)))
        if not writer.is_closing():
            writer.write(data)

    def note_copy(self):
        self.judge.counts["copies"] += 1

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        pending = []  # copies to be written at the next request: (moment, data)
        try:
            while (message := await standins.read_message(reader)):
                await self.serve_one(*message, writer, pending)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, line, headers, body, writer, pending):
        ident = headers.get("x-samphirehill-attempt-id", "")
        copies, pending[:] = list(pending), []
        expected = headers.get("x-samphirehill-expect-instance", self.ident)
        plan = self.plan(self, ident)
        if expected != self.ident:
            plan = (421,) + (plan[1:] if plan else (None, None))
        for moment, data in copies:
            if moment == "before":
                writer.write(data)
                self.note_copy()
        if plan:
            await self.refuse(plan, ident, writer, pending)
            return
        self.judge.ran(ident, self.ident)
        self.record(f"engine {self.ident} runs {ident}: {line}")
        await asyncio.sleep(self.work_s * random.uniform(0.2, 2.0))
        answer = self.answer_to(line, ident)
        for moment, data in copies:
            if moment == "before":
                continue  # written and counted above
            answer = data + answer if moment == "with" else answer + data
            self.note_copy()
        writer.write(answer)

    def answer_to(self, line, ident):
        if line.startswith("HEAD"):
            return self.head(200, ident, 800)
        if KINDS["booking"][0] in line or KINDS["lookup"][0] in line:
            return self.head(200, ident, 800) + b"x" * 800
        events = b"".join(b"id: %d\ndata: t\n\n" % n for n in range(1, 6))
        return self.head(200, ident, len(events),
                         b"Content-Type: text/event-stream\r\n") + events

    async def refuse(self, plan, ident, writer, pending):
        status, moment, form = plan
        self.judge.counts["refusals"] += 1
        self.record(f"engine {self.ident} refuses {ident}: {plan}")
        writer.write(self.refusal(status, ident, "id"))
        if moment == "idle":
            self.note_copy()
            asyncio.create_task(self.write_later(
                writer, self.refusal(status, ident, form)))
        elif moment:
            pending.append((moment, self.refusal(status, ident, form)))


class CopyingGroupEngine(CopyingEngine, group_engines.CallsEngine):
    """An engine of a group that refuses and copies like CopyingEngine."""

    async def serve_one(self, line, headers, body, writer, pending):
        writer.entry = None
        if "/-/" in line:
            await self.dispatch(self, line, headers, body, writer)
            return
        await super().serve_one(line, headers, body, writer, pending)

    def is_serving(self):
        return bool(self.group) and self.group["phase"] == "open"

    def drop_group(self):
        self.group, self.members = None, []
        self.report()


def model_backend():
    return {"name": group_engines.SERVICE, "health_path": "/healthz",
            "max_connections": 474, "protocol": "h1", "tls_enabled": False,
            "cold_start_s": 0.0, "cold_per_s": 36.0, "engine": {
                "capacity_slots": 26, "kv_capacity": 1400000,
                "kv_bytes": 35136, "bandwidth_mbps": 400000.0, "stride": 5,
                "models": [{"name": group_engines.MODEL, "size": 2,
                            "share": 1.0, "pace": 0.6, "load_s": 12.0,
                            "warm_s": 1.1}],
                "step_ms": 6.07, "per_seq_ms": 0.241,
                "context_per_k": 0.00488, "read_per_s": 46000.0,
                "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0,
                "loads_per_s": 4.0, "loads_at_once": 6, "delays": [],
                "usual": {"prompt": 1076, "answer": 116}, "retains": 1,
                "far_x": 2.5, "form_ms": 300.0}}


class World:
    """A store, engines at fixed addresses and entries."""

    def __init__(self, folder, record, plan):
        self.folder, self.record, self.plan = folder, record, plan
        group_engines.GroupEngine.fleet = {}
        self.judge = Judge(record)
        self.engines, self.entries = [], []
        self.count = 0
        self.name = random.getrandbits(24)

    async def start(self, engines, entries):
        self.store = Store(self.record)
        await self.store.start()
        routes = []
        for number, kind in enumerate(("booking", "stream", "lookup",
                                       "generation")):
            path, route_type, _ = KINDS[kind]
            service = group_engines.SERVICE if kind == "generation" else SERVICE
            route = standins.route(f"r-{number}", path, service, route_type,
                                   2500, 150, 2)
            route["resumable"] = False
            routes.append(route)
        self.store.put("config", "main", standins.configuration(
            routes, [standins.plain_backend(SERVICE, 400), model_backend()]))
        for _ in range(engines):
            await self.add_engine()
        for number in range(1, entries + 1):
            entry = Entry(self.record, self.store, number, self.folder, zone=ZONE)
            await entry.start()
            self.entries.append(entry)
        for entry in self.entries:
            if not await entry.ready():
                raise RuntimeError(f"{entry.name} did not become ready")

    async def add_engine(self):
        self.count += 1
        engine = CopyingEngine(self.store, self.record, f"i-{self.count:04x}",
                               SERVICE, zone=ZONE, judge=self.judge,
                               plan=self.plan)
        await engine.start()
        self.engines.append(engine)
        return engine

    async def start_group(self):
        """Adds two engines and waits until they serve as a group."""
        for _ in range(2):
            self.count += 1
            engine = CopyingGroupEngine(self.store, self.record,
                                        f"i-{self.count:04x}",
                                        judge=self.judge, plan=self.plan)
            await engine.start()
            self.engines.append(engine)
        await self.group_serves()

    async def group_serves(self):
        until = now() + 30
        while now() < until:
            heads = [e for e in self.engines
                     if isinstance(e, CopyingGroupEngine) and e.is_serving()]
            if heads:
                return heads[0]
            await asyncio.sleep(0.01)
        raise RuntimeError("no group serves")

    def rename(self, engine, listed):
        """Another instance takes the engine's address; its connections stay.
        listed: the store learns of it at once."""
        old = engine.ident
        self.count += 1
        engine.ident = f"i-{self.count:04x}"
        engine.born = int(time.time() * 1000)
        self.record(f"engine {engine.ident} has the address of {old}")
        if listed:
            self.list_renamed(engine, old)
        return old

    def list_renamed(self, engine, old):
        self.store.remove("servers", old)
        engine.report()

    def restart(self, engine):
        """The engine restarts under its id; its connections are reset."""
        self.record(f"engine {engine.ident} restarts")
        for writer in list(engine.writers):
            writer.transport.abort()
        engine.born, engine.seq = int(time.time() * 1000), 1
        engine.report()

    async def ask(self, entry, kind, ident=None, pause=0.0):
        """Sends one request on a connection of its own. Returns (id, status);
        the status is None if there was no complete answer."""
        if ident is None:
            self.count += 1
            ident = f"{self.name:06x}{self.count:06x}"
        path, _, method = KINDS[kind]
        await asyncio.sleep(pause)
        host, port = entry.callers.split(":")
        self.judge.sent(ident, kind)
        self.record(f"client sends {ident} ({kind}) to {entry.name}")
        status = None
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(standins.request_bytes(
                method, path + "2f", ident, 2500,
                b"b" * 600 if method == "POST" else b"",
                GENERATION_HEADERS if kind == "generation" else b""))
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 4)
            status = int(head.split(b" ")[1])
            if status == 200 and method != "HEAD":
                await asyncio.wait_for(reader.read(400), 3)
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                asyncio.TimeoutError) as failed:
            self.record(f"client has no answer to {ident}: {failed!r}")
        if writer:
            writer.close()
        self.record(f"client gets {status} to {ident}")
        self.judge.answered(ident, status)
        return ident, status

    async def end(self):
        for entry in self.entries:
            await entry.end()
        for engine in self.engines:
            engine.stop()
        self.store.server.close()


async def settle(seconds=0.5):
    await asyncio.sleep(seconds)


# Each way below gets a booking or stream refused, and has the same id sent
# again; the copy of the refusal is written on the connection meanwhile.

async def way_listed(world, kind, choice):
    """421 by the next instance at the address, which is listed later."""
    engine = world.engines[0]
    old = world.rename(engine, listed=False)
    asking = asyncio.create_task(world.ask(world.entries[0], kind))
    await asyncio.sleep(0.12)
    choice["refuse"] = None
    world.list_renamed(engine, old)
    await asking


async def way_predecessor(world, kind, choice):
    """503 by an instance whose address the next one gets."""
    asking = asyncio.create_task(world.ask(world.entries[0], kind))
    await asyncio.sleep(0.08)
    choice["refuse"] = None
    world.rename(world.engines[0], listed=True)
    await asking


async def way_repeat(world, kind, choice):
    """The caller sends the refused id again, to the same entry."""
    ident, _ = await world.ask(world.entries[0], kind)
    choice["refuse"] = None
    await world.ask(world.entries[0], kind, ident, pause=0.1)


async def way_elsewhere(world, kind, choice):
    """The caller sends the refused id again, to another entry."""
    ident, _ = await world.ask(world.entries[0], kind)
    choice["refuse"] = None
    await world.ask(world.entries[1], kind, ident)


async def way_restart(world, kind, choice):
    """The engine that refused restarts under its id."""
    asking = asyncio.create_task(world.ask(world.entries[0], kind))
    await asyncio.sleep(0.08)
    choice["refuse"] = None
    world.restart(world.engines[0])
    await asking


async def way_epoch(world, kind, choice):
    """A head refuses, and gets the request again in the next epoch."""
    head = await world.group_serves()
    await asyncio.sleep(0.3)  # until the entries have listed it
    asking = asyncio.create_task(world.ask(world.entries[0], kind))
    await asyncio.sleep(0.03)
    choice["refuse"] = None
    for engine in world.engines:
        if isinstance(engine, CopyingGroupEngine):
            engine.drop_group()
    ident, status = await asking
    again = await world.group_serves()
    world.record(f"group of {head.ident} again at {again.ident}")
    await asyncio.sleep(0.3)
    if status in PROMISES:
        await world.ask(world.entries[0], kind, ident)


async def way_suspended(world, kind, choice):
    """The entry is suspended between the refusal and what follows it."""
    asking = asyncio.create_task(world.ask(world.entries[0], kind))
    await asyncio.sleep(0.03)
    world.entries[0].send(signal.SIGSTOP)
    choice["refuse"] = None
    await asyncio.sleep(0.6)
    world.entries[0].send(signal.SIGCONT)
    ident, status = await asking
    if status in PROMISES:
        await world.ask(world.entries[1], kind, ident)


async def way_stopped(world, kind, choice):
    """The entry is told to stop while the request waits; the caller sends a
    refused one again, to another entry."""
    asking = asyncio.create_task(world.ask(world.entries[0], kind))
    await asyncio.sleep(0.03)
    world.entries[0].send(signal.SIGTERM)
    choice["refuse"] = None
    ident, status = await asking
    if status in PROMISES:
        await world.ask(world.entries[1], kind, ident)


async def way_killed(world, kind, choice):
    """The entry is killed while the request is at the engine. The caller has
    no promise, so it doesn't send it again."""
    choice["refuse"] = None
    asking = asyncio.create_task(world.ask(world.entries[0], kind))
    await asyncio.sleep(0.01)
    world.entries[0].send(signal.SIGKILL)
    await asking


WAYS = {name[4:]: way for name, way in list(globals().items())
        if name.startswith("way_")}
NO_COPY_NEEDED = ("suspended", "stopped", "killed")


async def play_case(way, kind, status, moment, form, folder, record):
    choice = {"refuse": (status, moment, form)}

    def plan(_, __):
        return choice["refuse"]

    world = World(folder, record, plan)
    await world.start(engines=1, entries=2)
    try:
        if way == "epoch":
            choice["refuse"] = None
            await world.start_group()
        # A second engine, so that what a copy refuses can run again.
        second = asyncio.create_task(add_second(world, choice))
        for _ in range(3):
            choice["refuse"] = (status, moment, form)
            await WAYS[way](world, kind, choice)
            if way in ("stopped", "killed"):
                break
        second.cancel()
        await settle(0.3)
    finally:
        await world.end()
    return world.judge


async def add_second(world, choice):
    while choice["refuse"]:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    await world.add_engine()


async def play_history(seed, seconds, folder, record):
    random.seed(seed)

    def plan(_, __):
        if random.random() >= 0.3:
            return None
        return (random.choice((503, 503, 429)),
                random.choice(MOMENTS + (None,)),
                random.choices(FORMS, (6, 2, 1))[0])

    world = World(folder, record, plan)
    await world.start(engines=3, entries=3)
    until = now() + seconds
    stopped = set()

    async def caller():
        while now() < until:
            entry = random.choice([e for e in world.entries
                                   if e not in stopped])
            kind = random.choices(list(KINDS), (8, 4, 2, 1, 0))[0]
            ident, status = await world.ask(entry, kind)
            # Refused ids come again, here or elsewhere.
            for _ in range(3):
                if status not in PROMISES or now() >= until:
                    break
                entry = random.choice([e for e in world.entries
                                       if e not in stopped])
                _, status = await world.ask(entry, kind, ident,
                                            pause=random.uniform(0, 0.2))
            await asyncio.sleep(random.uniform(0, 0.05))

    async def trouble():
        while now() < until - 1:
            await asyncio.sleep(random.uniform(0.2, 0.8))
            engine = random.choice(world.engines)
            draw = random.random()
            if draw < 0.5:
                old = world.rename(engine, listed=False)
                await asyncio.sleep(random.uniform(0, 0.3))
                world.list_renamed(engine, old)
            elif draw < 0.7:
                world.restart(engine)
            elif draw < 0.9:
                entry = random.choice([e for e in world.entries
                                       if e not in stopped])
                entry.send(signal.SIGSTOP)
                await asyncio.sleep(random.uniform(0.05, 0.9))
                entry.send(signal.SIGCONT)
            elif not stopped:
                entry = world.entries[-1]
                stopped.add(entry)
                entry.send(random.choice((signal.SIGTERM, signal.SIGKILL)))

    try:
        await asyncio.gather(trouble(), *(caller() for _ in range(8)))
        await settle()
    finally:
        await world.end()
    return world.judge


def case_table():
    for way in WAYS:
        for kind in ("generation",) if way == "epoch" else ONCE[:2]:
            if way in NO_COPY_NEEDED:
                yield way, kind, 503, "idle", "id"
                continue
            status = 421 if way == "listed" else 503
            for moment in MOMENTS:
                for form in FORMS:
                    yield way, kind, status, moment, form


def play(name, run, log):
    """Runs one play and prints its line. Returns its judge, or None if it
    could not run."""
    with tempfile.TemporaryDirectory(prefix="copies-") as folder:
        record = standins.Record(folder)
        judge = None
        try:
            judge = asyncio.run(asyncio.wait_for(run(folder, record), 120))
        except Exception as failed:  # reported, and counted as not run
            standins.end_all()
            print(f"{name}: could not run: {failed!r}", flush=True)
        broken = judge and (judge.twice or judge.refused)
        if log and (broken or not judge):
            target = pathlib.Path(log) / name.replace(" ", "_")
            shutil.copytree(folder, target, dirs_exist_ok=True)
    if judge:
        print(f"{name}: TWICE={len(judge.twice)} REFUSED={len(judge.refused)} "
              f"{judge.summary()}", flush=True)
    return judge


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--cases", action="store_true")
    parser.add_argument("--way", help="only this way of the cases")
    parser.add_argument("--history", type=int, nargs="*", default=[])
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--tree", default=str(ROOT))
    parser.add_argument("--log")
    options = parser.parse_args()
    standins.ROOT = pathlib.Path(options.tree).resolve()
    judges = []
    for case in case_table() if options.cases else ():
        if options.way in (None, case[0]):
            judges.append(play(" ".join(map(str, case)), lambda *a, c=case:
                               play_case(*c, *a), options.log))
    for seed in options.history:
        judges.append(play(f"history {seed}", lambda *a, s=seed: play_history(
            s, options.seconds, *a), options.log))
    ran = [judge for judge in judges if judge]
    twice = sum(len(judge.twice) for judge in ran)
    refused = sum(len(judge.refused) for judge in ran)
    copies = sum(judge.counts["copies"] for judge in ran)
    print(f"plays={len(ran)} not_run={len(judges) - len(ran)} copies={copies} "
          f"TWICE={twice} REFUSED={refused}")
    sys.exit(1 if twice or refused else 2 if len(ran) < len(judges) else 0)


if __name__ == "__main__":
    main()
