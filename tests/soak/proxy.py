"""A loopback proxy that disturbs the connections it forwards."""

import asyncio
import re


class Link:
    """The network link of a process, shared by all its connections."""

    def __init__(self, bytes_per_s=0):
        self.bytes_per_s = bytes_per_s  # 0: not limited.
        self.free_at = 0.0
        self.carried = 0

    async def carry(self, count):
        self.carried += count
        if not self.bytes_per_s:
            return
        now = asyncio.get_running_loop().time()
        self.free_at = max(now, self.free_at) + count / self.bytes_per_s
        await asyncio.sleep(self.free_at - now)


class Proxy:
    """Forwards connections from one address to another.

    Modes: "open" forwards; "cut" refuses new connections and resets open
    ones; "silent" accepts connections and forwards nothing; "deaf" forwards
    the client's bytes and drops the target's.

    `there` is the link to the target, `back` the link to the client. If
    `callers` has a link for the first address in the client's first bytes,
    that link is used instead of `back`.
    """

    def __init__(self, address, target, there=None, back=None, callers=None):
        self.there = there or Link()
        self.back = back or Link()
        self.callers = callers or {}
        self.address = address
        self.target = target
        self.mode = "open"
        self.delay = 0.0
        self.writers = set()
        self.server = None

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._accept, host, int(port))

    def set_mode(self, mode):
        self.mode = mode
        if mode == "cut":
            self.reset()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        try:
            await self._forward(reader, writer)
        except asyncio.CancelledError:
            pass  # The run is over.

    async def _forward(self, reader, writer):
        if self.mode == "cut":
            writer.transport.abort()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            there, out = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, out}
        first = await reader.read(4096)
        back = self._link_of(first)
        out.write(first)
        await asyncio.gather(self._pump(reader, out, self.there, False),
                             self._pump(there, writer, back, True))
        self.writers -= {writer, out}

    def _link_of(self, first):
        told = re.search(rb"127\.0\.0\.1:\d+", first)
        address = told[0].decode() if told else ""
        return self.callers.get(address, self.back)

    async def _pump(self, reader, writer, link, is_answer):
        try:
            while data := await reader.read(
                    8192 if link.bytes_per_s else 65536):
                await link.carry(len(data))
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                if self.mode == "deaf" and is_answer:
                    continue
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, RuntimeError):
            writer.transport.abort()
