#!/usr/bin/env python3
"""Measures the capacity slopes and rewrites their table in docs/CAPACITY.md.

Usage: capacity.py
Each slope is a least-squares line through measurements at several sizes. The
residual is the largest distance of a measured value from the line.
"""

import json
import re
import subprocess
import tempfile
import time
from pathlib import Path

from fleet import BIN, HOST, ROOT, Fleet, call

CAPACITY_PAGE = ROOT / "docs" / "CAPACITY.md"
TABLE_BEGIN, TABLE_END = "<!-- slopes -->", "<!-- end of slopes -->"
TICKS_PER_S = 100


def rss_kb(pid):
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1))


def cpu_s(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def loopback_bytes():
    """Returns the bytes that crossed the loopback interface so far; only the
    fleet uses the interface."""
    for text in Path("/proc/net/dev").read_text().splitlines():
        if text.strip().startswith("lo:"):
            return int(text.split(":")[1].split()[0])
    return 0


def fit_line(points):
    """Returns slope, intercept and largest residual of a least-squares line."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    return slope, intercept, max(abs(y - intercept - slope * x)
                                 for x, y in points)


def manifest(targets, accounts=1, generation=1):
    target_list = [{"id": f"t{number}", "zone": "z1",
                    "address": f"{HOST}:{27000 + number}",
                    "sidecar": f"{HOST}:{27500 + number}"}
                   for number in range(1, targets + 1)]
    return {"generation": generation, "resend_horizon_ms": 1000,
            "zones": ["z1"], "models": [],
            "pools": [{"id": "p", "slots": 64, "targets": target_list}],
            "pipelines": [
                {"id": "four", "class": "urgent", "deadline_ms": 2000,
                 "stages": [{"id": f"s{n}", "pool": "p"} for n in range(4)]},
                {"id": "one", "class": "urgent", "deadline_ms": 2000,
                 "stages": [{"id": "s", "pool": "p"}]},
                {"id": "once", "class": "urgent", "deadline_ms": 2000,
                 "stages": [{"id": "s", "pool": "p", "repeatable": False}]}],
            "accounts": [{"id": f"a{number}"}
                         for number in range(accounts)]}


def start_fleet(targets, entries, accounts=1, service_ms=0):
    fleet = Fleet(manifest(targets, accounts),
                  tempfile.mkdtemp(prefix="capacity-"), entries=entries,
                  first_port=26000, kinds={"p": ("service", service_ms)},
                  entry_flags=["--links-per-pool", "1024"])
    fleet.start()
    time.sleep(1)
    return fleet


def idle_cost(fleet, name, seconds=4):
    """Returns resident KB and CPU microseconds per second of an idle process,
    and the loopback bytes per second of all processes together."""
    pid = fleet.processes[name].pid
    cpu_before, bytes_before = cpu_s(pid), loopback_bytes()
    time.sleep(seconds)
    return (rss_kb(pid), (cpu_s(pid) - cpu_before) / seconds * 1e6,
            (loopback_bytes() - bytes_before) / seconds)


def link_costs():
    """Returns the idle cost of an entry and of a sidecar by number of links."""
    entry_points, sidecar_points = [], []
    for link_count in (2, 10, 20, 40):
        fleet = start_fleet(link_count, 1)
        try:
            entry_points.append((link_count, idle_cost(fleet, "entry-1")))
        finally:
            fleet.stop()
    for link_count in (1, 5, 10, 20):
        fleet = start_fleet(1, link_count)
        try:
            sidecar_points.append((link_count, idle_cost(fleet, "sidecar t1")))
        finally:
            fleet.stop()
    return entry_points, sidecar_points


def account_costs():
    points = []
    for account_count in (1, 2000, 4000, 8000):
        fleet = start_fleet(1, 1, accounts=account_count)
        try:
            pid = fleet.processes["entry-1"].pid
            manifest_kb = len(json.dumps(fleet.manifest)) / 1024
            points.append((account_count, rss_kb(pid), manifest_kb))
        finally:
            fleet.stop()
    return points


def run_load(fleet, mix, seconds, callers, keep_alive=False):
    out = Path(fleet.folder) / "load.jsonl"
    entries = ",".join(entry[0] for entry in fleet.entries.values())
    subprocess.run([BIN / "load", "--entries", entries, "--mix",
                    json.dumps(mix), "--seconds", str(seconds), "--out", out,
                    "--callers", str(callers), "--keep", str(int(keep_alive))],
                   check=True)
    rows = [json.loads(text) for text in out.read_text().splitlines()]
    answered = [row for row in rows if row["sendings"] and
                row["sendings"][-1]["outcome"] == "answered"]
    return rows, answered


def request_costs():
    """Returns requests of four stages per second, with the CPU microseconds
    per second of the entry and of the sidecars."""
    points = []
    fleet = start_fleet(4, 1)
    try:
        for rate in (100, 200, 400, 800):
            names = ["entry-1"] + [f"sidecar t{n}" for n in range(1, 5)]
            cpu_before = [cpu_s(fleet.processes[name].pid) for name in names]
            started_at = time.monotonic()
            _, answered = run_load(
                fleet, [{"pipeline": "four", "account": "a0",
                         "rate_per_s": rate}], 4, 64)
            wall = time.monotonic() - started_at
            used = [cpu_s(fleet.processes[name].pid) - process_cpu_before
                    for name, process_cpu_before in zip(names, cpu_before)]
            points.append((len(answered) / wall, used[0] / wall * 1e6,
                           sum(used[1:]) / wall * 1e6))
    finally:
        fleet.stop()
    return points


def memory_by_in_progress():
    """Returns the resident KB of an entry by requests in progress."""
    points = []
    for request_count in (10, 100, 200, 300):
        fleet = start_fleet(8, 1, service_ms=1500)
        try:
            mix = [{"pipeline": "one", "account": "a0",
                    "rate_per_s": request_count / 0.3, "until_s": 0.3,
                    "deadline_ms": 5000}]
            out = Path(fleet.folder) / "flood.jsonl"
            process = subprocess.Popen(
                [BIN / "load", "--entries", fleet.entries["entry-1"][0],
                 "--mix", json.dumps(mix), "--seconds", "1", "--out", out,
                 "--callers", str(request_count * 2)])
            time.sleep(1.1)
            count = call(fleet.admin["entry-1"], "/status")[1]["in_progress"]
            points.append((count, rss_kb(fleet.processes["entry-1"].pid)))
            process.wait()
        finally:
            fleet.stop()
    return points


def ledger_memory():
    """Returns the resident KB of a sidecar by number of keys in its ledger."""
    points = []
    fleet = start_fleet(1, 1, accounts=4)
    try:
        time.sleep(6)  # Outlasts the initial wait of a new owner.
        # The request ids repeat, so each load uses another account.
        for index in range(4):
            run_load(fleet, [{"pipeline": "once", "account": f"a{index}",
                              "rate_per_s": 1500}], 2, 64)
            status = call(fleet.admin["t1"], "/status")[1]
            points.append((status["ledger_keys"],
                           rss_kb(fleet.processes["sidecar t1"].pid)))
            time.sleep(0.2)
    finally:
        fleet.stop()
    return points


def change_costs():
    """Returns the CPU microseconds and bytes of one change by manifest size."""
    points = []
    for account_count in (1, 2000, 8000):
        fleet = start_fleet(2, 1, accounts=account_count)
        try:
            pid = fleet.processes["entry-1"].pid
            idle_before = idle_cost(fleet, "entry-1", 2)
            count = 10
            cpu_before, bytes_before = cpu_s(pid), loopback_bytes()
            started_at = time.monotonic()
            for generation in range(2, 2 + count):
                call(fleet.platform, "/control", {
                    "publish": manifest(2, account_count, generation)})
                time.sleep(0.6)
            wall = time.monotonic() - started_at
            used_us = (cpu_s(pid) - cpu_before) * 1e6 - idle_before[1] * wall
            traffic = loopback_bytes() - bytes_before - idle_before[2] * wall
            points.append((len(json.dumps(fleet.manifest)) / 1024,
                           used_us / count, traffic / count))
        finally:
            fleet.stop()
    return points


def table_row(name, unit, points):
    slope, intercept, residual = fit_line(points)
    measured = ", ".join(f"{x:.0f}: {y:.0f}" for x, y in points)
    return (f"| {name} | {slope:.3g} {unit} | {intercept:.0f} "
            f"| {residual:.0f} | {measured} |")


def main():
    rows = ["| what | slope | base | largest residual | measured at |",
            "| --- | --- | --- | --- | --- |"]
    entry_points, sidecar_points = link_costs()
    for name, points in (("entry", entry_points), ("sidecar", sidecar_points)):
        for index, (quantity, unit) in enumerate((
                ("resident memory", "KB a link"),
                ("processor, idle", "us/s a link"),
                ("traffic of the link, idle", "bytes/s a link"))):
            rows.append(table_row(f"{name}: {quantity}", unit,
                                  [(size, values[index])
                                   for size, values in points]))
    points = account_costs()
    rows.append(table_row("entry: memory by client accounts", "KB an account",
                          [(point[0], point[1]) for point in points]))
    rows.append(table_row("manifest: size by client accounts", "KB an account",
                          [(point[0], point[2]) for point in points]))
    points = request_costs()
    rows.append(table_row("entry: processor by requests of 4 stages",
                          "us a request",
                          [(point[0], point[1]) for point in points]))
    rows.append(table_row("sidecars: processor by requests of 4 stages",
                          "us for 4 hops",
                          [(point[0], point[2]) for point in points]))
    rows.append(table_row("entry: memory by requests in progress",
                          "KB a request", memory_by_in_progress()))
    rows.append(table_row("sidecar: memory by remembered calls",
                          "KB a call", ledger_memory()))
    points = change_costs()
    rows.append(table_row("entry: processor of a change by manifest size",
                          "us a KB",
                          [(point[0], point[1]) for point in points]))
    rows.append(table_row("fleet of 3: traffic of a change by manifest size",
                          "bytes a KB",
                          [(point[0], point[2]) for point in points]))
    text = "\n".join(rows)
    print(text)
    if CAPACITY_PAGE.exists():
        page = CAPACITY_PAGE.read_text()
        before, rest = page.split(TABLE_BEGIN)
        after = rest.split(TABLE_END)[1]
        CAPACITY_PAGE.write_text(
            f"{before}{TABLE_BEGIN}\n{text}\n{TABLE_END}{after}")


if __name__ == "__main__":
    main()
