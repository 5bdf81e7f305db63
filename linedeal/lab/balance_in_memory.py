"""Runs a day in memory and samples the true load of its hosts.

The policy is a parameter, so that linedeal's module and the baselines can be compared on the same day.
"""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from linedeal.lab.balance_metrics import Arrival, HostSample
from linedeal.lab.baselines import CentralScheduler
from linedeal.lab.day import Day
from linedeal.lab.inprocess import InProcessCluster
from linedeal.lab.load import Tally
from linedeal.lab.play import play, run_in_memory
from linedeal.lab.record import Entry
from linedeal.policy import Controller
from linedeal.standin.host_pool import SAMPLE_INTERVAL, SampledHostModel, load_shares


@dataclass(frozen=True, slots=True)
class SampledDay:
    """What was recorded on a day. Times are seconds from its start."""

    samples: list[HostSample]
    arrivals: list[Arrival]
    tally: Tally
    entries: list[Entry]


def sample_in_memory(
    day: Day, policy: type = Controller, print_line: Callable[[str], None] = lambda line: None
) -> SampledDay:
    """Runs a day on a mock clock. Equal days, with their seeds, and policies give equal results."""
    arrived: dict[tuple, list] = {}  # by host and launch: arrival time, service, whether it was refused

    def note_arrival(host, launch, service, refused):
        arrived.setdefault((host, launch), [anyio.current_time(), service, False])[2] |= refused

    async def work(cluster: InProcessCluster) -> SampledDay:
        if issubclass(policy, CentralScheduler):
            policy.host_models = staticmethod(
                lambda: {name: cluster.servers[name].model for name in cluster.host_specs}
            )
            policy.launches_in_transit = {}
        start, samples = anyio.current_time(), []

        async def sample():
            at = anyio.current_time()
            while True:
                at += SAMPLE_INTERVAL
                await anyio.sleep_until(at)
                for name, spec in cluster.host_specs.items():
                    if not cluster.scopes[name].cancel_called and not cluster.servers[name].model.crashed:
                        asked, used = load_shares(cluster.servers[name].model)
                        samples.append(
                            HostSample(round(at - start, 3), name, spec.kind, spec.zone, asked, used)
                        )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sample)
            tally = await play(day, cluster, cluster.net, print_line)
            tasks.cancel_scope.cancel()
        arrivals = [
            Arrival(t - start, host, cluster.host_specs[host].kind, launch[0], service, refused)
            for (host, launch), (t, service, refused) in arrived.items()
        ]
        return SampledDay(
            samples, sorted(arrivals, key=lambda arrival: arrival.t), tally, cluster.recorder.entries
        )

    return run_in_memory(day, work, policy, model=lambda *rest: SampledHostModel(note_arrival, *rest))
