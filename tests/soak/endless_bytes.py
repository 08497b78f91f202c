"""Has targets of all kinds and the store send bytes without end at once, beside
requests with long bodies, callers that read their answers slowly and heads that
do not end. No entry may take more memory than its settings allow, and all must
serve again after.
"""

import argparse
import asyncio

import wire
from fleet import MEMORY_MB
from soak import check_recovery
from store import Store
from targets import flood
from total_loss import TotalLoss, add_options, run_in_folder
from world import PlatformStandin

COPIES = 4  # Of each target.
SOUND_COPIES = 1  # Of them.
BUDGET_MS = 3000
HEAD_BYTES = 15_000  # Of a head that does not end; 16,384 are allowed.
HEADS_PER_S = 2000  # That begin.
SETTLE_S = 4  # After the last byte, until requests must be served.
# What a faulty store sends: values that take much more memory once parsed, a
# long value, and bytes that are no JSON.
STORE_BLOCKS = (b"0," * 32_768, b'{"key":"servers/a","value":"' + b"a" * 262_144,
                b"\xff" * 65_536)


class FloodingStore(Store):
    def __init__(self):
        super().__init__()
        self.block = b""  # Sent without end, unless it is empty.

    async def handle(self, message, writer):
        if not self.block:
            return await super().handle(message, writer)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     wire.chunk(b'{"items":['))
        await flood(writer, wire.chunk(self.block))


class EndlessBytes(TotalLoss):
    def __init__(self, platform, oracle, options):
        super().__init__(platform, oracle, options.seed)
        self.seconds = options.seconds
        self.callers = options.callers
        self.slow_callers = options.slow_callers
        self.unfinished = options.unfinished_heads
        self.body = b"b" * options.body_bytes
        self.statuses = []

    async def run_all(self, options):
        self.flood_targets()
        until = self.oracle.now() + self.seconds
        callers = [asyncio.create_task(self.call(number, until))
                   for number in range(self.callers + self.slow_callers)]
        callers += [asyncio.create_task(self.send_head(number, until))
                    for number in range(self.unfinished)]
        for block in STORE_BLOCKS:
            self.platform.store.block = block
            await asyncio.sleep(self.seconds / len(STORE_BLOCKS))
        self.platform.store.block = b""
        await asyncio.gather(*callers)
        for target in self.platform.targets:
            target.mode = "ok"
        await asyncio.sleep(SETTLE_S)
        await check_recovery(self.oracle, options.seed)

    def flood_targets(self):
        sound = {}
        for target in self.platform.targets:
            sound[target.service] = sound.get(target.service, 0) + 1
            if sound[target.service] > SOUND_COPIES:
                target.mode = "flood"

    async def call(self, number, until):
        """Sends requests with long bodies, one after the other."""
        path, pieces = (("/find/x", ""), ("/book/x", ""), ("/chat/x", "2,1"),
                        ("/note/x", "1,2"))[number % 4]
        entry = self.oracle.fleet[number // 4 % len(self.oracle.fleet)]
        while self.oracle.now() < until:
            sent = self.caller.new_request(path.split("/")[1], entry)
            self.oracle.log.pieces[sent.request_id] = \
                [int(count) for count in pieces.split(",") if count]
            try:
                await asyncio.wait_for(
                    self.send_long(entry, sent.request_id, path, pieces,
                                   is_slow=number >= self.callers),
                    BUDGET_MS / 1000 + 1)
            except (asyncio.TimeoutError, OSError, wire.ConnectionClosed):
                self.statuses.append(0)
            await asyncio.sleep(0.05)

    async def send_head(self, number, until):
        """Sends a head that does not end, again after each refusal."""
        entry = self.oracle.fleet[number % len(self.oracle.fleet)]
        host, port = entry.frontend.rsplit(":", 1)
        await asyncio.sleep(number / HEADS_PER_S)
        while self.oracle.now() < until:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /find/x HTTP/1.1\r\nHost: h.example\r\n"
                             b"X-Long: " + b"a" * HEAD_BYTES)
                await asyncio.wait_for(reader.read(1), BUDGET_MS / 1000 + 1)
                writer.close()
            except (asyncio.TimeoutError, OSError):
                pass
            await asyncio.sleep(0.05)

    async def send_long(self, entry, request_id, path, pieces, is_slow):
        host, port = entry.frontend.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=4096 if is_slow else 1 << 20)
        try:
            writer.write((
                f"POST {path} HTTP/1.1\r\nHost: h.example\r\n"
                f"X-Mangofold-Request-Id: {request_id}\r\n"
                f"X-Mangofold-Time-Budget-Ms: {BUDGET_MS}\r\n"
                f"X-Mangofold-Piece-Key: key-{request_id}\r\n"
                f"X-Mangofold-Pieces: {pieces}\r\n"
                "X-Mangofold-Token-Count: 120,40\r\n"
                "Authorization: Bearer always\r\n"
                f"Content-Length: {len(self.body)}\r\n\r\n").encode() + self.body)
            await writer.drain()
            if is_slow:
                await asyncio.sleep(BUDGET_MS / 1000)
            head = await wire.read_head(reader)
            self.statuses.append(int(head.start_line.split()[1]))
        finally:
            wire.reset(writer)

    def check(self):
        counts = {status: self.statuses.count(status)
                  for status in sorted(set(self.statuses))}
        print(f"answers by status, 0 for none: {counts}")
        for entry in self.oracle.fleet:
            print(f"{entry.name}: {entry.peak_memory_mb:.0f} of {MEMORY_MB} MB")
            if entry.peak_memory_mb > MEMORY_MB:
                self.oracle.faults.append(
                    f"{entry.name} took {entry.peak_memory_mb:.0f} MB")
            self.oracle.faults += [f"{entry.name} exited: {text}"
                                   for text in entry.unexpected_exits]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    add_options(parser)
    parser.add_argument("--seconds", type=float, default=9)
    parser.add_argument("--callers", type=int, default=60)
    parser.add_argument("--slow-callers", type=int, default=20,
                        help="callers that read their answers slowly")
    parser.add_argument("--unfinished-heads", type=int, default=0,
                        help="connections with a head that does not end")
    parser.add_argument("--body-bytes", type=int, default=300_000)
    options = parser.parse_args()
    options.copies = COPIES
    platform = PlatformStandin(options.base, options.seed)
    platform.store = FloodingStore()
    run_in_folder(options, platform, lambda platform, oracle:
                  EndlessBytes(platform, oracle, options))


if __name__ == "__main__":
    main()
