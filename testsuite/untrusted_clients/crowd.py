"""One node with lowered limits on loopback, its backend server, and crowds of clients that nobody controls."""
import asyncio
import os
import random
import signal
import sys
import tempfile
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(FOLDER))
sys.path.insert(0, os.path.join(ROOT, "testsuite", "soak"))

from http_codec import HttpError, abort, call, read_response, request_bytes, serve, split_address  # noqa: E402
from machine import Machine  # noqa: E402
from record import Record, seal_of  # noqa: E402
from store_standin import StoreStandin  # noqa: E402
from world import free_base_port  # noqa: E402

PROGRAM = os.environ.get("WAGTAILHEAD_SIDECAR", os.path.join(ROOT, "build", "bin", "wagtailhead-sidecar"))
MEMORY_MB = 60
MEMORY_BYTES = MEMORY_MB * 1_000_000
MOST_DESCRIPTORS = 300
MOST_BODY = 8_000_000
DOWNLOAD_BYTES = 12_000_000
CLIENTS = 40
READY_LIMIT_S = 20
HOLD_S = 6  # How long a crowd stays.
TRIES = 30  # Of an ordinary request, a second apart: a refusal that says when to come back is allowed.
HOST = "shop.example"


class CrowdBackend:
    """Answers at once: requests under /sheet/ with a long body, others with a short one."""

    def __init__(self, machine):
        self.machine = machine
        self.id = f"i-{machine.name}"
        self.sequence = 0
        self.server = None
        self.reports = None

    async def start(self):
        """Listens and reports."""
        self.server = await serve(self.machine.backend_address, self.connection)
        self.reports = asyncio.ensure_future(self.report_always())

    def close(self):
        """Ends."""
        self.reports.cancel()
        self.server.close()

    async def report_always(self):
        """Reports at intervals."""
        born = int(time.time() * 1000)
        while True:
            self.sequence += 1
            body = (f'{{"address":"{self.machine.backend_address}","born":{born},"info":{{"service":"{self.machine.service}",'
                    f'"version":"v1","zone":"{self.machine.zone}","capacity":100}},"status":{{"state":"ready",'
                    f'"sequence":{self.sequence},"coldLeftS":0}}}}')
            await call(self.machine.control, "PUT", f"/-/backends/{self.id}", body.encode())
            await asyncio.sleep(1)

    def on_request(self, attempt):
        """The head of a request has come."""

    async def read_body(self, reader, size):
        """Reads a body of a known length."""
        while size:
            size -= len(await reader.read(min(size, 65536)))

    async def connection(self, reader, writer):
        """Serves one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
                attempt = headers.get("x-wagtailhead-attempt-id", "")
                self.on_request(attempt)
                await self.read_body(reader, int(headers.get("content-length", "0")))
                body = b"z" * (DOWNLOAD_BYTES if "/sheet/" in lines[0] else 500)
                writer.write((f"HTTP/1.1 200 OK\r\nX-Wagtailhead-Attempt-Id: {attempt}\r\n"
                              f"X-Wagtailhead-Response-Seal: {seal_of(self.id, attempt, body)}\r\n"
                              f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class CrowdMachine(Machine):
    """A machine whose settings name the lowered limits of the tests."""

    def settings(self):
        """Returns the settings file's content."""
        settings = super().settings()
        settings["self"]["limits"] = {"memoryMb": MEMORY_MB, "maxFds": MOST_DESCRIPTORS}
        return settings


class Watch:
    """Looks at the process all the while: memory at its peak and open descriptors at most."""

    def __init__(self, process):
        self.process = process
        self.most_descriptors = 0
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        while not self.ended.wait(0.02):
            try:
                self.most_descriptors = max(self.most_descriptors, len(os.listdir(f"/proc/{self.process.pid}/fd")))
            except OSError:
                pass

    def stop(self):
        """Returns the peak of the memory in bytes (0 if the process has ended) and the most open descriptors."""
        self.ended.set()
        self.thread.join()
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as lines:
                peak = next((line for line in lines if line.startswith("VmHWM")), "VmHWM: 0 kB")
        except OSError:
            peak = "VmHWM: 0 kB"
        return int(peak.split()[1]) * 1024, self.most_descriptors


class Node:
    """A node, its backend server and its store."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="untrusted-")
        base = free_base_port(random.Random())
        self.store = StoreStandin()
        self.store_address = f"127.10.0.1:{base}"
        self.machine = CrowdMachine(1, "east-a", "front", self.folder.name, PROGRAM, base)
        self.backend = CrowdBackend(self.machine)
        self.record = Record()
        self.watch = None

    def configuration(self):
        """Returns what the operator writes."""
        def rule(name, kind, priority):
            return {"name": name, "kind": kind, "targetLatencyS": 5, "priority": priority,
                    "match": {"pathPrefix": f"/{name}/"},
                    "action": {"service": "front", "timeoutS": 20, "maxAttempts": 2}}
        return {"version": "00000002",
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MOST_BODY, "headerTimeoutS": 3, "idleTimeoutS": 15},
                "listeners": [{"host": HOST, "rules": [rule("read", "safe", 1), rule("order", "unsafe", 0),
                                                       rule("sheet", "download", 2)]}],
                "clusters": [{"name": "front", "healthPath": "/health", "maxConns": 500, "protocol": "h1",
                              "tls": False}]}

    async def start(self):
        """Starts everything and waits until the node is ready."""
        await self.store.start(self.store_address, random.Random(1))
        await self.machine.open(self.store_address)
        self.store.put("config", "main", self.configuration())
        self.machine.start()
        await self.backend.start()
        end = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < end:
            answer = await call(self.machine.ready, "GET", "/-/ready", timeout=0.9)
            if answer is not None and answer.status == 200 and await self.ordinary("GET", "/read/x", b""):
                self.watch = Watch(self.machine.process)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the node is not ready")

    async def close(self):
        """Ends everything."""
        self.backend.close()
        await self.machine.close()
        self.store.close()
        self.folder.cleanup()

    def head(self, method, path, headers=""):
        """Returns the head of a request."""
        return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Wagtailhead-Attempt-Id: {self.record.new_id('u')}\r\n"
                f"X-Wagtailhead-Deadline-Ms: 20000\r\n{headers}\r\n").encode()

    async def open(self):
        """Opens a connection, or returns nothing if it is refused."""
        try:
            return await asyncio.open_connection(*split_address(self.machine.outbound))
        except OSError:
            return None

    async def ordinary(self, method, path, body, tries=1):
        """Sends an ordinary request, again if it is refused. Returns whether it was answered 200."""
        for _ in range(tries):
            writer = None
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*split_address(self.machine.outbound)), 5)
                writer.write(request_bytes(method, path, {
                    "Host": HOST, "X-Wagtailhead-Attempt-Id": self.record.new_id("o"),
                    "X-Wagtailhead-Deadline-Ms": "20000"}, body))
                answer = await asyncio.wait_for(read_response(reader), 25)
                if answer is not None and answer.status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, HttpError, asyncio.IncompleteReadError):
                pass
            finally:
                if writer:
                    abort(writer)
            await asyncio.sleep(1)
        return False

    async def play(self, client, count=CLIENTS):
        """Plays a crowd and checks the node. `client(node, number)` is one client; it is ended after a while. Returns what
        was found wrong."""
        tasks = [asyncio.ensure_future(client(self, number)) for number in range(count)]
        await asyncio.sleep(HOLD_S)
        answered = await self.ordinary("GET", "/read/x", b"", TRIES)
        ordered = await self.ordinary("POST", "/order/x", b"y" * 300_000, TRIES)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        afterwards = await self.ordinary("GET", "/read/x", b"", TRIES)
        lives = self.machine.process.poll() is None
        peak, descriptors = self.watch.stop()
        print(f"  memory at its peak {peak / 1e6:.0f} MB, descriptors at most {descriptors}", flush=True)
        wrong = []
        if not lives:
            wrong.append(f"the process has ended with status {self.machine.process.poll()}")
        if peak > MEMORY_BYTES:
            wrong.append(f"memory {peak / 1e6:.0f} MB of {MEMORY_MB}")
        if descriptors > MOST_DESCRIPTORS:
            wrong.append(f"{descriptors} descriptors of {MOST_DESCRIPTORS}")
        if not answered or not ordered:
            wrong.append("an ordinary request was not answered beside the crowd")
        if not afterwards:
            wrong.append("an ordinary request was not answered after the crowd")
        self.machine.send(signal.SIGCONT)
        return wrong


async def send_all(writer, data, piece=65536, pause_s=0.0):
    """Sends bytes in pieces."""
    for start in range(0, len(data), piece):
        writer.write(data[start:start + piece])
        await writer.drain()
        if pause_s:
            await asyncio.sleep(pause_s)


async def stay(reader, writer):
    """Keeps a connection open until the other side closes it."""
    try:
        while await reader.read(65536):
            pass
    except ConnectionError:
        pass
    finally:
        abort(writer)
