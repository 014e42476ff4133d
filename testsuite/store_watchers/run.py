#!/usr/bin/env python3
"""The nodes that watch the store for their zone lose it in each way there is: all others follow a configuration, and the
entries of other nodes, in time. Real sidecar processes; the other parts are stand-ins of the soak."""
import asyncio
import os
import signal
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "lib"))

from store_zones import (OTHER_ZONE, SETTLE_S, ZONE, Zones, cut, cut_one_way, killed, nothing, now, paused, slow,  # noqa: E402
                         turned_away)

LOSS_S = 6.0
CHECKED_S = 1.5  # How long requests are sent beyond the bound, at least.
ASK_S = 0.1
WATCHERS = 2


class StoreWatchers(unittest.TestCase):
    """Each test plays one loss."""

    def play(self, loss, change_s, gap_s=0.0, further=0, nodes=5, bound_s=None, reload=False):
        """The watchers lose the store `gap_s` after each other, each in its own way if `loss` has two, then `further` nodes that
        watch in their place. The route moves `change_s` after the first loss, and the backend server of a node elsewhere
        leaves. With `reload` the bound comes into the settings later, with SIGHUP."""
        async def run(folder):
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            zones = Zones(folder, nodes, None if reload else bound_s)
            try:
                await zones.start()
                if reload:
                    zones.bound_s = bound_s
                    for machine in zones.machines:
                        machine.bounds["configApplyS"] = bound_s
                        machine.write_settings()
                        machine.send(signal.SIGHUP)
                    await asyncio.sleep(SETTLE_S)
                losses = loss if isinstance(loss, tuple) else (loss, loss)
                return await self.lose(zones, losses, change_s, gap_s, further)
            finally:
                await zones.close()
        with tempfile.TemporaryDirectory(prefix="store-watchers-") as folder:
            late, unaware = asyncio.run(run(folder))
        self.assertFalse(late, "\n" + "\n".join(late[:5]))
        self.assertFalse(unaware)

    async def lose(self, zones, losses, change_s, gap_s, further):
        """Plays the loss of the first and of the second watcher. Returns which requests followed the old version too late, and
        which nodes lack the entry."""
        by_zone = [await zones.watchers(zone) for zone in (ZONE, OTHER_ZONE)]
        for watchers in by_zone:
            self.assertEqual(len(watchers), WATCHERS, [machine.name for machine in watchers])
        lost = [machine for pair in zip(*by_zone) for machine in pair]
        leaving = next(machine for machine in reversed(zones.machines) if machine not in lost)
        costs, began = zones.costs(), now()
        end = began + max(LOSS_S, change_s + zones.bound_s + CHECKED_S)
        moved, replies = [], []

        async def change():
            await asyncio.sleep(max(change_s, 0))
            zones.site.move()
            zones.site.write(zones.store, zones.record)
            moved.append(now())
            leaving.backend.state = "draining"
            await leaving.backend.report()

        async def lose_all():
            await asyncio.sleep(max(-change_s, 0))
            for lose, pair in zip(losses, zip(*by_zone)):
                for machine in pair:
                    lose(machine, True)
                await asyncio.sleep(gap_s)
            for _ in range(further):
                await asyncio.sleep(zones.bound_s)
                more = [machine for machine in await zones.watchers(ZONE) if machine not in lost]
                for machine in more[:1]:
                    losses[0](machine, True)
                    lost.append(machine)

        async def ask_always(machine):
            while now() < end:
                sent, service = await zones.ask(machine)
                replies.append((machine, sent, service))
                await asyncio.sleep(ASK_S)

        calm = [machine for machine in zones.machines if machine not in lost]
        await asyncio.gather(change(), lose_all(), *(ask_always(machine) for machine in calm))
        calm = [machine for machine in calm if machine not in lost]
        unaware = [machine.name for machine in calm if machine is not leaving and not zones.followed_entry(machine, leaving)]
        after = zones.costs()
        for machine in lost:
            for end_loss in losses:
                end_loss(machine, False)
        new = zones.site.routes[0].service
        checked = [reply for reply in replies if reply[0] in calm and reply[1] > moved[0] + zones.bound_s]
        late = [f"{machine.name} sent a request to {service} {sent - moved[0]:.2f} s after the change"
                for machine, sent, service in checked if service not in (new, None)]
        last = max((sent - moved[0] for machine, sent, service in replies if machine in calm and service not in (new, None)),
                   default=0)
        print(f"{', '.join(loss.__name__ for loss in losses)}: {len(checked)} requests checked, {len(late)} late, the old service ran until {last:.2f} s; "
              f"{after[0] - costs[0]} calls to the store, {after[1] - costs[1]} bytes between nodes in {now() - began:.1f} s",
              flush=True)
        self.assertGreater(len(checked), 10)
        self.assertTrue(any(service == new for _, _, service in checked))
        return late, unaware

    def test_calm(self):
        """Guards against a cost that nobody has seen; the figures are for the reader."""
        self.play(nothing, 0.2)

    def test_cut(self):
        """Guards against an old configuration beside watchers that are cut off from the store (review case 13)."""
        self.play(cut, 0.2)

    def test_cut_one_way(self):
        """The same while calls still reach the store."""
        self.play(cut_one_way, 0.2)

    def test_change_before_the_cut(self):
        """The same with a change just before the cut, whose answer may be on its way."""
        self.play(cut, -0.002)

    def test_late_change(self):
        """The same with a change after the watchers have noticed."""
        self.play(cut, 2.6)

    def test_slow(self):
        """The same with watchers whose calls take long."""
        self.play(slow, 0.2)

    def test_turned_away(self):
        """The same with watchers that the store turns away."""
        self.play(turned_away, 0.2)

    def test_paused(self):
        """The same with watchers that stand still."""
        self.play(paused, 0.2)

    def test_killed(self):
        """The same with watchers whose processes are gone."""
        self.play(killed, 0.2)

    def test_cut_and_paused(self):
        """The same when one is cut off and the other one stands still."""
        self.play((cut, paused), 0.2)

    def test_slow_and_killed(self):
        """The same when one has a slow path and the other one is gone, later."""
        self.play((slow, killed), 0.7, gap_s=0.5)

    def test_zone_of_three(self):
        """The same in a zone where only one node is left, whose watchers are lost one after the other."""
        self.play((cut, cut_one_way), 1.2, gap_s=1.0, nodes=3)

    def test_one_after_the_other(self):
        """The same when a node that watches in place of the others loses the store too."""
        self.play(cut, 2.9, gap_s=0.6, further=1, nodes=7)

    def test_short_bound(self):
        """The same with a shorter bound in the settings."""
        self.play(cut, 0.2, bound_s=1.2)

    def test_reloaded_bound(self):
        """The same with a bound that has become shorter."""
        self.play(cut, 0.2, bound_s=1.2, reload=True)


if __name__ == "__main__":
    unittest.main(verbosity=1, warnings="ignore")
