"""A mesh of real processes for whole-program tests."""
import http.client
import json
import os
import subprocess

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MESH_TIMEOUT_S = 120


class LiveMesh:
    """A mesh in a state directory of its own. Call down() at the end."""

    def __init__(self, state_dir, *arguments):
        self.state_dir = state_dir
        self.run("up", *arguments)
        self.processes = [dict(part.split("=", 1) for part in line.split())
                          for line in self.run("status").splitlines()]

    def run(self, command, *arguments):
        """Runs scripts/mesh and returns its output."""
        done = subprocess.run([os.path.join(ROOT, "scripts", "mesh"), command, "--state-dir", self.state_dir,
                               *arguments], capture_output=True, text=True, timeout=MESH_TIMEOUT_S, check=False)
        if done.returncode != 0:
            raise RuntimeError(f"mesh {command} failed: {done.stdout} {done.stderr}")
        return done.stdout

    def down(self):
        """Ends all processes."""
        self.run("down")

    def rows(self, role, service=None):
        """Returns the processes of a role."""
        return [row for row in self.processes
                if row["role"] == role and (service is None or row["service"] == service)]

    def addresses(self, role, service=None):
        """Returns the HTTP addresses of a role."""
        return [row["http"] for row in self.rows(role, service)]

    def post(self, role, path, body):
        """Sends a JSON request to the first process of a role."""
        status, _, _ = request(self.addresses(role)[0], "POST", path, json.dumps(body))
        if status >= 300:
            raise RuntimeError(f"{role} answered {status} to {path}")


def request(address, method, path, body=None, headers=None, timeout=20):
    """Sends one request and returns (status, headers, body)."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        connection.close()


def audit(address):
    """Returns the executions of a backend stand-in."""
    return json.loads(request(address, "GET", "/audit")[2])["executions"]
