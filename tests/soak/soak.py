"""Runs entry processes before stand-ins, disturbs them, checks the promises."""

import argparse
import asyncio
import os
import sys
import tempfile

from callers import Caller, KINDS
from disorder import Disorder
from fleet import Entry
from oracle import Oracle
from world import WARM_UP, World

SETTLE_S = 4  # After the last disturbance, until all requests must be served.


async def wait_ready(fleet):
    for _ in range(200):
        await asyncio.sleep(0.1)
        states = [await is_ready(one) for one in fleet]
        if all(states):
            return
    raise SystemExit("the entries did not become ready")


async def is_ready(entry):
    host, port = entry.readiness.rsplit(":", 1)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return b" 200 " in head
    except (OSError, asyncio.TimeoutError):
        return False


async def check_recovery(oracle, seed):
    """Checks that requests of each kind are served after all disturbances."""
    caller = Caller(oracle, seed, leaving=0)
    before = dict(oracle.counts)
    ends = [caller.run(oracle.now() + 3, 0.05) for _ in range(4)]
    await asyncio.gather(*ends)
    for kind in KINDS:
        gained = {end: count - before.get((kind, end), 0)
                  for (its, end), count in oracle.counts.items()
                  if its == kind}
        good = gained.get(200, 0)
        if good < 0.9 * sum(gained.values()) or good == 0:
            oracle.faults.append(f"not recovered: {kind} {gained}")


async def soak(options, folder):
    world = World(options.base)
    if options.only and "cold" in options.only:
        world.warm_up = WARM_UP
    await world.start(options.copies)
    port = 1002 if options.direct else 1004  # As Entry numbers its ports.
    seeds = [f"127.0.0.1:{options.base + port + 10 * one}" for one in (0, 1)]
    downlinks = {}
    fleet = [Entry(options.program, number, options.base + 1000,
                   world.store_address, folder, seeds, downlinks,
                   options.narrow_rate if number < options.narrow else 0)
             for number in range(options.entries)]
    for entry in fleet:
        entry.is_direct = options.direct
    oracle = Oracle(world.log, fleet)
    oracle.published[1] = oracle.now()
    tasks = []
    try:
        for entry in fleet:
            await entry.open()
        await wait_ready(fleet)
        for entry in fleet:
            tasks.append(asyncio.create_task(entry.watch()))
        tasks.append(asyncio.create_task(oracle.watch_machine()))
        disorder = Disorder(options.seed, world, oracle, options.only)
        until = oracle.now() + options.seconds
        callers = [Caller(oracle, f"{options.seed}.{number}")
                   for number in range(options.callers)]
        await asyncio.gather(
            disorder.run(until),
            callers[0].probe(until + SETTLE_S),
            *(one.run(until, options.pause) for one in callers))
        await asyncio.sleep(SETTLE_S)
        await check_recovery(oracle, options.seed)
    finally:
        for task in tasks:
            task.cancel()
        for entry in fleet:
            entry.end()
    oracle.conclude()
    return oracle, disorder


def report(oracle, disorder, options):
    total = {}
    for (kind, end), count in sorted(oracle.counts.items(), key=str):
        total.setdefault(kind, []).append(f"{end}: {count}")
    for kind, ends in total.items():
        print(f"  {kind}: {', '.join(ends)}")
    if options.verbose or oracle.faults:
        print("\n".join(disorder.story))
    for fault in oracle.faults[:20]:
        print(f"FAULT {fault}")
    state = "clean" if not oracle.faults else f"{len(oracle.faults)} faults"
    print(f"seed {options.seed}: {state}, {len(oracle.sent)} requests, "
          f"{len(disorder.story)} disturbances")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--copies", type=int, default=3)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--pause", type=float, default=0.15)
    parser.add_argument("--base", type=int, default=26000,
                        help="first port, below the ephemeral port range")
    parser.add_argument("--direct", action="store_true",
                        help="no proxies between entries; for large fleets")
    parser.add_argument("--narrow", type=int, default=0,
                        help="number of entries with a narrow link")
    parser.add_argument("--narrow-rate", type=float, default=8e5,
                        help="bytes per second of a narrow link")
    parser.add_argument("--only", nargs="*",
                        help="kinds of disturbances, such as kill")
    parser.add_argument("--verbose", action="store_true")
    parser.add_argument("--logs", help="folder for the entries' logs")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as made:
        folder = options.logs or made
        os.makedirs(folder, exist_ok=True)
        oracle, disorder = asyncio.run(soak(options, folder))
    report(oracle, disorder, options)
    sys.exit(1 if oracle.faults else 0)


if __name__ == "__main__":
    main()
