"""Uploads that go from several nodes to one whose backend server reads slowly, all with lowered limits."""
import asyncio
import gc
import random
import socket
import tempfile
import time

from crowd import HOST, MEMORY_BYTES, MEMORY_MB, MOST_BODY, PROGRAM, READY_LIMIT_S, TRIES, CrowdBackend, CrowdMachine, Watch
from http_codec import HttpError, abort, call, read_response, request_bytes, split_address
from record import Record
from store_standin import StoreStandin
from world import free_base_port

SENDERS = 4
CLIENTS = 6  # On each sending machine.
HOLD_S = 10
BUDGET_S = 8
READ_BYTES_PER_S = 2_000_000  # Of each body.
RECEIVE_BUFFER = 65536


class SlowReader(CrowdBackend):
    """Reads long bodies slowly, and notes what has run."""

    def __init__(self, machine, ran):
        super().__init__(machine)
        self.ran = ran

    async def start(self):
        await super().start()
        for listening in self.server.sockets:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)

    async def read_body(self, reader, size):
        while size > 0:
            part = await reader.read(min(size, RECEIVE_BUFFER))
            if not part:
                raise ConnectionError("cut")
            size -= len(part)
            if size > RECEIVE_BUFFER:
                await asyncio.sleep(len(part) / READ_BYTES_PER_S)

    def on_request(self, attempt):
        self.ran.add(attempt)


class DirectMachine(CrowdMachine):
    """Without a relay to its backend server, whose buffers would take the bodies."""

    def settings(self):
        settings = super().settings()
        settings["self"]["appAddr"] = self.backend_address
        return settings


class UploadMesh:
    """One machine with the service of the uploads, and others whose clients send them."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="uploads-")
        self.record = Record()
        self.store = StoreStandin()
        base = free_base_port(random.Random())
        self.store_address = f"127.10.0.1:{base}"
        self.machines = [DirectMachine(number + 1, "east-a", service, self.folder.name, PROGRAM, base)
                         for number, service in enumerate(["orders"] + ["front"] * SENDERS)]
        self.ran = set()
        self.backends = [SlowReader(machine, self.ran) for machine in self.machines]
        self.refused = set()
        self.served = 0
        self.watches = []

    def configuration(self):
        """Returns what the operator writes."""
        return {"version": "00000002",
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MOST_BODY, "headerTimeoutS": 3, "idleTimeoutS": 15},
                "listeners": [{"host": HOST, "rules": [
                    {"name": "order", "kind": "unsafe", "targetLatencyS": 5, "priority": 0, "match": {"pathPrefix": "/order/"},
                     "action": {"service": "orders", "timeoutS": BUDGET_S, "maxAttempts": 2}}]}],
                "clusters": [{"name": name, "healthPath": "/health", "maxConns": 500, "protocol": "h1", "tls": False}
                             for name in ("front", "orders")]}

    async def start(self):
        """Starts everything and waits until an order is served from each sending machine."""
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)  # Of connections that are cut.
        await self.store.start(self.store_address, random.Random(1))
        self.store.put("config", "main", self.configuration())
        for machine, backend in zip(self.machines, self.backends):
            await machine.open(self.store_address)
            machine.start()
            await backend.start()
        end = time.monotonic() + READY_LIMIT_S
        for machine in self.machines[1:]:
            while not (await self.is_ready(machine) and await self.send(machine, b"y" * 500) == 200):
                if time.monotonic() > end:
                    raise RuntimeError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        self.watches = [Watch(machine.process) for machine in self.machines]

    async def is_ready(self, machine):
        """Asks a node whether it is ready."""
        answer = await call(machine.ready, "GET", "/-/ready", timeout=0.9)
        return answer is not None and answer.status == 200

    async def close(self):
        """Ends everything."""
        for backend, machine in zip(self.backends, self.machines):
            backend.close()
            await machine.close()
        self.store.close()
        self.folder.cleanup()
        await asyncio.sleep(0.2)  # The other sides of the connections see their ends.
        gc.collect()  # Streams that are dropped after the end of the loop would print errors.

    async def send(self, machine, body):
        """Sends an order. Returns its status, 0 without an answer."""
        attempt, writer = self.record.new_id("o"), None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*split_address(machine.outbound)), 5)
            writer.write(request_bytes("POST", "/order/x", {
                "Host": HOST, "X-Wagtailhead-Attempt-Id": attempt,
                "X-Wagtailhead-Deadline-Ms": str(BUDGET_S * 1000)}, body))
            answer = await asyncio.wait_for(read_response(reader), BUDGET_S + 2)
        except (OSError, asyncio.TimeoutError, HttpError, asyncio.IncompleteReadError):
            return 0
        finally:
            if writer:
                abort(writer)
        status = answer.status if answer is not None else 0
        if status == 503:
            self.refused.add(attempt)
        self.served += status == 200
        return status

    async def upload(self, machine):
        """One client: sends one body of legal size after another."""
        while True:
            if await self.send(machine, b"y" * MOST_BODY) != 200:
                await asyncio.sleep(0.2)

    async def is_served(self, body):
        """Returns whether an order is served, sent again as long as it is refused."""
        for _ in range(TRIES):
            if await self.send(self.machines[1], body) == 200:
                return True
            await asyncio.sleep(1)
        return False

    async def play(self):
        """Plays the uploads. Returns what was found wrong."""
        tasks = [asyncio.ensure_future(self.upload(machine)) for machine in self.machines[1:] for _ in range(CLIENTS)]
        await asyncio.sleep(HOLD_S)
        beside = await self.is_served(b"y" * 1000)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        afterwards = await self.is_served(b"y" * MOST_BODY)
        wrong = []
        for machine, watch in zip(self.machines, self.watches):
            peak, _ = watch.stop()
            print(f"  {machine.name} ({machine.service}): memory at its peak {peak / 1e6:.0f} MB", flush=True)
            if machine.process.poll() is not None:
                wrong.append(f"{machine.name}: the process has ended")
            if peak > MEMORY_BYTES:
                wrong.append(f"{machine.name}: memory {peak / 1e6:.0f} MB of {MEMORY_MB}")
        print(f"  {self.served} orders served, {len(self.refused)} refused", flush=True)
        if not beside:
            wrong.append("an ordinary order was not served beside the uploads")
        if not afterwards:
            wrong.append("a single upload was not served afterwards")
        if self.refused & self.ran:
            wrong.append(f"{len(self.refused & self.ran)} orders were refused and ran")
        return wrong
