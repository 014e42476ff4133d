"""Injects the faults of a scenario into a running mesh at their times."""
import json
import os
import subprocess
import sys
import threading
import time

from experiment_scenario import place_of, targets_of
from mesh_commands import request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MESH_TIMEOUT_S = 60
POST_PATIENCE_S = 10
POST_PAUSE_S = 0.05


class FaultInjector:
    """Runs each fault in a thread of its own, so that a slow one does not delay the next."""

    def __init__(self, plan, state_dir, faults):
        self.plan = plan
        self.state_dir = state_dir
        self.faults = faults
        self.errors = []
        self.threads = []
        self.stopped = threading.Event()

    def start(self, begin):
        """Starts the schedule; `begin` is the Unix time of the begin of the load."""
        for fault in self.faults:
            thread = threading.Thread(target=self._run, args=(fault, begin + fault.at_ms / 1000))
            thread.start()
            self.threads.append(thread)

    def finish(self, cancel=False):
        """Waits for all faults, or drops those whose time has not come. Returns the errors."""
        if cancel:
            self.stopped.set()
        for thread in self.threads:
            thread.join()
        return self.errors

    def _run(self, fault, at):
        if self.stopped.wait(max(0.0, at - time.time())):
            return
        try:
            getattr(self, "_" + fault.action)(**fault.values)
        except Exception as error:  # pylint: disable=broad-except  # Reported with the results.
            self.errors.append(f"fault {fault.action} at {fault.at_ms} ms: {error}")

    def _post(self, address, path, body):
        """Posts until it is accepted: a backend server in overload may have no connection left."""
        begin = time.monotonic()
        tries = 0
        while True:
            tries += 1
            reply = request(address, "POST", path, json.dumps(body))
            if reply and reply[0] == 200:
                break
            if reply or time.monotonic() > begin + POST_PATIENCE_S:
                raise RuntimeError(f"{address}{path} answered {reply} after {tries} tries")
            time.sleep(POST_PAUSE_S)
        if tries > 1:
            print(f"{address}{path} accepted the {tries}th try after {time.monotonic() - begin:.1f} s", file=sys.stderr)

    def _mesh(self, command, node_id, *arguments):
        done = subprocess.run([os.path.join(ROOT, "scripts", "mesh"), command, "--state-dir", self.state_dir, node_id,
                               *arguments], capture_output=True, text=True, timeout=MESH_TIMEOUT_S, check=False)
        if done.returncode != 0:
            raise RuntimeError(f"mesh {command} {node_id}: {done.stderr.strip()}")

    def _backends(self, target):
        ids = targets_of(target, self.plan)
        return [self.plan.backend(vm) for vm in self.plan.vms if vm.node_id in ids]

    def _backend(self, target, faults):
        for address in self._backends(target):
            self._post(address, "/-/faults", faults)

    def _drain(self, target):
        for address in self._backends(target):
            self._post(address, "/-/drain", {"draining": True})

    def _store(self, faults):
        self._post(self.plan.store, "/-/faults", faults)

    def _link(self, **change):
        if not self.plan.options.links:
            raise RuntimeError("the mesh has no link stand-in")
        for name in ("from", "to"):
            change[name] = place_of(change[name], self.plan)
        self._post(self.plan.link, "/-/pairs", change)

    def _signal(self, command, target, only):
        for node_id in targets_of(target, self.plan):
            self._mesh(command, node_id, *(["--only", only] if only else []))

    def _kill(self, target, only=None):
        self._signal("kill", target, only)

    def _freeze(self, target, only=None):
        self._signal("freeze", target, only)

    def _resume(self, target, only=None):
        self._signal("resume", target, only)

    def _replace(self, target, only=None, graceful=False):
        for node_id in targets_of(target, self.plan):
            self._mesh("replace", node_id, *(["--only", only] if only else []), *(["--graceful"] if graceful else []))
