"""Each check finds what it is for, in records made by hand."""
import unittest

from checks import Checker
from deployment import Site
from record import Attempt, Disturbance, Leave, Record, Run, SAFE, UNSAFE, Version, seal_of

SENT = 100.0


class ChecksTest(unittest.TestCase):
    """A record with one request, changed by each test."""

    def setUp(self):
        self.record = Record()
        self.record.versions = [Version(2, 0.0, {"order": "front", "browse": "front", "moved": "middle"})]
        self.serve("fine", SENT + 50)

    def add(self, route="order", kind=UNSAFE, **fields):
        """Adds a request."""
        attempt = Attempt("a", route, kind, "n1", "front", "POST", "/order/a", b"", SENT, False, ended=SENT + 0.1)
        for name, value in fields.items():
            setattr(attempt, name, value)
        self.record.attempts[attempt.id] = attempt
        return attempt

    def run_at(self, attempt, service="front", server="i-1", time=SENT + 0.01, ran=True, status=200, body=b"x"):
        """Adds an arrival."""
        self.record.arrived(attempt.id, Run(time, service, server, ran, status, body))

    def serve(self, name, sent):
        """Adds a request that is served."""
        attempt = self.add("browse", SAFE, id=name, sent=sent, ended=sent + 0.1, end="answered", status=200,
                           answer=b"x", seal=seal_of("i-1", name, b"x"))
        self.run_at(attempt, time=sent + 0.01)
        return attempt

    def rules(self):
        """Returns the rules that are found broken."""
        return set(Checker(self.record, Site()).check(SENT + 40).by_rule)

    def test_nothing_to_find(self):
        """Guards against checks that cry wolf."""
        self.assertEqual(self.rules(), set())

    def test_an_order_that_ran_twice(self):
        """Two runs of an order are found, of a read not."""
        attempt = self.add()
        self.run_at(attempt)
        self.run_at(attempt, server="i-2")
        self.assertEqual(self.rules(), {"TWICE"})
        attempt.kind = SAFE
        self.assertEqual(self.rules(), set())

    def test_a_false_promise(self):
        """An order that ran must not be answered 503."""
        attempt = self.add(end="answered", status=503)
        self.run_at(attempt, ran=False)
        self.assertEqual(self.rules(), set())
        self.run_at(attempt)
        self.assertEqual(self.rules(), {"REFUSED"})

    def test_answers_that_do_not_belong(self):
        """Successes without a run, with another's seal or a changed body are found."""
        for change in ({"answer": b"y"}, {"seal": seal_of("i-2", "fine", b"x")}, {"seal": ""}):
            with self.subTest(change=change):
                attempt = self.serve("fine", SENT + 50)
                for name, value in change.items():
                    setattr(attempt, name, value)
                self.assertEqual(self.rules(), {"MIXED"})
                self.record.runs.clear()

    def test_a_service_that_no_version_names(self):
        """A run at a service to which the route never led is found."""
        self.run_at(self.add(), service="deep")
        self.assertIn("ROUTE", self.rules())

    def test_an_old_configuration(self):
        """A run by an old version is found once the new one is settled, unless the node was disturbed."""
        self.record.versions.append(Version(3, SENT - 4, {"moved": "other", "order": "front", "browse": "front"}))
        attempt = self.add("moved", SAFE, end="answered", status=500)
        self.run_at(attempt, service="middle", status=500)
        self.assertEqual(self.rules(), {"CONFIG"})
        self.record.disturbances = [Disturbance("store", "", SENT - 3, SENT - 2)]
        self.assertEqual(self.rules(), set())
        self.record.disturbances = [Disturbance("kill", "n2", SENT - 3, SENT - 2)]
        self.assertEqual(self.rules(), {"CONFIG"})

    def test_a_stop_that_cuts(self):
        """A request that was passed on and cut by a planned stop is found."""
        attempt = self.add(end="closed")
        self.run_at(attempt)
        self.assertEqual(self.rules(), set())
        self.record.disturbances = [Disturbance("term", "n1", SENT - 1, SENT + 3)]
        self.assertEqual(self.rules(), {"LOST"})

    def test_work_after_a_confirmed_leave(self):
        """A run after the time to drain is found."""
        self.record.leaves = [Leave("i-1", "n1", SENT - 3.5)]
        self.run_at(self.add())
        self.assertIn("DRAIN", self.rules())

    def test_repeats_beyond_the_budget(self):
        """More repeats than the share and the slack allow are found."""
        for number in range(100):
            attempt = self.add("browse", SAFE, id=f"b{number}")
            self.run_at(attempt, ran=False)
            if number < 69:
                self.run_at(attempt, ran=False)
        self.assertEqual(self.rules() - {"RECOVER"}, {"BUDGET"})

    def test_a_site_that_does_not_recover(self):
        """Too few served requests at the end are found."""
        for number in range(5):
            self.add("browse", SAFE, id=f"r{number}", sent=SENT + 60, end="answered", status=503)
        self.assertEqual(self.rules(), {"RECOVER"})

    def test_processes_that_end(self):
        """A node that ends by itself is found."""
        self.record.exits = [(SENT, "n1", "ended by itself with status 134")]
        self.assertEqual(self.rules(), {"EXIT"})


if __name__ == "__main__":
    unittest.main()
