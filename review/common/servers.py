"""A stand-in of a backend server, and callers, as the platform's pages describe them."""
import asyncio
import hashlib
import itertools
import json
import time

from http_codec import HttpError, abort, call, read_request, read_response, request_bytes, serve, split_address
from site_parts import BEAT_S, now

CHUNK = 65536
IDS = itertools.count(1)


def new_id(prefix):
    """Returns an id that is used once."""
    return f"{prefix}-{next(IDS):x}-{hashlib.sha256(str(time.time_ns()).encode()).hexdigest()[:6]}"


class Run:
    """One arrival at a backend server."""

    def __init__(self, attempt, server, service, target):
        self.attempt, self.server, self.service, self.target, self.time = attempt, server, service, target, now()


class Backend:
    """One incarnation of a backend server beside a machine's process.

    `work(target)` returns the seconds of work and the bytes of the answer.
    """

    def __init__(self, machine, record, runs, work, server_id=None, capacity=100, clock_offset_s=0.0):
        self.machine = machine
        self.record = record
        self.runs = runs
        self.work = work
        self.id = server_id or new_id("i")
        self.capacity = capacity
        self.born_ms = int((time.time() + clock_offset_s) * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.server = None
        self.tasks = set()
        self.writers = set()

    async def start(self):
        """Listens and reports."""
        for _ in range(100):
            try:
                self.server = await serve(self.machine.backend, self.connection)
                break
            except OSError:  # The address is still in use by the one before.
                await asyncio.sleep(0.05)
        self.record.note(f"backend {self.id} of {self.machine.service} starts on {self.machine.name},"
                         f" born {self.born_ms}")
        task = asyncio.ensure_future(self.beat_always())
        self.tasks.add(task)

    def end(self):
        """Ends without a word."""
        self.record.note(f"backend {self.id} ends, born {self.born_ms}")
        self.server.close()
        for writer in list(self.writers):
            abort(writer)
        for task in list(self.tasks):
            task.cancel()

    async def beat_always(self):
        """Reports at intervals, whatever its state."""
        while self.state != "left":
            await self.beat()
            await asyncio.sleep(BEAT_S)

    def beat_body(self):
        """Returns what a report says now."""
        body = {"address": self.machine.backend, "born": self.born_ms,
                "info": {"service": self.machine.service, "version": "v1", "zone": self.machine.zone,
                         "capacity": self.capacity},
                "status": {"state": self.state, "sequence": self.sequence, "coldLeftS": 0}}
        return json.dumps(body).encode()

    async def beat(self):
        """Makes one report. Returns whether it was confirmed."""
        self.sequence += 1
        state = self.state
        answer = await call(self.machine.control, "PUT", f"/-/backends/{self.id}", self.beat_body())
        status = answer.status if answer else "no answer"
        self.record.note(f"beat of {self.id}: {state}, sequence {self.sequence}, born {self.born_ms}: {status}")
        return answer is not None and answer.status // 100 == 2

    async def late_beat(self, delay_s):
        """Makes a report of this moment that arrives late."""
        self.sequence += 1
        sequence, body = self.sequence, self.beat_body()
        await asyncio.sleep(delay_s)
        answer = await call(self.machine.control, "PUT", f"/-/backends/{self.id}", body)
        self.record.note(f"late beat of {self.id}: sequence {sequence}, {delay_s} s late:"
                         f" {answer.status if answer else 'no answer'}")

    async def withdraw(self):
        """Leaves without having reported it before. Returns the time of the confirmation."""
        self.state = "left"
        body = json.dumps({"born": self.born_ms}).encode()
        answer = None
        while answer is None or answer.status // 100 != 2:
            answer = await call(self.machine.control, "DELETE", f"/-/backends/{self.id}", body)
        self.record.note(f"withdrawal of {self.id} confirmed with {answer.status}")
        return now()

    async def drain(self):
        """Reports that it leaves until that is confirmed. Returns the time of the confirmation."""
        self.state = "draining"
        while not await self.beat():
            await asyncio.sleep(0.3)
        return now()

    async def connection(self, reader, writer):
        """Serves one connection."""
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.handle(request, writer)
        except (HttpError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        """Answers one request."""
        attempt = request.headers.get("x-wagtailhead-attempt-id", "")
        headers = {"X-Wagtailhead-Attempt-Id": attempt, "X-Wagtailhead-Instance-Id": self.id, "Keep-Alive": "timeout=10"}
        if request.headers.get("x-wagtailhead-target-instance", self.id) != self.id:
            self.record.note(f"{self.id} answers 421 to {attempt}")
            await self.send(writer, 421, {**headers, "X-Wagtailhead-Not-Executed": "1"}, b"")
            return
        if not attempt or self.running >= self.capacity:
            status = 503 if attempt else 400
            await self.send(writer, status, {**headers, "X-Wagtailhead-Not-Executed": "1"}, b"")
            return
        self.runs.append(Run(attempt, self.id, self.machine.service, request.target))
        self.record.note(f"{self.id} of {self.machine.service} runs {attempt} {request.target}")
        self.running += 1
        try:
            seconds, size = self.work(request.target)
            await asyncio.sleep(seconds)
        finally:
            self.running -= 1
        headers["X-Wagtailhead-Response-Seal"] = f"{self.id}.{attempt}.{size}"
        headers["X-Wagtailhead-Backend-Load"] = f"{self.running},0,{self.capacity}"
        await self.send(writer, 200, headers, attempt.encode().ljust(size, b".")[:size])

    async def send(self, writer, status, headers, body):
        """Writes an answer, no faster than it is taken."""
        lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines + [f"Content-Length: {len(body)}"]).encode() + b"\r\n\r\n")
        for at in range(0, len(body), CHUNK):
            writer.write(body[at:at + CHUNK])
            await writer.drain()
        await writer.drain()


class Answer:
    """How one attempt of a caller ended."""

    def __init__(self, attempt, target, sent):
        self.attempt, self.target, self.sent = attempt, target, sent
        self.ended = 0.0
        self.end = "sent"  # "answered", "closed", "refused", "left"
        self.status = 0
        self.kept = False


class Caller:
    """A caller with a kept channel to its machine."""

    def __init__(self, machine, record, limit=CHUNK):
        self.machine = machine
        self.record = record
        self.limit = limit
        self.channel = None

    async def attempt(self, host, target, deadline_s, method="GET", body=b""):
        """Sends one request and reads its answer."""
        answer = Answer(new_id("c"), target, now())
        try:
            await asyncio.wait_for(self.exchange(answer, host, method, body, deadline_s), deadline_s + 0.5)
        except asyncio.TimeoutError:
            answer.end = "left"
        except (OSError, HttpError) as error:
            answer.end = "closed" if answer.end == "waits" else "refused"
            self.record.note(f"{answer.attempt}: {type(error).__name__} {error}")
        answer.ended = now()
        if answer.end != "answered":
            self.drop()
        self.record.note(f"{answer.attempt} {method} {target} by {self.machine.name} at {answer.sent:.3f}:"
                         f" {answer.end} {answer.status or ''}")
        return answer

    async def exchange(self, answer, host, method, body, deadline_s):
        """Sends a request on the kept channel or a new one."""
        if self.channel is None:
            self.channel = await asyncio.open_connection(*split_address(self.machine.outbound), limit=self.limit)
        else:
            answer.kept = True
        reader, writer = self.channel
        headers = {"Host": host, "X-Wagtailhead-Attempt-Id": answer.attempt,
                   "X-Wagtailhead-Deadline-Ms": str(int(deadline_s * 1000))}
        writer.write(request_bytes(method, answer.target, headers, body))
        await writer.drain()
        answer.end = "waits"
        message = await read_response(reader)
        if message is None:
            answer.end = "closed"
            return
        answer.end, answer.status = "answered", message.status
        if not message.keeps_alive():
            self.drop()

    def drop(self):
        """Closes the kept channel."""
        if self.channel:
            abort(self.channel[1])
            self.channel = None
