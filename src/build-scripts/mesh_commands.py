"""The commands of scripts/mesh."""
import http.client
import json
import os
import shutil
import signal
import sys
import time
from dataclasses import asdict

import mesh_processes
from mesh_deployments import configuration
from mesh_plan import MeshError, Options, Plan, plan_with_free_ports
from mesh_processes import Process, StateFile, check_interrupted, launch, send_signal, state_of

READY_TIMEOUT_S = 60
NODE_STOP_TIMEOUT_S = 15
STANDIN_STOP_TIMEOUT_S = 5
REQUEST_TIMEOUT_S = 5
POLL_S = 0.1
LOG_LINES_SHOWN = 3


def request(address, method, path, body=None, headers=None):
    """Sends one HTTP request and returns (status, text), or None without an answer."""
    connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def answers(address):
    """Returns whether a stand-in serves its state dump."""
    reply = request(address, "GET", "/-/dump")
    return reply is not None and reply[0] == 200


def is_ready(address):
    """Returns whether a node says that it is ready."""
    reply = request(address, "GET", "/-/dump")
    if reply is None or reply[0] != 200:
        return False
    try:
        return json.loads(reply[1]).get("ready") is True
    except (ValueError, AttributeError):
        return False


class Mesh:
    """A mesh with its state directory."""

    def __init__(self, state_dir):
        self.state_dir = os.path.abspath(state_dir)
        self.state = StateFile(self.state_dir)
        self.log_dir = os.path.join(self.state_dir, "logs")
        self.audit_dir = os.path.join(self.state_dir, "audits")
        self.children = []
        self.plan = None
        self.processes = []
        self._load()

    def _load(self):
        state = self.state.load()
        if state:
            self.plan = Plan(Options(**state[0]), state[1])
            self.processes = state[2]

    def _save(self):
        self.state.save(asdict(self.plan.options), self.plan.base_port, self.processes)

    def _require(self):
        if not self.plan:
            raise MeshError(f"no mesh is recorded in {self.state_dir}")

    # --- up

    def up(self, options):
        """Starts a mesh. Does nothing if the same mesh is running already."""
        if self.plan:
            self._check_running(options)
            return
        for program in ("standin-store", "standin-backend", "node") + (("standin-link",) if options.links else ()):
            path = os.path.join(options.bin_dir, "wagtailhead-" + program)
            if not os.access(path, os.X_OK):
                raise MeshError(f"{path} is missing; build it with scripts/build")
        shutil.rmtree(self.log_dir, ignore_errors=True)
        shutil.rmtree(self.audit_dir, ignore_errors=True)
        if options.audit_files:
            os.makedirs(self.audit_dir)
        self.plan = plan_with_free_ports(options, self.state_dir)
        try:
            self._start_all()
        except BaseException:
            self.down()
            raise
        print(f"mesh {options.deployment} is up: {len(self.plan.vms)} nodes, state in {self.state_dir}")

    def _check_running(self, options):
        if self.plan.options != options:
            raise MeshError("another mesh is recorded in this state directory; run 'mesh down' first")
        stopped = [process.name for process in self.processes if state_of(process) == "stopped"]
        if stopped or not self.processes:
            raise MeshError(f"the mesh is up in part, stopped: {', '.join(stopped)}; run 'mesh down' first")
        print(f"mesh {options.deployment} is up already")

    def _start_all(self):
        plan = self.plan
        self._start([Process("store", "store", "-", "-", plan.store, "", "", plan.store_command())])
        self._await("the store", [plan.store], answers)
        self._write_configuration()
        if plan.options.links:
            routes = os.path.join(self.state_dir, "routes")
            with open(routes, "w", encoding="utf-8") as file:
                file.write(plan.routes_text())
            self._start([Process("link", "link", "-", "-", plan.link, "", "", plan.link_command(routes))])
            self._await("the link", [plan.link], answers)
        self._start([self._backend(vm) for vm in plan.vms])
        self._await("the backend servers", [plan.backend(vm) for vm in plan.vms], answers)
        self._start([self._node(vm) for vm in plan.vms])
        self._await("the nodes", [plan.callers(vm) for vm in plan.vms], is_ready)

    def _backend(self, vm, replaced=False):
        return Process(f"{vm.node_id}.backend", "backend", vm.zone, vm.service.name, self.plan.backend(vm),
                       vm.node_id, self.plan.sub_calls(vm),
                       self.plan.backend_command(vm, replaced, self._audit_file(vm.node_id)))

    def _audit_file(self, node_id):
        return os.path.join(self.audit_dir, node_id) if self.plan.options.audit_files else ""

    def _node(self, vm):
        return Process(f"{vm.node_id}.node", "node", vm.zone, vm.service.name, self.plan.callers(vm), vm.node_id,
                       self.plan.sub_calls(vm), self.plan.node_command(vm))

    def _start(self, processes):
        """Starts processes and records each at once, so that none is forgotten when this command is killed."""
        for process in processes:
            self.processes = [other for other in self.processes if other.name != process.name] + [process]
            launch(process, self.log_dir, self.children)
            self._save()
            check_interrupted()

    def _write_configuration(self):
        for key, value in configuration(self.plan.deployment).items():
            reply = request(self.plan.store, "PUT", "/v1/objects/" + key, json.dumps(value), {"If-None-Match": "*"})
            if not reply or reply[0] != 200:
                raise MeshError(f"the store refused {key}: {reply}")

    def _await(self, what, addresses, condition):
        """Waits until the condition holds for all addresses."""
        end = time.monotonic() + READY_TIMEOUT_S
        waiting = list(addresses)
        while True:
            waiting = [address for address in waiting if not condition(address)]
            if not waiting:
                return
            check_interrupted()
            self._check_alive(waiting)
            if time.monotonic() > end:
                names = [process.name for process in self.processes if process.http in waiting]
                raise MeshError(f"{what} did not get ready within {READY_TIMEOUT_S} s: {', '.join(names)}")
            time.sleep(POLL_S)

    def _check_alive(self, addresses):
        for child in self.children:
            child.poll()  # Reaps an ended process.
        for process in self.processes:
            if process.http in addresses and state_of(process) == "stopped":
                raise MeshError(f"{process.name} ended at its start: {self._last_log_lines(process)}")

    def _last_log_lines(self, process):
        try:
            with open(os.path.join(self.log_dir, process.name + ".log"), encoding="utf-8", errors="replace") as log:
                return " | ".join(line.strip() for line in log.readlines()[-LOG_LINES_SHOWN:])
        except FileNotFoundError:
            return "no log"

    # --- status, down

    def status(self):
        """Prints one line for each process."""
        self._require()
        for process in self.processes:
            region = self.plan.deployment.zones.get(process.zone, "-")
            audit = self._audit_file(process.node) if process.role == "backend" else ""
            print(f"role={process.role} pid={process.pid} zone={process.zone} region={region} "
                  f"service={process.service} http={process.http} node={process.node or '-'} "
                  f"subcalls={process.subcalls or '-'} audit={audit or '-'} state={state_of(process)}")

    def down(self, at_once=False):
        """Ends the nodes, then the stand-ins, and forgets the mesh. At once means without letting them leave."""
        if not self.plan:
            print("no mesh is running")
            return
        if at_once:
            mesh_processes.kill(self.processes)
        nodes = [process for process in self.processes if process.role == "node"]
        others = [process for process in self.processes if process.role != "node"]
        killed = mesh_processes.stop(nodes, NODE_STOP_TIMEOUT_S)
        killed += mesh_processes.stop(others, STANDIN_STOP_TIMEOUT_S)
        for child in self.children:
            child.poll()
        for process in killed:
            print(f"{process.name} did not end by itself and was killed", file=sys.stderr)
        self.state.remove()
        print(f"mesh is down: {len(self.processes)} processes ended, {len(killed)} of them killed")
        self.plan = None
        self.processes = []

    # --- single VMs

    def _of_vm(self, node_id, only):
        self._require()
        found = [process for process in self.processes
                 if process.node == node_id and only in (None, process.role)]
        if not found:
            known = ", ".join(vm.node_id for vm in self.plan.vms)
            raise MeshError(f"no node '{node_id}'; there are {known}")
        # The node first: it must not see its backend server go and report it before it ends itself.
        return sorted(found, key=lambda process: process.role != "node")

    def kill(self, node_id, only):
        """Ends a VM without warning."""
        mesh_processes.kill(self._of_vm(node_id, only))

    def freeze(self, node_id, only):
        """Stops the processes of a VM until resume."""
        self._signal(node_id, only, signal.SIGSTOP)

    def resume(self, node_id, only):
        """Lets the processes of a VM go on."""
        self._signal(node_id, only, signal.SIGCONT)

    def _signal(self, node_id, only, number):
        for process in self._of_vm(node_id, only):
            if not send_signal(process, number):
                raise MeshError(f"{process.name} is not running")

    def replace(self, node_id, only, graceful):
        """Ends a VM and starts a new incarnation of it at the same addresses."""
        old = self._of_vm(node_id, only)
        if graceful:
            for process in old:
                mesh_processes.stop([process], NODE_STOP_TIMEOUT_S)
        else:
            mesh_processes.kill(old)
        vm = next(vm for vm in self.plan.vms if vm.node_id == node_id)
        if only != "node":
            self._start([self._backend(vm, replaced=True)])
            self._await("the backend server", [self.plan.backend(vm)], answers)
        if only != "backend":
            self._start([self._node(vm)])
            self._await("the node", [self.plan.callers(vm)], is_ready)
