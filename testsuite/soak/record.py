"""What callers, backend servers and the operator have seen during a run."""
import hashlib
import itertools
import time
from dataclasses import dataclass, field

SAFE, UNSAFE = "safe", "unsafe"


START = time.monotonic()


def now():
    """Returns the time since the start of the program."""
    return time.monotonic() - START


def seal_of(server, attempt, body):
    """Returns the seal of an answer; it belongs to the whole body."""
    return f"{server}.{hashlib.sha256(attempt.encode() + body).hexdigest()[:16]}"


@dataclass
class Route:
    """A route of the configuration, with what the record has to know of it."""

    name: str
    host: str
    prefix: str
    kind: str
    service: str
    timeout_s: float
    priority: int
    goal_s: float


@dataclass
class Attempt:
    """One request of a caller or a backend server."""

    id: str
    route: str
    kind: str
    node: str
    service: str  # Of the machine where it began.
    method: str
    target: str
    body: bytes
    sent: float
    is_call: bool
    kept: bool = False  # Sent on a connection that had been used before.
    ended: float = 0.0
    status: int = 0  # 0 without an answer.
    seal: str = ""
    answer: bytes = b""
    end: str = ""  # "answered", "closed", "refused" (no connection), "left" or "timeout".
    retry_after: float = 0.0
    foreign: str = ""  # What was wrong with the bytes.


@dataclass
class Run:
    """One arrival of a request at a backend server."""

    time: float
    service: str
    server: str
    ran: bool  # False if the backend server rejected it.
    status: int = 0  # Answered.
    body: bytes = b""
    reason: str = ""


@dataclass
class Leave:
    """A leave that a node has confirmed."""

    server: str
    node: str
    time: float


@dataclass
class Version:
    """A configuration that the operator has written."""

    number: int
    time: float
    services: dict  # Route name to service.


@dataclass
class Disturbance:
    """A fault or planned work and whom it touches; node "" stands for all."""

    kind: str
    node: str
    begin: float
    end: float = float("inf")


@dataclass
class Record:
    """Everything that the checks are made from."""

    attempts: dict = field(default_factory=dict)
    runs: dict = field(default_factory=dict)  # By attempt id.
    leaves: list = field(default_factory=list)
    versions: list = field(default_factory=list)
    disturbances: list = field(default_factory=list)
    exits: list = field(default_factory=list)  # (time, node, status) of processes that ended by themselves.
    counter: itertools.count = field(default_factory=itertools.count)

    def new_id(self, prefix):
        """Returns an attempt id that is used once."""
        return f"{prefix}-{next(self.counter):x}-{hashlib.sha256(str(time.time_ns()).encode()).hexdigest()[:6]}"

    def arrived(self, attempt, run):
        """Notes an arrival."""
        self.runs.setdefault(attempt, []).append(run)

    def begin(self, kind, node=""):
        """Notes the begin of a fault or of planned work."""
        disturbance = Disturbance(kind, node, now())
        self.disturbances.append(disturbance)
        return disturbance
