"""The backend server stand-in: executions, slots, sub-calls, cancellation, faults."""
import http.server
import json
import socket
import threading
import unittest

import harness

PROGRAM = "wagtailhead-standin-backend"
LONG_MS = 60000  # A service time that does not end within a test.


class SubCallListener:
    """Answers the sub-calls of a backend stand-in as its node would, and records them."""

    def __init__(self):
        self.requests = []
        self.statuses = []  # Statuses of the next answers; 200 when empty.
        self.hold = threading.Event()  # Answers wait for it.
        self.hold.set()
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Handles one sub-call."""
            protocol_version = "HTTP/1.1"

            def answer(self):
                """Records the request and answers with the next status."""
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                outer.requests.append((self.command, self.path, dict(self.headers), body))
                outer.hold.wait(harness.DEADLINE_S)
                self.send_response(outer.statuses.pop(0) if outer.statuses else 200)
                self.send_header("Wagtailhead-Outcome", "completed")
                self.send_header("Content-Length", "2")
                self.end_headers()
                self.wfile.write(b"{}")

            do_GET = do_POST = answer  # pylint: disable=invalid-name

            def log_message(self, *_):
                """Keeps the output of the tests short."""

        self.server = http.server.ThreadingHTTPServer((harness.HOST, 0), Handler)
        self.server.daemon_threads = True
        self.address = f"{harness.HOST}:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        """Ends the listener."""
        self.hold.set()
        self.server.shutdown()
        self.server.server_close()


class BackendTest(unittest.TestCase):
    """One backend process for each test, started with the arguments of the test."""

    def start(self, *arguments):
        """Starts a backend server stand-in."""
        return self.enterContext(harness.Process(PROGRAM, "--service=pasutijumi", *arguments))

    def start_with_sub_calls(self, *arguments):
        """Starts a backend server stand-in with a sub-call listener."""
        listener = SubCallListener()
        self.addCleanup(listener.close)
        return listener, self.start(f"--subcalls={listener.address}", "--service-time-ms=1", *arguments)

    def audit(self, backend):
        """Returns all executions."""
        return backend.call("GET", "/audit").json["executions"]

    def await_states(self, backend, *states):
        """Waits until the executions have these states, in order of their start."""
        harness.eventually(lambda: [row["state"] for row in self.audit(backend)] == list(states), f"states {states}")

    def test_answer_belongs_to_the_request(self):
        """Guards against answers that do not show to which request they belong."""
        backend = self.start("--service-time-ms=1")
        headers = {"Idempotency-Key": "k1", "Wagtailhead-Attempt": "n/1", "Wagtailhead-Class": "critical"}
        first = backend.call("POST", "/pasutijumi/orders", {"a": 1}, headers).json
        second = backend.call("POST", "/orders", {"a": 2}, headers).json
        self.assertEqual((first["service"], first["key"], first["attempt"], first["class"], first["path"]),
                         ("pasutijumi", "k1", "n/1", "critical", "/orders"))
        self.assertNotEqual(first["bodyHash"], second["bodyHash"])
        rows = self.audit(backend)
        self.assertEqual([(row["key"], row["attempt"], row["class"], row["state"]) for row in rows],
                         [("k1", "n/1", "critical", "done")] * 2)
        self.assertLessEqual(rows[0]["start"], rows[0]["end"])

    def test_large_answers(self):
        """Guards against downloads that are too short or cut."""
        backend = self.start("--service-time-ms=1", "--body-size=GET:/=200000,GET:/small=0")
        large = backend.call("GET", "/faili/x")
        self.assertGreaterEqual(len(large.text), 200000)
        unit = large.json["paddingUnit"]
        self.assertEqual(large.json["padding"], unit * (len(large.json["padding"]) // len(unit)))
        self.assertLess(len(backend.call("GET", "/small").text), 1000)

    def test_calls_beyond_the_slots_wait(self):
        """Guards against more executions at a time than slots, and against waiting calls that count as run."""
        backend = self.start("--slots=2", f"--service-time-ms={LONG_MS}")
        calls = [harness.send(backend.port, "GET", f"/{i}") for i in range(3)]
        harness.eventually(lambda: backend.dump()["queued"] == 1, "one call waits")
        self.assertEqual(backend.dump()["running"], 2)
        self.await_states(backend, "running", "running")
        calls[0].close()
        self.await_states(backend, "cancelled", "running", "running")
        self.assertEqual(backend.call("GET", "/load").json["load"], 1.0)
        for call in calls[1:]:
            call.close()

    def test_closed_connection_cancels_its_execution(self):
        """Guards against executions that go on for callers that are gone, and hold their slot."""
        backend = self.start("--slots=1", f"--service-time-ms={LONG_MS}")
        running, waiting = (harness.send(backend.port, "GET", path) for path in ("/a", "/b"))
        harness.eventually(lambda: backend.dump()["queued"] == 1, "the second call waits")
        waiting.close()
        harness.eventually(lambda: backend.dump()["queued"] == 0, "the waiting call is dropped")
        running.close()
        self.await_states(backend, "cancelled")
        self.assertEqual(backend.dump()["running"], 0)

    def test_expired_deadline_cancels_the_execution(self):
        """Guards against executions, or waiting calls, that outlive their deadline."""
        backend = self.start("--slots=1", f"--service-time-ms={LONG_MS}")
        expired = backend.call("GET", "/a", headers={"Wagtailhead-Deadline-Ms": "300"})
        self.assertEqual((expired.status, expired.json["reason"]), (504, "deadline"))
        self.await_states(backend, "cancelled")
        running = harness.send(backend.port, "GET", "/b")
        harness.eventually(lambda: backend.dump()["running"] == 1, "a call holds the slot")
        self.assertEqual(backend.call("GET", "/c", headers={"Wagtailhead-Deadline-Ms": "1"}).status, 504)
        self.await_states(backend, "cancelled", "running")
        running.close()

    def test_sub_calls_in_sequence(self):
        """Guards against sub-calls without context, out of order, or missing from the answer."""
        node, backend = self.start_with_sub_calls("--call=POST:/orders=POST:krajums:/reservations,GET:katalogs:/items")
        headers = {"Wagtailhead-Context": "t1", "Idempotency-Key": "k1"}
        answer = backend.call("POST", "/orders", {}, headers)
        self.assertEqual(answer.status, 200)
        self.assertEqual([(method, path) for method, path, _, _ in node.requests],
                         [("POST", "/krajums/reservations"), ("GET", "/katalogs/items")])
        for _, _, sent, _ in node.requests:
            self.assertEqual(sent["Wagtailhead-Context"], "t1")
        self.assertEqual(json.loads(node.requests[0][3])["parent"], "k1")
        self.assertEqual([row["status"] for row in answer.json["subCalls"]], [200, 200])
        self.assertEqual(backend.call("GET", "/orders").json["subCalls"], [])

    def test_sub_calls_in_parallel(self):
        """Guards against a parallel fan-out that is sent one by one."""
        node, backend = self.start_with_sub_calls("--call=GET:/=GET:a:/x,GET:b:/y", "--parallel")
        node.hold.clear()
        call = harness.send(backend.port, "GET", "/")
        harness.eventually(lambda: len(node.requests) == 2, "both sub-calls are sent before an answer")
        node.hold.set()
        self.assertEqual(call.getresponse().status, 200)

    def test_failed_sub_call_fails_the_execution(self):
        """Guards against an execution that hides a failed sub-call, or repeats it without limit."""
        node, backend = self.start_with_sub_calls("--call=POST:/orders=POST:a:/x,GET:b:/y", "--retries=2")
        node.statuses = [503, 200]
        self.assertEqual(backend.call("POST", "/orders", {}).json["subCalls"][0]["attempts"], 2)
        node.requests.clear()
        node.statuses = [503] * 3
        failed = backend.call("POST", "/orders", {})
        self.assertEqual(failed.status, 502)
        self.assertEqual(failed.json["subCalls"][0], {"call": "POST a:/x", "status": 503, "attempts": 3,
                                                      "earlierReasons": ["", ""],
                                                      "outcome": "completed", "reason": ""})
        self.assertEqual(len(node.requests), 3)
        self.assertEqual(len({body for _, _, _, body in node.requests}), 1, "repeats must be equal")
        self.await_states(backend, "done", "failed")

    def test_cancelled_execution_ends_its_sub_calls(self):
        """Guards against sub-calls that go on after their execution was cancelled."""
        node, backend = self.start_with_sub_calls("--call=GET:/=GET:a:/x,GET:b:/y")
        node.hold.clear()
        call = harness.send(backend.port, "GET", "/")
        harness.eventually(lambda: node.requests, "the first sub-call is sent")
        call.close()
        self.await_states(backend, "cancelled")
        node.hold.set()
        self.assertEqual(backend.call("GET", "/health").status, 200)
        self.assertEqual(len(node.requests), 1)

    def test_deadline_during_a_sub_call_cancels(self):
        """Guards against an expired execution that counts as failed because its sub-call expires as well."""
        node, backend = self.start_with_sub_calls("--call=GET:/=GET:a:/x", "--retries=5")
        node.hold.clear()
        expired = backend.call("GET", "/", headers={"Wagtailhead-Deadline-Ms": "500"})
        self.assertEqual(expired.status, 504)
        self.await_states(backend, "cancelled")

    def test_connections_beyond_the_limit_are_closed(self):
        """Guards against a connection limit that lets more in, or never frees a place."""
        backend = self.start("--connections=2", "--service-time-ms=1")
        held = [socket.create_connection((harness.HOST, backend.port), harness.DEADLINE_S) for _ in range(2)]
        with socket.create_connection((harness.HOST, backend.port), harness.DEADLINE_S) as third:
            self.assertEqual(third.recv(1), b"")
        for connection in held:
            connection.close()
        harness.eventually(lambda: self.answers(backend), "the places are free again")

    @staticmethod
    def answers(backend):
        """Returns whether a new connection is served."""
        try:
            return backend.call("GET", "/x").status == 200
        except (OSError, harness.http.client.HTTPException):
            return False

    def test_faults(self):
        """Guards against faults without effect."""
        backend = self.start("--service-time-ms=1")
        backend.control("/-/faults", {"errorRate": 1.0})
        self.assertEqual(backend.call("GET", "/a").status, 500)
        backend.control("/-/faults", {"errorRate": 0.0, "loseAnswers": 1})
        with self.assertRaises((TimeoutError, socket.timeout)):
            backend.call("GET", "/b", timeout=0.3)
        self.await_states(backend, "failed", "done")
        self.assertEqual(backend.call("GET", "/c").status, 200)
        backend.control("/-/faults", {"fixedLoad": 0.5, "health": "down"})
        self.assertEqual(backend.call("GET", "/load").json["load"], 0.5)
        self.assertEqual(backend.call("GET", "/health").status, 503)
        self.assertEqual(backend.call("GET", "/d").status, 200, "only the report lies")
        self.assertEqual(backend.call("POST", "/-/faults", {"errorRate": 2}).status, 400)

    def test_service_time_factor(self):
        """Guards against a slow-down fault that does not reach later calls."""
        backend = self.start("--service-time-ms=1")
        backend.control("/-/faults", {"serviceTimeFactor": 10000.0})
        call = harness.send(backend.port, "GET", "/a", {"Wagtailhead-Deadline-Ms": "300"})
        self.assertEqual(call.getresponse().status, 504)

    def test_load_report_lags(self):
        """Guards against a lagging report that shows the present load."""
        backend = self.start("--slots=2", f"--service-time-ms={LONG_MS}")
        backend.control("/-/faults", {"loadLagMs": 600000})
        call = harness.send(backend.port, "GET", "/a")
        harness.eventually(lambda: backend.dump()["running"] == 1, "the call runs")
        self.assertEqual(backend.call("GET", "/load").json["running"], 0)
        backend.control("/-/faults", {"loadLagMs": 0})
        self.assertEqual(backend.call("GET", "/load").json["running"], 1)
        call.close()

    def test_drain_lets_running_calls_finish(self):
        """Guards against a drain or a planned stop that cuts calls, or lets new ones in."""
        node, backend = self.start_with_sub_calls("--call=GET:/=GET:a:/x")
        node.hold.clear()
        call = harness.send(backend.port, "GET", "/")
        harness.eventually(lambda: node.requests, "the call runs")
        backend.control("/-/drain", {"draining": True})
        self.assertEqual(backend.call("GET", "/new").status, 503)
        self.assertEqual(backend.call("GET", "/health").json["status"], "draining")
        backend.control("/-/drain", {"draining": False})
        self.assertEqual(backend.call("GET", "/health").status, 200)
        backend.process.terminate()
        harness.eventually(lambda: backend.dump()["draining"], "the stop has begun")
        node.hold.set()
        self.assertEqual(call.getresponse().status, 200)
        self.assertEqual(backend.process.wait(harness.DEADLINE_S), 0)


if __name__ == "__main__":
    unittest.main()
