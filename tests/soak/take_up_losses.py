"""What is lost, together or in series, while streams are in progress."""

import asyncio
import random
import signal

from fleet import GRACE_S
from world import PlatformStandin

DOWN_S = 0.2  # From the end of an entry to its restart.
ROUTE_TIMEOUT_S = 15.0
STORE_AWAY_S = 3.0
PAGE_DELAY_S = 0.05


class Platform(PlatformStandin):
    """A platform whose streams may outlive the grace of an entry.

    Each zone has engines of all versions; a replaced engine keeps its own.
    """

    def __init__(self, base, seed, version_count):
        super().__init__(base, seed)
        self.version_count = version_count
        self._versions = {}  # By listed address of the engine.

    def configuration(self):
        content = super().configuration()
        for route in content["routes"]:
            if route["name"] == "chat":
                route["timeout_ms"] = int(ROUTE_TIMEOUT_S * 1000)
        return content

    async def add_target(self, service, zone, listed_address=None,
                         target_id=None, version=None):
        target = await super().add_target(service, zone, listed_address,
                                          target_id, version)
        number = len(self._versions) // 2 % self.version_count
        if service == "models":
            target.version = self._versions.setdefault(
                target.address, version or ("v1", "v2")[number])
            self.store.put(f"servers/{target.id}", target.record())
        return target


class Losses:
    """Loses entries, record keepers and engines; each loss has a name."""

    def __init__(self, platform, fleet, oracle, seed, gap_s):
        self.platform = platform
        self.fleet = fleet
        self.oracle = oracle
        self.gap_s = gap_s  # Between the losses of two entries.
        self.random = random.Random(seed)

    def engines(self):
        return [target for target in self.platform.targets
                if target.service == "models"]

    async def _in_turn(self, lose, entries):
        losses = []
        for entry in entries:
            losses.append(asyncio.create_task(lose(entry)))
            await asyncio.sleep(self.gap_s)
        await asyncio.gather(*losses)

    async def _kill(self, entries, down_s=DOWN_S):
        await self._in_turn(lambda entry: entry.kill(down_s), entries)

    async def _restart_keepers(self, hosts, gap_s=0.0):
        for host in hosts:
            await self.platform.keepers.restart(host, 0)
            await asyncio.sleep(gap_s)

    def _keepers(self, share=1.0):
        hosts = sorted(self.platform.keepers.processes)
        return self.random.sample(hosts, round(share * len(hosts)))

    async def one(self):
        await self._kill(self.fleet[:1])

    async def half(self):
        await self._kill(self.fleet[::2])

    async def all(self):
        await self._kill(self.fleet)

    async def all_down_3_s(self):
        await self._kill(self.fleet, 3.0)

    async def all_and_a_quarter_of_keepers(self):
        await self._restart_keepers(self._keepers(0.25))
        await self._kill(self.fleet)

    async def all_and_half_of_keepers(self):
        await self._restart_keepers(self._keepers(0.5))
        await self._kill(self.fleet)

    async def all_and_keepers(self):
        await self._restart_keepers(self._keepers())
        await self._kill(self.fleet)

    async def all_after_keepers_in_turn(self):
        await self._restart_keepers(self._keepers(), 0.3)
        await self._kill(self.fleet)

    async def all_2_s_after_keepers_in_turn(self):
        await self._restart_keepers(self._keepers(), 0.1)
        await asyncio.sleep(2.0)
        await self._kill(self.fleet)

    async def all_after_keepers_at_once(self):
        """A release that restarts all keepers a second before the loss."""
        await self._restart_keepers(self._keepers())
        await asyncio.sleep(1.0)
        await self._kill(self.fleet)

    async def all_before_keepers_in_turn(self):
        """All keepers are restarted once entries run, before clients return."""
        loss = asyncio.create_task(self._kill(self.fleet))
        await asyncio.sleep(DOWN_S + 1.0)
        await self._restart_keepers(self._keepers(), 0.3)
        await loss

    async def all_and_hosts_that_leave(self):
        """All old engines and their keepers leave while no entry runs."""
        old = self.engines()
        for engine in old:
            await self.platform.add_target("models", engine.zone,
                                           version=engine.version)
        await asyncio.sleep(1.0)
        loss = asyncio.create_task(self._kill(self.fleet, 2.0))
        await asyncio.sleep(0.5)
        await asyncio.gather(*map(self.platform.leave, old))
        await loss

    async def all_twice(self):
        """The second time half a second after their restart."""
        first = asyncio.create_task(self._kill(self.fleet))
        await asyncio.sleep(len(self.fleet) * self.gap_s + DOWN_S + 0.5)
        await self._kill(self.fleet)
        await first

    async def zone(self):
        """Entries, record keepers and engines of one zone."""
        entries = [entry for entry in self.fleet if entry.zone == "a"]
        engines = [engine for engine in self.engines() if engine.zone == "a"]
        for engine in engines:
            engine.mode = "gone"
        await asyncio.gather(
            self._kill(entries), self._restart_keepers(
                engine.address.rsplit(":", 1)[0] for engine in engines),
            *(self.platform.crash(engine, 0.5) for engine in engines))

    async def all_and_engines(self):
        """The engines come back as other ones under their addresses."""
        engines = self.engines()
        for engine in engines:
            engine.mode = "gone"
        await asyncio.gather(
            self._kill(self.fleet),
            *(self.platform.crash(engine, DOWN_S) for engine in engines))

    async def half_without_store(self):
        self.platform.store.is_down = True
        await asyncio.gather(self._kill(self.fleet[::2]),
                             asyncio.sleep(STORE_AWAY_S))
        self.platform.store.is_down = False

    async def all_without_store(self):
        """Nothing begins before the store is back: entries know no route."""
        self.platform.store.is_down = True
        await asyncio.gather(self._kill(self.fleet),
                             asyncio.sleep(STORE_AWAY_S))
        self.platform.store.is_down = False

    async def all_with_slow_store(self):
        """The list of targets arrives page by page after the restarts."""
        for entry in self.fleet:
            entry.store_proxy.delay = PAGE_DELAY_S
        await self._kill(self.fleet)
        for entry in self.fleet:
            entry.store_proxy.delay = 0.0

    async def all_with_keepers_paused(self):
        """Half of the keepers get no datagrams while the entries restart."""
        hosts = self._keepers(0.5)
        await asyncio.gather(
            *(self.platform.keepers.pause(host, 3.0) for host in hosts),
            self._kill(self.fleet))

    async def _stop(self, entries):
        await self._in_turn(
            lambda entry: entry.stop_gracefully(self.oracle.faults), entries)

    async def roll(self):
        await self._stop(self.fleet)

    async def roll_half(self):
        await self._stop(self.fleet[::2])

    async def roll_and_kill(self):
        """All are told to stop, and are killed before their grace ends."""
        stop = asyncio.create_task(self.roll())
        await asyncio.sleep(GRACE_S / 2)
        for entry in self.fleet:
            entry.begin_disturbance()
            entry.send_signal(signal.SIGKILL)
        await stop
        for entry in self.fleet:
            entry.end_disturbance()
