"""The entry processes under test: their settings, signals and exits."""

import asyncio
import os
import signal
import subprocess

from proxy import Link, Proxy

GRACE_S = 4
LONG_GRACE_S = 8  # Where streams may outlast a stop.
DRAIN_S = 1.0  # By then, a draining target gets no new requests.
CONFIG_S = 1.0  # By then, a published configuration is in force.
RECOVERY_S = 2.0  # After a disturbance, until the bounds hold again.
MEMORY_MB = 256  # That an entry may take.
KEEPER_STOP_S = 3  # From SIGTERM, by then a record keeper has exited.
HOSTS_PER_GAP = 6  # Of these hosts of engines, one has no record keeper.
# Settings that can't be used, by the text that they replace.
ABSURD_SETTINGS = (
    (f"memory_mb = {MEMORY_MB}", "memory_mb = -1"), ("max_fds = 4096", "max_fds = 0"),
    ("cpu_share = 0.5", "cpu_share = nan"),
    ("cpu_cores = 1", "cpu_cores = 1e300"),
    ("grace_s = ", "grace_s = -9223372036854775808 #"),
    ("config_ms", 'config_ms = "soon" #'), ("drain_ms", "drain_ms = 1e300 #"),
    ("budget_ratio = 0.2", "budget_ratio = -inf"),
    ("budget_window_s = 10", "budget_window_s = 0"),
    ("seeds = [", "seeds = [7, [], "), ("frontend", "frontend = 0 #"),
    ("internal_ports = [", 'internal_ports = [70000, "", '),
    ('zone = "', 'zone = "\\u0000'), ("[platform]", "[[platform]]"))


async def wait_ready(fleet):
    for _ in range(200):
        await asyncio.sleep(0.1)
        if all([await entry.is_ready() for entry in fleet]):
            return
    raise SystemExit("the entries did not become ready")


class RecordKeepers:
    """The record keepers: one process on the host of each engine.

    One of so many hosts has none, the seed says which one.
    """

    def __init__(self, entry_program, port, folder, hosts_per_gap=None,
                 seed=0):
        self.program = os.path.join(os.path.dirname(entry_program),
                                    "mangofold-platform-keeper")
        self.port = port
        self.folder = folder
        # None: all hosts have one; 0: none has.
        self.hosts_per_gap = hosts_per_gap
        self.seed = seed
        self.processes = {}  # By host; None while it is down.
        self.disturbed = None  # Host whose keeper is disturbed.
        self.undisturbed_since = 0.0
        self.unexpected_exits = []  # Hosts and exit codes.

    def has_keeper(self, host):
        if not self.hosts_per_gap:
            return self.hosts_per_gap is None
        number = int(host.rsplit(".", 1)[1])
        return (number + self.seed) % self.hosts_per_gap != 0

    def start(self, host):
        if not self.has_keeper(host):
            return
        path = os.path.join(self.folder, f"keeper-{host}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(f"""node_name = "keeper-{host}"
ip = "{host}"
internal_ports = [{self.port}, {self.port}]
""")
        with open(path + ".log", "a", encoding="utf-8") as log:
            self.processes[host] = subprocess.Popen(
                [self.program], stdout=log, stderr=log,
                env={**os.environ, "MANGOFOLD_CONFIG": path})

    def stop(self, host):
        """Ends the keeper on a host that has gone."""
        if process := self.processes.pop(host, None):
            self._end(host, process)

    async def retire(self, host):
        """Tells the keeper on a host that leaves to stop, until it exits."""
        if not (process := self.processes.pop(host, None)):
            return
        process.send_signal(signal.SIGTERM)
        until = asyncio.get_running_loop().time() + KEEPER_STOP_S
        while process.poll() is None and \
                asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.02)
        if process.poll() != 0:
            self.unexpected_exits.append((host, process.poll()))
            process.kill()
            process.wait()

    def _end(self, host, process):
        if process.poll() is not None:
            self.unexpected_exits.append((host, process.returncode))
        process.kill()
        process.wait()

    async def restart(self, host, down_s):
        """Kills the keeper on a host and starts it again without records."""
        self._end(host, self.processes[host])
        self.processes[host] = None
        await asyncio.sleep(down_s)
        if host in self.processes:  # The host has not gone meanwhile.
            self.start(host)

    async def pause(self, host, duration_s):
        process = self.processes[host]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        process.send_signal(signal.SIGCONT)

    def pick(self, picker):
        """Returns a host, or None: a record survives the loss of one keeper.

        Until its copies have been made again, no other one may be lost.
        """
        now = asyncio.get_running_loop().time()
        if self.disturbed or not self.processes or \
                now < self.undisturbed_since + RECOVERY_S:
            return None
        return picker.choice(sorted(self.processes))

    async def disturb(self, host, disturbance):
        self.disturbed = host
        await disturbance
        self.disturbed = None
        self.undisturbed_since = asyncio.get_running_loop().time()

    def terminate(self):
        for host in list(self.processes):
            self.stop(host)


class Entry:
    """One entry process, restarted whenever it has exited."""

    def __init__(self, program, number, base, store_address, folder, seeds,
                 downlinks, bytes_per_s=0):
        self.program = program
        self.name = f"entry-{number}"
        self.zone = "ab"[number % 2]
        port = base + 10 * number
        self.frontend, self.readiness, self.control_plane, at_store = (
            f"127.0.0.1:{port + offset}" for offset in range(4))
        # Other entries reach this entry through peer_proxy, unless is_direct.
        self.is_direct = False
        self.downlink = Link(bytes_per_s)
        self.keeper_port = 0  # Of the record keepers; 0 if there are none.
        self.peer_proxy = Proxy(f"127.0.0.1:{port + 4}", self.control_plane,
                                target_link=self.downlink,
                                client_links=downlinks)
        downlinks[self.peer_proxy.address] = self.downlink
        self.store_proxy = Proxy(at_store, store_address,
                                 default_client_link=self.downlink)
        self.path = os.path.join(folder, self.name + ".toml")
        self.log_path = os.path.join(folder, self.name + ".log")
        self.seeds = seeds
        self.process = None
        self.incarnation = 0
        self.grace_s = GRACE_S
        self.last_disturbance_end = 0.0
        self.last_unplanned_end = 0.0  # Restarts after stops are planned.
        self.disturbance_count = 0
        self.planned_count = 0  # Of them.
        self.begun_disturbances = 0  # All of the run.
        self.started_at = 0.0
        self.stopped_at = 0.0  # When it was told to stop.
        self.stops = {}  # The same, by incarnation.
        self.starts = {}
        self.hangups = []  # When it got a SIGHUP.
        self.missed_checks = 0  # Of the balancer, in a row.
        self.is_stopping = False
        self.unexpected_exits = []  # Exit codes, and when.
        self.peak_memory_mb = 0.0  # Of all its processes.

    def write_settings(self, is_truncated=False, replaced=("", "")):
        text = f"""node_name = "{self.name}"
zone = "{self.zone}"
region = "r"
internal_ports = [{self.keeper_port}, {self.keeper_port}]
seeds = [{", ".join(f'"{seed}"' for seed in self.seeds)}]
heartbeat_ms = 400
announced_peers = "{self.control_plane if self.is_direct
                     else self.peer_proxy.address}"
[bind]
frontend = "{self.frontend}"
readiness = "{self.readiness}"
control_plane = "{self.control_plane}"
[limits]
cpu_share = 0.5
cpu_cores = 1
memory_mb = {MEMORY_MB}
max_fds = 4096
[bounds]
drain_ms = {int(DRAIN_S * 1000)}
grace_s = {self.grace_s}
config_ms = {int(CONFIG_S * 1000)}
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
[platform]
address = "{self.store_proxy.address}"
"""
        text = text.replace(*replaced) if replaced[0] else text
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text[:len(text) // 2] if is_truncated else text)

    def disturb_settings(self, picker):
        """Writes other settings, or none; a process that starts needs them."""
        if asyncio.get_running_loop().time() < self.started_at + 1 or \
                not self.has_begun():
            return
        how = picker.choice(("whole", "truncated", "missing", "absurd"))
        replaced = picker.choice(ABSURD_SETTINGS) if how == "absurd" \
            else ("budget_slack = 100",
                  f"budget_slack = {100 + picker.random()}")
        self.write_settings(how == "truncated", replaced)
        if how == "missing":
            os.remove(self.path)

    async def open(self):
        """Starts the process and the proxies for its store and its peers."""
        await self.store_proxy.start()
        await self.peer_proxy.start()
        self.start()

    def start(self):
        self.write_settings()
        self.started_at = asyncio.get_running_loop().time()
        with self.open_log() as log:
            self.process = subprocess.Popen(
                [self.program], stdout=log, stderr=log,
                env={**os.environ, "MANGOFOLD_CONFIG": self.path})
        self.incarnation += 1
        self.starts[self.incarnation] = self.started_at
        self.is_stopping = False

    def open_log(self):
        return open(self.log_path, "a", encoding="utf-8")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def has_begun(self):
        """Whether the program's own code runs: it has read its settings."""
        if not self.is_running():
            return False
        try:
            read = os.stat(self.path)
        except FileNotFoundError:  # See disturb_settings.
            return True
        return read.st_atime_ns > read.st_mtime_ns or \
            asyncio.get_running_loop().time() > self.started_at + 0.5

    async def is_ready(self):
        host, port = self.readiness.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            status_line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in status_line
        except (OSError, asyncio.TimeoutError):
            return False

    async def check_readiness(self):
        """Checks once per second whether it is ready, as a balancer does."""
        while True:
            is_ready = await self.is_ready()
            self.missed_checks = 0 if is_ready else self.missed_checks + 1
            await asyncio.sleep(1)

    def is_in_rotation(self):
        return self.missed_checks < 2

    def send_signal(self, signal_number):
        if self.is_running():
            self.process.send_signal(signal_number)
            if signal_number == signal.SIGHUP:
                self.hangups.append(asyncio.get_running_loop().time())

    def begin_disturbance(self, is_planned=False):
        self.disturbance_count += 1
        self.planned_count += is_planned
        self.begun_disturbances += 1

    def end_disturbance(self, is_planned=False):
        self.disturbance_count -= 1
        self.planned_count -= is_planned
        self.last_disturbance_end = asyncio.get_running_loop().time()
        if not is_planned:
            self.last_unplanned_end = self.last_disturbance_end

    def is_undisturbed(self, since):
        """Whether no unplanned disturbance has affected it after `since`."""
        return self.disturbance_count == 0 and \
            self.last_disturbance_end < since

    def has_only_planned(self, since):
        """Whether nothing but planned work has affected it after `since`."""
        return self.disturbance_count == self.planned_count and \
            self.last_unplanned_end < since

    def is_in_touch(self, incarnation, at, touch_s):
        """Whether it was neither started nor told to stop just before."""
        moments = (self.starts[incarnation], self.stops.get(incarnation, 0))
        return not any(at - touch_s < moment <= at for moment in moments)

    async def wait_exit(self, timeout_s):
        for _ in range(int(timeout_s / 0.05)):
            if not self.is_running():
                return True
            await asyncio.sleep(0.05)
        return False

    async def kill(self, down_s):
        self.begin_disturbance()
        self.send_signal(signal.SIGKILL)
        await self.wait_exit(2)
        self.store_proxy.reset()
        await asyncio.sleep(down_s)
        self.start()
        await asyncio.sleep(1.5)  # A new process reads the whole state first.
        self.end_disturbance()

    async def pause(self, duration_s):
        self.begin_disturbance()
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self.send_signal(signal.SIGCONT)
        self.end_disturbance()

    async def stop_gracefully(self, faults):
        """Stops and restarts it; it must exit within its grace period."""
        self.is_stopping = True
        self.stopped_at = asyncio.get_running_loop().time()
        self.stops[self.incarnation] = self.stopped_at
        self.send_signal(signal.SIGTERM)
        if not await self.wait_exit(self.grace_s + 1):
            faults.append(f"{self.name}: still running after its grace period")
            self.send_signal(signal.SIGKILL)
            await self.wait_exit(2)
        elif self.process.returncode != 0:
            self.note_unexpected_exit()
        self.begin_disturbance(is_planned=True)
        self.start()
        await asyncio.sleep(1.5)
        self.end_disturbance(is_planned=True)

    def note_memory(self):
        """Notes the most memory that its process has taken."""
        if not self.is_running():
            return
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    peak_mb = int(line.split()[1]) * 1024 / 1e6
                    self.peak_memory_mb = max(self.peak_memory_mb, peak_mb)

    def restart_if_exited(self):
        """Records an unexpected exit and restarts the process."""
        if not self.is_running():
            self.note_unexpected_exit()
            self.start()

    def note_unexpected_exit(self):
        age_s = asyncio.get_running_loop().time() - self.started_at
        self.unexpected_exits.append(
            f"{self.process.returncode}, {age_s:.1f} s after its start at "
            f"most{', stopping' * self.is_stopping}")

    async def restart_on_exit(self):
        while True:
            await asyncio.sleep(0.1)
            self.note_memory()
            if not self.disturbance_count and not self.is_stopping:
                self.restart_if_exited()

    def terminate(self):
        self.note_memory()
        if self.is_running():
            self.process.kill()
            self.process.wait()
