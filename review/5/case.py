"""A backend server fails orders that it has run; the callers are told that they have not run."""
import asyncio
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common"))

from site_parts import TROUBLE, main, now, rule  # noqa: E402
from servers import Backend, Caller  # noqa: E402

MACHINES = [("riga-a" if number % 2 else "riga-b", "pasutijumi" if number < 8 else "katalogs") for number in range(10)]
FAILED_SHARE = 0.45  # Of the requests of one backend server of eight.
FAILED_STATUS = 503
FAILING_S = 6.5
PROMISES = (408, 421, 429, 503)
BUDGET_S = 5.0
WORK = (0.12, 5000)


async def order(machine, record, goes_on, ended):
    """One caller. It repeats an order once, and only after a promise that it has not run."""
    caller = Caller(machine, record)
    while goes_on():
        begun = now()
        first = await caller.attempt("shop.example", "/orders/x", BUDGET_S, "POST", b"y" * 1200)
        again = None
        if first.end == "answered" and first.status in PROMISES:
            left = begun + BUDGET_S - now()
            await asyncio.sleep(min(first.retry_after, left / 3))
            caller.drop()
            again = await caller.attempt("shop.example", "/orders/x", begun + BUDGET_S - now(), "POST", b"y" * 1200)
        ended.append((first, again))
        await asyncio.sleep(0.1)


async def play(site, record):
    """Returns the orders that were answered with a promise and had run."""
    runs, ended = [], []
    await site.start()
    backends = [Backend(machine, record, runs, lambda target: WORK) for machine in site.machines]
    for backend in backends:
        await backend.start()
    site.configure([rule("order", "shop.example", "/orders/", "unsafe", "pasutijumi", BUDGET_S, 0)],
                   ["katalogs", "pasutijumi"])
    await site.wait_ready()
    await asyncio.sleep(2)
    if TROUBLE:
        backends[0].failed_share, backends[0].failed_status = FAILED_SHARE, FAILED_STATUS
        record.say(f"{backends[0].id} fails {FAILED_SHARE:.0%} of what it runs with {FAILED_STATUS} from {now():.1f}")
    until = now() + FAILING_S
    await asyncio.wait([asyncio.ensure_future(order(machine, record, lambda: now() < until, ended))
                        for machine in site.machines])
    ran = {run.attempt for run in runs}
    attempts = [each for pair in ended for each in pair if each]
    false = [each for each in attempts if each.status in PROMISES and each.attempt in ran]
    doubled = [pair for pair in ended if pair[1] and pair[0].attempt in ran and pair[1].attempt in ran]
    record.say(f"{len(ended)} orders, {len(attempts)} attempts; {len(doubled)} orders ran once more after the promise")
    return [f"REFUSED: {each.attempt} was answered {each.status} and had run" for each in false]


main(CASE, MACHINES, play)
