"""Stand-ins for the cases 11 to 15: the platform's store, an application
service, model engines and callers, as the users' pages describe them. One
event loop; entries run as separate processes."""
import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
TOP = os.path.dirname(HERE)
PROGRAM = os.path.join(TOP, "target", "samphirehilld-platform")
DRAIN_MS = 2000
GRACE_S = 8
IDLE_S = 4  # after which a server closes an idle connection


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_ports(hosts, count):
    """Ports that are free at each of the hosts."""
    found = []
    while len(found) < count:
        port = free_port(hosts[0])
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1))
               for line in lines[1:] if line]
    return Message(lines[0], headers, b"")


async def read_message(reader, is_answer=False):
    return await read_body(reader, await read_head(reader), is_answer)


async def read_body(reader, message, is_answer=False):
    if "chunked" in message.get("transfer-encoding").lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
            parts.append(data)
        message.body = b"".join(parts)
    elif message.get("content-length"):
        message.body = await reader.readexactly(
            int(message.get("content-length")))
    elif is_answer and not message.first.split()[1].startswith("204"):
        message.body = await reader.read()
    return message


REASONS = {200: "OK", 201: "Created", 202: "Accepted", 404: "Not Found",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable"}


def answer(status, headers=(), body=b""):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store (PROTOCOL.md)."""

    def __init__(self, record):
        self.record = record
        self.objects = {}  # (kind, name) -> object
        self.revision = 100
        self.history = []  # (revision, kind, removed, object)
        self.changed = asyncio.Event()
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(
            self.serve, host, port, limit=1 << 24)

    def wake(self):
        old, self.changed = self.changed, asyncio.Event()
        old.set()

    def note(self, kind, removed, item):
        self.history.append((self.revision, kind, removed, item))
        self.wake()

    def put(self, kind, name, spec):
        old = self.objects.get((kind, name))
        if old and old["spec"] == spec:
            return old
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision,
                             "created": old["metadata"]["created"] if old
                             else self.revision, "finalizers": [],
                             "deleting": False},
                "spec": spec, "status": None}
        self.objects[kind, name] = item
        self.note(kind, False, item)
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            self.note(kind, True, item)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                status, body = await self.handle(request)
                writer.write(answer(
                    status, [("Content-Type", "application/json"),
                             ("Store-Era", "1")], json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, request):
        method, target, _ = request.first.split()
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = url.path.removeprefix("/-/objects/").split("/")
        kind, name = path[0], unquote(path[1]) if len(path) > 1 else None
        given = json.loads(request.body) if request.body else {}
        if method == "GET" and "watch" in query:
            return await self.watch(kind, query)
        if method == "GET" and name is None:
            items = [o for (k, _), o in sorted(self.objects.items())
                     if k == kind and o["metadata"]["name"]
                     > query.get("after", "")]
            return 200, {"items": items, "truncated": False,
                         "store_revision": self.revision}
        if method == "POST":
            name = given["metadata"]["name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            if known:
                return 409, known
            return 201, self.put(kind, name, given.get("spec"))
        if not known:
            return 404, {}
        if method == "GET":
            return 200, known
        wanted = query.get("revision") or given.get(
            "metadata", {}).get("revision")
        if wanted and int(wanted) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        return 200, self.put(kind, name, given.get("spec"))

    async def watch(self, kind, query):
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [{"removed": removed, "object": item}
                      for revision, k, removed, item in self.history
                      if k == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events,
                             "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Service:
    """One instance of an application service: answers each request after
    work_s, with its own id in the answer's body."""

    def __init__(self, record, name, slots=6, work_s=0.03):
        self.record, self.name, self.slots = record, name, slots
        self.work_s = work_s
        self.ran = []  # ids in the order in which they began
        self.active = 0
        self.free = asyncio.Semaphore(slots)
        self.server = None
        self.open = set()  # writers of open connections
        self.cut = []  # ids that were running when it ended
        self.running = set()
        self.extra = []  # headers of all answers
        self.long_bytes = 0  # length of answers to paths with "long"

    async def start(self, host):
        self.host, self.port = host, free_port(host)
        self.server = await asyncio.start_server(
            self.serve, host, self.port, limit=1 << 24)

    def entry(self, backend, zone, phase="ready"):
        return {"backend": backend, "address": f"{self.host}:{self.port}",
                "zone": zone, "version": "v1", "capacity_slots": self.slots,
                "phase": phase, "cold_remaining_ms": 0, "seq": 1,
                "born": 1_780_000_000_000}

    def end(self):
        """Ends as a process does: nothing listens, all connections close."""
        self.server.close()
        self.cut = sorted(self.running)
        for writer in list(self.open):
            writer.transport.abort()
        self.record(f"server {self.name} ended, running={self.cut}")

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                # Idle connections are closed after a timeout.
                head = await asyncio.wait_for(read_head(reader), IDLE_S)
                await self.run(await read_body(reader, head), writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError,
                asyncio.TimeoutError, OSError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def run(self, request, writer):
        expected = request.get("X-Samphirehill-Expect-Instance")
        if expected and expected != self.name:
            writer.write(answer(421, [("X-Samphirehill-Instance-Id",
                                       self.name)]))
            return await writer.drain()
        attempt = request.get("X-Samphirehill-Attempt-Id")
        async with self.free:
            self.ran.append((self.record.now(), attempt))
            self.record(f"run {attempt} at {self.name}")
            self.running.add(attempt)
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running.discard(attempt)
        body = f"{self.name} ran {attempt}".encode()
        if "/long" in request.first:
            body = body.ljust(self.long_bytes, b".")
        writer.write(answer(
            200, [("X-Samphirehill-Attempt-Id", attempt),
                  ("X-Samphirehill-Engine-Seal", f"{self.name}.{attempt}"),
                  ("Keep-Alive", f"timeout={IDLE_S}"), *self.extra],
            body))
        await writer.drain()


class Entry:
    """One entry process, started as the deploy file runs it."""

    def __init__(self, record, folder, host, name, zone, store, ports,
                 first_start=True, memory_mb=260):
        self.record, self.host, self.name = record, host, name
        self.callers, self.readiness, peers, metrics = ports
        self.memory_mb = memory_mb
        self.log = os.path.join(folder, name + ".log")
        self.settings = os.path.join(folder, name + ".toml")
        self.text = f'''entry = "{name}"
zone = "{zone}"
first_start = {str(first_start).lower()}
processor_share = 0.25
[listen]
callers = "{host}:{self.callers}"
readiness = "{host}:{self.readiness}"
peers = "{host}:{peers}"
metrics = "{host}:{metrics}"
[platform]
address = "{store}"
[retries]
ratio = 0.2
slack = 134
window = "10s"
[times]
grace = "{GRACE_S}s"
drain = "{DRAIN_MS}ms"
'''
        self.process = None

    def start(self):
        with open(self.settings, "w") as file:
            file.write(self.text)
        environment = {"PATH": os.environ.get("PATH", ""),
                       "MEMORY_LIMIT_MB": str(self.memory_mb)}
        self.process = subprocess.Popen(
            [PROGRAM, "--settings", self.settings], cwd=TOP,
            stdout=open(self.log, "a"), stderr=subprocess.STDOUT,
            env=environment)
        self.record(f"entry {self.name} started pid={self.process.pid}")

    async def ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(
                    self.host, self.readiness)
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                got = await asyncio.wait_for(
                    read_message(reader, True), 1)
                writer.close()
                if got.first.split()[1] == "200":
                    return True
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return False

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1000
        except OSError:
            pass
        return 0.0

    def alive(self):
        return self.process.poll() is None

    def end(self):
        if self.process and self.alive():
            self.process.kill()
        if self.process:
            self.process.wait()


def configuration(version, routes, backends, tenants=(), **limits):
    return {"version": version, "routes": routes, "backends": backends,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       **limits}, "tenants": list(tenants)}


def route(name, prefix, kind, backend, timeout_ms, attempts, **more):
    return {"name": name, "hostname": "site.example", "path_prefix": prefix,
            "route_type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": 150, "priority_class": 2,
            "backend": backend, "max_attempts": attempts, "anonymous": True,
            "session_affinity": False, **more}


def backend(name):
    return {"name": name, "health_path": "/healthz", "max_connections": 110,
            "protocol": "h1", "tls_enabled": False, "cold_start_s": 0.0,
            "cold_per_s": 0.0}


def request_bytes(method, path, attempt, deadline_ms, body=b"", headers=()):
    head = (f"{method} {path} HTTP/1.1\r\nHost: site.example\r\n"
            f"X-Samphirehill-Attempt-Id: {attempt}\r\n"
            f"X-Samphirehill-Deadline-Ms: {deadline_ms}\r\n")
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    if method != "GET" or body:
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n").encode() + body


def folder_for_run():
    return tempfile.mkdtemp(prefix="case-")


class ModelEngine:
    """One model engine: joins groups, leads them and serves streams."""

    def __init__(self, record, store, engines, name, zone, domain, models):
        self.record, self.store, self.engines = record, store, engines
        self.name, self.zone, self.domain = name, zone, domain
        self.models = models  # name -> size, load_s, warm_s
        self.before_traffic = True
        self.born = int(time.time() * 1000)
        self.group = None
        self.fence = self.epoch = -1
        self.seq = 0
        self.last_model = None
        self.staged = []
        self.work = 0
        self.cut_from_store = False
        self.cut_from_entries = False  # silently; not from the other engines
        self.draining = False
        self.last_beat = 0.0
        self.snapshots = []
        self.two = []  # joins taken while the head of its group was open
        self.taken = []  # joins: (time, group)
        self.bad_part = None  # a part of prompts that crashes it
        self.crashes = []  # when it crashed
        self.reached_by_bad = []  # (time, id) of requests with that part
        self.begun = {}  # id -> when it began to write
        self.open_writers = set()
        self.tasks = set()
        engines[name] = self

    async def start(self, host):
        self.host, self.port = host, free_port(host)
        self.server = await asyncio.start_server(
            self.serve, host, self.port, limit=1 << 24)
        self.later(self.beats())

    def later(self, call):
        task = asyncio.create_task(call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def membership(self):
        if not self.group:
            return None
        return {name: self.group[name]
                for name in ("name", "epoch", "rank", "phase")}

    def entry(self, backend="pool"):
        spec = {"backend": backend, "address": f"{self.host}:{self.port}",
                "zone": self.zone, "version": "v1", "capacity_slots": 26,
                "phase": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0, "stage": "both", "models": [],
                "seq": self.seq, "born": self.born, "domain": self.domain,
                "staged": list(self.staged), "busy": False}
        if self.group:
            spec["group"] = self.membership()
        return spec

    def beat(self):
        self.snapshots = self.snapshots[-20:] + [
            (time.monotonic(), self.entry())]
        if not self.cut_from_store:
            self.store.put("servers", self.name, self.entry())
            self.last_beat = time.monotonic()

    async def beats(self):
        while True:
            self.beat()
            await asyncio.sleep(1.2)

    def crash(self):
        """Ends as a crashed process does; it is back 3 s later."""
        if not self.server:
            return
        self.record(f"{self.name} crashes")
        self.crashes.append(self.record.now())
        self.server.close()
        self.server = None
        self.group = None
        for writer in list(self.open_writers):
            writer.transport.abort()
        asyncio.get_running_loop().call_soon(self.end_tasks)

    def end_tasks(self):
        for task in list(self.tasks):
            task.cancel()
        self.later(self.restart())

    async def restart(self):
        await asyncio.sleep(3)
        self.born = int(time.time() * 1000)
        self.fence = self.epoch = -1
        self.last_model, self.work, self.snapshots = None, 0, []
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=1 << 24)
        self.record(f"{self.name} is back")
        self.later(self.beats())

    async def serve(self, reader, writer):
        self.open_writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if self.cut_from_entries:
                    # Nothing arrives, and nothing is answered.
                    await asyncio.sleep(60)
                    return
                expected = request.get("X-Samphirehill-Expect-Instance")
                if expected and expected != self.name:
                    writer.write(answer(421, [
                        ("X-Samphirehill-Instance-Id", self.name)]))
                elif "/-/order" in request.first:
                    writer.write(answer(self.order(json.loads(request.body))))
                elif "/-/report" in request.first:
                    writer.write(answer(200, [
                        ("Content-Type", "application/json")],
                        json.dumps(self.report()).encode()))
                else:
                    await self.run(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.open_writers.discard(writer)
            writer.close()

    def report(self):
        """The state as of 150 ms ago (report_lag_ms is 200)."""
        at = time.monotonic() - 0.15
        found = self.entry()
        for when, spec in self.snapshots:
            if when <= at:
                found = spec
        return found

    def order(self, order):
        before = self.membership()
        status = self.carry_out(order)
        self.record(f"order to {self.name}: {order['op']} "
                    f"{order.get('group')} epoch={order.get('epoch')} "
                    f"-> {status}, was in {before}")
        return status

    def carry_out(self, order):
        fence = order.get("fencing_token", -1)
        if fence < self.fence:
            return 412
        self.fence = fence
        kind = order["op"]
        if kind == "stage":
            if order["model"] in self.staged:
                return 200
            self.later(self.load(order["model"]))
            return 202
        if kind == "join":
            return self.join(order)
        group = self.group
        if not group or (group["name"], group["epoch"]) != (
                order["group"], order["epoch"]):
            return 409 if kind == "open" else 200
        self.seq += 1
        if kind == "leave":
            self.group = None
        elif kind == "open":
            if group["phase"] == "open":
                return 200
            if group["rank"] != 0 or group["phase"] != "ready":
                return 409
            self.later(self.open(group))
        elif kind == "close" and group["phase"] == "open":
            group["phase"] = "closing"
            self.later(self.close(group))
        self.beat()
        return 202

    def join(self, order):
        group = self.group
        if order["epoch"] < self.epoch:
            return 412
        if group and (group["name"], group["epoch"]) == (
                order["group"], order["epoch"]):
            return 200 if group["members"] == order["members"] else 412
        self.epoch = order["epoch"]
        self.taken.append((self.record.now(), order["group"]))
        if group:
            head = self.engines[group["members"][0]]
            theirs = head.group
            if theirs and theirs["epoch"] == group["epoch"] and theirs[
                    "phase"] in ("open", "closing"):
                self.two.append((self.record.now(), order["group"], head.name,
                                 group["name"], theirs["phase"]))
                self.record(f"TWO: {self.name} takes a join of "
                            f"{order['group']} while {head.name}, head of its "
                            f"group {group['name']}, is {theirs['phase']}")
        self.seq += 1
        self.group = {"name": order["group"], "epoch": order["epoch"],
                      "members": order["members"],
                      "rank": order["members"].index(self.name),
                      "phase": "joining", "model": order["model"]}
        self.later(self.joining(self.group))
        self.beat()
        return 202

    def load_time(self, model):
        return self.models[model]["load_s"] * (
            0.1 if self.before_traffic else 1)

    async def load(self, model):
        await asyncio.sleep(self.load_time(model))
        self.staged = [model]
        self.beat()

    async def joining(self, group):
        model = group["model"]
        wait = self.load_time(model)
        if model in self.staged:
            wait = self.models[model]["warm_s"]
        if self.last_model == model:
            wait = 0.2
        await asyncio.sleep(wait)
        if self.group is group:
            self.last_model, self.staged = model, [model]
            group["phase"] = "ready"
            self.beat()

    async def open(self, group):
        await asyncio.sleep(0.3)
        if self.group is group:
            group["phase"] = "open"
            self.record(f"{self.name} opens {group['name']}")
            self.beat()
            self.later(self.watch(group))

    async def close(self, group):
        while self.group is group and self.work:
            await asyncio.sleep(0.05)
        if self.group is group:
            group["phase"] = "ready"
            self.beat()

    def stands_still(self, group):
        return any(
            not self.engines[name].group
            or self.engines[name].group["epoch"] != group["epoch"]
            for name in group["members"])

    async def watch(self, group):
        still_since = None
        while self.group is group and group["phase"] in ("open", "closing"):
            if not self.stands_still(group):
                still_since = None
            elif still_since is None:
                still_since = time.monotonic()
            elif time.monotonic() - still_since > 4:
                group["phase"] = "broken"
                self.record(f"{self.name}: {group['name']} is broken")
                self.beat()
            await asyncio.sleep(0.1)

    async def run(self, request, writer):
        attempt = request.get("X-Samphirehill-Attempt-Id")
        own = [("X-Samphirehill-Attempt-Id", attempt)]
        group = self.group
        if not group or group["rank"] != 0:
            return writer.write(answer(421, own))
        if group["phase"] != "open":
            return writer.write(answer(503, own + [
                ("X-Samphirehill-Not-Executed", "1")]))
        self.work += 1
        try:
            self.record(f"run {attempt} at {self.name} in {group['name']}")
            parts = request.get("X-Samphirehill-Prefix-Hash").split(",")[:-1]
            if self.bad_part in [part.split(":")[0] for part in parts]:
                self.reached_by_bad.append((self.record.now(), attempt))
                await asyncio.sleep(0.06)
                return self.crash()
            self.begun.setdefault(attempt, self.record.now())
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            for name, value in own + [
                    ("X-Samphirehill-Engine-Seal", f"{self.name}.{attempt}"),
                    ("Transfer-Encoding", "chunked")]:
                head += f"{name}: {value}\r\n"
            writer.write((head + "\r\n").encode())
            first = int(request.get("Last-Event-Id") or 0) + 1
            for number in range(first, 28):
                await asyncio.sleep(0.03)
                while self.group is group and group["phase"] in (
                        "open", "closing") and self.stands_still(group):
                    await asyncio.sleep(0.05)
                if self.group is not group or group["phase"] not in (
                        "open", "closing"):
                    self.record(f"{attempt} cut off at {self.name}")
                    return writer.transport.abort()
                while self.cut_from_entries:
                    await asyncio.sleep(0.05)
                event = f"id: {number}\ndata: {attempt}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.work -= 1


def engine_backend(name, models):
    """The service of model engines as the store shows it."""
    shapes = [{"name": model, "size": each["size"], "share": 1.0 / len(models),
               "pace": 1.0, "load_s": each["load_s"],
               "warm_s": each["warm_s"]} for model, each in models.items()]
    return {"name": name, "health_path": "/healthz", "max_connections": 474,
            "protocol": "h1", "tls_enabled": False, "cold_start_s": 3.0,
            "cold_per_s": 36.0, "engine": {
                "capacity_slots": 26, "kv_capacity": 1400000,
                "kv_bytes": 35136, "bandwidth_mbps": 400000.0, "stride": 5,
                "models": shapes, "step_ms": 6.07, "per_seq_ms": 0.241,
                "context_per_k": 0.00488, "read_per_s": 46000.0,
                "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0,
                "loads_per_s": 4.0, "loads_at_once": 6, "delays": [],
                "usual": {"prompt": 1076, "answer": 116}, "retains": 1,
                "far_x": 2.5, "form_ms": 300.0}}


async def expire_entries(store, engines):
    """The store removes an entry after three heartbeats of silence."""
    while True:
        for engine in list(engines.values()):
            silent = time.monotonic() - engine.last_beat > 3.6
            if silent and ("servers", engine.name) in store.objects:
                store.remove("servers", engine.name)
                engine.record(f"the store removes servers/{engine.name}")
        await asyncio.sleep(0.1)


def run_case(main, limit_s):
    """Returns the exit code of main, or 2 if it failed or took too long."""
    try:
        return asyncio.run(asyncio.wait_for(main(), limit_s))
    except Exception as failed:
        print(f"the case couldn't run: {failed!r}", file=sys.stderr)
        return 2
