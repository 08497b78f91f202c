#!/usr/bin/env python3
"""Measures how long a new generation takes to be in force everywhere.

Usage: propagation.py
Three cases: the service up; the service reachable by one of two entries only
(the other entry and every sidecar hear from peers); and a leaving mark.
"""

import statistics
import tempfile
import time

from fleet import Fleet, call
from scenarios import KINDS, manifest


def wait_for(check, limit_s=20):
    begun = time.monotonic()
    while time.monotonic() - begun < limit_s:
        if check():
            return time.monotonic() - begun
        time.sleep(0.005)
    return None


def all_at(fleet, generation):
    found = fleet.generations()
    return (len(found) == len(fleet.admin) and
            all(one >= generation for one in found.values()))


def measure(fleet, first, rounds):
    times = []
    for generation in range(first, first + rounds):
        call(fleet.platform, "/control", {"publish": manifest(generation)})
        times.append(wait_for(lambda: all_at(fleet, generation)))
    return times


def show(name, times):
    if None in times:
        print(f"{name:42} not within 20 s: {times}")
        return
    print(f"{name:42} median {statistics.median(times):6.3f} s  "
          f"most {max(times):6.3f} s  of {len(times)}")


def main():
    cut = "127.0.0.1:1"  # Nothing listens there.
    fleet = Fleet(manifest(), tempfile.mkdtemp(prefix="propagation-"),
                  first_port=26000, kinds=KINDS)
    try:
        fleet.start()
        before = call(fleet.platform, "/control")[1]["reads"]
        begun = time.monotonic()
        time.sleep(10)
        reads = call(fleet.platform, "/control")[1]["reads"] - before
        print(f"reads of the service without a change: "
              f"{reads / (time.monotonic() - begun):.2f} a second, "
              f"{len(fleet.entries)} entries, {len(fleet.targets)} sidecars")
        before = call(fleet.platform, "/control")[1]["reads"]
        show("a change, service up", measure(fleet, 2, 10))
        reads = call(fleet.platform, "/control")[1]["reads"] - before
        print(f"reads for 10 changes: {reads}")
        call(fleet.platform, "/control", {"leaving": "generators-1"})
        lag = wait_for(lambda: call(fleet.admin["generators-1"], "/status")[1]
                       .get("leaving"))
        print(f"a leaving mark reached its sidecar after {lag:.3f} s, of "
              f"which 0.5 s are the list's own lag")
    finally:
        fleet.stop()
    # Half of the entries and all sidecars cannot reach the service.
    fleet = Fleet(manifest(), tempfile.mkdtemp(prefix="propagation-"),
                  first_port=26000, kinds=KINDS)
    spawn = fleet.spawn
    seeds = ",".join(one["sidecar"] for one, _ in fleet.targets.values())

    def spawn_cut(name, command):
        if name == "entry-2" or name.startswith("sidecar"):
            command = [cut if part == fleet.platform else part
                       for part in command]
        if name == "entry-2":
            command = [*command, "--seeds", seeds]
        spawn(name, command)

    fleet.spawn = spawn_cut
    try:
        fleet.start()
        wait_for(lambda: all_at(fleet, 1))
        show("a change, only one entry reaches the service",
             measure(fleet, 2, 10))
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
