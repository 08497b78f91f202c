"""Resets all connections of all entries in one moment, twice, while streams
that are taken up wait for their stages: beside an entry that is cut off or
stopped, engines that crash, and a release. Nine tenths of the take-ups with
time left must go on, and each must have one last line in the logs.
"""

import argparse
import asyncio
import collections
import json
import random
import socket
import threading

from callers import REQUEST_KINDS, Connection
from disorder import reset_all_connections
from fleet import Entry
from pace import MEAN_FACTOR
from total_loss import TotalLoss, add_options, run_in_folder
from world import PlatformStandin

COPIES = 5  # Of each target, but for engines.
ENGINES = 8
STREAMS = 40
BUDGET_S = 15.0  # Of a stream's caller, from its first request on.
OWED_LEFT_S = 3.0
MIN_SHARE = 0.9
MIN_TAKE_UPS = STREAMS  # To judge their share.
TRIES = 4  # Of a caller, for what entries refuse.
NEW_TRY_S = 0.05
BEGIN_S = 3.5  # By then, most streams have events.
DISTURBED_S = 4.0  # How long an entry is cut off or stopped.
UNTIL_CRASH_S = 1.0
CRASHES = 4
MIN_ENGINES = 2  # Of each version, that crashes leave.
UNTIL_RESET_S = 0.3  # From the crashes on.
RESET_GAP_S = (0.5, 1.5)
# Slow stages, so that streams that are taken up wait for them.
CALL_S = 0.3
SLOW_CALLS = {"batch": 4, "call_ms": CALL_S * 1000, "item_ms": 0.0}
LATENCIES_MS = {"chat": 1500, "note": 6000}
# By stage; the later one has most to do, so that it has a backlog.
PIECES = {"chat": [2, 4], "note": [1, 6]}
LOAD = 1.2  # Of what the stages can do, by requests of another route.
LOAD_BEGIN_S = 2.0
LOAD_END_S = 7.0
NOTE_BUDGET_S = 6.0
LAST_LINES_S = 1.5  # Until entries have noticed that callers left.
COLLECTED_BYTES = 8192  # Of each write to the log.


class Platform(PlatformStandin):
    def __init__(self, base, seed):
        super().__init__(base, seed)
        self.allow_long_streams()
        self.log.longest_stream_s = 0  # Engines in mode "slow" last long.

    def configuration(self):
        content = super().configuration()
        for route in content["routes"]:
            route["target_latency_ms"] = LATENCIES_MS.get(
                route["name"], route["target_latency_ms"])
        for service in content["backends"]:
            if "pieces" in service:
                service["pieces"].update(SLOW_CALLS)
        return content

    async def add_target(self, service, *arguments, **named_arguments):
        target = await super().add_target(service, *arguments,
                                          **named_arguments)
        if service in ("encode", "rank"):
            target.call_s = CALL_S
        return target

    def note_rate(self):
        """Returns the notes per second that make up LOAD."""
        return LOAD / PIECES["note"][-1] / MEAN_FACTOR * sum(
            SLOW_CALLS["batch"] / CALL_S / target.pace.speed
            for target in self.targets if target.service == "rank")


class CollectedEntry(Entry):
    """An entry whose log goes to a collector that takes each write as one
    message and keeps only its first bytes."""

    def open_log(self):
        collector, log = socket.socketpair(socket.AF_UNIX,
                                           socket.SOCK_SEQPACKET)
        threading.Thread(target=self._collect, args=(collector,),
                         daemon=True).start()
        return log

    def _collect(self, collector):
        with collector, open(self.log_path, "ab", buffering=0) as file:
            while data := collector.recv(COLLECTED_BYTES):
                file.write(data)


class ConnectionResets(TotalLoss):
    def __init__(self, platform, oracle, seed, beside):
        super().__init__(platform, oracle, seed)
        self.beside = beside
        self.take_ups = []
        self.judged = []  # Whether each take-up with time left went on.
        self.refusals = collections.Counter()

    async def run_all(self, options):
        self.oracle.targets_undisturbed_since = self.oracle.now()
        for number in range(COPIES, ENGINES):
            await self.platform.add_target("models", "ab"[number % 2])
        for wave in range(options.waves):
            await self.run_wave(f"{options.seed}.{wave}", wave % 2)
        await asyncio.sleep(LAST_LINES_S)

    async def run_wave(self, seed, resets_before_crash):
        self.slow_engines()
        load = asyncio.create_task(self.send_notes(random.Random(seed)))
        streams = [asyncio.create_task(self.stream())
                   for _ in range(STREAMS)]
        await asyncio.sleep(BEGIN_S)
        disturbances = [
            asyncio.create_task(self.disturb_entry()),
            asyncio.create_task(self.platform.replace(
                self.random.choice(self.engines()), self.oracle.draining))]
        await asyncio.sleep(UNTIL_CRASH_S)
        self.slow_engines()
        for has_crashes in (not resets_before_crash, resets_before_crash):
            if has_crashes:
                disturbances += self.crash_engines()
                await asyncio.sleep(UNTIL_RESET_S)
            reset_all_connections(self.platform, self.oracle)
            await asyncio.sleep(self.random.uniform(*RESET_GAP_S))
        await asyncio.gather(load, *disturbances, *streams)

    def crash_engines(self):
        crashes = []
        for engine in self.random.sample(self.engines(), len(self.engines())):
            if len(crashes) < CRASHES and engine.state == "ready" \
                    and self.count_engines(engine.version) > MIN_ENGINES:
                engine.mode = "gone"
                crashes.append(asyncio.create_task(
                    self.platform.crash(engine, 0.5)))
        return crashes

    def slow_engines(self):
        for engine in self.engines():
            if engine.mode == "ok":
                engine.mode = "slow"

    def count_engines(self, version):
        return sum(engine.version == version and engine.mode != "gone"
                   and engine.state == "ready" for engine in self.engines())

    async def send_notes(self, randomness):
        until = self.oracle.now() + LOAD_END_S
        await asyncio.sleep(LOAD_BEGIN_S)
        requests = []
        while self.oracle.now() < until:
            await asyncio.sleep(randomness.expovariate(
                self.platform.note_rate()))
            requests.append(asyncio.create_task(
                self.send(budget_s=NOTE_BUDGET_S, kind="note")))
        await asyncio.gather(*requests)

    async def disturb_entry(self):
        entry = self.random.choice(self.oracle.fleet)
        if self.beside == "stopped":
            await entry.pause(DISTURBED_S)
            return
        entry.begin_disturbance()
        for connection in list(self.oracle.connections):
            if connection.entry is entry:
                connection.reset()
        proxies = (entry.peer_proxy, entry.store_proxy)
        for proxy in proxies:
            proxy.set_mode("cut")
        await asyncio.sleep(DISTURBED_S)
        for proxy in proxies:
            proxy.set_mode("open")
        entry.end_disturbance()

    async def send(self, stream_of=None, budget_s=BUDGET_S, kind="chat"):
        """Sends a request for a stream, a new one or that of a request."""
        entry = self.random.choice([entry for entry in self.oracle.fleet
                                    if not entry.disturbance_count])
        sent = self.caller.new_request(kind, entry)
        sent.budget_s = budget_s
        method, _, fields = REQUEST_KINDS[kind]
        fields = {**fields, "Authorization": "Bearer always"}
        self.oracle.log.pieces[sent.request_id] = PIECES[kind]
        fields["X-Mangofold-Pieces"] = ",".join(map(str, PIECES[kind]))
        if stream_of:
            sent.stream = stream_of.stream
            fields["Last-Event-Id"] = str(sent.stream.last_event)
            fields["Resumes"] = stream_of.request_id
            self.take_ups.append(sent)
        connection = Connection(entry, self.oracle)
        # Paths differ, or crashes of engines would quarantine the request.
        await connection.send(sent, method, f"/{kind}/{id(sent.stream):x}",
                              fields)
        if connection.is_reset:
            sent.disconnected_at = self.oracle.now()
        connection.close()
        self.oracle.check_outcome(sent)
        return sent

    async def stream(self):
        """Begins a stream, and takes it up whenever it breaks."""
        until = self.oracle.now() + BUDGET_S
        first = await self.send()
        stream = first.stream
        tries = 0
        while stream.last_event not in (0, self.oracle.log.event_count) and \
                tries < TRIES and self.oracle.now() + NEW_TRY_S < until:
            sent = await self.take_up(first, until - self.oracle.now())
            tries += sent.status not in (0, 200)
            wait_s = max(NEW_TRY_S, sent.retry_after_s)
            if self.oracle.now() + wait_s >= until:
                return
            await asyncio.sleep(wait_s)

    async def take_up(self, first, left_s):
        version = min(first.stream.versions)
        is_served = self.count_engines(version) > 0
        sent = await self.send(first, left_s)
        has_gone_on = sent.event_count > 0
        if not has_gone_on and not sent.disconnected_at:
            self.refusals[self._reason(sent)] += 1
        if left_s >= OWED_LEFT_S and is_served and \
                self.count_engines(version) > 0 and \
                (has_gone_on or not sent.disconnected_at):
            self.judged.append(has_gone_on)
        return sent

    @staticmethod
    def _reason(sent):
        try:
            return json.loads(sent.body)["error"]
        except (ValueError, KeyError):
            return f"{sent.status} without events"

    def check(self):
        resets = sum(sent.disconnected_at is not None
                     for sent in self.take_ups)
        print(f"{sum(self.judged)} of {len(self.judged)} take-ups with time "
              f"left went on, {resets} were reset; "
              f"refused: {dict(self.refusals)}")
        if len(self.judged) < MIN_TAKE_UPS:
            self.oracle.faults.append("too few streams were taken up")
        elif sum(self.judged) < MIN_SHARE * len(self.judged):
            self.oracle.faults.append("streams did not go on")
        self._check_last_lines()

    def _check_last_lines(self):
        """Checks that each take-up that an entry has read ended in its log."""
        read = {sent.request_id for sent in self.take_ups if sent.status}
        ends = collections.Counter()
        for entry in self.oracle.fleet:
            with open(entry.log_path, encoding="utf-8",
                      errors="replace") as file:
                for line in file:
                    try:
                        event = json.loads(line[line.index("{"):])
                    except ValueError:
                        continue
                    if event.get("event") == "take_up_ended":
                        ends[event["request"]] += 1
                    elif event.get("event") == "stream_taken_up":
                        read.add(event["request"])
        for count, text in ((0, "no last line"), (2, "several last lines")):
            wrong = [request_id for request_id in read
                     if min(ends[request_id], 2) == count]
            if wrong:
                self.oracle.faults.append(
                    f"{text} of {len(wrong)} of {len(read)} take-ups: "
                    f"{', '.join(sorted(wrong)[:5])}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    add_options(parser)
    parser.add_argument("beside", choices=("cut", "stopped"),
                        help="what happens to one entry")
    parser.add_argument("--waves", type=int, default=2)
    options = parser.parse_args()
    options.copies = COPIES
    platform = Platform(options.base, options.seed)
    run_in_folder(options, platform, lambda platform, oracle:
                  ConnectionResets(platform, oracle, options.seed,
                                   options.beside), CollectedEntry)


if __name__ == "__main__":
    main()
