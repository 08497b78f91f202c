"""A small platform for the entries under test: store, operator, targets."""

import asyncio

import wire
from fleet import DRAIN_S
from proxy import Proxy
from store import Store
from targets import Engine, Log, Plain, Stage

SERVICES = {"desk": Plain, "models": Engine, "encode": Stage, "rank": Stage}
BACK_S = 0.2  # From the removal of a crashed target to its replacement.
BEAT_S = 0.4  # A dead target's record is removed after three of these.
# Warm-up settings of the engines' service, if enabled.
WARM_UP = {"warmup_s": 2.0, "warmup_per_s": 4.0}


def configuration(version, more_routes=0, warm_up=None):
    """Returns one version: the shared routes, its own route, and extra ones."""
    def route(name, kind, service, **more):
        return {"name": name, "host": "h.example", "prefix": f"/{name}/",
                "route_type": kind, "timeout_ms": 3000,
                "target_latency_ms": 800, "priority": 0, "backend": service,
                "max_attempts": 1, "public": False, **more}
    stages = [{"backend": "encode", "after": [], "bytes": 8000},
              {"backend": "rank", "after": [0], "bytes": 6000}]
    pieces = {"capacity": 1, "queue": 2, "batch": 8, "call_ms": 30.0,
              "item_ms": 1.0, "room_mb": 1.0, "handle_s": 4.0,
              "link_mbps": 1000}
    keys = ["always"] + [f"key-{one}" for one in (version - 1, version)]
    return {
        "version": version,
        "routes": [
            route("find", "idempotent", "desk", max_attempts=2),
            route("book", "non_idempotent", "desk"),
            route("chat", "streaming", "models", stages=stages,
                  stream_resume=True, gap_aim_ms=300, max_attempts=2),
            route("note", "streaming", "models", stages=stages,
                  stream_resume=False, gap_aim_ms=300),
            route(f"v{version}", "idempotent", "desk", max_attempts=2),
            *(route(f"more{number}", "idempotent", "desk")
              for number in range(more_routes))],
        "backends": [
            {"name": "desk", "max_connections": 200},
            {"name": "models", "max_connections": 200, **(warm_up or {}),
             "engine": {"capacity": 16, "kv_tokens": 100000}},
            {"name": "encode", "max_connections": 200, "pieces": pieces},
            {"name": "rank", "max_connections": 200, "pieces": pieces}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "club", "api_keys": keys, "priority": 1}]}


class World:
    def __init__(self, base):
        self.base = base
        self.store = Store()
        self.store_address = f"127.0.0.1:{base}"
        self.log = Log()
        self.log.end_target = self.end_by_itself
        self.targets = []
        self.proxies = {}  # Of targets, by listed address.
        self.version = 1
        self.more_routes = 0
        self.warm_up = None  # WARM_UP, if engines start cold.
        self._next_port = base + 1
        self._crashes = set()

    def port(self):
        self._next_port += 1
        return f"127.0.0.1:{self._next_port}"

    async def start(self, copies):
        await wire.serve(self.store_address, self.store.handle)
        self.store.put("op/config", configuration(self.version,
                                                  warm_up=self.warm_up))
        for number in range(copies):
            for service in SERVICES:
                await self.add(service, "ab"[number % 2])

    async def add(self, service, zone, listed=None, known_as=None):
        """Starts a target. `listed` is the listed address of an earlier
        target, `known_as` the id of a target that restarts."""
        real = self.port()
        if listed is None:
            listed = self.port()
            self.proxies[listed] = Proxy(listed, real)
            await self.proxies[listed].start()
        self.proxies[listed].target = real
        self.proxies[listed].set_mode("open")
        one = SERVICES[service](self.log, service, listed, zone, known_as)
        await one.start(real)
        self.targets.append(one)
        self.store.put(f"servers/{one.id}", one.entry())
        return one

    def forget(self, one):
        one.stop()
        self.targets.remove(one)
        self.store.remove(f"servers/{one.id}")

    def end(self, one):
        """Kills a target without notice; its stored results are lost."""
        self.proxies[one.address].set_mode("cut")
        one.stop()
        for handle in list(self.log.results):
            if handle.startswith(one.address + "/"):
                del self.log.results[handle]

    async def restart(self, one, down_s):
        """Kills a target and restarts it under its id and address, before its
        record expires."""
        self.end(one)
        await asyncio.sleep(down_s)
        self.targets.remove(one)
        await self.add(one.service, one.zone, one.address, one.id)

    async def crash(self, one, down_s):
        """Kills a target; returns its replacement at the same address."""
        self.end(one)
        await asyncio.sleep(3 * BEAT_S)
        self.targets.remove(one)
        self.store.remove(f"servers/{one.id}")
        await asyncio.sleep(down_s)
        return await self.add(one.service, one.zone, one.address)

    async def start_cold(self, one, down_s):
        """Kills an engine; a cold one replaces it at the same address."""
        other = await self.crash(one, down_s)
        other.begin_cold(self.warm_up)
        self.store.put(f"servers/{other.id}", other.entry())
        await asyncio.sleep(self.warm_up["warmup_s"])
        if other in self.targets:
            self.store.put(f"servers/{other.id}", other.entry())

    def set_evacuated(self, zone, is_evacuated):
        if is_evacuated:
            self.store.put(f"op/evacuate/{zone}", {})
        else:
            self.store.remove(f"op/evacuate/{zone}")

    def end_by_itself(self, one):
        """Crashes a target because of a request; a replacement follows."""
        one.mode = "gone"
        task = asyncio.create_task(self.crash(one, BACK_S))
        self._crashes.add(task)
        task.add_done_callback(self._crashes.discard)

    async def replace(self, one, leaving):
        """Adds a replacement for a target, then drains the target."""
        await self.add(one.service, one.zone)
        one.state = "draining"
        self.store.put(f"servers/{one.id}", one.entry())
        leaving[one.id] = asyncio.get_running_loop().time()
        await asyncio.sleep(DRAIN_S * 4)
        self.forget(one)

    def publish(self, published):
        self.version += 1
        self.store.put("op/config",
                       configuration(self.version, self.more_routes,
                                     self.warm_up))
        published[self.version] = asyncio.get_running_loop().time()
