"""Loses all entries while streams of two versions are in progress, then has
their callers take them up: as many must go on as new streams begin.
"""

import argparse
import asyncio
import os
import random
import sys
import tempfile

from callers import Caller, Connection, REQUEST_KINDS
from fleet import Entry, RecordKeepers, wait_ready
from oracle import Oracle
from targets import EVENT_COUNT
from world import PlatformStandin

STREAMS = 24  # In progress at each loss; the engines' slots bear twice that.
BEGIN_S = 1.0  # By then, each stream has events.
MIN_SHARE = 0.9  # Of the share of new streams that begin.


class TotalLoss:
    def __init__(self, platform, oracle, seed):
        self.oracle = oracle
        self.platform = platform
        self.random = random.Random(seed)
        self.caller = Caller(oracle, seed, abandoned_share=0)
        self.down_s = (0.05, 0.3)  # From its end to the start of an entry.
        self.taken_up = []
        self.begun = []

    async def send(self, stream_of=None, budget_s=None):
        """Sends a request for a stream, a new one or that of a request."""
        entry = self.random.choice(self.oracle.fleet)
        sent = self.caller.new_request("chat", entry)
        sent.budget_s = budget_s or sent.budget_s
        method, path, fields = REQUEST_KINDS["chat"]
        fields = {**fields, "Authorization": "Bearer always"}
        if stream_of:
            sent.stream = stream_of.stream
            fields["Last-Event-Id"] = str(sent.stream.last_event)
            fields["Resumes"] = stream_of.request_id
        connection = Connection(entry, self.oracle)
        await connection.send(sent, method, path, fields)
        connection.close()
        self.oracle.check_outcome(sent)
        return sent

    async def lose_all(self, gap_s):
        """Kills each entry, gap_s after the one before."""
        kills = []
        for entry in self.oracle.fleet:
            kills.append(asyncio.create_task(
                entry.kill(self.random.uniform(*self.down_s))))
            await asyncio.sleep(gap_s)
        for entry in self.oracle.fleet:
            while entry.incarnation == self.incarnations[entry]:
                await asyncio.sleep(0.02)
        # Callers come as soon as they can, not when all is known again.
        while not all([await entry.is_ready()
                       for entry in self.oracle.fleet]):
            await asyncio.sleep(0.005)
        return kills

    async def restart_keeper(self):
        keepers = self.platform.keepers
        await keepers.restart(self.random.choice(sorted(keepers.processes)), 0)

    def crash_engine(self):
        """Crashes an engine; its version is not judged while one is left."""
        engine = self.random.choice(self.engines())
        engine.mode = "gone"
        return asyncio.create_task(self.platform.crash(engine, 0.5))

    def engines(self):
        return [target for target in self.platform.targets
                if target.service == "models"]

    async def run_all(self, options):
        for gap_s in options.gaps:
            await self.run(gap_s, options.restart_keeper,
                           options.crash_engine)

    async def run(self, gap_s, restarts_keeper, crashes_engine):
        for engine in self.engines():
            engine.mode = "slow"
        self.incarnations = {entry: entry.incarnation
                             for entry in self.oracle.fleet}
        streams = [asyncio.create_task(self.send()) for _ in range(STREAMS)]
        await asyncio.sleep(BEGIN_S)
        if restarts_keeper:
            await self.restart_keeper()
        disturbances = [self.crash_engine()] if crashes_engine else []
        disturbances += await self.lose_all(gap_s)
        for engine in self.engines():
            if engine.mode == "slow":
                engine.mode = "ok"
        serving = [version for version in ("v1", "v2")
                   if self.platform.count_serving_engines(version) >= 2]
        broken = [sent for sent in await asyncio.gather(*streams)
                  if sent.stream.last_event not in (0, EVENT_COUNT)
                  and min(sent.stream.versions) in serving]
        self.taken_up += await asyncio.gather(*map(self.send, broken))
        self.begun += await asyncio.gather(*(self.send() for _ in broken))
        await asyncio.gather(*disturbances)

    def check(self):
        gone_on = sum(sent.event_count > 0 for sent in self.taken_up)
        begun = sum(sent.event_count > 0 for sent in self.begun)
        print(f"{gone_on} of {len(self.taken_up)} streams went on, "
              f"{begun} of {len(self.begun)} new ones began")
        if len(self.taken_up) < STREAMS:
            self.oracle.faults.append("too few streams were in progress")
        elif gone_on / len(self.taken_up) < \
                MIN_SHARE * begun / len(self.begun):
            self.oracle.faults.append("streams ended with the entries")


async def run(options, folder, platform, make_loss, entry_type):
    """Runs a loss of all entries; make_loss(platform, oracle) returns it."""
    platform.keepers = RecordKeepers(options.program, options.base + 999,
                                     folder)
    await platform.start(options.copies)
    seeds = [f"127.0.0.1:{options.base + 1004 + 10 * number}"
             for number in (0, 1)]
    fleet = [entry_type(options.program, number, options.base + 1000,
                        platform.store_address, folder, seeds, {})
             for number in range(options.entries)]
    for entry in fleet:
        entry.keeper_port = platform.keepers.port
    oracle = Oracle(platform.log, fleet)
    loss = make_loss(platform, oracle)
    try:
        for entry in fleet:
            await entry.open()
        await wait_ready(fleet)
        await asyncio.sleep(1)
        await loss.run_all(options)
    finally:
        for entry in fleet:
            entry.terminate()
        platform.keepers.terminate()
    loss.check()
    for host, exit_code in platform.keepers.unexpected_exits:
        oracle.faults.append(
            f"the record keeper on {host} exited: {exit_code}")
    return oracle.faults


def add_options(parser):
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--base", type=int, default=26000)
    parser.add_argument("--logs", help="folder for the processes' logs")


def run_in_folder(options, platform, make_loss, entry_type=Entry):
    """Runs a loss, prints its faults and exits."""
    with tempfile.TemporaryDirectory() as temporary_folder:
        folder = options.logs or temporary_folder
        os.makedirs(folder, exist_ok=True)
        faults = asyncio.run(run(options, folder, platform, make_loss,
                                 entry_type))
    for fault in faults[:20]:
        print(f"FAULT {fault}")
    sys.exit(1 if faults else 0)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    add_options(parser)
    parser.add_argument("--copies", type=int, default=4)
    parser.add_argument("--gaps", type=float, nargs="+", default=[0, 0, 0.1],
                        help="seconds between the kills of each loss")
    parser.add_argument("--restart-keeper", action="store_true",
                        help="restart a record keeper before each loss")
    parser.add_argument("--crash-engine", action="store_true",
                        help="crash an engine at each loss")
    options = parser.parse_args()
    run_in_folder(options, PlatformStandin(options.base, options.seed),
                  lambda platform, oracle:
                  TotalLoss(platform, oracle, options.seed))


if __name__ == "__main__":
    main()
