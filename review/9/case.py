"""An engine loses the store between two groups and then leads one: is it remembered?"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
from parts_2 import TROUBLE, Caller, Entry, Store, now, run_case
from engines_2 import Engine, pool_configuration

ENGINES = 10  # a domain of 8 and two more: two groups of 4 and two spares
CALLERS = 6  # at each entry
CUT_S = 10.0  # the longest srv_cut in the site file


async def call_on(caller):
    while True:
        await caller.call("POST", "/notes/x", 6000, body=b"p" * 700, headers={
            "X-Samphirehill-Model": "m1", "X-Samphirehill-Token-Counts": "674,80",
            "X-Samphirehill-Prefix-Hash": f"5c1e07a2:40,{os.urandom(4).hex()}:634"})
        await asyncio.sleep(0.2)


async def case(record, temporary, entries):
    store = Store("127.0.0.1")
    await store.start()
    store.put("config", "main", pool_configuration(7, "m1", 4))
    engines = [Engine(store, record, "127.0.0.1", "a", "a-d0", "m1") for _ in range(ENGINES)]
    for each in engines:
        await each.start()
    for number in (2, 3, 4):
        entry = Entry(record, f"127.0.0.{number}", f"edge-a-{number - 1}", "a", store,
                      temporary, first_start=False)
        entries.append(entry)
        await entry.start()
    stable_since, opened = now(), []
    while len(opened) < 2 or now() - stable_since < 3:  # until the groups serve
        await asyncio.sleep(0.1)
        before = opened
        opened = [e for e in engines if e.group and e.group["phase"] == "open"]
        if len(opened) != len(before):
            stable_since = now()
        if now() > 40:
            raise RuntimeError("the groups don't form")
    for entry in entries:
        for _ in range(CALLERS):
            asyncio.create_task(call_on(Caller(record, entry)))
    await asyncio.sleep(3)
    if TROUBLE:
        head = opened[0]
        follower = Engine.by_id[head.members[1]]

        def cut_when_free(engine):
            if engine.group is None and not engine.cut:
                engine.cut, engine.on_change = True, None
                record(f"engine={engine.id} can't reach the store for {CUT_S} s")

        head.on_change = cut_when_free
        record(f"engine={follower.id} crashes and is gone")
        follower.end()
        begun = now()
        while not head.cut and now() - begun < 20:
            await asyncio.sleep(0.05)
        await asyncio.sleep(CUT_S)
        head.cut = False
        record(f"engine={head.id} reaches the store again")
        head.write()
        await asyncio.sleep(5)
    else:
        await asyncio.sleep(20)
    return not Engine.broken


run_case(FOLDER, case)
