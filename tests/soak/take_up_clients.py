"""Clients that take up their streams, as the balancer leads them."""

import asyncio
import collections
import json

import wire
from callers import Connection
from oracle import SentRequest
from targets import EVENT_COUNT
from take_up_losses import ROUTE_TIMEOUT_S

TRIES = 4  # Of a client, for what no entry has answered or an entry refused.
NEW_TRY_S = 0.05  # After a connection that is refused or broken.


class Rotation:
    """The entries that the balancer uses: out after two failed checks."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.misses = {entry: 0 for entry in fleet}

    async def run(self):
        while True:
            await asyncio.gather(*map(self._check, self.fleet))
            await asyncio.sleep(1)

    async def _check(self, entry):
        self.misses[entry] = 0 if await entry.is_ready() \
            else self.misses[entry] + 1

    def entries(self):
        within = [entry for entry in self.fleet if self.misses[entry] < 2]
        return within if 2 * len(within) >= len(self.fleet) else self.fleet


class BudgetedConnection(Connection):
    """A connection of a client that states how long it still waits."""

    async def _send(self, sent, method, path, extra_fields):
        host, port = self.entry.frontend.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port), limit=1 << 20)
        fields = {"Host": "h.example", "Authorization": "Bearer always",
                  "X-Mangofold-Request-Id": sent.request_id,
                  "X-Mangofold-Pieces": "2,1", "Content-Length": "2",
                  "X-Mangofold-Piece-Key": f"key-{sent.request_id}",
                  "X-Mangofold-Prompt-Prefix": sent.prompt(),
                  "X-Mangofold-Token-Count": "120,40", **extra_fields}
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\nhi").encode())
        await self.writer.drain()
        await self._read_response(sent)

    async def _read_response(self, sent):
        sent.retry_after_s = NEW_TRY_S
        reader, self.reader = self.reader, _NotingReader(self.reader, sent)
        try:
            await super()._read_response(sent)
        finally:
            self.reader = reader


class _NotingReader:
    """Keeps the Retry-After of the head that it reads."""

    def __init__(self, reader, sent):
        self.reader = reader
        self.sent = sent

    async def readuntil(self, separator):
        data = await self.reader.readuntil(separator)
        if data.startswith(b"HTTP/"):
            for line in data.decode("latin-1").lower().split("\r\n"):
                if line.startswith("retry-after:"):
                    self.sent.retry_after_s = float(line.split(":")[1])
        return data

    def __getattr__(self, name):
        return getattr(self.reader, name)


class Outcomes:
    """How requests ended: at the first answer, and within all tries."""

    def __init__(self):
        self.count = self.at_once = self.served = 0
        self.refusals = collections.Counter()  # Of answers, by reason.
        self.entry_ages_s = []  # Of entries that refused.

    def __str__(self):
        text = f"{self.served}/{self.count} ({self.at_once} at once)"
        return text + (f" {dict(self.refusals)}" if self.refusals else "")


class Clients:
    def __init__(self, oracle, rotation, randomness, wait_s):
        self.oracle = oracle
        self.rotation = rotation
        self.random = randomness
        self.wait_s = wait_s  # From the end of an answer to the next try.
        self.taken_up = Outcomes()
        self.begun = Outcomes()
        self._last_number = 0

    async def _send(self, entry, left_s, stream_of):
        self._last_number += 1
        sent = SentRequest(f"{self._last_number:08x}", "chat", entry,
                           self.oracle.now())
        self.oracle.requests[sent.request_id] = sent
        self.oracle.log.pieces[sent.request_id] = [2, 1]
        fields = {"X-Mangofold-Time-Budget-Ms": int(left_s * 1000)}
        if stream_of:
            sent.stream = stream_of.stream
            fields["Last-Event-Id"] = sent.stream.last_event
            fields["Resumes"] = stream_of.request_id
        connection = BudgetedConnection(entry, self.oracle)
        # Paths differ, or crashes of engines would quarantine the request.
        await connection.send(sent, "POST", f"/chat/{id(sent.stream):x}",
                              fields, abandon_after_s=left_s)
        connection.close()
        self.oracle.check_outcome(sent)
        return sent

    async def _try(self, outcomes, left_s, stream_of=None):
        """Sends a request until it is served, as often as clients do."""
        outcomes.count += 1
        until = self.oracle.now() + left_s
        answers = 0
        while answers < TRIES and self.oracle.now() < until:
            entry = self.random.choice(self.rotation.entries())
            sent = await self._send(entry, until - self.oracle.now(),
                                    stream_of)
            if sent.event_count:
                outcomes.served += 1
                outcomes.at_once += answers == 0
                return sent
            if sent.status:
                answers += 1
                outcomes.refusals[self._reason(sent)] += 1
                outcomes.entry_ages_s.append(
                    self.oracle.now() - entry.started_at)
            left = until - self.oracle.now()
            await asyncio.sleep(min(left / 3, getattr(
                sent, "retry_after_s", NEW_TRY_S)) if left > 0 else 0)
        outcomes.refusals["gave_up"] += 1
        return None

    @staticmethod
    def _reason(sent):
        try:
            return json.loads(sent.body)["error"]
        except (ValueError, KeyError):
            return f"{sent.status} without events"

    async def stream(self):
        """Begins a stream; takes it up if it breaks, beside a new one."""
        began_at = self.oracle.now()
        first = await self._send(
            self.random.choice(self.rotation.entries()), ROUTE_TIMEOUT_S, None)
        if first.stream.last_event in (0, EVENT_COUNT):
            return
        sent = first
        while sent and sent.stream.last_event != EVENT_COUNT:
            await asyncio.sleep(self.wait_s)
            left_s = ROUTE_TIMEOUT_S - (self.oracle.now() - began_at)
            sent, _ = await asyncio.gather(
                self._try(self.taken_up, left_s, first),
                self._try(self.begun, left_s))
