"""The load tool as a process of a fleet, and its result."""

import json

from fleet import FleetError

# Columns of a result's "calls".
NUMBER, SENT, CALLER, ENTRY, FIRST, TOTAL, CODE, END = range(8)


class Result:
    def __init__(self, value):
        self.value = value
        self.all = value["all"]
        self.calls = value.get("calls", [])

    def first_tokens(self, begin=0.0, end=1e9, callers=None, entries=None):
        """First-token times in ms of calls sent from begin to end, in s."""
        return [each[FIRST] for each in self.select(begin, end, callers, entries)
                if each[FIRST] >= 0]

    def select(self, begin=0.0, end=1e9, callers=None, entries=None):
        return [each for each in self.calls
                if begin * 1000 <= each[SENT] < end * 1000
                and (callers is None or each[CALLER] in callers)
                and (entries is None or each[ENTRY] in entries)]

    def counts(self):
        return {name: self.all[name] for name in
                ("calls", "whole", "refused", "lost", "wrong", "late")}

    def summary(self):
        text = ", ".join(f"{name} {count}" for name, count in self.counts().items()
                         if count or name in ("calls", "lost"))
        codes = {code: count for code, count in self.all["codes"].items()}
        unsent = self.value["notSent"]
        return (text + (f", codes {codes}" if codes else "")
                + (f", not sent {unsent}" if unsent else ""))

    def undamaged(self):
        return (self.all["whole"] == self.all["calls"] > 0
                and self.all["late"] == 0 and self.value["notSent"] == 0)


class Load:
    """One load in the background."""

    number = 0

    def __init__(self, fleet, entries, organisations, rate, seconds, seed, **plan):
        Load.number += 1
        name = f"load-{Load.number}"
        self.out = fleet.folder / f"{name}.json"
        path = fleet.folder / f"{name}.plan.json"
        path.write_text(json.dumps({
            "entries": [each.address for each in entries],
            "organisations": organisations, **plan}))
        self.popen, self.log = fleet.launch(name, [
            fleet.build / "loadtool", "--plan", path, "--out", self.out, "--raw",
            "--rate", rate, "--seconds", seconds, "--seed", seed, "--run", name])
        self.limit = seconds + 60

    def result(self):
        if self.popen.wait(self.limit) != 0:
            raise FleetError(f"loadtool failed: {self.log.read_text()}")
        return Result(json.loads(self.out.read_text()))


def caller(name, key, **more):
    """Returns an organisation of a plan that calls the model service."""
    return {"name": name, "key": key, "model": "notes-70b", "version": "3",
            "promptBytes": [64, 1024], "tokens": [8, 24], "prefixes": 8,
            "deadlineMs": 10000, **more}
