"""The time of day jumps back between two starts of a backend server; its later leave is confirmed and ignored."""
import asyncio
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common"))

from site_parts import BOUNDS, TROUBLE, main, now, rule  # noqa: E402
from servers import Backend, Caller  # noqa: E402

MACHINES = [("vantaa-a", "history-desk"), ("vantaa-a", "dispatch"), ("espoo-b", "dispatch"),
            ("espoo-b", "history-desk")]
STEP_S = 2.4  # The time of day of the backend server's machine is ahead by so much for a while.
RESTART_S = 0.3
LIFE_S = 1.0  # It ends so soon after its first start, and starts again.
CALM_S = 6.0  # More than contactWindowS.
SERVED_S = 6.0  # The backend server serves on after the confirmation, "at times many seconds".
WORK = (0.05, 400)


async def load(machine, record, goes_on):
    """One caller: slot checks, one after the other."""
    caller = Caller(machine, record)
    while goes_on():
        await caller.attempt("desk.example", "/slots/x", 4)
        await asyncio.sleep(0.05)


async def play(site, record):
    """Returns the requests that reached the leaving backend server too long after the confirmation."""
    runs = []
    await site.start()
    for number, machine in enumerate(site.machines):
        if number != 1:  # The backend server of the second machine starts later.
            await Backend(machine, record, runs, lambda target: WORK).start()
    site.configure([rule("slot-check", "desk.example", "/slots/", "safe", "dispatch", 2)],
                   ["history-desk", "dispatch"])
    await site.wait_ready()
    await asyncio.sleep(3)
    over = []
    callers = [asyncio.ensure_future(load(machine, record, lambda: not over)) for machine in site.machines]
    await asyncio.sleep(1)

    leaving = Backend(site.machines[1], record, runs, lambda target: WORK, clock_offset_s=STEP_S if TROUBLE else 0.0)
    await leaving.start()  # The time of day of its machine is ahead.
    await asyncio.sleep(LIFE_S)
    leaving.end()
    await asyncio.sleep(RESTART_S)
    leaving = Backend(site.machines[1], record, runs, lambda target: WORK, server_id=leaving.id)
    await leaving.start()  # The time of day has jumped back.
    await asyncio.sleep(CALM_S)
    before = sum(run.server == leaving.id and run.time > now() - 2 for run in runs)
    record.say(f"{before} requests ran at {leaving.id} in the last 2 s before its leave")
    confirmed = await leaving.drain()
    record.say(f"the leave of {leaving.id} was confirmed at {confirmed:.2f}")
    await asyncio.sleep(SERVED_S)
    over.append(True)
    await asyncio.wait(callers)
    late = [run for run in runs
            if run.server == leaving.id and run.time > confirmed + BOUNDS["drainDeadlineS"]]
    return [f"DRAIN: {run.attempt} reached {run.server} {run.time - confirmed:.2f} s after the confirmation"
            for run in late]


main(CASE, MACHINES, play)
