#!/usr/bin/env python3
"""Planned stops beside slow backend servers: whatever a stopping node takes is answered before its process ends, and what it
refuses has not run. Real sidecar processes; the other parts are stand-ins of the soak."""
import asyncio
import gc
import os
import random
import signal
import sys
import tempfile
import unittest
from dataclasses import dataclass

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(FOLDER))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "soak"))

from backend_standin import Backend  # noqa: E402
from deployment import BOUNDS, Service, Site  # noqa: E402
from http_codec import HttpError, abort, call, read_response, request_bytes, response_bytes, split_address  # noqa: E402
from machine import Machine  # noqa: E402
from record import Record, Route, SAFE, UNSAFE, now  # noqa: E402
from store_standin import StoreStandin  # noqa: E402
from world import free_base_port  # noqa: E402

LAYOUT = (("east-a", "catalogue"), ("east-a", "catalogue"), ("east-b", "orders"), ("east-b", "orders"))
EXCUSED_S = 3.0  # What is sent until then may be cut if its backend server works on.
LAST_PART = 1 / 6  # Of the time to SIGKILL.
SETTLE_S = 3.0
LEARN_S = 7.0  # The nodes have seen answers to each kind of request then.
INTERVAL_S = 0.1
READY_LIMIT_S = 20.0
BIN_DIR = os.environ.get("BIN_DIR", os.path.join(ROOT, "build", "bin"))


class SlowSite(Site):
    """Two services whose requests take most of their time budget."""

    def __init__(self):
        super().__init__()
        self.routes = [Route("order", "shop.example", "/order/", UNSAFE, "orders", 5.0, 0, 2.5),
                       Route("browse", "shop.example", "/browse/", SAFE, "catalogue", 3.2, 1, 2.5)]
        self.services = {"catalogue": Service(200, 2.9), "orders": Service(200, 4.5)}


class SlowBackend(Backend):
    """Works for a fixed time; some rejections come late, after which the node repeats the request elsewhere."""

    async def work_and_call(self, end):
        await asyncio.sleep(self.spec.work_s)
        return True

    async def handle(self, request, reader, writer):
        if self.random.random() < 0.1:
            await asyncio.sleep(0.4)
            attempt = request.headers.get("x-wagtailhead-attempt-id", "")
            writer.write(response_bytes(503, {"X-Wagtailhead-Not-Executed": "1", "X-Wagtailhead-Attempt-Id": attempt}))
            return True
        return await super().handle(request, reader, writer)


@dataclass
class Sent:
    """A request and what became of it."""

    attempt: str
    node: str
    sent: float = 0.0  # Its last byte.
    ended: float = 0.0
    status: int = 0
    behind: bool = False  # Sent behind another one on its connection.


class Stop:
    """One stop of two machines while their clients go on."""

    def __init__(self, grace_s, folder, grace_before_s=None, before_s=SETTLE_S):
        """`grace_before_s` holds until just before the stop, if it is given. Clients send for `before_s` until then."""
        self.grace_s = grace_s
        self.before_s = before_s
        self.excused_s = EXCUSED_S if before_s < LEARN_S else 0.0
        self.record = Record()
        self.site = SlowSite()
        self.store = StoreStandin()
        self.random = random.Random(grace_s)
        self.requests = []
        base = free_base_port(random.Random())
        self.store_address = f"127.10.0.1:{base}"
        program = os.path.join(BIN_DIR, "wagtailhead-sidecar")
        self.machines = [Machine(number + 1, zone, service, folder, program, base)
                         for number, (zone, service) in enumerate(LAYOUT)]
        for machine in self.machines:
            machine.bounds["gracePeriodS"] = grace_before_s or grace_s

    async def start(self):
        """Starts everything and waits until all nodes are ready."""
        await self.store.start(self.store_address, self.random)
        for machine in self.machines:
            await machine.open(self.store_address)
            machine.start()
            machine.backend = SlowBackend(machine, self.site, self.record)
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

    def head_and_body(self, route, body):
        """Returns the id and the bytes of a request."""
        attempt = self.record.new_id("c")
        data = request_bytes("POST" if route.kind == UNSAFE else "GET", route.prefix + "x",
                             {"Host": route.host, "X-Wagtailhead-Attempt-Id": attempt,
                              "X-Wagtailhead-Deadline-Ms": str(int(route.timeout_s * 1000))}, body)
        return attempt, data

    async def send(self, machine, route, body=b"", upload_s=0.0, count=1):
        """Sends requests ahead on one connection; the last byte of the first one comes `upload_s` later."""
        sent, writer = [], None
        try:
            reader, writer = await asyncio.open_connection(*split_address(machine.outbound))
            for place in range(count):
                attempt, data = self.head_and_body(route, body)
                sent.append(Sent(attempt, machine.name, behind=place > 0))
                if upload_s:
                    writer.write(data[:-1])
                    await asyncio.sleep(upload_s)
                    data = data[-1:]
                writer.write(data)
                sent[-1].sent = now()
            for request in sent:
                answer = await read_response(reader)
                request.status = answer.status if answer else 0
                request.ended = now()
                if answer is None or not answer.keeps_alive():
                    break
        except (OSError, HttpError):
            pass
        finally:
            if writer:
                abort(writer)
        for request in sent:
            request.ended = request.ended or now()
        self.requests += [request for request in sent if request.sent]

    async def flow(self, goes_on, start):
        """Calls `start()` at intervals and waits for what it started."""
        tasks = []
        while goes_on():
            tasks.append(asyncio.ensure_future(start()))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)

    async def play(self):
        """Plays the stop. Returns what was wrong."""
        stopping, (order, browse) = self.machines[:2], self.site.routes
        end = [0.0]
        starts = [lambda m=machine: self.send(m, order) for machine in stopping]
        starts += [lambda m=machine: self.send(m, order, b"y" * 4000, self.random.uniform(0.2, 2.5)) for machine in stopping]
        starts += [lambda m=machine: self.send(m, browse, count=3) for machine in stopping]
        flows = [asyncio.ensure_future(self.flow(lambda: not end[0] or now() < end[0], start)) for start in starts]
        await asyncio.sleep(self.before_s)
        for machine in stopping:
            if machine.bounds["gracePeriodS"] != self.grace_s:
                machine.bounds["gracePeriodS"] = self.grace_s
                machine.write_settings()
        signalled = now()
        end[0] = signalled + self.grace_s
        ended = await asyncio.gather(*(machine.end(signal.SIGTERM, self.grace_s) for machine in stopping))
        await asyncio.gather(*flows)
        wrong = [f"{machine.name} was killed" for machine, by_itself in zip(stopping, ended) if not by_itself]
        return wrong + [text for request in self.requests for text in self.wrong_with(request, signalled)]

    def wrong_with(self, request, signalled):
        """Returns in a list what was wrong with a request."""
        runs = [run for run in self.record.runs.get(request.attempt, []) if run.ran]
        name = f"{request.attempt} of {request.node}, sent {request.sent - signalled:.2f} s after SIGTERM,"
        if request.status == 503 and runs:
            return [f"{name} was refused and ran"]
        if request.status or not runs:
            return []
        at_work = any(run.time + self.site.services[run.service].work_s > signalled + self.grace_s * (1 - LAST_PART)
                      for run in runs)
        if request.sent <= signalled + self.excused_s and at_work:
            return []
        return [f"{name} ran and ended {request.ended - request.sent:.2f} s later without an answer"]

    async def close(self):
        """Ends everything."""
        for machine in self.machines:
            await machine.close()
        self.store.close()
        await asyncio.sleep(0.2)  # The other sides of the connections see their ends.
        gc.collect()  # Streams that are dropped after the end of the loop would print errors.


class Stops(unittest.TestCase):
    """Each test plays one stop."""

    def play(self, grace_s, *before):
        """Plays a stop with this time from SIGTERM to SIGKILL; `before` says what was before it."""
        async def run(folder):
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            stop = Stop(grace_s, folder, *before)
            try:
                await stop.start()
                wrong = await stop.play()
            finally:
                await stop.close()
            answered = sum(request.status == 200 for request in stop.requests)
            print(f"gracePeriodS {grace_s}: {len(stop.requests)} requests, {answered} served, {len(wrong)} findings", flush=True)
            self.assertGreater(answered, 0)
            return wrong
        with tempfile.TemporaryDirectory(prefix="stops-") as folder:
            wrong = asyncio.run(run(folder))
        self.assertFalse(wrong, "\n" + "\n".join(wrong[:5]))

    def test_short_stop(self):
        """Guards against orders, uploads and requests sent ahead that are taken too late to be answered."""
        self.play(BOUNDS["gracePeriodS"])

    def test_long_stop(self):
        """The same with a longer time to SIGKILL."""
        self.play(10)

    def test_stop_with_known_run_times(self):
        """Guards against orders that are taken just after SIGTERM though they usually run longer than the process."""
        self.play(BOUNDS["gracePeriodS"], None, LEARN_S)

    def test_shortened_stop(self):
        """Guards against a stop that goes by the settings of the start after they have changed without a signal."""
        self.play(BOUNDS["gracePeriodS"], 10)


if __name__ == "__main__":
    unittest.main(verbosity=1, warnings="ignore")
