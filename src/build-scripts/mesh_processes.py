"""Processes that outlive the command that started them: their identity, state and end."""
import json
import os
import signal
import subprocess
import threading
import time
from dataclasses import asdict, dataclass

POLL_S = 0.05

# Set by a signal handler and looked at where nothing is half recorded, so that an interrupted command still
# knows every process that it has started.
interrupted = threading.Event()


def check_interrupted():
    """Raises KeyboardInterrupt if the command was told to end."""
    if interrupted.is_set():
        raise KeyboardInterrupt


@dataclass
class Process:
    """A started process, as recorded in the state file."""
    name: str  # Unique in the mesh; also the name of its log file.
    role: str
    zone: str
    service: str
    http: str
    node: str  # Node id of its VM; empty for the store and the link.
    subcalls: str
    command: list
    pid: int = 0
    start_time: int = 0  # Clock ticks since boot; tells the process from a later one with the same pid.


def _stat_fields(pid):
    """Returns the fields of /proc/PID/stat from the state on, or None if the process is gone."""
    try:
        with open(f"/proc/{pid}/stat", encoding="utf-8", errors="replace") as file:
            return file.read().rpartition(")")[2].split()
    except (FileNotFoundError, ProcessLookupError):
        return None


def start_time_of(pid):
    """Returns the start time of a process, or 0 if it is gone."""
    fields = _stat_fields(pid)
    return int(fields[19]) if fields else 0


def has_ended(fields):
    """Returns whether no thread of a process is left. Its first thread may end before others, which hold its sockets."""
    return fields[0] == "X" or (fields[0] == "Z" and int(fields[17]) <= 1)


def state_of(process):
    """Returns "running", "frozen" or "stopped"."""
    fields = _stat_fields(process.pid) if process.pid else None
    if not fields or int(fields[19]) != process.start_time or has_ended(fields):
        return "stopped"
    return "frozen" if fields[0] in "Tt" else "running"


def launch(process, log_dir, children):
    """Starts a process in its own session with its output in a log file, and records its identity."""
    os.makedirs(log_dir, exist_ok=True)
    with open(os.path.join(log_dir, process.name + ".log"), "ab") as log:
        child = subprocess.Popen(process.command, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                 start_new_session=True)  # pylint: disable=consider-using-with
    children.append(child)  # Kept, so that an early end can be reaped.
    process.pid = child.pid
    process.start_time = start_time_of(child.pid)


def send_signal(process, number):
    """Sends a signal to exactly the recorded process. Returns False if it is gone."""
    if not process.pid:
        return False
    try:
        handle = os.pidfd_open(process.pid)
    except ProcessLookupError:
        return False
    try:
        # Checked after opening: from here on the handle cannot stand for a later process.
        if state_of(process) == "stopped":
            return False
        signal.pidfd_send_signal(handle, number)
        return True
    except ProcessLookupError:
        return False
    finally:
        os.close(handle)


def wait_until_stopped(processes, timeout_s):
    """Waits until all processes have ended and returns those that have not."""
    end = time.monotonic() + timeout_s
    left = [process for process in processes if state_of(process) != "stopped"]
    while left and time.monotonic() < end:
        time.sleep(POLL_S)
        left = [process for process in left if state_of(process) != "stopped"]
    return left


def stop(processes, timeout_s):
    """Ends processes by SIGTERM, and by SIGKILL after the timeout. Returns those that had to be killed."""
    for process in processes:
        if send_signal(process, signal.SIGTERM):
            send_signal(process, signal.SIGCONT)  # A frozen process takes its signals only then.
    late = wait_until_stopped(processes, timeout_s)
    kill(late)
    return late


def kill(processes, timeout_s=10):
    """Ends processes by SIGKILL and waits until they are gone."""
    for process in processes:
        send_signal(process, signal.SIGKILL)
    left = wait_until_stopped(processes, timeout_s)
    if left:
        raise OSError("processes cannot be ended: " + ", ".join(f"{one.name} ({one.pid})" for one in left))


class StateFile:
    """The recorded processes and options of a mesh. Written whole, so that a reader never sees a part."""

    def __init__(self, state_dir):
        self.path = os.path.join(state_dir, "state.json")

    def load(self):
        """Returns (options, base port, processes), or None if no mesh is recorded."""
        try:
            with open(self.path, encoding="utf-8") as file:
                state = json.load(file)
        except FileNotFoundError:
            return None
        return state["options"], state["base_port"], [Process(**row) for row in state["processes"]]

    def save(self, options, base_port, processes):
        """Records a mesh."""
        draft = self.path + ".draft"
        with open(draft, "w", encoding="utf-8") as file:
            json.dump({"options": options, "base_port": base_port,
                       "processes": [asdict(process) for process in processes]}, file, indent=1)
        os.replace(draft, self.path)

    def remove(self):
        """Forgets the mesh."""
        if os.path.exists(self.path):
            os.remove(self.path)
