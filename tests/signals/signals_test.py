"""Sends signals to real processes, from their first instruction to their exit.

Usage: signals_test.py [--starts N] [--base PORT] PROGRAM...
"""

import argparse
import concurrent.futures
import itertools
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

INTERVAL_S = 0.002
EXIT_S = 10  # By then, a process that was told to stop has exited.
AT_ONCE = 4  # Processes that run at the same time.
SIGNALS = (signal.SIGHUP, signal.SIGPIPE, signal.SIGUSR1, signal.SIGUSR2,
           signal.SIGTERM, signal.SIGINT)
STOPS = (signal.SIGTERM, signal.SIGINT)
SETTINGS = """node_name = "e"
zone = "a"
region = "r"
ip = "127.0.0.1"
internal_ports = [{4}, {4}]
[bind]
frontend = "127.0.0.1:{0}"
readiness = "127.0.0.1:{1}"
control_plane = "127.0.0.1:{2}"
[bounds]
grace_s = 0.05
[platform]
address = "127.0.0.1:{3}"
"""
# What the log says about a SIGHUP.
HANGUP_EVENTS = {"mangofold-platform-entry": '"settings_unchanged","why":"signal"',
                 "mangofold-platform-keeper": '"hangup_ignored"',
                 "mangofold-entry": '"hangup_ignored"',
                 "mangofold-sidecar": '"hangup_ignored"'}


def flags_of(name, ports):
    addresses = [f"127.0.0.1:{port}" for port in ports]
    common = ["--zone", "a", "--listen", addresses[0], "--admin", addresses[1],
              "--platform", addresses[3], "--drain-ms", "50"]
    return {"mangofold-entry": ["--id", "e", *common],
            "mangofold-sidecar": ["--target-id", "t", "--target", addresses[2],
                                  *common],
            "standin": ["--kind", "plain", "--listen", addresses[0]],
            }.get(name, [])


class Start:
    """One process, started with its signals blocked or not."""

    def __init__(self, program, ports, folder, is_blocked):
        self.folder = folder
        name = os.path.basename(program)
        settings = os.path.join(folder, "settings.toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(*ports))
        self.log_path = os.path.join(folder, "log")
        # The loader reports there which code it calls.
        environment = {**os.environ, "MANGOFOLD_CONFIG": settings,
                       "LD_DEBUG": "files",
                       "LD_DEBUG_OUTPUT": os.path.join(folder, "loader")}
        signal.pthread_sigmask(
            signal.SIG_BLOCK if is_blocked else signal.SIG_UNBLOCK, SIGNALS)
        try:
            with open(self.log_path, "w", encoding="utf-8") as log:
                self.process = subprocess.Popen(
                    [program, *flags_of(name, ports)], env=environment,
                    stdout=log, stderr=log)
        finally:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        if not is_blocked:
            self._wait_first_instruction()

    # Until the loader calls the first code of a program or library, no program
    # can change what a signal does.
    def _wait_first_instruction(self):
        path = os.path.join(self.folder, f"loader.{self.process.pid}")
        while self.process.poll() is None:
            if os.path.exists(path):
                with open(path, encoding="utf-8", errors="replace") as file:
                    if "calling init" in file.read():
                        return

    def send(self, sent, repeated_for_s):
        """Sends a signal once, or every INTERVAL_S until the exit or a time."""
        end = time.monotonic() + repeated_for_s
        while self.process.poll() is None:
            self.process.send_signal(sent)
            if time.monotonic() >= end:
                return
            time.sleep(INTERVAL_S)

    def logs_hangup(self):
        """Waits until the log has the signal. Returns whether it has."""
        event = HANGUP_EVENTS.get(os.path.basename(self.process.args[0]), "")
        end = time.monotonic() + EXIT_S
        while time.monotonic() < end and self.process.poll() is None:
            with open(self.log_path, encoding="utf-8") as file:
                if event in file.read():
                    return True
            time.sleep(INTERVAL_S)
        return False

    def fault(self):
        """Waits for the exit. Returns what was wrong, or nothing."""
        try:
            code = self.process.wait(EXIT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return "still running"
        return f"exit code {code}" if code != 0 else None


def run_once(program, sent, number, ports):
    chance = random.Random(f"{program} {sent} {number}")
    is_repeated = number % 4 < 2
    with tempfile.TemporaryDirectory() as folder:
        start = Start(program, ports, folder, is_blocked=number % 2 == 0)
        if sent in STOPS:
            time.sleep(chance.uniform(0, 0.04))
            start.send(sent, EXIT_S if is_repeated else 0)
        elif is_repeated:
            start.send(sent, chance.uniform(0.05, 0.25))
            start.process.send_signal(signal.SIGTERM)
            start.send(sent, EXIT_S)
        else:
            # Only the first signal, which comes before any handler.
            start.send(sent, 0)
            is_logged = sent != signal.SIGHUP or start.logs_hangup()
            time.sleep(0.15)
            start.process.send_signal(signal.SIGTERM)
            return start.fault() or (None if is_logged
                                     else "SIGHUP not logged")
        return start.fault()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("programs", nargs="+")
    parser.add_argument("--starts", type=int, default=50)
    parser.add_argument("--base", type=int, default=19000)
    arguments = parser.parse_args()
    # Most starts are for SIGHUP, which may come at any time.
    starts = [(program, sent, number)
              for program in arguments.programs for sent in SIGNALS
              for number in range(arguments.starts if sent == signal.SIGHUP
                                  else max(4, arguments.starts // 5))]
    ports = itertools.count(arguments.base, 5)
    faults = {}
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        results = pool.map(
            lambda start: run_once(*start, [
                arguments.base + (next(ports) - arguments.base) % 900 + offset
                for offset in range(5)]), starts)
        for (program, sent, number), fault in zip(starts, results):
            if fault:
                way = "blocked" if number % 2 == 0 else "unblocked"
                key = (os.path.basename(program), sent.name, way, fault)
                faults[key] = faults.get(key, 0) + 1
    for key, count in sorted(faults.items()):
        print(*key, f"{count} times")
    print(f"{sum(faults.values())} of {len(starts)} starts failed")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
