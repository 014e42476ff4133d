"""Starts stand-ins on free loopback ports and talks HTTP to them."""
import http.client
import json
import os
import socket
import subprocess
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BIN = os.path.join(ROOT, "build", "bin")
HOST = "127.0.0.1"
DEADLINE_S = 30  # Generous, since other builds and tests may load the machine.


def free_port():
    """Returns a TCP port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def eventually(condition, what):
    """Waits until condition() is true and returns its value; fails after DEADLINE_S."""
    end = time.monotonic() + DEADLINE_S
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"did not happen within {DEADLINE_S} s: {what}")
        time.sleep(0.01)


class Reply:
    """Status, headers and body of an HTTP answer."""

    def __init__(self, answer):
        self.status = answer.status
        self.headers = dict(answer.getheaders())
        self.text = answer.read().decode()

    @property
    def json(self):
        """The body as JSON."""
        return json.loads(self.text)


def call(port, method, path, body=None, headers=None, timeout=DEADLINE_S):
    """Sends one request on a new connection and returns its Reply."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        data = body if body is None or isinstance(body, bytes) else json.dumps(body)
        connection.request(method, path, data, headers or {})
        return Reply(connection.getresponse())
    finally:
        connection.close()


def send(port, method, path, headers=None):
    """Sends one request and returns its open connection without waiting for the answer."""
    connection = http.client.HTTPConnection(HOST, port, timeout=DEADLINE_S)
    connection.request(method, path, headers=headers or {})
    return connection


class Process:
    """A stand-in process, ended with the `with` block."""

    def __init__(self, program, *arguments):
        self.port = free_port()
        command = [os.path.join(BIN, program), f"--listen={HOST}:{self.port}", "--log-level=warning", *arguments]
        self.process = subprocess.Popen(command)

    def __enter__(self):
        eventually(self._answers, f"{self.process.args[0]} answers")
        return self

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.terminate()
        try:
            self.process.wait(DEADLINE_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            raise

    def _answers(self):
        if self.process.poll() is not None:
            raise AssertionError(f"{self.process.args} ended with status {self.process.returncode}")
        try:
            return call(self.port, "GET", "/-/dump").status == 200
        except OSError:
            return False

    def call(self, method, path, body=None, headers=None, timeout=DEADLINE_S):
        """Sends one request and returns its Reply."""
        return call(self.port, method, path, body, headers, timeout)

    def control(self, path, body):
        """Posts to a control path and fails unless it is accepted."""
        reply = self.call("POST", path, body)
        assert reply.status == 200, reply.text
        return reply.json

    def dump(self):
        """Returns the state dump."""
        return self.call("GET", "/-/dump").json
