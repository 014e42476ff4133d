#!/usr/bin/env python3
"""Answers of the store are lost while reads that may be stale are seconds old: all nodes follow a configuration in time. Real
sidecar processes; the other parts are stand-ins of the soak."""
import asyncio
import os
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "lib"))

from store_zones import BOUNDS, OTHER_ZONE, ZONE, Zones, cut, now  # noqa: E402

STALE_S = 5.0  # How old the reads are that may be stale.
LOST_ANSWERS_S = 0.1
CONTACT_S = BOUNDS["contactWindowS"]
ASK_S = 0.1


class LostAnswers(unittest.TestCase):
    """The answers to all waiting watches are lost, on connections that stay open, and reads that may be stale are some
    seconds old. Nothing else is disturbed. A node that takes such a read for proof that nothing is newer keeps an old
    configuration until the reads have caught up, or until its watch would have ended by itself (issue 56)."""

    def play(self, lose, nodes=3, lost_node=False, bound_s=None):
        """`lose(zones)` loses the answers and moves the route. With `lost_node`, a watcher of each zone is cut off as well."""
        async def run(folder):
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            zones = Zones(folder, nodes, bound_s)
            try:
                await zones.start()
                zones.store.stale_s = STALE_S
                await asyncio.sleep(STALE_S)
                return await self.follow(zones, lose, lost_node)
            finally:
                await zones.close()
        with tempfile.TemporaryDirectory(prefix="store-watchers-") as folder:
            late = asyncio.run(run(folder))
        if late:
            self.fail("\n".join(late[:5]))

    async def follow(self, zones, lose, lost_node):
        """Returns which requests followed the old version too late."""
        lost = [(await zones.watchers(zone))[0] for zone in (ZONE, OTHER_ZONE)] if lost_node else []
        for machine in lost:
            cut(machine, True)
        calm = [machine for machine in zones.machines if machine not in lost]
        moved_at, replies, done = [], [], []

        async def change():
            moved_at.append(await lose(zones))
            await asyncio.sleep(zones.bound_s + STALE_S)
            done.append(True)

        async def ask_always(machine):
            while not done:
                replies.append((machine, *await zones.ask(machine)))
                await asyncio.sleep(ASK_S)

        await asyncio.gather(change(), *(ask_always(machine) for machine in calm))
        new, moved = zones.site.routes[0].service, moved_at[0]
        old = [(machine, sent - moved) for machine, sent, service in replies if sent > moved and service not in (new, None)]
        late = [f"{machine.name} sent a request to the old service {age:.2f} s after the change" for machine, age in old
                if age > zones.bound_s]
        print(f"{lose.__name__}: {sum(sent > moved + zones.bound_s for _, sent, _ in replies)} requests checked, {len(late)} late, "
              f"the old service ran until {max((age for _, age in old), default=0):.2f} s", flush=True)
        self.assertTrue(any(service == new for _, _, service in replies))
        return late

    @staticmethod
    def move(zones):
        """Moves the route. Returns when the store has confirmed that."""
        zones.site.move()
        zones.site.write(zones.store, zones.record)
        return now()

    @staticmethod
    async def all_answers(zones):
        """The answers to all calls are lost for a moment, in which the route moves."""
        zones.store.down = "lapse"
        await asyncio.sleep(LOST_ANSWERS_S / 2)
        moved = LostAnswers.move(zones)
        await asyncio.sleep(LOST_ANSWERS_S / 2)
        zones.store.down = ""
        return moved

    @staticmethod
    async def silent_watches(zones):
        """The watches that wait are never answered, and the route moves long after they have fallen silent."""
        zones.store.forget_watches()
        await asyncio.sleep(CONTACT_S)
        return LostAnswers.move(zones)

    @staticmethod
    async def one_after_the_other(zones):
        """The watches fall silent again as soon as they have been replaced."""
        moved = await LostAnswers.all_answers(zones)
        await asyncio.sleep(zones.bound_s)
        return max(moved, await LostAnswers.all_answers(zones))

    def test_all_answers(self):
        """Guards against an old configuration in all zones after a change whose answers were lost."""
        self.play(self.all_answers)

    def test_all_answers_in_a_larger_zone(self):
        """The same where most nodes rely on others."""
        self.play(self.all_answers, nodes=6)

    def test_silent_watches(self):
        """The same with watches that have fallen silent long before the change."""
        self.play(self.silent_watches)

    def test_silent_watches_and_a_lost_watcher(self):
        """The same while one of the watchers of each zone is cut off."""
        self.play(self.silent_watches, lost_node=True)

    def test_one_after_the_other(self):
        """The same with a second change whose answers are lost as well."""
        self.play(self.one_after_the_other)

    def test_short_bound(self):
        """The same with a shorter bound in the settings."""
        self.play(self.all_answers, bound_s=1.2)


if __name__ == "__main__":
    unittest.main(verbosity=1, warnings="ignore")
