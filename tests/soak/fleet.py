"""The entry processes under test: their settings, signals and exits."""

import asyncio
import os
import signal
import subprocess

from proxy import Link, Proxy

GRACE_S = 4
DRAIN_S = 1.0  # By then, a draining target gets no new requests.
CONFIG_S = 1.0  # By then, a published configuration is in force.
TOUCH_S = 2.0  # After a disturbance, until the bounds hold again.


class Entry:
    """One entry process, restarted whenever it has exited."""

    def __init__(self, program, number, base, store, folder, seeds,
                 downlinks, bytes_per_s=0):
        self.program = program
        self.name = f"entry-{number}"
        self.zone = "ab"[number % 2]
        port = base + 10 * number
        self.callers, self.readiness, self.peers, at_store = (
            f"127.0.0.1:{port + one}" for one in range(4))
        # Other entries reach this entry through peer_proxy, unless is_direct.
        self.is_direct = False
        self.downlink = Link(bytes_per_s)
        self.link = Proxy(f"127.0.0.1:{port + 4}", self.peers,
                          there=self.downlink, callers=downlinks)
        downlinks[self.link.address] = self.downlink
        self.store = Proxy(at_store, store, back=self.downlink)
        self.path = os.path.join(folder, self.name + ".toml")
        self.log_path = os.path.join(folder, self.name + ".log")
        self.seeds = seeds
        self.process = None
        self.incarnation = 0
        self.disturbed_at = 0.0  # When the last unplanned one ended.
        self.is_disturbed = 0
        self.is_stopping = False
        self.ends = []  # Exit codes.

    def write_settings(self, torn=False):
        text = f"""node_name = "{self.name}"
zone = "{self.zone}"
region = "r"
seeds = [{", ".join(f'"{one}"' for one in self.seeds)}]
heartbeat_ms = 400
announced_peers = "{self.peers if self.is_direct else self.link.address}"
[bind]
frontend = "{self.callers}"
readiness = "{self.readiness}"
control_plane = "{self.peers}"
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
address = "{self.store.address}"
"""
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text[:len(text) // 2] if torn else text)

    async def open(self):
        """Starts the process and the proxies for its store and its peers."""
        await self.store.start()
        await self.link.start()
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

    def send(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def begin_disturbance(self):
        self.is_disturbed += 1

    def end_disturbance(self):
        self.is_disturbed -= 1
        self.disturbed_at = asyncio.get_running_loop().time()

    def is_calm(self, since):
        """Whether no unplanned disturbance has affected it after `since`."""
        return self.is_disturbed == 0 and self.disturbed_at < since

    async def wait_end(self, most):
        for _ in range(int(most / 0.05)):
            if not self.is_running():
                return True
            await asyncio.sleep(0.05)
        return False

    async def kill(self, down_s):
        self.begin_disturbance()
        self.send(signal.SIGKILL)
        await self.wait_end(2)
        self.store.reset()
        await asyncio.sleep(down_s)
        self.start()
        await asyncio.sleep(1.5)  # A new process reads the whole state first.
        self.end_disturbance()

    async def pause(self, for_s):
        self.begin_disturbance()
        self.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.send(signal.SIGCONT)
        self.end_disturbance()

    async def stop_in_order(self, faults):
        """Stops and restarts it; it must exit within its grace period."""
        self.is_stopping = True
        self.send(signal.SIGTERM)
        if not await self.wait_end(GRACE_S + 1):
            faults.append(f"{self.name}: still running after its grace period")
            self.send(signal.SIGKILL)
            await self.wait_end(2)
        self.begin_disturbance()
        self.start()
        await asyncio.sleep(1.5)
        self.end_disturbance()

    async def watch(self):
        """Records unexpected exits and restarts the process."""
        while True:
            await asyncio.sleep(0.1)
            if self.is_running() or self.is_disturbed or self.is_stopping:
                continue
            self.ends.append(self.process.returncode)
            self.start()

    def end(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()
