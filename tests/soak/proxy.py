"""A loopback proxy that harms the connections through it."""

import asyncio


class Proxy:
    """Forwards connections from one address to another.

    mode: "open"; "cut" refuses and resets; "silent" takes connections and
    passes nothing on; "deaf" passes on what the caller sends and loses the
    answers.
    """

    def __init__(self, address, target):
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
        await asyncio.gather(self._pump(reader, out, False),
                             self._pump(there, writer, True))
        self.writers -= {writer, out}

    async def _pump(self, reader, writer, is_answer):
        try:
            while data := await reader.read(65536):
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
