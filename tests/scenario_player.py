"""Runs a scenario, a text in this notation, against the decision module:

    set KEY=VALUE ...                       settings other than the defaults
    offering NAME KEY=VALUE ...             adds or changes an offering
    quota CUSTOMER CORES                    a customer's quota
    host NAME KEY=VALUE ...                 sets how a host is listed from now on; `T list` sends it
    fleet N                                 adds hosts h0, h1 ...; `T list *` names all hosts so far
    T list NAMES | update NAMES | lost      a whole list, changed entries, a failed subscription
    T job ID OFFERING CORES/MEMORY SERVICE  also `found ID ... HOST` for one that runs already
    T accept ID | started ID | usage ID CORES MEMORY | served ID SHARE
    T end ID RESULT [REASON] [closed] | withdraw ID
    T probe HOST CORES MEMORY | probe HOST -
    T wait                                  advances the time
    > launch ID HOST[|HOST] or * | reject ID | writeoff ID | subscribe | probe HOST | nothing

T is the time in seconds; timers due by then fire first. The lines with > are all actions since the line
before them, in order. Probes and subscriptions are checked only with `watch probe` or `watch subscribe`.
"""

import dataclasses
import heapq

from linedeal import interface as api
from linedeal.policy import Controller

OFFERING = api.Offering(
    name="web",
    expiry=6.0,
    value=1.0,
    effect=api.Effect.REDOABLE,
    dedup_level=api.TopologyLevel.ALL,
    dedup_window=8.0,
    kind=None,
    degradation_start=1.0,
    degradation_span=1.0,
    spread_level=api.TopologyLevel.NONE,
    max_per_domain=2,
)
SETTINGS = api.Settings(
    controllers=1,
    offerings={},
    kinds={},
    quotas={},
    accepts_cores=2.0,
    accepts_memory=1.5,
    starts_confirmed=False,
    host_price=0.0,
    must_subscribe=True,
    subscription_timeout=10.0,
    may_probe=False,
    max_launches=4,
    slow_start_duration=10.0,
    slow_start_limit=20.0,
    slow_start_window=3.0,
)
HOST = api.HostEntry(
    id="", kind="std", zone="z", cell=0, mode=api.Mode.SERVING, booted=0.0, free_cores=10.0, free_memory=20.0
)


def changed(thing, words):
    """A copy of the record with KEY=VALUE words applied, each read as the type of the field.

    >>> changed(HOST, ["cell=3", "mode=draining"]).cell
    3
    """
    values = {}
    for word in words:
        key, text = word.split("=")
        old = getattr(thing, key)
        if isinstance(old, (api.Effect, api.TopologyLevel, api.Mode)):
            values[key] = type(old)[text.upper()]
        elif isinstance(old, bool):
            values[key] = text == "yes"
        else:
            values[key] = text if old is None or isinstance(old, str) else type(old)(float(text))
    return dataclasses.replace(thing, **values)


class ScenarioPlayer:
    def __init__(self, text, seed=7):
        self.lines, self.seed = text.splitlines(), seed
        self.settings, self.offerings, self.listed = SETTINGS, {"web": OFFERING}, {}
        self.kinds = {"std": api.HostKind(10.0, 20.0), "big": api.HostKind(20.0, 40.0)}
        self.quotas, self.checked_actions, self.host_of_job, self.timers = {}, set(), {}, []
        self.actions, self.controller, self.now = [], None, 0.0

    def run(self):
        for number, line in enumerate(self.lines + ["end of file"], 1):
            words = line.split("#")[0].split()
            try:
                if words and words[0] == ">":
                    self.expect(words[1:])
                elif words and words[0] == "end":
                    assert not self.actions, f"also did {self.actions}"
                elif words:
                    self.line(words)
            except AssertionError as error:
                raise AssertionError(f"line {number}: {line.strip()}: {error}") from None

    def line(self, words):
        name, rest = words[0], words[1:]
        if name == "set":
            self.settings = changed(self.settings, rest)
        elif name == "quota":
            self.quotas[rest[0]] = float(rest[1])
        elif name == "watch":
            self.checked_actions.update(rest)
        elif name == "offering":
            old = self.offerings.get(rest[0], dataclasses.replace(OFFERING, name=rest[0]))
            self.offerings[rest[0]] = changed(old, rest[1:])
        elif name == "host":
            old = self.listed.get(rest[0], dataclasses.replace(HOST, id=rest[0]))
            self.listed[rest[0]] = changed(old, rest[1:])
        elif name == "fleet":
            for number in range(int(rest[0])):
                self.line(["host", f"h{number}"])
        else:
            assert not self.actions, f"did {self.actions}"
            if self.controller is None:
                settings = dataclasses.replace(
                    self.settings, offerings=self.offerings, kinds=self.kinds, quotas=self.quotas
                )
                self.controller = Controller(settings, self.seed, 0.0)
                self.perform(self.controller.begin())
            self.advance(float(name))
            if rest[0] != "wait":
                self.handle(self.event(*rest))

    def advance(self, until):
        while self.timers and self.timers[0][0] <= until:
            self.now, _, key = heapq.heappop(self.timers)
            self.handle(api.TimerFired(key))
        self.now = until

    def handle(self, event):
        self.perform(self.controller.handle(self.now, event))
        self.perform(self.controller.schedule_waiting(self.now))

    def event(self, name, *words):
        if name in ("list", "update"):
            names = self.listed if words == ("*",) else words
            return api.HostsListed(tuple(self.listed[word] for word in names), name == "list")
        if name == "lost":
            return api.ListLost()
        if name == "probe":
            report = (
                {} if words[1] == "-" else {"idle_cores": float(words[1]), "idle_memory": float(words[2])}
            )
            return api.HostProbed(words[0], bool(report), report)
        job_id = words[0]
        if name in ("job", "found"):
            cores, memory = words[2].split("/")
            customer = words[4] if name == "job" and len(words) > 4 else ""
            job = api.Job(
                job_id,
                words[1],
                customer,
                words[3],
                float(cores),
                float(memory),
                self.now + self.offerings[words[1]].expiry,
            )
            if name == "found":
                self.host_of_job[job_id] = words[4]
            return api.JobArrived(job) if name == "job" else api.JobFound(job, words[4])
        host = self.host_of_job.get(job_id, "nowhere")
        if name == "accept":
            return api.LaunchConfirmed(job_id, 0, host)
        if name == "started":
            return api.MetricReported(job_id, host, "started", 1.0)
        if name == "served":
            return api.MetricReported(job_id, host, "served", float(words[1]))
        if name == "usage":
            self.handle(api.MetricReported(job_id, host, "cores", float(words[1])))
            return api.MetricReported(job_id, host, "memory", float(words[2]))
        if name == "end":
            reasons = [word for word in words[2:] if word != "closed"]
            return api.LaunchEnded(
                job_id,
                0,
                host,
                api.Result[words[1].upper()],
                api.Reason[reasons[0].upper()] if reasons else api.Reason.UNTOLD,
                "closed" in words,
            )
        assert name == "withdraw", f"unknown word {name}"
        return api.JobWithdrawn(job_id)

    def perform(self, actions):
        for action in actions:
            match action:
                case api.Launch(job, host):
                    self.host_of_job[job] = host
                    self.actions.append(("launch", job, host))
                case api.Reject(job):
                    self.actions.append(("reject", job))
                case api.WriteOff(job):
                    self.actions.append(("writeoff", job))
                case api.Timer(delay, key):
                    heapq.heappush(self.timers, (self.now + delay, len(self.timers), key))
                case api.Subscribe() if "subscribe" in self.checked_actions:
                    self.actions.append(("subscribe",))
                case api.Probe(host) if "probe" in self.checked_actions:
                    self.actions.append(("probe", host))

    def expect(self, words):
        if words == ["nothing"]:
            assert not self.actions, f"did {self.actions}"
            return
        assert self.actions, "nothing was done"
        actual = self.actions.pop(0)
        assert len(actual) == len(words) and all(
            b == "*" or a in b.split("|") for a, b in zip(actual, words, strict=False)
        ), f"did {actual}"
