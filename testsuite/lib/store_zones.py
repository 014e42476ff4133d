"""Two zones of real sidecar processes whose other parts, the store among them, are stand-ins of the soak."""
import asyncio
import gc
import os
import random
import re
import signal
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "testsuite", "soak"))

from backend_standin import Backend  # noqa: E402
from deployment import BOUNDS, Service, Site  # noqa: E402
from http_codec import call, request_bytes, read_response, split_address, HttpError  # noqa: E402
from machine import Machine  # noqa: E402
from record import Record, Route, SAFE, now  # noqa: E402
from store_standin import StoreStandin  # noqa: E402
from world import free_base_port  # noqa: E402

ZONE, OTHER_ZONE = "east-a", "west-a"
READY_LIMIT_S = 20.0
SETTLE_S = 5.0
SLOW_S = 0.9  # Each way.
BIN_DIR = os.environ.get("BIN_DIR", os.path.join(ROOT, "build", "bin"))


class TwoServices(Site):
    """One route that goes to one service or to the other."""

    def __init__(self):
        super().__init__()
        self.routes = [Route("stock", "shop.example", "/stock/", SAFE, "catalogue", 1.0, 1, 0.4)]
        self.services = {"catalogue": Service(100, 0.01), "stock": Service(100, 0.01)}

    def move(self):
        """Moves the route to the other service."""
        route = self.routes[0]
        route.service = "stock" if route.service == "catalogue" else "catalogue"
        self.version += 2


class Zones:
    """Two zones whose watchers lose the store. No node of one of them learns a change over links to the other one first."""

    def __init__(self, folder, nodes, bound_s=None):
        self.folder = folder
        self.record = Record()
        self.site = TwoServices()
        self.store = StoreStandin()
        base = free_base_port(random.Random())
        self.store_address = f"127.10.0.1:{base}"
        program = os.path.join(BIN_DIR, "wagtailhead-sidecar")
        zones = [ZONE] * nodes + [OTHER_ZONE] * 3
        self.machines = [Machine(number + 1, zone, ("catalogue", "stock")[number % 2], folder, program, base)
                         for number, zone in enumerate(zones)]
        self.bound_s = bound_s or BOUNDS["configApplyS"]
        for machine in self.machines:
            machine.bounds["configApplyS"] = self.bound_s

    async def start(self):
        """Starts everything and waits until all is calm."""
        await self.store.start(self.store_address, random.Random(1))
        for machine in self.machines:
            await machine.open(self.store_address)
            machine.start()
            machine.backend = Backend(machine, self.site, self.record)
            await machine.backend.start()
        self.site.write(self.store, self.record)
        limit = now() + READY_LIMIT_S
        for machine in self.machines:
            while not await self.is_ready(machine):
                if now() > limit:
                    raise RuntimeError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)

    async def is_ready(self, machine):
        """Asks a node whether it is ready."""
        answer = await call(machine.ready, "GET", "/-/ready", timeout=0.9)
        return answer is not None and answer.status == 200

    async def watchers(self, zone):
        """Returns the machines of a zone whose nodes say that they watch the store."""
        found = []
        for machine in self.machines:
            answer = await call(machine.ready, "GET", "/-/metrics")
            watches = re.search(rb"^wagtailhead_store_watching(?:\{[^}]*\})? (\d)", answer.body, re.M) if answer else None
            if machine.zone == zone and watches and watches.group(1) == b"1":
                found.append(machine)
        return found

    def costs(self):
        """Returns the calls to the store, and the bytes between nodes, so far."""
        return sum(self.store.calls.values()), sum(machine.link_relay.passed for machine in self.machines)

    async def ask(self, machine):
        """Sends a request to a node. Returns when, and the service that ran it, or nothing."""
        attempt = self.record.new_id("c")
        sent = now()
        writer = None
        try:
            reader, writer = await asyncio.open_connection(*split_address(machine.outbound))
            writer.write(request_bytes("GET", "/stock/1", {"Host": "shop.example", "X-Wagtailhead-Attempt-Id": attempt,
                                                           "X-Wagtailhead-Deadline-Ms": "1000"}))
            await asyncio.wait_for(read_response(reader), 1.5)
        except (OSError, HttpError, asyncio.TimeoutError):
            pass
        finally:
            if writer:
                writer.close()
        runs = self.record.runs.get(attempt, [])
        return sent, runs[-1].service if runs else None

    def followed_entry(self, machine, peer):
        """Returns whether a node has logged that the backend server of another one leaves."""
        with open(os.path.join(self.folder, f"{machine.name}.{machine.starts}.log"), encoding="utf-8") as log:
            return any("event=node_changed" in line and f"peer={peer.name} " in line and "phase=draining" in line
                       for line in log)

    async def close(self):
        """Ends everything."""
        for machine in self.machines:
            await machine.close()
        self.store.close()
        await asyncio.sleep(0.2)  # The other sides of the connections see their ends.
        gc.collect()  # Streams that are dropped after the end of the loop would print errors.


def nothing(machine, lost):
    """All stays calm."""


def cut(machine, lost):
    """Nothing passes between the machine and the store."""
    machine.store_relay.silent = lost


def cut_one_way(machine, lost):
    """The answers of the store do not arrive."""
    machine.store_relay.one_way = lost
    machine.store_relay.silent = lost


def slow(machine, lost):
    """Calls to the store take long."""
    machine.store_relay.delay_s = SLOW_S if lost else 0.0


def turned_away(machine, lost):
    """New connections to the store are reset, and open ones carry nothing more."""
    machine.store_relay.refuses = lost
    machine.store_relay.silent = lost


def paused(machine, lost):
    """The process stands still."""
    machine.send(signal.SIGSTOP if lost else signal.SIGCONT)


def killed(machine, lost):
    """The process is gone."""
    if lost:
        machine.expected_end = True
        machine.send(signal.SIGKILL)
