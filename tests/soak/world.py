"""A small platform for the entries under test: store, operator, targets."""

import asyncio
import collections
import random

import wire
from fleet import DRAIN_S
from pace import SPEEDS, Pace
from proxy import Proxy
from store import Store
from targets import (EngineTarget, LONG_EVENT_COUNT, PlainTarget, StageTarget,
                     TargetLog)

SERVICES = {"desk": PlainTarget, "models": EngineTarget,
            "encode": StageTarget, "rank": StageTarget}
# From the removal of a crashed target's record to its replacement.
REPLACEMENT_DELAY_S = 0.2
HEARTBEAT_S = 0.4  # A dead target's record is removed after three of these.
# Warm-up settings of the engines' service, if enabled.
WARM_UP = {"warmup_s": 2.0, "warmup_per_s": 4.0}
# A slow stage, so that few requests are a burst.
BURST_PIECES = {"batch": 4, "call_ms": 100.0, "item_ms": 0.0}
# Requests per second in a burst, by the pieces per second of a stage's targets
# at their usual speed. A chat has two pieces of the first stage, so that not
# even all chats can be served.
BURST_RATES = {"chat": 0.55, "note": 0.3}
# Times of the most and of the least urgent route. A program that refuses those
# that have the least time refuses the most urgent ones.
URGENT = {"timeout_ms": 1200, "target_latency_ms": 700}
PATIENT = {"timeout_ms": 6000, "target_latency_ms": 1500}
# Settings of a configuration whose streams may outlast a stop.
LONG_ROUTE = {"timeout_ms": 15000}
LONG_STREAM_S = 12  # The longest stream.
# Settings of a configuration whose least urgent route has streams that can be
# taken up, beside an urgent route that needs all that the stages can do.
RUSH_URGENT = {"timeout_ms": 6000, "target_latency_ms": 1900, "priority": 0}
RUSH_PATIENT = {"target_latency_ms": 1800, "priority": 2}
RUSH_BYTES = 40000  # Of a result, so that few fill the memory of a target.
SHORT_IDLE = {"idle_timeout_ms": 2000, "header_timeout_ms": 1000}


def configuration(version, extra_routes=0, warm_up=None, has_bursts=False,
                  has_long_streams=False, has_rush=False):
    """Returns a version: the shared routes, its own one, and extra ones."""
    def route(name, route_type, service, **settings):
        return {"name": name, "host": "h.example", "prefix": f"/{name}/",
                "route_type": route_type, "timeout_ms": 3000,
                "target_latency_ms": 800, "priority": 0, "backend": service,
                "max_attempts": 1, "public": False,
                **(LONG_ROUTE if has_long_streams else {}), **settings}
    stages = [{"backend": "encode", "after": [],
               "bytes": RUSH_BYTES if has_rush else 8000},
              {"backend": "rank", "after": [0], "bytes": 6000}]
    pieces = {"capacity": 1, "queue": 2, "batch": 8, "call_ms": 30.0,
              "item_ms": 1.0, "room_mb": 1.0, "handle_s": 4.0,
              "link_mbps": 1000,
              **(BURST_PIECES if has_bursts or has_rush else {})}
    keys = ["always"] + [f"key-{key_version}"
                         for key_version in (version - 1, version)]
    return {
        "version": version,
        "routes": [
            route("find", "idempotent", "desk", max_attempts=2),
            route("book", "non_idempotent", "desk"),
            route("chat", "streaming", "models", stages=stages,
                  stream_resume=True, gap_aim_ms=300, max_attempts=2,
                  **(URGENT if has_bursts else {}),
                  **(RUSH_PATIENT if has_rush else {})),
            route("note", "streaming", "models", stages=stages,
                  stream_resume=False, gap_aim_ms=300,
                  **{"priority": 2, **(PATIENT if has_bursts else {}),
                     **(RUSH_URGENT if has_rush else {})}),
            route(f"v{version}", "idempotent", "desk", max_attempts=2),
            *(route(f"more{number}", "idempotent", "desk")
              for number in range(extra_routes))],
        "backends": [
            {"name": "desk", "max_connections": 200},
            {"name": "models", "max_connections": 200, **(warm_up or {}),
             "engine": {"capacity": 16, "kv_tokens": 100000}},
            {"name": "encode", "max_connections": 200, "pieces": pieces},
            {"name": "rank", "max_connections": 200, "pieces": pieces}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                   **(SHORT_IDLE if has_long_streams else {})},
        "tenants": [{"name": "club", "api_keys": keys, "priority": 1}]}


# Runs the store and the targets, and acts as operator of the platform. Each
# target listens behind a proxy; the store lists the proxy's address.
class PlatformStandin:
    def __init__(self, base, seed=1):
        self.base = base
        self.random = random.Random(f"pace {seed}")
        self.unused_speeds = collections.defaultdict(list)  # By service.
        self.store = Store()
        self.store_address = f"127.0.0.1:{base}"
        self.log = TargetLog()
        self.log.crash_target = self.crash_by_poison
        self.targets = []
        self.restarting = []  # Targets that are down until their restart.
        self.leaving = set()  # Ids of targets that are being replaced.
        self.proxies = {}  # Of targets, by listed address.
        self.version = 1
        self.extra_routes = 0
        self.warm_up = None  # WARM_UP, if engines start cold.
        self.has_bursts = False
        self.has_long_streams = False
        self.has_rush = False  # See RUSH_URGENT.
        self.keepers = None  # RecordKeepers, if any run.
        self._engine_hosts = 0
        self._next_port = base + 1
        self._started_engines = 0
        self._crash_tasks = set()

    def new_address(self):
        self._next_port += 1
        return f"127.0.0.1:{self._next_port}"

    def new_engine_address(self, address):
        """Returns the address on a host of its own."""
        self._engine_hosts += 1
        host = f"127.0.1.{self._engine_hosts}"
        if self.keepers:
            self.keepers.start(host)
        return f"{host}:{address.rsplit(':', 1)[1]}"

    def configuration(self):
        return configuration(self.version, self.extra_routes, self.warm_up,
                             self.has_bursts, self.has_long_streams,
                             self.has_rush)

    def allow_long_streams(self):
        self.has_long_streams = True
        self.log.event_count = LONG_EVENT_COUNT
        self.log.longest_stream_s = LONG_STREAM_S

    def new_pace(self, service):
        """Returns a new target's pace; each service gets all speeds."""
        speeds = self.unused_speeds[service]
        if not speeds:
            speeds += self.random.sample(SPEEDS, len(SPEEDS))
        return Pace(speeds.pop(), self.random.random())

    def new_version(self, service, target_id):
        """Returns a new target's version; a restarted one keeps its version."""
        for target in self.targets + self.restarting:
            if target.id == target_id:
                return target.version
        if service == "models":
            self._started_engines += 1
        return ("v1", "v2")[self._started_engines % 2]

    def count_serving_engines(self, version):
        return sum(target.service == "models" and target.version == version
                   and target.mode == "ok" and target.state == "ready"
                   for target in self.targets)

    def pieces_per_s(self, service):
        """Returns what a slow stage's targets do at their usual speed."""
        return BURST_PIECES["batch"] * sum(
            1000 / BURST_PIECES["call_ms"] / target.pace.speed
            for target in self.targets if target.service == service)

    def burst_rates(self):
        """Returns requests per second by kind."""
        return {kind: share * self.pieces_per_s("encode")
                for kind, share in BURST_RATES.items()}

    async def start(self, copies):
        await wire.serve(self.store_address, self.store.handle)
        self.store.put("op/config", self.configuration())
        for number in range(copies):
            for service in SERVICES:
                await self.add_target(service, "ab"[number % 2])

    async def add_target(self, service, zone, listed_address=None,
                         target_id=None, version=None):
        """Starts a target.

        listed_address is the listed address of an earlier target to replace;
        target_id is the id of a target to restart.
        """
        target_address = self.new_address()
        if listed_address is None:
            listed_address = self.new_address()
            if service == "models":
                listed_address = self.new_engine_address(listed_address)
            self.proxies[listed_address] = Proxy(listed_address,
                                                 target_address)
            await self.proxies[listed_address].start()
        self.proxies[listed_address].target = target_address
        self.proxies[listed_address].set_mode("open")
        target = SERVICES[service](self.log, service, listed_address, zone,
                                   self.new_pace(service), target_id)
        target.version = version or self.new_version(service, target_id)
        if service in ("encode", "rank"):
            target.set_memory(self.configuration())
        if self.has_bursts or self.has_rush:
            target.call_s = BURST_PIECES["call_ms"] / 1000
        await target.start(target_address)
        self.targets.append(target)
        self.store.put(f"servers/{target.id}", target.record())
        return target

    def remove_target(self, target):
        target.stop()
        self.targets.remove(target)
        self.store.remove(f"servers/{target.id}")

    def kill(self, target):
        """Kills a target without notice; its stored results are lost."""
        self.proxies[target.address].set_mode("cut")
        target.stop()
        for handle in list(self.log.results):
            if handle.startswith(target.address + "/"):
                del self.log.results[handle]

    async def restart(self, target, down_s):
        """Kills a target and restarts it under its id and address, before its
        record expires."""
        self.kill(target)
        await asyncio.sleep(down_s)
        self.targets.remove(target)
        self.restarting.append(target)
        await self.add_target(target.service, target.zone, target.address,
                              target.id)
        self.restarting.remove(target)

    async def crash(self, target, down_s):
        """Kills a target; returns its replacement at the same address, or None
        if the target is being replaced already."""
        self.kill(target)
        await asyncio.sleep(3 * HEARTBEAT_S)
        if target in self.targets:
            self.targets.remove(target)
            self.store.remove(f"servers/{target.id}")
        if target.id in self.leaving:
            return None
        await asyncio.sleep(down_s)
        return await self.add_target(target.service, target.zone,
                                     target.address)

    async def replace_by_cold(self, target, down_s):
        """Kills an engine; a cold one replaces it at the same address."""
        replacement = await self.crash(target, down_s)
        if replacement is None:
            return
        replacement.start_warm_up(self.warm_up)
        self.store.put(f"servers/{replacement.id}", replacement.record())
        await asyncio.sleep(self.warm_up["warmup_s"])
        if replacement in self.targets:
            self.store.put(f"servers/{replacement.id}", replacement.record())

    def set_evacuated(self, zone, is_evacuated):
        if is_evacuated:
            self.store.put(f"op/evacuate/{zone}", {})
        else:
            self.store.remove(f"op/evacuate/{zone}")

    def crash_by_poison(self, target):
        """Crashes a target because of a request; a replacement follows."""
        target.mode = "gone"
        task = asyncio.create_task(self.crash(target, REPLACEMENT_DELAY_S))
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    async def replace(self, target, draining, is_announced=True):
        """Adds a replacement for a target, then drains the target, which
        announces that or only removes its entry."""
        self.leaving.add(target.id)
        await self.add_target(target.service, target.zone)
        if is_announced:
            target.state = "draining"
            self.store.put(f"servers/{target.id}", target.record())
        else:
            self.store.remove(f"servers/{target.id}")
        draining[target.id] = asyncio.get_running_loop().time()
        await asyncio.sleep(DRAIN_S * 4)
        await self.leave(target)

    async def leave(self, target):
        """Ends a target, unless it has crashed meanwhile; what else runs on its
        host is told to stop."""
        self.leaving.add(target.id)
        if target in self.targets:
            self.remove_target(target)
        if self.keepers:
            await self.keepers.retire(target.address.rsplit(":", 1)[0])

    def publish(self, published):
        self.version += 1
        self.store.put("op/config", self.configuration())
        published[self.version] = asyncio.get_running_loop().time()
