"""Stand-ins for the cases 11 to 15: the platform's store, an application
service, model engines and callers, as the users' pages describe them. One
event loop; entries run as separate processes."""
import asyncio
import json
import os
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
TOP = os.path.dirname(HERE)
PROGRAM = os.path.join(TOP, "target", "samphirehilld-platform")
DRAIN_MS = 2000
GRACE_S = 8


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
    message = await read_head(reader)
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
                request = await read_message(reader)
                await self.run(request, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
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
        writer.write(answer(
            200, [("X-Samphirehill-Attempt-Id", attempt),
                  ("X-Samphirehill-Engine-Seal", f"{self.name}.{attempt}"),
                  *self.extra],
            f"{self.name} ran {attempt}".encode()))
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
