"""Plays a day in memory with the hosts' true load sampled, for the measures of `evenness`. The policy is the one given, so
that base lines stand beside the module on the same day."""

from dataclasses import dataclass
from typing import Callable

import anyio

from linedeal.lab.baselines import OneChooser
from linedeal.lab.day import Day
from linedeal.lab.balance_metrics import Arrival, HostAt
from linedeal.lab.inprocess import InProcessCluster
from linedeal.lab.load import Tally
from linedeal.lab.play import run_in_memory, play
from linedeal.lab.record import Entry
from linedeal.policy import Controller
from linedeal.standin.host_pool import SAMPLE_INTERVAL, SampledHostModel, load_shares


@dataclass(frozen=True, slots=True)
class Watched:
    """What a day showed. Times from its first moment, seconds."""

    samples: list[HostAt]
    arrivals: list[Arrival]
    tally: Tally
    entries: list[Entry]


def played_in_memory(
    day: Day, policy: type = Controller, say: Callable[[str], None] = lambda line: None
) -> Watched:
    """The same day, policy and seed give the same course."""
    came: dict[tuple, list] = {}  # by host and launch: when, service, whether it was refused

    def noted(host, launch, service, refused):
        came.setdefault((host, launch), [anyio.current_time(), service, False])[2] |= refused

    async def work(ground: InProcessCluster) -> Watched:
        if issubclass(policy, OneChooser):
            policy.models = staticmethod(
                lambda: {name: ground.servers[name].model for name in ground.host_specs}
            )
            policy.sent = {}
        begun, samples = anyio.current_time(), []

        async def sample():
            at = anyio.current_time()
            while True:
                at += SAMPLE_INTERVAL
                await anyio.sleep_until(at)
                for name, spec in ground.host_specs.items():
                    if not ground.scopes[name].cancel_called and not ground.servers[name].model.crashed:
                        asked, used = load_shares(ground.servers[name].model)
                        samples.append(HostAt(round(at - begun, 3), name, spec.kind, spec.zone, asked, used))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sample)
            tally = await play(day, ground, ground.net, say)
            tasks.cancel_scope.cancel()
        arrivals = [
            Arrival(t - begun, host, ground.host_specs[host].kind, launch[0], service, refused)
            for (host, launch), (t, service, refused) in came.items()
        ]
        return Watched(
            samples, sorted(arrivals, key=lambda arrival: arrival.t), tally, ground.recorder.entries
        )

    return run_in_memory(day, work, policy, model=lambda *rest: SampledHostModel(noted, *rest))
