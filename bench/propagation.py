#!/usr/bin/env python3
"""Measures how long a new generation takes to become active in all processes.

Usage: propagation.py
Three cases: all processes reach the platform; only one of two entries reaches
it (the other entry and all sidecars receive the generation from peers); and a
target that is marked as leaving.
"""

import statistics
import tempfile
import time

from fleet import Fleet, call
from scenarios import STANDIN_KINDS, manifest


def wait_for(condition, timeout_s=20):
    started_at = time.monotonic()
    while time.monotonic() - started_at < timeout_s:
        if condition():
            return time.monotonic() - started_at
        time.sleep(0.005)
    return None


def is_active_everywhere(fleet, generation):
    active = fleet.generations()
    return (len(active) == len(fleet.admin) and
            all(active_generation >= generation
                for active_generation in active.values()))


def measure_changes(fleet, first_generation, rounds):
    times = []
    for generation in range(first_generation, first_generation + rounds):
        call(fleet.platform, "/control", {"publish": manifest(generation)})
        times.append(wait_for(lambda: is_active_everywhere(fleet, generation)))
    return times


def print_times(name, times):
    if None in times:
        print(f"{name:42} not active within 20 s: {times}")
        return
    print(f"{name:42} median {statistics.median(times):6.3f} s  "
          f"max {max(times):6.3f} s  of {len(times)}")


def main():
    unreachable_address = "127.0.0.1:1"  # No process listens on this port.
    fleet = Fleet(manifest(), tempfile.mkdtemp(prefix="propagation-"),
                  first_port=26000, kinds=STANDIN_KINDS)
    try:
        fleet.start()
        reads_before = call(fleet.platform, "/control")[1]["reads"]
        started_at = time.monotonic()
        time.sleep(10)
        reads = call(fleet.platform, "/control")[1]["reads"] - reads_before
        print(f"platform reads without a change: "
              f"{reads / (time.monotonic() - started_at):.2f} a second, "
              f"{len(fleet.entries)} entries, {len(fleet.targets)} sidecars")
        reads_before = call(fleet.platform, "/control")[1]["reads"]
        print_times("a change, platform reachable",
                    measure_changes(fleet, 2, 10))
        reads = call(fleet.platform, "/control")[1]["reads"] - reads_before
        print(f"reads for 10 changes: {reads}")
        call(fleet.platform, "/control", {"leaving": "generators-1"})
        lag_s = wait_for(lambda: call(fleet.admin["generators-1"], "/status")[1]
                       .get("leaving"))
        print(f"the leaving mark of a target reached its sidecar after "
              f"{lag_s:.3f} s, of which 0.5 s are the lag of the target list")
    finally:
        fleet.stop()
    # One of the two entries and all sidecars cannot reach the platform.
    fleet = Fleet(manifest(), tempfile.mkdtemp(prefix="propagation-"),
                  first_port=26000, kinds=STANDIN_KINDS)
    spawn = fleet.spawn
    seeds = ",".join(target["sidecar"] for target, _ in fleet.targets.values())

    def spawn_isolated(name, command):
        if name == "entry-2" or name.startswith("sidecar"):
            command = [unreachable_address if part == fleet.platform else part
                       for part in command]
        if name == "entry-2":
            command = [*command, "--seeds", seeds]
        spawn(name, command)

    fleet.spawn = spawn_isolated
    try:
        fleet.start()
        wait_for(lambda: is_active_everywhere(fleet, 1))
        print_times("a change, platform reachable by one entry",
                    measure_changes(fleet, 2, 10))
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
