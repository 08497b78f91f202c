"""One target as a process, to be killed while it answers.

It takes the address as soon as that is free, and appends a line to the log at
the begin and at the end of each run. SIGTERM tells it to leave.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import sys
import time

import wire

PART_COUNT = 8  # In a complete answer.
PART_INTERVAL_S = (0.01, 0.05)
SPLIT_SHARE = 0.2  # Of the parts, which are written in two pieces.
SPLIT_INTERVAL_S = 0.01
FRAMINGS = ("chunks", "length", "none", "close")
LEAVING_S = 1.0  # From SIGTERM, as long as requests may arrive.
IDLE_S = (0.2, 0.5)  # From the last answer to the exit.
BIND_INTERVAL_S = 0.00005
PROBE_PATHS = ("/healthz", "/api/report")


def listen(address):
    """Listens at an address as soon as it is free."""
    host, port = address.rsplit(":", 1)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    while True:
        try:
            listener.bind((host, int(port)))
            listener.listen(100)
            return listener
        except OSError:
            time.sleep(BIND_INTERVAL_S)


class TargetProcess:
    def __init__(self, options):
        self.id = options.id
        self.version = options.version
        self.is_engine = options.engine
        self.log = os.open(options.log,
                           os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        # Some answer each probe and only state who they are.
        self.answers_any_probe = random.random() < 0.5
        self.runs = self.running = 0
        self.last_end = 0.0

    def record(self, **fields):
        os.write(self.log, (json.dumps(fields) + "\n").encode())

    async def serve(self, listener):
        loop = asyncio.get_running_loop()
        loop.add_reader(sys.stdin, sys.exit)  # The soak has ended.
        leaving = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, leaving.set)
        await wire.serve(listener, self.handle)
        print("served", flush=True)
        await leaving.wait()
        await asyncio.sleep(LEAVING_S)
        idle_s = random.uniform(*IDLE_S)
        while self.running or time.monotonic() < self.last_end + idle_s:
            await asyncio.sleep(0.01)

    async def handle(self, message, writer):
        path = message.start_line.split()[1]
        is_probe = path in PROBE_PATHS
        fields = {"X-Mangofold-Instance-Id": self.id,
                  "X-Mangofold-Request-Id":
                  message.field("x-mangofold-request-id")}
        addressed = message.field("x-mangofold-target-instance", self.id)
        if addressed != self.id and \
                not (is_probe and self.answers_any_probe):
            writer.write(wire.serialize_response(421, **fields))
        elif is_probe:
            writer.write(wire.serialize_response(200, b"{}", **fields))
        else:
            self.running += 1
            try:
                await self.answer(message, writer, fields)
            finally:
                self.running -= 1
                self.last_end = time.monotonic()

    def parts(self, request_id, run, first):
        for number in range(first, PART_COUNT + 1):
            yield (f"id: {number}\n"
                   f"data: {request_id}.{number}.{self.version}\n\n"
                   if self.is_engine else
                   f"<{number} {request_id} {run}>").encode()

    async def answer(self, message, writer, fields):
        request_id = fields["X-Mangofold-Request-Id"]
        first = int(message.field("last-event-id") or 0) + 1
        framing = random.choice(FRAMINGS)
        self.runs += 1
        run = f"{self.id}.{os.getpid()}.{self.runs}"
        self.record(run=run, request=request_id, first=first, framing=framing)
        parts = list(self.parts(request_id, run, first))
        head = ["HTTP/1.1 200 OK", "X-Mangofold-Response-Seal: s",
                *(f"{name}: {value}" for name, value in fields.items())]
        if self.is_engine:
            head.append("Content-Type: text/event-stream")
        head += {"chunks": ["Transfer-Encoding: chunked"],
                 "length": [f"Content-Length: {sum(map(len, parts))}"],
                 "none": [], "close": ["Connection: close"]}[framing]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for part in parts:
            await asyncio.sleep(random.uniform(*PART_INTERVAL_S))
            data = wire.chunk(part) if framing == "chunks" else part
            if random.random() < SPLIT_SHARE:
                size = random.randrange(1, len(data))
                writer.write(data[:size])
                await asyncio.sleep(SPLIT_INTERVAL_S)
                data = data[size:]
            writer.write(data)
            await writer.drain()
        if framing == "chunks":
            writer.write(b"0\r\n\r\n")
        self.record(run=run, last=PART_COUNT, at=time.monotonic())
        if framing in ("none", "close"):
            writer.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("id")
    parser.add_argument("version")
    parser.add_argument("log")
    parser.add_argument("--engine", action="store_true")
    parser.add_argument("--seed", default="")
    options = parser.parse_args()
    random.seed(options.seed)
    target = TargetProcess(options)
    print("started", flush=True)
    asyncio.run(target.serve(listen(options.address)))


if __name__ == "__main__":
    main()
