#!/usr/bin/env python3
"""A node that breaks the promises of the ledger, to prove that the load tool notices.

Forwards calls to a backend server of their service, which it looks up in the state file of the mesh
(LYING_NODE_STATE). LYING_NODE_MODE says what it does with orders:
"duplicate" executes them twice, "not-run" executes them and answers "not-run", "phantom" answers
"completed" without executing them, and "cut" cuts the end of the answer.
"""
import http.client
import http.server
import json
import os
import signal
import sys
import threading

MODE = os.environ.get("LYING_NODE_MODE", "")


def backend_of(service):
    """Returns the address of a backend server of a service."""
    with open(os.environ["LYING_NODE_STATE"], encoding="utf-8") as file:
        return next(row["http"] for row in json.load(file)["processes"]
                    if row["role"] == "backend" and row["service"] == service)


class Handler(http.server.BaseHTTPRequestHandler):
    """Serves callers and sub-calls."""
    protocol_version = "HTTP/1.1"
    settings = {}
    lock = threading.Lock()
    roots = 0

    def forward(self, service, path, body, root):
        """Sends one call to a backend server and returns (status, body)."""
        headers = {"Wagtailhead-Request-Id": f"{root:016x}", "Wagtailhead-Attempt": f"liar/{root}"}
        if self.headers.get("Idempotency-Key"):
            headers["Idempotency-Key"] = self.headers["Idempotency-Key"]
        connection = http.client.HTTPConnection(backend_of(service), timeout=10)
        try:
            connection.request(self.command, path, body, headers)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def handle_call(self):
        """Answers the state dump, or a call."""
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path == "/-/dump":
            self.reply(200, json.dumps({"ready": True}).encode(), "completed", 0)
            return
        with Handler.lock:
            Handler.roots += 1
            root = Handler.roots
        _, service, path = self.path.split("/", 2)
        path = "/" + path
        if MODE == "phantom":
            text = json.dumps({"key": self.headers.get("Idempotency-Key", ""), "path": path}).encode()
            self.reply(200, text, "completed", root)
            return
        status, text = self.forward(service, path, body, root)
        if MODE == "duplicate":
            self.forward(service, path, body, root)
        if MODE == "not-run":
            self.reply(503, b"{}", "not-run", root)
        else:
            self.reply(status, text[:-1] if MODE == "cut" else text, "completed", root)

    do_GET = do_POST = handle_call  # pylint: disable=invalid-name

    def reply(self, status, body, outcome, root):
        """Writes an answer."""
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Wagtailhead-Outcome", outcome)
        self.send_header("Wagtailhead-Reason", "ok" if outcome == "completed" else "lie")
        self.send_header("Wagtailhead-Request-Id", f"{root:016x}")
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        """Keeps the log short."""


def main():
    """Runs until SIGTERM."""
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM])
    for argument in sys.argv[1:]:
        name, _, value = argument.removeprefix("--").partition("=")
        Handler.settings[name] = value
    for listener in ("listen", "subcall-listen"):
        ip, port = Handler.settings[listener].rsplit(":", 1)
        server = http.server.ThreadingHTTPServer((ip, int(port)), Handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
    signal.sigwait([signal.SIGTERM])


if __name__ == "__main__":
    main()
