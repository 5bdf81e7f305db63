"""Baseline policies to compare the module with.

All of them keep its launch rules, so that the audit's rules hold, and its knowledge of the cluster. They
differ in how they choose a host: at random; most free capacity according to the host list; the best of two or
three random hosts, after Mitzenmacher's "The power of two choices in randomized load balancing"; a fixed
subset for each controller, as in deterministic subsetting.
"""

from random import Random

from linedeal.policy import Controller

TRANSIT_TIME = 0.02  # seconds from sending a launch until the host has it, in memory
SUBSET_SIZE = 20  # hosts in the subset of a controller; all hosts if there are fewer


class Baseline(Controller):
    """The module with another choice of host, made by `select`."""

    def candidates(self, tracked) -> list[tuple[float, object]]:
        """Returns the hosts that the launch rules allow and that are not known to be full.

        Each comes with its free capacity beside the job, as a share of the host.
        """
        self.refresh_averages()
        request = tracked.job.cores, tracked.job.memory, *tracked.usage()
        found = [
            (self.free_capacity(request, host), host)
            for host in self.hosts.values()
            if host.full_until <= self.now and self.launch_allowed(tracked, host)
        ]
        return [pair for pair in found if pair[0] >= 0]

    def choose_host(self, tracked):
        """Returns the host for a job, or None if there is no candidate."""
        candidates = self.candidates(tracked)
        return self.select(candidates, tracked) if candidates else None

    def select(self, candidates, tracked):
        """Returns one of the candidates; there is at least one."""
        raise NotImplementedError


class RandomChoice(Baseline):
    """Any candidate, with equal probability."""

    def select(self, candidates, tracked):
        """Returns a random candidate."""
        return self.random.choice(candidates)[1]


class MostFreeCapacity(Baseline):
    """The host with the most free capacity.

    That is computed from the host list, which lags behind, and from what this controller has launched since.
    """

    def select(self, candidates, tracked):
        """Returns the candidate with the most free capacity."""
        return max(candidates, key=lambda pair: pair[0])[1]


class TwoChoices(Baseline):
    """The better of two random candidates."""

    sample_size = 2

    def select(self, candidates, tracked):
        """Returns the candidate with the most free capacity of a random sample."""
        return max(
            self.random.sample(candidates, min(self.sample_size, len(candidates))), key=lambda pair: pair[0]
        )[1]


class ThreeChoices(TwoChoices):
    """The best of three random candidates."""

    sample_size = 3


class FixedSubset(Baseline):
    """Most free capacity within a fixed subset of hosts; all hosts are candidates if none of these is."""

    subset: frozenset = frozenset()
    subset_host_count: int = 0  # how many hosts were listed when the subset was drawn

    def candidates(self, tracked):
        """Returns the candidates within the subset, or all if there are none."""
        found = super().candidates(tracked)
        # Drawn again when the number of hosts changes; the same for the same hosts.
        if self.subset_host_count != len(self.hosts):
            if not self.subset_host_count:
                self.subset_seed = self.random.randrange(1 << 30)
            self.subset_host_count = len(self.hosts)
            order = sorted(self.hosts, key=lambda name: Random(f"{self.subset_seed} {name}").random())
            self.subset = frozenset(order[:SUBSET_SIZE])
        return [pair for pair in found if pair[1].entry.id in self.subset] or found

    def select(self, candidates, tracked):
        """Returns the candidate with the most free capacity."""
        return max(candidates, key=lambda pair: pair[0])[1]


class CentralScheduler(Baseline):
    """The bound: all controllers act as one scheduler with complete and current information.

    It sees what every host has accepted and what is in transit to it. Only for runs in memory, where
    `host_models()` returns the models of the stand-in hosts.
    """

    host_models = None
    # by host: send time and cores of the launches of all controllers; replaced for each run
    launches_in_transit: dict = {}

    def select(self, candidates, tracked):
        """Returns the candidate with the least load, as a share of its cores."""
        models = type(self).host_models()

        def load(host):
            name = host.entry.id
            in_transit = [
                pair for pair in self.launches_in_transit.get(name, ()) if self.now - pair[0] < TRANSIT_TIME
            ]
            self.launches_in_transit[name] = in_transit
            model = models.get(name)
            held = sum(launch.job.cores for launch in model.launches.values()) if model is not None else 0.0
            return (held + sum(cores for _, cores in in_transit)) / host.size.cores

        best = min((host for _, host in candidates), key=load)
        self.launches_in_transit[best.entry.id].append((self.now, tracked.job.cores))
        return best


# By name, as the command line has them.
POLICIES = {
    "linedeal": Controller,
    "random": RandomChoice,
    "most-room": MostFreeCapacity,
    "two-choices": TwoChoices,
    "three-choices": ThreeChoices,
    "own-subset": FixedSubset,
}
IN_MEMORY_POLICIES = {**POLICIES, "bound": CentralScheduler}
