"""Callers of the soak: they keep connections, repeat as the platform's pages allow, and some leave early."""
import asyncio

from http_codec import HttpError, abort, read_response, request_bytes, split_address
from record import Attempt, UNSAFE, now

PROMISES = (429, 503)
FINAL = (400, 401, 404, 413, 431)
RETRIES = 1
IDLE_REUSE_S = 10.0


class Caller:
    """Sends one request after another through the node of its machine."""

    def __init__(self, machine, site, record, random):
        self.machine = machine
        self.site = site
        self.record = record
        self.random = random
        self.kept = None  # (reader, writer, idle since)
        self.leaves_early = 0.0

    async def run(self, goes_on, pause_s):
        """Sends requests as long as `goes_on()` holds."""
        while goes_on():
            await asyncio.sleep(self.random.expovariate(1 / pause_s))
            if self.machine.takes_callers:
                await self.request(self.random.choice(self.site.caller_routes))
        self.drop()

    def drop(self):
        """Closes the kept connection."""
        if self.kept:
            self.kept[1].close()
            self.kept = None

    async def request(self, route):
        """Sends a request and repeats it as is allowed."""
        deadline = now() + self.site.deadline_s
        for repeat in range(RETRIES + 1):
            attempt = await self.attempt(route, deadline)
            promised = attempt.status in PROMISES
            if attempt.status // 100 == 2 or attempt.status in FINAL or attempt.end == "left" or repeat == RETRIES:
                return
            if route.kind == UNSAFE and not promised and attempt.end != "refused":
                return
            pause = attempt.retry_after if promised else 0.0
            await asyncio.sleep(max(min(pause, (deadline - now()) / 3), 0))
            self.drop()

    async def attempt(self, route, deadline):
        """Sends one attempt and notes its end."""
        body = b"y" * self.random.choice((0, 100, 3000)) if route.kind == UNSAFE else b""
        attempt = Attempt(self.record.new_id("c"), route.name, route.kind, self.machine.name, self.machine.service,
                          "POST" if route.kind == UNSAFE else "GET", route.prefix + self.random.choice("abc"), body,
                          now(), False)
        self.record.attempts[attempt.id] = attempt
        leaves = self.random.random() < self.leaves_early
        limit = self.random.uniform(0.02, 0.2) if leaves else deadline - now()
        try:
            await asyncio.wait_for(self.exchange(attempt, route, deadline), max(limit, 0.01))
        except asyncio.TimeoutError:
            attempt.end = "left" if leaves else "timeout"
        except OSError:
            attempt.end = "refused" if attempt.end != "sent" else "closed"
        except HttpError as error:
            attempt.end, attempt.foreign = "closed", str(error) if "not a response" in str(error) else ""
        attempt.ended = now()
        if attempt.end != "answered" and self.kept:
            abort(self.kept[1])
            self.kept = None
        return attempt

    async def exchange(self, attempt, route, deadline):
        """Sends a request on the kept connection or a new one and reads the answer."""
        if self.kept and now() - self.kept[2] > IDLE_REUSE_S:
            self.drop()
        if self.kept is None:
            reader, writer = await asyncio.open_connection(*split_address(self.machine.outbound))
            self.kept = (reader, writer, now())
        else:
            attempt.kept = True
        reader, writer, _ = self.kept
        headers = {"Host": route.host, "X-Wagtailhead-Attempt-Id": attempt.id,
                   "X-Wagtailhead-Deadline-Ms": str(max(int((deadline - now()) * 1000), 1))}
        attempt.end = "sent"
        writer.write(request_bytes(attempt.method, attempt.target, headers, attempt.body,
                                   chunked=bool(attempt.body) and self.random.random() < 0.3))
        await writer.drain()
        answer = await read_response(reader)
        if answer is None:
            attempt.end = "closed"
            self.drop()
            return
        attempt.end, attempt.status, attempt.answer = "answered", answer.status, answer.body
        attempt.seal = answer.headers.get("x-wagtailhead-response-seal", "")
        attempt.retry_after = float(answer.headers.get("retry-after", "0"))
        if answer.keeps_alive():
            self.kept = (reader, writer, now())
        else:
            self.drop()
