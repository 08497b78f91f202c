"""Kills targets, which are processes of their own, while they answer: one by
one and in series, for good or to start again at their address at once. Others
leave or stand still, and entries are killed, paused and told to stop beside it.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import math
import os
import random
import re
import signal
import subprocess
import sys

import wire
from callers import REQUEST_KINDS, Connection
from oracle import NOT_EXECUTED_STATUSES, SentRequest
from store import Store
from target_process import FRAMINGS, PART_COUNT
from targets import TargetLog
from total_loss import add_options, run_in_folder
from world import HEARTBEAT_S, configuration

TARGETS = {"models": 8, "desk": 4}
SERVICES = {"find": "desk", "book": "desk", "chat": "models",
            "note": "models"}
CALLERS = 32
PAUSE_S = 0.05  # Of a caller, on average.
BUDGET_S = 3.0
DISTURBED_S = 4.0  # Disturbances begin for so long, then none for CALM_S.
CALM_S = 2.0
INTERVAL_S = 0.25  # Between disturbances, on average.
SERIES_S = (0, 0, 0.03, 0.1)  # Between the kills of a series.
STILL_S = (0.05, 1.2)
DOWN_S = (0.05, 0.5)
PAUSED_S = (0.02, 0.2)  # Of an entry.
PROCESS_S = 10  # By then, a target has started, or has left.
# Answers are owed by what was not disturbed so long before and after.
UNDISTURBED_S = 1.0
PART_PATTERN = re.compile(rb"<(\d+) (\w+) ([\w.-]+)>")


async def wait_for(condition, complaint):
    until = asyncio.get_running_loop().time() + PROCESS_S
    while not condition():
        if asyncio.get_running_loop().time() > until:
            raise RuntimeError(complaint)
        await asyncio.sleep(0.001)


class Disturbances:
    """When something was disturbed."""

    def __init__(self):
        self.spans = []

    @contextlib.contextmanager
    def span(self):
        loop = asyncio.get_running_loop()
        span = [loop.time(), math.inf]
        self.spans.append(span)
        try:
            yield
        finally:
            span[1] = loop.time()

    def overlap(self, since, until):
        return any(begin < until + UNDISTURBED_S and
                   since - UNDISTURBED_S < end for begin, end in self.spans)

    def is_disturbed(self):
        return any(end == math.inf for _, end in self.spans)


class Place:
    """An address of targets: one process at a time, and its log."""

    def __init__(self, platform, service, version, number):
        self.platform = platform
        self.service = service
        self.version = version
        self.zone = "ab"[number % 2]
        host = "127.0.0.1"
        if service == "models":
            host = f"127.0.1.{number}"
            platform.keepers.start(host)
        self.host = host
        self.address = f"{host}:{platform.base + number}"
        self.log_path = os.path.join(platform.keepers.folder,
                                     f"target-{number}.log")
        with open(self.log_path, "w", encoding="utf-8"):
            pass  # Of this run only.
        self.process = None
        self.id = ""
        self.is_leaving = False
        self.disturbances = Disturbances()

    async def start(self, target_id):
        """Returns a process that takes the address once it is free."""
        self.platform.started += 1
        program = os.path.join(os.path.dirname(__file__), "target_process.py")
        process = subprocess.Popen(
            [sys.executable, program, self.address, target_id, self.version,
             self.log_path, "--seed",
             f"{self.platform.seed}.{self.platform.started}",
             *["--engine"] * (self.service == "models")],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        os.set_blocking(process.stdout.fileno(), False)
        self.platform.processes.append(process)
        await self.read_state(process, "started")
        return process

    async def read_state(self, process, state):
        """Waits until a process tells that it is in a state."""
        await wait_for(lambda: process.stdout.readline().strip() ==
                       state.encode(), f"{self.address} has not {state}")

    async def wait_exit(self):
        await wait_for(lambda: self.process.poll() is not None,
                       f"{self.id} has not exited")

    async def take_over(self, process, target_id):
        """Lists a process as soon as it serves."""
        await self.read_state(process, "served")
        self.process, self.id = process, target_id
        self.born = int(asyncio.get_running_loop().time() * 1000)
        self.list()

    def list(self):
        self.platform.store.put(f"servers/{self.id}", {
            "backend": self.service, "address": self.address,
            "zone": self.zone, "version": self.version, "capacity": 8,
            "state": "draining" if self.is_leaving else "ready",
            "warmup_left_ms": 0, "sequence": 1, "born": self.born})

    async def fill(self):
        target_id = self.platform.new_id()
        await self.take_over(await self.start(target_id), target_id)

    def runs(self):
        """Returns what its log says of each run."""
        runs = collections.defaultdict(dict)
        with open(self.log_path, encoding="utf-8") as file:
            for line in file:
                fields = json.loads(line)
                runs[fields["run"]].update(fields)
        return runs


class Platform:
    """The store and the places of targets."""

    def __init__(self, base, seed):
        self.base = base
        self.seed = seed
        self.store = Store()
        self.store_address = f"127.0.0.1:{base}"
        self.log = TargetLog()
        self.log.event_count = PART_COUNT
        self.keepers = None
        self.places = []
        self.processes = []
        self.started = self.ids = 0

    def new_id(self):
        self.ids += 1
        return f"i-{self.ids:06x}"

    async def start(self, _):
        await wire.serve(self.store_address, self.store.handle)
        content = configuration(1)
        for route in content["routes"]:
            route.pop("stages", None)
        for service in content["backends"]:
            service["health_check"] = "/healthz"
        self.store.put("op/config", content)
        await asyncio.gather(*(
            self.add(service, ("v1", "v2")[number % 2])
            for service, count in TARGETS.items()
            for number in range(count)))

    async def add(self, service, version):
        place = Place(self, service, version, len(self.places) + 1)
        self.places.append(place)
        await place.fill()

    def end(self):
        for process in self.processes:
            process.kill()
            process.wait()


class KilledTargets:
    def __init__(self, platform, oracle, options):
        self.platform = platform
        self.oracle = oracle
        self.random = random.Random(options.seed)
        self.kinds = options.only or DISTURBANCES
        self.requests = []
        self.is_over = False
        self.history = []
        self.entries = {}  # Disturbances by entry.
        self.judged = collections.Counter()  # Answers that were owed.

    # Disturbances.

    def pick(self, service, most=1):
        """Returns places, but no more than half of a version's."""
        picked = []
        places = [place for place in self.platform.places
                  if place.service == service and place.process and
                  not place.is_leaving]
        for place in self.random.sample(places, len(places)):
            others = [other for other in places if place.version ==
                      other.version or service == "desk"]
            down = sum(other.disturbances.is_disturbed() or other in picked
                       for other in others)
            if len(picked) < most and 2 * down < len(others) and \
                    not place.disturbances.is_disturbed():
                picked.append(place)
        return picked

    def note(self, *words):
        self.history.append(f"{self.oracle.now():.3f} {' '.join(words)}")

    async def in_series(self, what, disturb):
        """Disturbs some places, each soon after the one before."""
        service = self.random.choice(("models", "models", "desk"))
        gap_s = self.random.choice(SERIES_S)
        picked = self.pick(service, self.random.choice((1, 2, 3)))
        with contextlib.ExitStack() as spans:
            for place in picked:
                spans.enter_context(place.disturbances.span())
            await asyncio.gather(*(
                disturb(place, gap_s * number, what)
                for number, place in enumerate(picked)))

    async def kill_process(self, place, what):
        self.note(what, place.id, place.address)
        place.process.kill()
        await place.wait_exit()

    async def kill_for_good(self, place, delay_s, what):
        await asyncio.sleep(delay_s)
        await self.kill_process(place, what)
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.platform.store.remove(f"servers/{place.id}")
        await place.fill()

    async def replace(self, place, delay_s, what):
        target_id = place.id if what == "same_id" else self.platform.new_id()
        heir = await place.start(target_id)
        await asyncio.sleep(delay_s)
        await self.kill_process(place, what)
        if target_id != place.id:
            self.platform.store.remove(f"servers/{place.id}")
        await place.take_over(heir, target_id)

    async def kill(self):
        await self.in_series("kill", self.kill_for_good)

    async def same_id(self):
        await self.in_series("same_id", self.replace)

    async def other_id(self):
        await self.in_series("other_id", self.replace)

    async def stand_still(self):
        for place in self.pick("models"):
            with place.disturbances.span():
                self.note("stand_still", place.id)
                place.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.random.uniform(*STILL_S))
                if self.random.random() < 0.3:
                    await self.kill_for_good(place, 0, "kill after standstill")
                else:
                    place.process.send_signal(signal.SIGCONT)

    async def leave(self):
        """Has a target leave: it ends its answers, then it exits."""
        for place in self.pick(self.random.choice(tuple(TARGETS))):
            place.is_leaving = True
            await self.platform.add(place.service, place.version)
            self.note("leave", place.id)
            place.list()
            place.process.terminate()
            await place.wait_exit()
            self.platform.store.remove(f"servers/{place.id}")
            if place.service == "models":
                await self.platform.keepers.retire(place.host)

    async def disturb_entry(self, what, disturb):
        entry = self.random.choice(self.oracle.fleet)
        if any(spans.is_disturbed() for spans in self.entries.values()):
            return
        with self.entries[entry].span():
            self.note(what, entry.name)
            await disturb(entry)

    async def kill_entry(self):
        await self.disturb_entry("kill_entry", lambda entry: entry.kill(
            self.random.uniform(*DOWN_S)))

    async def stop_entry(self):
        await self.disturb_entry("stop_entry", lambda entry:
                                 entry.stop_gracefully(self.oracle.faults))

    async def pause_entry(self):
        await self.disturb_entry("pause_entry", lambda entry: entry.pause(
            self.random.uniform(*PAUSED_S)))

    async def disturb(self, until):
        while self.oracle.now() < until:
            end = self.oracle.now() + DISTURBED_S
            tasks = []
            while self.oracle.now() < end:
                await asyncio.sleep(
                    self.random.expovariate(1 / INTERVAL_S))
                kind = self.random.choice(self.kinds)
                tasks.append(asyncio.create_task(getattr(self, kind)()))
            await asyncio.gather(*tasks)
            await asyncio.sleep(UNDISTURBED_S + CALM_S)

    # Callers.

    async def call(self, number):
        """Sends requests, on each connection until it is closed."""
        chooser = random.Random(f"{self.platform.seed}.{number}")
        connection = None
        count = 0
        while not self.is_over:
            await asyncio.sleep(chooser.expovariate(1 / PAUSE_S))
            count += 1
            if connection is None or connection.writer is None:
                connection = Connection(chooser.choice(
                    [entry for entry in self.oracle.fleet
                     if not entry.is_stopping]), self.oracle)
            kind = chooser.choice(tuple(REQUEST_KINDS))
            sent = SentRequest(f"r{number}x{count}", kind, connection.entry,
                               self.oracle.now())
            sent.budget_s = BUDGET_S
            # Contents differ, or kills would quarantine them.
            sent.prompt = lambda sent=sent: f"{sent.request_id}:50"
            await connection.send(
                sent, REQUEST_KINDS[kind][0], f"/{kind}/{sent.request_id}",
                {"Authorization": "Bearer always"})
            sent.ended_at = self.oracle.now()
            sent.has_stalled = self.oracle.stalled_at > sent.sent_at
            self.requests.append(sent)

    async def run_all(self, options):
        self.entries = {entry: Disturbances() for entry in self.oracle.fleet}
        until = self.oracle.now() + options.seconds
        watching = [asyncio.create_task(task) for task in (
            self.oracle.detect_stalls(),
            *(entry.restart_on_exit() for entry in self.oracle.fleet))]
        try:
            callers = [asyncio.create_task(self.call(number))
                       for number in range(CALLERS)]
            await self.disturb(until)
            self.is_over = True
            await asyncio.gather(*callers)
        finally:
            self.is_over = True
            for task in watching:
                task.cancel()
            self.platform.end()

    # Checks.

    def check(self):
        self.runs = collections.defaultdict(list)
        for place in self.platform.places:
            for run in place.runs().values():
                run["place"] = place
                self.runs[run["request"]].append(run)
        counts = collections.Counter()
        for sent in self.requests:
            for fault in self.faults_of(sent):
                counts[" ".join(fault.split()[:2])] += 1
                self.oracle.faults.append(
                    f"{sent.ended_at:.3f} {sent.kind} {sent.request_id} by "
                    f"{sent.entry.name}: {fault}; runs: " + ", ".join(
                        f"{run['run']} from {run['first']}, {run['framing']}"
                        f"{'' if 'last' in run else ', not finished'}"
                        for run in self.runs[sent.request_id]))
        for entry in self.oracle.fleet:
            self.oracle.faults += [f"{entry.name} exited: {exit_code}"
                                   for exit_code in entry.unexpected_exits]
        for kind in REQUEST_KINDS:
            for framing in FRAMINGS:
                if not self.judged[kind, framing]:
                    self.oracle.faults.append(
                        f"no {kind} was owed an answer framed by {framing}")
        outcomes = collections.Counter(
            (sent.kind, sent.status, sent.is_complete)
            for sent in self.requests)
        for (kind, status, is_complete), count in sorted(outcomes.items()):
            print(f"  {kind} {status}"
                  f"{'' if is_complete else ' incomplete'}: {count}")
        if self.oracle.faults:
            print("\n".join(self.history))
            print(f"faults of answers: {dict(counts)}")
        print(f"seed {self.platform.seed}: {len(self.oracle.faults)} faults, "
              f"{len(self.requests)} requests, {len(self.history)} "
              f"disturbances, {self.judged.total()} answers owed")

    def faults_of(self, sent):
        runs = self.runs[sent.request_id]
        is_repeatable = sent.kind in ("find", "chat")
        fault = ""
        if sent.status == 200:
            fault = sent.stream.add(sent, PART_COUNT) \
                if SERVICES[sent.kind] == "models" else self.body_fault(sent)
        if fault:
            yield fault
        if not is_repeatable and len(runs) > 1:
            yield f"ran {len(runs)} times"
        if not is_repeatable and runs and sent.is_complete and \
                sent.status in NOT_EXECUTED_STATUSES:
            yield f"answered {sent.status} though it ran"
        if self.is_owed(sent, runs):
            self.judged[sent.kind, runs[-1]["framing"] if runs else ""] += 1
            if sent.status != 200 or not sent.is_complete:
                yield (f"undisturbed, but answered {sent.status}"
                       f"{'' if sent.is_complete else ' incomplete'} "
                       f"{sent.body[-80:]!r}")

    @staticmethod
    def body_fault(sent):
        parts = PART_PATTERN.findall(sent.body)
        numbers = [int(number) for number, *_ in parts]
        if any(request_id.decode() != sent.request_id
               for _, request_id, _ in parts):
            return "parts of another request"
        if len({run for *_, run in parts}) > 1:
            return "parts of several runs"
        if numbers != list(range(1, len(parts) + 1)):
            return f"parts {numbers}"
        if sent.is_complete and (len(parts) != PART_COUNT or
                                 PART_PATTERN.sub(b"", sent.body)):
            return f"complete after part {len(parts)}: {sent.body[-40:]!r}"
        return ""

    def is_owed(self, sent, runs):
        """Whether no entry or target that it met was disturbed near it; one
        that did not run could have met any of its service."""
        met = [run["place"] for run in runs] or [
            place for place in self.platform.places
            if place.service == SERVICES[sent.kind]]
        return not sent.has_stalled and not any(
            disturbances.overlap(sent.sent_at, sent.ended_at)
            for disturbances in (self.entries[sent.entry],
                                 *(place.disturbances for place in met)))


DISTURBANCES = ("kill", "kill", "same_id", "other_id", "stand_still",
                "leave", "kill_entry", "stop_entry", "pause_entry")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    add_options(parser)
    parser.set_defaults(entries=4, base=23000, copies=0)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--only", nargs="+", choices=set(DISTURBANCES))
    options = parser.parse_args()
    run_in_folder(options, Platform(options.base, options.seed),
                  lambda platform, oracle:
                  KilledTargets(platform, oracle, options))


if __name__ == "__main__":
    main()
