#!/usr/bin/env python3
"""Fault table against real processes: orders flow, a fault happens, every answer must stay true.

Each row is GIVEN a fault, EXPECT: no order runs twice, no executed order is told "not run", every
caller gets the whole answer to its own order, and orders complete again within a generous time.
"""
import http.client
import json
import os
import subprocess
import sys
import tempfile
import time
import unittest

from order_stream import OrderStream

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MESH_TIMEOUT_S = 120
STEADY_ORDERS = 30
RECOVERY_LIMIT_S = 45


class Mesh:
    """A mesh in a state directory of its own."""

    def __init__(self, state_dir, *arguments):
        self.state_dir = state_dir
        self.run("up", *arguments)
        self.processes = [dict(part.split("=", 1) for part in line.split())
                          for line in self.run("status").splitlines()]

    def run(self, command, *arguments):
        """Runs scripts/mesh and returns its output."""
        done = subprocess.run([os.path.join(ROOT, "scripts", "mesh"), command, "--state-dir", self.state_dir, *arguments],
                              capture_output=True, text=True, timeout=MESH_TIMEOUT_S, check=False)
        if done.returncode != 0:
            raise RuntimeError(f"mesh {command} failed: {done.stdout} {done.stderr}")
        return done.stdout

    def addresses(self, role, service=None):
        """Returns the HTTP addresses of a role."""
        return [row["http"] for row in self.processes
                if row["role"] == role and (service is None or row["service"] == service)]

    def post(self, role, path, body):
        """Sends a JSON request to the only process of a role."""
        connection = http.client.HTTPConnection(self.addresses(role)[0], timeout=10)
        connection.request("POST", path, json.dumps(body))
        status = connection.getresponse().status
        connection.close()
        if status >= 300:
            raise RuntimeError(f"{role} answered {status} to {path}")


def pause(seconds):
    """Lets the fault last."""
    time.sleep(seconds)


def kill_vm(mesh):
    """A VM is lost without warning."""
    mesh.run("kill", "pasutijumi-1")


def kill_node(mesh):
    """Only the node process is lost; its backend server goes on."""
    mesh.run("kill", "pasutijumi-1", "--only", "node")


def kill_backend(mesh):
    """Only the backend server is lost."""
    mesh.run("kill", "pasutijumi-1", "--only", "backend")


def freeze_vm(mesh):
    """A VM is paused for longer than every timeout of the callers and then goes on."""
    mesh.run("freeze", "pasutijumi-2")
    pause(12)
    mesh.run("resume", "pasutijumi-2")


def freeze_node(mesh):
    """The node process is paused while its backend server goes on."""
    mesh.run("freeze", "pasutijumi-2", "--only", "node")
    pause(8)
    mesh.run("resume", "pasutijumi-2", "--only", "node")


def replace_vm(mesh):
    """A VM is replaced by a new incarnation at the same address."""
    mesh.run("replace", "pasutijumi-3")


def replace_all(mesh):
    """Every VM of a service is replaced, one after the other."""
    for number in range(1, 5):
        mesh.run("replace", f"pasutijumi-{number}", "--graceful")
        pause(3)


def store_outage_and_kill(mesh):
    """The store is out when a VM is lost, and comes back later."""
    mesh.post("store", "/-/faults", {"outage": True})
    kill_vm(mesh)
    pause(6)
    mesh.post("store", "/-/faults", {"outage": False})


def lost_store_answers(mesh):
    """The answers of writes are lost after they took effect, while shards move."""
    mesh.post("store", "/-/faults", {"loseAnswers": 5})
    kill_vm(mesh)


FAULTS = {
    "kill-vm": kill_vm,
    "kill-node": kill_node,
    "kill-backend": kill_backend,
    "freeze-vm": freeze_vm,
    "freeze-node": freeze_node,
    "replace-vm": replace_vm,
    "replace-all": replace_all,
    "store-outage-and-kill": store_outage_and_kill,
    "lost-store-answers": lost_store_answers,
}


class FaultTest(unittest.TestCase):
    """One mesh for each row of the table."""

    def wait_for_completed(self, stream, since, count):
        """Waits until `count` orders from number `since` on have completed."""
        deadline = time.monotonic() + RECOVERY_LIMIT_S
        while stream.count("completed", since) < count:
            self.assertLess(time.monotonic(), deadline, f"no {count} orders completed: {stream.summary()}")
            time.sleep(0.1)

    def check(self, name, *mesh_arguments):
        """Runs one row of the table."""
        state_dir = self.enterContext(tempfile.TemporaryDirectory())
        mesh = Mesh(state_dir, *mesh_arguments)
        self.addCleanup(mesh.run, "down")
        stream = OrderStream(mesh.addresses("node", "katalogs"), mesh.addresses("backend", "pasutijumi"),
                             ["riga:", "kurzeme:", "riga-b:", ""])
        stream.start()
        try:
            self.wait_for_completed(stream, 0, STEADY_ORDERS)
            FAULTS[name](mesh)
            self.wait_for_completed(stream, len(stream.orders), STEADY_ORDERS)
        finally:
            stream.stop()
            print(f"{name}: {stream.summary()}", flush=True)
        self.assertEqual(stream.violations(), [])


def add_rows():
    """Makes a test of each row of the table."""
    for name in FAULTS:
        def test(self, name=name):
            self.check(name)
        test.__doc__ = f"GIVEN {FAULTS[name].__doc__} EXPECT true answers and recovery."
        setattr(FaultTest, "test_" + name.replace("-", "_"), test)


add_rows()

if __name__ == "__main__":
    sys.exit(0 if unittest.main(exit=False, verbosity=1).result.wasSuccessful() else 1)
