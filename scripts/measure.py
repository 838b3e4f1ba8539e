"""Measures of the whole system on loopback with stand-ins; see scripts/measure.

Prints one table with target, figure and a baseline of the same run, and text
histograms of first-token times before, during and after each fault. Figures
depend on the machine and on what else runs on it.
"""

import argparse
import os
import subprocess
import sys
import time

import fleet as fleets
from figures import Table, quantile
from fleet import FleetError, http_json, wait_until
from load import FIRST, NUMBER, TOTAL, caller
from measures import ENGINE, Measures, ms, run_step
from texts import LUMEN_KEY, operators_text


def overhead(fleet, table, quick):
    """(a): one engine, one entry; the same calls directly and through the entry."""
    measures = Measures(fleet, quick, table)
    seconds = 6 if quick else 12
    fleet.start_platform("--weight-load-ms", "10")
    engine = fleet.add_engine("engine-1", "mu-1", "rack", *ENGINE)
    service = fleet.add_service("booking-1", "mu-1")
    fleet.wait_ready([engine, service])
    entry = fleet.add_entries([("entry-1", "mu-1")])[0]
    wait_until("the entry lives", lambda: http_json(
        "GET", entry.address, "/healthz")[0] == 200, 10)
    fleet.apply(operators_text(("mu-1",), replica_size=1))
    measures.ready([entry], 1)
    one = [caller("port-louis", LUMEN_KEY, tokens=[20, 20])]
    measures.load(30, 5, 1, [entry], organisations=one).result()
    runs = []
    for target, direct in ((engine, True), (engine, True), (entry, False), (engine, True)):
        runs.append(measures.load(20, seconds, 2, [target], organisations=one,
                                  direct=direct).result())
    _, plain, through, again = ({call[NUMBER]: call for call in run.calls
                                 if call[-1] == "whole"} for run in runs)

    def differences(left, right, column):
        return [right[n][column] - left[n][column] for n in left if n in right]
    first, noise = (differences(plain, other, FIRST) for other in (through, again))
    p99 = quantile(first, 0.99)
    table.add("(a) p99 of first-token difference", "< 1 ms", f"{p99:.2f} ms",
              f"direct against direct {quantile(noise, 0.99):.2f} ms", p99 < 1)
    table.add("(a) median of first-token difference", "-",
              f"{quantile(first, 0.5):.2f} ms",
              f"direct against direct {quantile(noise, 0.5):.2f} ms")
    whole = [sum(call[TOTAL] for call in run.values()) / len(run)
             for run in (plain, through, again)]
    ratio = whole[1] / whole[0] - 1
    table.add("(a) whole stream, mean", "within 2%",
              f"{100 * ratio:+.1f}% ({ms(whole[1])})",
              f"direct {ms(whole[0])}, again {100 * (whole[2] / whole[0] - 1):+.1f}%",
              ratio <= 0.02)
    rate = 100
    busy = [caller("port-louis", LUMEN_KEY, tokens=[8, 8], promptBytes=[64, 128])]
    cpu, began = entry.cpu_seconds(), time.monotonic()
    result = measures.load(rate, seconds, 3, [entry], organisations=busy).result()
    cpu, took = entry.cpu_seconds() - cpu, time.monotonic() - began
    table.add("(a) requests per s and core of an entry (8 tokens each)", "-",
              f"{result.all['whole'] / cpu:.0f}",
              f"{result.all['whole']} of {result.all['calls']} in {took:.0f} s")
    table.add("(a) resident memory of an entry", "<= 128 MB",
              f"{entry.resident_bytes() / 1e6:.0f} MB", met=entry.resident_bytes() <= 128e6)


def main():
    parser = argparse.ArgumentParser(prog="scripts/measure", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="shorter outage, fewer bookings")
    parser.add_argument("--build", default=str(fleets.ROOT / "build"))
    parser.add_argument("--only", help="names of the steps to run, with commas")
    given = parser.parse_args()
    table = Table()
    print(f"load average at the start: {os.getloadavg()[0]:.1f} on "
          f"{os.cpu_count()} processors", flush=True)
    only = given.only.split(",") if given.only else None
    histograms = []
    try:
        if not only or "overhead" in only:
            with fleets.Fleet(given.build, 1) as fleet:
                run_step(overhead, table, fleet, table, given.quick)
        if not only or only != ["overhead"]:
            with fleets.Fleet(given.build, 2) as fleet:
                measures = Measures(fleet, given.quick, table)
                histograms = measures.histograms
                measures.run(only)
    except (FleetError, OSError, subprocess.SubprocessError) as failure:
        table.add("run", "to its end", f"failed: {str(failure)[:200]}", met=False)
    print("\n" + "\n\n".join(histograms) + "\n")
    print(table.text())
    print(f"\nload average at the end: {os.getloadavg()[0]:.1f}; "
          f"targets missed: {len(table.missed)}")
    for each in table.missed:
        print(f"  {each}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
