#!/usr/bin/env python3
"""Runs scripts/mesh with the stand-ins and a naive node, and checks what it starts and ends."""
import collections
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(FOLDER))
DEADLINE_S = 90
sys.path.insert(0, os.path.join(ROOT, "src", "build-scripts"))

import mesh_processes  # noqa: E402

# The first thread ends; another one goes on with the listening socket.
FIRST_THREAD_ENDS = """
import ctypes, socket, threading, time
listening = socket.create_server(("127.0.0.1", 0))
threading.Thread(target=time.sleep, args=(60,)).start()
print(listening.getsockname()[1], flush=True)
ctypes.CDLL(None).pthread_exit(None)
"""


def request(address, method, path, body=None):
    """Sends one request and returns (status, JSON body)."""
    connection = http.client.HTTPConnection(address, timeout=DEADLINE_S)
    try:
        connection.request(method, path, body, {"Idempotency-Key": "k1"})
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read())
    finally:
        connection.close()


def is_running(pid):
    """Returns whether a process runs that is no zombie."""
    try:
        with open(f"/proc/{pid}/stat", encoding="utf-8", errors="replace") as file:
            return file.read().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


class ProcessTest(unittest.TestCase):
    """What the commands of scripts/mesh take for the end of a process."""

    def test_threads_that_outlive_the_first_one(self):
        """Guards against a process that counts as ended while it still holds its addresses."""
        child = subprocess.Popen([sys.executable, "-c", FIRST_THREAD_ENDS], stdout=subprocess.PIPE, text=True)
        self.addCleanup(child.wait)
        self.addCleanup(child.kill)
        self.addCleanup(child.stdout.close)
        child.stdout.readline()
        deadline = time.monotonic() + DEADLINE_S
        while is_running(child.pid):
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.01)
        process = mesh_processes.Process("p", "node", "z", "s", "", "", "", [], child.pid,
                                         mesh_processes.start_time_of(child.pid))
        self.assertEqual(mesh_processes.state_of(process), "running")
        mesh_processes.kill([process])
        self.assertEqual(mesh_processes.state_of(process), "stopped")


class MeshTest(unittest.TestCase):
    """One mesh for each test, in a state directory of its own."""

    def setUp(self):
        self.state_dir = self.enterContext(tempfile.TemporaryDirectory())
        self.bin_dir = self.enterContext(tempfile.TemporaryDirectory())
        for program in ("store", "backend", "link"):
            os.symlink(os.path.join(ROOT, "build", "bin", "wagtailhead-standin-" + program),
                       os.path.join(self.bin_dir, "wagtailhead-standin-" + program))
        os.symlink(os.path.join(FOLDER, "naive_node.py"), os.path.join(self.bin_dir, "wagtailhead-node"))
        self.environment = dict(os.environ, NAIVE_NODE_STATE=os.path.join(self.state_dir, "state.json"))
        self.addCleanup(self.mesh, "down")

    def command(self, *arguments):
        """Returns the command line of scripts/mesh."""
        return [os.path.join(ROOT, "scripts", "mesh"), arguments[0], "--state-dir", self.state_dir, *arguments[1:]]

    def mesh(self, *arguments):
        """Runs scripts/mesh and returns the finished process."""
        return subprocess.run(self.command(*arguments), env=self.environment, capture_output=True, text=True,
                              timeout=DEADLINE_S, check=False)

    def up(self, *arguments):
        """Starts a mesh with the naive node."""
        done = self.mesh("up", "--bin-dir", self.bin_dir, *arguments)
        self.assertEqual(done.returncode, 0, done.stderr)

    def status(self):
        """Returns the processes of the mesh as dictionaries."""
        lines = self.mesh("status").stdout.splitlines()
        return [dict(part.split("=", 1) for part in line.split()) for line in lines]

    def process(self, role, node="-"):
        """Returns one process of the mesh."""
        return next(row for row in self.status() if row["role"] == role and row["node"] == node)

    def pids(self):
        """Returns the pids of the mesh."""
        return [int(row["pid"]) for row in self.status()]

    def test_perlu(self):
        """Guards against missing servers, zones without a service, and a broken call graph."""
        self.up()
        rows = self.status()
        nodes = [row for row in rows if row["role"] == "node"]
        self.assertEqual(collections.Counter(row["service"] for row in nodes),
                         {"katalogs": 5, "pasutijumi": 4, "faili": 4, "krajums": 4})
        self.assertEqual(collections.Counter(row["role"] for row in rows), {"store": 1, "node": 17, "backend": 17})
        for service in ("katalogs", "pasutijumi", "faili", "krajums"):
            zones = {row["zone"] for row in nodes if row["service"] == service}
            self.assertEqual(zones, {"riga-a", "riga-b", "kurzeme-a", "kurzeme-b"})
        self.assertTrue(all(row["state"] == "running" for row in rows))
        status, order = request(nodes[0]["http"], "POST", "/pasutijumi/orders", "{}")
        self.assertEqual((status, order["key"]), (200, "k1"))
        self.assertEqual([row["status"] for row in order["subCalls"]], [200, 200])
        executed = set()
        for row in rows:
            if row["role"] == "backend":
                executed |= {(row["service"], one["path"]) for one in request(row["http"], "GET", "/audit")[1]["executions"]}
        self.assertEqual(executed, {("pasutijumi", "/orders"), ("krajums", "/reservations"), ("katalogs", "/items"),
                                    ("krajums", "/stock"), ("katalogs", "/prices")})
        self.assertGreaterEqual(len(request(nodes[0]["http"], "GET", "/faili/x")[1]["padding"]), 199_000)
        objects = request(self.process("store")["http"], "GET", "/v1/objects?prefix=config/")[1]["objects"]
        self.assertEqual({row["key"] for row in objects}, {"config/" + kind for kind in (
            "classes", "retries", "limits", "links", "leaving")})

    def test_lindqvist_over_links(self):
        """Guards against nodes that reach the store or other zones past the link stand-in."""
        self.up("--deployment", "lindqvist", "--nodes-per-service", "1", "--links")
        node = next(row for row in self.status() if row["role"] == "node" and row["zone"] == "tampere-a")
        settings = request(node["http"], "GET", "/-/dump")[1]["settings"]
        # One flag with a list: the node's command line takes it once.
        self.assertEqual(len(settings["zone-translate"]), 1)
        translated = [entry.split("=")[0] for entry in settings["zone-translate"][0].split(",")]
        self.assertEqual(translated, ["vantaa-a", "espoo-b", "nokia-b"])
        self.assertEqual(request(settings["store"][0], "GET", "/v1/objects/config/links")[0], 200)
        pairs = request(self.process("link")["http"], "GET", "/-/pairs")[1]["pairs"]
        by_name = {(row["from"], row["to"]): row for row in pairs}
        self.assertGreater(by_name["tampere-a", "platform"]["opened"], 0)
        self.assertEqual(by_name["vantaa-a", "platform"]["delayUs"], 500)
        self.assertEqual(by_name["vantaa-a", "nokia-b"]["delayUs"], 30_000)
        status, booking = request(node["http"], "POST", "/dispatch/bookings", "{}")
        self.assertEqual((status, len(booking["subCalls"])), (200, 2))

    def test_up_twice_and_down_twice(self):
        """Guards against a second mesh beside the first, and against processes that are left behind."""
        self.up("--nodes-per-service", "1")
        pids = self.pids()
        self.up("--nodes-per-service", "1")
        self.assertEqual(self.pids(), pids)
        other = self.mesh("up", "--bin-dir", self.bin_dir, "--nodes-per-service", "2")
        self.assertEqual(other.returncode, 1, "another mesh was accepted")
        self.assertEqual(self.mesh("down").returncode, 0)
        self.assertEqual([pid for pid in pids if is_running(pid)], [])
        self.assertEqual(self.mesh("down").returncode, 0)
        self.assertEqual(self.mesh("status").returncode, 1)

    def test_failed_start_leaves_nothing_behind(self):
        """Guards against an unclear message, and against processes that outlive a failed start."""
        self.environment["NAIVE_NODE_FAILS"] = "krajums-1"
        failed = self.mesh("up", "--bin-dir", self.bin_dir, "--nodes-per-service", "1")
        self.assertEqual(failed.returncode, 1)
        self.assertIn("krajums-1.node ended at its start: cannot start: told so by the test", failed.stderr)
        self.assertIn("9 processes ended", failed.stdout)
        self.assertEqual(self.mesh("status").returncode, 1)

    def test_interrupted_start_leaves_nothing_behind(self):
        """Guards against processes that outlive an interrupted start."""
        self.environment["NAIVE_NODE_NOT_READY"] = "krajums-1"  # So that the start cannot end before the signal.
        with subprocess.Popen(self.command("up", "--bin-dir", self.bin_dir, "--nodes-per-service", "1"),
                              env=self.environment, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as starting:
            end = time.monotonic() + DEADLINE_S
            while len(self.status()) < 9 and time.monotonic() < end:
                time.sleep(0.01)
            pids = self.pids()
            starting.send_signal(signal.SIGTERM)
            starting.communicate(timeout=DEADLINE_S)
        self.assertEqual(starting.returncode, 1)
        self.assertEqual([pid for pid in pids if is_running(pid)], [])
        self.assertEqual(self.mesh("status").returncode, 1)

    def test_down_spares_a_later_process_with_a_recorded_pid(self):
        """Guards against ending a foreign process that has got the pid of an ended one."""
        self.up("--nodes-per-service", "1")
        with subprocess.Popen(["sleep", "300"]) as foreign:
            self.mesh("kill", "katalogs-1")
            state = os.path.join(self.state_dir, "state.json")
            with open(state, encoding="utf-8") as file:
                content = json.load(file)
            for row in content["processes"]:
                if row["node"] == "katalogs-1":
                    row["pid"] = foreign.pid
            with open(state, "w", encoding="utf-8") as file:
                json.dump(content, file)
            self.assertEqual(self.mesh("down").returncode, 0)
            self.assertIsNone(foreign.poll(), "a foreign process was ended")
            foreign.kill()

    def test_down_kills_a_node_that_does_not_end(self):
        """Guards against a hanging node that is left behind, or that is killed without a word."""
        self.environment["NAIVE_NODE_IGNORES_TERM"] = "faili-1"
        self.up("--nodes-per-service", "1")
        pids = self.pids()
        down = self.mesh("down")
        self.assertIn("faili-1.node did not end by itself and was killed", down.stderr)
        self.assertEqual([pid for pid in pids if is_running(pid)], [])

    def test_single_vms(self):
        """Guards against faults that hit the wrong processes, and against a replaced VM that is the old one."""
        self.up("--nodes-per-service", "1")
        before = self.process("node", "krajums-1")
        self.assertEqual(self.mesh("freeze", "krajums-1", "--only", "node").returncode, 0)
        self.assertEqual(self.process("node", "krajums-1")["state"], "frozen")
        self.assertEqual(self.process("backend", "krajums-1")["state"], "running")
        self.assertEqual(self.mesh("resume", "krajums-1").returncode, 0)
        self.assertEqual(self.process("node", "krajums-1")["state"], "running")
        self.assertEqual(self.mesh("replace", "krajums-1").returncode, 0)
        after = self.process("node", "krajums-1")
        self.assertNotEqual(before["pid"], after["pid"])
        self.assertEqual((before["http"], "running"), (after["http"], after["state"]))
        self.assertEqual(self.mesh("kill", "krajums-1").returncode, 0)
        self.assertEqual({row["state"] for row in self.status() if row["node"] == "krajums-1"}, {"stopped"})
        self.assertEqual({row["state"] for row in self.status() if row["node"] != "krajums-1"}, {"running"})
        self.assertEqual(self.mesh("replace", "krajums-1", "--graceful").returncode, 0)
        self.assertEqual(self.process("node", "krajums-1")["state"], "running")
        self.assertEqual(self.mesh("kill", "nobody-1").returncode, 1)

    def test_quickstart(self):
        """Guards against a quickstart that loses a class of requests, or leaves processes behind."""
        state_dir = os.path.join(ROOT, ".mesh-quickstart")
        self.environment["NAIVE_NODE_STATE"] = os.path.join(state_dir, "state.json")
        done = subprocess.run([os.path.join(ROOT, "scripts", "quickstart"), "--bin-dir", self.bin_dir,
                               "--nodes-per-service", "1"], env=self.environment, capture_output=True, text=True,
                              timeout=DEADLINE_S, check=False)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        for name in ("orders", "stock reads", "lookups", "downloads"):
            self.assertRegex(done.stdout, rf"(?m)^{name} +60 +60 +0 +0 +0 ")
        self.assertIn("mesh is down: 9 processes ended", done.stdout)
        self.assertFalse(os.path.exists(os.path.join(state_dir, "state.json")))


if __name__ == "__main__":
    tests = unittest.defaultTestLoader.loadTestsFromModule(sys.modules[__name__])
    result = unittest.TextTestRunner(verbosity=2).run(tests)
    sys.exit(0 if result.wasSuccessful() and result.testsRun else 1)
