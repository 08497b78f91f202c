"""Checks the promises against what callers and targets observed."""

import asyncio

from fleet import CONFIG_S, DRAIN_S, TOUCH_S
from targets import EVENTS

NOT_RUN = (408, 421, 429, 503)
LEFT_S = 0.5  # By then, work for a disconnected caller has been cancelled.
ENDS_KNOWN = 3  # Targets that a request may crash until it is quarantined.
MORE_SENDS = 3  # Times that it may be sent after that.
SLACK_S = 0.5  # Added to each bound, for a busy machine.
STALL_S = 0.25  # Half of SLACK_S: the slack may not cover a longer stall.


class Sent:
    """A request that a caller sent, and its outcome."""

    def __init__(self, request, kind, entry, at, poison=""):
        self.request = request
        self.poison = poison  # Path that crashes each target that runs it.
        self.kind = kind
        self.entry = entry
        self.incarnation = entry.incarnation
        self.at = at
        self.status = 0  # 0: no complete response head.
        self.is_whole = False
        self.body = b""
        self.ended_at = 0.0
        self.left_at = None  # When its caller disconnected.


class Evacuation:
    """An evacuation of a zone, from its acknowledgement on."""

    def __init__(self, zone, began):
        self.zone = zone
        self.began = began
        self.ended = None

    def covers(self, at, target):
        """Whether the target must get no work at that time."""
        return target.zone == self.zone and \
            at > self.began + CONFIG_S + SLACK_S and \
            (self.ended is None or at < self.ended)


class Oracle:
    def __init__(self, log, fleet):
        self.log = log
        self.fleet = fleet
        self.sent = {}
        self.faults = log.faults
        self.published = {}  # Version -> time of its acknowledgement
        self.leaving = {}  # Target id -> start of its draining
        self.evacuations = []
        self.unlisted = []  # (target id, from, to): its record was invalid.
        self.shown = {}  # (entry, incarnation) -> (version, time)
        self.store_calm_since = 0.0
        self.targets_calm_since = 0.0
        self.stalled_at = 0.0  # When the machine last stalled this process.
        self.counts = {}

    def now(self):
        return asyncio.get_running_loop().time()

    def note_evacuated(self, zone):
        self.evacuations.append(Evacuation(zone, self.now()))
        return self.evacuations[-1]

    async def watch_machine(self):
        """Detects stalls of the machine, which stop the entries, too."""
        while True:
            before = self.now()
            await asyncio.sleep(0.05)
            if self.now() > before + 0.05 + STALL_S:
                self.stalled_at = self.now()

    def is_calm(self, entry, since):
        return entry.is_calm(since - TOUCH_S) and \
            self.store_calm_since < since - TOUCH_S and \
            self.stalled_at < since

    def note(self, one):
        """Checks the outcome of a request as its caller sees it."""
        one.ended_at = self.now()
        if one.left_at:
            key = (one.kind, "left")
            self.counts[key] = self.counts.get(key, 0) + 1
            return
        end = one.status if one.is_whole else f"{one.status} broken"
        key = (one.kind, end)
        self.counts[key] = self.counts.get(key, 0) + 1
        if one.status in (400, 401, 403, 404) and one.kind != "probe":
            self.faults.append(f"{one.request}: refused with {one.status}")
        if b'"quarantined"' in one.body and not one.poison:
            self.faults.append(f"{one.request}: a harmless {one.kind} was "
                               "refused as quarantined")
        if one.status == 200 and one.is_whole:
            self._check_body(one)
        if not one.is_whole:
            self._check_lost(one)

    def _check_body(self, one):
        if one.kind in ("chat", "note"):
            want = "".join(f"id: {number}\ndata: {one.request}.{number}\n\n"
                           for number in range(1, EVENTS + 1)).encode()
        else:
            want = f"answer {one.request} ".encode()
        if one.kind in ("chat", "note") and one.body != want or \
                not one.body.startswith(want):
            self.faults.append(f"{one.request}: {one.kind} got {one.body!r}")

    def _check_lost(self, one):
        """Checks that no undisturbed request loses its response."""
        if one.kind == "note" or one.status == 200:
            return  # The target may have broken off the response.
        if not self.log.runs.get(one.request):
            return  # The entry may have closed the connection unread.
        if self.targets_calm_since < one.at - TOUCH_S and \
                self.is_calm(one.entry, one.at) and \
                one.incarnation == one.entry.incarnation:
            self.faults.append(f"{one.request}: cut off by {one.entry.name}, "
                               f"stopping {one.entry.is_stopping}")

    def note_probe(self, one, version):
        """Checks which configuration version an entry has in force."""
        key = (one.entry.name, one.incarnation)
        newest, since = self.shown.get(key, (0, 0.0))
        serves = one.status == 200 and one.is_whole
        if serves and version < newest and one.at > since:
            self.faults.append(f"{one.entry.name}: served version {version} "
                               f"after {newest}")
        if serves and version > newest:
            self.shown[key] = (version, one.ended_at)
        bound = CONFIG_S + SLACK_S
        if not self.is_calm(one.entry, one.at - bound) or \
                one.entry.is_stopping:
            return
        if one.status in (401, 404) and version == max(self.published) and \
                one.at > self.published[version] + bound:
            self.faults.append(f"{one.entry.name}: version {version} not "
                               "served "
                               f"{one.at - self.published[version]:.1f} s "
                               "after its publication")
        later = self.published.get(version + 1)
        if serves and later and one.at > later + bound:
            self.faults.append(f"{one.entry.name}: version {version} still "
                               f"served {one.at - later:.1f} s after the next "
                               "version")

    def conclude(self):
        """Runs the checks that need the whole run."""
        for one in self.sent.values():
            runs = self.log.runs.get(one.request, [])
            if one.kind in ("book", "note"):
                if len(runs) > 1:
                    self.faults.append(f"{one.request}: {one.kind} ran at "
                                       f"{runs}")
                if one.status in NOT_RUN and runs:
                    self.faults.append(f"{one.request}: {one.status}, but it "
                                       f"ran at {runs}")
        for request in self.log.runs:
            if request not in self.sent:
                self.faults.append(f"{request}: ran, but no caller sent it")
        for at, request, target in self.log.arrivals:
            left = self.leaving.get(target.id)
            one = self.sent.get(request)
            if left and one and at > left + DRAIN_S + SLACK_S and \
                    self.is_calm(one.entry, at - DRAIN_S):
                self.faults.append(f"{request}: {one.entry.name} sent it to "
                                   f"{target.id} {at - left:.1f} s after it "
                                   "began to drain")
        self._check_unlisted()
        self._check_evacuated()
        self._check_left()
        for poison, ends in self.log.poison_ends.items():
            self._check_poison(poison, ends)
        self._check_work_for_nobody()
        for entry in self.fleet:
            for code in entry.ends:
                self.faults.append(f"{entry.name}: exited unexpectedly: {code}")

    def _check_unlisted(self):
        """Checks that no work goes to a target whose record is invalid."""
        for named, began, ended in self.unlisted:
            for at, request, target in self.log.arrivals:
                one = self.sent.get(request)
                if one and target.id == named and \
                        began + DRAIN_S + SLACK_S < at < ended and \
                        self.is_calm(one.entry, at - DRAIN_S):
                    self.faults.append(f"{request}: sent to {named} "
                                       f"{at - began:.1f} s after its "
                                       "record became invalid")

    def _check_evacuated(self):
        """Checks that no entry sends work to an evacuated zone."""
        for at, request, target in self.log.arrivals:
            one = self.sent.get(request)
            if one and self.is_calm(one.entry, at - CONFIG_S) and \
                    any(zone.covers(at, target) for zone in self.evacuations):
                self.faults.append(f"{request}: {one.entry.name} sent it to "
                                   f"{target.id} in zone {target.zone}, which "
                                   "was evacuated")
        for at, target in self.log.calls:
            if all(one.is_calm(at - CONFIG_S - TOUCH_S)
                   for one in self.fleet) and \
                    self.store_calm_since < at - CONFIG_S - TOUCH_S and \
                    self.stalled_at < at - CONFIG_S and \
                    any(zone.covers(at, target) for zone in self.evacuations):
                self.faults.append(f"pieces sent to {target.id} in zone "
                                   f"{target.zone}, which was evacuated")

    def _check_poison(self, poison, ends):
        """Checks that requests that crash targets are quarantined."""
        if len(ends) < ENDS_KNOWN:
            return
        known = ends[ENDS_KNOWN - 1] + TOUCH_S + SLACK_S
        late = [at for at, request, _ in self.log.arrivals
                if at > known and request in self.sent
                and self.sent[request].poison == poison
                and self.is_calm(self.sent[request].entry, at)]
        if "-stage-" in poison:  # Calls of pieces carry no request id.
            late = [at for at in ends if at > known]
        if len(late) > MORE_SENDS:
            self.faults.append(f"{poison}: sent {len(late)} more times after "
                               f"it had crashed {ENDS_KNOWN} targets, "
                               f"{len(ends)} in total")

    def _check_left(self):
        """Checks that no request is forwarded after its caller disconnected."""
        for at, request, _ in self.log.arrivals:
            one = self.sent.get(request)
            if one and one.left_at and at > one.left_at + LEFT_S + STALL_S \
                    and self.is_calm(one.entry, one.left_at):
                self.faults.append(f"{request}: forwarded "
                                   f"{at - one.left_at:.1f} s after its caller "
                                   "disconnected")

    def _check_work_for_nobody(self):
        """Checks that no target works for a disconnected caller."""
        for at, request in self.log.ends:
            one = self.sent.get(request)
            if one and one.left_at and at > one.left_at + LEFT_S + STALL_S \
                    and self.is_calm(one.entry, one.left_at):
                self.faults.append(f"{request}: still running "
                                   f"{at - one.left_at:.1f} s after its caller "
                                   "disconnected")
