"""A new version raises max_header_bytes: is it in force on connections that callers keep?"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
from parts_2 import (TROUBLE, Caller, Entry, Instance, Store, configuration, route,
                   run_case)

LARGE = 32_768
CALLERS = 20
# A head of about 20 KB: more than the old limit, less than the new one.
LONG_HEADERS = {f"X-Note-{number}": "n" * 1_900 for number in range(10)}


async def case(record, temporary, entries):
    store = Store("127.0.0.1")
    await store.start()
    routes = [route("r-1", "/read/", "safe", "app", 2500, 2)]

    def publish(version, **limits):
        store.put("config", "main", configuration(version, routes, ["app"], **limits))
        record(f"operator: version {version} {limits} acknowledged")

    publish(7, **({} if TROUBLE else {"max_header_bytes": LARGE}))
    for zone in ("a", "b", "c"):
        await Instance(store, record, "127.0.0.1", "app", zone, 6, 24, 0.03).start()
    entry = Entry(record, "127.0.0.2", "edge-a-1", "a", store, temporary)
    entries.append(entry)
    await entry.start()
    await entry.await_ready()
    await asyncio.sleep(1.0)
    callers = [Caller(record, entry) for _ in range(CALLERS)]
    answers = []

    async def round_of(headers=None):
        answers.extend(await asyncio.gather(*(
            each.call("GET", "/read/x", 2500, headers=headers) for each in callers)))

    await round_of()
    if any(each.status != 200 for each in answers):
        raise RuntimeError("requests before the change aren't served")
    if TROUBLE:
        publish(9, max_header_bytes=LARGE)
    for _ in range(6):  # config_apply_ms is 2,000; connections idle for 1 s at most
        await asyncio.sleep(1.0)
        await round_of()
    await round_of(LONG_HEADERS)
    denied = sum(each.status in (400, 413, 431) for each in answers)
    record(f"{denied} of {len(answers)} requests were denied")
    return denied <= 5 + len(answers) / 500


run_case(FOLDER, case)
