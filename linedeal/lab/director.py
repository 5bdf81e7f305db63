"""Plays the orders of a day on a playground, each at its time and undone at its end."""

from dataclasses import replace

import anyio

from linedeal.duties.duty import DutyError
from linedeal.fleet.operator import CouncilUnavailableError
from linedeal.lab.day import Day, Order
from linedeal.lab.load import LoadGenerator
from linedeal.lab.cluster import LabCluster

DRAIN = 3.0  # seconds that a host of a rolling deploy drains before it is replaced


class Director:
    def __init__(self, day: Day, ground: LabCluster, owners: LoadGenerator, say):
        self.day, self.ground, self.owners, self.say = day, ground, owners, say
        self.down: set[str] = set()

    async def run(self) -> None:
        begun = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for order in self.day.orders:
                await anyio.sleep_until(begun + order.at)
                self.say(
                    f"{order.at:6.1f}  {order.verb} {','.join(order.who)} {' '.join(order.args)}".rstrip()
                    + (f" for {order.until - order.at:g} s" if order.until else "")
                )
                tasks.start_soon(self.play, order, begun)

    async def play(self, order: Order, begun: float) -> None:
        try:
            await self.play_through(order, begun)
        except (
            DutyError,
            CouncilUnavailableError,
        ) as error:  # what an operator is told, and may be told in any day
            self.say(f"        {order.verb}: {error}")
            await self.ground.mark("refused", f"{order.verb}: {error}")

    async def play_through(self, order: Order, begun: float) -> None:
        owners = [name for name in order.who if name.startswith("owner:")]
        if owners:  # by name, so that the end of it is for who it began with
            found = tuple([await self.ground.operator.duty_owner(name[6:]) for name in owners])
            self.say(f"        {', '.join(owners)}: {', '.join(found)}")
            order = replace(order, who=tuple(name for name in order.who if name not in owners) + found)
        await getattr(self, order.verb)(order, True)
        if order.until is not None:
            await anyio.sleep_until(begun + order.until)
            await getattr(self, order.verb)(order, False)

    async def kill(self, order: Order, on: bool) -> None:
        for name in order.who:
            if on and name not in self.down:
                self.down.add(name)
                await self.ground.kill(name)
        if not on:
            async with anyio.create_task_group() as tasks:
                for name in order.who:
                    tasks.start_soon(self.revive, name)

    async def revive(self, name: str) -> None:
        if name in self.down:
            await self.ground.start(name)
            self.down.discard(name)

    async def stop(self, order: Order, on: bool) -> None:
        for name in order.who:
            if name not in self.down:
                await self.ground.set_paused(name, on)

    async def each(self, order: Order, command: dict) -> None:
        for name in order.who:
            if name not in self.down:
                await self.ground.order(name, command)

    async def mute(self, order, on):
        await self.each(order, {"mute": on})

    async def slow(self, order, on):
        await self.each(order, {"slow": float(order.args[0]) if on else 0.0})

    async def errors(self, order, on):
        await self.each(order, {"errors": [order.args[0]] if on else []})

    async def refuse(self, order, on):
        await self.each(order, {"refuse": [order.args[0]] if on else []})

    async def pace(self, order, on):
        await self.each(order, {"pace": float(order.args[0]) if on else 1.0})

    async def flush(self, order, on):
        await self.each(order, {"flush": True})

    async def drain(self, order, on):
        """Drains; at its end the host is removed."""
        if on:
            await self.each(order, {"drain": True})
        else:
            await self.kill(order, True)

    async def deploy(self, order, on):
        """Replaces hosts in batches of that share of the named ones: each drains, goes, and comes back young."""
        size = max(1, round(len(order.who) * float(order.args[0]) / 100))
        for first in range(0, len(order.who), size):
            batch = replace(order, who=order.who[first : first + size])
            await self.drain(batch, True)
            await anyio.sleep(DRAIN)
            await self.kill(batch, True)
            await self.kill(batch, False)

    async def cut(self, order, on):
        others = order.args[0].split(",")
        pairs = [(a, b) for a in order.who for b in others if a != b]
        if "one-way" not in order.args:
            pairs += [(b, a) for a, b in pairs]
        await self.ground.cut(pairs, on)

    async def grow(self, order, on):
        count, kind, zone = order.args
        first = len(self.ground.host_specs)
        like = next(spec for spec in self.day.hosts if spec.kind == kind)
        async with anyio.create_task_group() as tasks:
            for i in range(int(count)):
                spec = replace(like, name=f"h{first + i + 1:02}", zone=zone, cell=1000 + i // 4)
                tasks.start_soon(self.ground.start_host, spec, True)

    async def discovery(self, order, on):
        what = order.args[0]
        if what == "late":
            await self.ground.order("discovery", {"late": float(order.args[1]) if on else 0.0})
        else:
            await self.ground.order("discovery", {what: on})

    async def burst(self, order, on):
        self.owners.factor = float(order.args[0]) if on else 1.0

    async def heavy(self, order, on):
        self.owners.heavy = {order.args[0]: float(order.args[1])} if on else {}

    async def favour(self, order, on):
        self.owners.favour = {name: float(order.args[0]) / len(order.who) for name in order.who} if on else {}

    async def hot(self, order, on):
        self.owners.hot = {order.args[0]: float(order.args[1])} if on else {}

    async def surge(self, order, on):
        for name in self.ground.host_specs:
            if name not in self.down:
                await self.ground.order(name, {"surge": {order.args[0]: float(order.args[1])} if on else {}})

    async def campaign(self, order, on):
        name, *rest = order.args
        if not order.who:
            await self.ground.operator.change_campaign(name, rest[0])
        else:
            await self.ground.operator.start_campaign(name, order.who, dict(word.split("=") for word in rest))

    async def hand(self, order, on):
        """Its owner gives the duty up, to whoever comes."""
        await self.ground.operator.hand_over(order.args[0])

    async def jump(self, order, on):
        await self.each(order, {"jump": float(order.args[0])})

    async def loss(self, order, on):
        await self.ground.order("tap", {order.verb: float(order.args[0]) if on else 0.0})

    double = delay = loss
