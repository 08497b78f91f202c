"""Overloaded targets: limits and rests that they ask for, and their checks."""

TOUCH_S = 3.0  # From then on, all entries must keep to a stated limit.
WINDOW_S = 4.0
MAX_ARRIVALS_IN_REST = 2  # From one entry.
REST_GRACE_S = 0.5  # Requests that are on their way when a rest begins.


class Need:
    """A time in which a target states a limit or asks for rests."""

    def __init__(self, target, started_at, per_second=None, rest_s=None):
        self.target = target
        self.started_at = started_at
        self.ended_at = float("inf")
        self.per_second = per_second
        self.rest_s = rest_s
        self.arrivals = []  # (time, request id; empty for calls of pieces)

    def response_fields(self):
        if self.per_second is None:
            return {}
        return {"Server-Limit": self.per_second}

    def check_limit(self, oracle):
        """Checks the sum of what all entries send to a limited target."""
        times = [at for at, _ in self.arrivals
                 if self.started_at + TOUCH_S < at < self.ended_at]
        allowed = 1.5 * self.per_second * WINDOW_S + 5
        for first in times:
            count = sum(first <= at < first + WINDOW_S for at in times)
            if count > allowed and all(
                    oracle.is_undisturbed(entry, first)
                    for entry in oracle.fleet):
                oracle.faults.append(
                    f"{self.target.id}: limit {self.per_second} a second, "
                    f"{count} arrivals in {WINDOW_S} s, allowed {allowed}")
                return

    def check_rests(self, oracle):
        """Checks what each entry sends to a target that it should leave."""
        for asked_at, request_id in self.arrivals:
            asked = oracle.requests.get(request_id)
            if not asked or asked_at > self.ended_at:
                continue
            rest_end = asked_at + self.rest_s
            late = [at for at, other_id in self.arrivals
                    if asked_at + REST_GRACE_S < at < rest_end
                    and other_id in oracle.requests
                    and oracle.requests[other_id].entry is asked.entry]
            if len(late) > MAX_ARRIVALS_IN_REST and \
                    oracle.is_undisturbed(asked.entry, asked_at):
                oracle.faults.append(
                    f"{self.target.id}: got {len(late)} requests from "
                    f"{asked.entry.name} in a rest of {self.rest_s} s")
                return

    def check(self, oracle):
        if self.per_second is None:
            self.check_rests(oracle)
        else:
            self.check_limit(oracle)
