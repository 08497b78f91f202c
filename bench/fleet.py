"""Starts and stops a fleet of real processes on loopback from a manifest."""

import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(os.environ.get("MANGOFOLD_BIN", ROOT / "build" / "bin"))
HOST = "127.0.0.1"

# Kind and service time in milliseconds of the stand-ins of each pool.
STANDIN_KINDS = {
    "encoders": ("encoder", 4), "retrievers": ("retriever", 6),
    "rerankers": ("reranker", 8), "generators": ("generator", 120),
    "booking": ("service", 10), "seats": ("service", 10)}
DEFAULT_SERVICE = ("service", 5)


def call(address, path, body=None, timeout=10.0):
    """Returns the status and parsed JSON body of one HTTP request; status 0
    when there was no response."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            status, text = response.status, response.read()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read()
    except (OSError, ValueError):
        return 0, {}
    try:
        return status, json.loads(text) if text else {}
    except ValueError:
        return status, {}


class Fleet:
    """All processes of one deployment."""

    def __init__(self, manifest, folder, entries=2, first_port=20000,
                 kinds=None, entry_flags=(), sidecar_flags=(), list_lag=500,
                 entry_bin=None, sidecar_bin=None):
        self.manifest = manifest
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes = {}
        self.commands = {}
        self.kinds = kinds or {}
        self.platform = f"{HOST}:{first_port}"
        self.entry_flags = list(entry_flags)
        self.sidecar_flags = list(sidecar_flags)
        self.list_lag = list_lag
        self.entry_bin = entry_bin or BIN / "mangofold-entry"
        self.sidecar_bin = sidecar_bin or BIN / "mangofold-sidecar"
        zones = manifest["zones"]
        self.entries = {
            f"entry-{number}": (f"{HOST}:{first_port + 10 + number}",
                                f"{HOST}:{first_port + 60 + number}",
                                zones[(number - 1) % len(zones)])
            for number in range(1, entries + 1)}
        self.targets = {target["id"]: (target, pool)
                        for pool in manifest["pools"]
                        for target in pool["targets"]}
        self.admin = {}

    def start(self):
        path = self.folder / "manifest.json"
        path.write_text(json.dumps(self.manifest))
        for record in self.folder.glob("*.records"):
            record.unlink()
        self.spawn("platform", [
            BIN / "standin", "--kind", "platform", "--listen", self.platform,
            "--manifest", path, "--list-lag-ms", self.list_lag,
            "--threads", 256])
        for name in self.targets:
            self.start_target(name)
        for name in self.targets:
            self.start_sidecar(name)
        for name in self.entries:
            self.start_entry(name)
        self.wait_ready()

    def start_target(self, name):
        target, pool = self.targets[name]
        kind, service_ms = self.kinds.get(
            pool["id"], STANDIN_KINDS.get(pool["id"], DEFAULT_SERVICE))
        self.spawn("target " + name, [
            BIN / "standin", "--kind", kind, "--id", name, "--listen",
            target["address"], "--service-ms", service_ms, "--slots",
            pool["slots"], "--record", self.folder / f"{name}.records"])

    def start_sidecar(self, name):
        target, _ = self.targets[name]
        host, port = target["sidecar"].split(":")
        self.admin[name] = f"{host}:{int(port) + 500}"
        self.spawn("sidecar " + name, [
            self.sidecar_bin, "--target-id", name, "--zone", target["zone"],
            "--listen", target["sidecar"], "--admin", self.admin[name],
            "--target", target["address"], "--platform", self.platform,
            *self.sidecar_flags])

    def start_entry(self, name):
        address, admin, zone = self.entries[name]
        self.admin[name] = admin
        self.spawn(name, [
            self.entry_bin, "--id", name, "--zone", zone, "--listen", address,
            "--admin", admin, "--platform", self.platform,
            *self.entry_flags])

    def spawn(self, name, command):
        command = [str(part) for part in command]
        log = open(self.folder / (name.replace(" ", "-") + ".log"), "ab")
        self.commands[name] = command
        self.processes[name] = subprocess.Popen(command, stderr=log,
                                                stdout=log)

    def wait_ready(self, names=None, timeout_s=20):
        deadline = time.monotonic() + timeout_s
        for name in names or list(self.entries):
            while call(self.admin[name], "/readyz", timeout=1)[0] != 200:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{name} did not become ready")
                time.sleep(0.05)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def restart(self, name):
        """Waits for a process to end, then starts it again."""
        self.processes[name].wait(timeout=60)
        self.spawn(name, self.commands[name])

    def generations(self):
        """Returns the active generation of each process that responds."""
        active = {}
        for name, admin in self.admin.items():
            status, body = call(admin, "/status", timeout=1)
            if status == 200:
                active[name] = body["generation"]
        return active

    def stop(self):
        """Stops all processes, entries and sidecars first. Returns the exit
        codes of entries and sidecars; None for one that had to be killed."""
        codes = {}
        own_names = [name for name in self.processes
                     if name.startswith(("entry", "sidecar"))]
        other_names = [name for name in self.processes
                       if name not in own_names]
        for group in (sorted(own_names), other_names):
            for name in group:
                process = self.processes[name]
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.send_signal(signal.SIGTERM)
            for name in group:
                try:
                    codes[name] = self.processes[name].wait(timeout=40)
                except subprocess.TimeoutExpired:
                    self.processes[name].kill()
                    codes[name] = None
        return {name: codes[name] for name in own_names}

    def records(self):
        """Returns the runs that targets recorded, one dictionary per run."""
        runs = []
        for path in self.folder.glob("*.records"):
            for line in path.read_text().splitlines():
                try:
                    runs.append(json.loads(line))
                except ValueError:
                    pass  # A killed target may leave an incomplete last line.
        return runs
