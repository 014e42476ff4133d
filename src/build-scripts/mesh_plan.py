"""The layout of a mesh: VMs with their addresses, and the command line of every process."""
import hashlib
import os
import socket
from dataclasses import dataclass, replace

from mesh_deployments import DEPLOYMENTS

PLATFORM = "platform"  # The link stand-in's name for the store's side.
ZONE_DELAY_US = 500
REGION_DELAY_US = 30_000
REGION_BYTES_PER_SECOND = 3_750_000  # 30 Mbit/s

# Below the ephemeral ports of Linux, so that no outgoing connection holds a chosen port.
FIRST_BASE_PORT = 12_000
LAST_BASE_PORT = 32_000
PORTS_PER_MESH = 10
CALLERS, SUB_CALLS, PEERS, GOSSIP, BACKEND, STORE, LINK = range(7)

MAX_VMS_PER_ZONE = 254
REPLACEMENT_COLD_START_MS = 5_000


class MeshError(Exception):
    """A failure that is reported in one line."""


@dataclass(frozen=True)
class Options:
    """What the user asked for."""
    deployment: str
    nodes_per_service: int
    links: bool
    workers: int
    log_level: str
    bin_dir: str
    node_flags: tuple = ()  # Further settings of every node, as NAME=VALUE.
    slots_percent: int = 100  # Of the deployment's slots of each backend server.
    service_time_percent: int = 100  # Of the deployment's service times.
    spread_percent: int = 30  # Lognormal spread of service times.
    leaves: bool = False  # Backend servers send no sub-calls.
    audit_files: bool = False  # Backend servers write their executions to files, which outlive them.

    def __post_init__(self):
        object.__setattr__(self, "node_flags", tuple(self.node_flags))  # A list when read from the state file.


@dataclass(frozen=True)
class Vm:
    """One VM with a backend server and its node."""
    node_id: str
    service: object
    zone: str
    region: str
    ip: str


class Plan:
    """Who runs where. All processes of one mesh share a base port; their addresses differ by IP."""

    def __init__(self, options, base_port=FIRST_BASE_PORT):
        self.options = options
        self.deployment = DEPLOYMENTS[options.deployment]
        self.base_port = base_port
        self.zones = list(self.deployment.zones)
        self.vms = list(self._vms())
        region = list(self.deployment.regions).index(self.deployment.store_region)
        self.store = self._address(f"127.{region + 1}.250.1", STORE)
        self.link = self._address("127.0.0.1", LINK)

    def _scaled(self, service):
        """Returns a service with the sizes that the options ask for."""
        return replace(service, slots=max(1, round(service.slots * self.options.slots_percent / 100)),
                       service_time_ms=round(service.service_time_ms * self.options.service_time_percent / 100),
                       calls="" if self.options.leaves else service.calls)

    def _vms(self):
        placed = {zone: 0 for zone in self.zones}
        index = 0
        for service in map(self._scaled, self.deployment.services):
            for number in range(1, (self.options.nodes_per_service or service.servers) + 1):
                zone = self.zones[index % len(self.zones)]
                index += 1
                placed[zone] += 1
                if placed[zone] > MAX_VMS_PER_ZONE:
                    raise MeshError(f"more than {MAX_VMS_PER_ZONE} VMs in zone {zone}")
                region = self.deployment.zones[zone]
                regions = list(self.deployment.regions)
                octets = (regions.index(region) + 1, self.deployment.regions[region].index(zone) + 1, placed[zone])
                yield Vm(f"{service.name}-{number}", service, zone, region, "127." + ".".join(map(str, octets)))

    def _address(self, ip, port):
        return f"{ip}:{self.base_port + port}"

    def addresses(self):
        """Returns every address on which a process of the mesh listens."""
        own = [self._address(vm.ip, port) for vm in self.vms
               for port in (CALLERS, SUB_CALLS, PEERS, GOSSIP, BACKEND)]
        return own + [self.store] + ([self.link] + [row[1] for row in self.routes()] if self.options.links else [])

    def callers(self, vm):
        """Returns the address at which a VM's node serves callers."""
        return self._address(vm.ip, CALLERS)

    def sub_calls(self, vm):
        """Returns the address of a node's sub-call listener."""
        return self._address(vm.ip, SUB_CALLS)

    def backend(self, vm):
        """Returns the address of a VM's backend server."""
        return self._address(vm.ip, BACKEND)

    def _seen_from(self, zone, vm_ip, to_zone):
        """Returns the IP by which processes of a zone reach an IP of another zone over the link."""
        if to_zone == zone or not self.options.links:
            return vm_ip
        return self._prefix(zone, to_zone) + vm_ip.rsplit(".", 1)[1]

    def _prefix(self, zone, to_zone):
        third = 250 if to_zone == PLATFORM else self.zones.index(to_zone) + 1
        return f"127.{100 + self.zones.index(zone)}.{third}."

    def routes(self):
        """Returns the rows ("route", listen, target, from zone, to zone) of the link stand-in."""
        rows = []
        for zone in self.zones:
            for vm in self.vms:
                if vm.zone != zone:
                    ip = self._seen_from(zone, vm.ip, vm.zone)
                    rows += [("route", self._address(ip, port), self._address(vm.ip, port), zone, vm.zone)
                             for port in (PEERS, GOSSIP)]
            rows.append(("route", self._address(self._prefix(zone, PLATFORM) + "1", STORE), self.store, zone,
                         PLATFORM))
        return rows

    def routes_text(self):
        """Returns the routes file of the link stand-in."""
        regions = dict(self.deployment.zones, **{PLATFORM: self.deployment.store_region})
        rows = [("zone", zone, region) for zone, region in regions.items()] + self.routes()
        return "".join(" ".join(row) + "\n" for row in rows)

    def _store_seen_from(self, zone):
        return self._address(self._prefix(zone, PLATFORM) + "1", STORE) if self.options.links else self.store

    def _seeds_of(self, vm):
        """Returns the gossip addresses of the first VM of each zone, as the VM reaches them."""
        first = {}
        for other in self.vms:
            first.setdefault(other.zone, other)
        return [self._address(self._seen_from(vm.zone, other.ip, other.zone), GOSSIP)
                for other in first.values() if other != vm]

    def _program(self, name):
        return os.path.join(self.options.bin_dir, "wagtailhead-" + name)

    def store_command(self):
        """Returns the command line of the store stand-in."""
        return [self._program("standin-store"), f"--listen={self.store}", f"--log-level={self.options.log_level}"]

    def link_command(self, routes_file):
        """Returns the command line of the link stand-in."""
        return [self._program("standin-link"), f"--listen={self.link}", f"--routes={routes_file}",
                f"--zone-delay-us={ZONE_DELAY_US}", f"--region-delay-us={REGION_DELAY_US}",
                f"--region-bytes-per-second={REGION_BYTES_PER_SECOND}", f"--log-level={self.options.log_level}"]

    def backend_command(self, vm, replaced=False, audit_file=""):
        """Returns the command line of a backend server stand-in; a replaced one starts cold."""
        service = vm.service
        command = [self._program("standin-backend"), f"--listen={self.backend(vm)}", f"--service={service.name}",
                   f"--slots={service.slots}", f"--connections={service.connections}",
                   f"--service-time-ms={service.service_time_ms}",
                   f"--spread-percent={self.options.spread_percent}", f"--probe-ms={self.deployment.probe_ms}",
                   f"--subcalls={self.sub_calls(vm)}", f"--retries={self.deployment.retries}",
                   f"--cold-start-ms={REPLACEMENT_COLD_START_MS if replaced else 0}",
                   f"--log-level={self.options.log_level}"]
        command += [f"--call={service.calls}"] if service.calls else []
        command += [f"--audit-file={audit_file}"] if audit_file else []
        return command + ([f"--body-size={service.body_sizes}"] if service.body_sizes else [])

    def node_command(self, vm):
        """Returns the command line of a node."""
        command = [self._program("node"), f"--node-id={vm.node_id}", f"--zone={vm.zone}", f"--region={vm.region}",
                   f"--service={vm.service.name}", f"--listen={self.callers(vm)}",
                   f"--subcall-listen={self.sub_calls(vm)}", f"--peer-listen={self._address(vm.ip, PEERS)}",
                   f"--gossip-listen={self._address(vm.ip, GOSSIP)}", f"--backend={self.backend(vm)}",
                   f"--slots={vm.service.slots}", f"--connections={vm.service.connections}",
                   f"--store={self._store_seen_from(vm.zone)}", f"--workers={self.options.workers}",
                   f"--log-level={self.options.log_level}"]
        seeds = self._seeds_of(vm)
        command += [f"--peers={','.join(seeds)}"] if seeds else []
        if self.options.links:
            entries = [f"{zone}={self._prefix(vm.zone, zone)}0/24" for zone in self.zones if zone != vm.zone]
            command += ["--zone-translate=" + ",".join(entries)]
        return command + [f"--{flag}" for flag in self.options.node_flags]


def _is_free(address):
    ip, port = address.rsplit(":", 1)
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, int(port)))
            probe.listen()
        except OSError:
            return False
    return True


def plan_with_free_ports(options, state_dir):
    """Returns a plan whose addresses are all free. Meshes of other state directories start elsewhere."""
    bases = range(FIRST_BASE_PORT, LAST_BASE_PORT, PORTS_PER_MESH)
    digest = hashlib.sha256(os.path.abspath(state_dir).encode()).digest()
    start = int.from_bytes(digest[:4], "big") % len(bases)
    for offset in range(len(bases)):
        plan = Plan(options, bases[(start + offset) % len(bases)])
        if all(_is_free(address) for address in plan.addresses()):
            return plan
    raise MeshError(f"no free ports from {FIRST_BASE_PORT} to {LAST_BASE_PORT}")
