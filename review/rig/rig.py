"""Stand-ins of the platform for the scripts of the second review.

A store, plain servers, clients and the project's entry, all on loopback. The
store serves the read API of PROTOCOL.md; the servers answer as its section
"Servers" says, unless a case tells one of them otherwise.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
ENTRY = os.path.join(ROOT, "target", "bin", "mangofold-platform-entry")
KEEPER = os.path.join(ROOT, "target", "bin", "mangofold-platform-keeper")
# As the settings and the sheet of a small deployment state them.
CONFIG_S = 2.0
TOUCH_S = 3.0
GRACE_S = 8
KEY = "9dnn2ctnfzs989anu6ws"


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_address(host="127.0.0.1"):
    return f"{host}:{free_port(host)}"


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def reset(writer):
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
    writer.transport.abort()


class Message:
    """A request or a response."""

    def __init__(self, start_line, fields, body=b""):
        self.start_line = start_line
        self.fields = fields  # Lower-case name -> value
        self.body = body

    def field(self, name, default=""):
        return self.fields.get(name.lower(), default)

    @property
    def status(self):
        return int(self.start_line.split()[1])

    @property
    def path(self):
        return self.start_line.split()[1]


class Closed(Exception):
    """The peer closed or reset the connection."""


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError) as error:
        raise Closed(type(error).__name__) from error
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
    return Message(lines[0], fields)


async def read_body(reader, message):
    try:
        if "chunked" in message.field("transfer-encoding"):
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return
                message.body += data[:-2]
        else:
            message.body = await reader.readexactly(
                int(message.field("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError,
            ValueError) as error:
        raise Closed(type(error).__name__) from error


def serialize(start_line, fields, body=b"", has_length=True):
    lines = [start_line]
    if has_length:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started_at

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Listener:
    """Accepts connections and hands each message to handle()."""

    def __init__(self, address):
        self.address = address
        self.server = None
        self.writers = set()

    async def listen(self):
        host, port = split(self.address)
        self.server = await asyncio.start_server(self._serve, host, port,
                                                 limit=1 << 23)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                await read_body(reader, message)
                await self.handle(message, writer)
                await writer.drain()
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, message, writer):
        raise NotImplementedError

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


class Store(Listener):
    """The platform's store."""

    PAGE = 500
    HISTORY_S = 20

    def __init__(self, address):
        super().__init__(address)
        self.items = {}
        self.revision = 10
        self.events = []  # (time, event)
        self.dropped_revision = 10
        self.changed = asyncio.Event()

    def _note(self, event):
        now = time.monotonic()
        self.events.append((now, event))
        while self.events and self.events[0][0] < now - self.HISTORY_S:
            self.dropped_revision = self.events.pop(0)[1]["rev"]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        data = value if isinstance(value, bytes) else \
            json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["create_rev"] if key in self.items \
            else self.revision
        item = {"key": key, "value": base64.b64encode(data).decode(),
                "rev": self.revision, "create_rev": created, "lease": 0}
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "rev": self.revision, "removed": True})

    async def handle(self, message, writer):
        url = urlsplit(message.path)
        query = {name: value[0] for name, value in
                 parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/api/kv-range":
            answer = self._range(query)
        elif url.path == "/api/kv-watch":
            answer = await self._watch(query)
        else:
            item = self.items.get(query.get("key"))
            answer = (200, {**item, "current_rev": self.revision}) if item \
                else (404, {})
        body = json.dumps(answer[1]).encode()
        writer.write(serialize(f"HTTP/1.1 {answer[0]} X",
                               {"Content-Type": "application/json"}, body))

    def _range(self, query):
        keys = sorted(key for key in self.items
                      if key.startswith(query.get("prefix", "")) and
                      key > query.get("after", ""))
        return 200, {"items": [self.items[key] for key in keys[:self.PAGE]],
                     "more_pages": len(keys) > self.PAGE,
                     "current_rev": self.revision}

    async def _watch(self, query):
        after = int(query.get("after", 0))
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if after < self.dropped_revision:
                return 410, {}
            events = [event for _, event in self.events
                      if event["rev"] > after and
                      event["key"].startswith(query.get("prefix", ""))]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass


class Server(Listener):
    """A sound server of a plain service; a case may override work()."""

    def __init__(self, record, service, address, server_id, zone="akl-a",
                 work_s=0.03, capacity=6):
        super().__init__(address)
        self.record = record
        self.service = service
        self.id = server_id
        self.zone = zone
        self.work_s = work_s
        self.capacity = capacity
        self.running = 0
        self.runs = []  # (time, request id)

    def entry(self, state="ready"):
        return {"backend": self.service, "address": self.address,
                "zone": self.zone, "version": "v1",
                "capacity": self.capacity, "state": state,
                "warmup_left_ms": 0, "sequence": 1}

    def answer(self, message, status, body=b"", **fields):
        return serialize(
            f"HTTP/1.1 {status} X",
            {"X-Mangofold-Request-Id":
             message.field("x-mangofold-request-id"),
             "Keep-Alive": "timeout=5",
             **{name.replace("_", "-"): value
                for name, value in fields.items()}}, body)

    def note_run(self, message):
        request_id = message.field("x-mangofold-request-id")
        self.runs.append((time.monotonic(), request_id))
        self.record.add(f"server {self.id} runs {request_id} "
                        f"({len(message.body)} B of body)")

    async def handle(self, message, writer):
        expected = message.field("x-mangofold-target-instance")
        if expected and expected != self.id:
            writer.write(self.answer(message, 421))
            return
        await self.work(message, writer)

    async def work(self, message, writer):
        self.note_run(message)
        await asyncio.sleep(self.work_s)
        writer.write(self.answer(message, 200, b"x" * 800,
                                 X_Mangofold_Response_Seal=f"seal-{self.id}"))


class Entry:
    """One process of the role `entry`, with settings of a small site."""

    def __init__(self, record, folder, number, store_address, seeds, control,
                 zone="akl-a", keeper_port=0, memory_mb=260):
        self.record = record
        self.name = f"edge-{zone}-{number}"
        self.host = split(control)[0]
        self.frontend = free_address(self.host)
        self.readiness = free_address(self.host)
        self.control = control
        self.path = os.path.join(folder, self.name + ".toml")
        self.log_path = os.path.join(folder, self.name + ".log")
        self.process = None
        text = f"""node_name = "{self.name}"
role = "entry"
machine_class = "edge"
serves = ["edge","control"]
ip = "{self.host}"
zone = "{zone}"
region = "nz-north"
internal_ports = [{keeper_port},{keeper_port}]
seeds = {json.dumps(seeds)}
bootstrap = true
heartbeat_ms = 1200
[bind]
frontend = "{self.frontend}"
readiness = "{self.readiness}"
control_plane = "{self.control}"
[limits]
cpu_share = 0.19
cpu_cores = 1
memory_mb = {memory_mb}
max_fds = 4200
[bounds]
drain_ms = 2000
grace_s = {GRACE_S}
config_ms = 2000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
[platform]
address = "{store_address}"
"""
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [ENTRY], cwd=ROOT, stdout=log, stderr=log,
                env={**os.environ, "MANGOFOLD_CONFIG": self.path})
        self.record.add(f"{self.name} started, callers at {self.frontend}")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                *split(self.readiness))
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)
            self.record.add(f"{self.name} gets "
                            f"{signal.Signals(number).name}")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def start_entries(record, folder, count, store_address, **options):
    controls = [free_address() for _ in range(count)]
    entries = [Entry(record, folder, number, store_address, controls[:3],
                     control, **options)
               for number, control in enumerate(controls)]
    try:
        for entry in entries:
            entry.start()
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all([await entry.is_ready() for entry in entries]):
                return entries
        raise CannotRun("the entries did not become ready")
    except BaseException:
        for entry in entries:
            entry.end()
        raise


class Client:
    """One kept connection of a client; one request at a time."""

    def __init__(self, record, entry, host_name):
        self.record = record
        self.entry = entry
        self.host_name = host_name
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            *split(self.entry.frontend), limit=1 << 23)

    async def request(self, request_id, method, path, body=b"", budget_ms=1500,
                      **fields):
        """Returns the response, or None if the connection ended before it."""
        if self.writer is None:
            await self.open()
        self.record.add(f"{request_id} sent to {self.entry.name}: {method} "
                        f"{path}, {len(body)} B")
        head = {"Host": self.host_name,
                "X-Mangofold-Request-Id": request_id,
                "X-Mangofold-Time-Budget-Ms": budget_ms,
                "Authorization": f"Bearer {KEY}",
                **{name.replace("_", "-"): value
                   for name, value in fields.items()}}
        try:
            self.writer.write(serialize(f"{method} {path} HTTP/1.1", head,
                                        body))
            answer = await asyncio.wait_for(self._read(),
                                            budget_ms / 1000 + 1)
        except (Closed, ConnectionError) as error:
            self.record.add(f"{request_id}: no answer, {error}")
            self.close()
            return None
        except asyncio.TimeoutError:
            self.record.add(f"{request_id}: no answer, deadline")
            self.close()
            return None
        seal = answer.field("x-mangofold-response-seal", "none")
        self.record.add(f"{request_id}: {answer.status}, seal {seal}, "
                        f"{len(answer.body)} B {answer.body[:40]!r}"
                        if answer.status != 200 else
                        f"{request_id}: 200, seal {seal}, "
                        f"{len(answer.body)} B")
        if answer.field("connection") == "close":
            self.close()
        return answer

    async def _read(self):
        answer = await read_head(self.reader)
        await read_body(self.reader, answer)
        return answer

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder):
    """Runs case(record, temporary folder); it returns what broke the rule."""
    record = Record(folder)
    # A script that is told to stop ends what it started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record.add("with the disruption" if has_trouble() else
               "without the disruption")

    async def run():
        for program in (ENTRY, KEEPER):
            if not os.access(program, os.X_OK):
                raise CannotRun(f"{os.path.basename(program)} is not built")
        with tempfile.TemporaryDirectory() as temporary:
            return await asyncio.wait_for(case(record, temporary), 110)

    try:
        breaks = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in breaks:
        record.add(f"BROKEN {text}")
        print(f"BROKEN {text}")
    verdict = "broken" if breaks else "held"
    record.add(f"the rule was {verdict}")
    print(f"the rule was {verdict}")
    sys.exit(1 if breaks else 0)
