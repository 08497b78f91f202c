"""Loses all entries while streams are in progress; their callers return when
record keepers have been released, or all in one moment beside urgent requests.
Nine tenths of the streams with time left whose version serves must go on.
"""

import argparse
import asyncio
import collections
import json

from callers import Caller
from pace import MEAN_FACTOR
from total_loss import BEGIN_S, TotalLoss, add_options, run_in_folder
from world import PlatformStandin

COPIES = 6  # Of each target.
STREAMS = 48
BUDGET_S = 15.0  # Of a stream's caller, from its first request on.
OWED_LEFT_S = 3.0
MIN_SHARE = 0.9
MIN_STREAMS = STREAMS // 2
TRIES = 3
POWER_LOSS_S = (1.0, 2.6)
NOTICE_S = (5.0, 7.0)  # Until callers notice that an entry lost power.
KEEPERS_KNOWN_S = 1.0  # From the start of new targets to the loss.
# From the loss to a release that is done in one moment: while no entry runs,
# or when all have served for a second.
AT_ONCE_S = (0.5, 4.2)
# The same of a release that is done in turn, which begins while no entry runs.
IN_TURN_S = (0.5, 1.5)
IN_TURN_GAP_S = 0.7
REQUEST_PIECES = 2  # Of a note at the stage that has most to do.
RUSH_BUDGET_S = 12.0
RUSH_LOADS = (0.8, 1.0, 1.2)  # By what the stages can do.
RUSH_LOAD_S = 2.0  # From the start of the load to the loss.


class LateReturns(TotalLoss):
    def __init__(self, platform, oracle, seed):
        super().__init__(platform, oracle, seed)
        self.down_s = POWER_LOSS_S
        self.budget_s = BUDGET_S
        self.owed = []  # Whether each stream went on.
        self.refusals = collections.Counter()

    async def begin_streams(self):
        for engine in self.engines():
            engine.mode = "slow"
        self.incarnations = {entry: entry.incarnation
                             for entry in self.oracle.fleet}
        streams = [asyncio.create_task(self.send(budget_s=self.budget_s))
                   for _ in range(STREAMS)]
        await asyncio.sleep(BEGIN_S)
        return streams

    async def lose_entries(self):
        kills = await self.lose_all(0)
        for engine in self.engines():
            engine.mode = "ok"
        return kills

    async def take_up(self, first, wait_s):
        """Takes a broken stream up as its caller does, and judges it."""
        if first.stream.last_event in (0, self.oracle.log.event_count):
            return
        await asyncio.sleep(wait_s)
        until = first.sent_at + self.budget_s
        is_owed = until - self.oracle.now() >= OWED_LEFT_S and \
            self.platform.count_serving_engines(
                min(first.stream.versions)) > 0
        for _ in range(TRIES):
            sent = await self.send(first, until - self.oracle.now())
            if sent.event_count:
                break
            self.refusals[self._reason(sent)] += 1
            if self.oracle.now() + sent.retry_after_s >= until:
                break
            await asyncio.sleep(sent.retry_after_s)
        if is_owed:
            self.owed.append(sent.event_count > 0)

    @staticmethod
    def _reason(sent):
        try:
            return json.loads(sent.body)["error"]
        except (ValueError, KeyError):
            return f"{sent.status} without events"

    def check(self):
        print(f"{sum(self.owed)} of {len(self.owed)} streams went on; "
              f"refused tries: {dict(self.refusals)}")
        if len(self.owed) < MIN_STREAMS:
            self.oracle.faults.append("too few streams were in progress")
        elif sum(self.owed) < MIN_SHARE * len(self.owed):
            self.oracle.faults.append("streams did not go on")


class ReleasedKeepers(LateReturns):
    """A release moves all engines, and the keepers beside them, meanwhile."""

    async def run_all(self, options):
        streams = await self.begin_streams()
        is_in_turn = options.scenario == "in_turn"
        old = self.engines()
        if not is_in_turn:
            await asyncio.gather(*map(self.add_new, old))
            await asyncio.sleep(KEEPERS_KNOWN_S)
        release = asyncio.create_task(
            self.release_in_turn(old) if is_in_turn else self.release(old))
        await self.lose_entries()
        notice_s = self.random.uniform(*NOTICE_S) - self.down_s[0]
        await asyncio.gather(release, *(
            self.take_up(first, self.random.uniform(0, 0.5) + notice_s)
            for first in await asyncio.gather(*streams)))

    async def add_new(self, engine):
        """Starts an engine like this one, with a keeper, on another host."""
        await self.platform.add_target("models", engine.zone,
                                       version=engine.version)

    async def release(self, engines):
        after_s = self.random.choice(AT_ONCE_S)
        await asyncio.sleep(after_s)
        print(f"keepers stop {after_s} s after the loss")
        await asyncio.gather(*map(self.platform.leave, engines))

    async def release_in_turn(self, engines):
        await asyncio.sleep(self.random.uniform(*IN_TURN_S))
        for engine in engines:
            await self.add_new(engine)
            await asyncio.gather(self.platform.leave(engine),
                                 asyncio.sleep(IN_TURN_GAP_S))


class Rush(LateReturns):
    """Callers of the least urgent route return as soon as entries serve."""

    async def run_all(self, options):
        self.down_s = (0.1, 0.5)
        self.budget_s = RUSH_BUDGET_S
        streams = await self.begin_streams()
        share = self.random.choice(RUSH_LOADS)
        rate = share * self.platform.pieces_per_s("rank") / MEAN_FACTOR / \
            REQUEST_PIECES
        print(f"{rate:.0f} urgent requests per second, {share} of what the "
              "stages can do")
        load = asyncio.create_task(
            Caller(self.oracle, options.seed, 0).send_burst(
                {"note": rate}, self.oracle.now() + self.budget_s - BEGIN_S))
        await asyncio.sleep(RUSH_LOAD_S)
        await self.lose_entries()
        await asyncio.gather(*(self.take_up(first, 0) for first
                               in await asyncio.gather(*streams)))
        await load

    def check(self):
        super().check()
        refusals = sum(target.memory_refusals
                       for target in self.platform.targets
                       if target.service in ("encode", "rank"))
        print(f"{refusals} pieces had no room; notes: " + str({
            outcome: count for (kind, outcome), count
            in self.oracle.outcome_counts.items() if kind == "note"}))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=("in_turn", "at_once", "rush"),
                        help="how keepers are released, or a rush")
    add_options(parser)
    options = parser.parse_args()
    options.copies = COPIES
    platform = PlatformStandin(options.base, options.seed)
    platform.allow_long_streams()
    platform.has_rush = options.scenario == "rush"
    make_loss = Rush if platform.has_rush else ReleasedKeepers
    run_in_folder(options, platform, lambda platform, oracle: make_loss(
        platform, oracle, options.seed))


if __name__ == "__main__":
    main()
