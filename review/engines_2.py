"""A stand-in of model engines: joins groups by orders, as PROTOCOL.md says."""
import asyncio
import json

from parts_2 import Instance, message, now, read_body, read_head

BEAT_S = 1.2  # heartbeat_ms


class Engine(Instance):
    """An engine with the weights of one model on its host. It runs no requests."""

    by_id = {}

    def __init__(self, store, record, host, zone, domain, model, join_s=1.1, form_s=0.3):
        super().__init__(store, record, host, "pool", zone, 26, 52, 0.02)
        self.domain, self.model, self.join_s, self.form_s = domain, model, join_s, form_s
        self.group = None  # {"name", "epoch", "rank", "phase"}
        self.members = []
        self.left = True  # the group that it joined last
        self.epoch = self.fence = 0
        self.gone = False  # the process has ended
        self.cut = False  # it can't reach the store
        self.wrote_at = 0.0
        self.on_change = None
        Engine.by_id[self.id] = self

    def state(self):
        state = {"domain": self.domain, "staged": [self.model], "born": self.born,
                 "stage": "both", "models": [], "pace": 1.0}
        if self.group:
            state["group"] = dict(self.group)
        return state

    def write(self):
        if self.gone or self.cut:
            return
        self.seq += 1
        self.wrote_at = now()
        self.store.put("servers", self.id, {
            "backend": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "capacity_slots": self.slots, "phase": "ready",
            "cold_remaining_ms": 0, "seq": self.seq, **self.state()})

    def changed(self, text):
        self.record(f"engine={self.id} {text}")
        self.write()
        if self.on_change:
            self.on_change(self)

    async def beat(self):
        while not self.gone:
            self.write()
            await asyncio.sleep(BEAT_S)

    async def expire(self):
        """The store removes the entry after three heartbeats of silence."""
        while True:
            await asyncio.sleep(0.05)
            if now() - self.wrote_at > 3 * BEAT_S and \
               ("servers", self.id) in self.store.objects:
                self.record(f"store: entry of {self.id} expires")
                self.store.delete("servers", self.id)

    async def start(self):
        await super().start()
        self.expiry = asyncio.create_task(self.expire())

    def end(self):
        self.gone = True
        self.server.close()

    async def serve(self, reader, writer):
        try:
            while not self.gone:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                status, answer = 200, {}
                if headers.get("x-samphirehill-expect-instance", self.id) != self.id:
                    status = 421
                elif first.startswith("POST /notes/"):
                    await self.generate(headers, writer)
                    continue
                elif first.startswith("GET /-/report"):
                    answer = {**self.state(), "busy": False, "seq": self.seq, "queued": 0,
                              "active": 0, "kv_used": 0, "kv_total": 1400000,
                              "kv_handles": 0}
                elif first.startswith("POST /-/order"):
                    status = self.order(json.loads(body))
                writer.write(message(f"HTTP/1.1 {status} X",
                                     {"Content-Type": "application/json"},
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def is_whole(self):
        return all(not Engine.by_id[each].gone for each in self.members)

    async def generate(self, headers, writer):
        """Sends ten events; stands still while a member of the group is gone."""
        attempt = headers["x-samphirehill-attempt-id"]
        if not self.group or self.group["phase"] != "open" or self.group["rank"] != 0:
            writer.write(message("HTTP/1.1 421 X", {"X-Samphirehill-Attempt-Id": attempt,
                                                    "At-Server": self.id}))
            return await writer.drain()
        writer.write((f"HTTP/1.1 200 OK\r\nX-Samphirehill-Attempt-Id: {attempt}\r\n"
                      f"X-Samphirehill-Engine-Seal: {self.id}\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(int(headers.get("last-event-id", "0")) + 1, 11):
            await asyncio.sleep(0.03)
            if not self.is_whole():
                await asyncio.sleep(4.0)  # stall_ms; then the work is cut off
                raise ConnectionError
            event = f"id: {number}\ndata: t\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def order(self, order):
        if order.get("fencing_token", 0) < self.fence:
            return 412
        self.fence = order.get("fencing_token", 0)
        op, name, epoch = order["op"], order.get("group"), order.get("epoch", 0)
        mine = self.group and (self.group["name"], self.group["epoch"]) == (name, epoch)
        if op == "stage":
            return 200
        if op == "join":
            if epoch < self.epoch:
                return 412
            if mine:
                return 200 if order["members"] == self.members else 412
            self.check_two(name)
            self.epoch, self.members = epoch, order["members"]
            self.group = {"name": name, "epoch": epoch, "phase": "joining",
                          "rank": self.members.index(self.id)}
            self.changed(f"joins {name} members={self.members}")
            asyncio.get_running_loop().call_later(self.join_s, self.reach, name, "joining",
                                                  "ready")
            return 202
        if not mine:
            return 200 if op == "leave" else 409
        if op == "leave":
            self.group = None
            self.changed(f"leaves {name}")
            return 200
        if op == "open" and self.group["phase"] == "ready":
            asyncio.get_running_loop().call_later(self.form_s, self.reach, name, "ready",
                                                  "open")
            return 202
        if op == "close" and self.group["phase"] == "open":
            self.reach(name, "open", "ready")
            return 202
        return 200 if op == "open" and self.group["phase"] == "open" else 409

    def reach(self, name, before, phase):
        if not self.gone and self.group and self.group["name"] == name and \
           self.group["phase"] == before:
            self.group["phase"] = phase
            self.changed(f"is {phase} in {name}")

    # Rule TWO: "An engine takes a join of another group while the head of its group is open
    # or closing".
    broken = []

    def check_two(self, name):
        if not self.group:
            return
        head = Engine.by_id[self.members[0]]
        if not head.gone and head.group and head.group["phase"] in ("open", "closing") and \
           head.group["name"] == self.group["name"]:
            text = (f"engine={self.id} takes a join of {name} while {head.id}, the head of "
                    f"its group {self.group['name']}, is {head.group['phase']}")
            self.record("TWO: " + text)
            Engine.broken.append(text)


def pool_configuration(version, model, size):
    return {"version": version, "routes": [
        {"name": "r-1", "hostname": "site.example", "path_prefix": "/notes/",
         "route_type": "stream", "timeout_ms": 6000, "target_latency_ms": 500,
         "priority_class": 1, "backend": "pool", "max_attempts": 2, "anonymous": False,
         "session_affinity": True, "resumable": True, "gap_target_ms": 300}],
        "backends": [{
            "name": "pool", "health_path": "/healthz", "max_connections": 474,
            "protocol": "h1", "tls_enabled": False, "cold_start_s": 3.0,
            "cold_per_s": 36.0, "engine": {
                "capacity_slots": 26, "kv_capacity": 1400000, "kv_bytes": 35136,
                "bandwidth_mbps": 400000.0, "stride": 5, "models": [
                    {"name": model, "size": size, "share": 1.0, "pace": 1.0,
                     "load_s": 12.0, "warm_s": 1.1}],
                "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488,
                "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048,
                "report_lag_ms": 200.0, "loads_per_s": 4.0, "loads_at_once": 6,
                "delays": [], "usual": {"prompt": 1076, "answer": 116}, "retains": 1,
                "far_x": 2.5, "form_ms": 300.0}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "tenant-a", "api_keys": ["key-a"], "priority_class": 1}]}
