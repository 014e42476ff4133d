"""A leave that was confirmed while the store was down is forgotten by the restarted process."""
import asyncio
import os
import signal
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common"))

from site_parts import BOUNDS, CannotRun, TROUBLE, main, now, rule  # noqa: E402
from servers import Backend, Caller  # noqa: E402

MACHINES = [("riga-a", "katalogs"), ("riga-a", "pasutijumi"), ("riga-b", "pasutijumi"), ("riga-b", "katalogs"),
            ("kurzeme-a", "katalogs"), ("kurzeme-b", "pasutijumi")]
OUTAGE_S = 4.5
LEAVE_AT_S = 2.0  # All times from the begin of the outage.
KILL_AT_S = 4.2
RESTART_AT_S = 4.7
LATE_S = 4.0  # The last report before the leave arrives so late.
SERVED_S = 12.0  # After the confirmation the backend server serves on, "at times many seconds".
WORK = (0.05, 400)


async def load(machine, record, goes_on):
    """One caller: lookups, one after the other."""
    caller = Caller(machine, record)
    while goes_on():
        await caller.attempt("shop.example", "/lookup/x", 4)
        await asyncio.sleep(0.05)


async def play(site, record):
    """Returns the requests that reached the backend server too long after its leave was confirmed."""
    runs, over = [], []
    await site.start()
    backends = [Backend(machine, record, runs, lambda target: WORK) for machine in site.machines]
    for backend in backends:
        await backend.start()
    site.configure([rule("lookup", "shop.example", "/lookup/", "safe", "pasutijumi", 2)], ["katalogs", "pasutijumi"])
    await site.wait_ready()
    await asyncio.sleep(4)
    leaving = backends[1]
    callers = [asyncio.ensure_future(load(machine, record, lambda: not over))
               for machine in site.machines if machine is not leaving.machine]
    await asyncio.sleep(2)
    begun = now()
    if TROUBLE:
        site.store.down = "busy"
        record.say(f"the store answers 503 from {begun:.2f}")
    await asyncio.sleep(LEAVE_AT_S)
    late = asyncio.ensure_future(leaving.late_beat(LATE_S))
    await asyncio.sleep(0.05)
    confirmed = await leaving.withdraw()
    record.say(f"the leave of {leaving.id} was confirmed at {confirmed:.2f}")
    await asyncio.sleep(max(begun + KILL_AT_S - now(), 0))
    if TROUBLE:
        leaving.machine.send(signal.SIGKILL)
        if not await leaving.machine.ended(5):
            raise CannotRun("the process did not end")
    await asyncio.sleep(max(begun + OUTAGE_S - now(), 0))
    site.store.down = ""
    await asyncio.sleep(max(begun + RESTART_AT_S - now(), 0))
    if TROUBLE:
        leaving.machine.start()
    restarted = now()
    await late
    await asyncio.sleep(max(confirmed + SERVED_S - now(), 0))
    over.append(True)
    await asyncio.wait(callers)
    # Judged are requests that were sent on while all machines were in touch again.
    from_then = max(confirmed + BOUNDS["drainDeadlineS"], restarted + BOUNDS["contactWindowS"])
    early = [run for run in runs if run.server == leaving.id and confirmed + BOUNDS["drainDeadlineS"] < run.time]
    record.say(f"{len(early)} requests reached it later than {BOUNDS['drainDeadlineS']} s after the confirmation")
    return [f"DRAIN: {run.attempt} reached {run.server} {run.time - confirmed:.2f} s after the confirmation"
            for run in runs if run.server == leaving.id and run.time > from_then]


main(CASE, MACHINES, play)
