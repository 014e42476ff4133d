"""The store stand-in: conditional updates, watches, faults, rollback."""
import json
import socket
import unittest

import harness

CREATE = {"If-None-Match": "*"}
SHORT_S = 0.3  # How long a test waits for an answer that must not come.


class StoreTest(unittest.TestCase):
    """One store process for each test."""

    def setUp(self):
        self.store = self.enterContext(harness.Process("wagtailhead-standin-store"))

    def create(self, key, value=1):
        """Creates an object and returns its version."""
        reply = self.store.call("PUT", "/v1/objects/" + key, value, CREATE)
        self.assertEqual(reply.status, 200, reply.text)
        return reply.json["version"]

    def get(self, key):
        """Reads an object."""
        return self.store.call("GET", "/v1/objects/" + key)

    def replace(self, key, value, version, timeout=harness.DEADLINE_S):
        """Replaces an object under a version."""
        return self.store.call("PUT", "/v1/objects/" + key, value, {"If-Match": str(version)}, timeout)

    def start_watch(self, query):
        """Starts a watch and waits until the store holds it."""
        before = self.store.dump()["pendingWatches"]
        connection = harness.send(self.store.port, "GET", "/v1/watch?" + query)
        harness.eventually(lambda: self.store.dump()["pendingWatches"] > before, "the watch is pending")
        self.addCleanup(connection.close)
        return connection

    def assert_no_answer(self, request):
        """Checks that a request gets no answer."""
        with self.assertRaises((TimeoutError, socket.timeout)):
            request(SHORT_S)

    def test_conditional_updates(self):
        """Guards against lost updates, and against refusals that do not show the current object."""
        version = self.create("config/classes", {"generation": 1})
        self.assertEqual(self.replace("config/classes", {"generation": 2}, version).status, 200)
        lost = self.replace("config/classes", {"generation": 3}, version)
        self.assertEqual(lost.status, 412)
        self.assertEqual(lost.json["value"], {"generation": 2})
        self.assertEqual(self.get("config/classes").json, lost.json)
        self.assertEqual(self.store.call("PUT", "/v1/objects/config/classes", 1, CREATE).status, 412)
        self.assertEqual(self.replace("absent", 1, 1).status, 412)
        self.assertEqual(self.store.call("PUT", "/v1/objects/a", 1).status, 400, "a condition is required")
        self.assertEqual(self.store.call("DELETE", "/v1/objects/config/classes", None,
                                         {"If-Match": str(lost.json["version"])}).status, 200)
        self.assertEqual(self.get("config/classes").status, 404)

    def test_size_limit_and_bad_input(self):
        """Guards against values over 1 MB, bad keys and values that are no JSON."""
        self.create("large", "x" * ((1 << 20) - 2))
        self.assertEqual(self.store.call("PUT", "/v1/objects/over", "x" * ((1 << 20) + 1), CREATE).status, 413)
        self.assertEqual(self.store.call("PUT", "/v1/objects/a%20b", 1, CREATE).status, 400)
        self.assertEqual(self.store.call("PUT", "/v1/objects/a", b"{", CREATE).status, 400)

    def test_list_by_prefix(self):
        """Guards against lists with missing or foreign objects."""
        for key in ("seeds/b", "seeds/a", "shards/x"):
            self.create(key)
        listed = self.store.call("GET", "/v1/objects?prefix=seeds%2F").json
        self.assertEqual([row["key"] for row in listed["objects"]], ["seeds/a", "seeds/b"])
        self.assertEqual(listed["version"], 3)

    def test_watch_waits_for_a_change(self):
        """Guards against watches that miss a change, end for a foreign one, or are counted twice."""
        since = self.create("a/1")
        watch = self.start_watch(f"prefix=a/,b/&since={since}&timeout-ms=60000")
        self.create("c/1")
        self.assertEqual(self.store.dump()["pendingWatches"], 1, "a foreign change ended the watch")
        self.create("b/1", "new")
        changed = json.loads(watch.getresponse().read())
        self.assertEqual([(row["key"], row["value"]) for row in changed["objects"]], [("b/1", "new")])
        self.assertEqual(self.store.call("GET", "/-/calls").json, {"reads": 0, "writes": 3, "watches": 1})

    def test_watch_reports_past_changes_and_deletions(self):
        """Guards against a change between two watches being lost."""
        since = self.create("a/1")
        self.store.call("DELETE", "/v1/objects/a/1", None, {"If-Match": str(since)})
        self.create("a/2")
        changed = self.store.call("GET", f"/v1/watch?prefix=a/&since={since}&timeout-ms=60000").json
        self.assertEqual(changed["deleted"], ["a/1"])
        self.assertEqual([row["key"] for row in changed["objects"]], ["a/2"])
        empty = self.store.call("GET", f"/v1/watch?prefix=a/&since={changed['version']}&timeout-ms=20").json
        self.assertEqual((empty["objects"], empty["deleted"]), ([], []))

    def test_closed_watch_is_forgotten(self):
        """Guards against watches that outlive their callers."""
        self.start_watch("prefix=&since=0").close()
        harness.eventually(lambda: self.store.dump()["pendingWatches"] == 0, "the watch is gone")

    def test_outage_is_answered_503_or_not_at_all(self):
        """Guards against reads, writes or watches that pass during an outage."""
        self.create("a")
        watch = self.start_watch("prefix=&since=1")
        self.store.control("/-/faults", {"outage": True})
        self.assertEqual(watch.getresponse().status, 503)
        self.assertEqual(self.get("a").status, 503)
        self.assertEqual(self.replace("a", 2, 1).status, 503)
        self.store.control("/-/faults", {"mode": "silent"})
        self.assert_no_answer(lambda timeout: self.store.call("GET", "/v1/objects/a", timeout=timeout))
        self.store.control("/-/faults", {"outage": False})
        self.assertEqual(self.get("a").json["value"], 1, "a write took effect during the outage")

    def test_lost_answers(self):
        """Guards against a lost answer whose write did not take effect, and against losing reads."""
        version = self.create("a")
        self.store.control("/-/faults", {"loseAnswers": 1})
        self.assertEqual(self.replace("a", 2, version + 1).status, 412, "only effective writes lose answers")
        self.assert_no_answer(lambda timeout: self.replace("a", 2, version, timeout))
        self.assertEqual(self.get("a").json["value"], 2)
        self.assertEqual(self.replace("a", 3, version + 1).status, 200)

    def test_stale_reads(self):
        """Guards against stale reads that affect writes, or that go on when switched off."""
        version = self.create("a", "old")
        self.store.control("/-/faults", {"staleReads": True})
        self.assertEqual(self.replace("a", "new", version).status, 200)
        self.create("b")
        self.assertEqual(self.get("a").json["value"], "old")
        self.assertEqual(len(self.store.call("GET", "/v1/objects?prefix=").json["objects"]), 1)
        self.store.control("/-/faults", {"staleReads": False})
        self.assertEqual(self.get("a").json["value"], "new")

    def test_delayed_write_takes_effect_after_its_caller_has_gone(self):
        """Guards against a slow store that drops writes of impatient callers."""
        version = self.create("a", "old")
        self.store.control("/-/faults", {"delayMs": 3000})
        self.assert_no_answer(lambda timeout: self.replace("a", "new", version, timeout))
        self.store.control("/-/faults", {"delayMs": 0})
        harness.eventually(lambda: self.get("a").json["value"] == "new", "the write takes effect")

    def test_rollback(self):
        """Guards against a rollback that watchers do not see, or that keeps later writes."""
        version = self.create("a", "old")
        later = self.replace("a", "new", version).json["version"]
        watch = self.start_watch(f"prefix=&since={later}")
        self.store.control("/-/rollback", {"version": version})
        rolled = json.loads(watch.getresponse().read())
        self.assertEqual(rolled["version"], version)
        self.assertEqual(rolled["objects"], [{"key": "a", "version": version, "value": "old"}])
        self.assertEqual(self.get("a").json["value"], "old")
        again = self.store.call("GET", f"/v1/watch?prefix=&since={later}&timeout-ms=120000").json
        self.assertEqual(again, rolled, "a caller that was ahead must learn of the rollback at once")
        self.assertEqual(self.store.call("POST", "/-/rollback", {"version": 99}).status, 400)

    def test_unknown_fault_is_refused(self):
        """Guards against a misspelt fault that a test believes to be on."""
        self.assertEqual(self.store.call("POST", "/-/faults", {"outtage": True}).status, 400)
        self.assertEqual(self.store.call("POST", "/-/faults", {"delayMs": -1}).status, 400)

    def test_metrics(self):
        """Guards against metrics that do not count."""
        self.create("a")
        metrics = self.store.call("GET", "/-/metrics").text
        self.assertIn('standin_store_calls{kind="write"} 1', metrics)


if __name__ == "__main__":
    unittest.main()
