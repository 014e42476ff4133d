"""Faults and planned work at random times, in series and on top of each other."""
import asyncio
import random
import signal

from record import now

GRACE_S = 6.0


class Schedule:
    """Plays faults against the machines until it is told to stop."""

    def __init__(self, world, seed):
        self.world = world
        self.seed = seed
        self.tasks = set()
        self.played = []
        node, store, backend, link = self.on_node, self.on_store, self.on_backend, self.on_link
        self.kinds = [
            (4, "term", node(self.term)), (2, "kill", node(self.kill)), (2, "freeze", node(self.freeze)),
            (2, "hup", node(self.hup)), (1, "silent_settings", node(self.silent_settings)),
            (1, "kill_all", self.kill_all), (1, "term_in_turn", self.term_in_turn),
            (2, "backend_crash", node(self.backend_crash)), (3, "backend_leave", node(self.backend_leave)),
            (2, "backend_set_back", node(self.backend_set_back)), (2, "unwritten_leave", node(self.unwritten_leave)),
            (2, "slow", backend("extra_work", 8.0)), (2, "lose_answers", backend("lose_answers", 0.3)),
            (2, "garble", backend("garble", 0.3)), (2, "reject", backend("reject", 0.5)),
            (1, "link_reset", node(self.link_reset)), (1, "link_delay", link("delay_s", 0.05)),
            (1, "link_cut", link("refuses", True)), (1, "link_silent", link("silent", True)),
            (1, "link_one_way", link("one_way", True)), (1, "link_forgets", node(self.link_forgets)),
            (2, "links_stall", self.links_stall),
            (1, "store_busy", store("down", "busy")), (1, "store_silent", store("down", "silent")),
            (1, "store_reset", store("down", "reset")), (1, "store_slow", store("delay_s", 0.8)),
            (1, "store_lost", store("lose_writes", 0.5)), (1, "store_late", self.store_late),
            (1, "store_429", store("refused_share", 0.7)), (1, "store_forgets", self.store_forgets),
            (1, "store_lapse", self.store_lapse), (2, "store_cut", node(self.store_cut)), (3, "config", self.config), (1, "config_storm", self.config_storm),
            (1, "callers_leave", self.callers_leave),
            (0, "forgotten_leave", node(self.forgotten_leave)),  # Only by name.
        ]

    async def run(self, until, pause_s):
        """Plays one after the other, without waiting for their ends."""
        chooser = random.Random(f"{self.seed}-faults")
        while now() < until:
            _, name, play = chooser.choices(self.kinds, weights=[kind[0] for kind in self.kinds])[0]
            # Each fault has its own luck, so that the same seed plays the same faults whatever else happens.
            luck = random.Random(f"{self.seed}-fault-{len(self.played)}")
            self.played.append((now(), name))
            self.tasks.add(asyncio.ensure_future(play(luck)))
            await asyncio.sleep(chooser.expovariate(1 / pause_s))

    async def finish(self):
        """Waits for what is under way."""
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    def choose(self, names):
        """Leaves only the faults of these names. Raises ValueError for one that is not known."""
        known = {name for _, name, _ in self.kinds}
        if not names or not known.issuperset(names):
            raise ValueError(f"faults are {', '.join(sorted(known))}")
        self.kinds = [(max(weight, 1), name, play) for weight, name, play in self.kinds if name in names]

    def on_node(self, play):
        """Returns a fault of one machine that is not busy with another one of its process."""
        async def chosen(luck):
            free = [machine for machine in self.world.machines if machine.name not in self.world.busy]
            if not free:
                return
            machine = luck.choice(free)
            self.world.busy.add(machine.name)
            try:
                await play(machine, luck)
            finally:
                self.world.busy.discard(machine.name)
        return chosen

    def on_store(self, attribute, value):
        """Returns a fault of the store."""
        async def play(luck):
            await self.for_some_time(luck, self.world.store, attribute, value, "store", "")
        return play

    def on_backend(self, attribute, value):
        """Returns a fault of some backend servers."""
        async def play(luck):
            chosen = [machine for machine in self.world.machines if luck.random() < 0.3]
            await asyncio.gather(*(self.for_some_time(luck, machine.backend, attribute, value, "backend", machine.name)
                                   for machine in chosen))
        return play

    def on_link(self, attribute, value):
        """Returns a fault of the links to one machine."""
        async def play(machine, luck):
            if attribute == "one_way":
                machine.link_relay.silent = True
            await self.for_some_time(luck, machine.link_relay, attribute, value, "link", "")
            machine.link_relay.silent = False
        return self.on_node(play)

    async def for_some_time(self, luck, target, attribute, value, kind, node):
        """Sets an attribute and puts it back after a while."""
        disturbance = self.world.record.begin(kind, node)
        setattr(target, attribute, value)
        await asyncio.sleep(luck.uniform(1, 5))
        setattr(target, attribute, type(value)())  # All faults are off with the empty value of their type.
        disturbance.end = now()

    async def term(self, machine, _luck):
        """A planned stop."""
        disturbance = self.world.record.begin("term", machine.name)
        by_itself = await machine.restart(signal.SIGTERM, GRACE_S)
        disturbance.end = now()
        if not by_itself:
            self.world.record.exits.append((now(), machine.name, "did not end in the grace time"))

    async def term_in_turn(self, luck):
        """All machines are stopped and started, one after the other."""
        for machine in list(self.world.machines):
            if machine.name not in self.world.busy:
                self.world.busy.add(machine.name)
                try:
                    await self.term(machine, luck)
                finally:
                    self.world.busy.discard(machine.name)

    async def kill(self, machine, _luck):
        """A crash of the node process."""
        disturbance = self.world.record.begin("kill", machine.name)
        await machine.restart(signal.SIGKILL, 2)
        disturbance.end = now()

    async def kill_all(self, luck):
        """All node processes crash at once."""
        chosen = [machine for machine in self.world.machines if machine.name not in self.world.busy]
        self.world.busy.update(machine.name for machine in chosen)
        try:
            await asyncio.gather(*(self.kill(machine, luck) for machine in chosen))
        finally:
            self.world.busy.difference_update(machine.name for machine in chosen)

    async def freeze(self, machine, luck):
        """The node process stands still."""
        disturbance = self.world.record.begin("freeze", machine.name)
        machine.send(signal.SIGSTOP)
        await asyncio.sleep(luck.uniform(0.3, 4))
        machine.send(signal.SIGCONT)
        disturbance.end = now()

    async def hup(self, machine, luck):
        """The settings change, with a signal."""
        machine.bounds["budgetSlack"] = luck.randint(40, 48)
        machine.write_settings()
        machine.send(signal.SIGHUP)

    async def silent_settings(self, machine, luck):
        """The settings change without a signal."""
        machine.bounds["budgetSlack"] = luck.randint(40, 48)
        machine.write_settings()

    async def backend_crash(self, machine, luck):
        """A backend server ends without a word and another one starts."""
        disturbance = self.world.record.begin("backend", machine.name)
        machine.backend.crash()
        await asyncio.sleep(luck.uniform(0.2, 3))
        await machine.start_backend(self.world.site, self.world.record)
        disturbance.end = now()

    async def backend_leave(self, machine, luck):
        """A backend server leaves and another one takes its place."""
        disturbance = self.world.record.begin("leave", machine.name)
        await machine.backend.leave(luck.random() < 0.3)
        await asyncio.sleep(luck.uniform(0.1, 1))
        await machine.start_backend(self.world.site, self.world.record)
        disturbance.end = now()

    async def backend_set_back(self, machine, luck):
        """A backend server starts again under its id while the time of day is behind, and leaves after a while."""
        disturbance = self.world.record.begin("leave", machine.name)
        before = machine.backend
        before.crash()
        await asyncio.sleep(luck.uniform(0.2, 1))
        await machine.start_backend(self.world.site, self.world.record, before, luck.uniform(0.1, 3))
        await asyncio.sleep(luck.uniform(0, 5))
        await machine.backend.leave(luck.random() < 0.5)
        await asyncio.sleep(luck.uniform(0.1, 1))
        await machine.start_backend(self.world.site, self.world.record)
        disturbance.end = now()

    async def unwritten_leave(self, machine, luck):
        """A leave is confirmed while the store is away; the node is killed, and a report from before arrives late."""
        disturbances = [self.world.record.begin(kind, node) for kind, node in
                        (("store", ""), ("kill", machine.name), ("leave", machine.name))]
        leaving, store = machine.backend, self.world.store
        store.down = luck.choice(("busy", "silent", "reset"))
        await asyncio.sleep(luck.uniform(0.2, 1))
        leaving.spawn(leaving.late_report(luck.uniform(1, 5)))
        await asyncio.sleep(0.05)
        leaving.spawn(leaving.leave_and_stay())
        await asyncio.sleep(luck.uniform(1, 3))
        await machine.end(signal.SIGKILL, 2)
        store.down = ""
        await asyncio.sleep(luck.uniform(0.1, 0.8))
        machine.start()
        await asyncio.sleep(luck.uniform(3, 7))
        leaving.crash()
        await machine.start_backend(self.world.site, self.world.record)
        for disturbance in disturbances:
            disturbance.end = now()

    async def forgotten_leave(self, machine, luck):
        """A leave is confirmed while the store is away, and all nodes that know of it are killed. Reports from before the
        leave arrive after that."""
        disturbances = [self.world.record.begin(kind, node) for kind, node in
                        (("store", ""), ("kill", ""), ("leave", machine.name))]
        leaving, store = machine.backend, self.world.store
        others = [each for each in self.world.machines if each.name not in self.world.busy]
        self.world.busy.update(each.name for each in others)
        late_s = luck.uniform(*luck.choice(((3, 5), (10, 11))))
        for _ in range(1 + int(late_s)):
            leaving.spawn(leaving.late_report(late_s))
            await asyncio.sleep(luck.uniform(0.7, 1.0))
        store.down = luck.choice(("busy", "silent", "reset"))
        await asyncio.sleep(luck.uniform(0.2, 1))
        leaving.spawn(leaving.leave_and_stay())
        await asyncio.sleep(luck.uniform(0.8, 1.5))
        await asyncio.gather(*(each.end(signal.SIGKILL, 2) for each in [machine] + others))
        if luck.random() < 0.5:
            store.down = ""
        await asyncio.sleep(luck.uniform(0.1, 0.8))
        for each in [machine] + others:
            each.start()
        store.down = ""
        self.world.busy.difference_update(each.name for each in others)
        await asyncio.sleep(luck.uniform(9, 12))
        leaving.crash()
        await machine.start_backend(self.world.site, self.world.record)
        for disturbance in disturbances:
            disturbance.end = now()

    async def link_reset(self, machine, luck):
        """Open links to a machine are reset."""
        disturbance = self.world.record.begin("link")
        machine.link_relay.reset(0.6, luck)
        disturbance.end = now()

    async def link_forgets(self, machine, _luck):
        """Open links to a machine go silent for good, new ones work."""
        disturbance = self.world.record.begin("link")
        machine.link_relay.silence_open()
        disturbance.end = now()

    async def links_stall(self, luck):
        """What is under way over open links arrives after its sender has given it up and asked over a new one."""
        disturbance = self.world.record.begin("link")
        chosen = [machine.link_relay for machine in self.world.machines if luck.random() < 0.5]
        silenced = [(relay, relay.silence_open()) for relay in chosen]
        await asyncio.sleep(luck.uniform(1.3, 1.9))
        for relay, pairs in silenced:
            relay.resume(pairs)
        disturbance.end = now()

    async def store_cut(self, machine, luck):
        """One machine does not reach the store."""
        attribute = luck.choice(("refuses", "silent"))
        await self.for_some_time(luck, machine.store_relay, attribute, True, "store_cut", machine.name)

    async def store_late(self, luck):
        """Writes are done seconds after their answers were lost."""
        self.world.store.late_s = luck.uniform(1, 4)
        await self.for_some_time(luck, self.world.store, "lose_writes", 0.5, "store", "")
        self.world.store.late_s = 0.0

    async def store_lapse(self, luck):
        """The store falls silent while configurations change, and the answers that were due are lost."""
        disturbance = self.world.record.begin("store")
        self.world.store.down = "lapse"
        for _ in range(3):
            await self.config(luck)
            await asyncio.sleep(luck.uniform(0.3, 1.5))
        self.world.store.down = ""
        disturbance.end = now()

    async def store_forgets(self, _luck):
        """Watches have to start over."""
        disturbance = self.world.record.begin("store")
        self.world.store.forget_history()
        disturbance.end = now()

    async def config(self, luck):
        """The operator writes a new configuration."""
        self.world.site.change(luck)
        self.world.site.write(self.world.store, self.world.record)

    async def config_storm(self, luck):
        """Configurations in quick succession."""
        for _ in range(luck.randint(3, 12)):
            await self.config(luck)
            await asyncio.sleep(luck.uniform(0.05, 0.4))

    async def callers_leave(self, luck):
        """Some callers leave early."""
        for caller in self.world.callers:
            caller.leaves_early = 0.3
        await asyncio.sleep(luck.uniform(1, 4))
        for caller in self.world.callers:
            caller.leaves_early = 0.0
