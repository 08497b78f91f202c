"""Targets send broken answers: parts that a reset cuts off while the request is
being sent, statuses that are none, names of fields with blanks and control
bytes, folded lines. No caller may get one, and what may not be repeated runs
once.
"""

import argparse
import asyncio
import collections
import random

import wire
from callers import REQUEST_KINDS, Connection
from killed_targets import KilledTargets, SERVICES
from oracle import NOT_EXECUTED_STATUSES, SentRequest
from store import Store
from target_process import PART_COUNT, PROBE_PATHS
from targets import TargetLog
from total_loss import add_options, run_in_folder
from world import configuration

TARGETS = {"models": 6, "desk": 6}
CALLERS = 12
PAUSE_S = 0.05  # Of a caller, on average.
BUDGET_S = 3.0
# Of requests: the longer ones are still being sent when the answer begins.
BODY_BYTES = (2, 4_000_000)
SOUND_SHARE = 0.6  # Of the answers.
BREAK_S = (0, 0.03)  # From a part of an answer to its reset.
FRAMINGS = ("length", "chunks", "none")
BROKEN = ("reset", "status", "name", "fold")
STATUSES = ("000", "001", "099", "101", "600")
NAME_BYTES = b" \t\x00\x01\x0b\x1f\x7f"
BLANKS = b" \t"
MIN_COUNT = 5  # Of each kind of answer, by framing, status or byte.
RECOVERY_COUNT = 40  # Requests that must be served at the end.


class BrokenTarget:
    def __init__(self, platform, service, number):
        self.platform = platform
        self.service = service
        self.id = f"i-{number:06x}"
        self.address = f"127.0.0.1:{platform.base + number}"
        self.zone = "ab"[number % 2]
        self.random = random.Random(f"{platform.seed}.{number}")

    def record(self):
        return {"backend": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "capacity": 8,
                "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1}

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        await asyncio.start_server(self.serve, host, int(port), limit=1 << 14)

    async def serve(self, reader, writer):
        try:
            while await self.answer(await wire.read_head(reader), reader,
                                    writer):
                await writer.drain()
        except (wire.ConnectionClosed, ConnectionError):
            pass  # The entry has ended the connection.
        finally:
            writer.close()

    async def answer(self, message, reader, writer):
        """Answers a request; returns whether the connection stays open."""
        fields = {"X-Mangofold-Instance-Id": self.id,
                  "X-Mangofold-Request-Id":
                  message.field("x-mangofold-request-id")}
        if message.start_line.split()[1] in PROBE_PATHS:
            writer.write(wire.serialize_response(200, b"{}", **fields))
            return True
        request_id = fields["X-Mangofold-Request-Id"]
        first = int(message.field("last-event-id") or 0) + 1
        is_sound = self.platform.is_calm or self.random.random() < SOUND_SHARE
        kind = "sound" if is_sound else self.random.choice(BROKEN)
        run = f"{self.id}.{len(self.platform.runs[request_id])}"
        self.platform.runs[request_id].append(kind)
        head = ["HTTP/1.1 200 OK", "X-Mangofold-Response-Seal: s",
                *(f"{name}: {value}" for name, value in fields.items())]
        parts = self.parts(request_id, run, first)
        if kind == "sound":
            await wire.read_body(reader, message)
            return await self.send(reader, writer, head, parts)
        if kind == "reset":
            return await self.send_part(writer, head, parts)
        # What follows such a head must not be taken for an answer.
        foreign = b"".join(self.parts("foreign", "foreign", first))
        foreign = "\r\n".join(
            [*head, f"Content-Length: {len(foreign)}"]).encode() + \
            b"\r\n\r\n" + foreign
        return await self.send_unreadable(kind, writer, head, foreign)

    def parts(self, request_id, run, first):
        if self.service == "models":
            return [f"id: {number}\ndata: {request_id}.{number}.v1\n\n".encode()
                    for number in range(first, PART_COUNT + 1)]
        return [f"<{number} {request_id} {run}>".encode()
                for number in range(1, PART_COUNT + 1)]

    def begin(self, writer, head, parts):
        """Writes the head of an answer; returns its framing."""
        framing = self.random.choice(FRAMINGS)
        head = head + {
            "length": [f"Content-Length: {sum(map(len, parts))}"],
            "chunks": ["Transfer-Encoding: chunked"], "none": []}[framing]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        return framing

    async def send(self, reader, writer, head, parts):
        framing = self.begin(writer, head, parts)
        self.platform.counts["sound", framing] += 1
        for part in parts:
            writer.write(wire.chunk(part) if framing == "chunks" else part)
            await writer.drain()
            await asyncio.sleep(0.002)
        if framing == "chunks":
            writer.write(b"0\r\n\r\n")
        if framing == "none":
            writer.write_eof()
            await reader.read()
        return framing != "none"

    async def send_part(self, writer, head, parts):
        """Sends an answer in part, without reading the request's body."""
        framing = self.begin(writer, head, parts)
        self.platform.counts["reset", framing] += 1
        for part in parts[:self.random.randrange(len(parts))]:
            writer.write(wire.chunk(part) if framing == "chunks" else part)
        await writer.drain()
        await asyncio.sleep(self.random.uniform(*BREAK_S))
        wire.reset(writer)
        return False

    async def send_unreadable(self, kind, writer, head, foreign):
        lines = [line.encode() for line in head]
        length = b"Content-Length: %d" % len(foreign)
        if kind == "status":
            what = self.random.choice(STATUSES)
            lines[0] = f"HTTP/1.1 {what} X".encode()
            lines.append(length)
        elif kind == "name":
            what = self.random.choice(NAME_BYTES)
            at = self.random.choice((0, 3, length.index(b":")))
            lines.insert(1, length[:at] + bytes([what]) + length[at:])
        else:
            what = self.random.choice(BLANKS)
            lines.append(length)
            lines.insert(self.random.randrange(2, len(lines) + 1),
                         bytes([what]) + b"X-Other: v")
        self.platform.counts[kind, what] += 1
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + foreign)
        await writer.drain()
        await asyncio.sleep(self.random.uniform(*BREAK_S))
        return False


class Platform:
    """The store and the targets."""

    def __init__(self, base, seed):
        self.base = base
        self.seed = seed
        self.store = Store()
        self.store_address = f"127.0.0.1:{base}"
        self.log = TargetLog()
        self.keepers = None
        self.runs = collections.defaultdict(list)  # Kinds of its answers.
        # Of answers, by kind and by framing, status or byte.
        self.counts = collections.Counter()
        self.is_calm = False  # All answers are sound.

    async def start(self, _):
        await wire.serve(self.store_address, self.store.handle)
        content = configuration(1)
        for route in content["routes"]:
            route.pop("stages", None)
        for service in content["backends"]:
            service["health_check"] = "/healthz"
        content["limits"]["max_body_bytes"] = 1 << 22
        self.store.put("op/config", content)
        services = [service for service, count in TARGETS.items()
                    for _ in range(count)]
        for number, service in enumerate(services, 1):
            target = BrokenTarget(self, service, number)
            await target.start()
            self.store.put(f"servers/{target.id}", target.record())


class BrokenAnswers:
    def __init__(self, platform, oracle, options):
        self.platform = platform
        self.oracle = oracle
        self.seed = options.seed
        self.requests = []
        self.recovered = []

    async def run_all(self, options):
        until = self.oracle.now() + options.seconds
        await asyncio.gather(*(self.call(number, until)
                               for number in range(CALLERS)))
        self.platform.is_calm = True
        await asyncio.sleep(1)
        chooser = random.Random(self.seed)
        for number in range(RECOVERY_COUNT):
            self.recovered.append(await self.send(f"end{number}", chooser))

    async def call(self, number, until):
        chooser = random.Random(f"{self.seed}.{number}")
        count = 0
        while self.oracle.now() < until:
            await asyncio.sleep(chooser.expovariate(1 / PAUSE_S))
            count += 1
            self.requests.append(await self.send(f"r{number}x{count}", chooser))

    async def send(self, request_id, chooser):
        entry = chooser.choice(self.oracle.fleet)
        kind = chooser.choice(tuple(REQUEST_KINDS))
        sent = SentRequest(request_id, kind, entry, self.oracle.now())
        sent.budget_s = BUDGET_S
        sent.upload = b"x" * chooser.choice(BODY_BYTES)
        # Contents differ, or resets would quarantine them.
        sent.prompt = lambda: f"{request_id}:50"
        connection = Connection(entry, self.oracle)
        await connection.send(sent, "POST", f"/{kind}/{request_id}",
                              {"Authorization": "Bearer always"})
        connection.close()
        return sent

    def check(self):
        for sent in self.requests + self.recovered:
            runs = self.platform.runs[sent.request_id]
            for fault in self.faults_of(sent, runs):
                self.oracle.faults.append(
                    f"{sent.kind} {sent.request_id} by {sent.entry.name}, "
                    f"{len(sent.upload)} bytes: {fault}; answers: {runs}")
        self.oracle.faults += [
            f"{sent.kind} {sent.request_id} is answered {sent.status} although "
            "all targets are sound"
            for sent in self.recovered
            if sent.status != 200 or not sent.is_complete]
        self.oracle.faults += [f"{entry.name} exited: {exit_code}"
                               for entry in self.oracle.fleet
                               for exit_code in entry.unexpected_exits]
        self.oracle.faults += [
            f"only {self.platform.counts[key]} answers were {key}"
            for key in [*((kind, framing) for kind in ("sound", "reset")
                          for framing in FRAMINGS),
                        *(("status", status) for status in STATUSES),
                        *(("name", byte) for byte in NAME_BYTES),
                        *(("fold", byte) for byte in BLANKS)]
            if self.platform.counts[key] < MIN_COUNT]
        outcomes = collections.Counter(
            (sent.kind, sent.status, sent.is_complete)
            for sent in self.requests)
        for (kind, status, is_complete), count in sorted(outcomes.items()):
            print(f"  {kind} {status}"
                  f"{'' if is_complete else ' incomplete'}: {count}")
        print(f"seed {self.seed}: {len(self.oracle.faults)} faults, "
              f"{len(self.requests)} requests, "
              f"{self.platform.counts.total()} answers")

    @staticmethod
    def faults_of(sent, runs):
        is_engine = SERVICES[sent.kind] == "models"
        is_repeatable = sent.kind in ("find", "chat")
        if b"foreign" in sent.body:
            yield f"got the body of another answer: {sent.body[:80]!r}"
        elif sent.status == 200:
            fault = sent.stream.add(sent, PART_COUNT) if is_engine else \
                KilledTargets.body_fault(sent)
            if fault:
                yield fault
        elif sent.status not in (502, 503, 504):
            yield f"answered {sent.status}"
        if not is_repeatable and len(runs) > 1:
            yield f"ran {len(runs)} times"
        if runs and not is_repeatable and sent.status in NOT_EXECUTED_STATUSES:
            yield f"answered {sent.status} though it ran"
        if runs and runs[-1] == "sound" and \
                not (sent.status == 200 and sent.is_complete):
            yield f"answered {sent.status} though a sound answer came"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    add_options(parser)
    parser.set_defaults(entries=3, base=28000, copies=0)
    parser.add_argument("--seconds", type=float, default=20)
    options = parser.parse_args()
    run_in_folder(options, Platform(options.base, options.seed),
                  lambda platform, oracle:
                  BrokenAnswers(platform, oracle, options))


if __name__ == "__main__":
    main()
