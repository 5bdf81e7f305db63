"""Tests of the audit alone: each rule broken in each way, and similar traffic that breaks none."""

import pytest

from linedeal.audit import find_breaches, reconstruct_traffic
from linedeal.lab.record import Recorder
from linedeal.lab.report import summarize_offerings
from linedeal.protocol import encode, pb
from linedeal.settings.cluster import parse_cluster
from tests.engine_driver import CLUSTER

CLUSTER = parse_cluster(CLUSTER)


class Script:
    """Writes a record by hand: one controller c, and by default hosts a and b in different zones."""

    def __init__(self, zones=(("a", "z1"), ("b", "z2"))):
        self.recorder = Recorder()
        self.host_links = {}
        self.launch_number = 0
        self.client_link = self.open_link("c", pb.CLIENT, "owners", 0.0)
        self.discovery_link = self.open_link("discovery", pb.CONTROLLER, "c", 0.0)
        self.list_hosts(0.1, **{name: dict(zone=zone) for name, zone in zones})
        for name, _ in zones:
            self.connect_host(name, 0.2)

    def open_link(self, to, role, name, t, life=1, number=1):
        link = self.recorder.opened(t, to)
        self.recorder.data(
            t, link, ">", encode(pb.Hello(version=1, role=role, name=name, life=life, link=number))
        )
        return link

    def connect_host(self, host, t, boot=1, age=100.0, held=(), forgot=False, life=1):
        self.host_links[host] = self.open_link(host, pb.CONTROLLER, "c", t, life, number=int(t * 1000))
        self.receive(
            t,
            self.host_links[host],
            pb.Welcome(version=1, name=host, boot=boot, age=age, held=held, forgot=forgot),
        )

    def receive(self, t, link, message):
        self.recorder.data(t, link, "<", encode(message))

    def send(self, t, link, message):
        self.recorder.data(t, link, ">", encode(message))

    def list_hosts(self, t, whole=True, **hosts):
        entries = [
            pb.HostEntry(**{**dict(id=name, kind="std", mode=pb.SERVING, boot=1, age=100.0 + t), **fields})
            for name, fields in hosts.items()
        ]
        self.receive(t, self.discovery_link, pb.HostList(version=1, whole=whole, hosts=entries))

    def submit_job(self, t, offering="web", key="k", service="s", wait=0.0):
        spec = pb.JobSpec(offering=offering, service=service, cores=1.0, memory=1.0)
        self.send(t, self.client_link, pb.Submit(key=key, job=spec, wait=wait))
        self.receive(t, self.client_link, pb.Taken(key=key, job=f"c.1.{key}"))
        spec.id = f"c.1.{key}"
        return spec

    def offer_launch(self, t, spec, host, wait=1.0, life=1):
        self.launch_number += 1
        launch = pb.LaunchId(controller="c", life=life, number=self.launch_number)
        self.send(t, self.host_links[host], pb.Offer(launch=launch, job=spec, wait=wait))
        return lambda t, kind, **rest: self.receive(t, self.host_links[host], kind(launch=launch, **rest))

    def answer_job(self, t, spec, verdict=pb.PLACED):
        self.receive(t, self.client_link, pb.Answer(key=spec.id[4:], job=spec.id, verdict=verdict))

    def end_host_link(self, t, host):
        self.recorder.ended(t, self.host_links[host], "<")

    def breaches(self):
        self.recorder.mark(60.0, "end", "day")
        return {
            (b.rule, round(b.t, 3))
            for b in find_breaches(reconstruct_traffic(self.recorder.entries), CLUSTER)
        }


def test_a_correct_job_history_breaks_no_rule():
    script = Script()
    job = script.submit_job(1.0)
    reply = script.offer_launch(1.0, job, "a")
    reply(1.1, pb.Accepted)
    script.answer_job(1.1, job)
    reply(1.5, pb.Started)
    reply(9.0, pb.Ended, outcome=pb.DONE)
    assert script.breaches() == set()


# rule 1


def test_a_job_is_never_answered():
    script = Script()
    script.submit_job(1.0)
    assert script.breaches() == {(1, 7.5)}


def test_a_job_is_answered_late():
    script = Script()
    script.answer_job(7.6, script.submit_job(1.0), pb.REJECTED)
    assert script.breaches() == {(1, 7.6)}


def test_a_job_is_answered_twice():
    script = Script()
    job = script.submit_job(1.0)
    script.answer_job(2.0, job, pb.REJECTED)
    script.answer_job(2.1, job, pb.PLACED)
    assert script.breaches() == {(1, 2.1)}


def test_a_job_is_sent_after_its_answer():
    script = Script()
    job = script.submit_job(1.0)
    script.answer_job(2.0, job, pb.REJECTED)
    script.offer_launch(2.1, job, "a")
    assert script.breaches() == {(1, 2.1)}


def test_two_jobs_are_accepted_under_one_id():
    script = Script()
    for t in (1.0, 2.0):
        script.answer_job(t, script.submit_job(t), pb.REJECTED)
    assert (1, 2.0) in script.breaches()


@pytest.mark.parametrize("what", ["kill", "leave", "take back"])
def test_no_answer_is_due_after_a_kill_a_disconnect_or_a_withdrawal(what):
    script = Script()
    script.submit_job(1.0)
    if what == "kill":
        script.recorder.mark(2.0, "kill", "c")
    elif what == "leave":
        script.recorder.ended(2.0, script.client_link, ">")
    else:
        script.send(2.0, script.client_link, pb.TakeBack(key="k"))
    assert script.breaches() == set()


@pytest.mark.parametrize("answered, expected", [(9.4, set()), (9.6, {(1, 9.6)})])
def test_a_paused_controller_answers_within_the_slack_after_it_resumes(answered, expected):
    script = Script()
    job = script.submit_job(1.0)
    script.recorder.mark(4.0, "stop", "c")
    script.recorder.mark(9.0, "continue", "c")
    script.answer_job(answered, job, pb.REJECTED)
    assert script.breaches() == expected


# rule 2


def sent_twice(offering, between, zones=(("a", "z"), ("b", "z")), second=2.5, answer=pb.PLACED):
    """Breaches of a job that is sent to a, then at `second` to b; `between` is what happens to the first."""
    script = Script(zones)
    job = script.submit_job(1.0, offering)
    reply = script.offer_launch(1.0, job, "a")
    between(script, reply)
    if second:
        script.offer_launch(second, job, "b")(second + 0.1, pb.Accepted)
    script.answer_job(second + 0.1 if second else 2.2, job, answer)
    return script.breaches()


def nothing(script, reply):
    pass


def refused(script, reply):
    reply(1.5, pb.Refused)


def link_lost(script, reply):
    script.end_host_link(1.5, "a")


def same_boot(script, reply):
    link_lost(script, reply)
    script.connect_host("a", 1.8)


def other_boot(script, reply):
    link_lost(script, reply)
    script.connect_host("a", 1.8, boot=2, age=0.2)


def same_boot_forgot(script, reply):
    link_lost(script, reply)
    script.connect_host("a", 1.8, forgot=True)


PROVEN, UNPROVEN = [refused, same_boot], [nothing, link_lost, other_boot, same_boot_forgot]


@pytest.mark.parametrize("between", PROVEN)
def test_an_irreversible_job_may_be_sent_again_if_the_first_launch_never_ran(between):
    assert sent_twice("feed", between) == set()
    assert sent_twice("feed", between, second=None, answer=pb.REJECTED) == set()


@pytest.mark.parametrize("between", UNPROVEN)
def test_an_irreversible_job_is_sent_again_although_the_first_launch_may_have_run(between):
    assert (2, 2.5) in sent_twice("feed", between)
    assert (2, 2.2) in sent_twice("feed", between, second=None, answer=pb.REJECTED)
    assert sent_twice("feed", between, second=None, answer=pb.WRITTEN_OFF) == set()


@pytest.mark.parametrize("between", UNPROVEN)
def test_a_redoable_job_may_always_run_again(between):
    assert sent_twice("web", between) == set()


def test_a_labelled_job_is_repeated_only_within_its_domain_and_window():
    two_zones = (("a", "z1"), ("b", "z2"))
    assert sent_twice("mail", nothing) == set()
    assert sent_twice("mail", nothing, two_zones) == {(2, 2.5)}
    assert sent_twice("mail", refused, two_zones) == set()
    assert sent_twice("mail", nothing, second=5.4) == {(2, 5.4)}
    assert sent_twice("mail", nothing, second=None, answer=pb.REJECTED) == {(2, 2.2)}


def test_launches_of_a_job_do_not_overlap():
    assert sent_twice("web", nothing, second=1.5) == {(2, 1.5)}
    assert sent_twice("web", nothing, second=2.0) == set()  # the first launch has timed out
    assert sent_twice("web", refused, second=1.6) == set()
    assert sent_twice("web", link_lost, second=1.6) == set()


def test_one_launch_id_is_used_for_two_launches():
    script = Script()
    one, two = script.submit_job(1.0), script.submit_job(1.0, key="l")
    script.offer_launch(1.0, one, "a")(1.1, pb.Accepted)
    script.launch_number = 0
    script.offer_launch(1.2, two, "b")(1.3, pb.Accepted)
    script.answer_job(1.1, one)
    script.answer_job(1.3, two)
    assert script.breaches() == {(2, 1.2)}


# rule 3


@pytest.mark.parametrize(
    "update, expected",
    [
        (lambda script: script.list_hosts(1.0, False, a=dict(mode=pb.DRAINING)), {(3, 2.5)}),
        (lambda script: script.list_hosts(1.0, False, a=dict(mode=pb.GONE)), {(3, 2.5)}),
        (lambda script: script.list_hosts(1.0, True, b={}), {(3, 2.5)}),
        (lambda script: script.list_hosts(1.6, False, a=dict(mode=pb.DRAINING)), set()),
        (
            lambda script: (
                script.list_hosts(1.0, False, a=dict(mode=pb.DRAINING)),
                script.list_hosts(1.2, False, a={}),
            ),
            set(),
        ),
    ],
)
def test_a_job_is_sent_to_a_draining_host(update, expected):
    script = Script()
    update(script)
    job = script.submit_job(2.5)
    script.offer_launch(2.5, job, "a")(2.6, pb.Accepted)
    script.answer_job(2.6, job)
    assert script.breaches() == expected


# rule 4


@pytest.mark.parametrize(
    "count, every, age, expected",
    [(5, 0.1, 1.0, {(4, 2.4)}), (4, 0.1, 1.0, set()), (6, 1.1, 1.0, set()), (9, 0.1, 20.0, set())],
)
def test_a_host_in_slow_start_is_offered_too_many_jobs(count, every, age, expected):
    script = Script()
    script.connect_host("a", 1.5, boot=2, age=age)
    for i in range(count):
        t = round(2.0 + i * every, 3)
        job = script.submit_job(t, key=f"k{i}")
        script.offer_launch(t, job, "a")(t + 0.05, pb.Accepted)
        script.answer_job(t + 0.05, job)
    assert script.breaches() == expected


# rule 5


@pytest.mark.parametrize("end, expected", [(None, {(5, 3.0)}), (pb.Refused, set()), (pb.Ended, set())])
def test_spread_is_checked_at_each_send(end, expected):
    script = Script()
    one, two = script.submit_job(1.0, "pair"), script.submit_job(3.0, "pair", key="l")
    reply = script.offer_launch(1.0, one, "a")
    reply(1.1, end or pb.Accepted)
    script.answer_job(1.1, one, pb.REJECTED if end is pb.Refused else pb.PLACED)
    script.offer_launch(3.0, two, "a")(3.1, pb.Accepted)
    script.answer_job(3.1, two)
    assert script.breaches() == expected


def test_spread_counts_the_launches_of_an_earlier_incarnation():
    script = Script()
    old = pb.JobSpec(id="c.1.old", offering="pair", service="s", cores=1.0, memory=1.0)
    script.offer_launch(0.5, old, "a")(0.6, pb.Accepted)
    script.connect_host(
        "a",
        2.0,
        life=2,
        held=[pb.Held(launch=pb.LaunchId(controller="c", life=1, number=1), job=old, phase=pb.RUNNING)],
    )
    two = script.submit_job(3.0, "pair")
    script.offer_launch(3.0, two, "a", life=2)(3.1, pb.Accepted)
    script.answer_job(3.1, two)
    assert script.breaches() == {(5, 3.0)}


def test_spread_does_not_limit_other_domains():
    script = Script()
    for i, host in enumerate("ab"):
        job = script.submit_job(1.0 + i, "pair", key=f"k{i}")
        script.offer_launch(1.0 + i, job, host)(1.1 + i, pb.Accepted)
        script.answer_job(1.1 + i, job)
    assert script.breaches() == set()


def test_an_unreadable_record_is_reported_with_its_line(tmp_path):
    from linedeal.lab.record import RecordError, read_record

    path = tmp_path / "r.jsonl"
    path.write_text('{"t":1,"e":"mark"}\n{"t":')
    with pytest.raises(RecordError, match="line 2"):
        list(read_record(path))


def test_value_counts_served_seconds_and_punctual_starts():
    from linedeal.lab import report
    from linedeal.lab.day import ControllerSpec, Day, HostSpec
    from linedeal.standin.model import HostBehavior

    script = Script()
    day = Day(
        "d",
        "",
        CLUSTER,
        1,
        60.0,
        (ControllerSpec("c", "z"),),
        tuple(HostSpec(h, "std", "z", 0, HostBehavior()) for h in "ab"),
        (),
        (),
    )
    # The first starts on time and is served in full; the second starts late, and its host serves half.
    for i, (started, cores) in enumerate([(1.5, 5.0), (4.5, 15.0)]):
        job = script.submit_job(1.0, key=f"k{i}")
        reply = script.offer_launch(1.0, job, "ab"[i])
        reply(1.1, pb.Accepted)
        script.answer_job(1.1, job)
        reply(started, pb.Started)
        reply(started, pb.Use, cores=cores, memory=1.0)
        reply(started + 10, pb.Ended, outcome=pb.DONE)
    traffic = reconstruct_traffic(script.recorder.entries)
    assert report.earned_share(traffic, day, {"web": 2}) == pytest.approx((10 + 4 + 5) / (2 * 14))
    assert report.earned_share(traffic, day, {"web": 4}) == pytest.approx((10 + 4 + 5) / (4 * 14))


# sessions


class Session(Script):
    """As `Script`, but the client's link belongs to a session."""

    def open_link(self, to, role, name, t, life=1, number=1):
        if role != pb.CLIENT:
            return super().open_link(to, role, name, t, life, number)
        link = self.recorder.opened(t, to)
        self.recorder.data(t, link, ">", encode(pb.Hello(version=1, role=role, name=name, session="s")))
        return link

    def send_status(self, t, spec, stage):
        self.receive(t, self.client_link, pb.Standing(key=spec.id[4:], job=spec, stage=stage))

    def reconnect(self, lost, t):
        self.recorder.ended(lost, self.client_link, "<")
        self.client_link = self.open_link("c", pb.CLIENT, "owners", t)


def test_a_sessions_job_may_be_joined_and_answered_again():
    script = Session()
    job = script.submit_job(1.0)
    script.answer_job(2.0, job)
    script.reconnect(2.5, 3.0)
    script.submit_job(3.1)
    script.answer_job(3.1, job)
    script.send_status(3.2, job, pb.STAGE_RUNNING)
    assert script.breaches() == set()


def test_a_status_message_counts_as_an_answer():
    # Guards against a report that counts jobs as unanswered whose owner reconnected and was sent a status.
    script = Session()
    script.send_status(2.0, script.submit_job(1.0), pb.STAGE_RUNNING)
    assert script.breaches() == set()
    (row,) = summarize_offerings(reconstruct_traffic(script.recorder.entries))
    assert (row.placed, row.unanswered) == (1, 0)


def test_a_sessions_job_is_given_a_different_answer():
    script = Session()
    job = script.submit_job(1.0)
    script.answer_job(2.0, job)
    script.send_status(3.0, job, pb.STAGE_REJECTED)
    assert script.breaches() == {(1, 3.0)}


def test_one_key_of_a_session_becomes_two_jobs():
    script = Session()
    script.answer_job(1.5, script.submit_job(1.0))
    spec = pb.JobSpec(offering="web", service="s", cores=1.0, memory=1.0)
    script.send(2.0, script.client_link, pb.Submit(key="k", job=spec))
    script.receive(2.0, script.client_link, pb.Taken(key="k", job="c.2.9"))
    script.receive(2.1, script.client_link, pb.Answer(key="k", job="c.2.9", verdict=pb.PLACED))
    assert script.breaches() == {(1, 2.0)}


@pytest.mark.parametrize("again", [3.0, 12.0])
def test_neither_a_kill_nor_a_lost_link_excuses_a_sessions_answer(again):
    script = Session()
    script.submit_job(1.0)
    script.recorder.mark(1.5, "kill", "c")
    script.reconnect(1.5, again)
    assert script.breaches() == {(1, max(7.5, again + 2.5))}


def test_no_answer_is_due_while_the_session_is_disconnected():
    script = Session()
    script.submit_job(1.0)
    script.recorder.ended(1.5, script.client_link, "<")
    assert script.breaches() == set()


def test_a_held_jobs_time_limit_starts_at_its_release():
    script = Session()
    script.send(
        1.0, script.client_link, pb.Submit(key="k", job=pb.JobSpec(offering="web", service="s"), hold=True)
    )
    script.receive(1.0, script.client_link, pb.Taken(key="k", job="c.1.k"))
    script.receive(20.0, script.client_link, pb.Ordered(key="k", kind=pb.RELEASE))
    assert script.breaches() == {(1, 26.5)}


def test_a_welcome_to_a_later_incarnation_proves_that_a_launch_never_ran():
    for named, expected in ((False, set()), (True, {(2, 5.0)})):
        script = Session()
        job = script.submit_job(1.0, "feed")
        script.offer_launch(1.0, job, "a")
        script.recorder.mark(1.5, "kill", "c")
        script.end_host_link(1.5, "a")
        held = (
            [pb.Held(launch=pb.LaunchId(controller="c", life=1, number=1), job=job, phase=pb.RUNNING)]
            if named
            else []
        )
        script.connect_host("a", 3.0, life=2, held=held)
        script.connect_host("b", 3.0, life=2)
        reply = script.offer_launch(5.0, job, "b", life=2)
        reply(5.1, pb.Accepted)
        script.answer_job(5.1, job)
        assert script.breaches() == expected


def test_submissions_of_one_key_are_answered_in_order():
    # Guards against a reply matched to the wrong submission: a client may submit again before it has a reply,
    # and "taken" then belongs to the oldest submission.
    script = Script()
    spec = pb.JobSpec(offering="web", service="s", cores=1.0, memory=1.0)
    script.send(1.0, script.client_link, pb.Submit(key="k", job=spec))
    script.send(1.0, script.client_link, pb.Submit(key="k", job=pb.JobSpec(offering="none")))
    script.receive(1.1, script.client_link, pb.Taken(key="k", job="c.1.k"))
    script.receive(1.1, script.client_link, pb.TurnedAway(key="k", reason="this key waits already"))
    spec.id = "c.1.k"
    script.answer_job(1.5, spec)
    assert script.breaches() == set()
