#!/usr/bin/env python3
"""Plays engines that send broken answers against an entry as a real process,
and counts the callers that got one as a complete answer.

    bench/broken/play.py [--group GROUP] [--callers N] [--tree DIR] [--log DIR]

GROUP is mixed (answers cut while the upload is being written, and whole ones
that must be served), status (statuses outside 100 to 599, and 101) or names
(names of fields that are no token). --tree names a checkout whose
target/samphirehilld-platform is played, this one by default (build: the command
of deploy/system.toml). --log DIR keeps the entries' logs. Prints one line a
case and exits with 1 if a broken answer reached a caller, a whole one did not,
or a caller waited longer than its case allows.

The store and the entry are those of review/standins.py.
"""

import argparse
import asyncio
import collections
import dataclasses
import pathlib
import re
import shutil
import socket
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review"))
import standins  # noqa: E402
from standins import Engine, Entry, Store, now  # noqa: E402

SERVICE = "wuno96b"
ZONE = "amman-east"
ROUTES = {"safe": "/cufi504/", "stream": "/teli220/"}
UPLOAD_BYTES = 4_000_000
# Of a listening socket and the connections that it accepts. The rest of an
# upload is then still being written when its answer arrives.
RECEIVE_BUFFER_BYTES = 4096
EVENTS = b"".join(b"id: %d\ndata: t\n\n" % n for n in range(1, 51))
PART = b"x" * 800
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9a-z-]+")
# A caller whose attempts fail at once gets its answer within this time.
AT_ONCE_S = 1.0


@dataclasses.dataclass(frozen=True)
class Case:
    """What an engine sends and does. `{ids}` in the head stands for the fields
    with the request's id and the engine's seal."""
    name: str
    head: bytes
    body: bytes = b""
    route: str = "safe"
    end: str = "reset"
    upload: int = UPLOAD_BYTES
    reads: int = 0          # bytes of the request, before the answer
    whole: bool = False     # must be served
    deadline_ms: int = 2500
    within_s: float = AT_ONCE_S

    def served(self):
        """The body of a whole answer."""
        if b"chunked" not in self.head:
            return self.body
        return self.body.split(b"\r\n")[1]


HEAD = b"HTTP/1.1 200 OK\r\n{ids}\r\n"


def mixed_cases():
    for route, body in (("safe", PART), ("stream", EVENTS)):
        for end in ("reset", "reset late", "close", "two pieces", "finish, reset",
                    "finish, close"):
            yield Case(f"{route}, no length, {end}", HEAD, body, route, end)
        # The entry's own timeout ends the connection after 2.5 s.
        yield Case(f"{route}, no length, reads no more", HEAD, body, route, "idle",
                   deadline_ms=6000, within_s=6.0)
    closing = b"HTTP/1.1 200 OK\r\n{ids}Connection: close\r\n\r\n"
    yield Case("safe, Connection: close, reset", closing, PART)
    yield Case("safe, HTTP/1.0, reset", HEAD.replace(b"1.1", b"1.0"), PART)
    yield Case("safe, a third of the upload read, reset", HEAD, PART,
               reads=UPLOAD_BYTES // 3)
    yield Case("safe, upload read, reset", HEAD, PART, upload=2000, reads=2000,
               end="reset late")
    length = b"HTTP/1.1 200 OK\r\n{ids}Content-Length: 900\r\n\r\n"
    yield Case("safe, short of its length, reset", length, PART)
    chunked = b"HTTP/1.1 200 OK\r\n{ids}Transfer-Encoding: chunked\r\n\r\n"
    yield Case("safe, short of its last chunk, reset", chunked,
               b"320\r\n" + PART + b"\r\n")
    for route, body in (("safe", PART), ("stream", EVENTS)):
        sized = HEAD[:-2] + b"Content-Length: %d\r\n\r\n" % len(body)
        yield Case(f"{route}, length, reset late", sized, body, route,
                   "reset late", whole=True)
        for end in ("finish, read on", "finish, idle"):
            yield Case(f"{route}, no length, {end}", HEAD, body, route, end,
                       whole=True)
        yield Case(f"{route}, no length, upload read, finish", HEAD, body, route,
                   "finish, read on", reads=UPLOAD_BYTES, whole=True)
    yield Case("safe, chunked, reset late", chunked,
               b"320\r\n" + PART + b"\r\n0\r\n\r\n", end="reset late", whole=True)


def status_cases():
    answer = b"HTTP/1.1 %s\r\n{ids}Content-Length: 4\r\n\r\n"
    for status in (b"000", b"000 Zero", b"001 X", b"099 X", b"20 X", b"101 X",
                   b"600 X", b"999 X", b"2000 X", b"65736 X", b"-200 X",
                   b"0200 X"):
        yield Case(status.decode(), answer % status, b"body", upload=0,
                   end="idle")
    yield Case("000 without a length", b"HTTP/1.1 000 X\r\n{ids}\r\n", b"body",
               upload=0, end="finish, read on")
    yield Case("000, then 200", b"HTTP/1.1 000 X\r\n{ids}\r\n" + answer % b"200 OK",
               b"body", upload=0, end="idle")
    for status in (b"200 OK", b"599 X", b"100 C\r\n\r\nHTTP/1.1 200 OK"):
        yield Case(status.decode().replace("\r\n", " "), answer % status,
                   b"body", upload=0, end="keep", whole=True)


def name_cases():
    fields = {
        "blank within": b"X Own: 1", "blank before the colon": b"X-Own : 1",
        "blank in Content-Length": b"Content-Length : 2",
        "blank in Transfer-Encoding": b"Transfer-Encoding : chunked",
        "tab": b"X\tOwn: 1",
        "tab before the colon": b"X-Own\t: 1", "NUL": b"X\0Own: 1",
        "CR": b"X\rOwn: 1", "0x01": b"X\x01Own: 1", "DEL": b"X\x7fOwn: 1",
        "byte over 127": b"X\xe9Own: 1", "empty": b": 1", "no colon": b"X-Own"}
    length = b"Content-Length: 4\r\n\r\n"
    for name, field in fields.items():
        yield Case(name, b"HTTP/1.1 200 OK\r\n{ids}" + field + b"\r\n" + length,
                   b"body", upload=0, end="idle")
    yield Case("first line, blank", b"HTTP/1.1 200 OK\r\n X: 1\r\n{ids}" + length,
               b"body", upload=0, end="idle")
    yield Case("in a 500", b"HTTP/1.1 500 X\r\n{ids}X Own: 1\r\n" + length,
               b"body", upload=0, end="idle")
    yield Case("in an interim answer", b"HTTP/1.1 103 X\r\nX Own: 1\r\n\r\n"
               b"HTTP/1.1 200 OK\r\n{ids}" + length, b"body", upload=0, end="idle")
    chunked = b"HTTP/1.1 200 OK\r\n{ids}Transfer-Encoding: chunked\r\n\r\n"
    yield Case("trailer, 0x01", chunked, b"4\r\nbody\r\n0\r\nX\x01Own: 1\r\n\r\n",
               upload=0, end="idle")
    # The trailer is dropped; a folded line is part of the value before it
    # (RFC 9112, section 5.2).
    yield Case("trailer, blank within", chunked,
               b"4\r\nbody\r\n0\r\nX Own: 1\r\n\r\n", upload=0, end="keep",
               whole=True)
    yield Case("folded line", b"HTTP/1.1 200 OK\r\n{ids}X-A: 1\r\n X-Own: 1\r\n" +
               length, b"body", upload=0, end="keep", whole=True)
    yield Case("sound", b"HTTP/1.1 200 OK\r\n{ids}X-Own: 1\r\n" + length,
               b"body", upload=0, end="keep", whole=True)


GROUPS = {"mixed": mixed_cases, "status": status_cases, "names": name_cases}


class BreakingEngine(Engine):
    """An engine that answers each request as its case says. It reads no more of
    a request than that: the id is peeked at."""

    def __init__(self, *args, case, **kwargs):
        super().__init__(*args, **kwargs)
        self.case = case
        self.tasks = set()

    async def start(self, listed=True):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                 RECEIVE_BUFFER_BYTES)
        self.listener.bind((self.host, 0))
        self.listener.listen(64)
        self.listener.setblocking(False)
        self.address = "%s:%d" % self.listener.getsockname()
        self.keep(self.accept())
        if listed:
            self.report()

    def keep(self, running):
        task = asyncio.create_task(running)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            connection.setblocking(False)
            self.keep(self.serve(connection))

    async def serve(self, connection):
        try:
            while True:
                head = await self.peek_head(connection)
                await self.answer(connection, head)
                if self.case.end != "keep":
                    break
                await self.read(connection, self.request_size(head))
        except (ConnectionError, ValueError) as failed:
            self.record(f"engine {self.ident}: {failed!r}")
        finally:
            connection.close()

    async def peek_head(self, connection):
        """Returns the head of the request, which stays unread."""
        while True:
            try:
                head = connection.recv(RECEIVE_BUFFER_BYTES, socket.MSG_PEEK)
            except BlockingIOError:
                head = b""
            else:
                if not head:
                    raise ConnectionError("closed by the entry")
            if b"\r\n\r\n" in head:
                return head.split(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
            await asyncio.sleep(0.001)

    @staticmethod
    def fields(head):
        return dict(line.lower().split(": ", 1) for line in head[1:])

    def request_size(self, head):
        return len("\r\n".join(head)) + 4 + int(
            self.fields(head).get("content-length", "0"))

    async def read(self, connection, size):
        loop = asyncio.get_running_loop()
        while size > 0:
            part = await loop.sock_recv(connection, min(size, 65536))
            if not part:
                raise ConnectionError("closed by the entry")
            size -= len(part)

    async def answer(self, connection, head):
        loop = asyncio.get_running_loop()
        ident = self.fields(head)["x-samphirehill-attempt-id"]
        self.record(f"engine {self.ident} answers {ident}")
        await self.read(connection, self.case.reads)
        ids = (f"X-Samphirehill-Attempt-Id: {ident}\r\n"
               f"X-Samphirehill-Instance-Id: {self.ident}\r\n"
               f"X-Samphirehill-Engine-Seal: {self.ident}.1\r\n").encode()
        data = self.case.head.replace(b"{ids}", ids) + self.case.body
        if self.case.end == "two pieces":
            await loop.sock_sendall(connection, data[:-400])
            await asyncio.sleep(0.01)
            data = data[-400:]
        await loop.sock_sendall(connection, data)
        if self.case.end != "keep":
            await self.end(connection, self.case.end)

    async def end(self, connection, how):
        if how.startswith("finish"):
            connection.shutdown(socket.SHUT_WR)
        if how == "finish, read on":
            await self.read(connection, 1 << 40)  # until the entry closes
        if how.endswith("idle"):
            return await asyncio.sleep(8)
        await asyncio.sleep(0.3 if how == "reset late" else 0.02)
        if not how.endswith("close"):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  b"\1\0\0\0\0\0\0\0")

    def stop(self):
        for task in list(self.tasks):
            task.cancel()
        self.listener.close()


@dataclasses.dataclass(frozen=True)
class Got:
    """What one caller got; status is None if that was no complete answer."""
    status: int | None
    sealed: bool          # the answer is an engine's
    names_are_tokens: bool
    body: bytes
    seconds: float


async def ask(entry, case, ident):
    """Sends one request. Returns what its caller got."""
    host, port = entry.callers.split(":")
    begun = now()
    status, headers, body = None, {}, b""
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        # Bodies differ, or the requests themselves would be taken for the cause.
        upload = ident.encode().ljust(case.upload, b"b")
        writer.write(standins.request_bytes(
            "POST", ROUTES[case.route] + "2f", ident, case.deadline_ms, upload))
        head, headers, body = await asyncio.wait_for(
            standins.read_message(reader), case.deadline_ms / 1000 + 2)
        status = int(head.split(" ")[1])
    except (ConnectionError, asyncio.IncompleteReadError, TypeError,
            asyncio.TimeoutError):
        pass  # no complete answer
    writer.close()
    return Got(status, "x-samphirehill-engine-seal" in headers,
               all(TOKEN.fullmatch(name) for name in headers), body,
               now() - begun)


async def play(case, callers, folder, record):
    """Plays one case. Returns what each caller got."""
    store = Store(record)
    await store.start()
    routes = [standins.route(f"r-{kind}", path, SERVICE, kind, case.deadline_ms,
                             150, 2) for kind, path in ROUTES.items()]
    for route in routes:
        route["resumable"] = False
    store.put("config", "main", standins.configuration(
        routes, [standins.plain_backend(SERVICE, 400)]))
    engines = [BreakingEngine(store, record, f"i-{n:04x}", SERVICE, zone=ZONE,
                              case=case) for n in range(2 * callers)]
    for engine in engines:
        await engine.start()
    entry = Entry(record, store, 1, folder, zone=ZONE)
    await entry.start()
    if not await entry.ready():
        raise RuntimeError("the entry did not become ready")
    got = []
    for first in range(0, callers, 4):
        got += await asyncio.gather(*(
            ask(entry, case, f"a{n:04x}")
            for n in range(first, min(first + 4, callers))))
    await entry.end()
    for engine in engines:
        engine.stop()
    store.server.close()
    return got


def judge(group, case, got):
    """Prints the case's line. Returns whether it went as it must."""
    engines = [each for each in got if each.sealed]
    slowest = max(each.seconds for each in got)
    held = (len(engines) == (len(got) if case.whole else 0)
            and slowest <= case.within_s
            and all(each.names_are_tokens for each in got))
    if case.whole:
        held = held and all(each.body == case.served() for each in got)
    statuses = collections.Counter(str(each.status) for each in got)
    print(f"{group}: {case.name}: {'must be served' if case.whole else 'broken'}: "
          f"{len(engines)} of {len(got)} callers got the engine's answer, "
          f"statuses {dict(statuses)}, slowest {slowest:.2f} s: "
          f"{'held' if held else 'BROKEN'}", flush=True)
    return held


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--group", choices=sorted(GROUPS))
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--tree", default=str(ROOT))
    parser.add_argument("--log")
    options = parser.parse_args()
    standins.ROOT = pathlib.Path(options.tree).resolve()
    results = []
    for group, cases in GROUPS.items():
        if options.group not in (None, group):
            continue
        for case in cases():
            with tempfile.TemporaryDirectory(prefix="broken-") as folder:
                record = standins.Record(folder)
                try:
                    got = asyncio.run(asyncio.wait_for(
                        play(case, options.callers, folder, record), 120))
                    results.append(judge(group, case, got))
                except Exception as failed:  # reported, and counted as not run
                    standins.end_all()
                    print(f"{group}: {case.name}: could not run: {failed!r}",
                          flush=True)
                    results.append(None)
                if options.log:
                    shutil.copytree(folder, pathlib.Path(options.log) /
                                    f"{group}_{len(results)}", dirs_exist_ok=True)
    print(f"cases={len(results)} held={results.count(True)} "
          f"broken={results.count(False)} not_run={results.count(None)}")
    sys.exit(1 if False in results else 2 if None in results else 0)


if __name__ == "__main__":
    main()
