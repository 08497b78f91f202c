"""Callers: persistent connections, requests of four kinds, and probes."""

import asyncio
import itertools
import random

import wire
from oracle import Sent

BUDGET_S = 3.0
LEAVING = 0.1  # The share of requests that are abandoned early.
KINDS = {
    "find": ("GET", "/find/x", {}),
    "book": ("POST", "/book/x", {}),
    "chat": ("POST", "/chat/x", {"X-Mangofold-Pieces": "2,1"}),
    "note": ("POST", "/note/x", {"X-Mangofold-Pieces": "1,2"}),
}


class Connection:
    """A caller's persistent connection to an entry."""

    def __init__(self, entry, oracle):
        self.entry = entry
        self.oracle = oracle
        self.reader = self.writer = None

    async def ask(self, one, method, path, fields, leave_after=None):
        """Sends a request; a caller that gives up closes the connection."""
        try:
            await asyncio.wait_for(self._ask(one, method, path, fields),
                                   leave_after or BUDGET_S + 1)
        except asyncio.TimeoutError:
            if leave_after:
                one.left_at = self.oracle.now()
            self.close()
        except (wire.Closed, OSError):
            self.close()
        return one

    async def _ask(self, one, method, path, fields):
        if self.writer is None:
            host, port = self.entry.callers.rsplit(":", 1)
            self.reader, self.writer = await asyncio.open_connection(
                host, int(port), limit=1 << 20)
        lines = [f"{method} {path} HTTP/1.1", "Host: h.example",
                 f"X-Mangofold-Request-Id: {one.request}",
                 f"X-Mangofold-Time-Budget-Ms: {int(BUDGET_S * 1000)}",
                 f"X-Mangofold-Piece-Key: key-{one.request}",
                 "X-Mangofold-Prompt-Prefix: aa:100,bb:20",
                 "X-Mangofold-Token-Count: 120,40"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if method == "POST":
            lines.append("Content-Length: 2")
        body = "hi" if method == "POST" else ""
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
        await self.writer.drain()
        await self._read(one)

    async def _read(self, one):
        answer = await wire.read_head(self.reader)
        one.status = int(answer.first.split()[1])
        try:
            if "chunked" in answer.field("transfer-encoding"):
                while part := await wire.read_chunk(self.reader):
                    answer.body += part
            else:
                await wire.read_body(self.reader, answer)
            one.is_whole = True
        finally:
            one.body = answer.body
        echoed = answer.field("x-mangofold-request-id")
        if one.status == 200 and echoed != one.request:
            self.oracle.faults.append(
                f"{one.request}: got the response to {echoed}")
        if answer.field("connection") == "close":
            self.close()

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


class Caller:
    _numbers = itertools.count(1)

    def __init__(self, oracle, seed, leaving=LEAVING):
        self.oracle = oracle
        self.leaving = leaving
        self.random = random.Random(seed)

    def request(self, kind, entry, poison=""):
        one = Sent(f"{next(self._numbers):08x}", kind, entry,
                   self.oracle.now(), poison)
        self.oracle.sent[one.request] = one
        if kind in KINDS:
            pieces = KINDS[kind][2].get("X-Mangofold-Pieces", "")
            self.oracle.log.pieces[one.request] = [
                int(count) for count in pieces.split(",") if count]
        return one

    async def run(self, until, pause_s):
        """Sends one request after another, mostly on open connections."""
        connection = None
        while self.oracle.now() < until:
            await asyncio.sleep(self.random.expovariate(1 / pause_s))
            if connection is None or self.random.random() < 0.1:
                if connection:
                    connection.close()
                ready = [one for one in self.oracle.fleet
                         if not one.is_stopping] or self.oracle.fleet
                connection = Connection(self.random.choice(ready), self.oracle)
            kind = self.random.choice(list(KINDS))
            one = self.request(kind, connection.entry)
            method, path, fields = KINDS[kind]
            leave_after = self.random.uniform(0.005, 0.15) \
                if self.random.random() < self.leaving else None
            await connection.ask(one, method, path, {
                **fields, "Authorization": "Bearer always"}, leave_after)
            self.oracle.note(one)
            if connection.writer is None:
                connection = None

    async def ask_poison(self, kind, poison, entry):
        """Sends a request that crashes each target that runs it."""
        one = self.request(kind, entry, poison)
        if "-stage-" in poison:
            self.oracle.log.stage_poisons[one.request] = poison
        method, path, fields = KINDS[kind]
        connection = Connection(entry, self.oracle)
        await connection.ask(one, method, path.replace("/x", poison), {
            **fields, "Authorization": "Bearer always"})
        connection.close()
        self.oracle.note(one)

    async def probe(self, until):
        """Probes entries in turn for the route and key versions in force."""
        while self.oracle.now() < until:
            for entry in self.oracle.fleet:
                newest = max(self.oracle.published)
                for version in (newest, newest - 1):
                    one = self.request("probe", entry)
                    connection = Connection(entry, self.oracle)
                    await connection.ask(one, "GET", f"/v{version}/x", {
                        "Authorization": f"Bearer key-{version}"})
                    connection.close()
                    one.ended_at = self.oracle.now()
                    self.oracle.note_probe(one, version)
            await asyncio.sleep(0.2)
