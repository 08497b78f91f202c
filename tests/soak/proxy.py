"""A loopback proxy that harms the connections through it."""

import asyncio
import re


class Link:
    """The way to one process, which all its connections share."""

    def __init__(self, bytes_per_s=0):
        self.bytes_per_s = bytes_per_s  # 0: as fast as the machine.
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

    mode: "open"; "cut" refuses and resets; "silent" takes connections and
    passes nothing on; "deaf" passes on what the caller sends and loses the
    answers. `there` is the link to the target; `back` the one to whoever
    connects, found by the address that it tells first where `callers` knows it.
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
