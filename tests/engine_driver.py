"""Drives an engine step by step on a clock of its own: passes events in, returns the effects."""

from linedeal import interface as api
from linedeal.engine import Engine, effects, events
from linedeal.settings.cluster import parse_cluster

CLUSTER = """
cluster {
  controllers = 1
  confirms = "accepted"
}
young {
  time = 10
  offers = 4
  span = 3
}
kind "std" {
  cores = 10
  memory = 20
}
offering "web" {
  expiry = 6
  effect = "redoable"
}
offering "mail" {
  expiry = 6
  effect = "labelled"
  group = "zone"
  window = 4
}
offering "feed" {
  expiry = 6
  effect = "irreversible"
}
offering "pair" {
  expiry = 6
  effect = "redoable"
  spread = "host"
  most = 1
}
limits {
  held = 5
}
"""
OWN_LIFE = 3  # of the controller under test


class EngineDriver:
    """A controller's engine with a list of hosts, and a link to each of them."""

    def __init__(self, hosts="ab", life=OWN_LIFE):
        self.engine = Engine(parse_cluster(CLUSTER), "c", life, 7, 0.0)
        self.engine.begin()
        self.links = {}
        self.now = 0.0
        self.list_hosts(hosts)
        for host in hosts:
            self.link_up(host, 1)

    def step(self, now, *received):
        """Events at `now`, after the timers due before then, whose effects are in `timer_effects`."""
        self.timer_effects = self.advance(now - 1e-6) if now > self.now else []
        return self.step_without_timers(now, *received)

    def step_without_timers(self, now, *received):
        """Events at `now`, no timer having fired since the last step, as after a stall of the process."""
        self.now = now
        for event in received:
            self.engine.put(event)
        return self.engine.step(now)

    def of_type(self, kind, emitted):
        return [effect for effect in emitted if isinstance(effect, kind)]

    def list_hosts(self, hosts, now=0.0, **changes):
        fields = (
            dict(
                addresses=("x",),
                kind="std",
                zone="z",
                cell=0,
                mode=api.Mode.SERVING,
                boot=1,
                age=100.0,
                free_cores=10.0,
                free_memory=20.0,
            )
            | changes
        )
        return self.step(
            now, events.HostListReceived(tuple(events.ListedHost(host, **fields) for host in hosts), True, 1)
        )

    def link_up(self, host, boot, now=0.0, held=(), forgot=False, age=100.0):
        self.links[host] = self.links.get(host, 0) + 1
        return self.step(now, events.LinkUp(host, self.links[host], boot, age, tuple(held), forgot))

    def link_down(self, host, now, unsent=()):
        return self.step(now, events.LinkDown(host, self.links[host], tuple(unsent)))

    def submit(self, now, offering="web", key="k", client=1, cores=1.0, service="s"):
        return self.step(now, events.Submitted(client, key, offering, "", service, cores, 1.0, 0.0))

    def launch(self, now, offering="web", leave=True, **rest):
        """Submits a job and returns its launch; with `leave`, the link has sent it."""
        sent = self.of_type(effects.SendLaunch, self.submit(now, offering, **rest))[0]
        if leave:
            self.step(now, events.LaunchesSent(sent.host, self.links[sent.host], (sent.number,)))
        return sent

    def host_reply(self, kind, sent, now, *rest):
        return self.step(now, kind(sent.host, events.LaunchId(OWN_LIFE, sent.number), *rest))

    def verdicts(self, emitted):
        return [effect.verdict.value for effect in self.of_type(effects.Answer, emitted)]

    def advance(self, until):
        """Fires all timers due by `until`, each at its time; returns all effects."""
        out = []
        while self.engine.next_due() <= until:
            out += self.step_without_timers(max(self.now, self.engine.next_due()))
        return out + self.step_without_timers(until)
