"""Executes the orders of a day on a test cluster, each at its time, and reverts those with a duration."""

from dataclasses import replace

import anyio

from linedeal.duties.duty import DutyError
from linedeal.fleet.operator import CouncilUnavailableError
from linedeal.lab.cluster import LabCluster
from linedeal.lab.day import Day, Order
from linedeal.lab.load import LoadGenerator

DRAIN_TIME = 3.0  # seconds for which a host drains in a rolling deploy before it is replaced


class Director:
    """Applies a day's faults and commands to a test cluster.

    Each verb of day files has a method of the same name. It applies the order, or reverts it if `on` is
    false.
    """

    def __init__(self, day: Day, cluster: LabCluster, load: LoadGenerator, print_line):
        """`print_line`: called with each line of progress."""
        self.day, self.cluster, self.load, self.print_line = day, cluster, load, print_line
        self.down: set[str] = set()  # names of killed processes

    async def run(self) -> None:
        """Executes all orders of the day; returns when the last has been reverted."""
        begun = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for order in self.day.orders:
                await anyio.sleep_until(begun + order.at)
                self.print_line(
                    f"{order.at:6.1f}  {order.verb} {','.join(order.who)} {' '.join(order.args)}".rstrip()
                    + (f" for {order.until - order.at:g} s" if order.until else "")
                )
                tasks.start_soon(self.play, order, begun)

    async def play(self, order: Order, begun: float) -> None:
        """Executes one order. A refusal by the council is printed and recorded; it does not end the day."""
        try:
            await self.apply_and_revert(order, begun)
        except (DutyError, CouncilUnavailableError) as error:
            self.print_line(f"        {order.verb}: {error}")
            await self.cluster.mark("refused", f"{order.verb}: {error}")

    async def apply_and_revert(self, order: Order, begun: float) -> None:
        """Applies the order and, if it has a duration, reverts it. `begun`: loop time of the day's start."""
        owners = [name for name in order.who if name.startswith("owner:")]
        if owners:
            # Resolved once: the order is reverted where it was applied, even if the duty has another owner
            # by then.
            owner_names = tuple([await self.cluster.operator.duty_owner(name[6:]) for name in owners])
            self.print_line(f"        {', '.join(owners)}: {', '.join(owner_names)}")
            order = replace(order, who=tuple(name for name in order.who if name not in owners) + owner_names)
        await getattr(self, order.verb)(order, True)
        if order.until is not None:
            await anyio.sleep_until(begun + order.until)
            await getattr(self, order.verb)(order, False)

    async def kill(self, order: Order, on: bool) -> None:
        """Kills processes; starts them again at the end."""
        for name in order.who:
            if on and name not in self.down:
                self.down.add(name)
                await self.cluster.kill(name)
        if not on:
            async with anyio.create_task_group() as tasks:
                for name in order.who:
                    tasks.start_soon(self.restart, name)

    async def restart(self, name: str) -> None:
        """Starts a process that this director has killed."""
        if name in self.down:
            await self.cluster.start(name)
            self.down.discard(name)

    async def stop(self, order: Order, on: bool) -> None:
        """Pauses processes; resumes them at the end."""
        for name in order.who:
            if name not in self.down:
                await self.cluster.set_paused(name, on)

    async def send_to_each(self, order: Order, command: dict) -> None:
        """Sends a JSON order to each process that the order names and that is not killed."""
        for name in order.who:
            if name not in self.down:
                await self.cluster.order(name, command)

    async def mute(self, order, on):
        """Hosts drop all their messages except answers to probes."""
        await self.send_to_each(order, {"mute": on})

    async def slow(self, order, on):
        """Hosts delay their messages by that many seconds."""
        await self.send_to_each(order, {"slow": float(order.args[0]) if on else 0.0})

    async def errors(self, order, on):
        """Jobs of an offering fail on these hosts."""
        await self.send_to_each(order, {"errors": [order.args[0]] if on else []})

    async def refuse(self, order, on):
        """Hosts refuse the jobs of a customer without giving a reason."""
        await self.send_to_each(order, {"refuse": [order.args[0]] if on else []})

    async def pace(self, order, on):
        """Hosts run at that fraction of their speed."""
        await self.send_to_each(order, {"pace": float(order.args[0]) if on else 1.0})

    async def flush(self, order, on):
        """Hosts lose their cached programs."""
        await self.send_to_each(order, {"flush": True})

    async def drain(self, order, on):
        """Drains hosts; at the end they are killed and not restarted."""
        if on:
            await self.send_to_each(order, {"drain": True})
        else:
            await self.kill(order, True)

    async def deploy(self, order, on):
        """Rolling restart, in batches of that percentage of the named hosts: drain, kill, start again."""
        size = max(1, round(len(order.who) * float(order.args[0]) / 100))
        for first in range(0, len(order.who), size):
            batch = replace(order, who=order.who[first : first + size])
            await self.drain(batch, True)
            await anyio.sleep(DRAIN_TIME)
            await self.kill(batch, True)
            await self.kill(batch, False)

    async def cut(self, order, on):
        """Partitions the network between two groups, in both directions or one way."""
        others = order.args[0].split(",")
        pairs = [(a, b) for a in order.who for b in others if a != b]
        if "one-way" not in order.args:
            pairs += [(b, a) for a, b in pairs]
        await self.cluster.cut(pairs, on)

    async def grow(self, order, on):
        """Adds that many hosts of a kind in a zone, in new cells of four."""
        count, kind, zone = order.args
        first = len(self.cluster.host_specs)
        template = next(spec for spec in self.day.hosts if spec.kind == kind)
        async with anyio.create_task_group() as tasks:
            for i in range(int(count)):
                spec = replace(template, name=f"h{first + i + 1:02}", zone=zone, cell=1000 + i // 4)
                tasks.start_soon(self.cluster.start_host, spec, True)

    async def discovery(self, order, on):
        """Takes discovery down, delays its lists, or ends all watches once."""
        fault = order.args[0]
        if fault == "late":
            await self.cluster.order("discovery", {"late": float(order.args[1]) if on else 0.0})
        else:
            await self.cluster.order("discovery", {fault: on})

    async def burst(self, order, on):
        """Multiplies the rate of all jobs."""
        self.load.factor = float(order.args[0]) if on else 1.0

    async def heavy(self, order, on):
        """Multiplies the cores and memory that jobs of an offering request."""
        self.load.heavy = {order.args[0]: float(order.args[1])} if on else {}

    async def favour(self, order, on):
        """Submits that share of all jobs to the named controllers, distributed evenly."""
        self.load.favour = {name: float(order.args[0]) / len(order.who) for name in order.who} if on else {}

    async def hot(self, order, on):
        """Assigns that share of an offering's jobs to its first service."""
        self.load.hot = {order.args[0]: float(order.args[1])} if on else {}

    async def surge(self, order, on):
        """Multiplies the usage of running jobs of a service, on all hosts."""
        for name in self.cluster.host_specs:
            if name not in self.down:
                await self.cluster.order(name, {"surge": {order.args[0]: float(order.args[1])} if on else {}})

    async def campaign(self, order, on):
        """Starts a campaign, or pauses, resumes or aborts one."""
        name, *rest = order.args
        if not order.who:
            await self.cluster.operator.change_campaign(name, rest[0])
        else:
            await self.cluster.operator.start_campaign(
                name, order.who, dict(word.split("=") for word in rest)
            )

    async def hand(self, order, on):
        """Takes the duty from its owner, for any other controller to claim."""
        await self.cluster.operator.hand_over(order.args[0])

    async def jump(self, order, on):
        """Sets the clocks of controllers forward by that many seconds."""
        await self.send_to_each(order, {"jump": float(order.args[0])})

    async def loss(self, order, on):
        """Drops that share of the council's packets; `double` duplicates it, `delay` is in seconds."""
        await self.cluster.order("tap", {order.verb: float(order.args[0]) if on else 0.0})

    double = delay = loss
