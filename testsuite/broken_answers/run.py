#!/usr/bin/env python3
"""Broken answers, as real processes take them: nodes from their backend servers, and wagtailheadctl from a node. An answer that
cannot be told whole reaches nobody as one, an order is sent once and not called "not run"; what the standard allows passes."""
import asyncio
import os
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import unittest

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(os.path.dirname(FOLDER), name) for name in ("untrusted_clients", "lib")]

from crowd import ROOT, CrowdBackend, Node  # noqa: E402
from http_codec import HttpError, abort, read_response, request_bytes, split_address  # noqa: E402
from live_mesh import LiveMesh, request  # noqa: E402
from record import seal_of  # noqa: E402

BODY = b"z" * 500
LIMIT_S = 60
UPLOAD_BYTES = 7_000_000  # More than the sockets between node and backend server hold.
SEAL = "X-Wagtailhead-Attempt-Id: {attempt}\r\nX-Wagtailhead-Response-Seal: {seal}\r\n"
NOT_RUN = "X-Wagtailhead-Attempt-Id: {attempt}\r\nX-Wagtailhead-Not-Executed: 1\r\n"
LENGTH = f"Content-Length: {len(BODY)}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
CHUNK = f"{len(BODY):x}\r\n".encode() + BODY + b"\r\n"

# Name: the head, what follows it, and how the connection ends.
BROKEN = {
    "no-length-reset": ("HTTP/1.1 200 OK\r\n" + SEAL, BODY, "reset"),
    "no-length-refusal-reset": ("HTTP/1.1 503 Busy\r\n" + NOT_RUN, BODY, "reset"),
    "part-of-length-reset": ("HTTP/1.1 200 OK\r\n" + SEAL + LENGTH, BODY[1:], "reset"),
    "some-chunks-reset": ("HTTP/1.1 200 OK\r\n" + SEAL + CHUNKED, CHUNK, "reset"),
    "some-chunks-close": ("HTTP/1.1 200 OK\r\n" + SEAL + CHUNKED, CHUNK, "close"),
    "long-chunk": ("HTTP/1.1 200 OK\r\n" + SEAL + CHUNKED, b"2\r\n" + BODY + b"0\r\n\r\n", "close"),
    "status-000": ("HTTP/1.1 000 None\r\n" + SEAL + LENGTH, BODY, "close"),
    "status-000-refusal": ("HTTP/1.1 000 None\r\n" + NOT_RUN + LENGTH, BODY, "close"),
    "status-600": ("HTTP/1.1 600 None\r\n" + SEAL + LENGTH, BODY, "close"),
    "blank-before-colon": ("HTTP/1.1 200 OK\r\n" + SEAL + LENGTH.replace(":", " :"), BODY, "close"),
    "blank-in-name": ("HTTP/1.1 200 OK\r\n" + SEAL + "X Y: z\r\n" + LENGTH, BODY, "close"),
    "blank-before-name": ("HTTP/1.1 200 OK\r\n X: z\r\n" + SEAL + LENGTH, BODY, "close"),
    "control-byte-in-name": ("HTTP/1.1 200 OK\r\n" + SEAL + "X\x01Y: z\r\n" + LENGTH, BODY, "close"),
    "line-feed-before-name": ("HTTP/1.1 200 OK\r\n" + SEAL + "\nX: z\r\n" + LENGTH, BODY, "close"),
    "unknown-coding": ("HTTP/1.1 200 OK\r\n" + SEAL + "Transfer-Encoding: gzip\r\n", BODY, "close"),
}
WHOLE = {
    "length": ("HTTP/1.1 200 OK\r\n" + SEAL + LENGTH, BODY, "keep"),
    "no-length-close": ("HTTP/1.1 200 OK\r\n" + SEAL, BODY, "close"),
    "chunks": ("HTTP/1.1 200\r\n" + SEAL + CHUNKED, CHUNK + b"0\r\nT: t\r\n\r\n", "keep"),
    "interim": ("HTTP/1.1 103 Hints\r\nX: z\r\n\r\nHTTP/1.1 200 OK\r\n" + SEAL + LENGTH, BODY, "keep"),
    "names": ("HTTP/1.1 200 OK\r\n" + SEAL + "!#$%&'*+-.^_`|~09Az: \xff\r\n" + LENGTH, BODY, "keep"),
}


def reset_on_close(connection):
    """Makes the close of a socket reset its connection."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class BrokenBackend(CrowdBackend):
    """Answers a request under /ROUTE/NAME as the tables say, before it has read the body. It reads on, unless the table says
    that it resets the connection."""

    def __init__(self, machine):
        super().__init__(machine)
        self.seen = {}

    def on_request(self, attempt):
        self.seen[attempt] = self.seen.get(attempt, 0) + 1

    async def read_body(self, reader, size):
        """Reads a body of a known length, or what comes of it."""
        while size and (part := await reader.read(min(size, 65536))):
            size -= len(part)

    async def connection(self, reader, writer):
        """Serves one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = {name.lower(): value.strip()
                           for name, _, value in (line.partition(":") for line in head.split("\r\n")[1:])}
                attempt = headers.get("x-wagtailhead-attempt-id", "")
                self.on_request(attempt)
                name = head.split(" ")[1].rsplit("/", 1)[-1]
                start, rest, end = (BROKEN | WHOLE).get(name, WHOLE["length"])
                start = start.replace("{attempt}", attempt).replace("{seal}", seal_of(self.id, attempt, BODY))
                await asyncio.sleep(0.05)  # The node goes on writing.
                writer.write(start.encode("latin-1") + b"\r\n" + rest)
                await writer.drain()
                if end == "reset":
                    reset_on_close(writer.get_extra_info("socket"))
                    abort(writer)
                    return
                if end == "close":
                    writer.write_eof()
                await self.read_body(reader, int(headers.get("content-length", "0")))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class MeshHandler(socketserver.BaseRequestHandler):
    """The same answers for wagtailhead-node, to requests without a body."""

    def handle(self):
        end = "keep"
        while end == "keep" and (head := self.read_head()):
            path = head.split(b" ")[1].decode()
            self.server.seen[path] = self.server.seen.get(path, 0) + 1
            start, rest, end = (BROKEN | WHOLE).get(path.rsplit("/", 1)[-1], WHOLE["length"])
            self.request.sendall(start.encode("latin-1") + b"\r\n" + rest)
        if end == "reset":
            reset_on_close(self.request)
            self.request.close()  # The base class would close it in order.

    def read_head(self):
        """Reads a request, or nothing at the end of the connection."""
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            part = self.request.recv(65536)
            if not part:
                return b""
            data += part
        return data


class MeshBackend(socketserver.ThreadingTCPServer):
    """Takes the place of a stand-in of the mesh."""
    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, mesh, service):
        row = mesh.rows("backend", service)[0]
        os.kill(int(row["pid"]), signal.SIGKILL)
        host, port = split_address(row["http"])
        self.seen = {}
        end = time.monotonic() + LIMIT_S
        while True:
            try:
                super().__init__((host, port), MeshHandler)
                break
            except OSError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.05)
        threading.Thread(target=self.serve_forever, daemon=True).start()


class BrokenAnswers(unittest.TestCase):
    """Each answer comes to a short order, a long one, and a read."""

    async def ask(self, node, name, method, route, body):
        """Sends one request on a connection of its own. Returns its id and its answer."""
        attempt = node.record.new_id("b")
        reader, writer = await asyncio.open_connection(*split_address(node.machine.outbound))
        try:
            writer.write(request_bytes(method, f"/{route}/{name}", {
                "Host": "shop.example", "X-Wagtailhead-Attempt-Id": attempt, "X-Wagtailhead-Deadline-Ms": "20000"}, body))
            return attempt, await asyncio.wait_for(read_response(reader), 25)
        except (HttpError, ConnectionError) as error:
            self.fail(f"{name}, {method} with {len(body)} bytes: {error}")
        finally:
            abort(writer)

    def test_from_a_backend_server(self):
        """Guards against callers that get a part, status 000 or a broken head as an answer, and against orders that are called
        "not run" or are run again because of one."""
        async def run():
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            node = Node()
            node.backend = BrokenBackend(node.machine)
            try:
                await node.start()
                for name in [*BROKEN, *WHOLE]:
                    for method, route, body in (("POST", "order", b"y"), ("POST", "order", b"y" * UPLOAD_BYTES),
                                                ("GET", "read", b"")):
                        attempt, answer = await self.ask(node, name, method, route, body)
                        with self.subTest(answer=name, method=method, size=len(body)):
                            self.assertEqual(answer.status, 502 if name in BROKEN else 200)
                            self.assertEqual(answer.body, b"" if name in BROKEN else BODY)
                            self.assertFalse([field for field in answer.headers if " " in field], answer.headers)
                            self.assertEqual(node.backend.seen.get(attempt), 1)
                self.assertIsNone(node.machine.process.poll())
            finally:
                if node.watch:
                    node.watch.stop()
                await node.close()
        asyncio.run(run())

    def test_from_a_backend_server_of_the_own_interface(self):
        """Guards against the same in wagtailhead-node."""
        with tempfile.TemporaryDirectory() as folder:
            mesh = LiveMesh(folder, "--nodes-per-service", "1")
            try:
                with MeshBackend(mesh, "pasutijumi") as backend:
                    self.play_mesh(mesh.addresses("node", "pasutijumi")[0], backend)
            finally:
                mesh.down()

    def play_mesh(self, node, backend):
        """Sends an order and a read for each answer."""
        end = time.monotonic() + LIMIT_S
        while request(node, "GET", "/pasutijumi/read/length")[0] != 200:
            self.assertLess(time.monotonic(), end, "the backend server is not in use")
            time.sleep(0.1)
        for name in [*BROKEN, *WHOLE]:
            for method, headers in (("POST", {"Idempotency-Key": name}), ("GET", {})):
                path = f"/{method}/{name}"
                status, fields, body = request(node, method, "/pasutijumi" + path, None, headers)
                with self.subTest(answer=name, method=method):
                    self.assertEqual(status, 504 if name in BROKEN else 200)
                    self.assertEqual(fields["Wagtailhead-Outcome"], "unknown" if name in BROKEN else "completed")
                    self.assertEqual(body == BODY, name in WHOLE)
                    if method == "POST":
                        self.assertEqual(backend.seen.get(path), 1)

    def test_to_wagtailheadctl(self):
        """Guards against a command that takes the same answers for those of a node."""
        for name, (start, _, end) in [*BROKEN.items(), *WHOLE.items()]:
            with self.subTest(answer=name), socket.create_server(("127.0.0.1", 0)) as server:
                text = b"{}".ljust(len(BODY))
                rest = (BROKEN | WHOLE)[name][1].replace(BODY, text).replace(BODY[1:], text[1:])
                thread = threading.Thread(target=self.answer_once, args=(server, start.encode("latin-1"), rest, end))
                thread.start()
                done = subprocess.run([os.path.join(ROOT, "build", "bin", "wagtailheadctl"), "status"], check=False,
                                      env=dict(os.environ, WAGTAILHEAD_TOKEN="ops-token-123456",
                                               WAGTAILHEAD_NODE="127.0.0.1:%d" % server.getsockname()[1]),
                                      capture_output=True, text=True, timeout=LIMIT_S)
                thread.join()
                self.assertEqual(done.returncode == 0, name in WHOLE, done.stdout + done.stderr)
                self.assertEqual("gave no answer" in done.stderr, name in BROKEN, done.stderr)

    @staticmethod
    def answer_once(server, start, rest, end):
        """Answers the request on the next connection."""
        server.settimeout(LIMIT_S)
        connection, _ = server.accept()
        connection.settimeout(LIMIT_S)
        with connection:
            connection.recv(65536)
            connection.sendall(start + b"\r\n" + rest)
            if end == "reset":
                reset_on_close(connection)
            elif end == "keep":
                connection.recv(1)


if __name__ == "__main__":
    unittest.main(verbosity=1, warnings="ignore")
