#!/usr/bin/env python3
"""Runs the failure scenarios on real processes and prints a table.

Usage: scenarios.py [NAME ...]
Each scenario runs first with the baseline entry, then with mangofold. Lost,
duplicated and misdelivered requests are counted from the records of the
stand-ins. Results: build/bench/results.json.
"""

import collections
import json
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from fleet import BIN, HOST, ROOT, Fleet, call

LOAD_DURATION_S = 8
STANDIN_KINDS = {
    "encoders": ("encoder", 3), "retrievers": ("retriever", 3),
    "rerankers": ("reranker", 4), "generators": ("generator", 60),
    "booking": ("service", 8)}


def manifest(generation=1, first_port=27000):
    zones = ["z1", "z2", "z3"]
    port = [first_port]

    def pool(name, count, slots, **more):
        targets = []
        for number in range(1, count + 1):
            port[0] += 1
            targets.append({"id": f"{name}-{number}",
                            "zone": zones[(number - 1) % 3],
                            "address": f"{HOST}:{port[0]}",
                            "sidecar": f"{HOST}:{port[0] + 500}"})
        return {"id": name, "slots": slots, **more, "targets": targets}

    four = [{"id": "encode", "pool": "encoders"},
            {"id": "retrieve", "pool": "retrievers"},
            {"id": "rerank", "pool": "rerankers"},
            {"id": "generate", "pool": "generators"}]
    return {
        "generation": generation, "resend_horizon_ms": 3000, "zones": zones,
        "models": [],
        "pools": [pool("encoders", 3, 8), pool("retrievers", 3, 8),
                  pool("rerankers", 3, 4),
                  pool("generators", 4, 4, bulk_reserve=1),
                  pool("booking", 3, 8)],
        "pipelines": [
            {"id": "itinerary", "class": "bulk", "deadline_ms": 4000,
             "stages": four},
            {"id": "chat", "class": "urgent", "deadline_ms": 2000,
             "stages": four},
            {"id": "lookup", "class": "urgent", "deadline_ms": 1000,
             "stages": [{"id": "lookup", "pool": "booking"}]},
            {"id": "redeem", "class": "urgent", "deadline_ms": 1500,
             "stages": [{"id": "redeem", "pool": "booking",
                         "repeatable": False}]}],
        "accounts": [{"id": "desk", "weight": 4}, {"id": "online"},
                     {"id": "batch"},
                     {"id": "partner", "rate_per_s": 50, "burst": 10}]}


def traffic(pipeline, rate, deadline_ms, account="desk", **more):
    return {"pipeline": pipeline, "rate_per_s": rate, "account": account,
            "deadline_ms": deadline_ms, **more}


# Generators have 16 slots and a service time of 60 ms: 267 runs per second.
STEADY = [traffic("chat", 60, 2000), traffic("itinerary", 30, 4000, "online"),
          traffic("lookup", 100, 1000),
          traffic("redeem", 60, 1500, ticket=True)]
BURST = STEADY + [traffic("itinerary", 600, 4000, "batch",
                          from_s=2, until_s=5)]
OVERLOAD = [traffic("chat", 100, 2000),
            traffic("itinerary", 440, 4000, "online"),
            traffic("lookup", 100, 1000),
            traffic("redeem", 60, 1500, ticket=True)]

# Four times the rate limit of the account, through both entries.
PARTNER = STEADY + [traffic("lookup", 200, 1000, "partner")]


def pause(fleet, name, seconds):
    fleet.signal(name, signal.SIGSTOP)
    time.sleep(seconds)
    fleet.signal(name, signal.SIGCONT)


def kill_and_restart(fleet, name, delay_s=0.5):
    fleet.signal(name, signal.SIGKILL)
    time.sleep(delay_s)
    fleet.restart(name)


def process_to_disrupt(fleet, name):
    """Returns the process to disrupt: the target in the baseline, which has no
    sidecars."""
    return name if name in fleet.processes else name.replace("sidecar",
                                                             "target")


def slow_target(fleet):
    time.sleep(2)
    call(fleet.targets["generators-1"][0]["address"], "/control",
         {"slow_factor": 10})


def target_paused(fleet):
    time.sleep(2)
    pause(fleet, "target generators-1", 4)


def sidecar_paused(fleet):
    time.sleep(2)
    pause(fleet, process_to_disrupt(fleet, "sidecar booking-1"), 3)


def target_killed(fleet):
    time.sleep(2)
    kill_and_restart(fleet, "target generators-1", 3)


def entry_killed(fleet):
    time.sleep(3)
    kill_and_restart(fleet, "entry-1")


def entry_paused(fleet):
    time.sleep(3)
    pause(fleet, "entry-1", 2)


def sidecar_killed(fleet):
    time.sleep(2)
    kill_and_restart(fleet, process_to_disrupt(fleet, "sidecar booking-1"))
    time.sleep(1)
    kill_and_restart(fleet, process_to_disrupt(fleet, "sidecar generators-2"))


def zone_cut(fleet):
    time.sleep(2)
    names = [name for name in fleet.processes
             if name.split(" ")[-1] in fleet.targets and
             fleet.targets[name.split(" ")[-1]][0]["zone"] == "z3"]
    for name in names:
        fleet.signal(name, signal.SIGSTOP)
    time.sleep(3)
    for name in names:
        fleet.signal(name, signal.SIGCONT)


def platform_down(fleet):
    time.sleep(1)
    call(fleet.platform, "/control", {"down": True})
    time.sleep(2)
    if "sidecar generators-2" in fleet.processes:
        kill_and_restart(fleet, "sidecar generators-2")


def platform_stale(fleet):
    """Publishes a change, then makes the platform serve a stale manifest; a
    sidecar and an entry that restart must not act on the older manifest."""
    time.sleep(1)
    call(fleet.platform, "/control", {"publish": manifest(2)})
    time.sleep(1.5)
    call(fleet.platform, "/control",
         {"stale": False, "publish": manifest(1)})
    call(fleet.platform, "/control", {"stale": True})
    if "sidecar generators-2" in fleet.processes:
        kill_and_restart(fleet, "sidecar generators-2")
        kill_and_restart(fleet, "entry-1")
        time.sleep(1.5)
        fleet.restarted_generations = set(fleet.generations().values())


def rolling_restart(fleet):
    time.sleep(0.5)
    names = [name for name in fleet.processes
             if name.startswith("sidecar") or name.startswith("entry")]
    for name in names:
        fleet.signal(name, signal.SIGTERM)
        if name.startswith("entry"):
            fleet.restart(name)
            fleet.wait_ready([name])
        else:
            fleet.restart(name)
            time.sleep(0.1)


def no_fault(_):
    pass


SCENARIOS = {
    "steady": (STEADY, no_fault),
    "burst": (BURST, no_fault),
    "slow_target": (STEADY, slow_target),
    "target_paused": (STEADY, target_paused),
    "target_killed": (STEADY, target_killed),
    "sidecar_paused": (STEADY, sidecar_paused),
    "sidecar_killed": (STEADY, sidecar_killed),
    "entry_killed": (STEADY, entry_killed),
    "entry_paused": (STEADY, entry_paused),
    "zone_cut": (STEADY, zone_cut),
    "service_down": (STEADY, platform_down),
    "service_stale": (STEADY, platform_stale),
    "rolling_restart": (STEADY, rolling_restart),
    "overload": (OVERLOAD, no_fault),
    "account_limit": (PARTNER, no_fault),
}


class BaselineFleet(Fleet):
    """The same targets and platform behind the baseline entry, with no
    sidecars."""

    def __init__(self, *args, **more):
        super().__init__(*args, entry_bin=BIN / "baseline", **more)

    def start_sidecar(self, name):
        pass


def quantile(values, fraction):
    if not values:
        return None
    values = sorted(values)
    return round(values[min(len(values) - 1, int(fraction * len(values)))], 1)


def count_outcomes(requests, runs):
    """Compares the outcomes that callers received with the targets' runs."""
    run_counts = collections.Counter()
    attempt_counts = collections.Counter()
    runs_by_stage = collections.Counter()
    first_run = {}
    for run in runs:
        first_run[run["request_id"]] = min(
            run["at_ms"], first_run.get(run["request_id"], run["at_ms"]))
        key = (run["request_id"], run["stage"])
        run_counts[key] += 1
        attempt_counts[key + (run["attempt"], run["target"])] += 1
        runs_by_stage[run["stage"]] += 1
    stages = {"redeem": ["redeem"], "lookup": ["lookup"]}
    counts = collections.Counter()
    for request in requests:
        for sending in request["sendings"]:
            counts[sending["outcome"]] += 1
            if sending["outcome"] == "answered":
                counts["misdelivered"] += not sending["own"]
                expected = stages.get(request["pipeline"],
                                      ["encode", "retrieve", "rerank",
                                       "generate"])
                counts["lost"] += any((request["id"], stage) not in run_counts
                                      for stage in expected)
            # A reported "not run" is false if a stage had run before the
            # report, or ran later although the caller did not send the
            # request again.
            if sending.get("ran") == "no" and request["id"] in first_run:
                is_last = sending is request["sendings"][-1]
                ran_before = first_run[request["id"]] < sending["told_at_ms"]
                counts["false_not_run"] += is_last or ran_before
    counts["doubled"] = sum(count - 1 for key, count in run_counts.items()
                            if key[1] == "redeem" and count > 1)
    counts["repeated_attempts"] = sum(
        count - 1 for count in attempt_counts.values() if count > 1)
    return counts, runs_by_stage


def run(name, variant, index):
    mix, fault = SCENARIOS[name]
    if variant == "baseline":  # The baseline has no tickets.
        mix = [{**traffic_class, "ticket": False} for traffic_class in mix]
    folder = Path(tempfile.mkdtemp(prefix=f"bench-{name}-"))
    first_port = 27000
    fleet_class = Fleet if variant == "mangofold" else BaselineFleet
    fleet = fleet_class(manifest(first_port=first_port), folder,
                        first_port=26000, kinds=STANDIN_KINDS)
    fleet.restarted_generations = None
    out = folder / "load.jsonl"
    try:
        fleet.start()
        # Outlasts the wait of new owners for requests without a ticket.
        time.sleep(0.3)
        entries = ",".join(entry[0] for entry in fleet.entries.values())
        load = subprocess.Popen(
            [BIN / "load", "--entries", entries, "--mix", json.dumps(mix),
             "--seconds", str(LOAD_DURATION_S), "--out", out, "--seed",
             str(index + 1), "--callers", "1500"])
        fault_thread = threading.Thread(target=fault, args=(fleet,))
        fault_thread.start()
        load.wait(timeout=90)
        fault_thread.join()
        time.sleep(0.3)
    finally:
        codes = fleet.stop()
    requests = [json.loads(line) for line in out.read_text().splitlines()]
    counts, runs_by_stage = count_outcomes(requests, fleet.records())
    result = summarize(name, variant, requests, counts, runs_by_stage)
    result["exit_codes"] = sorted(set(map(str, codes.values())))
    if fleet.restarted_generations is not None:
        result["generations"] = sorted(fleet.restarted_generations)
    return result


def is_attained(request):
    return bool(request["in_time"] and request["sendings"] and
                request["sendings"][-1]["outcome"] == "answered")


def summarize(name, variant, requests, counts, runs_by_stage):
    attained = [request for request in requests if is_attained(request)]
    by_pipeline = {}
    for pipeline in sorted({request["pipeline"] for request in requests}):
        own_requests = [request for request in requests
                        if request["pipeline"] == pipeline]
        by_pipeline[pipeline] = round(
            sum(map(is_attained, own_requests)) / len(own_requests), 4)
    reasons = collections.Counter(
        sending["reason"] for request in requests
        for sending in request["sendings"]
        if sending.get("reason"))
    latencies = [request["ms"] for request in attained]
    service_ms = {"encode": 3, "retrieve": 3, "rerank": 4, "generate": 60,
                  "lookup": 8, "redeem": 8}
    return {
        "scenario": name, "variant": variant, "requests": len(requests),
        "attained": len(attained),
        "attainment": round(len(attained) / max(len(requests), 1), 4),
        "attainment_by_pipeline": by_pipeline,
        "refused": counts["refused"], "unknown": counts["unknown"],
        "failed": counts["failed"] + counts["deadline_passed"],
        "lost": counts["lost"], "doubled": counts["doubled"],
        "misdelivered": counts["misdelivered"],
        "false_not_run": counts["false_not_run"],
        "repeated_attempts": counts["repeated_attempts"],
        "p50_ms": quantile(latencies, 0.5), "p99_ms": quantile(latencies, 0.99),
        "cost_by_stage": {stage: round(count * service_ms[stage] /
                                       max(len(attained), 1), 2)
                          for stage, count in sorted(runs_by_stage.items())},
        "reasons": dict(reasons.most_common(8))}


def main():
    names = sys.argv[1:] or list(SCENARIOS)
    results = []
    print(f"{'scenario':16}{'variant':10}{'requests':>9}{'attained':>9}"
          f"{'refused':>8}{'unknown':>8}{'failed':>7}{'lost':>5}{'dup':>5}"
          f"{'mis':>4}{'false':>6}{'p50':>7}{'p99':>8}  by pipeline")
    for index, name in enumerate(names):
        for variant in ("baseline", "mangofold"):
            result = run(name, variant, index)
            results.append(result)
            print(f"{name:16}{variant:10}{result['requests']:9}"
                  f"{result['attainment']:9.4f}{result['refused']:8}"
                  f"{result['unknown']:8}{result['failed']:7}{result['lost']:5}"
                  f"{result['doubled']:5}{result['misdelivered']:4}"
                  f"{result['false_not_run']:6}{str(result['p50_ms']):>7}"
                  f"{str(result['p99_ms']):>8}  "
                  f"{result['attainment_by_pipeline']}", flush=True)
            if variant == "mangofold":
                print("    ", result["reasons"], result["cost_by_stage"],
                      "exit", result["exit_codes"],
                      "generations", result.get("generations"), flush=True)
    folder = ROOT / "build" / "bench"
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "results.json").write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
