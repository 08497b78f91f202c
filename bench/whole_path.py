#!/usr/bin/env python3
"""Measures what the system adds: latency of a hop beside a direct call to
the target, requests a second through one entry, and the cost at rest.

Usage: whole_path.py
"""

import http.client
import json
import statistics
import time

from capacity import fleet_of, idle, load


def times_of(address, path, body_of, count):
    """Returns the milliseconds of \\a count calls on one connection."""
    connection = http.client.HTTPConnection(address)
    found = []
    for number in range(count):
        text = json.dumps(body_of(number))
        begun = time.perf_counter()
        connection.request("POST", path, text)
        answer = connection.getresponse()
        answer.read()
        found.append((time.perf_counter() - begun) * 1000)
        assert answer.status == 200
    connection.close()
    return found


def main():
    fleet = fleet_of(4, 1)
    try:
        target = fleet.targets["t1"][0]["address"]
        entry = fleet.entries["entry-1"][0]

        def direct(number):
            return {"account": "a0", "request_id": f"d{number}",
                    "stage": "s", "attempt": 1, "input": {}}

        def through(pipeline):
            return lambda number: {
                "pipeline": pipeline, "account": "a0",
                "request_id": f"{pipeline}{number}", "input": {}}

        rows = {"direct": [], "one": [], "four": []}
        for turn in range(5):  # In turns, so that drift hits all alike.
            rows["direct"] += times_of(target, "/v1/run", direct, 400)
            rows["one"] += times_of(entry, "/v1/requests", through("one"),
                                    400)
            rows["four"] += times_of(entry, "/v1/requests", through("four"),
                                     400)
        p50 = {name: statistics.median(all_) for name, all_ in rows.items()}
        for name, value in p50.items():
            print(f"{name:8} p50 {value:.3f} ms")
        hop = (p50["four"] - p50["one"]) / 3 - p50["direct"]
        print(f"a further hop adds {hop:.3f} ms to a direct call (p50), "
              f"the first with the entry {p50['one'] - p50['direct']:.3f} ms")
        for name in ("entry-1", "sidecar t1"):
            kb, us, moved = idle(fleet, name)
            print(f"{name} at rest: {kb / 1024:.1f} MB, "
                  f"{us / 1e4:.2f}% of a core, {moved / 1024:.2f} KB/s")
        for rate in (2000, 4000, 6000, 8000):
            begun = time.monotonic()
            rows, good = load(fleet, [{"pipeline": "four", "account": "a0",
                                       "rate_per_s": rate}], 4, 96, True)
            wall = time.monotonic() - begun
            spent = sorted(row["ms"] for row in good)
            print(f"offered {rate}/s: answered {len(good) / wall:.0f}/s of "
                  f"{len(rows)}, p50 {spent[len(spent) // 2]:.1f} ms, "
                  f"p99 {spent[int(len(spent) * 0.99)]:.1f} ms")
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
