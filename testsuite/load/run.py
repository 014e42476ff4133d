#!/usr/bin/env python3
"""Runs the load tool and scripts/experiment against small meshes, and checks outcomes and findings, not speed."""
import csv
import json
import os
import subprocess
import sys
import tempfile
import unittest

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(FOLDER))
BIN = os.path.join(ROOT, "build", "bin")
LOAD = os.path.join(BIN, "wagtailhead-load")
DEADLINE_S = 200
STATUS_ROW = "role={} pid=1 zone=z region=r service=s http={} node=n-1 subcalls=- audit=- state=running\n"


def run(command, text=None, environment=None):
    """Runs a command and returns the finished process."""
    return subprocess.run(command, input=text, env=environment, capture_output=True, text=True, timeout=DEADLINE_S,
                          check=False)


def read_json(*path):
    """Returns a JSON file."""
    with open(os.path.join(*path), encoding="utf-8") as file:
        return json.load(file)


def scenario(folder, **parts):
    """Writes a scenario file and returns its path."""
    path = os.path.join(folder, "small.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(parts, file)
    return path


class SettingsTest(unittest.TestCase):
    """Bad settings: status 2 and one line that names the setting or field."""

    def assert_refused(self, *parts, arguments=(), status=STATUS_ROW.format("node", "127.0.0.1:9")):
        """Asserts that the load tool refuses its settings."""
        done = run([LOAD, *arguments], text=status)
        self.assertEqual(done.returncode, 2, done.stdout + done.stderr)
        self.assertEqual(done.stderr.count("\n"), 1, done.stderr)
        for part in parts:
            self.assertIn(part, done.stderr)

    def test_bad_settings(self):
        """Guards against load on foreign machines and against settings that are ignored."""
        self.assert_refused("10.0.0.1:9", "127.0.0.0/8", status=STATUS_ROW.format("node", "10.0.0.1:9"))
        self.assert_refused("192.168.0.9:9", status=STATUS_ROW.format("node", "127.0.0.1:9")
                            + STATUS_ROW.format("backend", "192.168.0.9:9"))
        self.assert_refused("no node", status="")
        self.assert_refused("--rate", "'0'", "1 to 20000", arguments=["--rate=0"])
        self.assert_refused("--deployment", "'riga'", "perlu", arguments=["--deployment=riga"])
        self.assert_refused("exclude", arguments=["--scenario=x", "--rate=5"])
        self.assert_refused("/no/such/file", arguments=["--scenario=/no/such/file"])
        self.assert_refused("--frobnicate", arguments=["--frobnicate=1"])

    def test_bad_scenario_fields(self):
        """Guards against misspelt fields of scenario files in any of their parts."""
        load = {"phases": [{"name": "a", "load_percent": 10, "milliseconds": 10}]}
        wrong = (({"load": dict(load, colour=1)}, "colour"),
                 ({"load": load, "mesh": {"slots_percent": 0}}, "mesh.slots_percent"),
                 ({"load": load, "mesh": {"slot": 1}}, "mesh.slot"),
                 ({"load": load, "faults": [{"at_ms": 1, "action": "explode"}]}, "faults[0].action"),
                 ({"load": load, "faults": [{"at_ms": 1, "action": "kill"}]}, "faults[0].target"),
                 ({"load": load, "faults": [{"at_ms": 1, "action": "kill", "target": "deep"}]}, "faults[0].target"),
                 ({"load": load, "faults": [{"at_ms": -1, "action": "store", "faults": {}}]}, "faults[0].at_ms"))
        with tempfile.TemporaryDirectory() as folder:
            for parts, name in wrong:
                path = scenario(folder, **parts)
                if "colour" in name:
                    self.assert_refused(name, arguments=["--scenario=" + path])
                    continue
                done = run([os.path.join(ROOT, "scripts", "experiment"), path, "--out", folder])
                self.assertEqual(done.returncode, 2, done.stdout + done.stderr)
                self.assertIn(name, done.stderr)


class LoadTest(unittest.TestCase):
    """Runs against meshes of one VM for each service."""

    def setUp(self):
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.state_dir = os.path.join(self.folder, "state")
        self.environment = dict(os.environ)
        self.addCleanup(lambda: self.mesh("down", "--at-once"))

    def mesh(self, command, *arguments):
        """Runs scripts/mesh and returns its output."""
        done = run([os.path.join(ROOT, "scripts", "mesh"), command, "--state-dir", self.state_dir, *arguments],
                   environment=self.environment)
        self.assertEqual(done.returncode, 0, done.stderr)
        return done.stdout

    def load(self, *arguments):
        """Runs the load tool against the mesh; returns (exit status, report)."""
        out = os.path.join(self.folder, "out")
        done = run([LOAD, "--out=" + out, *arguments], text=self.mesh("status"))
        self.assertIn(done.returncode, (0, 1), done.stdout + done.stderr)
        return done.returncode, read_json(out, "report.json")

    def test_whole_requests_of_both_deployments(self):
        """Guards against requests that are lost from the counts, and against audits that are not compared."""
        for deployment in ("perlu", "lindqvist"):
            with self.subTest(deployment):
                self.mesh("up", "--deployment", deployment, "--nodes-per-service", "1", "--log-level", "warning")
                status, report = self.load("--deployment=" + deployment, "--rate=30", "--seconds=4", "--senders=2",
                                           "--timeout-ms=10000", "--deadline-ms=10000")
                self.mesh("down", "--at-once")
                self.assertEqual(status, 0, report["audit"])
                requests = sum(kind["requests"] for kind in report["kinds"].values())
                ends = sum(sum(kind["ends"].values()) for kind in report["kinds"].values())
                completed = sum(kind["ends"]["completed"] for kind in report["kinds"].values())
                self.assertEqual(requests, ends)
                self.assertGreater(requests, 60)  # 120 are expected; 60 is more than five standard deviations off.
                for name, kind in report["kinds"].items():
                    self.assertGreater(kind["ends"]["completed"], 0, name)
                self.assertGreaterEqual(report["audit"]["executions"], completed)
                self.assertEqual(report["attempts"]["roots"] >= completed, True)
                with open(os.path.join(self.folder, "out", "goodput.csv"), encoding="utf-8") as file:
                    rows = list(csv.DictReader(file))
                self.assertEqual(sum(int(row["good"]) for row in rows), completed)
                self.assertEqual(sum(int(row["arrived"]) for row in rows), requests)
                self.assertEqual(report["nodesUnderLoad"]["nodes"], 4)
                self.assertGreater(report["nodesUnderLoad"]["memoryMb"]["mean"], 1)

    def test_broken_promises_are_found(self):
        """Guards against a check that cannot fail: nodes that lie must be found out, each lie as what it is."""
        self.environment["LYING_NODE_STATE"] = os.path.join(self.state_dir, "state.json")
        for program in ("standin-store", "standin-backend"):
            os.symlink(os.path.join(BIN, "wagtailhead-" + program), os.path.join(self.folder, "wagtailhead-" + program))
        os.symlink(os.path.join(FOLDER, "lying_node.py"), os.path.join(self.folder, "wagtailhead-node"))
        path = scenario(self.folder, load={
            "phases": [{"name": "steady", "load_percent": 100, "milliseconds": 2000}], "capacity_per_second": 20,
            "mix": {"perlu": {"orders": 1}}, "callers": {"attempts": 1, "timeout_ms": 20000}})
        for mode, finding in (("", None), ("duplicate", "duplicates"), ("not-run", "falseNotRun"),
                              ("phantom", "phantom"), ("cut", "foreign")):
            with self.subTest(mode):
                self.environment["LYING_NODE_MODE"] = mode
                # Leaves, since the lying node knows no contexts of sub-calls.
                self.mesh("up", "--nodes-per-service", "1", "--bin-dir", self.folder, "--leaves")
                status, report = self.load("--scenario=" + path)
                self.mesh("down", "--at-once")
                audit = report["audit"]
                found = {name for name in ("duplicates", "falseNotRun", "phantom", "foreign") if audit[name]}
                self.assertEqual(found, {finding} if finding else set(), audit)
                self.assertEqual(status, 1 if finding else 0)

    def test_experiment_with_a_killed_backend_server(self):
        """Guards against faults that are not injected, audits that die with their process, and missing results."""
        path = scenario(self.folder, mesh={"nodes_per_service": 2, "service_time_percent": 50},
                        load={"phases": [{"name": "before", "load_percent": 100, "milliseconds": 2000},
                                         {"name": "killed", "load_percent": 100, "milliseconds": 4000}],
                              "surge": "killed", "capacity_per_second": 30,
                              "callers": {"timeout_ms": 5000, "repeat_through": "other-zone"}},
                        faults=[{"at_ms": 3000, "action": "kill", "target": "deep-1", "only": "backend"}])
        out = os.path.join(self.folder, "results")
        done = run([os.path.join(ROOT, "scripts", "experiment"), path, "--out", out, "--compare", "naive"])
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        for name in ("comparison.txt", "plot.png", "adaptive/goodput.csv", "naive/latency.csv", "naive/report.txt"):
            self.assertGreater(os.path.getsize(os.path.join(out, name)), 0, name)
        for policy in ("adaptive", "naive"):
            report = read_json(out, policy, "report.json")
            self.assertEqual(report["audit"]["missingAudits"], [])
            self.assertEqual(report["audit"]["phantom"], 0, "the audit of the killed server is lost")
            self.assertGreater(report["kinds"]["stock-reads"]["ends"]["completed"], 0)
            self.assertEqual(run([os.path.join(ROOT, "scripts", "mesh"), "status", "--state-dir",
                                  os.path.join(out, policy, "mesh")]).returncode, 1, "the mesh still runs")
        report = read_json(out, "adaptive", "report.json")
        self.assertEqual((report["audit"]["duplicates"], report["audit"]["falseNotRun"]), (0, 0), report["audit"])
        with open(os.path.join(out, "comparison.txt"), encoding="utf-8") as file:
            self.assertIn("duplicate executions", file.read())


if __name__ == "__main__":
    loader = unittest.defaultTestLoader
    suite = unittest.TestSuite(loader.loadTestsFromTestCase(case) for case in (SettingsTest, LoadTest))
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    sys.exit(0 if result.wasSuccessful() and result.testsRun else 1)
