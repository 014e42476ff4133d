"""The mesh and fault parts of a scenario file. The load part is checked by wagtailhead-load."""
import json
import re
from dataclasses import dataclass

ACTIONS = {  # Action to its further fields.
    "backend": ("target", "faults"),
    "drain": ("target",),
    "store": ("faults",),
    "kill": ("target", "only"),
    "freeze": ("target", "only"),
    "resume": ("target", "only"),
    "replace": ("target", "only", "graceful"),
    "link": ("from", "to", "both", "delayUs", "bytesPerSecond", "cut", "silent"),
}
REQUIRED = {"target", "faults", "from", "to"}
TARGET = re.compile(r"(entry|front|deep|bulk|\*)(-\d+|-\*|@zone[1-4]|@region[1-2])")
PLACE = re.compile(r"zone[1-4]|platform|\*")
LAST_FAULT_MS = 600_000

MESH_FIELDS = {  # Field to (type, lowest, highest); None without bounds.
    "nodes_per_service": (int, 0, 60),
    "workers": (int, 1, 16),
    "slots_percent": (int, 1, 10_000),
    "service_time_percent": (int, 0, 10_000),
    "spread_percent": (int, 0, 300),
    "links": (bool, None, None),
    "leaves": (bool, None, None),
}

# What the names in targets stand for in each deployment.
ROLES = {
    "perlu": {"entry": "pasutijumi", "front": "katalogs", "deep": "krajums", "bulk": "faili"},
    "lindqvist": {"entry": "dispatch", "front": "history-desk", "deep": "diagrams", "bulk": "library"},
}


class ScenarioError(Exception):
    """A wrong field of a scenario file, with its name, value and what is allowed."""


def wrong(field, value, allowed):
    """Returns the error about a field."""
    return ScenarioError(f"field {field} has value {json.dumps(value)}, allowed is {allowed}")


@dataclass(frozen=True)
class Fault:
    """One event during the load."""
    at_ms: int
    action: str
    values: dict


@dataclass(frozen=True)
class Scenario:
    """A scenario file."""
    name: str
    path: str
    mesh: dict
    faults: tuple
    load: dict

    def load_s(self):
        """Returns the length of the load."""
        return sum(phase.get("milliseconds", 0) for phase in self.load.get("phases", [])) / 1000

    def length_s(self):
        """Returns the length of the load and of the idle time before it."""
        return self.load_s() + self.load.get("idle_ms", 0) / 1000

    def overloads(self):
        """Returns whether the surge needs more than the capacity, by its rate or by a slow service."""
        surge = [phase["load_percent"] for phase in self.load["phases"] if phase["name"] == self.load.get("surge")]
        slow = [fault for fault in self.faults if fault.values.get("faults", {}).get("serviceTimeFactor", 1) > 1]
        return bool(surge) and (surge[0] > 100 or bool(slow))

    def surge_span_s(self):
        """Returns (begin, end) of the surge since the begin of the load, or None."""
        begin = 0
        for phase in self.load["phases"]:
            end = begin + phase["milliseconds"] / 1000
            if phase["name"] == self.load.get("surge"):
                return begin, end
            begin = end
        return None


def check_mesh(mesh):
    """Checks the fields of the mesh part."""
    if not isinstance(mesh, dict):
        raise wrong("mesh", mesh, "an object")
    for name, value in mesh.items():
        if name not in MESH_FIELDS:
            raise wrong(f"mesh.{name}", value, "one of " + ", ".join(MESH_FIELDS))
        kind, low, high = MESH_FIELDS[name]
        if type(value) is not kind or (low is not None and not low <= value <= high):
            raise wrong(f"mesh.{name}", value, "true or false" if kind is bool else f"an integer from {low} to {high}")
    return mesh


def check_value(field, name, value):
    """Checks one field of a fault."""
    allowed = None
    if name == "target" and not (isinstance(value, str) and TARGET.fullmatch(value)):
        allowed = "entry, front, deep, bulk or *, followed by -N, -*, @zoneN or @regionN"
    elif name in ("from", "to") and not (isinstance(value, str) and PLACE.fullmatch(value)):
        allowed = "zone1 to zone4, platform or *"
    elif name == "only" and value not in ("node", "backend"):
        allowed = "node or backend"
    elif name in ("graceful", "both", "cut") and not isinstance(value, bool):
        allowed = "true or false"
    elif name == "silent" and value not in ("none", "existing", "all"):
        allowed = "none, existing or all"
    elif name in ("delayUs", "bytesPerSecond") and (type(value) is not int or value < 0):
        allowed = "a non-negative integer"
    elif name == "faults" and not isinstance(value, dict):
        allowed = "an object as the stand-in's /-/faults takes it"
    if allowed:
        raise wrong(f"{field}.{name}", value, allowed)


def parse_fault(field, row):
    """Checks and returns one fault."""
    if not isinstance(row, dict):
        raise wrong(field, row, "an object")
    at_ms, action = row.get("at_ms"), row.get("action")
    if type(at_ms) is not int or not 0 <= at_ms <= LAST_FAULT_MS:
        raise wrong(f"{field}.at_ms", at_ms, f"an integer from 0 to {LAST_FAULT_MS}")
    if action not in ACTIONS:
        raise wrong(f"{field}.action", action, "one of " + ", ".join(ACTIONS))
    values = {name: value for name, value in row.items() if name not in ("at_ms", "action")}
    for name, value in values.items():
        if name not in ACTIONS[action]:
            raise wrong(f"{field}.{name}", value, "one of " + ", ".join(ACTIONS[action]))
        check_value(field, name, value)
    for name in REQUIRED & set(ACTIONS[action]):
        if name not in values:
            raise wrong(f"{field}.{name}", None, "a value")
    return Fault(at_ms, action, values)


def read_scenario(name, path):
    """Reads a scenario file."""
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except FileNotFoundError as error:
        raise ScenarioError(f"scenario '{name}' has no file {path}") from error
    except ValueError as error:
        raise ScenarioError(f"{path} is not valid JSON: {error}") from error
    if not isinstance(document, dict) or not isinstance(document.get("load"), dict):
        raise ScenarioError(f"{path} has no object 'load'")
    faults = document.get("faults", [])
    if not isinstance(faults, list):
        raise wrong("faults", faults, "an array")
    parsed = [parse_fault(f"faults[{index}]", row) for index, row in enumerate(faults)]
    return Scenario(name, path, check_mesh(document.get("mesh", {})),
                    tuple(sorted(parsed, key=lambda fault: fault.at_ms)), document["load"])


def targets_of(target, plan):
    """Returns the node ids that a target means in a plan of a mesh."""
    role, selector = TARGET.fullmatch(target).groups()
    service = None if role == "*" else ROLES[plan.deployment.name][role]
    zones, regions = list(plan.deployment.zones), list(plan.deployment.regions)
    found = []
    for vm in plan.vms:
        if service not in (None, vm.service.name):
            continue
        number = vm.node_id.rsplit("-", 1)[1]
        if selector in ("-*", f"-{number}", f"@zone{zones.index(vm.zone) + 1}", f"@region{regions.index(vm.region) + 1}"):
            found.append(vm.node_id)
    if not found:
        raise ScenarioError(f"target '{target}' means no VM of this mesh")
    return found


def place_of(place, plan):
    """Returns the link stand-in's name of a place."""
    return list(plan.deployment.zones)[int(place[-1]) - 1] if place.startswith("zone") else place
