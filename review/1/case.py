"""Case 1: a head that serves is taken for gone, and its member joins another
group (rule TWO)."""

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import (Client, Engine, Entry, Store, configuration, json, main,
                      now, route, time)

HEARTBEAT_S = 1.2
STALL_S = 4.0
SERVICE, MODEL = "huvo11a", "rada7437b5"
CUT_AT = 14.0
CUT_S = 10.0     # srv_cut
AWAY_AFTER_S = 1.5
AWAY_S = 5.5     # core_cut


def owner_of(peer_port, own_port, entries):
    """Returns the entry whose process has the connection, or None."""
    wanted = None
    for line in open("/proc/net/tcp").read().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].split(":")[1], 16) == peer_port and \
                int(fields[2].split(":")[1], 16) == own_port:
            wanted = f"socket:[{fields[9]}]"
    for entry in entries:
        folder = f"/proc/{entry.process.pid}/fd"
        for handle in os.listdir(folder):
            try:
                if os.readlink(f"{folder}/{handle}") == wanted:
                    return entry
            except OSError:
                pass
    return None


class GroupEngine(Engine):
    """A model engine that joins groups, as PROTOCOL.md tells it."""

    fleet = {}
    entries = []
    broken = []   # where the rule was broken

    def __init__(self, store, record, ident):
        super().__init__(store, record, ident, SERVICE, slots=26)
        self.group, self.members, self.epoch, self.fence = None, [], 0, 0
        self.staged, self.last_model, self.pending = [], None, None
        self.cut_store, self.cut_entry = False, None
        self.orders = 0
        GroupEngine.fleet[ident] = self

    def state(self):
        state = {"stage": "both", "models": [], "born": self.born,
                 "domain": "d1", "staged": self.staged, "seq": self.orders}
        if self.group:
            state["group"] = dict(self.group)
        return state

    def report(self):
        if self.cut_store:
            return None
        return self.store.put("servers", self.ident, {
            "backend": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "capacity_slots": self.slots,
            "phase": self.phase, "cold_remaining_ms": 0, **self.state()})

    async def lapse(self):
        await asyncio.sleep(3 * HEARTBEAT_S)
        if self.cut_store:
            self.record(f"the store removes the entry of {self.ident}")
            self.store.remove("servers", self.ident)

    def head_of_group(self):
        """Returns the head of this engine's group if it serves the group."""
        if not self.group or not self.members:
            return None
        head = GroupEngine.fleet[self.members[0]]
        same = head.group and head.group["name"] == self.group["name"] \
            and head.group["epoch"] == self.group["epoch"]
        return head if same and head.group["phase"] in ("open", "closing") \
            else None

    def whole(self):
        """Whether all members of the group that this head serves are in it."""
        name, epoch = self.group["name"], self.group["epoch"]
        for ident in self.members:
            group = GroupEngine.fleet[ident].group
            if not group or (group["name"], group["epoch"]) != (name, epoch):
                return False
        return True

    def set_phase(self, phase):
        self.group["phase"] = phase
        self.record(f"engine {self.ident} is {phase} in {self.group['name']}")
        self.report()

    def later(self, delay, phase):
        name = self.group["name"]

        async def change():
            await asyncio.sleep(delay)
            if self.group and self.group["name"] == name:
                self.set_phase(phase)
        asyncio.create_task(change())

    def take_order(self, order):
        fence = order.get("fencing_token", 0)
        if fence < self.fence:
            return 412
        self.fence = fence
        op = order["op"]
        if op == "stage":
            self.orders += 1

            async def load():
                await asyncio.sleep(1.2)
                self.staged = [order["model"]]
                self.report()
            asyncio.create_task(load())
            return 202
        same = self.group and (self.group["name"], self.group["epoch"]) == \
            (order["group"], order["epoch"])
        if op == "join":
            if order["epoch"] < self.epoch:
                return 412
            if same:
                return 200 if self.members == order["members"] else 412
            head = self.head_of_group()
            if head and head.ident != self.ident:
                text = (f"TWO: {self.ident} takes a join of {order['group']} "
                        f"while {head.ident}, the head of its group "
                        f"{self.group['name']}, is {head.group['phase']}, "
                        f"and runs {head.running} requests")
                self.record(text)
                GroupEngine.broken.append(text)
            self.orders += 1
            self.epoch = order["epoch"]
            self.members = order["members"]
            self.group = {"name": order["group"], "epoch": order["epoch"],
                          "rank": self.members.index(self.ident),
                          "phase": "joining"}
            delay = 0.2 if self.last_model == order["model"] else \
                1.1 if order["model"] in self.staged else 1.2
            self.last_model = order["model"]
            if order["model"] not in self.staged:
                self.staged = [order["model"]]
            self.report()
            self.later(delay, "ready")
            return 202
        if not same:
            return 409
        self.orders += 1
        if op == "open":
            if self.group["rank"] != 0 or self.group["phase"] == "joining":
                return 409
            if self.group["phase"] != "open":
                self.later(0.3, "open")
                return 202
            return 200
        if op == "close":
            self.set_phase("ready")
            return 202
        if op == "leave":
            self.record(f"engine {self.ident} leaves {self.group['name']}")
            self.group, self.members = None, []
            self.report()
            return 200
        return 400

    async def _serve(self, reader, writer):
        # A path that is cut carries nothing; the rest is Engine's.
        port = writer.get_extra_info("peername")[1]
        own = writer.get_extra_info("sockname")[1]
        writer.entry = owner_of(port, own, GroupEngine.entries)
        await super()._serve(CutReader(self, reader, writer), writer)

    async def answer(self, _, line, headers, body, writer):
        ident = headers["x-samphirehill-attempt-id"]
        group = self.group
        if not group or group["phase"] != "open":
            writer.write(self.head(
                421, ident, 0, b"X-Samphirehill-Not-Executed: 1\r\n"))
            return
        writer.write(self.head(200, ident, None,
                               b"Content-Type: text/event-stream\r\n"
                               b"Transfer-Encoding: chunked\r\n"))
        for number in range(1, 28):
            await asyncio.sleep(0.034)
            while self.group is group and group["phase"] == "open" \
                    and not self.whole():
                await asyncio.sleep(0.1)  # it stands still
            if self.group is not group or group["phase"] != "open":
                writer.transport.abort()
                return
            event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 65)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        self.record(f"engine {self.ident} ends its run of {ident} whole")


class CutReader:
    """Reads from a connection; while its path is cut, nothing arrives."""

    def __init__(self, engine, reader, writer):
        self.engine, self.reader, self.writer = engine, reader, writer

    async def readline(self):
        data = await self.reader.readline()
        while self.engine.cut_entry and \
                self.engine.cut_entry is self.writer.entry:
            await asyncio.sleep(0.05)
        return data

    async def readexactly(self, size):
        return await self.reader.readexactly(size)


class CallsEngine(GroupEngine):
    """Adds the control calls to the engine's requests."""

    async def start(self, listed=True):
        self.behave = self.dispatch
        await super().start(listed)

    async def dispatch(self, _, line, headers, body, writer):
        if "/-/report" in line:
            data = json.dumps(self.state()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json"
                         b"\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
        elif "/-/order" in line:
            order = json.loads(body)
            status = self.take_order(order)
            name = writer.entry.name if writer.entry else "?"
            self.record(f"{name} orders {self.ident}: {order} -> {status}")
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n"
                         % status)
        else:
            await self.answer(self, line, headers, body, writer)


class CutStore(Store):
    """The store; while `away` is set, nothing passes between it and that
    entry, and connections on which something was lost stay silent."""

    away = None

    async def _serve(self, reader, writer):
        port = writer.get_extra_info("peername")[1]
        own = writer.get_extra_info("sockname")[1]
        asyncio.current_task().entry = owner_of(port, own, GroupEngine.entries)
        await super()._serve(reader, writer)

    async def _pass(self):
        if self.away is None or asyncio.current_task().entry is not self.away:
            return
        while self.away is not None:
            await asyncio.sleep(0.05)
        raise ConnectionError("nothing more comes on this connection")

    async def _call(self, method, target, body):
        await self._pass()
        answer = await super()._call(method, target, body)
        await self._pass()
        return answer


async def case(record, folder, trouble):
    store = CutStore(record)
    await store.start()
    engine_shape = {
        "capacity_slots": 26, "kv_capacity": 1400000, "kv_bytes": 35136,
        "bandwidth_mbps": 400000.0, "stride": 5, "models": [
            {"name": MODEL, "size": 2, "share": 1.0, "pace": 0.6,
             "load_s": 12.0, "warm_s": 1.1}],
        "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488,
        "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048,
        "report_lag_ms": 200.0, "loads_per_s": 4.0, "loads_at_once": 6,
        "delays": [], "usual": {"prompt": 1076, "answer": 116}, "retains": 1,
        "far_x": 2.5, "form_ms": 300.0}
    store.put("config", "main", configuration(
        [route("r-1", "/lohu930/", SERVICE, "stream", 8000, 500, 2)],
        [{"name": SERVICE, "health_path": "/healthz", "max_connections": 474,
          "protocol": "h1", "tls_enabled": False, "cold_start_s": 3.0,
          "cold_per_s": 36.0, "engine": engine_shape}]))
    entries = [Entry(record, store, n, folder) for n in (1, 2)]
    for entry in entries:
        await entry.start()
    GroupEngine.entries = entries
    engines = [CallsEngine(store, record, f"i-{n:04x}") for n in range(5)]
    for engine in engines:
        await engine.start()
    ends = {}

    async def one(entry, name):
        client = Client(record, entry, name)
        try:
            await client.connect()
        except OSError:
            return
        _, status, _ = await client.ask(
            "POST", "/lohu930/2f", 8000, b"p" * 1500,
            f"X-Samphirehill-Model: {MODEL}\r\nX-Samphirehill-Token-Counts: "
            f"1460,135\r\nX-Samphirehill-Prefix-Hash: 5c1e07a2:800,91bd3f06:"
            f"410,{random.getrandbits(32):x}:250\r\n".encode())
        ends[(entry.number, status)] = ends.get((entry.number, status), 0) + 1
        client.close()

    async def traffic(entry):
        count = 0
        while True:
            asyncio.create_task(one(entry, f"{entry.number}-{count}-"))
            count += 1
            await asyncio.sleep(0.1)

    loops = []
    try:
        for entry in entries:
            if not await entry.ready():
                return None
        loops = [asyncio.create_task(traffic(e)) for e in entries]
        await asyncio.sleep(CUT_AT - now())
        owner = store.kinds["duties"]["groups"]["spec"]["owner"]
        holder = next(e for e in entries if e.name == owner)
        other = next(e for e in entries if e is not holder)
        head = next(e for e in engines
                    if e.group and e.group["phase"] == "open")
        record(f"{holder.name} holds the duty; groups: " + ", ".join(
            f"{e.ident} {e.group}" for e in engines))
        # ONLY=cut, ONLY=away: one of the two disruptions alone.
        only = os.environ.get("ONLY", "")
        if trouble and only != "away":
            record(f"{head.ident}, an open head, is cut off from the store "
                   f"and from {holder.name}")
            head.cut_store, head.cut_entry = True, holder
            asyncio.create_task(head.lapse())
        await asyncio.sleep(AWAY_AFTER_S)
        if trouble and only != "cut":
            record(f"{other.name} is cut off from the store")
            store.away = other
        await asyncio.sleep(AWAY_S)
        if store.away:
            record(f"{other.name} reaches the store again")
        store.away = None
        await asyncio.sleep(CUT_S - AWAY_S - AWAY_AFTER_S)
        if head.cut_store:
            record(f"{head.ident} is no longer cut off")
            head.cut_store, head.cut_entry = False, None
            head.report()
        await asyncio.sleep(4.0)
    finally:
        for loop in loops:
            loop.cancel()
        for entry in entries:
            await entry.end()
    record(f"answers: {ends}")
    print(f"{len(GroupEngine.broken)} joins while the head served; {ends}")
    return not GroupEngine.broken


main(case, pathlib.Path(__file__).parent)
