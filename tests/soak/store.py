"""Stand-in for the platform's key-value store: the read API of PROTOCOL."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

import wire

PAGE_SIZE = 5  # Small, so that lists of a few targets are paged.
HISTORY_SIZE = 40  # Events kept; a watch that is further behind gets 410.


# Keeps records by key, with a history of changes for watches.
class Store:
    def __init__(self):
        self.items = {}
        self.revision = 1
        self.events = []
        self.changed = asyncio.Event()
        self.is_down = False
        self.is_muted = False  # Changes meanwhile are not sent to watches.
        # The newest revision that watches may have received.
        self.notified_revision = 1

    def _record_event(self, event):
        if self.is_muted:
            return
        self.notified_revision = self.revision
        self.events = (self.events + [event])[-HISTORY_SIZE:]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Writes a value as JSON; bytes are written unchanged."""
        self.revision += 1
        value_bytes = value if isinstance(value, bytes) \
            else json.dumps(value).encode()
        encoded = base64.b64encode(value_bytes).decode()
        create_revision = self.items.get(key, {}).get("create_rev",
                                                      self.revision)
        self.items[key] = {"key": key, "value": encoded, "rev": self.revision,
                           "create_rev": create_revision, "lease": 0}
        self._record_event(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._record_event({"key": key, "rev": self.revision,
                                "removed": True})

    def drop_history(self):
        """Drops the history, with the changes that watches have missed."""
        self.is_muted = False
        self.notified_revision = self.revision
        self.events = []
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, message, writer):
        if self.is_down:
            writer.write(wire.serialize_response(503))
            return
        url = urlsplit(message.start_line.split()[1])
        query = {name: value[0] for name, value in parse_qs(url.query).items()}
        handlers = {"/api/kv-key": self._key, "/api/kv-range": self._range,
                 "/api/kv-watch": self._watch}
        status, body = await handlers[url.path](query)
        writer.write(wire.serialize_response(
            status, json.dumps(body).encode(),
            Content_Type="application/json"))

    async def _key(self, query):
        item = self.items.get(query["key"])
        if item is None:
            return 404, {}
        return 200, {**item, "current_rev": self.revision}

    async def _range(self, query):
        keys = sorted(key for key in self.items
                      if key.startswith(query["prefix"])
                      and key > query.get("after", ""))
        return 200, {"items": [self.items[key] for key in keys[:PAGE_SIZE]],
                     "more_pages": len(keys) > PAGE_SIZE,
                     "current_rev": self.revision}

    async def _watch(self, query):
        after = int(query["after"])
        deadline = asyncio.get_running_loop().time() + \
            int(query["wait_ms"]) / 1000
        while True:
            # Dropped events can't be told apart from events that never were.
            oldest = self.events[0]["rev"] if self.events \
                else self.notified_revision + 1
            if after + 1 < oldest and after < self.notified_revision:
                return 410, {}
            events = [event for event in self.events if event["rev"] > after
                      and event["key"].startswith(query.get("prefix", ""))]
            left_s = deadline - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {"events": events,
                             "current_rev": self.notified_revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass
