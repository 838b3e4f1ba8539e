#!/usr/bin/env python3
"""Plays the loss of heads of replica groups against entries as real processes:
heads, and members in their place, that are cut off, end, or come back.

    bench/heads/play.py [--case NAME...] [--runs N] [--jobs N] [--tree DIR]

--case names the cases to play, all by default (--list prints them). --tree
names a checkout whose target/samphirehilld-platform is played, this one by
default (build: the command of deploy/system.toml). --keep keeps the folders of
the runs, with the entries' logs and the record of what the engines did.

Prints one line a run: joins of another group that were taken while the head of
the engine's group was open (TWO), the seconds from the trouble until both groups
were whole again, and the callers' answers. Exits with 1 if a rule was broken, 2 if a case could not
run.

The engines, the store and the entries are those of review/parts_3.py.
"""

import argparse
import asyncio
import dataclasses
import multiprocessing
import pathlib
import shutil
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review"))
import parts_3 as parts  # noqa: E402

HOSTS = ["127.0.0.2", "127.0.0.3"]
ZONES = "ab"
CUT_S = 9.0
SETTLE_S = 8.0  # after the trouble
LIMIT_S = 150.0


@dataclasses.dataclass
class World:
    """A store, engines of one domain that form two groups with one spare, two
    entries, and callers."""
    record: parts.Record
    store: parts.Store
    engines: dict
    entries: list
    folder: str
    store_address: str
    ports: list

    def heads(self):
        return [each for each in self.engines.values()
                if each.group and each.group["rank"] == 0 and
                each.group["phase"] == "open"]

    def member(self, head):
        return self.engines[head.group["members"][1]]

    def whole_groups(self):
        return sum(not head.cut_from_entries and not head.stands_still(
            head.group) for head in self.heads())

    def cut(self, engine, store=True, entries=True):
        engine.cut_from_store = engine.cut_from_store or store
        engine.cut_from_entries = engine.cut_from_entries or entries
        self.record(f"{engine.name} is cut off")

    def reconnect(self, engine):
        engine.cut_from_store = engine.cut_from_entries = False
        engine.beat()
        self.record(f"{engine.name} is connected again")

    async def restart_entries(self, first_start):
        for entry in self.entries:
            entry.end()
        self.entries[:] = start_entries(self, first_start)
        for entry in self.entries:
            await entry.ready()

    def holder(self):
        """Returns the entry that was the last to log that it holds the duty."""
        found = self.entries[0], ""
        for entry in self.entries:
            for line in open(entry.log, encoding="utf-8"):
                if "event=duty state=held" in line and line > found[1]:
                    found = entry, line
        return found[0]

    def restart_holder(self):
        holder = self.holder()
        holder.end()
        holder.text = holder.text.replace("first_start = true",
                                          "first_start = false")
        holder.start()


def start_entries(world, first_start):
    started = []
    for host, zone in zip(HOSTS, ZONES):
        started.append(parts.Entry(
            world.record, world.folder, host, f"edge-{zone}-1", zone,
            world.store_address, world.ports, first_start))
        started[-1].start()
    return started


# Each case gets the world and the head of one of its two groups.

async def cut(world, head):
    world.cut(head)
    await asyncio.sleep(CUT_S)
    world.reconnect(head)


async def cut_entries_first(world, head):
    world.cut(head, store=False)
    await asyncio.sleep(3)
    await cut(world, head)


async def cut_twice(world, head):
    for _ in range(2):
        world.cut(head)
        await asyncio.sleep(6)
        world.reconnect(head)
        await asyncio.sleep(2)


async def cut_long(world, head):
    world.cut(head)
    await asyncio.sleep(20)
    world.reconnect(head)


async def cut_both_heads(world, head):
    heads = world.heads()
    for each in heads:
        world.cut(each)
    await asyncio.sleep(CUT_S)
    for each in heads:
        world.reconnect(each)


async def cut_member(world, head):
    member = world.member(head)
    world.cut(member)
    await asyncio.sleep(CUT_S)
    world.reconnect(member)


async def cut_head_and_member(world, head):
    member = world.member(head)
    for each in (head, member):
        world.cut(each)
    await asyncio.sleep(CUT_S)
    for each in (member, head):
        world.reconnect(each)
        await asyncio.sleep(1.2)


async def cut_while_entries_restart(world, head):
    await restart_entries_in_cut(world, head, 2, 12, first_start=False)


async def cut_while_entries_start_first(world, head):
    await restart_entries_in_cut(world, head, 5, 8, first_start=True)


async def restart_entries_in_cut(world, head, before_s, after_s, first_start):
    world.cut(head)
    await asyncio.sleep(before_s)
    await world.restart_entries(first_start)
    await asyncio.sleep(after_s)
    world.reconnect(head)


async def cut_while_holder_restarts(world, head):
    world.cut(head)
    await restart_holder_and_reconnect(world, head)


async def store_cut_while_holder_restarts(world, head):
    world.cut(head, entries=False)
    await restart_holder_and_reconnect(world, head)


async def restart_holder_and_reconnect(world, head):
    await asyncio.sleep(4.2)
    world.restart_holder()
    await asyncio.sleep(12)
    world.reconnect(head)


async def orders_late(world, head):
    """The member answers its next order not at all and carries it out 3 s
    late."""
    member = world.member(head)
    carry_out = member.carry_out

    def later(order):
        member.carry_out = carry_out
        member.later(carried_out_late(order))
        raise OSError("no answer")

    async def carried_out_late(order):
        await asyncio.sleep(3)
        member.record(f"late: {order['op']} -> {carry_out(order)}")

    member.carry_out = later
    await cut(world, head)


async def stay_away():
    """Takes the place of an engine's restart."""


async def dead(world, head):
    head.restart = stay_away
    head.crash()
    await asyncio.sleep(14)


async def reborn(world, head):
    head.crash()
    await asyncio.sleep(CUT_S)


async def other_writer(world, head):
    """The head loses the store, and another writer's entry under its id lacks
    born, so that the head's reports seem to be those of another life."""
    world.cut(head, entries=False)
    await asyncio.sleep(0.6)
    spec = head.entry()
    del spec["born"]
    world.store.put("servers", head.name, spec)
    await asyncio.sleep(CUT_S)
    world.reconnect(head)


async def drains(world, head):
    """The head drains, stops listening and ends."""
    head.restart = stay_away
    head.draining = True
    head.beat()
    await asyncio.sleep(2.5)
    head.cut_from_store = True
    head.server.close()
    await asyncio.sleep(5)
    head.crash()
    await asyncio.sleep(8)


CASES = {each.__name__.replace("_", "-"): each for each in (
    cut, cut_entries_first, cut_twice, cut_long, cut_both_heads, cut_member,
    cut_head_and_member, cut_while_entries_restart,
    cut_while_entries_start_first, cut_while_holder_restarts,
    store_cut_while_holder_restarts, orders_late, dead, reborn, other_writer,
    drains)}
SIZES = {"cut-groups-of-three": (cut, 3)}


async def call_streams(world, entry, name, answers, stop):
    count = 0
    while not stop.is_set():
        count += 1
        attempt, status = f"s{name}x{count}", "closed"
        try:
            reader, writer = await asyncio.open_connection(
                entry.host, entry.callers)
            writer.write(parts.request_bytes(
                "POST", "/notes/2f", attempt, 8000, b"x" * 700,
                [("X-Samphirehill-Model", "m1"),
                 ("X-Samphirehill-Token-Counts", "700,135"),
                 ("X-Samphirehill-Prefix-Hash",
                  f"5c1e:40,{name}{count}:660")]))
            got = await asyncio.wait_for(parts.read_message(reader, True), 8.5)
            status = got.first.split()[1]
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
                ValueError):
            pass
        answers.append(status)
        await asyncio.sleep(0.1)


async def watch_groups(world, times):
    """Notes when a group was lost first and when both were whole again."""
    while True:
        whole = world.whole_groups()
        if whole < 2:
            times.setdefault("lost", world.record.now())
            times.pop("whole", None)
        elif "lost" in times:
            times.setdefault("whole", world.record.now())
        await asyncio.sleep(0.05)


async def play(trouble, size, folder):
    record = parts.Record(folder)
    models = {"m1": {"size": size, "load_s": 12.0, "warm_s": 1.1}}
    store, engines, answers = parts.Store(record), {}, []
    port = parts.free_port("127.0.0.1")
    await store.start("127.0.0.1", port)
    for number in range(2 * size + 1):
        await parts.ModelEngine(record, store, engines, f"i-4e{number}b", "a",
                                "d1", models).start("127.0.0.1")
    store.put("config", "main", parts.configuration(7, [parts.route(
        "r-notes", "/notes/", "stream", "pool", 8000, 2, resumable=True,
        session_affinity=True, gap_target_ms=300)],
        [parts.engine_backend("pool", models)]))
    world = World(record, store, engines, [], folder, f"127.0.0.1:{port}",
                  parts.free_ports(HOSTS, 4))
    times, stop = {}, asyncio.Event()
    tasks = [asyncio.create_task(parts.expire_entries(store, engines))]
    try:
        world.entries = start_entries(world, True)
        for entry in world.entries:
            if not await entry.ready():
                return None
        await asyncio.sleep(11 - record.now())
        for engine in engines.values():
            engine.before_traffic = False
        if len(world.heads()) != 2:
            return None
        calls = [asyncio.create_task(call_streams(
            world, entry, f"{zone}{number}", answers, stop))
            for zone, entry in zip(ZONES, world.entries) for number in range(4)]
        await asyncio.sleep(4)
        begun = record.now()
        tasks.append(asyncio.create_task(watch_groups(world, times)))
        await trouble(world, world.heads()[0])
        await asyncio.sleep(SETTLE_S)
        stop.set()
        await asyncio.gather(*calls)
    finally:
        for task in tasks:
            task.cancel()
        for entry in world.entries:
            entry.end()
    whole = times["whole"] - begun if "whole" in times else None
    if "lost" not in times:
        whole = 0.0
    return {"two": sum(len(each.two) for each in engines.values()),
            "whole_s": whole,
            "answers": {each: answers.count(each) for each in set(answers)}}


def run_one(task):
    """Plays one run in this process; returns its name and result."""
    name, tree, keep = task
    parts.PROGRAM = str(pathlib.Path(tree) / "target/samphirehilld-platform")
    trouble, size = SIZES.get(name) or (CASES[name], 2)
    folder = parts.folder_for_run()
    try:
        result = asyncio.run(asyncio.wait_for(play(trouble, size, folder),
                                              LIMIT_S))
    except Exception as failed:  # reported as a case that could not run
        print(f"{name}: {failed!r}", file=sys.stderr)
        result = None
    if not keep:
        shutil.rmtree(folder, ignore_errors=True)
    return name, result, folder


def main():
    options = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    names = [*CASES, *SIZES]
    options.add_argument("--case", nargs="+", choices=names, default=names)
    options.add_argument("--runs", type=int, default=1)
    options.add_argument("--jobs", type=int, default=3)
    options.add_argument("--tree", default=str(ROOT))
    options.add_argument("--keep", action="store_true")
    options.add_argument("--list", action="store_true")
    chosen = options.parse_args()
    if chosen.list:
        print("\n".join(names))
        return 0
    tasks = [(name, chosen.tree, chosen.keep)
             for name in chosen.case for _ in range(chosen.runs)]
    status = 0
    with multiprocessing.Pool(chosen.jobs, maxtasksperchild=1) as pool:
        for name, result, folder in pool.imap(run_one, tasks, chunksize=1):
            place = f" {folder}" if chosen.keep else ""
            if result is None:
                print(f"{name:32} could not run{place}", flush=True)
                status = max(status, 2)
                continue
            whole = (f"{result['whole_s']:5.1f} s"
                     if result["whole_s"] is not None else "never  ")
            print(f"{name:32} TWO {result['two']}  whole after {whole}  "
                  f"answers {dict(sorted(result['answers'].items()))}{place}",
                  flush=True)
            if result["two"]:
                status = max(status, 1)
    return status


if __name__ == "__main__":
    sys.exit(main())
