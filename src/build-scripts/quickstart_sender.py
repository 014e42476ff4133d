"""Sends a few requests of each class to the nodes of a mesh and prints a table of the outcomes.

Reads the lines of `scripts/mesh status` from standard input. Exits with status 1 if a class has no
completed request, or if an answer does not belong to its request.
"""
import collections
import http.client
import itertools
import json
import statistics
import sys
import threading
import time
import uuid

REQUESTS_PER_CLASS = 60
THREADS = 12
TIMEOUT_S = 10
DEADLINE_MS = 5000

# Class, method, service, path, whether it needs a key.
TRAFFIC = {
    "pasutijumi": (("orders", "POST", "pasutijumi", "/orders", True),
                   ("stock reads", "GET", "krajums", "/stock", False),
                   ("lookups", "GET", "katalogs", "/items/{}", False),
                   ("downloads", "GET", "faili", "/lists/{}", False)),
    "dispatch": (("bookings", "POST", "dispatch", "/bookings", True),
                 ("parts orders", "POST", "library", "/parts-orders", True),
                 ("histories", "GET", "history-desk", "/units/{}", False),
                 ("diagrams", "GET", "diagrams", "/x/{}", False),
                 ("downloads", "GET", "library", "/manuals/{}", False)),
}


def belongs(answer, key, path):
    """Returns whether a completed answer is whole and echoes this request."""
    try:
        echo = json.loads(answer)
    except ValueError:
        return False
    padding, unit = echo.get("padding", ""), echo.get("paddingUnit", "")
    whole = not padding or padding == unit * (len(padding) // max(len(unit), 1))
    return whole and echo["key"] == key and echo["path"] == path


def send(node, method, service, path, key):
    """Sends one request and returns (outcome, reason, seconds, whether the answer belongs to it)."""
    headers = {"Wagtailhead-Deadline-Ms": str(DEADLINE_MS)}
    if key:
        headers["Idempotency-Key"] = key
    body = json.dumps({"quickstart": key or path}) if method == "POST" else None
    connection = http.client.HTTPConnection(node, timeout=TIMEOUT_S)
    begin = time.monotonic()
    try:
        connection.request(method, f"/{service}{path}", body, headers)
        answer = connection.getresponse()
        text = answer.read()
        outcome = answer.headers.get("Wagtailhead-Outcome", "no outcome")
        reason = answer.headers.get("Wagtailhead-Reason", "")
        succeeded = outcome == "completed" and answer.status == 200
        if outcome == "completed" and not succeeded:
            outcome = "completed with error"
        return outcome, reason, time.monotonic() - begin, not succeeded or belongs(text, key, path)
    except (OSError, http.client.HTTPException) as error:
        return "no answer", type(error).__name__, time.monotonic() - begin, True
    finally:
        connection.close()


def run_all(tasks):
    """Runs (class, arguments of send) tasks in threads and returns the results by class."""
    results = collections.defaultdict(list)
    pending = iter(tasks)
    lock = threading.Lock()

    def work():
        while True:
            with lock:
                task = next(pending, None)
            if task is None:
                return
            result = send(*task[1])
            with lock:
                results[task[0]].append(result)

    threads = [threading.Thread(target=work) for _ in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def print_table(names, results):
    """Prints one row for each class."""
    print(f"{'class':<14}{'sent':>6}{'completed':>11}{'not-run':>9}{'unknown':>9}{'other':>7}{'p50 ms':>9}{'p95 ms':>9}")
    for name in names:
        rows = results[name]
        counts = collections.Counter(row[0] for row in rows)
        shown = [counts.pop(outcome, 0) for outcome in ("completed", "not-run", "unknown")]
        times = sorted(row[2] * 1000 for row in rows if row[0] == "completed") or [float("nan")]
        print(f"{name:<14}{len(rows):>6}{shown[0]:>11}{shown[1]:>9}{shown[2]:>9}{sum(counts.values()):>7}"
              f"{statistics.median(times):>9.1f}{times[int(len(times) * 0.95)]:>9.1f}")
    reasons = collections.Counter((row[0], row[1]) for rows in results.values() for row in rows if row[0] != "completed")
    for (outcome, reason), count in reasons.most_common():
        print(f"  {outcome}, {reason or 'no reason given'}: {count}")


def main():
    """Sends the traffic of the deployment that the mesh runs and returns the exit status."""
    rows = [dict(part.split("=", 1) for part in line.split()) for line in sys.stdin]
    nodes = [row for row in rows if row["role"] == "node"]
    services = {row["service"] for row in nodes}
    traffic = next((classes for service, classes in TRAFFIC.items() if service in services), None)
    if traffic is None:
        print("quickstart: no known deployment is running", file=sys.stderr)
        return 1
    # Sorted by zone, so that the callers of each class reach the nodes of both regions.
    addresses = itertools.cycle(row["http"] for row in sorted(nodes, key=lambda row: row["zone"]))
    tasks = [(name, (next(addresses), method, service, path.format(number), str(uuid.uuid4()) if keyed else ""))
             for number in range(REQUESTS_PER_CLASS) for name, method, service, path, keyed in traffic]
    results = run_all(tasks)
    names = [row[0] for row in traffic]
    print_table(names, results)
    foreign = sum(not row[3] for rows in results.values() for row in rows)
    if foreign:
        print(f"{foreign} answers do not belong to their requests", file=sys.stderr)
    missing = [name for name in names if not any(row[0] == "completed" for row in results[name])]
    for name in missing:
        print(f"no request of class '{name}' was completed", file=sys.stderr)
    return 1 if foreign or missing else 0


if __name__ == "__main__":
    sys.exit(main())
