"""An engine driver that records all effects, so that each test can check the rules at its end."""

from dataclasses import replace

from linedeal.engine import Engine, effects, events
from linedeal.interface import Effect
from linedeal.settings.cluster import parse_cluster
from tests.engine_driver import CLUSTER, OWN_LIFE, EngineDriver


class CheckedEngine(EngineDriver):
    """`changes` are fields of the settings."""

    def __init__(
        self,
        hosts="ab",
        life=OWN_LIFE,
        cluster=CLUSTER.replace("held = 5", "held = 20000"),  # noqa: B008 - a text, never changed
        **changes,
    ):
        self.log = []
        self.engine = Engine(parse_cluster(cluster), "c", life, 7, 0.0)
        settings = replace(self.engine.cluster.settings, **changes)
        self.engine.cluster = replace(self.engine.cluster, settings=settings)
        self.engine.module.settings = settings
        self.engine.begin()
        self.links, self.now = {}, 0.0
        self.list_hosts(hosts)
        for host in hosts:
            self.link_up(host, 1)

    def step_without_timers(self, now, *received):
        emitted = super().step_without_timers(now, *received)
        self.log += [(now, effect) for effect in emitted]
        return emitted

    def submit_job(
        self,
        now,
        offering="web",
        key="k",
        client=1,
        customer="",
        service="s",
        cores=1.0,
        memory=1.0,
        wait=0.0,
        session="",
        **rest,
    ):
        return self.step(
            now,
            events.Submitted(client, key, offering, customer, service, cores, memory, wait, session, **rest),
        )

    def accept(self, now, sent):
        """The link has sent a launch, and the host accepts it."""
        self.step(now, events.LaunchesSent(sent.host, self.links[sent.host], (sent.number,)))
        return self.host_reply(events.Accepted, sent, now)

    def check_rules(self, until, answered=True):
        """Checks rules 1 and 2 on all recorded effects; returns the answers by job.

        Each accepted job has one answer by `until` and is not launched after it, and an irreversible job is
        launched once at most.
        """
        self.advance(until)
        accepted, answers, sent = {}, {}, {}
        for now, effect in self.log:
            match effect:
                case effects.AcceptJob(_, _, job):
                    accepted.setdefault(job, now)
                case effects.SendLaunch(_, _, job):
                    assert job.id not in answers, f"{job.id} was sent after its answer"
                    sent.setdefault(job.id, []).append(effect)
                    offering = self.engine.cluster.settings.offerings.get(job.offering)
                    if offering and offering.effect is Effect.IRREVERSIBLE:
                        assert len(sent[job.id]) == 1, f"{job.id} was sent twice"
                case effects.Answer(_, _, job, verdict):
                    assert job not in answers, f"{job} was answered twice"
                    answers[job] = verdict.value
        if answered:
            owed = [job for job in accepted if job not in answers and job not in self.withdrawn]
            assert not owed, f"never answered: {owed}"
        return answers

    withdrawn = ()
