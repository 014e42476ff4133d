"""Callers that stop reading for three seconds lose the answers to their orders."""
import asyncio
import os
import signal
import socket
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common"))

from site_parts import GRACE_S, TROUBLE, main, now, rule  # noqa: E402
from servers import Backend, new_id, split_address  # noqa: E402

MACHINES = [("riga-a", "katalogs"), ("riga-a", "pasutijumi"), ("riga-b", "pasutijumi"), ("riga-b", "katalogs")]
ANSWER_BYTES = 30000  # The largest answer to an order in the site file.
ORDER_BYTES = 1200
WINDOW_BYTES = 16384  # Receive buffer of a caller.
BUDGET_S = 5.0  # Time budget of an order; the route's timeout is as long.
PAUSE_S = 3.0
CALLERS = 8
MOST_LOST = 3  # "More than three times" breaks the rule at any time.


class Reader:
    """A caller with one kept channel, on blocking sockets in a thread of its own."""

    def __init__(self, machine, record):
        self.record = record
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.socket.settimeout(BUDGET_S)
        self.socket.connect(split_address(machine.outbound))
        self.used = False

    def order(self, pauses):
        """Sends an order and reads its answer. Returns the attempt, whether the channel was kept, and what was lost."""
        attempt, kept, begun = new_id("c"), self.used, now()
        self.used = True
        head = (f"POST /orders/x HTTP/1.1\r\nHost: shop.example\r\nX-Wagtailhead-Attempt-Id: {attempt}\r\n"
                f"X-Wagtailhead-Deadline-Ms: {int(BUDGET_S * 1000)}\r\nContent-Length: {ORDER_BYTES}\r\n\r\n")
        received, wanted, error = b"", None, ""
        try:
            self.socket.sendall(head.encode() + b"y" * ORDER_BYTES)
            while wanted is None or len(received) < wanted:
                if pauses and received:
                    time.sleep(PAUSE_S)
                    pauses = False
                data = self.socket.recv(2048)
                if not data:
                    error = "the channel was closed"
                    break
                received += data
                end = received.find(b"\r\n\r\n")
                if wanted is None and end >= 0:
                    lengths = [line.split(b":")[1] for line in received[:end].lower().split(b"\r\n")
                               if line.startswith(b"content-length:")]
                    wanted = end + 4 + int(lengths[0])
        except OSError as failure:
            error = str(failure)
        status = received[9:12].decode("latin-1")
        self.record.note(f"{attempt} sent {begun:.3f}, kept {kept}, ended {now():.3f}: status {status},"
                         f" {len(received)} of {wanted} bytes {error}")
        return attempt, kept, f"{attempt} got {len(received)} of {wanted} bytes, then: {error}" if error else ""


async def orders(readers, pauses):
    """Lets all readers send an order at once."""
    return await asyncio.gather(*[asyncio.to_thread(reader.order, pauses) for reader in readers])


async def play(site, record):
    """Returns the orders whose answers were cut."""
    runs = []
    await site.start()
    for machine in site.machines:
        await Backend(machine, record, runs, lambda target: (0.12, ANSWER_BYTES)).start()
    site.configure([rule("order", "shop.example", "/orders/", "unsafe", "pasutijumi", BUDGET_S, 0)],
                   ["katalogs", "pasutijumi"])
    await site.wait_ready()
    await asyncio.sleep(2)
    entry = site.machines[0]
    readers = [Reader(entry, record) for _ in range(CALLERS)]
    await orders(readers, False)  # From here on the channels are kept ones.
    results = await orders(readers, TROUBLE)
    ran = {run.attempt for run in runs}
    lost = [f"LOST at any time: {text}; the order ran: {attempt in ran}" for attempt, kept, text in results
            if text and kept]
    found = lost if len(lost) > MOST_LOST else []

    readers = [Reader(site.machines[3], record) for _ in range(CALLERS)]
    await orders(readers, False)
    under_way = asyncio.ensure_future(orders(readers, TROUBLE))
    await asyncio.sleep(0.5)
    site.machines[3].send(signal.SIGTERM)
    results = await under_way
    ran = {run.attempt for run in runs}
    found += [f"LOST around a planned stop: {text}; the order ran: {attempt in ran}" for attempt, _, text in results
              if text]
    record.say(f"the stopped process ended in its grace time: {await site.machines[3].ended(GRACE_S)}")
    return found


main(CASE, MACHINES, play)
