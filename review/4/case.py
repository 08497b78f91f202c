"""An entry releases results at an address that another service has by then."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "rig"))
import rig  # noqa: E402

HOST = "pule25.example"
REQUESTS = 10
STAGE_SERVERS = 7  # One of them is replaced: a share of 0.143.
ENGINES = 4
HEARTBEAT_S = 1.2
REUSE_AFTER_S = 2.0
# From the arrival at an engine to the first event: late, but well within the
# patience of the clients (four times the objective of 1,900 ms).
FIRST_EVENT_S = 2.8


def configuration(version):
    return {
        "version": version,
        "routes": [{"name": "r-note", "host": HOST, "prefix": "/puxa400/",
                    "route_type": "streaming", "timeout_ms": 6000,
                    "target_latency_ms": 1900, "priority": 0,
                    "backend": "huvo11a", "max_attempts": 1,
                    "stages": [{"backend": "kafi81c", "after": [],
                                "bytes": 8000}],
                    "public": False, "affinity": True,
                    "stream_resume": False, "gap_aim_ms": 300},
                   {"name": "r-book", "host": HOST, "prefix": "/bobo563/",
                    "route_type": "non_idempotent", "timeout_ms": 1500,
                    "target_latency_ms": 150, "priority": 2,
                    "backend": "wuno96b", "max_attempts": 1,
                    "public": False}],
        "backends": [{"name": "huvo11a", "health_check": "/healthz",
                      "max_connections": 490, "protocol": "h1", "tls": False,
                      "engine": {"capacity": 96, "kv_tokens": 444000}},
                     {"name": "kafi81c", "health_check": "/healthz",
                      "max_connections": 490, "protocol": "h1", "tls": False,
                      "pieces": {"capacity": 1, "queue": 2, "batch": 16,
                                 "call_ms": 200.0, "item_ms": 11.0,
                                 "room_mb": 36.0, "handle_s": 4.0,
                                 "link_mbps": 10000}},
                     {"name": "wuno96b", "health_check": "/healthz",
                      "max_connections": 100, "protocol": "h1",
                      "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "bozi300", "api_keys": [rig.KEY],
                     "priority": 1}]}


class StageServer(rig.Server):
    """Makes the results of a stage, 200 ms a call and 11 ms a piece."""

    results = 0

    async def work(self, message, writer):
        body = rig.json.loads(message.body)
        if "handles" in body:
            self.record.add(f"server {self.id} frees {body['handles']}")
            writer.write(self.answer(message, 200, b"{}"))
            return
        await asyncio.sleep(0.2 + 0.011 * len(body["items"]))
        items = []
        for item in body["items"]:
            self.results += 1
            items.append({"handle": f"{self.address}/{self.results:x}"})
        self.record.add(f"server {self.id} makes {len(items)} results")
        writer.write(self.answer(
            message, 200, rig.json.dumps({"items": items}).encode(),
            Content_Type="application/json",
            X_Mangofold_Server_Load="0,0,1"))


class Engine(rig.Server):
    """Fetches the inputs at once; its first event comes late."""

    arrived = None  # Set by the case.

    async def work(self, message, writer):
        self.note_run(message)
        self.arrived.set()
        await asyncio.sleep(FIRST_EVENT_S)
        writer.write(rig.serialize(
            "HTTP/1.1 200 OK",
            {"X-Mangofold-Request-Id":
             message.field("x-mangofold-request-id"),
             "X-Mangofold-Response-Seal": f"seal-{self.id}",
             "Content-Type": "text/event-stream",
             "Transfer-Encoding": "chunked"}, has_length=False))
        for number in range(1, 7):
            event = f"id: {number}\ndata: {'t' * 30}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")


class BookingServer(rig.Server):
    """Takes the address over; runs what doesn't name another server."""

    foreign = ()

    async def work(self, message, writer):
        request_id = message.field("x-mangofold-request-id")
        self.foreign = (*self.foreign, (
            request_id, message.start_line,
            "X-Mangofold-Target-Instance: " +
            message.field("x-mangofold-target-instance", "none")))
        self.record.add(f"server {self.id} (wuno96b) gets "
                        f"{self.foreign[-1]} {message.body[:60]!r}")
        await super().work(message, writer)


async def replace(record, store, servers):
    """The stage server with most results crashes; its address is reused."""
    victim = max(servers, key=lambda server: server.results)
    victim.close()
    record.add(f"server {victim.id} (kafi81c) at {victim.address} crashes")
    await asyncio.sleep(REUSE_AFTER_S + 0.1)
    heir = BookingServer(record, "wuno96b", victim.address, "i-02d9e6b4")
    await heir.listen()
    store.put(f"servers/{heir.id}", heir.entry())
    record.add(f"server {heir.id} (wuno96b) starts at {heir.address}")
    await asyncio.sleep(3 * HEARTBEAT_S - REUSE_AFTER_S - 0.1)
    store.remove(f"servers/{victim.id}")
    record.add(f"the entry of {victim.id} expires")
    return heir


async def case(record, folder):
    store = rig.Store(rig.free_address())
    await store.listen()
    stage_servers = [StageServer(record, "kafi81c", rig.free_address(),
                                 f"i-5c1e07a{number}", capacity=1)
                     for number in range(STAGE_SERVERS)]
    engines = [Engine(record, "huvo11a", rig.free_address(),
                      f"i-7f3a91c{number}", capacity=96)
               for number in range(ENGINES)]
    arrived = asyncio.Event()
    for engine in engines:
        engine.arrived = arrived
    for server in (*stage_servers, *engines):
        await server.listen()
        store.put(f"servers/{server.id}", server.entry())
    store.put("op/config", configuration(7))
    entries = await rig.start_entries(record, folder, 2, store.address)
    sent_ids = [f"{number:016x}" for number in range(1, REQUESTS + 1)]
    heir = None
    try:
        await asyncio.sleep(rig.TOUCH_S)

        async def send(number, request_id):
            client = rig.Client(record, entries[number % 2], HOST)
            answer = await client.request(
                request_id, "POST", "/puxa400/2f", b"note", budget_ms=6000,
                X_Mangofold_Pieces="1", X_Mangofold_Piece_Key="7c1e07a291bd",
                X_Mangofold_Model="m", X_Mangofold_Token_Count="2368,60",
                X_Mangofold_Prompt_Prefix="5c1e07a2:568,e4402b7d:1800")
            client.close()
            return answer is not None and answer.status == 200

        requests = [asyncio.create_task(send(number, request_id))
                    for number, request_id in enumerate(sent_ids)]
        await asyncio.wait_for(arrived.wait(), 5)
        await asyncio.sleep(0.1)
        if rig.has_trouble():
            heir = await replace(record, store, stage_servers)
        served = sum(await asyncio.gather(*requests))
        await asyncio.sleep(1)
        record.add(f"{served} of {REQUESTS} requests were served")
        if served == 0:
            raise rig.CannotRun("no request was served")
    finally:
        for entry in entries:
            entry.end()
        for listener in (store, heir, *stage_servers, *engines):
            if listener:
                listener.close()
    foreign = heir.foreign if heir else ()
    return [f"UNASKED server {heir.id} of wuno96b ran {' '.join(found)}: no "
            "client sent that id" for found in foreign
            if found[0] not in sent_ids]


rig.main(case, FOLDER)
