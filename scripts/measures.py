"""The measures of scripts/measure.py that share one fleet of 8 entries in 3
zones."""

import random
import re
import time

from figures import histogram, quantile
from fleet import FleetError, http_json, wait_until
from load import TOTAL, Load, caller
from texts import LUMEN_KEY, LUMEN_OTHER_KEYS, operators_text

ZONES = ("mu-1", "mu-2", "mu-3")
ENTRY_ZONES = ("mu-1", "mu-1", "mu-1", "mu-2", "mu-2", "mu-2", "mu-3", "mu-3")
GROUPS = 3  # of two engines in each zone; one more engine is their spare
ENGINE = ("--warm-ms", "1000", "--ms-per-token", "5", "--checks-fence",
          "--cold-limit", "2", "--warm-limit", "16", "--max-running", "16")
KEYS = {"port-louis": LUMEN_KEY, **LUMEN_OTHER_KEYS}
MS = 1000


def ms(value):
    return f"{value:.1f} ms"


def counter(address, name):
    """Returns the sum of a counter of /metrics over its labels."""
    _, text, _ = http_json("GET", address, "/metrics")
    found = re.findall(rf"^samphirehill_{name}(?:{{[^}}]*}})? ([0-9.e+-]+)$",
                       str(text), re.M)
    return sum(float(each) for each in found)


class Measures:
    def __init__(self, fleet, quick, table):
        self.fleet, self.quick, self.table = fleet, quick, table
        self.entries, self.histograms = [], []
        self.overrides = {}

    # The fleet.

    def text(self, comment=""):
        return operators_text(ZONES, replicas_per_zone=GROUPS, comment=comment,
                              **self.overrides)

    def ready(self, entries, groups):
        for entry in entries:
            wait_until(f"{entry.name} is ready", lambda each=entry: http_json(
                "GET", each.address, "/readyz")[0] == 200, 20)
            wait_until(f"{entry.name} sees {groups} groups", lambda each=entry: len(
                self.fleet.serving(each, "notes")) == groups, 60, 0.1)

    def start(self):
        fleet = self.fleet
        fleet.start_platform("--weight-load-ms", "500")
        for zone in ZONES:
            for number in range(2 * GROUPS + 1):
                fleet.add_engine(f"engine-{zone}-{number}", zone, f"{zone}-rack-1", *ENGINE)
            fleet.add_service(f"booking-{zone}-1", zone)
        fleet.wait_ready(fleet.of_kind("engine") + fleet.of_kind("service"))
        self.entries = fleet.add_entries(
            [(f"entry-{i + 1}", zone) for i, zone in enumerate(ENTRY_ZONES)])
        for entry in self.entries:
            wait_until(f"{entry.name} lives", lambda each=entry: http_json(
                "GET", each.address, "/healthz")[0] == 200, 10)
        fleet.apply(self.text())
        self.ready(self.entries, GROUPS * len(ZONES))
        # Warms the prefix caches and lets the credit ramps end.
        self.load(60, 6, 1).result()

    def load(self, rate, seconds, seed, entries=None, **plan):
        organisations = [caller(name, key) for name, key in KEYS.items()]
        organisations = plan.pop("organisations", organisations)
        return Load(self.fleet, entries or self.entries, organisations, rate, seconds,
                    seed, **plan)

    def at(self, load_started, seconds):
        """Waits until seconds after the start of a load."""
        time.sleep(max(0.0, load_started + seconds - time.monotonic()))

    def phases(self, title, result, begin, end, entries=None):
        """Adds a histogram; returns the p99 before, during and after."""
        parts = {"before": result.first_tokens(0, begin, entries=entries),
                 "during": result.first_tokens(begin, end, entries=entries),
                 "after": result.first_tokens(end, entries=entries)}
        self.histograms.append(histogram(title, parts))
        return [quantile(values, 0.99) for values in parts.values()]

    def undamaged(self, label, result, baseline="-"):
        self.table.add(f"{label}: calls", "none lost, wrong, late",
                       result.summary(), baseline, result.undamaged())

    # (b)
    def zone(self):
        zone, quiet, away, end = "mu-2", 6, 8, 22
        load, started = self.load(80, end, 2), time.monotonic()
        self.at(started, quiet)
        self.fleet.set_zone(zone, "out")
        self.at(started, quiet + away)
        self.fleet.set_zone(zone, "in")
        result = load.result()
        before, during, after = self.phases(
            "(b) first token, zone out and in", result, quiet, quiet + away)
        self.undamaged("(b) zone out and in", result)
        for name, value in (("out", during), ("back", after)):
            self.table.add(f"(b) p99 first token, zone {name}", "<= 1.5 x quiet",
                           f"{ms(value)} ({value / before:.2f} x)",
                           f"quiet {ms(before)}", value <= 1.5 * before)

    # (c), (d)
    def group_downtime(self):
        # Each zone has one spare, which the first case of a zone uses up.
        cases = (("mu-1", "spare, listed as gone", True, True),
                 ("mu-2", "spare, silent", True, False),
                 ("mu-1", "no spare, replacement after 1 s", False, True))
        for number, (zone, *case) in enumerate(cases):
            self.one_group_downtime(zone, 3 + number, *case)

    def one_group_downtime(self, zone, seed, label, spare, unlist):
        fleet, entry = self.fleet, self.entries[0]
        groups = [each for each in fleet.groups(zone)
                  if len(each["members"]) == 2 and ("spare" in each) == spare]
        if not groups:
            self.table.add(f"(c) downtime, {label}", "-", "no such group")
            return
        group = groups[0]
        victim = group["members"][1]
        domain = fleet.processes[victim].domain
        stranded = self.stranded(zone)
        load, started = self.load(60, 12, seed), time.monotonic()
        self.at(started, 2)
        fleet.kill(victim)
        killed = time.monotonic()
        del fleet.processes[victim]
        if unlist:
            fleet.unlist(victim)
        stopped = back = None
        replaced = spare
        idle, last = 0.0, killed
        while time.monotonic() < killed + 25 and not back:
            time.sleep(0.02)
            now = time.monotonic()
            if not replaced and now > killed + 1:
                fleet.add_engine(f"{victim}b", zone, domain, *ENGINE)
                replaced = True
            names = {each["name"] for each in fleet.serving(entry, "notes")}
            idle += (now - last) * self.idle_accelerators(zone)
            last = now
            if group["id"] not in names:
                stopped = stopped or now
            elif stopped:
                back = now
        result = load.result()
        self.phases(f"(c) first token, member killed: {label}", result, 2,
                    2 + (back or killed) - killed)
        if spare:
            fleet.add_engine(f"{victim}b", zone, domain, *ENGINE)
        figure = f"{back - killed:.2f} s" if back else "not back within 25 s"
        self.table.add(f"(c) downtime, {label}", "-", figure,
                       f"noticed after {stopped - killed:.2f} s" if stopped
                       else "never seen stopped", None if back else False)
        self.undamaged(f"(c) {label}", result)
        self.table.add(f"(d) stranded accelerator s, {label}", "-",
                       f"{self.stranded(zone) - stranded:.1f}",
                       f"engines without work {idle:.1f}")
        if not unlist:
            fleet.unlist(victim)
        self.ready([entry], GROUPS * len(ZONES))

    def stranded(self, zone):
        return sum(counter(each.address, "stranded_accelerator_seconds_total")
                   for each in self.fleet.of_kind("entry", zone) if each.alive())

    def idle_accelerators(self, zone):
        """Accelerators of engines that the stand-ins report in no whole group."""
        alive = [each for each in self.fleet.of_kind("engine", zone) if each.alive()]
        reports = []
        for each in alive:
            try:
                reports.append(http_json("GET", each.address, "/status")[1])
            except OSError:
                continue
        present = {each["instance"] for each in reports}
        return sum(2 for each in reports if each["state"] not in ("cold", "warm")
                   or not set(each["members"]) <= present)

    # (e)
    def fairness(self):
        # With this limit the tenfold load is about twice what the engines bear.
        self.overrides["warm_limit"] = 2
        self.fleet.apply(self.text())
        quiet, end = 7, 14
        organisations = [caller(name, key, tokens=[16, 32]) for name, key in KEYS.items()]
        organisations[0]["surge"] = {"fromMs": quiet * MS, "toMs": end * MS, "factor": 10}
        result = self.load(60, end, 6, organisations=organisations).result()
        others = [index for index, name in enumerate(KEYS) if name != "port-louis"]
        before = quantile(result.first_tokens(1, quiet, others), 0.99)
        surge = quantile(result.first_tokens(quiet, end, others), 0.99)
        own = quantile(result.first_tokens(quiet, end, [0]), 0.99)
        self.histograms.append(histogram(
            "(e) first token of the other organisations", {
                "quiet": result.first_tokens(1, quiet, others),
                "one sends 10 x": result.first_tokens(quiet, end, others)}))
        self.table.add("(e) others' p99 first token, one sends 10 x", "<= 1.2 x quiet",
                       f"{ms(surge)} ({surge / before:.2f} x)",
                       f"quiet {ms(before)}; the sender itself {ms(own)}",
                       surge <= 1.2 * before)
        lost = [each for each in result.select(callers=others) if each[-1] != "whole"]
        self.table.add("(e) others' calls", "none refused or lost",
                       f"{len(lost)} of {len(result.select(callers=others))}",
                       result.summary(), not lost)
        del self.overrides["warm_limit"]
        self.fleet.apply(self.text())
        self.load(60, 5, 1).result()  # lets the credit ramps end

    # (f)
    def platform_outage(self):
        quiet, length = 4, 10 if self.quick else 120
        load, started = self.load(50, quiet + length + 4, 7), time.monotonic()
        self.at(started, quiet)
        self.fleet.control(self.fleet.platform, "faults", {"outage": True})
        self.at(started, quiet + length)
        self.fleet.control(self.fleet.platform, "faults", {"outage": False})
        result = load.result()
        before, during, _ = self.phases(
            f"(f) first token, platform out for {length} s", result, quiet, quiet + length)
        self.undamaged(f"(f) platform out for {length} s", result)
        self.table.add("(f) p99 first token in the outage", "<= 1.5 x quiet",
                       f"{ms(during)} ({during / before:.2f} x)",
                       f"quiet {ms(before)}", during <= 1.5 * before)
        wait_until("all entries see the platform", lambda: all(
            self.fleet.operator(each, "status")["platformReachable"]
            for each in self.entries), 20)

    # (g)
    def entry_killed(self):
        victim, quiet, end = self.entries[2], 4, 12
        load, started = self.load(80, end, 8), time.monotonic()
        self.at(started, quiet)
        self.fleet.kill(victim.name)
        self.at(started, quiet + 2)
        self.fleet.unlist(victim.name)
        result = load.result()
        others = [index for index in range(len(self.entries)) if index != 2]
        before, during, after = self.phases(
            "(g) first token on the other entries, one entry killed",
            result, quiet, quiet + 4, others)
        calls = result.select(entries=others)
        bad = [each for each in calls
               if each[-1] != "whole" or each[TOTAL] > 10 * MS]
        self.table.add("(g) entry killed: other entries' calls", "none lost or late",
                       f"{len(bad)} of {len(calls)} bad", result.summary(), not bad)
        self.table.add("(g) p99 first token on the others", "<= 1.5 x quiet",
                       f"{ms(max(during, after))} ({max(during, after) / before:.2f} x)",
                       f"quiet {ms(before)}", max(during, after) <= 1.5 * before)
        self.fleet.run_entry(victim)
        self.fleet.list_instance(victim)
        self.ready([victim], GROUPS * len(ZONES))

    # (h)
    def cold_engines(self):
        quiet, end = 4, 14
        load, started = self.load(150, end, 9), time.monotonic()
        self.at(started, quiet)
        leaders = [group["members"][0] for zone in ZONES[:2]
                   for group in self.fleet.groups(zone)[:2]]
        for number, name in enumerate(leaders):
            self.fleet.control(self.fleet.processes[name], "cold",
                               {"newBootId": number % 2 == 0})
        result = load.result()
        self.phases(f"(h) first token, {len(leaders)} engines turn cold", result,
                    quiet, quiet + 4)
        counts = [self.fleet.control(each, "counters")
                  for each in self.fleet.of_kind("engine") if each.alive()]
        highest = max(each.get("highestCold", 0) for each in counts)
        crashes = sum(each.get("crashes", 0) for each in counts)
        base = self.cold_baseline()
        for label, names in (("with a new boot id", leaders[0::2]),
                             ("with the same boot id", leaders[1::2])):
            found = [self.fleet.control(self.fleet.processes[name], "counters")
                     for name in names]
            worst = max(each.get("highestCold", 0) for each in found)
            self.table.add(f"(h) most work on {len(names)} engines cold {label}",
                           "<= cold limit 2", worst,
                           f"crashes {sum(each.get('crashes', 0) for each in found)}",
                           worst <= 2)
        self.table.add("(h) most work on a cold engine in the whole run",
                       "<= cold limit 2", highest, f"direct calls: {base[0]}", highest <= 2)
        self.table.add("(h) crashes of engines in the whole run", "0", crashes,
                       f"direct calls: {base[1]}", crashes == 0)
        self.undamaged("(h) cold engines under load", result)

    def cold_baseline(self):
        """Sends the load of one engine to a cold one without any credits."""
        engine = self.lone_engine("cold-baseline", "--warm-ms", "60000", *ENGINE[2:])
        self.load(16, 3, 9, [engine], direct=True).result()
        counts = self.fleet.control(engine, "counters")
        self.fleet.terminate(engine.name)
        del self.fleet.processes[engine.name]
        return counts.get("highestCold", 0), counts.get("crashes", 0)

    def lone_engine(self, name, *arguments):
        """Returns a loaded engine that is not in the instance list."""
        engine = self.fleet.standin("engine", name, ["--load-ms", "1", *arguments])
        self.fleet.wait_ready([engine])
        http_json("POST", engine.address, "/orders", {
            "orderId": "1", "fence": 1, "type": "load", "model": "notes-70b",
            "version": "3", "adapter": "", "group": "lone", "generation": 1,
            "members": [name], "rank": 0})
        wait_until(f"{name} has its model", lambda: http_json(
            "GET", engine.address, "/status")[1]["state"] in ("cold", "warm"), 5)
        return engine

    # (i)
    def bookings(self):
        count, rate = (1500, 150) if self.quick else (20000, 250)
        seconds = count / rate
        books = [caller("port-louis", LUMEN_KEY, bookingShare=1.0, repeatedBookings=0.1,
                        bookingPath="/services/booking/actions/on", deadlineMs=15000)]
        services = self.fleet.of_kind("service")
        load = self.load(rate, seconds, 10, organisations=books, bookingTries=8)
        self.inject(load, services, with_platform=True)
        result = load.result()
        doubled, lost, ran = self.account(result, services)
        base = self.booking_baseline(books[0], rate)
        calls = result.counts()
        summary = f"{calls['calls']} bookings, {calls['whole']} confirmed"
        self.table.add("(i) bookings executed twice", "0", doubled,
                       f"direct calls: {base[0]} of {base[3]}", doubled == 0)
        self.table.add("(i) confirmed bookings not executed", "0", lost,
                       f"direct calls: {base[1]}", lost == 0)
        self.table.add("(i) refused as not run, but executed", "0", ran,
                       f"{summary}; {result.summary()}", ran == 0)

    def inject(self, load, services, with_platform):
        """Sets faults at fixed times, chosen by a fixed seed."""
        source = random.Random(10)
        while load.popen.poll() is None:
            service = source.choice(services)
            fault = source.choice(({"loseAnswers": 3}, {"loseRequests": 3}, {"refuse": 3},
                                   {"pauseMs": 400}))
            self.fleet.control(service, "faults", fault)
            if with_platform:
                self.fleet.control(self.fleet.platform, "faults", source.choice(
                    ({"loseAnswers": 2}, {"loseRequests": 2},
                     {"delayWrites": 1, "delayWritesMs": 300}, {"slowMs": 20},
                     {"slowMs": 0})))
            time.sleep(0.5)
        if with_platform:
            self.fleet.control(self.fleet.platform, "faults", {
                "slowMs": 0, "loseAnswers": 0, "loseRequests": 0, "delayWrites": 0})

    def account(self, result, services):
        """Returns bookings run twice, confirmed but not run, refused but run."""
        runs = {}
        for service in services:
            for each in self.fleet.control(service, "executions")["items"]:
                runs[each["key"]] = runs.get(each["key"], 0) + 1
        doubled = lost = ran = 0
        for key, end, _, _ in result.value["bookings"]:
            doubled += runs.get(key, 0) > 1
            lost += end == "whole" and key not in runs
            ran += end == "refused" and key in runs
        return doubled, lost, ran

    def booking_baseline(self, books, rate):
        """The same faults without samphirehill: callers send to the service and
        send again on unclear answers."""
        service = self.fleet.standin("service", "baseline-booking", ())
        self.fleet.wait_ready([service])
        load = self.load(rate, 6, 10, [service], bookingTries=8, organisations=[
            {**books, "bookingPath": "/actions/on", "repeatedBookings": 0}])
        self.inject(load, [service], with_platform=False)
        result = load.result()
        found = (*self.account(result, [service]), result.all["calls"])
        self.fleet.terminate(service.name)
        del self.fleet.processes[service.name]
        return found

    # (j)
    def configuration(self):
        times, direct = [], []
        for number in range(3 if self.quick else 8):
            self.overrides["warm_limit"] = 17 + number
            stored = self.fleet.value_of("config", "lumen")["version"]
            began = time.monotonic()
            self.fleet.apply(self.text(), entries=())
            wait_until("the platform has it", lambda: self.fleet.value_of(
                "config", "lumen")["version"] > stored, 5, 0.005)
            direct.append(time.monotonic() - began)
            wanted = self.fleet.value_of("config", "lumen")["version"]
            wait_until("the text is in force everywhere", lambda: all(
                self.fleet.operator(each, "status")["inForce"].get("lumen") == wanted
                for each in self.entries), 20, 0.01)
            times.append(time.monotonic() - began)
        self.table.add("(j) configuration in force on all 8 entries, slowest", "<= 6 s",
                       f"{max(times):.2f} s of {len(times)} changes",
                       f"stored after {max(direct):.2f} s", max(times) <= 6)

    def run(self, only):
        steps = (self.start, self.zone, self.group_downtime, self.fairness,
                 self.platform_outage, self.entry_killed, self.cold_engines,
                 self.bookings, self.configuration)
        for step in steps:
            if not only or step.__name__ in ("start", *only):
                run_step(step, self.table)


def run_step(step, table, *arguments):
    began = time.monotonic()
    try:
        step(*arguments)
    except (FleetError, OSError, KeyError) as failure:
        if step.__name__ == "start":
            raise
        table.add(step.__name__, "is measured", f"failed: {str(failure)[:120]}", met=False)
    print(f"  {step.__name__}: {time.monotonic() - began:.0f} s", flush=True)
