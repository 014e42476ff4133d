"""The store is silent for a while during changes of the configuration; a later change reaches no machine for long."""
import asyncio
import os
import random
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common"))

from site_parts import BOUNDS, TROUBLE, main, now, rule  # noqa: E402
from servers import Backend, Caller  # noqa: E402
from silent_store import SilentStore  # noqa: E402

MACHINES = [("riga-a" if number < 6 else "riga-b", "krajums" if number % 3 == 2 else "katalogs")
            for number in range(12)]
STORM_S = 1.0  # The operator's changes come in quick succession,
STORM_GAP_S = 0.08  # one in this time.
SILENCE_S = 4.5
CALM_S = 7.5  # From the end of the silence to the change that is judged: more than contactWindowS.
OBSERVED_S = 24.0


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
    """Returns the requests that were handled by the old configuration for too long."""
    runs, sent = [], {}
    await site.start()
    for machine in site.machines:
        await Backend(machine, record, runs, lambda target: (0.02, 400)).start()
    configure(site, "katalogs")
    await site.wait_ready()
    await asyncio.sleep(8)
    until = now() + STORM_S + SILENCE_S + CALM_S + OBSERVED_S
    callers = [asyncio.ensure_future(load(machine, record, sent, lambda: now() < until)) for machine in site.machines]

    silent_from = now() + STORM_S + random.uniform(0, STORM_GAP_S)
    while now() < silent_from:
        configure(site, "katalogs")
        await asyncio.sleep(min(STORM_GAP_S, max(silent_from - now(), 0)))
    if TROUBLE:
        site.store.silent.update(machine.name for machine in site.machines)
        record.say(f"the store is silent from {now():.2f}")
    await asyncio.sleep(STORM_GAP_S)
    configure(site, "katalogs")  # The operator's next change: carried out, and not answered while the store is silent.
    await asyncio.sleep(SILENCE_S - STORM_GAP_S)
    site.store.silent.clear()
    await asyncio.sleep(CALM_S)
    confirmed = configure(site, "krajums")
    record.say(f"the change that is judged was confirmed at {confirmed:.2f}")
    await asyncio.wait(callers)
    late = []
    for run in runs:
        begun, name = sent.get(run.attempt, (0, ""))
        if run.service == "katalogs" and begun > confirmed + BOUNDS["configApplyS"]:
            late.append((begun - confirmed, run.attempt, name))
    first = [sent[run.attempt][0] - confirmed for run in runs
             if run.service == "krajums" and run.attempt in sent and sent[run.attempt][0] > confirmed]
    record.say(f"first request handled by the new version: sent {min(first, default=-1):.1f} s after the confirmation")
    return [f"CONFIG: {attempt} by {name}, sent {after:.1f} s after the confirmation, was run by katalogs"
            for after, attempt, name in sorted(late, reverse=True)]


main(CASE, MACHINES, play, SilentStore)
