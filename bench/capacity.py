#!/usr/bin/env python3
"""Measures the slopes on which docs/CAPACITY.md rests and rewrites its table.

Usage: capacity.py
Each slope is a straight line through several sizes; the residual is the
largest distance of a measured value from it.
"""

import json
import re
import subprocess
import tempfile
import time
from pathlib import Path

from fleet import BIN, HOST, ROOT, Fleet, call

PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- slopes -->", "<!-- end of slopes -->"
TICKS_PER_S = 100


def rss_kb(pid):
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1))


def cpu_s(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def lo_bytes():
    """Bytes that crossed the loopback so far; nothing else uses it."""
    for text in Path("/proc/net/dev").read_text().splitlines():
        if text.strip().startswith("lo:"):
            return int(text.split(":")[1].split()[0])
    return 0


def line(points):
    """Returns slope, base and the largest residual of a least-squares line."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    return slope, base, max(abs(y - base - slope * x) for x, y in points)


def manifest(targets, accounts=1, generation=1):
    one = [{"id": f"t{number}", "zone": "z1",
            "address": f"{HOST}:{27000 + number}",
            "sidecar": f"{HOST}:{27500 + number}"}
           for number in range(1, targets + 1)]
    return {"generation": generation, "resend_horizon_ms": 1000,
            "zones": ["z1"], "models": [],
            "pools": [{"id": "p", "slots": 64, "targets": one}],
            "pipelines": [
                {"id": "four", "class": "urgent", "deadline_ms": 2000,
                 "stages": [{"id": f"s{n}", "pool": "p"} for n in range(4)]},
                {"id": "one", "class": "urgent", "deadline_ms": 2000,
                 "stages": [{"id": "s", "pool": "p"}]},
                {"id": "once", "class": "urgent", "deadline_ms": 2000,
                 "stages": [{"id": "s", "pool": "p", "repeatable": False}]}],
            "accounts": [{"id": f"a{number}"}
                         for number in range(accounts)]}


def fleet_of(targets, entries, accounts=1, service_ms=0):
    made = Fleet(manifest(targets, accounts),
                 tempfile.mkdtemp(prefix="capacity-"), entries=entries,
                 first_port=26000, kinds={"p": ("service", service_ms)},
                 entry_flags=["--links-per-pool", "1024"])
    made.start()
    time.sleep(1)
    return made


def idle(fleet, name, seconds=4):
    """Returns resident KB, and a second's CPU microseconds and bytes on the
    loopback, those of all processes together."""
    pid = fleet.processes[name].pid
    cpu, io = cpu_s(pid), lo_bytes()
    time.sleep(seconds)
    return (rss_kb(pid), (cpu_s(pid) - cpu) / seconds * 1e6,
            (lo_bytes() - io) / seconds)


def links():
    """Idle cost at each end of a link, by the number of links."""
    entry, sidecar = [], []
    for size in (2, 10, 20, 40):
        fleet = fleet_of(size, 1)
        try:
            entry.append((size, idle(fleet, "entry-1")))
        finally:
            fleet.stop()
    for size in (1, 5, 10, 20):
        fleet = fleet_of(1, size)
        try:
            sidecar.append((size, idle(fleet, "sidecar t1")))
        finally:
            fleet.stop()
    return entry, sidecar


def accounts():
    points = []
    for size in (1, 2000, 4000, 8000):
        fleet = fleet_of(1, 1, accounts=size)
        try:
            pid = fleet.processes["entry-1"].pid
            size_kb = len(json.dumps(fleet.manifest)) / 1024
            points.append((size, rss_kb(pid), size_kb))
        finally:
            fleet.stop()
    return points


def load(fleet, mix, seconds, callers, keeps=False):
    out = Path(fleet.folder) / "load.jsonl"
    entries = ",".join(one[0] for one in fleet.entries.values())
    subprocess.run([BIN / "load", "--entries", entries, "--mix",
                    json.dumps(mix), "--seconds", str(seconds), "--out", out,
                    "--callers", str(callers), "--keep", str(int(keeps))],
                   check=True)
    rows = [json.loads(text) for text in out.read_text().splitlines()]
    good = [row for row in rows if row["sendings"] and
            row["sendings"][-1]["outcome"] == "answered"]
    return rows, good


def requests():
    """CPU microseconds a request of four stages, at entry and sidecars."""
    points = []
    fleet = fleet_of(4, 1)
    try:
        for rate in (100, 200, 400, 800):
            names = ["entry-1"] + [f"sidecar t{n}" for n in range(1, 5)]
            before = [cpu_s(fleet.processes[name].pid) for name in names]
            begun = time.monotonic()
            _, good = load(fleet, [{"pipeline": "four", "account": "a0",
                                    "rate_per_s": rate}], 4, 64)
            wall = time.monotonic() - begun
            used = [cpu_s(fleet.processes[name].pid) - one
                    for name, one in zip(names, before)]
            points.append((len(good) / wall, used[0] / wall * 1e6,
                           sum(used[1:]) / wall * 1e6))
    finally:
        fleet.stop()
    return points


def in_progress():
    """Resident KB of an entry and a sidecar by requests in progress."""
    points = []
    for size in (10, 100, 200, 300):
        fleet = fleet_of(8, 1, service_ms=1500)
        try:
            flood = [{"pipeline": "one", "account": "a0",
                      "rate_per_s": size / 0.3, "until_s": 0.3,
                      "deadline_ms": 5000}]
            out = Path(fleet.folder) / "flood.jsonl"
            process = subprocess.Popen(
                [BIN / "load", "--entries", fleet.entries["entry-1"][0],
                 "--mix", json.dumps(flood), "--seconds", "1", "--out", out,
                 "--callers", str(size * 2)])
            time.sleep(1.1)
            count = call(fleet.admin["entry-1"], "/status")[1]["in_progress"]
            points.append((count, rss_kb(fleet.processes["entry-1"].pid)))
            process.wait()
        finally:
            fleet.stop()
    return points


def ledger():
    """Resident KB of a sidecar by calls that it remembers."""
    points = []
    fleet = fleet_of(1, 1, accounts=4)
    try:
        time.sleep(6)  # Past the wait of a fresh owner.
        for turn in range(4):  # The ids repeat, so another account each.
            load(fleet, [{"pipeline": "once", "account": f"a{turn}",
                          "rate_per_s": 1500}], 2, 64)
            status = call(fleet.admin["t1"], "/status")[1]
            points.append((status["ledger_keys"],
                           rss_kb(fleet.processes["sidecar t1"].pid)))
            time.sleep(0.2)
    finally:
        fleet.stop()
    return points


def changes():
    """CPU microseconds and bytes of one change, by the manifest's size."""
    points = []
    for size in (1, 2000, 8000):
        fleet = fleet_of(2, 1, accounts=size)
        try:
            pid = fleet.processes["entry-1"].pid
            base = idle(fleet, "entry-1", 2)
            count = 10
            cpu, io = cpu_s(pid), lo_bytes()
            begun = time.monotonic()
            for generation in range(2, 2 + count):
                call(fleet.platform, "/control", {
                    "publish": manifest(2, size, generation)})
                time.sleep(0.6)
            wall = time.monotonic() - begun
            used = (cpu_s(pid) - cpu) * 1e6 - base[1] * wall
            moved = lo_bytes() - io - base[2] * wall
            points.append((len(json.dumps(fleet.manifest)) / 1024,
                           used / count, moved / count))
        finally:
            fleet.stop()
    return points


def table(name, unit, points):
    slope, base, residual = line(points)
    shown = ", ".join(f"{x:.0f}: {y:.0f}" for x, y in points)
    return (f"| {name} | {slope:.3g} {unit} | {base:.0f} | {residual:.0f} | "
            f"{shown} |")


def main():
    rows = ["| what | slope | base | largest residual | measured at |",
            "| --- | --- | --- | --- | --- |"]
    entry, sidecar = links()
    for name, points in (("entry", entry), ("sidecar", sidecar)):
        for index, (what, unit) in enumerate((
                ("resident memory", "KB a link"),
                ("processor, idle", "us/s a link"),
                ("traffic of the link, idle", "bytes/s a link"))):
            rows.append(table(f"{name}: {what}", unit,
                              [(size, all_[index]) for size, all_ in points]))
    found = accounts()
    rows.append(table("entry: memory by client accounts", "KB an account",
                      [(one[0], one[1]) for one in found]))
    rows.append(table("manifest: size by client accounts", "KB an account",
                      [(one[0], one[2]) for one in found]))
    found = requests()
    rows.append(table("entry: processor by requests of 4 stages",
                      "us a request", [(one[0], one[1]) for one in found]))
    rows.append(table("sidecars: processor by requests of 4 stages",
                      "us for 4 hops", [(one[0], one[2]) for one in found]))
    rows.append(table("entry: memory by requests in progress",
                      "KB a request", in_progress()))
    rows.append(table("sidecar: memory by remembered calls",
                      "KB a call", ledger()))
    found = changes()
    rows.append(table("entry: processor of a change by manifest size",
                      "us a KB", [(one[0], one[1]) for one in found]))
    rows.append(table("fleet of 3: traffic of a change by manifest size",
                      "bytes a KB", [(one[0], one[2]) for one in found]))
    text = "\n".join(rows)
    print(text)
    if PAGE.exists():
        page = PAGE.read_text()
        before, rest = page.split(BEGIN)
        after = rest.split(END)[1]
        PAGE.write_text(f"{before}{BEGIN}\n{text}\n{END}{after}")


if __name__ == "__main__":
    main()
