#!/usr/bin/env python3
"""Measures the overhead of the system: latency per hop compared with a direct
call to the target, requests per second through one entry, and idle cost.

Usage: whole_path.py
"""

import http.client
import json
import statistics
import time

from capacity import start_fleet, idle_cost, run_load


def request_times(address, path, make_body, count):
    """Returns the duration in milliseconds of each of count requests on one
    connection."""
    connection = http.client.HTTPConnection(address)
    times = []
    for number in range(count):
        text = json.dumps(make_body(number))
        started_at = time.perf_counter()
        connection.request("POST", path, text)
        response = connection.getresponse()
        response.read()
        times.append((time.perf_counter() - started_at) * 1000)
        assert response.status == 200
    connection.close()
    return times


def main():
    fleet = start_fleet(4, 1)
    try:
        target = fleet.targets["t1"][0]["address"]
        entry = fleet.entries["entry-1"][0]

        def direct_body(number):
            return {"account": "a0", "request_id": f"d{number}",
                    "stage": "s", "attempt": 1, "input": {}}

        def entry_body(pipeline):
            return lambda number: {
                "pipeline": pipeline, "account": "a0",
                "request_id": f"{pipeline}{number}", "input": {}}

        rows = {"direct": [], "one": [], "four": []}
        for _ in range(5):  # Alternates, so that drift affects all alike.
            rows["direct"] += request_times(target, "/v1/run", direct_body, 400)
            rows["one"] += request_times(entry, "/v1/requests",
                                         entry_body("one"), 400)
            rows["four"] += request_times(entry, "/v1/requests",
                                          entry_body("four"), 400)
        p50 = {name: statistics.median(times) for name, times in rows.items()}
        for name, p50_ms in p50.items():
            print(f"{name:8} p50 {p50_ms:.3f} ms")
        hop_ms = (p50["four"] - p50["one"]) / 3 - p50["direct"]
        print(f"an additional hop adds {hop_ms:.3f} ms to a direct call (p50), "
              f"the entry and the first hop add "
              f"{p50['one'] - p50['direct']:.3f} ms")
        for name in ("entry-1", "sidecar t1"):
            kb, us, traffic = idle_cost(fleet, name)
            print(f"{name} idle: {kb / 1024:.1f} MB, "
                  f"{us / 1e4:.2f}% of a core, {traffic / 1024:.2f} KB/s")
        for rate in (2000, 4000, 6000, 8000):
            started_at = time.monotonic()
            rows, answered = run_load(
                fleet, [{"pipeline": "four", "account": "a0",
                         "rate_per_s": rate}], 4, 96, True)
            wall = time.monotonic() - started_at
            latencies = sorted(row["ms"] for row in answered)
            print(f"offered {rate}/s: answered {len(answered) / wall:.0f}/s of "
                  f"{len(rows)}, p50 {latencies[len(latencies) // 2]:.1f} ms, "
                  f"p99 {latencies[int(len(latencies) * 0.99)]:.1f} ms")
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
