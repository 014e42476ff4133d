"""Sends orders with retries by callers and compares the answers with the audits of the stand-ins."""
import collections
import http.client
import json
import random
import threading
import time

ORDER_PATH = "/pasutijumi/orders"
DEADLINE_MS = 3000
TRIES = 4
AUDIT_INTERVAL_S = 0.1


class Order:
    """One order with every answer that its caller got: (outcome, status, reason, body)."""

    def __init__(self, key):
        self.key = key
        self.answers = []

    def last(self):
        """Returns the last outcome, 'none' if no answer ever came."""
        return self.answers[-1][0] if self.answers else "none"


def send(address, key):
    """Sends one attempt and returns (outcome, status, reason, body)."""
    connection = http.client.HTTPConnection(address, timeout=DEADLINE_MS / 1000 + 2)
    try:
        connection.request("POST", ORDER_PATH, json.dumps({"key": key}),
                           {"Idempotency-Key": key, "Wagtailhead-Deadline-Ms": str(DEADLINE_MS)})
        answer = connection.getresponse()
        body = answer.read()
        return (answer.getheader("Wagtailhead-Outcome", "missing"), answer.status,
                answer.getheader("Wagtailhead-Reason", ""), body)
    except (OSError, http.client.HTTPException):
        return ("none", 0, "no-answer", b"")
    finally:
        connection.close()


class Auditor(threading.Thread):
    """Reads the audits all the time, so that the executions of a VM that is killed later are known."""

    def __init__(self, addresses):
        super().__init__(daemon=True)
        self.addresses = addresses
        self.executions = {}
        self.done = threading.Event()

    def collect(self):
        """Reads all audits once; servers that do not answer are passed over."""
        for address in self.addresses:
            connection = http.client.HTTPConnection(address, timeout=1)
            try:
                connection.request("GET", "/audit")
                for number, entry in enumerate(json.loads(connection.getresponse().read())["executions"]):
                    if entry["path"] == "/orders":
                        # A replaced stand-in starts a new audit at the same address.
                        self.executions[(address, number, entry["key"], entry["start"])] = entry
            except (OSError, ValueError, http.client.HTTPException):
                continue
            finally:
                connection.close()

    def run(self):
        while not self.done.wait(AUDIT_INTERVAL_S):
            self.collect()

    def stop(self):
        """Ends the thread after a last look."""
        self.done.set()
        self.join()
        self.collect()

    def by_key(self):
        """Returns the executions by key."""
        result = collections.defaultdict(list)
        for entry in self.executions.values():
            result[entry["key"]].append(entry)
        return result


class OrderStream:
    """Callers in several threads that repeat an order with the same key until its end is known."""

    def __init__(self, nodes, backends, prefixes, threads=8, seed=1):
        self.nodes = nodes
        self.auditor = Auditor(backends)
        self.prefixes = prefixes
        self.seed = seed
        self.orders = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.call, args=(number,), daemon=True) for number in range(threads)]

    def start(self):
        """Starts callers and auditor."""
        self.auditor.start()
        for thread in self.threads:
            thread.start()

    def stop(self):
        """Ends the callers after their present order, then the auditor."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        self.auditor.stop()

    def call(self, number):
        """One caller: order after order."""
        choice = random.Random(self.seed * 1000 + number)
        count = 0
        while not self.stopping.is_set():
            count += 1
            order = Order(f"{choice.choice(self.prefixes)}t{self.seed}-{number}-{count}")
            with self.lock:
                self.orders.append(order)
            for _ in range(TRIES):
                order.answers.append(send(choice.choice(self.nodes), order.key))
                if order.last() == "completed" or (order.last() == "not-run" and choice.random() < 0.5):
                    break
                time.sleep(0.05)

    def count(self, outcome, since=0):
        """Returns how many orders from number `since` on ended with this outcome."""
        with self.lock:
            return sum(1 for order in self.orders[since:] if order.last() == outcome)

    def violations(self):
        """Returns a text for each promise that was broken. To be called after stop()."""
        executions = self.auditor.by_key()
        found = []
        for order in self.orders:
            runs = executions[order.key]
            outcomes = [answer[0] for answer in order.answers]
            if len(runs) > 1:
                found.append(f"{order.key} was executed {len(runs)} times: {runs}, answers {outcomes}")
            if order.last() == "not-run" and runs:
                found.append(f"{order.key} was told not-run but executed: {runs}, answers {order.answers}")
            for outcome, status, _, body in order.answers:
                if outcome == "completed" and status == 200 and json.loads(body).get("key") != order.key:
                    found.append(f"{order.key} got another answer: {body[:200]}")
            if "missing" in outcomes:
                found.append(f"{order.key} got an answer without outcome: {order.answers}")
        return found

    def summary(self):
        """Returns the counts of final outcomes and the reasons of unknown ones."""
        outcomes = collections.Counter(order.last() for order in self.orders)
        reasons = collections.Counter(answer[2] for order in self.orders for answer in order.answers
                                      if answer[0] != "completed")
        return f"outcomes {dict(outcomes)}, reasons {dict(reasons)}"
