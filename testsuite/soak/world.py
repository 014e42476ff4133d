"""A site on loopback: machines, store, operator and callers."""
import asyncio
import random
import socket

from clients import Caller
from http_codec import call
from machine import Machine
from record import Record, now
from schedule import Schedule
from deployment import Site, ZONES
from store_standin import StoreStandin

READY_LIMIT_S = 20.0
READY_INTERVAL_S = 1.0
MISSES = 2
SERVICES = ("front", "middle", "deep", "front", "middle", "other", "deep", "front")
PORTS = 8


def free_base_port(chooser):
    """Returns a port from which the ports of a machine are free."""
    for _ in range(100):
        base = chooser.randint(21000, 31000)
        probes = []
        try:
            for offset in range(PORTS):
                probe = socket.socket()
                probes.append(probe)
                probe.bind(("127.10.1.1", base + offset))
            return base
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise RuntimeError("no free ports on 127.10.1.1")


class World:
    """Everything of one run."""

    def __init__(self, seed, nodes, folder, program):
        self.seed = seed
        self.record = Record()
        self.site = Site()
        self.store = StoreStandin()
        base = free_base_port(random.Random())  # Not of the seed: two runs must not meet.
        self.store_address = f"127.10.0.1:{base}"
        zones = list(ZONES)
        self.machines = [Machine(number + 1, zones[number % len(zones)], SERVICES[(number // len(zones) + number)
                                                                                  % len(SERVICES)], folder, program, base)
                         for number in range(nodes)]
        self.callers = [Caller(machine, self.site, self.record, random.Random(f"{seed}-{machine.name}-{i}"))
                        for machine in self.machines for i in range(3)]
        self.busy = set()  # Machines whose process is under a fault already.
        self.watching = True

    async def start(self):
        """Starts everything and waits until all nodes are ready."""
        await self.store.start(self.store_address, random.Random(f"{self.seed}-store"))
        for machine in self.machines:
            await machine.open(self.store_address)
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await machine.start_backend(self.site, self.record)
        self.site.write(self.store, self.record)
        limit = now() + READY_LIMIT_S
        for machine in self.machines:
            while not await self.is_ready(machine):
                if now() > limit:
                    raise RuntimeError(f"{machine.name} is not ready after {READY_LIMIT_S} s")
                await asyncio.sleep(0.1)
            machine.takes_callers = True

    async def is_ready(self, machine):
        """Asks a node as the platform does."""
        answer = await call(machine.ready, "GET", "/-/ready", timeout=0.9)
        return answer is not None and answer.status == 200

    async def watch_machine(self, machine):
        """Sends callers away from a node that is not ready, and notes processes that end by themselves."""
        misses = 0
        while self.watching:
            await asyncio.sleep(READY_INTERVAL_S)
            misses = 0 if await self.is_ready(machine) else misses + 1
            machine.takes_callers = misses < MISSES
            status = machine.process.poll()
            if status is not None and not machine.expected_end:
                self.record.exits.append((now(), machine.name, f"ended by itself with status {status}"))
                machine.start()

    async def play(self, length_s, quiet_s, fault_pause_s, request_pause_s, faults=()):
        """Plays faults for a while and then none. Returns the schedule and when the quiet end began to count."""
        watchers = [asyncio.ensure_future(self.watch_machine(machine)) for machine in self.machines]
        callers = [asyncio.ensure_future(caller.run(lambda: self.watching, request_pause_s))
                   for caller in self.callers]
        schedule = Schedule(self, self.seed)
        if faults:
            schedule.choose(faults)
        if fault_pause_s:
            await schedule.run(now() + length_s, fault_pause_s)
            await schedule.finish()
        else:
            await asyncio.sleep(length_s)
        recovery_from = now() + quiet_s / 2
        await asyncio.sleep(quiet_s / 2)
        self.site.change_last()
        self.site.write(self.store, self.record)
        await asyncio.sleep(quiet_s / 2)
        self.watching = False
        await asyncio.gather(*callers, *watchers)
        return schedule, recovery_from

    async def close(self):
        """Ends everything that this run has started."""
        for machine in self.machines:
            await machine.close()
        self.store.close()
