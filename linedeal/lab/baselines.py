"""Other ways to choose, to compare the module with. All keep its gate, so that the rules hold, and its knowledge.

Random choice; most room by the late list; the best of two or three drawn at random, after Mitzenmacher's "The power of two
choices in randomized load balancing"; a fixed subset for each controller, as in deterministic subsetting.
"""

from random import Random

from linedeal.policy import Controller

ON_THE_WAY = 0.02  # seconds from a send until the host has it, in memory
SUBSET = 20  # hosts of a controller's own subset, where there are so many


class Baseline(Controller):
    def fit(self, track) -> list[tuple[float, object]]:
        """Room and host, of those that the gate allows and that are not known to be full."""
        self.refresh_averages()
        ask = track.job.cores, track.job.memory, *track.usage()
        found = [
            (self.free_capacity(ask, host), host)
            for host in self.hosts.values()
            if host.full_until <= self.now and self.launch_allowed(track, host)
        ]
        return [pair for pair in found if pair[0] >= 0]

    def choose_host(self, track):
        fit = self.fit(track)
        return self.pick(fit, track) if fit else None

    def pick(self, fit, track):
        raise NotImplementedError


class RandomChoice(Baseline):
    """Any host that the gate allows and that has room."""

    def pick(self, fit, track):
        return self.random.choice(fit)[1]


class MostFreeCapacity(Baseline):
    """The host with most room by the late list, beside what this controller sent since."""

    def pick(self, fit, track):
        return max(fit, key=lambda pair: pair[0])[1]


class TwoChoices(Baseline):
    drawn = 2

    def pick(self, fit, track):
        return max(self.random.sample(fit, min(self.drawn, len(fit))), key=lambda pair: pair[0])[1]


class ThreeChoices(TwoChoices):
    drawn = 3


class OwnSubset(Baseline):
    """Most room among the same few hosts; others where none of them has room."""

    own: frozenset = frozenset()
    of: int = 0

    def fit(self, track):
        found = super().fit(track)
        if self.of != len(self.hosts):  # drawn anew as hosts come and go; the same for the same hosts
            if not self.of:
                self.seed = self.random.randrange(1 << 30)
            self.of = len(self.hosts)
            order = sorted(self.hosts, key=lambda name: Random(f"{self.seed} {name}").random())
            self.own = frozenset(order[:SUBSET])
        return [pair for pair in found if pair[1].entry.id in self.own] or found

    def pick(self, fit, track):
        return max(fit, key=lambda pair: pair[0])[1]


class OneChooser(Baseline):
    """The bound: all controllers are one chooser that sees what every host has accepted and what is on its way there. In
    memory alone, where `models()` gives the stand-in hosts as they are."""

    models = None
    sent: dict = {}  # by host: when and how much, of all controllers; drawn anew with each day

    def pick(self, fit, track):
        models = type(self).models()

        def asked(host):
            name = host.entry.id
            way = [pair for pair in self.sent.get(name, ()) if self.now - pair[0] < ON_THE_WAY]
            self.sent[name] = way
            model = models.get(name)
            held = sum(copy.job.cores for copy in model.launches.values()) if model is not None else 0.0
            return (held + sum(cores for _, cores in way)) / host.size.cores

        best = min((host for _, host in fit), key=asked)
        self.sent[best.entry.id].append((self.now, track.job.cores))
        return best


POLICIES = {
    "linedeal": Controller,
    "random": RandomChoice,
    "most-room": MostFreeCapacity,
    "two-choices": TwoChoices,
    "three-choices": ThreeChoices,
    "own-subset": OwnSubset,
}
IN_MEMORY_POLICIES = {**POLICIES, "bound": OneChooser}
