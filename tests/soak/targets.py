"""Stand-ins for the three kinds of targets, and a log of their work."""

import asyncio
import collections
import itertools
import json
import re
import time

import wire

EVENTS = 6  # In a complete stream.
STEP_S = 0.02  # Between events.
CALL_S = 0.03  # The duration of a call of pieces.
BEGIN_S = 0.03  # From the start of a poison request to the crash of its target.
POISON = re.compile(r"/poison-\d+")
# A slow plain target takes longer than work may outlast its caller.
SLOW_S = 1.2


class Log:
    """The work that all targets did: runs by request, pieces by result."""

    def __init__(self):
        self.runs = collections.defaultdict(list)
        self.arrivals = []  # (time, request, target)
        self.calls = []  # (time, target)
        self.ends = []  # (time, request); the caller still waited.
        self.results = {}  # Result handle -> (request, stage)
        self.pieces = {}  # Request -> number of pieces of each stage
        self.poison_ends = collections.defaultdict(list)  # Poison -> times
        self.stage_poisons = {}  # Request whose pieces crash targets -> poison
        self.end_target = None  # Crashes a target; set by World.
        self.faults = []

    def fault(self, text):
        self.faults.append(text)


class Target:
    _numbers = itertools.count(1)

    def __init__(self, log, service, address, zone, known_as=None):
        self.log = log
        self.service = service
        self.address = address  # As listed; a proxy may listen there.
        self.zone = zone
        self.id = known_as or f"i-{next(self._numbers):06x}"
        self.born = time.time_ns() // 1_000_000
        self.mode = "ok"
        self.state = "ready"
        self.server = None
        self.cold_until = 0.0
        self.cold_most = 0  # Requests in a second.
        self.cold_sent = []

    def begin_cold(self, warm_up):
        now = asyncio.get_running_loop().time()
        self.cold_until = now + warm_up["warmup_s"]
        self.cold_most = 1.5 * warm_up["warmup_per_s"] + 5

    def note_cold(self, now):
        """Checks the rate at which all entries together use a cold target."""
        if now >= self.cold_until:
            return
        self.cold_sent = [at for at in self.cold_sent if at > now - 1] + [now]
        if len(self.cold_sent) > self.cold_most:
            self.log.fault(f"{self.id}: cold, {len(self.cold_sent)} requests "
                           "in a second")

    def entry(self):
        return {"backend": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "capacity": 8,
                "state": self.state, "warmup_left_ms": self.cold_left_ms(),
                "sequence": 1, "born": self.born}

    def cold_left_ms(self):
        if not self.cold_until:
            return 0
        now = asyncio.get_running_loop().time()
        return int(max(0, self.cold_until - now) * 1000)

    async def start(self, address):
        self.server = await wire.serve(address, self.handle)

    def stop(self):
        self.server.close()

    def fields(self, message):
        return {"X-Mangofold-Request-Id": message.field(
                    "x-mangofold-request-id"),
                "X-Mangofold-Response-Seal": "s"}

    async def handle(self, message, writer):
        named = message.field("x-mangofold-target-instance")
        request = message.field("x-mangofold-request-id")
        if named and named != self.id:
            writer.write(wire.answer(421))
            return
        if self.mode == "shed" and request:
            writer.write(wire.answer(503, X_Mangofold_Not_Executed="1"))
            return
        if request:
            now = asyncio.get_running_loop().time()
            self.log.arrivals.append((now, request, self))
            self.note_cold(now)
        await self.work(message, writer)

    def run(self, request):
        self.log.runs[request].append(self.id)

    async def is_ended_by(self, message):
        """Runs a request; returns whether it crashed this target."""
        poison = POISON.search(message.first)
        if not poison:
            return False
        await self.end_under(poison[0])
        return True

    async def end_under(self, poison):
        await asyncio.sleep(BEGIN_S)
        if self.mode != "gone":
            now = asyncio.get_running_loop().time()
            self.log.poison_ends[poison].append(now)
            self.log.end_target(self)

    def note_end(self, request, writer):
        """Records the end of a request whose client is still connected."""
        if not writer.is_closing() and not writer.has_ended():
            now = asyncio.get_running_loop().time()
            self.log.ends.append((now, request))


class Plain(Target):
    async def work(self, message, writer):
        request = message.field("x-mangofold-request-id")
        if message.field("authorization"):
            self.log.fault(f"{request}: the API key was forwarded to a target")
        self.run(request)
        if await self.is_ended_by(message):
            return
        await asyncio.sleep(SLOW_S if self.mode == "slow" else 0.005)
        self.note_end(request, writer)
        if self.mode == "lost":
            writer.transport.abort()
            return
        body = f"answer {request} {message.first.split()[1]}".encode()
        raw = wire.answer(200, body, **self.fields(message))
        if self.mode == "cut":
            writer.write(raw[:-4])
            writer.close()
            return
        # In mode "extra", a response is sent again before the next response.
        writer.write(getattr(writer, "stray", b"") + raw)
        writer.stray = raw if self.mode == "extra" else b""


class Engine(Target):
    def check_inputs(self, message, request):
        handles = [one for one in
                   message.field("x-mangofold-inputs").split(",") if one]
        if len(set(handles)) != len(handles):
            self.log.fault(f"{request}: an input is listed twice")
        for handle in handles:
            made_for = self.log.results.get(handle)
            if made_for is None:
                return 409
            if made_for[0] != request:
                self.log.fault(f"{request}: got an input of {made_for[0]}")
        wanted = message.field("x-mangofold-pieces").split(",")
        if int(wanted[-1] or 0) != len(handles):
            self.log.fault(f"{request}: {len(handles)} of {wanted[-1]} inputs")
        return 200

    async def work(self, message, writer):
        request = message.field("x-mangofold-request-id")
        if "x-mangofold-inputs" not in message.fields:
            writer.write(wire.answer(400, X_Mangofold_Not_Executed="1"))
            return
        if self.check_inputs(message, request) == 409:
            writer.write(wire.answer(409, X_Mangofold_Not_Executed="1"))
            return
        self.run(request)
        if await self.is_ended_by(message):
            return
        first = int(message.field("last-event-id") or 0) + 1
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}"
                 for name, value in self.fields(message).items()]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(0.3 if self.mode == "slow" else STEP_S)
            if self.mode in ("lost", "cut") and number > EVENTS // 2:
                writer.transport.abort()
                return
            event = f"id: {number}\ndata: {request}.{number}\n\n"
            writer.write(wire.chunk(event.encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Stage(Target):
    _results = itertools.count(1)

    def __init__(self, log, service, address, zone, known_as=None, slots=1):
        super().__init__(log, service, address, zone, known_as)
        self.turn = asyncio.Semaphore(slots)

    async def work(self, message, writer):
        body = json.loads(message.body)
        if "handles" in body:
            for handle in body["handles"]:
                self.log.results.pop(handle, None)
            writer.write(wire.answer(200, b"{}"))
            return
        now = asyncio.get_running_loop().time()
        self.log.calls.append((now, self))
        for item in body["items"]:
            if poison := self.log.stage_poisons.get(item["id"]):
                await self.end_under(poison)
                return
        async with self.turn:
            await asyncio.sleep(1 if self.mode == "slow" else CALL_S)
        if self.mode == "lost":
            writer.transport.abort()
            return
        items = [self.make(item) for item in body["items"]]
        writer.write(wire.answer(200, json.dumps({"items": items}).encode(),
                                 Content_Type="application/json"))

    def make(self, item):
        request = item["id"]
        if item["stage"] == 0 and item.get("key") != f"key-{request}":
            self.log.fault(f"{request}: stage 0 with key {item.get('key')}")
        for handle in item.get("inputs", []):
            made_for = self.log.results.get(handle)
            if made_for is None:
                return {"why": "gone"}
            if made_for != (request, item["stage"] - 1):
                self.log.fault(f"{request}: a piece got an input of {made_for}")
        if item["stage"] > 0:
            wanted = self.log.pieces[request][item["stage"] - 1]
            got = item.get("inputs", [])
            if len(set(got)) != wanted or len(got) != wanted:
                self.log.fault(f"{request}: a dependent piece has "
                               f"{len(got)} of {wanted} inputs")
        handle = f"{self.address}/{next(self._results):x}"
        self.log.results[handle] = (request, item["stage"])
        return {"handle": handle}
