"""Stand-ins for the three kinds of targets, and a log of their work."""

import asyncio
import collections
import itertools
import json
import random
import re
import time

import wire

EVENT_COUNT = 6  # In a complete stream.
EVENT_INTERVAL_S = 0.02  # Between events.
LONG_EVENT_INTERVAL_S = 0.2  # In long streams.
PIECES_CALL_S = 0.03  # The duration of a call of pieces.
# From the start of a poison request to the crash of its target.
POISON_CRASH_DELAY_S = 0.03
BEGUN_SHARE = 0.5  # Of the crashes of an engine, those after the head.
UNSEALED_SHARE = 0.5  # Of those, the ones whose head lacks its seal.
BEGUN_CRASH_DELAY_S = 0.005  # From the head to the crash.
POISON_PATTERN = re.compile(r"/poison-\d+")
# A part of prompts that crashes each engine that starts a request with it.
BAD_PART_PATTERN = re.compile(r"\bbad\d+(?=:)")
ENDLESS_PART_INTERVAL_S = 0.005  # Between parts of an answer without end.
ENDLESS_MODES = ("endless", "flood")
# Values that take much more memory once parsed, and one long value.
FLOOD_BLOCKS = (b"0," * 32_768, b"a" * 262_144)
UNFRAMED_SHARE = 0.2  # Of the streams, which end with their connections.
# A slow plain target takes longer than work may outlast its caller.
SLOW_RESPONSE_S = 1.2
LONG_EVENT_COUNT = 24  # In streams that may outlast a stop.
LONG_WORK_SHARE = 0.2  # Of the requests, where some last long.
LONGEST_ANSWER_S = 3.0
# In mode "extra", of the answers of a stage target, those sent a second time,
# and how much later.
EXTRA_SHARE = 0.5
EXTRA_DELAY_S = (0.001, 0.1)


async def flood(writer, block):
    """Sends a block again and again until the peer closes."""
    while not writer.is_closing() and not writer.peer_has_closed():
        writer.write(block)
        await writer.drain()
    writer.close()


class TargetLog:
    """The work that all targets did: runs by request, pieces by result."""

    def __init__(self):
        self.runs = collections.defaultdict(list)
        self.arrivals = []  # (time, request, target)
        self.piece_calls = []  # (time, target)
        self.finished_work = []  # (time, request); the caller still waited.
        self.results = {}  # Result handle -> (request, stage)
        self.pieces = {}  # Request -> number of pieces of each stage
        self.poison_crashes = collections.defaultdict(list)  # Poison -> times
        self.stage_poisons = {}  # Request whose pieces crash targets -> poison
        self.crash_target = None  # Crashes a target; set by World.
        self.long_streams_share = 0  # Of the streams.
        self.event_count = EVENT_COUNT
        self.longest_stream_s = 0  # 0: all requests are short.
        self.completed = {}  # Request -> when its whole answer was sent.
        self.faults = []

    def add_fault(self, text):
        self.faults.append(text)


# A target that logs its work; its mode can make it misbehave.
class Target:
    _target_numbers = itertools.count(1)

    slots = 8  # As stated in the load header.

    def __init__(self, log, service, address, zone, pace, target_id=None):
        self.log = log
        self.pace = pace
        self.running = self.waiting = 0
        self.service = service
        self.address = address  # As listed; a proxy may listen there.
        self.zone = zone
        self.id = target_id or f"i-{next(self._target_numbers):06x}"
        self.version = "v1"  # Of its software.
        self.start_time_ms = time.time_ns() // 1_000_000
        self.mode = "ok"
        self.state = "ready"
        self.server = None
        self.cold_until = 0.0
        self.max_cold_arrivals = 0  # Requests in a second.
        self.cold_arrivals = []
        self.need = None  # A Need, while the target is overloaded.

    def start_warm_up(self, warm_up):
        now = asyncio.get_running_loop().time()
        self.cold_until = now + warm_up["warmup_s"]
        self.max_cold_arrivals = 1.5 * warm_up["warmup_per_s"] + 5

    def check_cold_arrivals(self, now):
        """Checks the rate at which all entries together use a cold target."""
        if now >= self.cold_until:
            return
        self.cold_arrivals = [at for at in self.cold_arrivals
                              if at > now - 1] + [now]
        if len(self.cold_arrivals) > self.max_cold_arrivals:
            self.log.add_fault(f"{self.id}: cold, {len(self.cold_arrivals)} "
                               "requests in a second")

    def record(self):
        return {"backend": self.service, "address": self.address,
                "zone": self.zone, "version": self.version, "capacity": 8,
                "state": self.state, "warmup_left_ms": self.warm_up_left_ms(),
                "sequence": 1, "born": self.start_time_ms}

    def warm_up_left_ms(self):
        if not self.cold_until:
            return 0
        now = asyncio.get_running_loop().time()
        return int(max(0, self.cold_until - now) * 1000)

    async def start(self, address):
        self.server = await wire.serve(address, self.handle)

    def stop(self):
        self.server.close()

    def stated_fields(self):
        """Returns what the target states about itself in each response."""
        fields = self.need.response_fields() if self.need else {}
        fields["X-Mangofold-Server-Load"] = self.pace.stated_load(
            asyncio.get_running_loop().time(), self.running, self.waiting,
            self.slots)
        if self.state == "draining":
            fields["Server-Leaving"] = 1
        return fields

    def caller_request_id(self, message):
        """Returns the id of a caller's request; empty for other calls."""
        return message.field("x-mangofold-request-id")

    def request_id_fields(self, message):
        return {"X-Mangofold-Request-Id": message.field(
            "x-mangofold-request-id")}

    def response_fields(self, message):
        return {"X-Mangofold-Response-Seal": "s",
                **self.request_id_fields(message), **self.stated_fields()}

    async def handle(self, message, writer):
        addressed_id = message.field("x-mangofold-target-instance")
        request_id = self.caller_request_id(message)
        if not addressed_id:
            self.log.add_fault(f"{self.id}: {message.start_line} names no "
                               "target")
        if addressed_id and addressed_id != self.id:
            writer.write(wire.serialize_response(
                421, **self.request_id_fields(message)))
            return
        if self.need:
            now = asyncio.get_running_loop().time()
            self.need.arrivals.append((now, request_id))
            if self.need.rest_s:
                writer.write(wire.serialize_response(
                    503, X_Mangofold_Not_Executed="1",
                    Retry_After=self.need.rest_s,
                    **self.request_id_fields(message)))
                return
        if self.mode == "shed" and request_id:
            writer.write(wire.serialize_response(
                503, X_Mangofold_Not_Executed="1",
                **self.request_id_fields(message), **self.stated_fields()))
            return
        if request_id:
            now = asyncio.get_running_loop().time()
            self.log.arrivals.append((now, request_id, self))
            self.check_cold_arrivals(now)
        await self.work(message, writer)

    def duration(self, mean_s):
        return mean_s * self.pace.factor(asyncio.get_running_loop().time())

    def long_duration(self, longest_s):
        """Returns how long a request lasts, 0 if it is a short one."""
        if not self.log.longest_stream_s or \
                random.random() >= LONG_WORK_SHARE:
            return 0
        return random.uniform(longest_s / 4, longest_s)

    def note_completed(self, request_id):
        now = asyncio.get_running_loop().time()
        self.log.completed[request_id] = now

    def run(self, request_id):
        self.log.runs[request_id].append(self.id)

    async def run_poison(self, message, writer):
        """Crashes this target if a request is poison; returns if it is."""
        match = POISON_PATTERN.search(message.start_line) or \
            BAD_PART_PATTERN.search(message.field("x-mangofold-prompt-prefix"))
        if not match:
            return False
        await self.begin_poison(message, writer)
        self.crash_on_poison(match[0])
        return True

    async def begin_poison(self, message, writer):
        """Starts on a request on which this target crashes."""
        await asyncio.sleep(POISON_CRASH_DELAY_S)

    def crash_on_poison(self, poison):
        if self.mode != "gone":
            now = asyncio.get_running_loop().time()
            self.log.poison_crashes[poison].append(now)
            self.log.crash_target(self)

    async def send_flood(self, message, writer):
        """Sends a body without end, as fast as the caller reads it."""
        writer.write(("\r\n".join([
            "HTTP/1.1 200 OK", "Transfer-Encoding: chunked",
            *(f"{name}: {value}"
              for name, value in self.response_fields(message).items())]) +
            "\r\n\r\n" + random.choice(("", "5\r\ndata:\r\n", "1\r\n[\r\n"))
            ).encode())
        await flood(writer, wire.chunk(random.choice(FLOOD_BLOCKS)))

    async def send_endlessly(self, message, writer):
        """Sends bytes that are no answer until the caller closes."""
        if self.mode == "flood":
            await self.send_flood(message, writer)
            return
        head = b"HTTP/1.1 200 OK\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        filler = b"a" * 4096
        first, part = random.choice((
            (head + b"X: ", b"a"), (head, b"X: " + filler + b"\r\n"),
            (b"", b"HTTP/1.1 102 X\r\n\r\n"), (chunked + b"1;", filler),
            (chunked + b"0\r\nX: ", filler), (chunked, b"1\r\na\r\n")))
        writer.write(first)
        while not writer.is_closing() and not writer.peer_has_closed():
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PART_INTERVAL_S)
        writer.close()

    def record_finished_work(self, request_id, writer):
        """Records the end of a request whose client is still connected."""
        if not writer.is_closing() and not writer.peer_has_closed():
            now = asyncio.get_running_loop().time()
            self.log.finished_work.append((now, request_id))


# Answers each request with one short body.
class PlainTarget(Target):
    async def work(self, message, writer):
        request_id = message.field("x-mangofold-request-id")
        if message.field("authorization"):
            self.log.add_fault(
                f"{request_id}: the API key was forwarded to a target")
        self.run(request_id)
        if await self.run_poison(message, writer):
            return
        await asyncio.sleep(SLOW_RESPONSE_S if self.mode == "slow" else
                            self.long_duration(LONGEST_ANSWER_S) or 0.005)
        self.record_finished_work(request_id, writer)
        if self.mode == "lost":
            wire.reset(writer)
            return
        if self.mode in ENDLESS_MODES:
            await self.send_endlessly(message, writer)
            return
        body = f"answer {request_id} {message.start_line.split()[1]}".encode()
        response = wire.serialize_response(200, body,
                                           **self.response_fields(message))
        if self.mode == "cut":
            writer.write(response[:-4])
            writer.close()
            return
        # In mode "extra", a response is sent again before the next response.
        writer.write(getattr(writer, "stray", b"") + response)
        self.note_completed(request_id)
        writer.stray = response if self.mode == "extra" else b""


# Checks the stage results that a request lists, then streams events.
class EngineTarget(Target):
    def check_inputs(self, message, request_id):
        handles = [handle for handle in
                   message.field("x-mangofold-inputs").split(",") if handle]
        if len(set(handles)) != len(handles):
            self.log.add_fault(f"{request_id}: an input is listed twice")
        for handle in handles:
            producer = self.log.results.get(handle)
            if producer is None:
                return 409
            if producer[0] != request_id:
                self.log.add_fault(
                    f"{request_id}: got an input of {producer[0]}")
        piece_counts = message.field("x-mangofold-pieces").split(",")
        if int(piece_counts[-1] or 0) != len(handles):
            self.log.add_fault(
                f"{request_id}: {len(handles)} of {piece_counts[-1]} inputs")
        return 200

    async def work(self, message, writer):
        request_id = message.field("x-mangofold-request-id")
        if "x-mangofold-inputs" not in message.fields:
            writer.write(wire.serialize_response(
                400, X_Mangofold_Not_Executed="1",
                **self.request_id_fields(message), **self.stated_fields()))
            return
        if self.check_inputs(message, request_id) == 409:
            writer.write(wire.serialize_response(
                409, X_Mangofold_Not_Executed="1",
                **self.request_id_fields(message), **self.stated_fields()))
            return
        self.run(request_id)
        if await self.run_poison(message, writer):
            return
        self.running += 1
        try:
            await self.stream(message, writer)
        finally:
            self.running -= 1

    async def begin_poison(self, message, writer):
        await asyncio.sleep(POISON_CRASH_DELAY_S)
        if random.random() < BEGUN_SHARE:
            self.write_head(message, writer,
                            random.random() >= UNSEALED_SHARE)
            await asyncio.sleep(BEGUN_CRASH_DELAY_S)

    def write_head(self, message, writer, is_sealed=True):
        """Begins a stream; returns whether it has chunks."""
        is_framed = random.random() >= UNFRAMED_SHARE
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        if is_framed:
            head.append("Transfer-Encoding: chunked")
        head += [f"{name}: {value}"
                 for name, value in self.response_fields(message).items()
                 if is_sealed or name != "X-Mangofold-Response-Seal"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        return is_framed

    async def stream(self, message, writer):
        if self.mode in ENDLESS_MODES:
            await self.send_endlessly(message, writer)
            return
        request_id = message.field("x-mangofold-request-id")
        first_event = int(message.field("last-event-id") or 0) + 1
        is_framed = self.write_head(message, writer)
        is_long = random.random() < self.log.long_streams_share
        interval_s = LONG_EVENT_INTERVAL_S if is_long else \
            self.long_duration(self.log.longest_stream_s) / \
            self.log.event_count
        for number in range(first_event, self.log.event_count + 1):
            await asyncio.sleep(0.3 if self.mode == "slow" else interval_s or
                                self.duration(EVENT_INTERVAL_S))
            event = (f"id: {number}\n"
                     f"data: {request_id}.{number}.{self.version}\n\n").encode()
            if self.mode in ("lost", "cut") and \
                    number > self.log.event_count // 2:
                if is_framed:
                    wire.reset(writer)
                else:  # In order, which only the half event tells.
                    writer.write(event[:len(event) // 2])
                    writer.close()
                return
            writer.write(wire.chunk(event) if is_framed else event)
            await writer.drain()
        self.note_completed(request_id)
        if is_framed:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()


# Runs calls of pieces and keeps their results by handle.
class StageTarget(Target):
    _result_numbers = itertools.count(1)
    slots = 1

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.call_s = PIECES_CALL_S
        self.max_results = 0  # That its memory holds.
        self.handle_s = 0.0
        self.kept = set()  # Handles of results, also of those in progress.
        self.memory_refusals = 0
        self.free_slot = asyncio.Lock()

    def set_memory(self, settings):
        """Takes the size of its memory from a configuration."""
        pieces = next(service["pieces"] for service in settings["backends"]
                      if service["name"] == self.service)
        result_bytes = next(
            stage["bytes"] for route in settings["routes"]
            for stage in route.get("stages", ())
            if stage["backend"] == self.service)
        self.max_results = int(pieces["room_mb"] * 1e6 / result_bytes)
        self.handle_s = pieces["handle_s"]

    def caller_request_id(self, message):
        return ""  # The id is that of the call.

    async def work(self, message, writer):
        body = json.loads(message.body)
        if "handles" in body:
            for handle in body["handles"]:
                self.drop_result(handle)
            self.answer(message, writer, b"{}")
            return
        now = asyncio.get_running_loop().time()
        self.log.piece_calls.append((now, self))
        for item in body["items"]:
            if poison := self.log.stage_poisons.get(item["id"]):
                await asyncio.sleep(POISON_CRASH_DELAY_S)
                self.crash_on_poison(poison)
                return
        self.waiting += 1
        async with self.free_slot:
            self.waiting -= 1
            self.running = 1
            if writer.peer_has_closed():
                return
            items = [self.begin_item(item) for item in body["items"]]
            await asyncio.sleep(1 if self.mode == "slow" else
                                self.duration(self.call_s))
            self.running = 0
        for result in items:
            asyncio.get_running_loop().call_later(
                self.handle_s, self.drop_result, result.get("handle"))
        if self.mode == "lost":
            wire.reset(writer)
            return
        if self.mode in ENDLESS_MODES:
            await self.send_endlessly(message, writer)
            return
        for item, result in zip(body["items"], items):
            if "handle" in result:
                self.log.results[result["handle"]] = (item["id"],
                                                      item["stage"])
        self.answer(message, writer, json.dumps({"items": items}).encode())

    def answer(self, message, writer, body):
        response = wire.serialize_response(
            200, body, Content_Type="application/json",
            **self.request_id_fields(message), **self.stated_fields())
        writer.write(response)
        if self.mode == "extra" and random.random() < EXTRA_SHARE:
            asyncio.get_running_loop().call_later(
                random.uniform(*EXTRA_DELAY_S), self.answer_again, writer,
                response)

    @staticmethod
    def answer_again(writer, response):
        if not writer.is_closing():
            writer.write(response)

    def fetch_inputs(self, item):
        """Returns whether the inputs of a piece are there, and checks them.

        Targets fetch inputs at the start of a call; entries may release them
        soon after that.
        """
        request_id = item["id"]
        if item["stage"] == 0 and item.get("key") != f"key-{request_id}":
            self.log.add_fault(
                f"{request_id}: stage 0 with key {item.get('key')}")
        for handle in item.get("inputs", []):
            producer = self.log.results.get(handle)
            if producer is None:
                return False
            if producer != (request_id, item["stage"] - 1):
                self.log.add_fault(
                    f"{request_id}: a piece got an input of {producer}")
        if item["stage"] > 0:
            expected_count = self.log.pieces[request_id][item["stage"] - 1]
            inputs = item.get("inputs", [])
            if len(set(inputs)) != expected_count or \
                    len(inputs) != expected_count:
                self.log.add_fault(f"{request_id}: a dependent piece has "
                                   f"{len(inputs)} of {expected_count} inputs")
        return True

    def begin_item(self, item):
        """Returns the result of a piece, or why there is none."""
        if not self.fetch_inputs(item):
            return {"why": "gone"}
        if len(self.kept) >= self.max_results:
            self.memory_refusals += 1
            return {"why": "room"}
        handle = f"{self.address}/{next(self._result_numbers):x}"
        self.kept.add(handle)
        return {"handle": handle}

    def drop_result(self, handle):
        self.kept.discard(handle)
        self.log.results.pop(handle, None)
