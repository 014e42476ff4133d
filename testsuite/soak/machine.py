"""A machine of the soak: a node process, its backend server, and the relays around it."""
import asyncio
import json
import os
import signal
import subprocess

from backend_standin import Backend
from relay import Relay
from record import now
from deployment import BOUNDS, ZONES

RESTART_S = 0.5


class Machine:
    """Addresses are 127.10.N.1 for the machine and 127.20.N.1 for what other nodes are told."""

    def __init__(self, number, zone, service, folder, program, base_port):
        self.name = f"node-{zone}-{number}"
        self.zone = zone
        self.service = service
        self.folder = folder
        self.program = program
        ip, outside = f"127.10.{number}.1", f"127.20.{number}.1"
        port = lambda offset: f"{ip}:{base_port + offset}"  # noqa: E731
        self.inbound, self.backend_address, self.ready, self.outbound, self.control = (port(i) for i in range(5))
        self.backend_relay_address, self.store_address = port(5), port(6)
        self.announced = f"{outside}:{base_port}"
        self.link_relay = Relay(self.inbound)
        self.backend_relay = Relay(self.backend_address)
        self.store_relay = None
        self.process = None
        self.log = None
        self.expected_end = True
        self.takes_callers = False
        self.backend = None
        self.first_start = True
        self.bounds = dict(BOUNDS)
        self.starts = 0

    async def open(self, store_address):
        """Opens the relays."""
        self.store_relay = Relay(store_address)
        await self.link_relay.start(self.announced)
        await self.backend_relay.start(self.backend_relay_address)
        await self.store_relay.start(self.store_address)

    def settings(self):
        """Returns the settings file's content."""
        return {
            "self": {"nodeName": self.name, "nodeRole": "sidecar", "machineClass": "sidecar", "serves": ["sidecar"],
                     "ipAddr": self.inbound.split(":")[0], "zone": self.zone, "region": ZONES[self.zone],
                     "bootstrap": self.first_start, "dataDir": None, "appAddr": self.backend_relay_address,
                     "service": self.service},
            "network": {"listen": {"inbound": self.inbound, "outbound": self.outbound, "ready": self.ready,
                                   "control": self.control}, "innerPorts": [], "seedAddrs": [], "zones": ZONES},
            "platform": {"discovery": "static", "beatIntervalS": 1.0,
                         "platform": {"address": self.store_address, "form": "objects"}},
            "terms": {"contracts": [], "bounds": self.bounds},
        }

    def settings_path(self):
        """Returns the path of the settings file."""
        return os.path.join(self.folder, self.name + ".json")

    def write_settings(self):
        """Replaces the settings file at once."""
        path = self.settings_path()
        with open(path + ".new", "w", encoding="utf-8") as out:
            json.dump(self.settings(), out)
        os.replace(path + ".new", path)

    def start(self):
        """Starts the node process."""
        self.write_settings()
        self.starts += 1
        self.log = open(os.path.join(self.folder, f"{self.name}.{self.starts}.log"), "wb")
        environment = {"WAGTAILHEAD_BOOT": self.settings_path(), "WAGTAILHEAD_ANNOUNCE_LINK": self.announced,
                       "PATH": os.environ.get("PATH", "")}
        self.process = subprocess.Popen([self.program], stdin=subprocess.DEVNULL, stdout=self.log,
                                        stderr=subprocess.STDOUT, env=environment)
        self.expected_end = False
        self.first_start = False

    def send(self, number):
        """Sends a signal to the node process, if it runs."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def end(self, number, limit_s):
        """Ends the node process by a signal, and by SIGKILL after a limit. Returns whether it ended by itself."""
        self.expected_end = True
        self.send(number)
        limit = now() + limit_s
        while self.process.poll() is None and now() < limit:
            await asyncio.sleep(0.02)
        by_itself = self.process.poll() is not None
        if not by_itself:
            self.process.kill()
            self.process.wait()
        self.log.close()
        return by_itself

    async def restart(self, number, limit_s):
        """Ends the node process and starts it again, as the platform does."""
        by_itself = await self.end(number, limit_s)
        await asyncio.sleep(RESTART_S)
        self.start()
        return by_itself

    async def start_backend(self, site, record, same_as=None, set_back_s=0.0):
        """Starts a new incarnation of the backend server: under the id of an earlier one, if that is given, with a time
        of day that has been set back by more than has passed."""
        for _ in range(100):
            self.backend = Backend(self, site, record, same_as, set_back_s)
            try:
                await self.backend.start()
                return
            except OSError:  # The address is still in use by the one before.
                await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name}: the backend server's address stays in use")

    async def close(self):
        """Ends everything of this machine."""
        if self.backend:
            self.backend.crash()
        if self.process and self.process.poll() is None:
            self.send(signal.SIGCONT)
            await self.end(signal.SIGKILL, 2)
        for relay in (self.link_relay, self.backend_relay, self.store_relay):
            if relay:
                relay.close()
