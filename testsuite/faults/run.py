#!/usr/bin/env python3
"""Fault table against real processes: orders flow, a fault happens, every answer must stay true.

Each row is GIVEN a fault, EXPECT: no order runs twice, no executed order is told "not run", every
caller gets the whole answer to its own order, and orders complete again within a generous time.
"""
import os
import sys
import tempfile
import time
import unittest

from order_stream import OrderStream

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "lib"))
from live_mesh import LiveMesh  # noqa: E402 pylint: disable=wrong-import-position

STEADY_ORDERS = 30
RECOVERY_LIMIT_S = 45


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


def set_links(mesh, near_zones, far_zones, **change):
    """Changes the links between two groups of zones, in both directions."""
    for near in near_zones:
        for far in far_zones:
            mesh.post("link", "/-/pairs", dict(change, **{"from": near, "to": far, "both": True}))


RIGA = ("riga-a", "riga-b")
KURZEME = ("kurzeme-a", "kurzeme-b")


def silent_connections(mesh):
    """All open connections between the zones go silent for good; new ones work."""
    set_links(mesh, RIGA, KURZEME, silent="existing")
    set_links(mesh, RIGA[:1], RIGA[1:], silent="existing")
    set_links(mesh, KURZEME[:1], KURZEME[1:], silent="existing")


def zone_cut(mesh):
    """A zone is cut off from the other zones for a while."""
    others = RIGA[1:] + KURZEME
    set_links(mesh, RIGA[:1], others, cut=True)
    pause(12)
    set_links(mesh, RIGA[:1], others, cut=False)


def region_cut(mesh):
    """The regions lose each other for a while."""
    set_links(mesh, RIGA, KURZEME, cut=True)
    pause(12)
    set_links(mesh, RIGA, KURZEME, cut=False)


LINK_FAULTS = {"silent-connections": silent_connections, "zone-cut": zone_cut, "region-cut": region_cut}

FAULTS = {
    **LINK_FAULTS,
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
        mesh = LiveMesh(state_dir, *mesh_arguments)
        self.addCleanup(mesh.down)
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
            self.check(name, *(["--links"] if name in LINK_FAULTS else []))
        test.__doc__ = f"GIVEN {FAULTS[name].__doc__} EXPECT true answers and recovery."
        setattr(FaultTest, "test_" + name.replace("-", "_"), test)


add_rows()

if __name__ == "__main__":
    sys.exit(0 if unittest.main(exit=False, verbosity=1).result.wasSuccessful() else 1)
