"""The store is silent towards the machines that watch it; the operator's next configuration reaches nobody."""
import asyncio
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common"))

from site_parts import BOUNDS, CannotRun, TROUBLE, main, now, rule  # noqa: E402
from servers import Backend, Caller  # noqa: E402
from silent_store import SilentStore  # noqa: E402

MACHINES = [("riga-a" if number < 6 else "riga-b", "krajums" if number % 3 == 2 else "katalogs")
            for number in range(12)]
LARGEST_SHARE = 0.35  # Of machines that the store turns away.
SILENCE_S = 9.0
OBSERVED_S = 24.0
STRETCHED_S = BOUNDS["configApplyS"] + BOUNDS["maxStretchS"]


async def load(machine, record, sent, goes_on):
    """One caller: a browse each 100 ms."""
    caller = Caller(machine, record)
    while goes_on():
        answer = await caller.attempt("shop.example", "/browse/x", 4)
        sent[answer.attempt] = (answer.sent, machine.name)
        await asyncio.sleep(0.1)


def configure(site, service):
    """Sends the one route to a service."""
    return site.configure([rule("browse", "shop.example", "/browse/", "safe", service, 1)], ["katalogs", "krajums"])


async def play(site, record):
    """Returns the requests that in-touch machines handled by the old configuration for too long."""
    runs, sent = [], {}
    await site.start()
    for machine in site.machines:
        await Backend(machine, record, runs, lambda target: (0.02, 400)).start()
    configure(site, "katalogs")
    await site.wait_ready()
    await asyncio.sleep(8)
    until = now() + 2 + OBSERVED_S
    callers = [asyncio.ensure_future(load(machine, record, sent, lambda: now() < until)) for machine in site.machines]
    await asyncio.sleep(1)
    watchers = sorted(name for name, count in site.store.watching.items() if count)
    if not watchers or len(watchers) > LARGEST_SHARE * len(site.machines):
        raise CannotRun(f"{len(watchers)} of {len(site.machines)} machines watch the store")
    if TROUBLE:
        site.store.silent.update(watchers)
        record.say(f"the store is silent towards {', '.join(watchers)} from {now():.1f}")
        asyncio.get_running_loop().call_later(SILENCE_S, site.store.silent.clear)
    await asyncio.sleep(1)
    confirmed = configure(site, "krajums")
    record.say(f"the operator's change was confirmed at {confirmed:.1f}")
    await asyncio.wait(callers)
    late = []
    for run in runs:
        begun, name = sent.get(run.attempt, (0, ""))
        if run.service == "katalogs" and begun > confirmed + STRETCHED_S and name not in watchers:
            late.append((begun - confirmed, run.attempt, name))
    first = [sent[run.attempt][0] - confirmed for run in runs
             if run.service == "krajums" and run.attempt in sent and sent[run.attempt][0] > confirmed]
    record.say(f"first request handled by the new version: sent {min(first, default=-1):.1f} s after the confirmation")
    return [f"CONFIG: {attempt} by {name}, sent {after:.1f} s after the confirmation, was run by katalogs"
            for after, attempt, name in sorted(late, reverse=True)]


main(CASE, MACHINES, play, SilentStore)
