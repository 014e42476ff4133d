"""Stand-in of a backend server as the platform's pages describe it: slots, calls of its own, reports, leaving."""
import asyncio
import json
import random
import time

from http_codec import HttpError, Message, abort, call, read_request, read_response, request_bytes, response_bytes
from http_codec import serve, split_address
from record import Attempt, Leave, Run, now, seal_of

REPORT_INTERVAL_S = 1.0
DRAIN_S = 2.5
CALL_TIMEOUT_S = 0.7
HEALTH_PATH = "/health"


class Backend:
    """One incarnation of a backend server beside a node."""

    def __init__(self, machine, site, record, same_as=None, set_back_s=0.0):
        self.machine = machine
        self.site = site
        self.record = record
        self.id = same_as.id if same_as else f"i-{record.new_id('b')}"
        self.random = random.Random(self.id)
        self.born_ms = same_as.born_ms - int(set_back_s * 1000) if same_as else int(time.time() * 1000)
        self.spec = site.services[machine.service]
        self.slots = asyncio.Semaphore(self.spec.slots)
        self.running = 0
        self.waiting = 0
        self.sequence = 0
        self.state = "ready"
        self.extra_work = 0.0  # As a share of the usual work.
        self.lose_answers = 0.0
        self.garble = 0.0
        self.reject = 0.0
        self.server = None
        self.tasks = set()
        self.writers = set()
        self.pool = []  # Idle connections to the node for calls.

    async def start(self):
        """Listens and reports."""
        self.server = await serve(self.machine.backend_address, self.connection)
        self.spawn(self.report_always())

    def spawn(self, coroutine):
        """Runs a task until the backend server ends."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def crash(self):
        """Ends without a word."""
        self.server.close()
        for writer in list(self.writers):
            abort(writer)
        for task in list(self.tasks):
            task.cancel()
        for _, writer in self.pool:
            writer.close()

    async def leave(self, abrupt):
        """Says that it leaves, serves on for a while and ends."""
        if abrupt:
            await self.withdraw()
        else:
            self.state = "draining"
            for _ in range(8):
                if await self.report():
                    break
                await asyncio.sleep(0.3)
        await asyncio.sleep(DRAIN_S + self.random.random())
        if not abrupt:
            await self.withdraw()
        self.crash()

    async def leave_and_stay(self):
        """Says that it leaves, without ending."""
        self.state = "left"
        while not await self.withdraw():
            await asyncio.sleep(0.3)

    async def withdraw(self):
        """Sends the last call of a leave. Returns whether it was confirmed."""
        body = json.dumps({"born": self.born_ms}).encode()
        answer = await call(self.machine.control, "DELETE", f"/-/backends/{self.id}", body)
        confirmed = answer is not None and answer.status // 100 == 2
        if confirmed:
            self.record.leaves.append(Leave(self.id, self.machine.name, now()))
        return confirmed

    async def report_always(self):
        """Reports at intervals."""
        while self.state == "ready":
            await self.report()
            await asyncio.sleep(REPORT_INTERVAL_S * self.random.uniform(0.9, 1.1))

    async def report(self):
        """Makes one report. Returns whether it was confirmed."""
        return await self.send_report(self.next_report())

    async def late_report(self, delay_s):
        """Makes a report of this moment that arrives late."""
        report = self.next_report()
        await asyncio.sleep(delay_s)
        await self.send_report(report)

    def next_report(self):
        """Returns what a report of this moment says."""
        self.sequence += 1
        return {"address": self.machine.backend_address, "born": self.born_ms,
                "info": {"service": self.machine.service, "version": "v1", "zone": self.machine.zone,
                         "capacity": self.spec.slots},
                "status": {"state": self.state, "sequence": self.sequence, "coldLeftS": 0}}

    async def send_report(self, body):
        """Sends a report. Returns whether it was confirmed."""
        answer = await call(self.machine.control, "PUT", f"/-/backends/{self.id}", json.dumps(body).encode())
        confirmed = answer is not None and answer.status // 100 == 2
        if confirmed and body["status"]["state"] == "draining":
            self.record.leaves.append(Leave(self.id, self.machine.name, now()))
        return confirmed

    async def connection(self, reader, writer):
        """Serves one connection."""
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    abort(writer)
                    return
                await writer.drain()
        except (HttpError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        """Answers one request. Returns whether the connection goes on."""
        if request.target == HEALTH_PATH:
            status = 200 if self.state == "ready" else 503
            writer.write(response_bytes(status, {"X-Wagtailhead-Instance-Id": self.id}))
            return True
        attempt = request.headers.get("x-wagtailhead-attempt-id", "")
        wanted = request.headers.get("x-wagtailhead-target-instance", self.id)
        reason = self.why_not(attempt, wanted)
        if reason:
            status = 421 if reason == "misdirected" else 400 if reason == "no-id" else 503
            self.note(attempt, request, False, reason)
            writer.write(response_bytes(status, {"X-Wagtailhead-Not-Executed": "1",
                                                 "X-Wagtailhead-Instance-Id": self.id}))
            return True
        return await self.run(attempt, request, reader, writer)

    def why_not(self, attempt, wanted):
        """Returns why a request is rejected, or an empty text."""
        if not attempt:
            return "no-id"
        if wanted != self.id:
            return "misdirected"
        if self.waiting >= self.spec.slots or self.random.random() < self.reject:
            return "full"
        return ""

    def note(self, attempt, request, ran, reason=""):
        """Notes an arrival and returns it."""
        run = Run(now(), self.machine.service, self.id, ran, reason=reason)
        sent = self.record.attempts.get(attempt)
        if ran and sent and (sent.method, sent.target, sent.body) != (request.method, request.target, request.body):
            run.reason = "changed"
        if ran and sent and request.headers.get("x-wagtailhead-caller-service") != sent.service:
            run.reason = "caller-service"
        self.record.arrived(attempt, run)
        return run

    async def run(self, attempt, request, reader, writer):
        """Runs a request once a slot is free. Returns whether the connection goes on."""
        left_s = int(request.headers.get("x-wagtailhead-deadline-ms", "30000")) / 1000
        end = now() + left_s
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            if now() >= end:
                self.note(attempt, request, False, "late")
                writer.write(response_bytes(503, {"X-Wagtailhead-Not-Executed": "1"}))
                return True
            run = self.note(attempt, request, True)
            self.running += 1
            try:
                status, body = await self.work(attempt, end, reader)
            finally:
                self.running -= 1
        if status == 0:
            return False  # The other side has gone.
        run.status, run.body = status, body
        return self.send(attempt, status, body, writer)

    async def work(self, attempt, end, reader):
        """Does the work and makes the calls. Returns status and body; 0 if the caller left."""
        work = asyncio.ensure_future(self.work_and_call(end))
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED, timeout=max(end - now(), 0))
        if gone.done():
            work.cancel()
            return 0, b""
        gone.cancel()
        try:
            await gone
        except asyncio.CancelledError:
            pass
        if not work.done():
            work.cancel()
            return 504, b"deadline"
        if not work.result():
            return 500, b"call failed"
        size = self.random.choice((10, 300, 5000))
        return 200, json.dumps({"attempt": attempt, "server": self.id, "fill": "x" * size}).encode()

    async def work_and_call(self, end):
        """Returns whether all calls were served."""
        await asyncio.sleep(self.spec.work_s * (1 + self.extra_work) * self.random.uniform(0.5, 1.5))
        for route in self.spec.calls:
            if not await self.call_route(route, end):
                return False
        return True

    async def call_route(self, route, end):
        """Makes one call through the node."""
        left_s = min(end - now(), CALL_TIMEOUT_S)
        if left_s <= 0:
            return False
        attempt = Attempt(self.record.new_id("k"), route.name, route.kind, self.machine.name, self.machine.service,
                          "GET", route.prefix + "x", b"", now(), True)
        self.record.attempts[attempt.id] = attempt
        headers = {"Host": route.host, "X-Wagtailhead-Attempt-Id": attempt.id,
                   "X-Wagtailhead-Deadline-Ms": str(max(int(left_s * 1000), 1))}
        try:
            answer = await asyncio.wait_for(self.exchange(attempt, headers), left_s + 0.3)
        except (OSError, asyncio.TimeoutError, HttpError):
            attempt.end = attempt.end or "closed"
            answer = None
        attempt.ended = now()
        if answer is None:
            return False
        attempt.end, attempt.status, attempt.answer = "answered", answer.status, answer.body
        attempt.seal = answer.headers.get("x-wagtailhead-response-seal", "")
        return answer.status == 200

    async def exchange(self, attempt, headers) -> Message:
        """Sends a call on an idle connection or a new one."""
        if self.pool:
            reader, writer = self.pool.pop()
            attempt.kept = True
        else:
            reader, writer = await asyncio.open_connection(*split_address(self.machine.outbound))
        try:
            writer.write(request_bytes("GET", attempt.target, headers))
            answer = await read_response(reader)
        except BaseException:
            abort(writer)
            raise
        if answer and answer.keeps_alive():
            self.pool.append((reader, writer))
        else:
            writer.close()
        return answer

    def send(self, attempt, status, body, writer):
        """Sends an answer, or spoils it. Returns whether the connection goes on."""
        headers = {"X-Wagtailhead-Attempt-Id": attempt, "Keep-Alive": "timeout=5",
                   "X-Wagtailhead-Response-Seal": seal_of(self.id, attempt, body),
                   "X-Wagtailhead-Backend-Load": f"{self.running},{self.waiting},{self.spec.slots}"}
        if self.random.random() < self.lose_answers:
            return False
        data = response_bytes(status, headers, body)
        if self.random.random() < self.garble:
            return self.spoil(data, writer)
        writer.write(data)
        return True

    def spoil(self, data, writer):
        """Sends an answer that is cut, is no answer, or has a second one behind it."""
        how = self.random.choice(("cut", "noise", "extra"))
        if how == "cut":
            writer.write(data[:-max(len(data) // 4, 3)])
            return False
        if how == "noise":
            writer.write(b"\x00\xff nonsense \r\n\r\n" + data)
            return False
        writer.write(data + data)
        return True
