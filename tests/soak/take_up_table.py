"""Shows which share of streams goes on after a loss, as a row of a table."""

import argparse
import asyncio
import os
import random
import sys
import tempfile

import targets
from fleet import Entry, RecordKeepers, wait_ready
from oracle import Oracle
from take_up_clients import Clients, Rotation
from take_up_losses import Losses, Platform

EVENT_INTERVAL_S = 0.9  # A stream of six events outlives the grace.


async def run(options, folder):
    platform = Platform(options.base, options.seed, options.versions)
    platform.keepers = RecordKeepers(
        options.program, options.base + 999, folder,
        {"all": None, "half": 2, "none": 0}[options.keepers])
    await platform.start(options.copies)
    seeds = [f"127.0.0.1:{options.base + 1004 + 10 * number}"
             for number in (0, 1)]
    fleet = [Entry(options.program, number, options.base + 1000,
                   platform.store_address, folder, seeds, {})
             for number in range(options.entries)]
    for entry in fleet:
        entry.keeper_port = platform.keepers.port
    oracle = Oracle(platform.log, fleet)
    # Streams outlive the grace, so that stops may cut them.
    oracle.targets_undisturbed_since = oracle.now()
    losses = Losses(platform, fleet, oracle, options.seed, options.gap)
    rotation = Rotation(fleet)
    clients = Clients(oracle, rotation, random.Random(options.seed),
                      options.wait)
    try:
        for entry in fleet:
            await entry.open()
        await wait_ready(fleet)
        checks = asyncio.create_task(rotation.run())
        await asyncio.sleep(1)
        platform.log.long_streams_share = 1
        streams = [asyncio.create_task(clients.stream())
                   for _ in range(options.streams)]
        await asyncio.sleep(1.5)
        loss = asyncio.create_task(getattr(losses, options.loss)())
        if options.loss.startswith("roll"):
            for _ in range(options.streams):
                await asyncio.sleep(0.15)
                streams.append(asyncio.create_task(clients.stream()))
        else:  # What begins from now on ends soon.
            await asyncio.sleep(0.05)
            platform.log.long_streams_share = 0
        await asyncio.gather(loss, *streams)
        checks.cancel()
    finally:
        for entry in fleet:
            entry.terminate()
        platform.keepers.terminate()
    return clients, oracle.faults


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("loss", help="a method of Losses")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--copies", type=int, default=8)
    parser.add_argument("--streams", type=int, default=24)
    parser.add_argument("--versions", type=int, choices=(1, 2), default=2)
    parser.add_argument("--keepers", choices=("all", "half", "none"),
                        default="all", help="hosts that have one")
    parser.add_argument("--gap", type=float, default=0.0,
                        help="seconds between the losses of two entries")
    parser.add_argument("--wait", type=float, default=0.0,
                        help="seconds until a client takes its stream up")
    parser.add_argument("--base", type=int, default=26000)
    parser.add_argument("--logs", help="folder for the processes' logs")
    options = parser.parse_args()
    targets.LONG_EVENT_INTERVAL_S = EVENT_INTERVAL_S
    with tempfile.TemporaryDirectory() as temporary_folder:
        folder = options.logs or temporary_folder
        os.makedirs(folder, exist_ok=True)
        clients, faults = asyncio.run(run(options, folder))
    ages = sorted(clients.taken_up.entry_ages_s)
    print(f"{options.loss}: entries {options.entries}, versions "
          f"{options.versions}, keepers {options.keepers}, gap {options.gap}, "
          f"wait {options.wait}: went on {clients.taken_up}, "
          f"new {clients.begun}"
          + (f", refused by entries aged {ages[0]:.2f} to {ages[-1]:.2f}"
             if ages else ""), flush=True)
    for fault in faults[:20]:
        print(f"FAULT {fault}")
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
