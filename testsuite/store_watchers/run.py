#!/usr/bin/env python3
"""The nodes that watch the store for their zone lose it in each way there is: all others follow a configuration, and the
entries of other nodes, in time. Real sidecar processes; the other parts are stand-ins of the soak."""
import asyncio
import gc
import os
import random
import re
import signal
import sys
import tempfile
import unittest

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(FOLDER))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "soak"))

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
LOSS_S = 6.0
CHECKED_S = 1.5  # How long requests are sent beyond the bound, at least.
ASK_S = 0.1
SLOW_S = 0.9  # Each way.
WATCHERS = 2
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


class StoreWatchers(unittest.TestCase):
    """Each test plays one loss."""

    def play(self, loss, change_s, gap_s=0.0, further=0, nodes=5, bound_s=None, reload=False):
        """The watchers lose the store `gap_s` after each other, each in its own way if `loss` has two, then `further` nodes that
        watch in their place. The route moves `change_s` after the first loss, and the backend server of a node elsewhere
        leaves. With `reload` the bound comes into the settings later, with SIGHUP."""
        async def run(folder):
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            zones = Zones(folder, nodes, None if reload else bound_s)
            try:
                await zones.start()
                if reload:
                    zones.bound_s = bound_s
                    for machine in zones.machines:
                        machine.bounds["configApplyS"] = bound_s
                        machine.write_settings()
                        machine.send(signal.SIGHUP)
                    await asyncio.sleep(SETTLE_S)
                losses = loss if isinstance(loss, tuple) else (loss, loss)
                return await self.lose(zones, losses, change_s, gap_s, further)
            finally:
                await zones.close()
        with tempfile.TemporaryDirectory(prefix="store-watchers-") as folder:
            late, unaware = asyncio.run(run(folder))
        self.assertFalse(late, "\n" + "\n".join(late[:5]))
        self.assertFalse(unaware)

    async def lose(self, zones, losses, change_s, gap_s, further):
        """Plays the loss of the first and of the second watcher. Returns which requests followed the old version too late, and
        which nodes lack the entry."""
        by_zone = [await zones.watchers(zone) for zone in (ZONE, OTHER_ZONE)]
        for watchers in by_zone:
            self.assertEqual(len(watchers), WATCHERS, [machine.name for machine in watchers])
        lost = [machine for pair in zip(*by_zone) for machine in pair]
        leaving = next(machine for machine in reversed(zones.machines) if machine not in lost)
        costs, began = zones.costs(), now()
        end = began + max(LOSS_S, change_s + zones.bound_s + CHECKED_S)
        moved, replies = [], []

        async def change():
            await asyncio.sleep(max(change_s, 0))
            zones.site.move()
            zones.site.write(zones.store, zones.record)
            moved.append(now())
            leaving.backend.state = "draining"
            await leaving.backend.report()

        async def lose_all():
            await asyncio.sleep(max(-change_s, 0))
            for lose, pair in zip(losses, zip(*by_zone)):
                for machine in pair:
                    lose(machine, True)
                await asyncio.sleep(gap_s)
            for _ in range(further):
                await asyncio.sleep(zones.bound_s)
                more = [machine for machine in await zones.watchers(ZONE) if machine not in lost]
                for machine in more[:1]:
                    losses[0](machine, True)
                    lost.append(machine)

        async def ask_always(machine):
            while now() < end:
                sent, service = await zones.ask(machine)
                replies.append((machine, sent, service))
                await asyncio.sleep(ASK_S)

        calm = [machine for machine in zones.machines if machine not in lost]
        await asyncio.gather(change(), lose_all(), *(ask_always(machine) for machine in calm))
        calm = [machine for machine in calm if machine not in lost]
        unaware = [machine.name for machine in calm if machine is not leaving and not zones.followed_entry(machine, leaving)]
        after = zones.costs()
        for machine in lost:
            for end_loss in losses:
                end_loss(machine, False)
        new = zones.site.routes[0].service
        checked = [reply for reply in replies if reply[0] in calm and reply[1] > moved[0] + zones.bound_s]
        late = [f"{machine.name} sent a request to {service} {sent - moved[0]:.2f} s after the change"
                for machine, sent, service in checked if service not in (new, None)]
        last = max((sent - moved[0] for machine, sent, service in replies if machine in calm and service not in (new, None)),
                   default=0)
        print(f"{', '.join(loss.__name__ for loss in losses)}: {len(checked)} requests checked, {len(late)} late, the old service ran until {last:.2f} s; "
              f"{after[0] - costs[0]} calls to the store, {after[1] - costs[1]} bytes between nodes in {now() - began:.1f} s",
              flush=True)
        self.assertGreater(len(checked), 10)
        self.assertTrue(any(service == new for _, _, service in checked))
        return late, unaware

    def test_calm(self):
        """Guards against a cost that nobody has seen; the figures are for the reader."""
        self.play(nothing, 0.2)

    def test_cut(self):
        """Guards against an old configuration beside watchers that are cut off from the store (review case 13)."""
        self.play(cut, 0.2)

    def test_cut_one_way(self):
        """The same while calls still reach the store."""
        self.play(cut_one_way, 0.2)

    def test_change_before_the_cut(self):
        """The same with a change just before the cut, whose answer may be on its way."""
        self.play(cut, -0.002)

    def test_late_change(self):
        """The same with a change after the watchers have noticed."""
        self.play(cut, 2.6)

    def test_slow(self):
        """The same with watchers whose calls take long."""
        self.play(slow, 0.2)

    def test_turned_away(self):
        """The same with watchers that the store turns away."""
        self.play(turned_away, 0.2)

    def test_paused(self):
        """The same with watchers that stand still."""
        self.play(paused, 0.2)

    def test_killed(self):
        """The same with watchers whose processes are gone."""
        self.play(killed, 0.2)

    def test_cut_and_paused(self):
        """The same when one is cut off and the other one stands still."""
        self.play((cut, paused), 0.2)

    def test_slow_and_killed(self):
        """The same when one has a slow path and the other one is gone, later."""
        self.play((slow, killed), 0.7, gap_s=0.5)

    def test_zone_of_three(self):
        """The same in a zone where only one node is left, whose watchers are lost one after the other."""
        self.play((cut, cut_one_way), 1.2, gap_s=1.0, nodes=3)

    def test_one_after_the_other(self):
        """The same when a node that watches in place of the others loses the store too."""
        self.play(cut, 2.9, gap_s=0.6, further=1, nodes=7)

    def test_short_bound(self):
        """The same with a shorter bound in the settings."""
        self.play(cut, 0.2, bound_s=1.2)

    def test_reloaded_bound(self):
        """The same with a bound that has become shorter."""
        self.play(cut, 0.2, bound_s=1.2, reload=True)


if __name__ == "__main__":
    unittest.main(verbosity=1, warnings="ignore")
