"""Disturbances drawn from a seed: single, repeated and overlapping ones."""

import asyncio
import itertools
import random
import signal

from callers import Caller, KINDS


MOST_POISONS = 2  # So that each still finds targets to crash.
# Not drawn by default, so that existing seeds replay unchanged.
ONLY_IF_NAMED = ("roll", "evacuate", "cold")
GROW_PAUSE_S = 3  # So that a narrow link can carry all versions.


class Disorder:
    def __init__(self, seed, world, oracle, kinds=None):
        self.random = random.Random(seed)
        self.world = world
        self.oracle = oracle
        self.story = []
        self.began = oracle.now()
        self.tasks = set()
        self.grown_at = 0.0
        self.poisons = itertools.count(1)
        self.poisoning = 0
        names = [name for name in dir(self) if name.startswith("do_")]
        self.kinds = [name for name in names
                      if name[3:] in (kinds or ()) or
                      not kinds and name[3:] not in ONLY_IF_NAMED]

    async def run(self, until):
        if not self.kinds:
            await asyncio.sleep(until - self.oracle.now())
        while self.oracle.now() < until and self.kinds:
            await asyncio.sleep(self.random.expovariate(1 / 0.6))
            kind = self.random.choice(self.kinds)
            again = self.random.choice((1, 1, 1, 2, 3))
            for _ in range(again):
                self.tasks.add(asyncio.create_task(getattr(self, kind)()))
                await asyncio.sleep(self.random.uniform(0, 0.4))
        await asyncio.gather(*self.tasks)

    def tell(self, text):
        self.story.append(f"{self.oracle.now() - self.began:7.2f} {text}")

    def entry(self):
        """Returns an undisturbed entry, or None if it is the last one."""
        free = [one for one in self.oracle.fleet if one.is_running()
                and not one.is_disturbed and not one.is_stopping]
        if len(free) < 2:  # One always remains to serve requests.
            return None
        return self.random.choice(free)

    def target(self):
        """Returns an undisturbed target whose service has another one."""
        free = [one for one in self.world.targets
                if one.mode == "ok" and one.state == "ready"
                and self.world.proxies[one.address].mode == "open"]
        sound = [one for one in free
                 if sum(other.service == one.service for other in free) > 1]
        return self.random.choice(sound) if sound else None

    def span(self, most=2.5):
        return self.random.uniform(0.2, most)

    async def do_kill(self):
        if one := self.entry():
            self.tell(f"kill {one.name}")
            await one.kill(self.span(1))

    async def do_pause(self):
        if one := self.entry():
            self.tell(f"pause {one.name}")
            await one.pause(self.span(4))

    async def do_stop(self):
        if one := self.entry():
            self.tell(f"stop {one.name}")
            await one.stop_in_order(self.oracle.faults)

    async def do_roll(self):
        """Stops all entries one after another, at short intervals."""
        fleet = list(self.oracle.fleet)
        if any(one.is_stopping or one.is_disturbed for one in fleet):
            return
        self.random.shuffle(fleet)
        gap = self.random.choice((0, 0.4, 0.8, 1.5, 2.5))
        self.tell(f"stop all, {gap} s apart")
        stops = []
        for one in fleet:
            one.is_stopping = True  # No other disturbance picks it.
            stops.append(asyncio.create_task(
                one.stop_in_order(self.oracle.faults)))
            await asyncio.sleep(gap)
        await asyncio.gather(*stops)

    async def do_hangup(self):
        if one := self.entry():
            torn = self.random.random() < 0.3
            self.tell(f"settings of {one.name} rewritten"
                      f"{', truncated' if torn else ''}")
            one.write_settings(torn)
            if self.random.random() < 0.6:
                one.send(signal.SIGHUP)
            await asyncio.sleep(self.span(2))
            one.write_settings()

    async def do_peers(self):
        """Disturbs the connections from other entries to one entry."""
        if one := self.entry():
            mode = self.random.choice(("cut", "silent", "deaf", "slow"))
            self.tell(f"connections of other entries to {one.name}: {mode}")
            one.link.delay = 0.15 if mode == "slow" else 0
            one.link.set_mode("open" if mode == "slow" else mode)
            await asyncio.sleep(self.span(4))
            one.link.delay = 0
            one.link.set_mode("open")
            one.link.reset()

    async def do_store_of_one(self):
        if one := self.entry():
            mode = self.random.choice(("cut", "silent", "deaf"))
            self.tell(f"store connection of {one.name}: {mode}")
            one.begin_disturbance()
            one.store.set_mode(mode)
            await asyncio.sleep(self.span(4))
            one.store.set_mode("open")
            one.store.reset()
            one.end_disturbance()

    async def do_store(self):
        if self.oracle.store_calm_since > self.oracle.now():
            return
        how = self.random.choice(("down", "slow", "forget"))
        self.tell(f"store {how}")
        self.oracle.store_calm_since = float("inf")
        if how == "forget":
            self.world.store.is_blind = True
            self.world.publish(self.oracle.published)
        self.world.store.is_down = how == "down"
        for one in self.oracle.fleet:
            one.store.delay = 0.2 if how == "slow" else 0
        await asyncio.sleep(self.span())
        self.world.store.is_down = False
        if how == "forget":
            self.world.store.forget()
        for one in self.oracle.fleet:
            one.store.delay = 0
        self.oracle.store_calm_since = self.oracle.now()

    async def _harm_target(self, change, undo):
        one = self.target()
        if one is None:
            return
        self.oracle.targets_calm_since = float("inf")
        change(one)
        await asyncio.sleep(self.span())
        undo(one)
        others = [other for other in self.world.targets
                  if other is not one and other.mode != "ok"]
        if not others:
            self.oracle.targets_calm_since = self.oracle.now()

    async def do_target_mode(self):
        mode = self.random.choice(("lost", "cut", "slow", "shed", "extra"))

        def change(one):
            self.tell(f"{one.service} {one.id}: mode {mode}")
            one.mode = mode
        await self._harm_target(change,
                                lambda one: setattr(one, "mode", "ok"))

    async def do_target_link(self):
        mode = self.random.choice(("cut", "silent", "deaf"))
        proxies = self.world.proxies

        def change(one):
            self.tell(f"connections to {one.service} {one.id}: {mode}")
            proxies[one.address].set_mode(mode)

        def undo(one):
            proxies[one.address].set_mode("open")
            proxies[one.address].reset()
        await self._harm_target(change, undo)

    async def do_target_crash(self):
        if one := self.target():
            self.tell(f"crash {one.service} {one.id}")
            one.mode = "gone"
            self.oracle.targets_calm_since = float("inf")
            await self.world.crash(one, self.span(1))
            self.oracle.targets_calm_since = self.oracle.now()

    async def do_poison(self):
        """Sends all entries a request that crashes each target, for a while."""
        if self.poisoning == MOST_POISONS:
            return
        self.poisoning += 1
        kind = self.random.choice(list(KINDS))
        at_stage = kind in ("chat", "note") and self.random.random() < 0.4
        poison = f"/poison{'-stage' if at_stage else ''}-{next(self.poisons)}"
        self.tell(f"{kind}{poison}")
        self.oracle.targets_calm_since = float("inf")
        caller = Caller(self.oracle, poison)
        until = self.oracle.now() + self.random.uniform(4, 12)
        asked = []
        while self.oracle.now() < until:
            entry = self.random.choice(self.oracle.fleet)
            asked.append(asyncio.create_task(
                caller.ask_poison(kind, poison, entry)))
            await asyncio.sleep(self.random.uniform(0.02, 0.5))
        await asyncio.gather(*asked)
        self.poisoning -= 1
        self.oracle.targets_calm_since = self.oracle.now()

    async def do_target_restart(self):
        if one := self.target():
            self.tell(f"restart {one.service} {one.id}")
            one.mode = "gone"
            self.oracle.targets_calm_since = float("inf")
            await self.world.restart(one, self.span(1))
            self.oracle.targets_calm_since = self.oracle.now()

    async def do_foreign_entry(self):
        """Writes an invalid record, for a while also over a valid one."""
        store = self.world.store
        entry = self.world.targets[0].entry()
        bad = self.random.choice((
            b"\xff\x00{", b"[]", b"{}", {**entry, "address": "nowhere"},
            {**entry, "state": "sleeping"}, {**entry, "capacity": "many"},
            {**entry, "backend": "nothing"}, {**entry, "zone": None}))
        store.put(f"servers/x-{self.random.randrange(9)}", bad)
        self.tell(f"invalid record of another writer: {bad}")
        one = self.target()
        if one is None:
            return
        self.tell(f"record of {one.service} {one.id} becomes invalid")
        one.mode = "written over"
        store.put(f"servers/{one.id}", bad)
        began = self.oracle.now()
        await asyncio.sleep(self.span(4))
        self.oracle.unlisted.append((one.id, began, self.oracle.now()))
        store.put(f"servers/{one.id}", one.entry())
        one.mode = "ok"

    async def do_evacuate(self):
        """Evacuates a zone for a while."""
        zone = self.random.choice("ab")
        if any(one.zone == zone and not one.ended
               for one in self.oracle.evacuations):
            return
        self.tell(f"evacuate zone {zone}")
        self.world.set_evacuated(zone, True)
        one = self.oracle.note_evacuated(zone)
        await asyncio.sleep(self.span(4))
        one.ended = self.oracle.now()
        self.world.set_evacuated(zone, False)
        self.tell(f"end evacuation of zone {zone}")

    async def do_cold(self):
        """Crashes an engine; a cold one replaces it."""
        engines = [one for one in self.world.targets
                   if one.service == "models" and one.mode == "ok"
                   and one.state == "ready"]
        if len(engines) < 2:
            return
        one = self.random.choice(engines)
        self.tell(f"replace {one.id} by a cold engine")
        one.mode = "gone"
        self.oracle.targets_calm_since = float("inf")
        await self.world.start_cold(one, self.span(1))
        self.oracle.targets_calm_since = self.oracle.now()

    async def do_replace(self):
        if one := self.target():
            self.tell(f"replace {one.service} {one.id}")
            await self.world.replace(one, self.oracle.leaving)

    async def do_publish(self):
        self.world.publish(self.oracle.published)
        self.tell(f"publish version {self.world.version}")
        await asyncio.sleep(0)

    async def do_grow(self):
        """Publishes two larger configurations in quick succession."""
        if self.oracle.now() < self.grown_at + GROW_PAUSE_S:
            return
        self.grown_at = self.oracle.now()
        self.world.more_routes = min(1500, self.world.more_routes + 500)
        for _ in range(2):
            self.world.publish(self.oracle.published)
            self.tell(f"publish version {self.world.version}, "
                      f"{self.world.more_routes} extra routes")
            await asyncio.sleep(0.3)
