#!/usr/bin/env python3
"""Runs a fleet of samphirehill on loopback: the stand-in platform, engines,
services and entries, each a process with a log of its own.

As a module it gives the class Fleet to the demo and the measurements. As a
program it starts a fleet, prints its addresses as JSON and runs until SIGTERM,
SIGINT or the end of --seconds. Everything that was started is stopped on every
way out.
"""

import argparse
import ctypes
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PEER_KEY = "peer key of the loopback fleet"
OPERATOR_KEY = "operator key of the loopback fleet"
READY_SECONDS = 10.0
STOP_SECONDS = 5.0
# Below the ports that Linux gives to outgoing connections, so that no client's
# connection takes a port between its choice and the listener's start.
FIRST_PORT, LAST_PORT = 20000, 32000


class FleetError(Exception):
    """A step of the fleet failed; the message says which and why."""


def http_json(method, address, path, body=None, headers=None, timeout=3.0):
    """Returns (status, parsed JSON or text, headers) of one call.

    Raises OSError or http.client.HTTPException without a whole answer.
    """
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        sent = dict(headers or {})
        data = None
        if body is not None:
            data = body if isinstance(body, (str, bytes)) else json.dumps(body)
            sent.setdefault("Content-Type", "application/json")
        connection.request(method, path, data, sent)
        answer = connection.getresponse()
        text = answer.read().decode("utf-8", "replace")
        try:
            value = json.loads(text)
        except ValueError:
            value = text
        return answer.status, value, dict(answer.getheaders())
    finally:
        connection.close()


def wait_until(what, condition, seconds, period=0.02):
    """Returns the first true value of condition(); calls that fail count as
    not yet. Raises FleetError after the deadline."""
    end = time.monotonic() + seconds
    last = None
    while True:
        try:
            value = condition()
            if value:
                return value
            last = value
        except (OSError, http.client.HTTPException, KeyError) as failure:
            last = failure
        if time.monotonic() >= end:
            raise FleetError(f"{what}: not within {seconds:g} s (last: {last!r})")
        time.sleep(period)


def free_ports(count, source):
    """Returns count ports of 127.0.0.1 on which nobody listens."""
    found = []
    for _ in range(10000):
        port = source.randrange(FIRST_PORT, LAST_PORT)
        if port in found:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise FleetError(f"no {count} free ports from {FIRST_PORT} to {LAST_PORT}")


def die_with_parent():
    """Runs in the child: the kernel ends it when this program dies."""
    set_parent_death_signal = 1
    ctypes.CDLL(None).prctl(set_parent_death_signal, signal.SIGKILL)


class Process:
    """One process of the fleet."""

    def __init__(self, name, kind, zone, domain, address, popen, log):
        self.name, self.kind, self.zone, self.domain = name, kind, zone, domain
        self.address, self.popen, self.log = address, popen, log
        self.operators = ""  # address of an entry's operator interface
        self.command = []

    @property
    def pid(self):
        return self.popen.pid

    def alive(self):
        return self.popen.poll() is None

    def cpu_seconds(self):
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self):
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")


class Fleet:
    """A fleet in one temporary folder. Use it as a context manager."""

    def __init__(self, build=None, seed=1, keep_logs=False):
        self.build = Path(build or ROOT / "build")
        # Ports depend on the process, so that two fleets do not meet.
        self.ports = random.Random(seed * 1000003 + os.getpid())
        self.marker = f"samphirehill-fleet-{uuid.uuid4()}"
        self.folder = Path(tempfile.mkdtemp(prefix="samphirehill-fleet-"))
        self.keep_logs = keep_logs
        self.processes = {}
        self.started = []  # every Popen, also of replaced processes
        self.platform = None
        self.handlers = {}

    # Life of the fleet.

    def __enter__(self):
        if threading.current_thread() is threading.main_thread():
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                self.handlers[number] = signal.signal(number, self.on_signal)
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None and not issubclass(kind, SystemExit):
            self.keep_logs = True
        try:
            self.stop()
        finally:
            for number, handler in self.handlers.items():
                signal.signal(number, handler)

    @staticmethod
    def on_signal(number, _frame):
        # Further signals must not interrupt the stop.
        for each in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(each, signal.SIG_IGN)
        raise SystemExit(128 + number)

    def stop(self):
        """Ends every process and asserts that none is left."""
        running = [each for each in self.started if each.poll() is None]
        for each in running:
            each.send_signal(signal.SIGCONT)
            each.terminate()
        end = time.monotonic() + STOP_SECONDS
        for each in running:
            try:
                each.wait(max(0.0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                each.kill()
                each.wait()
        left = self.left_over()
        if not self.keep_logs:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs are in {self.folder}", file=sys.stderr)
        if left:
            raise FleetError(f"processes are left after the stop: {left}")

    def left_over(self):
        """Returns the ids of all processes that carry this fleet's mark."""
        found = []
        mark = f"SAMPHIREHILL_FLEET={self.marker}".encode()
        for folder in Path("/proc").iterdir():
            if not folder.name.isdigit():
                continue
            try:
                if mark in (folder / "environ").read_bytes().split(b"\0"):
                    found.append(int(folder.name))
            except OSError:
                continue
        return found

    # Starting processes.

    def launch(self, name, command):
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            popen = subprocess.Popen(
                [str(part) for part in command], stdin=subprocess.DEVNULL,
                stdout=output, stderr=subprocess.STDOUT,
                env={**os.environ, "SAMPHIREHILL_FLEET": self.marker},
                preexec_fn=die_with_parent)
        self.started.append(popen)
        return popen, log

    def standin(self, kind, name, arguments, zone="", domain="", address=None):
        program = self.build / f"standin-{kind}"
        listen = address or f"127.0.0.1:{free_ports(1, self.ports)[0]}"
        command = [program, "--listen", listen, "--id", name, *arguments]
        popen, log = self.launch(name, command)
        process = Process(name, kind, zone, domain, listen, popen, log)
        process.command = command
        self.processes[name] = process
        return process

    def wait_ready(self, processes, seconds=READY_SECONDS):
        for each in processes:
            def ready(process=each):
                if not process.alive():
                    raise FleetError(f"{process.name} ended with "
                                     f"{process.popen.returncode}; log: "
                                     f"{process.log.read_text()[-500:]}")
                return "ready " in process.log.read_text()
            wait_until(f"{each.name} listens", ready, seconds)

    def start_platform(self, *arguments):
        self.platform = self.standin("platform", "platform", arguments)
        self.wait_ready([self.platform])
        return self.platform

    def add_engine(self, name, zone, domain, *arguments, accelerators=2):
        engine = self.standin("engine", name,
                              ["--platform", self.platform.address, *arguments],
                              zone, domain)
        self.list_instance(engine, accelerators)
        return engine

    def add_service(self, name, zone, *arguments):
        service = self.standin("service", name, arguments, zone)
        self.list_instance(service, 0)
        return service

    def add_entries(self, names_and_zones):
        """Starts entries; each knows all others of the fleet as seeds."""
        new = []
        for name, zone in names_and_zones:
            callers, operators, peers = (
                f"127.0.0.1:{port}" for port in free_ports(3, self.ports))
            process = Process(name, "entry", zone, "", callers, None, None)
            process.operators, process.peers = operators, peers
            self.processes[name] = process
            new.append(process)
        for process in new:
            self.run_entry(process)
            self.list_instance(process, 0)
        return new

    def run_entry(self, process):
        """Starts the process of an entry, or starts it anew."""
        seeds = "".join(
            f'[[seeds]]\nentry = "{each.name}"\naddress = "{each.peers}"\n'
            for each in self.of_kind("entry") if each is not process)
        settings = self.folder / f"{process.name}.toml"
        settings.write_text(
            f'entry = "{process.name}"\nzone = "{process.zone}"\n'
            f'[listen]\ncallers = "{process.address}"\n'
            f'operators = "{process.operators}"\npeers = "{process.peers}"\n'
            f'[platform]\naddress = "{self.platform.address}"\n'
            f'[secrets]\npeer_key = "{PEER_KEY}"\n'
            f'operator_key = "{OPERATOR_KEY}"\n{seeds}')
        process.command = [self.build / "samphirehilld", "--settings", settings]
        process.popen, process.log = self.launch(process.name, process.command)

    def restart_standin(self, process):
        """Starts a stand-in that has ended with its old address."""
        process.popen, process.log = self.launch(process.name, process.command)

    # The instance list.

    def list_instance(self, process, accelerators=0, state="live"):
        address = process.peers if process.kind == "entry" else process.address
        self.control(self.platform, "instances", {
            "id": process.name, "zone": process.zone, "role": process.kind,
            "fabricDomain": process.domain, "address": address,
            "accelerators": accelerators, "state": state})

    def unlist(self, name):
        self.control(self.platform, "instances", {"id": name, "state": "gone"})

    # Faults.

    def kill(self, name):
        process = self.processes[name]
        process.popen.kill()
        process.popen.wait()
        return process

    def terminate(self, name, seconds=STOP_SECONDS):
        """Ends a process by SIGTERM and returns its exit status."""
        process = self.processes[name]
        process.popen.terminate()
        return process.popen.wait(seconds)

    def pause(self, name):
        self.processes[name].popen.send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].popen.send_signal(signal.SIGCONT)

    @staticmethod
    def control(process, path, body=None):
        status, value, _ = http_json("POST" if body is not None else "GET",
                                     process.address, f"/control/{path}", body)
        if status != 200:
            raise FleetError(f"{process.name} /control/{path}: {status} {value}")
        return value

    # What the fleet says about itself.

    def of_kind(self, kind, zone=None):
        return [each for each in self.processes.values()
                if each.kind == kind and zone in (None, each.zone)]

    def operator(self, entry, path, body=None, timeout=3.0):
        """Calls an entry's operator interface; returns the parsed answer."""
        status, value, _ = http_json(
            "GET" if body is None else "POST", entry.operators,
            f"/operator/{path}", body,
            {"Authorization": f"Bearer {OPERATOR_KEY}"}, timeout)
        if status != 200:
            raise FleetError(f"{entry.name} /operator/{path}: {status} {value}")
        return value

    def value_of(self, kind, name):
        status, value, _ = http_json("GET", self.platform.address,
                                     f"/objects/{kind}/{name}")
        return value if status == 200 else None

    def groups(self, zone):
        stored = self.value_of("placement", zone)
        return stored["value"]["groups"] if stored else []

    def serving(self, entry, service=None):
        """Returns the upstreams that an entry sees serving."""
        return [each for each in self.operator(entry, "status")["upstreams"]
                if each["serving"] and service in (None, each["service"])]

    def objects_left(self):
        left = []
        for kind in ("config", "zones", "placement", "records"):
            _, value, _ = http_json("GET", self.platform.address, f"/objects/{kind}")
            left += [f"{kind}/{each['name']}" for each in value["items"]
                     if not each.get("deleted")]
        return left

    # Texts.

    def ctl(self, command, *arguments, platform=True, entries=None, timeout=30):
        """Runs samphirehillctl and returns its output. entries: those it is to
        know, by default all that run."""
        if entries is None:
            entries = [each for each in self.of_kind("entry") if each.alive()]
        line = [str(self.build / "samphirehillctl"), command]
        if platform:
            line += ["--platform", self.platform.address]
        if entries:
            key = self.folder / "operator.key"
            key.write_text(OPERATOR_KEY)
            line += ["--operator-key-file", str(key)]
        for each in entries:
            line += ["--entry", each.operators]
        done = subprocess.run(line + list(arguments), capture_output=True,
                              text=True, timeout=timeout, check=False)
        if done.returncode != 0:
            raise FleetError(f"samphirehillctl {command}: exit {done.returncode}\n"
                             f"{done.stdout}{done.stderr}")
        return done.stdout

    def apply(self, text, entries=None):
        """Stores a text through samphirehillctl."""
        path = self.folder / f"{tomllib.loads(text)['operator']}.text.toml"
        path.write_text(text)
        return self.ctl("apply", str(path), entries=entries)

    def set_zone(self, zone, state):
        return self.ctl("zone", state, zone)



def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=str(ROOT / "build"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--zones", default="mu-1,mu-2")
    parser.add_argument("--entries", type=int, default=4, help="in all")
    parser.add_argument("--engines", type=int, default=5, help="per zone")
    parser.add_argument("--services", type=int, default=1, help="per zone")
    parser.add_argument("--text", help="operators' text to apply")
    parser.add_argument("--seconds", type=float, default=3600)
    parser.add_argument("--keep-logs", action="store_true")
    given = parser.parse_args()
    zones = given.zones.split(",")
    with Fleet(given.build, given.seed, given.keep_logs) as fleet:
        fleet.start_platform()
        for zone in zones:
            for number in range(given.engines):
                fleet.add_engine(f"engine-{zone}-{number + 1}", zone, f"{zone}-rack-1")
            for number in range(given.services):
                fleet.add_service(f"booking-{zone}-{number + 1}", zone)
        entries = fleet.add_entries(
            [(f"entry-{number + 1}", zones[number % len(zones)])
             for number in range(given.entries)])
        if given.text:
            fleet.apply(Path(given.text).read_text())
            for entry in entries:
                wait_until(f"{entry.name} is ready", lambda each=entry:
                           http_json("GET", each.address, "/readyz")[0] == 200, 20)
        print(json.dumps({
            "platform": fleet.platform.address,
            "entries": {each.name: {"callers": each.address,
                                    "operators": each.operators}
                        for each in entries},
            "folder": str(fleet.folder)}, indent=2), flush=True)
        time.sleep(given.seconds)


if __name__ == "__main__":
    main()
