#!/usr/bin/env python3
"""Contract tests of the callers' interface against real processes."""
import json
import os
import socket
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "lib"))
from live_mesh import LiveMesh, audit, request  # noqa: E402 pylint: disable=wrong-import-position

WAIT_LIMIT_S = 20
MIB = 1 << 20


def raw(address, payload):
    """Sends bytes as they are and returns what comes back until the node closes or pauses."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=WAIT_LIMIT_S) as connection:
        connection.sendall(payload)
        received = b""
        while b"\r\n\r\n" not in received:
            part = connection.recv(65536)
            if not part:
                break
            received += part
        return received


class CallsTest(unittest.TestCase):
    """One mesh with two VMs for each service serves all tests."""

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.mesh = LiveMesh(cls.folder.name, "--nodes-per-service", "2")
        cls.node = cls.mesh.addresses("node", "katalogs")[0]
        cls.other = cls.mesh.addresses("node", "katalogs")[1]
        cls.backends = cls.mesh.addresses("backend", "pasutijumi")

    @classmethod
    def tearDownClass(cls):
        cls.mesh.down()
        cls.folder.cleanup()

    def order(self, key, node=None, body="{}", **headers):
        """Sends one order."""
        fields = {"Idempotency-Key": key, "Wagtailhead-Deadline-Ms": "5000"}
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        return request(node or self.node, "POST", "/pasutijumi/orders", body, fields)

    def executions(self, key):
        """Returns all executions of a key."""
        return [entry for address in self.backends for entry in audit(address) if entry["key"] == key]

    def eventually(self, condition, message):
        """Waits for a condition with a generous limit."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, message)
            time.sleep(0.05)

    def test_wrong_requests(self):
        """Guards against wrong requests that get no clear 4xx answer with an outcome."""
        table = [
            ("GET", "/nothing/x", None, {}, 404, "unknown-service"),
            ("GET", "/", None, {}, 404, "unknown-service"),
            ("POST", "/pasutijumi/orders", "{}", {}, 400, "key-required"),
            ("POST", "/pasutijumi/orders", "{}", {"Idempotency-Key": "a b"}, 400, "bad-key"),
            ("POST", "/pasutijumi/orders", "{}", {"Idempotency-Key": "k" * 129}, 400, "bad-key"),
            ("GET", "/katalogs/items/1", None, {"Wagtailhead-Deadline-Ms": "-1"}, 400, "bad-deadline"),
            ("GET", "/katalogs/items/1", None, {"Wagtailhead-Deadline-Ms": "60001"}, 400, "bad-deadline"),
        ]
        for method, path, body, headers, status, reason in table:
            with self.subTest(path=path, reason=reason):
                answer = request(self.node, method, path, body, headers)
                self.assertEqual((answer[0], answer[1]["Wagtailhead-Reason"]), (status, reason))
                self.assertEqual(answer[1]["Wagtailhead-Outcome"], "not-run")
                self.assertEqual(json.loads(answer[2])["reason"], reason)

    def test_malformed_http(self):
        """Guards against malformed HTTP that harms the node or gets no answer."""
        table = [(b"NONSENSE\r\n\r\n", b" 400 "), (b"GET /katalogs/items/1 HTTP/1.1\r\nbad header\r\n\r\n", b" 400 "),
                 (b"GET /katalogs/items/1 HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 20000 + b"\r\n\r\n", b" 431 "),
                 (b"POST /katalogs/items HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n", b" 413 ")]
        for payload, status in table:
            with self.subTest(payload=payload[:30]):
                answer = raw(self.node, payload)
                self.assertIn(status, answer.split(b"\r\n")[0] + b" ")
                self.assertIn(b"wagtailhead-outcome: not-run", answer.lower())
        self.assertEqual(request(self.node, "GET", "/katalogs/items/1")[0], 200)

    def test_body_limit(self):
        """Guards against bodies that are cut, or accepted beyond the limit."""
        whole = request(self.node, "POST", "/katalogs/echo", "x" * MIB)
        self.assertEqual(whole[0], 200)
        self.assertEqual(json.loads(whole[2])["bodyBytes"], MIB)
        self.assertEqual(request(self.node, "POST", "/katalogs/echo", "x" * (MIB + 1))[0], 413)

    def test_order_repeated_at_another_node(self):
        """Guards against a repeat that runs again, or gets another answer than the first."""
        first = self.order("riga:repeat")
        self.assertEqual((first[0], first[1]["Wagtailhead-Outcome"]), (200, "completed"))
        again = self.order("riga:repeat", self.other)
        self.assertEqual((again[0], again[1]["Wagtailhead-Outcome"]), (200, "completed"))
        self.assertEqual(again[2], first[2])
        self.assertEqual(len(self.executions("riga:repeat")), 1)

    def test_concurrent_repeats_join(self):
        """Guards against two executions when the same order arrives several times at once."""
        answers = []
        threads = [threading.Thread(target=lambda node=node: answers.append(self.order("riga:join", node)))
                   for node in (self.node, self.other) * 4]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual({answer[1]["Wagtailhead-Outcome"] for answer in answers}, {"completed"})
        self.assertEqual(len({answer[2] for answer in answers}), 1)
        self.assertEqual(len(self.executions("riga:join")), 1)

    def test_key_reused_with_another_body(self):
        """Guards against a reused key that returns the answer to another order."""
        self.assertEqual(self.order("riga:reuse", body="{\"a\":1}")[0], 200)
        again = self.order("riga:reuse", body="{\"a\":2}")
        self.assertEqual((again[0], again[1]["Wagtailhead-Reason"]), (422, "key-reused"))
        self.assertEqual(len(self.executions("riga:reuse")), 1)

    def test_sub_calls_inherit_the_context(self):
        """Guards against sub-calls of an order that lose its class."""
        self.assertEqual(self.order("riga:context")[0], 200)
        reservations = [entry for address in self.mesh.addresses("backend", "krajums") for entry in audit(address)
                        if entry["path"] == "/reservations"]
        self.assertTrue(reservations)
        self.assertEqual({entry["class"] for entry in reservations}, {"critical"})

    def test_sub_call_without_context_has_the_lowest_class(self):
        """Guards against a backend server that loses the context and gains importance by it."""
        row = self.mesh.rows("node", "katalogs")[0]
        answer = request(row["subcalls"], "GET", "/krajums/stock/no-context")
        self.assertEqual(answer[0], 200)
        classes = {entry["class"] for address in self.mesh.addresses("backend", "krajums")
                   for entry in audit(address) if entry["path"].startswith("/stock/no-context")}
        self.assertEqual(classes, {"bulk"})

    def test_caller_gone(self):
        """Guards against work that goes on when nobody waits for it."""
        host, port = self.node.split(":")
        backends = self.mesh.addresses("backend", "katalogs")
        for backend in backends:
            request(backend, "POST", "/-/faults", json.dumps({"serviceTimeFactor": 50}))
        self.addCleanup(lambda: [request(backend, "POST", "/-/faults", json.dumps({"serviceTimeFactor": 1}))
                                 for backend in backends])
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(b"GET /katalogs/gone HTTP/1.1\r\nHost: x\r\nWagtailhead-Deadline-Ms: 30000\r\n\r\n")
            started = lambda: [entry for backend in backends for entry in audit(backend)  # noqa: E731
                               if entry["path"].startswith("/gone")]
            self.eventually(started, "the call never started")
        self.eventually(lambda: started()[0]["state"] == "cancelled", "the call was not cancelled")

    def test_deadline(self):
        """Guards against a caller that waits much longer than its deadline, or is told a false end."""
        for backend in self.mesh.addresses("backend", "faili"):
            request(backend, "POST", "/-/faults", json.dumps({"serviceTimeFactor": 200}))
        try:
            answer = request(self.node, "GET", "/faili/lists/slow", headers={"Wagtailhead-Deadline-Ms": "300"})
        finally:
            for backend in self.mesh.addresses("backend", "faili"):
                request(backend, "POST", "/-/faults", json.dumps({"serviceTimeFactor": 1}))
        self.assertIn(answer[1]["Wagtailhead-Outcome"], ("unknown", "not-run"))

    def test_dump_and_metrics(self):
        """Guards against a process without state dump or metrics, or a dump that shows a secret."""
        for row in self.mesh.processes:
            with self.subTest(role=row["role"]):
                self.assertEqual(request(row["http"], "GET", "/-/dump")[0], 200)
                self.assertEqual(request(row["http"], "GET", "/-/metrics")[0], 200)


if __name__ == "__main__":
    sys.exit(0 if unittest.main(exit=False, verbosity=1).result.wasSuccessful() else 1)
