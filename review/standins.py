"""Stand-ins for the platform's store, engines and clients, for the scripts of
this review. They follow the users' pages (PROTOCOL.md); Python's standard
library only. Everything runs on loopback addresses in one asyncio loop; the
entries are separate processes, started with the command of deploy/system.toml.
"""

import asyncio
import json
import logging
import os
import pathlib
import re
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
START = time.monotonic()
logging.getLogger("asyncio").setLevel(logging.CRITICAL + 1)
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
STARTED = []  # the processes of all entries


def end_all():
    """Ends the processes that still run, also if the script is ended early."""
    for process in STARTED:
        if process.returncode is None:
            try:
                process.kill()
            except ProcessLookupError:
                pass


def now():
    """Seconds since the script started."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def __call__(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


def free_port(host):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads one HTTP/1.1 message with a length, in chunks or with no body.
    Returns (first line, headers, body), or None at the end of the stream.
    Raises IncompleteReadError if the stream ends within the message."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            if head:
                raise asyncio.IncompleteReadError(head, None)
            return None
        head += line
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readline()
            if not line:
                raise asyncio.IncompleteReadError(body, None)
            size = int(line.split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Store:
    """The platform's store: objects by kind and name, lists in pages, watches.
    `answer_s` is the time that an answer takes (4 ms on the users' sheets)."""

    def __init__(self, record, page=500, answer_s=0.004):
        self.record, self.page, self.answer_s = record, page, answer_s
        self.revision = 100
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Event()
        self.on_page = None  # called with (kind, page number) after a page is read
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def _note(self, kind, name, removed):
        self.history.append((self.revision, kind, json.loads(json.dumps(
            self.kinds[kind][name])), removed))
        if removed:
            del self.kinds[kind][name]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """A write of the operator or of an engine. Returns the revision."""
        self.revision += 1
        objects = self.kinds.setdefault(kind, {})
        created = objects[name]["metadata"]["created"] if name in objects \
            else self.revision
        objects[name] = {"metadata": {
            "name": name, "revision": self.revision, "created": created,
            "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self._note(kind, name, False)
        return self.revision

    def remove(self, kind, name):
        if name not in self.kinds.get(kind, {}):
            return
        self.revision += 1
        self.kinds[kind][name]["metadata"]["revision"] = self.revision
        self._note(kind, name, True)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ")
                status, body = await self._call(method, target, message[2])
                data = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _call(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        path = [urllib.parse.unquote(p) for p in parts.path.split("/")[3:]]
        kind = path[0]
        await asyncio.sleep(self.answer_s / 2)
        answer = await self._act(method, kind, path[1:], query,
                                 json.loads(body) if body else {})
        await asyncio.sleep(self.answer_s / 2)
        return answer

    async def _act(self, method, kind, rest, query, body):
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and rest:
            found = objects.get(rest[0])
            return (200, found) if found else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]),
                                     int(query.get("wait_ms", "30000")))
        if method == "GET":
            after = query.get("after", "")
            names = [n for n in sorted(objects) if n > after]
            page = {"items": [objects[n] for n in names[:self.page]],
                    "truncated": len(names) > self.page,
                    "store_revision": self.revision}
            page = json.loads(json.dumps(page))
            if self.on_page:
                self.on_page(kind, after, page["truncated"])
            return 200, page
        name = rest[0] if rest else body["metadata"]["name"]
        found = objects.get(name)
        if method == "POST":
            if found:
                return 409, found
            self.put(kind, name, body.get("spec"))
            return 201, objects[name]
        if not found:
            return 404, {}
        wanted = body.get("metadata", {}).get("revision",
                                              query.get("revision"))
        if wanted is not None and int(wanted) != found["metadata"]["revision"]:
            return 409, found
        if method == "PUT" and len(rest) == 1:
            if body.get("spec") != found["spec"]:
                self.put(kind, name, body.get("spec"))
            return 200, objects[name]
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 400, {}

    async def _watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"object": o, "removed": r}
                      for rev, k, o, r in self.history
                      if k == kind and rev > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Engine:
    """An engine of a plain service. `behave` may be replaced: it gets the
    engine, the request and the writer, and answers it."""

    def __init__(self, store, record, ident, service, zone="amman-east",
                 slots=6, work_s=0.03, host="127.0.0.1"):
        self.store, self.record, self.ident = store, record, ident
        self.service, self.zone, self.slots = service, zone, slots
        self.work_s, self.host = work_s, host
        self.phase, self.seq, self.leaving = "ready", 1, False
        self.born = int(time.time() * 1000)
        self.running = 0
        self.ran = []  # (time, id of the request)
        self.behave = None
        self.writers = set()

    async def start(self, listed=True):
        self.server = await asyncio.start_server(self._serve, self.host, 0)
        self.address = "%s:%d" % (
            self.host, self.server.sockets[0].getsockname()[1])
        if listed:
            self.report()

    def report(self):
        return self.store.put("servers", self.ident, {
            "backend": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "capacity_slots": self.slots,
            "phase": self.phase, "cold_remaining_ms": 0, "seq": self.seq,
            "born": self.born})

    def drain(self):
        """Reports that it leaves; returns when the store has accepted that."""
        self.phase, self.leaving = "draining", True
        self.seq += 1
        revision = self.report()
        self.record(f"engine {self.ident} reports draining, accepted by the "
                    f"store at revision {revision}")
        return now()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def head(self, status, request_id, length=None, extra=b""):
        text = b"HTTP/1.1 %d X\r\nX-Samphirehill-Attempt-Id: %s\r\n" \
               b"X-Samphirehill-Instance-Id: %s\r\n" % (
                   status, request_id.encode(), self.ident.encode())
        if status < 400 or status == 500:
            text += b"X-Samphirehill-Engine-Seal: %s.1\r\n" % (
                self.ident.encode())
        if self.leaving:
            text += b"Server-Leaving: 1\r\n"
        if length is not None:
            text += b"Content-Length: %d\r\n" % length
        return text + extra + b"\r\n"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                ident = headers.get("x-samphirehill-attempt-id", "")
                if headers.get("x-samphirehill-expect-instance",
                               self.ident) != self.ident:
                    writer.write(self.head(421, ident, 0))
                    continue
                if " /healthz" in line:
                    writer.write(self.head(503 if self.leaving else 200,
                                           ident, 0))
                    continue
                if self.running >= self.slots + 24:
                    writer.write(self.head(
                        503, ident, 0, b"X-Samphirehill-Not-Executed: 1\r\n"))
                    continue
                self.record(f"engine {self.ident} runs {ident}: {line}")
                self.ran.append((now(), ident))
                self.running += 1
                try:
                    if self.behave:
                        await self.behave(self, line, headers, body, writer)
                    else:
                        await asyncio.sleep(self.work_s)
                        text = b"x" * 800
                        writer.write(self.head(200, ident, len(text)) + text)
                    await writer.drain()
                finally:
                    self.running -= 1
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def run_command():
    """The command of the deploy file's only role."""
    text = (ROOT / "deploy/system.toml").read_text()
    return re.search(r'^run = "(.*)"$', text, re.MULTILINE)[1]


class Entry:
    """One entry as a process, with the filled-in settings template."""

    def __init__(self, record, store, number, folder, first_start=True,
                 zone="amman-east"):
        self.record, self.number = record, number
        self.name = f"edge-{zone}-{number}"
        host = f"127.0.0.{number + 1}"
        self.host = host
        self.callers = f"{host}:{free_port(host)}"
        self.readiness = f"{host}:{free_port(host)}"
        fields = {"node_name": self.name, "zone": zone, "bootstrap|json":
                  "true" if first_start else "false",
                  "limits.cpu_quota": "0.25", "listen_addrs.front":
                  self.callers, "listen_addrs.ready": self.readiness,
                  "ip": host, "port_range.0": str(free_port(host)),
                  "platform.address": store.address,
                  "bounds.retry_ratio": "0.2", "bounds.retry_slack": "134",
                  "bounds.retry_window_s": "10", "bounds.grace_s": "8",
                  "bounds.drain_ms": "2000"}
        text = (ROOT / "deploy/settings.toml").read_text()
        text = re.sub(r"\{\{([^}]*)\}\}", lambda m: fields[m[1]], text)
        text = text.replace(":9464", f":{free_port(host)}")
        self.path = pathlib.Path(folder) / f"{self.name}.toml"
        self.path.write_text(text)
        self.log = pathlib.Path(folder) / f"{self.name}.log"

    async def start(self):
        words = run_command().replace("/etc/samphirehill/boot.conf",
                                      str(self.path)).split()
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=open(self.log, "ab"),
            stderr=asyncio.subprocess.STDOUT)
        STARTED.append(self.process)
        self.record(f"entry {self.name} started, process {self.process.pid}")

    async def ready(self, seconds=10):
        until = now() + seconds
        while now() < until:
            try:
                status = await self.ask_ready()
                if status == 200:
                    return True
            except (ConnectionError, OSError):
                pass
            await asyncio.sleep(0.05)
        return False

    async def ask_ready(self):
        host, port = self.readiness.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        message = await read_message(reader)
        writer.close()
        return int(message[0].split(" ")[1])

    def memory_mb(self):
        try:
            text = open(f"/proc/{self.process.pid}/status").read()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0.0

    def send(self, number):
        self.record(f"entry {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass
        await self.process.wait()


def configuration(routes, backends, version=7):
    return {"version": version, "routes": routes, "backends": backends,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [KEY],
                         "priority_class": 1}]}


def route(name, prefix, backend, kind, timeout_ms, target_ms, attempts):
    return {"name": name, "hostname": HOST, "path_prefix": prefix,
            "route_type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority_class": 1,
            "backend": backend, "max_attempts": attempts, "anonymous": False,
            "session_affinity": False, "resumable": kind == "stream",
            "gap_target_ms": 300}


def plain_backend(name, connections=110):
    return {"name": name, "health_path": "/healthz",
            "max_connections": connections, "protocol": "h1",
            "tls_enabled": False, "cold_start_s": 0.0, "cold_per_s": 0.0}


def request_bytes(method, path, ident, deadline_ms, body=b"", extra=b""):
    text = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n" \
           f"X-Samphirehill-Attempt-Id: {ident}\r\n" \
           f"X-Samphirehill-Deadline-Ms: {deadline_ms}\r\n" \
           f"X-Api-Key: {KEY}\r\n"
    if method != "GET":
        text += f"Content-Length: {len(body)}\r\n"
    return text.encode() + extra + b"\r\n" + body


class Client:
    """One connection of a client, kept for several requests."""

    def __init__(self, record, entry, name="c"):
        self.record, self.entry, self.name = record, entry, name
        self.count = 0

    async def connect(self):
        host, port = self.entry.callers.split(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port))

    async def ask(self, method, path, deadline_ms, body=b"", extra=b""):
        """Returns (id, status or None if the connection ended, body)."""
        self.count += 1
        ident = f"{self.name}{self.count:04x}"
        self.record(f"client sends {ident}: {method} {path} to "
                    f"{self.entry.name}")
        self.writer.write(request_bytes(method, path, ident, deadline_ms,
                                        body, extra))
        try:
            message = await asyncio.wait_for(read_message(self.reader),
                                             deadline_ms / 1000 + 1)
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.TimeoutError) as failed:
            self.record(f"client gets no complete answer to {ident}: "
                        f"{type(failed).__name__}")
            return ident, None, b""
        if message is None:
            self.record(f"client gets no answer to {ident}: connection closed")
            return ident, None, b""
        status = int(message[0].split(" ")[1])
        self.record(f"client gets {status} to {ident}, "
                    f"{len(message[2])} bytes")
        return ident, status, message[2]

    def close(self):
        self.writer.close()


def main(case, folder):
    """Runs `case(record, folder of temporary files, trouble)`, which returns
    True if the rule held, False if it was broken, None if it couldn't run."""
    record = Record(folder)

    def terminated(*_):
        end_all()
        os._exit(2)
    signal.signal(signal.SIGTERM, terminated)
    signal.signal(signal.SIGINT, terminated)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            held = asyncio.run(asyncio.wait_for(
                case(record, temporary, trouble), 110))
        except Exception as failed:  # the case could not run
            end_all()
            record(f"the case could not run: {failed!r}")
            print(f"the case could not run: {failed!r}", flush=True)
            os._exit(2)
        for log in sorted(pathlib.Path(temporary).glob("*.log")):
            for line in log.read_text(errors="replace").splitlines()[-40:]:
                record(f"log {log.stem}: {line}")
    text = {True: "the rule held", False: "the rule was broken",
            None: "the case could not run"}[held]
    record(text)
    print(text, flush=True)
    os._exit({True: 0, False: 1, None: 2}[held])
