"""The two machines that watch the configuration for their zone are partitioned from the store; a route moves."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
from bed import BOUNDS, BROKEN, OK, TROUBLE, UNABLE, Client, now, play  # noqa: E402

ZONES = {"riga-a": "riga", "kurzeme-a": "kurzeme"}
CUT_S = 5.5


async def case(bed):
    for zone, services in (("riga-a", ("katalogs", "krajums", "katalogs", "krajums")),
                           ("kurzeme-a", ("katalogs", "krajums"))):
        for number, service in enumerate(services):
            bed.add(f"sidecar-{zone}-{number + 1}", zone, service)
    names = ["katalogs", "krajums"]
    route = lambda service: [("shop.example", "/stock/", "safe", service, 1, 0.4, 1)]  # noqa: E731
    bed.configure(7, route("katalogs"), names)
    await bed.start()
    watchers = [machine for machine in bed.machines if machine.relay.watched_at is not None and machine.zone == "riga-a"]
    bed.say("watching the store for riga-a: " + ", ".join(machine.name for machine in watchers))
    if len(watchers) != 2:
        return UNABLE, f"{len(watchers)} machines of riga-a watch the store"
    calm = [machine for machine in bed.machines if machine not in watchers]
    clients = [Client(bed, machine) for machine in calm]
    for client in clients:
        await client.send("GET", "shop.example", "/stock/1", 1000)
    if TROUBLE:
        for machine in watchers:
            machine.relay.cut = True
        bed.say(f"cut from the store for {CUT_S} s: " + ", ".join(machine.name for machine in watchers))
    cut_at = now()
    await asyncio.sleep(0.2)
    bed.configure(9, route("krajums"), names)
    confirmed = now()
    late, checked = [], 0

    async def ask(client):
        nonlocal checked
        sent = now()
        attempt, status, _, _ = await client.send("GET", "shop.example", "/stock/1", 1000)
        if sent > confirmed + BOUNDS["configApplyS"]:
            checked += 1
            services = {backend.service for _, backend in bed.runs.get(attempt, [])}
            if "katalogs" in services:
                late.append(sent - confirmed)
                bed.say(f"CONFIG broken: attempt {attempt}, sent to {client.machine.name} {sent - confirmed:.2f} s after "
                        f"the confirmation of version 9, was run by the service of version 7")

    while now() < cut_at + 12:
        await asyncio.gather(*(ask(client) for client in clients))
        await asyncio.sleep(0.1)
        if now() > cut_at + CUT_S:
            for machine in watchers:
                machine.relay.cut = False
    text = (f"{checked} requests sent to calm machines later than configApplyS after the confirmation; {len(late)} run by "
            f"the old service" + (f", the last one sent {max(late):.2f} s after it" if late else ""))
    return (BROKEN if late else OK), text


play(HERE, ZONES, case)
