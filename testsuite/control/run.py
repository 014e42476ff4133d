#!/usr/bin/env python3
"""Intents, plans and confirms through wagtailheadctl against a real mesh."""
import json
import os
import subprocess
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "lib"))
from live_mesh import ROOT, LiveMesh, audit, request  # noqa: E402 pylint: disable=wrong-import-position

TOKENS = {"ops": "ops-token-123456", "shop": "shop-token-123456"}
IN_FORCE_LIMIT_S = 8
LEAVE_LIMIT_S = 3
EXIT_LIMIT_S = 40


class ControlTest(unittest.TestCase):
    """One mesh serves all tests; every test changes another document or node."""

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        os.environ["WAGTAILHEAD_OPERATOR_TOKENS"] = f"ops={TOKENS['ops']}:*,shop={TOKENS['shop']}:katalogs"
        cls.mesh = LiveMesh(cls.folder.name)
        cls.nodes = cls.mesh.addresses("node")

    @classmethod
    def tearDownClass(cls):
        cls.mesh.down()
        cls.folder.cleanup()

    def ctl(self, *arguments, token=TOKENS["ops"], node=None):
        """Runs wagtailheadctl and returns (exit status, output)."""
        environment = dict(os.environ, WAGTAILHEAD_TOKEN=token, WAGTAILHEAD_NODE=node or self.nodes[0])
        done = subprocess.run([os.path.join(ROOT, "build", "bin", "wagtailheadctl"), *arguments], env=environment,
                              capture_output=True, text=True, timeout=60, check=False)
        return done.returncode, done.stdout + done.stderr

    def plan(self, *arguments, **options):
        """Creates an intent and returns its id."""
        status, output = self.ctl("intent", "create", *arguments, "--output", "json", **options)
        self.assertEqual(status, 0, output)
        return json.loads(output)["id"]

    def retries_file(self, allowance):
        """Writes a retries document and returns its path."""
        path = os.path.join(self.folder.name, f"retries-{allowance}.json")
        with open(path, "w", encoding="utf-8") as file:
            base = self.generation(self.nodes[0], "retries")
            json.dump({"generation": base, "allowance": allowance, "budget_percent": 10}, file)
        return path

    def generation(self, address, kind):
        """Returns the generation in force at a node."""
        return json.loads(request(address, "GET", "/-/dump")[2])["config"]["generations"].get(kind, 0)

    def test_nothing_before_confirm_then_in_force_everywhere(self):
        """Guards against plans that take effect by themselves, and against nodes that do not follow."""
        before = self.generation(self.nodes[0], "retries")
        intent = self.plan("retries", self.retries_file(7))
        time.sleep(1)
        self.assertEqual({self.generation(node, "retries") for node in self.nodes}, {before})
        self.assertEqual(self.ctl("intent", "confirm", intent, "--yes", node=self.nodes[-1])[0], 0)
        deadline = time.monotonic() + IN_FORCE_LIMIT_S
        while any(self.generation(node, "retries") <= before for node in self.nodes):
            self.assertLess(time.monotonic(), deadline, "not in force everywhere within 8 s")
        self.assertEqual(self.ctl("intent", "confirm", intent, "--yes")[0], 0, "a repeated confirm is no conflict")
        self.assertEqual({self.generation(node, "retries") for node in self.nodes}, {before + 1})

    def test_two_operators(self):
        """Guards against two plans of the same base that both take effect."""
        first = self.plan("retries", self.retries_file(8))
        second = self.plan("retries", self.retries_file(9))
        self.assertEqual(self.ctl("intent", "confirm", first, "--yes")[0], 0)
        status, output = self.ctl("intent", "confirm", second, "--yes", node=self.nodes[-1])
        self.assertEqual(status, 1, output)
        self.assertIn("ops", output)
        self.assertIn("\"allowance\":8", self.ctl("config", "get", "retries", "--output", "json")[1].replace(" ", ""))

    def test_confirm_after_a_lost_answer(self):
        """Guards against a confirm whose answer was lost being applied twice or called a conflict."""
        intent = self.plan("retries", self.retries_file(11))
        self.mesh.post("store", "/-/faults", {"loseAnswers": 1})
        self.ctl("intent", "confirm", intent, "--yes")
        self.mesh.post("store", "/-/faults", {"loseAnswers": 0})
        status, output = self.ctl("intent", "confirm", intent, "--yes")
        self.assertEqual(status, 0, output)
        history = json.loads(self.ctl("history", "retries", "--output", "json")[1])
        self.assertEqual(json.dumps(history).count(intent), 1)

    def test_empty_service(self):
        """Guards against an intent that takes the last backend server of a service."""
        nodes = [argument for number in range(1, 5) for argument in ("--add-node", f"faili-{number}")]
        status, output = self.ctl("intent", "create", "leaving", *nodes, "--output", "json")
        if status == 0:
            status, output = self.ctl("intent", "confirm", json.loads(output)["id"], "--yes")
        self.assertEqual(status, 1, output)
        self.assertIn("faili", output)

    def test_tokens(self):
        """Guards against teams that change what is not theirs, and against secrets that are shown."""
        self.assertEqual(self.ctl("status", token="wrong-token-1234")[0], 1)
        self.assertEqual(self.ctl("intent", "create", "retries", self.retries_file(5), token=TOKENS["shop"])[0], 1)
        for node in self.nodes:
            for path in ("/-/dump", "/-/metrics"):
                text = request(node, "GET", path)[2].decode()
                self.assertFalse(any(token in text for token in TOKENS.values()))

    def test_leaving(self):
        """Guards against new work at a leaving backend server, and against a node that does not end."""
        row = self.mesh.rows("node", "krajums")[0]
        backend = next(each for each in self.mesh.rows("backend", "krajums") if each["node"] == row["node"])
        intent = self.plan("leaving", "--add-node", row["node"])
        self.assertEqual(self.ctl("intent", "confirm", intent, "--yes")[0], 0)
        confirmed = time.time()
        for number in range(200):
            answer = request(self.nodes[0], "GET", f"/krajums/stock/{number}")
            self.assertEqual(answer[1]["Wagtailhead-Outcome"], "completed")
        late = [entry for entry in audit(backend["http"]) if entry["start"] > (confirmed + LEAVE_LIMIT_S) * 1000]
        self.assertEqual(late, [])
        self.assertFalse([entry for entry in audit(backend["http"]) if entry["state"] in ("cancelled", "failed")])
        deadline = time.monotonic() + EXIT_LIMIT_S
        while os.path.exists(f"/proc/{row['pid']}"):
            self.assertLess(time.monotonic(), deadline, "the leaving node did not end")
            time.sleep(0.2)
        type(self).nodes = [node for node in self.nodes if node != row["http"]]


if __name__ == "__main__":
    sys.exit(0 if unittest.main(exit=False, verbosity=1).result.wasSuccessful() else 1)
