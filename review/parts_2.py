"""Stand-ins for the scripts of the second review.

The store, the instances of a plain service, callers and the platform's process
supervision, by the users' pages (PROTOCOL.md, DEPLOY.md), on loopback addresses and
the real clock. Only the standard library is used.
"""
import asyncio
import itertools
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
PROGRAM = os.path.join(ROOT, "target", "samphirehilld-platform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


def now():
    return time.monotonic() - START


def free_port(host, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self(f"trouble={int(TROUBLE)}")

    def __call__(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the headers (names in lower case)."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first, headers, body=b""):
    head = first + "\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers.items())
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store, without its limits of rate."""

    def __init__(self, host):
        self.address = (host, free_port(host))
        self.revision = 100
        self.objects = {}  # (kind, name) -> object
        self.history = []  # (revision, kind, event)
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def note(self, kind, event):
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        old = self.objects.get((kind, name))
        if old and old["spec"] == spec:
            return old
        self.revision += 1
        self.objects[(kind, name)] = {
            "metadata": {"name": name, "revision": self.revision,
                         "created": old["metadata"]["created"] if old else self.revision,
                         "finalizers": [], "deleting": False},
            "spec": spec, "status": None}
        self.note(kind, {"removed": False, "object": self.objects[(kind, name)]})
        return self.objects[(kind, name)]

    def delete(self, kind, name):
        old = self.objects.pop((kind, name), None)
        if old:
            self.revision += 1
            self.note(kind, {"removed": True, "object": old})

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                status, answer = await self.answer(method, target, body)
                writer.write(message(f"HTTP/1.1 {status} X",
                                     {"Content-Type": "application/json"},
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        parts = url.path.removeprefix("/-/objects/").split("/")
        kind, name = parts[0], unquote(parts[1]) if len(parts) > 1 else None
        await asyncio.sleep(0.004)
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("wait_ms", "0")) / 1000)
        if method == "GET" and name is None:
            after = query.get("after", "")
            items = [o for (k, n), o in sorted(self.objects.items())
                     if k == kind and n > after]
            return 200, {"items": items[:500], "truncated": len(items) > 500,
                         "store_revision": self.revision}
        if method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        sent = json.loads(body) if body else {}
        meta = sent.get("metadata", {})
        if method == "POST":
            name = meta["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 201, self.put(kind, name, sent.get("spec"))
        old = self.objects.get((kind, name))
        if not old:
            return 404, {}
        stated = meta.get("revision", query.get("revision"))
        if stated is not None and int(stated) != old["metadata"]["revision"]:
            return 409, old
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        return 200, self.put(kind, name, sent.get("spec"))

    async def watch(self, kind, since, wait):
        end = time.monotonic() + min(wait, 30)
        while True:
            events = [e for r, k, e in self.history if k == kind and r > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Instance:
    """An instance of a plain service: serves slots requests at once and lets queue more
    wait; refuses the others with 503 and X-Samphirehill-Not-Executed."""

    ids = itertools.count(1)
    idle_s = 15.0  # idle connections are closed after this

    def __init__(self, store, record, host, service, zone, slots, queue, work_s):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.id = f"i-{next(self.ids):04x}{secrets.token_hex(2)}"
        self.address = (host, free_port(host))
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.free = asyncio.Semaphore(slots)
        self.inside = 0
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.runs = {}  # attempt id -> number of runs
        self.received = {}  # attempt id -> bytes of the body

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address,
                                                 limit=1 << 20)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.seq += 1
            self.store.put("servers", self.id, {
                "backend": self.service, "address": "%s:%d" % self.address,
                "zone": self.zone, "version": "v1", "capacity_slots": self.slots,
                "phase": "ready", "cold_remaining_ms": 0, "seq": self.seq,
                "born": self.born})
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await asyncio.wait_for(read_head(reader), self.idle_s)
                body = await read_body(reader, headers)
                await self.run(first, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.TimeoutError):
            pass
        finally:
            writer.close()

    async def run(self, first, headers, body, writer):
        attempt = headers.get("x-samphirehill-attempt-id", "")
        expected = headers.get("x-samphirehill-expect-instance")
        echo = {"X-Samphirehill-Attempt-Id": attempt} if attempt else {}
        if first.startswith("GET /healthz"):
            writer.write(message("HTTP/1.1 200 OK",
                                 {"X-Samphirehill-Instance-Id": self.id}))
            return
        if expected and expected != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected Request",
                                 {"X-Samphirehill-Instance-Id": self.id, **echo}))
            return
        if self.inside >= self.slots + self.queue:
            self.record(f"instance={self.id} refuses id={attempt}")
            writer.write(message("HTTP/1.1 503 Service Unavailable",
                                 {"X-Samphirehill-Not-Executed": "1", **echo}))
            return
        self.inside += 1
        try:
            async with self.free:
                self.runs[attempt] = self.runs.get(attempt, 0) + 1
                self.received[attempt] = len(body)
                self.record(f"instance={self.id} runs id={attempt} bytes={len(body)}")
                await asyncio.sleep(self.work_s)
        finally:
            self.inside -= 1
        writer.write(message("HTTP/1.1 200 OK", {
            "X-Samphirehill-Engine-Seal": secrets.token_hex(6), **echo}, b"x" * 800))
        await writer.drain()


class Entry:
    """A process of the role 'entry' on a machine of its own address, started as the
    deploy file says. Started again 0.5 s after each end. Killed when it holds more than
    memory_mb, if that is set."""

    def __init__(self, record, host, name, zone, store, folder, first_start=True,
                 grace="8s", memory_mb=None):
        self.record, self.host, self.name, self.zone = record, host, name, zone
        self.store, self.folder, self.first_start, self.grace = store, folder, first_start, grace
        self.memory_mb = memory_mb
        self.callers = (host, free_port(host))
        self.readiness = (host, free_port(host))
        self.metrics = (host, free_port(host))
        self.peers = (host, free_port(host, socket.SOCK_DGRAM))
        self.settings = os.path.join(folder, name + ".toml")
        self.ends = []  # times at which it ended by itself
        self.highest = 0  # bytes
        self.process = None
        self.stopping = False

    def write_settings(self):
        at = "%s:%d"
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f'entry = "{self.name}"\nzone = "{self.zone}"\n'
                       f"first_start = {str(self.first_start).lower()}\n"
                       "processor_share = 0.25\n[listen]\n"
                       f'callers = "{at % self.callers}"\n'
                       f'readiness = "{at % self.readiness}"\n'
                       f'peers = "{at % self.peers}"\nmetrics = "{at % self.metrics}"\n'
                       f'[platform]\naddress = "{at % self.store.address}"\n'
                       '[retries]\nratio = 0.2\nslack = 134\nwindow = "10s"\n'
                       f'[times]\ngrace = "{self.grace}"\ndrain = "2000ms"\n')

    def spawn(self):
        self.write_settings()
        self.first_start = False
        environment = {"PATH": os.environ["PATH"], "SAMPHIREHILL_CONFIG": self.settings,
                       "MEMORY_LIMIT_MB": "260"}
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "--settings", self.settings], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record(f"entry={self.name} started pid={self.process.pid}")

    def held(self):
        """Bytes of memory that the process holds now (resident)."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, IndexError):
            return 0

    async def supervise(self):
        self.spawn()
        while not self.stopping:
            held = self.held()
            self.highest = max(self.highest, held)
            if self.memory_mb and held > self.memory_mb * 1_048_576:
                self.record(f"entry={self.name} holds {held / 1e6:.0f} MB, more than "
                            f"{self.memory_mb} MiB: killed")
                self.process.kill()
                self.process.wait()
            if self.process.poll() is not None:
                self.ends.append(now())
                self.record(f"entry={self.name} ended status={self.process.returncode}")
                await asyncio.sleep(0.5)
                if not self.stopping:
                    self.spawn()
            await asyncio.sleep(0.004)

    async def start(self):
        self.task = asyncio.create_task(self.supervise())
        await asyncio.sleep(0)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.readiness)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in first + " "
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def await_ready(self, limit=15):
        end = now() + limit
        while not await self.is_ready():
            if now() > end:
                raise RuntimeError(f"{self.name} isn't ready")
            await asyncio.sleep(0.05)

    def stop(self):
        self.stopping = True
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def route(name, prefix, kind, service, timeout_ms, attempts):
    return {"name": name, "hostname": "site.example", "path_prefix": prefix,
            "route_type": kind, "timeout_ms": timeout_ms, "target_latency_ms": 150,
            "priority_class": 2, "backend": service, "max_attempts": attempts,
            "anonymous": False}


def configuration(version, routes, services, **limits):
    return {"version": version, "routes": routes,
            "backends": [{"name": each, "health_path": "/healthz",
                          "max_connections": 110, "protocol": "h1",
                          "tls_enabled": False, "cold_start_s": 0.0,
                          "cold_per_s": 0.0} for each in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000, **limits},
            "tenants": [{"name": "tenant-a", "api_keys": ["key-a"],
                         "priority_class": 1}]}


class Link:
    """A machine's link: passes bytes on at its rate, those of all its users together."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0

    async def send(self, writer, data, part=65536):
        for begin in range(0, len(data), part):
            piece = data[begin:begin + part]
            self.free_at = max(self.free_at, now()) + len(piece) / self.bytes_per_s
            await asyncio.sleep(max(self.free_at - now(), 0))
            writer.write(piece)
            await writer.drain()


class Answer:
    def __init__(self, status, headers=None, body=b"", cause=""):
        self.status, self.headers, self.body, self.cause = status, headers or {}, body, cause


class Caller:
    """A connection of a caller. Opens a new one if none is kept."""

    def __init__(self, record, entry, link=None):
        self.record, self.entry, self.link = record, entry, link
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.entry.callers, limit=1 << 20), 1)

    async def call(self, method, path, deadline_ms, body=b"", headers=None, limit=None):
        attempt = secrets.token_hex(8)
        fields = {"Host": "site.example", "X-Samphirehill-Attempt-Id": attempt,
                  "X-Samphirehill-Deadline-Ms": deadline_ms, "X-Api-Key": "key-a",
                  **(headers or {})}
        try:
            if self.writer is None:
                await self.open()
            answer = await asyncio.wait_for(
                self.exchange(message(f"{method} {path} HTTP/1.1", fields, body)),
                limit or deadline_ms / 1000)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
                asyncio.LimitOverrunError) as failed:
            self.close()
            answer = Answer(0, cause=type(failed).__name__)
        answer.id = attempt
        self.record(f"caller entry={self.entry.name} {method} {path} id={attempt} "
                    f"bytes={len(body)} -> {answer.status} {answer.cause}")
        return answer

    async def exchange(self, data):
        try:
            if self.link:
                await self.link.send(self.writer, data)
            else:
                self.writer.write(data)
                await self.writer.drain()
        except ConnectionError:
            pass  # an answer may have come before
        first, headers = await read_head(self.reader)
        body = await read_body(self.reader, headers)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(first.split(" ")[1]), headers, body)

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None


def run_case(folder, case):
    """Runs case(record, temporary folder, entries), a coroutine that appends the entries
    it starts and returns whether the rule held. Exits with 0, 1 or 2."""
    record = Record(folder)
    entries = []
    code = 2
    with tempfile.TemporaryDirectory(prefix="review2-") as temporary:
        try:
            # Not asyncio.run, which waits for tasks that it cancels.
            held = asyncio.new_event_loop().run_until_complete(
                asyncio.wait_for(case(record, temporary, entries), 115))
            code = 0 if held else 1
            record("the rule held" if held else "the rule was broken")
        except Exception as failed:  # the case couldn't run
            record(f"couldn't run: {type(failed).__name__}: {failed}")
            print(f"couldn't run: {type(failed).__name__}: {failed}", file=sys.stderr)
        finally:
            for each in entries:
                each.stop()
            if os.environ.get("KEEP_LOGS"):
                for name in os.listdir(temporary):
                    with open(os.path.join(temporary, name), "rb") as source, \
                         open(os.path.join(os.environ["KEEP_LOGS"], name), "wb") as to:
                        to.write(source.read())
    record.file.close()
    sys.stderr.flush()
    os._exit(code)  # without the noise of transports that nobody closed
