"""A head that is cut off from the store and from all machines."""
import asyncio
import os
import shutil
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from parts_3 import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1")  # store: only the cut from the store
MODELS = {"m1": {"size": 2, "load_s": 12.0, "warm_s": 1.1}}
CUT_S = 9.0  # the site's longest cut of engines from the store is 10 s


async def streams(record, host, port, number, answers, stop):
    count = 0
    while not stop.is_set():
        count += 1
        attempt = f"s{number}x{count}"
        record(f"sent {attempt}")
        status = "closed"
        try:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(request_bytes(
                "POST", "/notes/2f", attempt, 8000, b"x" * 700,
                [("X-Samphirehill-Model", "m1"),
                 ("X-Samphirehill-Token-Counts", "700,135"),
                 ("X-Samphirehill-Prefix-Hash", f"5c1e:40,{number}{count}:660"
                  )]))
            got = await asyncio.wait_for(read_message(reader, True), 8.5)
            status = got.first.split()[1]
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
                ValueError):
            pass
        record(f"answered {attempt} {status}")
        answers.append(status)
        await asyncio.sleep(0.1)


async def main():
    record = Record(FOLDER)
    folder = folder_for_run()
    hosts = ["127.0.0.2", "127.0.0.3"]
    store_port = free_port("127.0.0.1")
    store = Store(record)
    await store.start("127.0.0.1", store_port)
    engines = {}
    for number in range(5):  # one domain of the fabric
        await ModelEngine(record, store, engines, f"i-4e{number}b", "a", "d1",
                          MODELS).start("127.0.0.1")
    store.put("config", "main", configuration(7, [
        route("r-notes", "/notes/", "stream", "pool", 8000, 2, resumable=True,
              session_affinity=True, gap_target_ms=300)],
        [engine_backend("pool", MODELS)]))
    ports = free_ports(hosts, 4)
    entries = [Entry(record, folder, host, f"edge-{zone}-1", zone,
                     f"127.0.0.1:{store_port}", ports)
               for host, zone in zip(hosts, "ab")]
    answers, stop = [], asyncio.Event()
    expiry = asyncio.create_task(expire_entries(store, engines))
    try:
        for entry in entries:
            entry.start()
        for entry in entries:
            if not await entry.ready():
                record("an entry isn't ready")
                return 2
        await asyncio.sleep(11 - record.now())
        for engine in engines.values():
            engine.before_traffic = False
        heads = [e for e in engines.values()
                 if e.group and e.group["phase"] == "open"]
        record(f"open groups: {[h.group['name'] for h in heads]}")
        if len(heads) != 2:
            return 2
        calls = [asyncio.create_task(streams(
            record, entry.host, entry.callers, f"{e}{n}", answers, stop))
            for e, entry in enumerate(entries) for n in range(4)]
        await asyncio.sleep(4)
        head = heads[0]
        if TROUBLE != "0":
            head.cut_from_store = True
            record(f"{head.name} is cut off from the store")
            if TROUBLE != "store":
                head.cut_from_entries = True
                record(f"{head.name} is cut off from all machines")
            await asyncio.sleep(CUT_S)
            head.cut_from_store = head.cut_from_entries = False
            head.beat()
            record(f"{head.name} reaches the store and the machines again")
        await asyncio.sleep(4)
        stop.set()
        await asyncio.gather(*calls)
    finally:
        expiry.cancel()
        for entry in entries:
            entry.end()
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    two = [each for engine in engines.values() for each in engine.two]
    counts = {status: answers.count(status) for status in set(answers)}
    record(f"answers: {counts}")
    record(f"joins of another group while the head was open: {two}")
    if answers.count("200") < 20:
        return 2
    record("TWO broken" if two else "TWO held")
    return 1 if two else 0


sys.exit(run_case(main, 110))
