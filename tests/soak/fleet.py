"""The entry processes under test: their settings, signals and exits."""

import asyncio
import os
import signal
import subprocess

from proxy import Link, Proxy

GRACE_S = 4
DRAIN_S = 1.0  # By then, a draining target gets no new requests.
CONFIG_S = 1.0  # By then, a published configuration is in force.
RECOVERY_S = 2.0  # After a disturbance, until the bounds hold again.


class RecordKeepers:
    """The record keepers: one process on the host of each engine."""

    def __init__(self, entry_program, port, folder):
        self.program = os.path.join(os.path.dirname(entry_program),
                                    "mangofold-platform-keeper")
        self.port = port
        self.folder = folder
        self.processes = {}  # By host.

    def start(self, host):
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

    async def restart(self, host, down_s):
        """Kills the keeper on a host and starts it again without records."""
        self.processes[host].kill()
        self.processes[host].wait()
        await asyncio.sleep(down_s)
        self.start(host)

    def terminate(self):
        for process in self.processes.values():
            process.kill()
            process.wait()


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
        self.last_disturbance_end = 0.0  # When the last unplanned one ended.
        self.disturbance_count = 0
        self.is_stopping = False
        self.unexpected_exits = []  # Exit codes.

    def write_settings(self, is_truncated=False):
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
memory_mb = 256
max_fds = 4096
[bounds]
drain_ms = {int(DRAIN_S * 1000)}
grace_s = {GRACE_S}
config_ms = {int(CONFIG_S * 1000)}
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
[platform]
address = "{self.store_proxy.address}"
"""
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text[:len(text) // 2] if is_truncated else text)

    async def open(self):
        """Starts the process and the proxies for its store and its peers."""
        await self.store_proxy.start()
        await self.peer_proxy.start()
        self.start()

    def start(self):
        self.write_settings()
        log = open(self.log_path, "a", encoding="utf-8")
        self.process = subprocess.Popen(
            [self.program], stdout=log, stderr=log,
            env={**os.environ, "MANGOFOLD_CONFIG": self.path})
        log.close()
        self.incarnation += 1
        self.is_stopping = False

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, signal_number):
        if self.is_running():
            self.process.send_signal(signal_number)

    def begin_disturbance(self):
        self.disturbance_count += 1

    def end_disturbance(self):
        self.disturbance_count -= 1
        self.last_disturbance_end = asyncio.get_running_loop().time()

    def is_undisturbed(self, since):
        """Whether no unplanned disturbance has affected it after `since`."""
        return self.disturbance_count == 0 and \
            self.last_disturbance_end < since

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
        self.send_signal(signal.SIGTERM)
        if not await self.wait_exit(GRACE_S + 1):
            faults.append(f"{self.name}: still running after its grace period")
            self.send_signal(signal.SIGKILL)
            await self.wait_exit(2)
        self.begin_disturbance()
        self.start()
        await asyncio.sleep(1.5)
        self.end_disturbance()

    async def restart_on_exit(self):
        """Records unexpected exits and restarts the process."""
        while True:
            await asyncio.sleep(0.1)
            if self.is_running() or self.disturbance_count or self.is_stopping:
                continue
            self.unexpected_exits.append(self.process.returncode)
            self.start()

    def terminate(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()
