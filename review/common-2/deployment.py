"""A small deployment on loopback for the cases of the second review: real node processes, started with the command of the
deploy file, and stand-ins of the platform, the backend servers and the clients. It holds no check; each case has its own."""
import asyncio
import hashlib
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "testsuite", "soak"))

from http_codec import HttpError, abort, call, read_response, request_bytes, serve, split_address  # noqa: E402
from store_standin import StoreStandin  # noqa: E402

HOST = "shop.example"
READY_LIMIT_S = 20.0
RESTART_S = 0.5  # "restarted after a short delay"
BEAT_S = 1.5
METRICS_PORT = 9464
MEBIBYTE = 1048576
BEGIN = time.monotonic()


def now():
    """Returns the seconds since the start of the program."""
    return time.monotonic() - BEGIN


def trouble():
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, line by line."""

    def __init__(self, path):
        self.out = open(path, "w", encoding="utf-8", buffering=1)
        self.count = 0

    def write(self, kind, **fields):
        """Writes one line."""
        self.out.write(f"{now():8.3f} {kind} " + " ".join(f"{key}={value}" for key, value in fields.items()) + "\n")

    def new_id(self):
        """Returns an attempt id that is used once."""
        self.count += 1
        return f"{self.count:04x}{random.getrandbits(48):012x}"


def deploy_command():
    """Returns the words of the deploy file's `run`, with the program's path in this repository."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        words = tomllib.load(file)["roles"]["sidecar"]["run"].split()
    program = os.path.join(ROOT, words[0])
    if not os.access(program, os.X_OK):
        raise CannotRun(f"{words[0]} is not built")
    return [program] + words[1:]


def need_descriptors(count):
    """Sees to it that this process and those that it starts may open so many files."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        if hard != resource.RLIM_INFINITY and hard < count:
            raise CannotRun(f"{hard} descriptors are allowed here, {count} are needed")
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def free_addresses(count):
    """Returns the beginning of loopback addresses and a port from which `count` ports are free there, and the port of the
    deploy file's metrics too."""
    for _ in range(100):
        network, base = f"127.{random.randint(30, 99)}", random.randint(21000, 31000)
        probes = []
        try:
            for port in [METRICS_PORT] + [base + offset for offset in range(count)]:
                probe = socket.socket()
                probes.append(probe)
                probe.bind((f"{network}.1.1", port))
            return network, base
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise CannotRun("no free ports")


class Node:
    """A machine: a node process and the backend server beside it."""

    def __init__(self, deployment, number, zone, service):
        self.deployment = deployment
        self.number = number
        self.name = f"sidecar-{zone}-{number}"
        self.zone = zone
        self.service = service
        ip = f"{deployment.network}.{number}.1"
        base = deployment.base_port
        self.inbound, self.app, self.ready, self.outbound, self.control = (f"{ip}:{base + i}" for i in range(5))
        self.process = None
        self.starts = 0
        self.first = True
        self.expected_end = False
        self.own_ends = []  # Times at which the process ended by itself or was killed for its memory.
        self.peak_bytes = 0
        self.backend = None

    def settings(self):
        """Returns the settings file's content."""
        deployment = self.deployment
        return {
            "self": {"nodeName": self.name, "nodeRole": "sidecar", "machineClass": "sidecar", "serves": ["sidecar"],
                     "ipAddr": self.inbound.split(":")[0], "zone": self.zone, "region": deployment.zones[self.zone],
                     "countsTowardLoss": False, "bootstrap": self.first, "dataDir": None,
                     "limits": {"cpuShare": 0.4, "cpuCores": 1, "memoryMb": deployment.memory_mb, "maxFds": 4100,
                                "linkMbps": deployment.link_mbps, "diskMb": 0},
                     "appAddr": self.app, "service": self.service},
            "network": {"listen": {"inbound": self.inbound, "outbound": self.outbound, "ready": self.ready,
                                   "control": self.control}, "innerPorts": [7620, 7635], "seedAddrs": [],
                        "zones": deployment.zones},
            "platform": {"discovery": "static", "entryKind": "static", "beatIntervalS": BEAT_S,
                         "platform": {"address": deployment.store_address, "form": "objects", "writesPerS": 400,
                                      "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinS": 1}},
            "terms": {"contracts": ["base", "drain", "config", "cost", "retry", "recover", "pressure", "platform"],
                      "tolerate": {"machines": 2, "zones": 0, "regions": 0}, "bounds": deployment.bounds},
        }

    def start(self):
        """Starts the node process, unless all is ended already."""
        if self.deployment.closed:
            return
        path = os.path.join(self.deployment.folder, self.name + ".json")
        with open(path + ".new", "w", encoding="utf-8") as out:
            json.dump(self.settings(), out)
        os.replace(path + ".new", path)
        self.first = False
        self.starts += 1
        log = open(os.path.join(self.deployment.folder, f"{self.name}.{self.starts}.log"), "wb")
        self.process = subprocess.Popen(
            self.deployment.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT,
            env={"WAGTAILHEAD_BOOT": path, "PATH": os.environ.get("PATH", "")})
        log.close()
        self.expected_end = False

    def memory(self):
        """Returns the peak of the process's memory in bytes, or 0 once it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as lines:
                for line in lines:
                    if line.startswith("VmHWM"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    def send(self, number):
        """Sends a signal to the process, if it runs."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        """Asks the node as the platform does."""
        answer = await call(self.ready, "GET", "/-/ready", timeout=0.9)
        return answer is not None and answer.status == 200

    def close(self):
        """Ends the process."""
        self.expected_end = True
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Backend:
    """A backend server as the pages describe it: slots, a queue, the echoed id, the seal, its load, reports."""

    def __init__(self, node, slots=100):
        self.node = node
        self.record = node.deployment.record
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.slots = slots
        self.free = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.sequence = 0
        self.state = "ready"
        self.server = None
        self.reports = None
        self.connections = set()

    async def start(self):
        """Listens and reports."""
        self.server = await serve(self.node.app, self.connection)
        self.reports = asyncio.ensure_future(self.report_always())

    def close(self):
        """Ends without a word."""
        if self.reports:
            self.reports.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            abort(writer)

    async def report_always(self):
        """Reports at intervals."""
        while True:
            await self.report()
            await asyncio.sleep(BEAT_S)

    async def report(self):
        """Makes one report. Returns whether it was confirmed."""
        self.sequence += 1
        body = {"address": self.node.app, "born": self.born,
                "info": {"service": self.node.service, "version": "v1", "zone": self.node.zone, "capacity": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "coldLeftS": 0}}
        answer = await call(self.node.control, "PUT", f"/-/backends/{self.id}", json.dumps(body).encode())
        return answer is not None and answer.status // 100 == 2

    async def work(self, method, target, body):
        """Does the work of a request. Returns status and body."""
        del method, target
        await asyncio.sleep(0.03)
        return 200, b"done %d" % len(body)

    async def read_body(self, reader, size):
        """Reads a body of a known length."""
        return await reader.readexactly(size)

    async def connection(self, reader, writer):
        """Serves one connection."""
        self.connections.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
                body = await self.read_body(reader, int(headers.get("content-length", "0")))
                await self.answer(method, target, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            abort(writer)

    async def answer(self, method, target, headers, body, writer):
        """Runs or rejects a request and answers it."""
        attempt = headers.get("x-wagtailhead-attempt-id", "")
        wanted = headers.get("x-wagtailhead-target-instance", self.id)
        rejection = 400 if not attempt else 421 if wanted != self.id else 503 if self.waiting >= self.slots else 0
        if rejection:
            self.record.write("rejected", at=self.node.name, attempt=attempt, status=rejection)
            writer.write((f"HTTP/1.1 {rejection} X\r\nX-Wagtailhead-Not-Executed: 1\r\nX-Wagtailhead-Attempt-Id: {attempt}"
                          f"\r\nX-Wagtailhead-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n").encode())
            return
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.record.write("run", at=self.node.name, attempt=attempt, method=method, target=target, bytes=len(body))
            try:
                status, answer = await self.work(method, target, body)
            finally:
                self.running -= 1
        seal = f"{self.id}.{hashlib.sha256(attempt.encode() + answer).hexdigest()[:16]}"
        writer.write((f"HTTP/1.1 {status} X\r\nX-Wagtailhead-Attempt-Id: {attempt}\r\nX-Wagtailhead-Response-Seal: {seal}\r\n"
                      f"X-Wagtailhead-Backend-Load: {self.running},{self.waiting},{self.slots}\r\n"
                      f"Keep-Alive: timeout=10\r\nContent-Length: {len(answer)}\r\n\r\n").encode() + answer)
        self.record.write("run_ended", at=self.node.name, attempt=attempt, status=status)


class Deployment:
    """Machines, store and operator."""

    def __init__(self, folder, zones, layout, bounds, memory_mb=160, backend=Backend, link_mbps=200.0):
        """`layout` holds zone and service of each machine; `backend(node)` makes a backend server."""
        self.record = Record(os.path.join(folder, "record.txt"))
        self.command = deploy_command()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.zones = zones
        self.bounds = bounds
        self.memory_mb = memory_mb
        self.link_mbps = link_mbps
        self.network, self.base_port = free_addresses(6)
        self.store = StoreStandin()
        self.store_address = f"{self.network}.0.1:{self.base_port}"
        self.nodes = [Node(self, number + 1, zone, service) for number, (zone, service) in enumerate(layout)]
        for node in self.nodes:
            node.backend = backend(node)
        self.keeper = None
        self.closed = False

    def configuration(self, rules, limits=None):
        """Returns what the operator writes for these rules on one host."""
        return {"version": "00000007",
                "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3,
                                     "idleTimeoutS": 15},
                "listeners": [{"host": HOST, "rules": rules}],
                "clusters": [{"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": False}
                             for name in sorted({node.service for node in self.nodes})]}

    async def start(self, configuration):
        """Starts everything and waits until all nodes are ready and know each other's backend servers."""
        await self.store.start(self.store_address, random.Random(1))
        self.store.put("config", "main", configuration)
        self.record.write("configuration", version=configuration["version"])
        for node in self.nodes:
            node.start()
            await node.backend.start()
        limit = now() + READY_LIMIT_S
        for node in self.nodes:
            while not await node.is_ready():
                if now() > limit:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(3)
        self.keeper = asyncio.ensure_future(self.keep())

    async def keep(self):
        """Kills processes over the limit of their machine and starts ended ones again, as the platform does."""
        while True:
            await asyncio.sleep(0.01)
            for node in self.nodes:
                if node.expected_end:
                    continue
                used = node.memory()
                node.peak_bytes = max(node.peak_bytes, used)
                if used > self.memory_mb * MEBIBYTE and node.process.poll() is None:
                    self.record.write("killed_for_memory", node=node.name, bytes=used, limit_mib=self.memory_mb)
                    node.process.kill()
                    node.process.wait()
                if node.process.poll() is not None:
                    self.record.write("own_end", node=node.name, status=node.process.returncode)
                    node.own_ends.append(now())
                    node.expected_end = True
                    asyncio.get_running_loop().call_later(RESTART_S, node.start)

    def close(self):
        """Ends everything that was started."""
        self.closed = True
        if self.keeper:
            self.keeper.cancel()
        for node in self.nodes:
            node.backend.close()
            node.close()
        self.store.close()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One client on a machine; it keeps its channel."""

    def __init__(self, node):
        self.node = node
        self.record = node.deployment.record
        self.channel = None

    def drop(self):
        """Closes the channel."""
        if self.channel:
            abort(self.channel[1])
            self.channel = None

    async def request(self, method, target, body=b"", budget_s=5.0):
        """Sends one request. Returns its id and the answer, None for a channel that was closed, or "timeout"."""
        attempt = self.record.new_id()
        self.record.write("sent", attempt=attempt, node=self.node.name, method=method, target=target, bytes=len(body))
        try:
            answer = await asyncio.wait_for(self.exchange(attempt, method, target, body, budget_s), budget_s + 1)
        except asyncio.TimeoutError:
            answer = "timeout"
        except (OSError, HttpError, asyncio.IncompleteReadError):
            answer = None
        if isinstance(answer, str) or answer is None:
            self.drop()
            self.record.write("no_answer", attempt=attempt, how=answer or "closed")
        else:
            self.record.write("answered", attempt=attempt, status=answer.status,
                              retry_after=answer.headers.get("retry-after", "-"))
            if not answer.keeps_alive():
                self.drop()
        return attempt, answer

    async def exchange(self, attempt, method, target, body, budget_s):
        """Sends the bytes and reads the answer."""
        if self.channel is None:
            self.channel = await asyncio.open_connection(*split_address(self.node.outbound))
        reader, writer = self.channel
        message = request_bytes(method, target, {"Host": HOST, "X-Wagtailhead-Attempt-Id": attempt,
                                                 "X-Wagtailhead-Deadline-Ms": str(int(budget_s * 1000))}, body)
        head = len(message) - len(body)
        await self.send(writer, message[:head], body)
        return await read_response(reader)

    async def send(self, writer, head, body):
        """Sends the head and the body of a request."""
        writer.write(head)
        writer.write(body)
        await writer.drain()


def rule(name, kind, service, timeout_s, priority=1, goal_s=1.5):
    """Returns a rule of the configuration."""
    return {"name": name, "kind": kind, "targetLatencyS": goal_s, "priority": priority,
            "match": {"pathPrefix": f"/{name}/"},
            "action": {"service": service, "timeoutS": timeout_s, "maxAttempts": 2}}


async def quietly(play):
    """Runs `play()` without the errors that asyncio prints for connections that are open at the end."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda used, context: None if isinstance(
        context.get("exception"), asyncio.CancelledError) else used.default_exception_handler(context))
    return await play()


def main(play):
    """Runs `play()`, which returns the sentences that say how the rule was broken, and exits as the issue asks."""
    def stop(*_):
        raise CannotRun("stopped")
    signal.signal(signal.SIGTERM, stop)
    try:
        broken = asyncio.run(quietly(play))
    except Exception as error:  # pylint: disable=broad-except  # Only a finding may end with 1.
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for sentence in broken:
        print(sentence)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
