"""Disturbances drawn from a seed: single, repeated and overlapping ones."""

import asyncio
import itertools
import random
import signal

from callers import Caller, REQUEST_KINDS
from needs import Need


MAX_ACTIVE_POISONS = 2  # So that each still finds targets to crash.
# Not drawn by default, so that existing seeds replay unchanged.
OPT_IN_KINDS = ("roll", "evacuate", "cold", "limit", "rest", "uneven",
                "kill_all", "break_streams", "bad_part", "busy_entry",
                "loss_series", "hangups", "keeper", "keeper_pause", "leave",
                "long_roll", "endless", "foreign_keys", "late_answers",
                "reset_all")
LOSS_KINDS = ("kill_all", "loss_series")
MAX_START_S = 10  # Of all entries, after they were lost.
MAX_RESERVE_S = 6  # Until no entry is stopping, which takes GRACE_S at most.
GROW_INTERVAL_S = 3  # So that a narrow link can carry all versions.


def reset_all_connections(platform, oracle):
    """Resets the connections of all entries: to callers, to the store, to
    targets and to each other."""
    for entry in oracle.fleet:
        entry.begin_disturbance()
        entry.store_proxy.reset()
        entry.peer_proxy.reset()
    for proxy in platform.proxies.values():
        proxy.reset()
    for connection in list(oracle.connections):
        connection.reset()
    for entry in oracle.fleet:
        entry.end_disturbance()
    oracle.targets_undisturbed_since = max(oracle.targets_undisturbed_since,
                                           oracle.now())


# Runs disturbances of random kinds at random times, drawn from a seed. Each
# method do_<kind> runs one disturbance; <kind> is its name in --only.
class DisturbanceInjector:
    def __init__(self, seed, platform, oracle, kinds=None):
        self.random = random.Random(seed)
        self.platform = platform
        self.oracle = oracle
        self.history = []
        self.started_at = oracle.now()
        self.tasks = set()
        self.last_grow_at = 0.0
        self.poison_numbers = itertools.count(1)
        self.active_poisons = 0
        self.is_bursting = False
        self.is_fleet_reserved = False  # For a loss of all entries.
        self.next_long_roll_at = self.started_at + \
            random.Random(f"roll {seed}").uniform(1.5, 4)
        self.until = 0.0  # When the run ends.
        names = [name for name in dir(self) if name.startswith("do_")]
        self.kinds = [name for name in names
                      if name[3:] in (kinds or ()) or
                      not kinds and name[3:] not in OPT_IN_KINDS]

    async def run(self, until):
        self.until = until
        if not self.kinds:
            await asyncio.sleep(until - self.oracle.now())
        while self.oracle.now() < until and self.kinds:
            await asyncio.sleep(self.random.expovariate(1 / 0.6))
            kind = self.random.choice(self.kinds)
            repeat_count = self.random.choice((1, 1, 1, 2, 3))
            for _ in range(repeat_count):
                self.tasks.add(asyncio.create_task(getattr(self, kind)()))
                await asyncio.sleep(self.random.uniform(0, 0.4))
        await asyncio.gather(*self.tasks)

    def log(self, text):
        self.history.append(
            f"{self.oracle.now() - self.started_at:7.2f} {text}")

    def pick_entry(self):
        """Returns an undisturbed entry, or None if it is the last one."""
        free = [entry for entry in self.oracle.fleet if entry.is_running()
                and not entry.disturbance_count and not entry.is_stopping]
        # One always remains to serve requests.
        if len(free) < 2 or self.is_fleet_reserved:
            return None
        return self.random.choice(free)

    def pick_target(self, service=None):
        """Returns an undisturbed target whose service has another one."""
        free = [target for target in self.platform.targets
                if target.service == (service or target.service)
                and target.mode == "ok" and target.state == "ready"
                and target.id not in self.oracle.draining
                and target.id not in self.platform.leaving
                and self.platform.proxies[target.address].mode == "open"]
        replaceable = [
            target for target in free
            if sum(other.service == target.service for other in free) > 1]
        return self.random.choice(replaceable) if replaceable else None

    def random_duration(self, max_s=2.5):
        return self.random.uniform(0.2, max_s)

    async def do_kill(self):
        if entry := self.pick_entry():
            self.log(f"kill {entry.name}")
            await entry.kill(self.random_duration(1))

    def _is_fleet_undisturbed(self):
        return not any(entry.is_stopping or entry.disturbance_count
                       for entry in self.oracle.fleet)

    async def _reserve_fleet(self):
        """Waits until no entry is disturbed, and returns whether that is so.

        Meanwhile, no other disturbance picks an entry.
        """
        if self.is_fleet_reserved:
            return False
        self.is_fleet_reserved = True
        until = self.oracle.now() + MAX_RESERVE_S
        while not self._is_fleet_undisturbed() and self.oracle.now() < until:
            await asyncio.sleep(0.02)
        self.is_fleet_reserved = False
        return self._is_fleet_undisturbed()

    async def do_kill_all(self):
        """Kills all entries at the same moment."""
        fleet = self.oracle.fleet
        if not await self._reserve_fleet():
            return
        self.log("kill all")
        down_s = self.random_duration(1)
        await self._lose_all("kill_all",
                             [(entry, down_s, 0) for entry in fleet])

    async def do_loss_series(self):
        """Kills all entries one after the other, or in two halves."""
        fleet = list(self.oracle.fleet)
        if not await self._reserve_fleet():
            return
        self.random.shuffle(fleet)
        gap_s = self.random.choice((0.03, 0.1, 0.3, 1))
        half = len(fleet) // 2 if self.random.random() < 0.4 else 0
        self.log(f"kill {'one half, then the other' if half else 'all'}, "
                 f"{gap_s} s apart")
        await self._lose_all("loss_series", [
            (entry, self.random_duration(1),
             gap_s if not half or number == half - 1 else 0)
            for number, entry in enumerate(fleet)])

    async def _lose_all(self, kind, kills):
        """Kills entries: (entry, how long it is down, gap to the next)."""
        fleet = self.oracle.fleet
        self.oracle.begin_loss(kind)
        for entry in fleet:
            entry.begin_disturbance()  # No other disturbance picks it.
        incarnations = {entry: entry.incarnation for entry in fleet}
        tasks = []
        for entry, down_s, gap_s in kills:
            tasks.append(asyncio.create_task(entry.kill(down_s)))
            if gap_s:
                await asyncio.sleep(gap_s)
        while any(entry.incarnation == incarnations[entry]
                  for entry in fleet):
            await asyncio.sleep(0.02)
        until = self.oracle.now() + MAX_START_S
        while not all([await entry.is_ready() for entry in fleet]):
            for entry in fleet:
                entry.restart_if_exited()
            if self.oracle.now() > until:
                self.oracle.faults.append("not ready after a loss of all")
                break
            await asyncio.sleep(0.02)
        self.oracle.end_loss()
        await asyncio.gather(*tasks)
        for entry in fleet:
            entry.end_disturbance()

    async def do_pause(self):
        if entry := self.pick_entry():
            self.log(f"pause {entry.name}")
            await entry.pause(self.random_duration(4))

    async def do_stop(self):
        if entry := self.pick_entry():
            self.log(f"stop {entry.name}")
            await entry.stop_gracefully(self.oracle.faults)

    async def do_roll(self):
        """Stops all entries one after another, at short intervals."""
        fleet = list(self.oracle.fleet)
        if self.is_fleet_reserved or not self._is_fleet_undisturbed():
            return
        self.random.shuffle(fleet)
        gap = self.random.choice((0, 0.4, 0.8, 1.5, 2.5))
        self.log(f"stop all, {gap} s apart")
        stops = []
        for entry in fleet:
            if entry.disturbance_count or entry.is_stopping:
                continue  # Another disturbance is about to start it again.
            entry.is_stopping = True  # No other disturbance picks it.
            stops.append(asyncio.create_task(
                entry.stop_gracefully(self.oracle.faults)))
            await asyncio.sleep(gap)
        await asyncio.gather(*stops)

    async def do_long_roll(self):
        """Stops entries in series, sometimes again before the first is done."""
        if self.oracle.now() < self.next_long_roll_at:
            return
        self.next_long_roll_at = float("inf")
        rolls = [self._roll(1)]
        if self.random.random() < 0.4:
            rolls.append(self._roll(self.random.choice((1, 2, 3)),
                                    self.random.uniform(0.5, 9)))
        await asyncio.gather(*rolls)
        self.next_long_roll_at = self.oracle.now() + self.random.uniform(1.5, 4)

    async def _roll(self, divisor, delay_s=0):
        gap_s = self.random.choice((0.03, 0.3, 0.67, 1.5))
        fleet = self.oracle.fleet
        fleet = self.random.sample(fleet, -(-len(fleet) // divisor))
        await asyncio.sleep(delay_s)
        self.log(f"stop {', '.join(entry.name for entry in fleet)}, "
                 f"{gap_s} s apart")
        stops = []
        for entry in fleet:
            if not entry.is_stopping and entry.has_begun():
                stops.append(asyncio.create_task(
                    entry.stop_gracefully(self.oracle.faults)))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*stops)

    async def do_hangup(self):
        if entry := self.pick_entry():
            is_truncated = self.random.random() < 0.3
            self.log(f"settings of {entry.name} rewritten"
                     f"{', truncated' if is_truncated else ''}")
            entry.write_settings(is_truncated)
            if self.random.random() < 0.6:
                entry.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.random_duration(2))
            entry.write_settings()

    async def do_hangups(self):
        """Sends SIGHUP in series, also to entries that start or stop."""
        picker = random.Random(self.random.random())
        fleet = self.oracle.fleet
        entries = fleet if picker.random() < 0.5 else [picker.choice(fleet)]
        has_new_settings = picker.random() < 0.5
        interval_s = picker.choice((0.002, 0.005, 0.01, 0.02, 0.05))
        self.log(f"hangups of {', '.join(entry.name for entry in entries)} "
                 f"each {interval_s} s{', new settings' * has_new_settings}")
        until = self.oracle.now() + picker.uniform(0.3, 2.5)
        while self.oracle.now() < until:
            for entry in entries:
                if has_new_settings:
                    entry.disturb_settings(picker)
                if entry.has_begun():
                    entry.send_signal(signal.SIGHUP)
            await asyncio.sleep(interval_s)
        for entry in entries:
            entry.write_settings()

    async def do_keeper(self):
        """Kills a record keeper for a while."""
        keepers = self.platform.keepers
        if host := keepers.pick(self.random):
            self.log(f"kill the record keeper on {host}")
            await keepers.disturb(host, keepers.restart(
                host, self.random_duration()))

    async def do_keeper_pause(self):
        keepers = self.platform.keepers
        if host := keepers.pick(self.random):
            self.log(f"pause the record keeper on {host}")
            await keepers.disturb(host, keepers.pause(
                host, self.random_duration()))

    async def do_peers(self):
        """Disturbs the connections from other entries to one entry."""
        if entry := self.pick_entry():
            mode = self.random.choice(("cut", "silent", "deaf", "slow"))
            self.log(f"connections of other entries to {entry.name}: {mode}")
            entry.peer_proxy.delay = 0.15 if mode == "slow" else 0
            entry.peer_proxy.set_mode("open" if mode == "slow" else mode)
            await asyncio.sleep(self.random_duration(4))
            entry.peer_proxy.delay = 0
            entry.peer_proxy.set_mode("open")
            entry.peer_proxy.reset()

    async def do_store_of_one(self):
        if entry := self.pick_entry():
            mode = self.random.choice(("cut", "silent", "deaf"))
            self.log(f"store connection of {entry.name}: {mode}")
            entry.begin_disturbance()
            entry.store_proxy.set_mode(mode)
            await asyncio.sleep(self.random_duration(4))
            entry.store_proxy.set_mode("open")
            entry.store_proxy.reset()
            entry.end_disturbance()

    async def do_store(self):
        if self.oracle.store_undisturbed_since > self.oracle.now():
            return
        mode = self.random.choice(("down", "slow", "forget"))
        self.log(f"store {mode}")
        self.oracle.store_undisturbed_since = float("inf")
        if mode == "forget":
            self.platform.store.is_muted = True
            self.platform.publish(self.oracle.published)
        self.platform.store.is_down = mode == "down"
        for entry in self.oracle.fleet:
            entry.store_proxy.delay = 0.2 if mode == "slow" else 0
        await asyncio.sleep(self.random_duration())
        self.platform.store.is_down = False
        if mode == "forget":
            self.platform.store.drop_history()
        for entry in self.oracle.fleet:
            entry.store_proxy.delay = 0
        self.oracle.store_undisturbed_since = self.oracle.now()

    # Calls disturb(target), later undo(target), for a random target.
    async def _disturb_target(self, disturb, undo, service=None):
        target = self.pick_target(service)
        if target is None:
            return
        self.oracle.targets_undisturbed_since = float("inf")
        disturb(target)
        await asyncio.sleep(self.random_duration())
        undo(target)
        other_disturbed = [other for other in self.platform.targets
                           if other is not target and other.mode != "ok"]
        if not other_disturbed:
            self.oracle.targets_undisturbed_since = self.oracle.now()

    async def do_target_mode(self):
        mode = self.random.choice(("lost", "cut", "slow", "shed", "extra"))

        def disturb(target):
            self.log(f"{target.service} {target.id}: mode {mode}")
            target.mode = mode
        await self._disturb_target(
            disturb, lambda target: setattr(target, "mode", "ok"))

    async def do_late_answers(self):
        """Has a stage target send some answers a second time, late."""
        def disturb(target):
            self.log(f"{target.service} {target.id}: late second answers")
            target.mode = "extra"
        await self._disturb_target(
            disturb, lambda target: setattr(target, "mode", "ok"), "encode")

    async def do_endless(self):
        """Has a target send bytes without end for a while."""
        def disturb(target):
            self.log(f"{target.service} {target.id} sends without end")
            target.mode = "endless"
        await self._disturb_target(
            disturb, lambda target: setattr(target, "mode", "ok"))

    async def do_break_streams(self):
        """Has an engine break off its streams for a while."""
        def disturb(target):
            self.log(f"{target.id} breaks off streams")
            target.mode = "cut"
        await self._disturb_target(
            disturb, lambda target: setattr(target, "mode", "ok"), "models")

    async def do_target_link(self):
        mode = self.random.choice(("cut", "silent", "deaf"))
        proxies = self.platform.proxies

        def disturb(target):
            self.log(f"connections to {target.service} {target.id}: {mode}")
            proxies[target.address].set_mode(mode)

        def undo(target):
            proxies[target.address].set_mode("open")
            proxies[target.address].reset()
        await self._disturb_target(disturb, undo)

    async def do_reset_all(self):
        """Resets all connections of all entries, sometimes twice."""
        for _ in range(self.random.choice((1, 2))):
            self.log("reset all connections")
            reset_all_connections(self.platform, self.oracle)
            await asyncio.sleep(self.random.uniform(0.3, 1.5))

    async def do_target_crash(self):
        if target := self.pick_target():
            self.log(f"crash {target.service} {target.id}")
            target.mode = "gone"
            self.oracle.targets_undisturbed_since = float("inf")
            await self.platform.crash(target, self.random_duration(1))
            self.oracle.targets_undisturbed_since = self.oracle.now()

    async def do_poison(self):
        """Sends all entries a request that crashes targets, for a while."""
        if self.active_poisons == MAX_ACTIVE_POISONS:
            return
        self.active_poisons += 1
        kind = self.random.choice(list(REQUEST_KINDS))
        at_stage = kind in ("chat", "note") and self.random.random() < 0.4
        poison = f"/poison{'-stage' if at_stage else ''}-" \
                 f"{next(self.poison_numbers)}"
        self.log(f"{kind}{poison}")
        self.oracle.targets_undisturbed_since = float("inf")
        caller = Caller(self.oracle, poison)
        until = self.oracle.now() + self.random.uniform(4, 12)
        requests = []
        while self.oracle.now() < until:
            entry = self.random.choice(self.oracle.fleet)
            requests.append(asyncio.create_task(
                caller.send_once(kind, entry, poison)))
            await asyncio.sleep(self.random.uniform(0.02, 0.5))
        await asyncio.gather(*requests)
        self.active_poisons -= 1
        self.oracle.targets_undisturbed_since = self.oracle.now()

    async def do_bad_part(self):
        """Sends all entries requests with one bad part, no two alike."""
        if self.active_poisons == MAX_ACTIVE_POISONS:
            return
        self.active_poisons += 1
        part = f"bad{next(self.poison_numbers)}"
        self.log(f"requests with the part {part}")
        self.oracle.targets_undisturbed_since = float("inf")
        caller = Caller(self.oracle, part)
        until = self.oracle.now() + self.random.uniform(6, 12)
        requests = []
        while self.oracle.now() < until:
            requests.append(asyncio.create_task(caller.send_once(
                self.random.choice(("chat", "note")),
                self.random.choice(self.oracle.fleet), part)))
            await asyncio.sleep(self.random.uniform(0.05, 0.5))
        await asyncio.gather(*requests)
        self.active_poisons -= 1
        self.oracle.targets_undisturbed_since = self.oracle.now()

    async def do_busy_entry(self):
        """Has one entry get most of the new connections for a while."""
        entry = self.pick_entry()
        if entry is None or self.oracle.busy_entry:
            return
        served_before = self.oracle.recent_served_share(3)
        self.log(f"most new connections go to {entry.name}")
        busy_from = self.oracle.now()
        self.oracle.busy_entry = entry
        await asyncio.sleep(self.random.uniform(4, 7))
        self.oracle.busy_entry = None
        self.oracle.check_busy_entry(entry, busy_from, served_before)

    async def do_target_restart(self):
        if target := self.pick_target():
            self.log(f"restart {target.service} {target.id}")
            target.mode = "gone"
            self.oracle.targets_undisturbed_since = float("inf")
            await self.platform.restart(target, self.random_duration(1))
            self.oracle.targets_undisturbed_since = self.oracle.now()

    async def do_foreign_entry(self):
        """Writes an invalid record, for a while also over a valid one."""
        store = self.platform.store
        record = self.platform.targets[0].record()
        invalid = self.random.choice((
            b"\xff\x00{", b"[]", b"{}", {**record, "address": "nowhere"},
            {**record, "state": "sleeping"}, {**record, "capacity": "many"},
            {**record, "backend": "nothing"}, {**record, "zone": None}))
        store.put(f"servers/x-{self.random.randrange(9)}", invalid)
        self.log(f"invalid record of another writer: {invalid}")
        target = self.pick_target()
        if target is None:
            return
        self.log(f"record of {target.service} {target.id} becomes invalid")
        target.mode = "written over"
        store.put(f"servers/{target.id}", invalid)
        invalid_from = self.oracle.now()
        await asyncio.sleep(self.random_duration(4))
        self.oracle.invalid_records.append(
            (target.id, invalid_from, self.oracle.now()))
        store.put(f"servers/{target.id}", target.record())
        target.mode = "ok"

    async def do_foreign_keys(self):
        """Writes keys that no target has, at borders of pages for a while."""
        store = self.platform.store
        targets = sorted(key for key in store.items
                         if key.startswith("servers/"))
        end = self.random.choice((" copy", "%", "&x=1", "#", "+", "\n", "é",
                                  "~" * 150))
        keys = [key + end for key in targets]
        for key in keys:
            store.put(key, {})
        self.log(f"keys that end with {end[:8]!r}")
        await asyncio.sleep(self.random_duration(4))
        for key in keys:
            store.remove(key)

    async def do_evacuate(self):
        """Evacuates a zone for a while."""
        zone = self.random.choice("ab")
        if any(evacuation.zone == zone and not evacuation.ended_at
               for evacuation in self.oracle.evacuations):
            return
        self.log(f"evacuate zone {zone}")
        self.platform.set_evacuated(zone, True)
        evacuation = self.oracle.add_evacuation(zone)
        await asyncio.sleep(self.random_duration(4))
        evacuation.ended_at = self.oracle.now()
        self.platform.set_evacuated(zone, False)
        self.log(f"end evacuation of zone {zone}")

    async def do_cold(self):
        """Crashes an engine; a cold one replaces it."""
        engines = [target for target in self.platform.targets
                   if target.service == "models" and target.mode == "ok"
                   and target.state == "ready"]
        if len(engines) < 2:
            return
        target = self.random.choice(engines)
        self.log(f"replace {target.id} by a cold engine")
        target.mode = "gone"
        self.oracle.targets_undisturbed_since = float("inf")
        await self.platform.replace_by_cold(target, self.random_duration(1))
        self.oracle.targets_undisturbed_since = self.oracle.now()

    async def _overload_target(self, min_s, max_s, **need):
        """Overloads a target of a service that has another one."""
        free = [target for target in self.platform.targets
                if target.mode == "ok" and target.state == "ready"
                and not target.need]
        targets = [target for target in free
                   if sum(other.service == target.service
                          for other in free) > 1]
        if not targets:
            return
        target = self.random.choice(targets)
        self.log(f"{target.service} {target.id} overloaded: {need}")
        target.need = Need(target, self.oracle.now(), **need)
        self.oracle.needs.append(target.need)
        await asyncio.sleep(self.random.uniform(min_s, max_s))
        target.need.ended_at = self.oracle.now()
        target.need = None
        self.log(f"{target.service} {target.id} no longer overloaded")

    async def do_limit(self):
        await self._overload_target(
            6, 14, per_second=self.random.choice((0, 0.5, 1, 1, 2.5)))

    async def do_rest(self):
        await self._overload_target(
            1, 6, rest_s=self.random.choice((1, 2.5, 3)))

    async def do_uneven(self):
        """Sends a burst, mostly of the most urgent route, then pauses."""
        if self.is_bursting or self.oracle.now() >= self.until:
            return
        self.is_bursting = True
        duration_s = self.random.uniform(3, 5)
        rates = self.platform.burst_rates()
        self.log(f"burst of {sum(rates.values()):.0f}/s, {duration_s:.1f} s")
        await Caller(self.oracle, self.random.random()).send_burst(
            rates, min(self.oracle.now() + duration_s, self.until))
        await asyncio.sleep(min(duration_s / 2,
                                max(0, self.until - self.oracle.now())))
        self.is_bursting = False

    async def do_replace(self):
        if target := self.pick_target():
            self.log(f"replace {target.service} {target.id}")
            await self.platform.replace(target, self.oracle.draining)

    async def do_leave(self):
        """Lets a target leave, sometimes while the store tells nobody of it and
        then loses its history."""
        target = self.pick_target()
        if target is None or \
                self.oracle.store_undisturbed_since > self.oracle.now():
            return
        is_announced, is_hidden = self.random.choices((True, False), k=2)
        self.log(f"leave {target.service} {target.id}, announced "
                 f"{is_announced}, hidden {is_hidden}")
        if is_hidden:
            self.oracle.store_undisturbed_since = float("inf")
            self.platform.store.is_muted = True
        leaving = asyncio.create_task(self.platform.replace(
            target, self.oracle.draining, is_announced))
        if is_hidden:
            while target.id not in self.oracle.draining:
                await asyncio.sleep(0.05)
            await asyncio.sleep(self.random_duration(1))
            self.platform.store.drop_history()
            for entry in self.oracle.fleet:
                entry.store_proxy.reset()
            self.oracle.store_undisturbed_since = self.oracle.now()
        await leaving

    async def do_publish(self):
        self.platform.publish(self.oracle.published)
        self.log(f"publish version {self.platform.version}")
        await asyncio.sleep(0)

    async def do_grow(self):
        """Publishes two larger configurations in quick succession."""
        if self.oracle.now() < self.last_grow_at + GROW_INTERVAL_S:
            return
        self.last_grow_at = self.oracle.now()
        self.platform.extra_routes = min(1500,
                                         self.platform.extra_routes + 500)
        for _ in range(2):
            self.platform.publish(self.oracle.published)
            self.log(f"publish version {self.platform.version}, "
                     f"{self.platform.extra_routes} extra routes")
            await asyncio.sleep(0.3)
