#!/usr/bin/env python3
"""A node for tests of scripts/mesh: forwards each call to any backend server of its service, and no more."""
import http.client
import http.server
import json
import os
import random
import signal
import sys
import threading

FORWARDED = ("Idempotency-Key", "Wagtailhead-Deadline-Ms", "Content-Type")


def backends_of(service):
    """Returns the addresses of a service's backend servers, from the state file of the mesh."""
    with open(os.environ["NAIVE_NODE_STATE"], encoding="utf-8") as file:
        return [row["http"] for row in json.load(file)["processes"]
                if row["role"] == "backend" and row["service"] == service]


class Handler(http.server.BaseHTTPRequestHandler):
    """Serves callers and sub-calls."""
    protocol_version = "HTTP/1.1"
    settings = {}

    def handle_call(self):
        """Answers the state dump, or forwards the call."""
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path == "/-/dump":
            ready = os.environ.get("NAIVE_NODE_NOT_READY") != self.settings["node-id"][0]
            self.reply(200, json.dumps({"ready": ready, "settings": self.settings}).encode())
            return
        _, service, path = (self.path.split("/", 2) + [""])[:3]
        addresses = backends_of(service)
        if not addresses:
            self.reply(404, b"{}", "not-run", "unknown-service")
            return
        try:
            connection = http.client.HTTPConnection(random.choice(addresses), timeout=10)
            headers = {name: self.headers[name] for name in FORWARDED if name in self.headers}
            connection.request(self.command, "/" + path, body, headers)
            answer = connection.getresponse()
            self.reply(answer.status, answer.read(), "completed")
            connection.close()
        except (OSError, http.client.HTTPException):
            self.reply(504, b"{}", "unknown", "backend-lost")

    do_GET = do_POST = handle_call  # pylint: disable=invalid-name

    def reply(self, status, body, outcome="completed", reason=""):
        """Writes an answer."""
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Wagtailhead-Outcome", outcome)
        self.send_header("Wagtailhead-Reason", reason)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        """Keeps the log short."""


def serve(address):
    """Serves one address in the background."""
    ip, port = address.rsplit(":", 1)
    server = http.server.ThreadingHTTPServer((ip, int(port)), Handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()


def main():
    """Runs until SIGTERM; ignores it when told so by NAIVE_NODE_IGNORES_TERM, which names a node."""
    for argument in sys.argv[1:]:
        name, _, value = argument.removeprefix("--").partition("=")
        Handler.settings.setdefault(name, []).append(value)
    node_id = Handler.settings["node-id"][0]
    if os.environ.get("NAIVE_NODE_FAILS") == node_id:
        sys.exit("cannot start: told so by the test")
    serve(Handler.settings["listen"][0])
    serve(Handler.settings["subcall-listen"][0])
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM])
    while True:
        signal.sigwait([signal.SIGTERM])
        if os.environ.get("NAIVE_NODE_IGNORES_TERM") != node_id:
            sys.exit(0)


if __name__ == "__main__":
    main()
