"""The audit by itself: each rule broken in each way, and what looks like it and is not."""

import pytest

from linedeal.audit import find_breaches
from linedeal.audit import reconstruct_traffic as gather
from linedeal.lab.record import Recorder
from linedeal.lab.report import summarize_offerings
from linedeal.protocol import encode, pb
from linedeal.settings.cluster import parse_cluster
from tests.engine_driver import CLUSTER

CLUSTER = parse_cluster(CLUSTER)


class Script:
    """Writes a record by hand: one controller c, hosts a and b in zones of their own unless told otherwise."""

    def __init__(self, zones=(("a", "z1"), ("b", "z2"))):
        self.r = Recorder()
        self.links = {}
        self.number = 0
        self.front = self.open("c", pb.CLIENT, "owners", 0.0)
        self.watch = self.open("discovery", pb.CONTROLLER, "c", 0.0)
        self.list(0.1, **{name: dict(zone=zone) for name, zone in zones})
        for name, _ in zones:
            self.link(name, 0.2)

    def open(self, to, role, name, t, life=1, number=1):
        link = self.r.opened(t, to)
        self.r.data(t, link, ">", encode(pb.Hello(version=1, role=role, name=name, life=life, link=number)))
        return link

    def link(self, host, t, boot=1, age=100.0, held=(), forgot=False, life=1):
        self.links[host] = self.open(host, pb.CONTROLLER, "c", t, life, number=int(t * 1000))
        self.back(
            t,
            self.links[host],
            pb.Welcome(version=1, name=host, boot=boot, age=age, held=held, forgot=forgot),
        )

    def back(self, t, link, message):
        self.r.data(t, link, "<", encode(message))

    def forth(self, t, link, message):
        self.r.data(t, link, ">", encode(message))

    def list(self, t, whole=True, **hosts):
        entries = [
            pb.HostEntry(**{**dict(id=name, kind="std", mode=pb.SERVING, boot=1, age=100.0 + t), **fields})
            for name, fields in hosts.items()
        ]
        self.back(t, self.watch, pb.HostList(version=1, whole=whole, hosts=entries))

    def job(self, t, offering="web", key="k", service="s", wait=0.0):
        spec = pb.JobSpec(offering=offering, service=service, cores=1.0, memory=1.0)
        self.forth(t, self.front, pb.Submit(key=key, job=spec, wait=wait))
        self.back(t, self.front, pb.Taken(key=key, job=f"c.1.{key}"))
        spec.id = f"c.1.{key}"
        return spec

    def offer(self, t, spec, host, wait=1.0, life=1):
        self.number += 1
        launch = pb.LaunchId(controller="c", life=life, number=self.number)
        self.forth(t, self.links[host], pb.Offer(launch=launch, job=spec, wait=wait))
        return lambda t, kind, **rest: self.back(t, self.links[host], kind(launch=launch, **rest))

    def answer(self, t, spec, verdict=pb.PLACED):
        self.back(t, self.front, pb.Answer(key=spec.id[4:], job=spec.id, verdict=verdict))

    def end(self, t, host):
        self.r.ended(t, self.links[host], "<")

    def broken(self):
        self.r.mark(60.0, "end", "day")
        return {(b.rule, round(b.t, 3)) for b in find_breaches(gather(self.r.entries), CLUSTER)}


def test_a_good_course_breaks_nothing():
    s = Script()
    job = s.job(1.0)
    said = s.offer(1.0, job, "a")
    said(1.1, pb.Accepted)
    s.answer(1.1, job)
    said(1.5, pb.Started)
    said(9.0, pb.Ended, outcome=pb.DONE)
    assert s.broken() == set()


# rule 1


def test_unanswered():
    s = Script()
    s.job(1.0)
    assert s.broken() == {(1, 7.5)}


def test_answered_late():
    s = Script()
    s.answer(7.6, s.job(1.0), pb.REJECTED)
    assert s.broken() == {(1, 7.6)}


def test_answered_twice():
    s = Script()
    job = s.job(1.0)
    s.answer(2.0, job, pb.REJECTED)
    s.answer(2.1, job, pb.PLACED)
    assert s.broken() == {(1, 2.1)}


def test_sent_after_its_answer():
    s = Script()
    job = s.job(1.0)
    s.answer(2.0, job, pb.REJECTED)
    s.offer(2.1, job, "a")
    assert s.broken() == {(1, 2.1)}


def test_taken_twice_under_one_number():
    s = Script()
    for t in (1.0, 2.0):
        s.answer(t, s.job(t), pb.REJECTED)
    assert (1, 2.0) in s.broken()


@pytest.mark.parametrize("what", ["kill", "leave", "take back"])
def test_nothing_is_owed_by_the_dead_or_to_who_left(what):
    s = Script()
    s.job(1.0)
    if what == "kill":
        s.r.mark(2.0, "kill", "c")
    elif what == "leave":
        s.r.ended(2.0, s.front, ">")
    else:
        s.forth(2.0, s.front, pb.TakeBack(key="k"))
    assert s.broken() == set()


@pytest.mark.parametrize("answered, broken", [(9.4, set()), (9.6, {(1, 9.6)})])
def test_a_controller_that_was_stopped_owes_its_answers_as_it_goes_on(answered, broken):
    s = Script()
    job = s.job(1.0)
    s.r.mark(4.0, "stop", "c")
    s.r.mark(9.0, "continue", "c")
    s.answer(answered, job, pb.REJECTED)
    assert s.broken() == broken


# rule 2


def sent_twice(offering, between, zones=(("a", "z"), ("b", "z")), second=2.5, answer=pb.PLACED):
    """A job sent to a and then to b, with `between` told of the first launch."""
    s = Script(zones)
    job = s.job(1.0, offering)
    said = s.offer(1.0, job, "a")
    between(s, said)
    if second:
        s.offer(second, job, "b")(second + 0.1, pb.Accepted)
    s.answer(second + 0.1 if second else 2.2, job, answer)
    return s.broken()


def nothing(s, said):
    pass


def refused(s, said):
    said(1.5, pb.Refused)


def reset(s, said):
    s.end(1.5, "a")


def same_boot(s, said):
    reset(s, said)
    s.link("a", 1.8)


def other_boot(s, said):
    reset(s, said)
    s.link("a", 1.8, boot=2, age=0.2)


def same_boot_forgot(s, said):
    reset(s, said)
    s.link("a", 1.8, forgot=True)


PROVEN, UNPROVEN = [refused, same_boot], [nothing, reset, other_boot, same_boot_forgot]


@pytest.mark.parametrize("between", PROVEN)
def test_irreversible_again_where_the_first_never_ran(between):
    assert sent_twice("feed", between) == set()
    assert sent_twice("feed", between, second=None, answer=pb.REJECTED) == set()


@pytest.mark.parametrize("between", UNPROVEN)
def test_irreversible_again_where_the_first_may_have_run(between):
    assert (2, 2.5) in sent_twice("feed", between)
    assert (2, 2.2) in sent_twice("feed", between, second=None, answer=pb.REJECTED)
    assert sent_twice("feed", between, second=None, answer=pb.WRITTEN_OFF) == set()


@pytest.mark.parametrize("between", UNPROVEN)
def test_redoable_may_always_run_again(between):
    assert sent_twice("web", between) == set()


def test_labelled_stays_in_its_group_and_window():
    apart = (("a", "z1"), ("b", "z2"))
    assert sent_twice("mail", nothing) == set()
    assert sent_twice("mail", nothing, apart) == {(2, 2.5)}
    assert sent_twice("mail", refused, apart) == set()
    assert sent_twice("mail", nothing, second=5.4) == {(2, 5.4)}
    assert sent_twice("mail", nothing, second=None, answer=pb.REJECTED) == {(2, 2.2)}


def test_one_launch_out_at_a_time():
    assert sent_twice("web", nothing, second=1.5) == {(2, 1.5)}
    assert sent_twice("web", nothing, second=2.0) == set()  # the first's time is up
    assert sent_twice("web", refused, second=1.6) == set()
    assert sent_twice("web", reset, second=1.6) == set()


def test_one_launch_number_for_two_launches():
    s = Script()
    one, two = s.job(1.0), s.job(1.0, key="l")
    s.offer(1.0, one, "a")(1.1, pb.Accepted)
    s.number = 0
    s.offer(1.2, two, "b")(1.3, pb.Accepted)
    s.answer(1.1, one)
    s.answer(1.3, two)
    assert s.broken() == {(2, 1.2)}


# rule 3


@pytest.mark.parametrize(
    "told, broken",
    [
        (lambda s: s.list(1.0, False, a=dict(mode=pb.DRAINING)), {(3, 2.5)}),
        (lambda s: s.list(1.0, False, a=dict(mode=pb.GONE)), {(3, 2.5)}),
        (lambda s: s.list(1.0, True, b={}), {(3, 2.5)}),
        (lambda s: s.list(1.6, False, a=dict(mode=pb.DRAINING)), set()),
        (lambda s: (s.list(1.0, False, a=dict(mode=pb.DRAINING)), s.list(1.2, False, a={})), set()),
    ],
)
def test_sent_to_a_host_that_was_told_to_drain(told, broken):
    s = Script()
    told(s)
    job = s.job(2.5)
    s.offer(2.5, job, "a")(2.6, pb.Accepted)
    s.answer(2.6, job)
    assert s.broken() == broken


# rule 4


@pytest.mark.parametrize(
    "count, every, age, broken",
    [(5, 0.1, 1.0, {(4, 2.4)}), (4, 0.1, 1.0, set()), (6, 1.1, 1.0, set()), (9, 0.1, 20.0, set())],
)
def test_a_young_host_bears_so_many_offers(count, every, age, broken):
    s = Script()
    s.link("a", 1.5, boot=2, age=age)
    for i in range(count):
        t = round(2.0 + i * every, 3)
        job = s.job(t, key=f"k{i}")
        s.offer(t, job, "a")(t + 0.05, pb.Accepted)
        s.answer(t + 0.05, job)
    assert s.broken() == broken


# rule 5


@pytest.mark.parametrize("end, broken", [(None, {(5, 3.0)}), (pb.Refused, set()), (pb.Ended, set())])
def test_spread_at_each_send(end, broken):
    s = Script()
    one, two = s.job(1.0, "pair"), s.job(3.0, "pair", key="l")
    said = s.offer(1.0, one, "a")
    said(1.1, end or pb.Accepted)
    s.answer(1.1, one, pb.REJECTED if end is pb.Refused else pb.PLACED)
    s.offer(3.0, two, "a")(3.1, pb.Accepted)
    s.answer(3.1, two)
    assert s.broken() == broken


def test_spread_counts_what_an_earlier_life_left_there():
    s = Script()
    old = pb.JobSpec(id="c.1.old", offering="pair", service="s", cores=1.0, memory=1.0)
    s.offer(0.5, old, "a")(0.6, pb.Accepted)
    s.link(
        "a",
        2.0,
        life=2,
        held=[pb.Held(launch=pb.LaunchId(controller="c", life=1, number=1), job=old, phase=pb.RUNNING)],
    )
    two = s.job(3.0, "pair")
    s.offer(3.0, two, "a", life=2)(3.1, pb.Accepted)
    s.answer(3.1, two)
    assert s.broken() == {(5, 3.0)}


def test_spread_elsewhere_is_free():
    s = Script()
    for i, host in enumerate("ab"):
        job = s.job(1.0 + i, "pair", key=f"k{i}")
        s.offer(1.0 + i, job, host)(1.1 + i, pb.Accepted)
        s.answer(1.1 + i, job)
    assert s.broken() == set()


def test_a_record_that_cannot_be_read_is_named(tmp_path):
    from linedeal.lab.record import RecordError, read_record

    path = tmp_path / "r.jsonl"
    path.write_text('{"t":1,"e":"mark"}\n{"t":')
    with pytest.raises(RecordError, match="line 2"):
        list(read_record(path))


def test_value_counts_served_seconds_and_punctual_starts():
    from linedeal.lab import report
    from linedeal.lab.day import ControllerSpec, Day, HostSpec
    from linedeal.standin.model import HostBehavior

    s = Script()
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
    for i, (started, cores) in enumerate(
        [(1.5, 5.0), (4.5, 15.0)]
    ):  # one calm and punctual; one late, half served
        job = s.job(1.0, key=f"k{i}")
        said = s.offer(1.0, job, "ab"[i])
        said(1.1, pb.Accepted)
        s.answer(1.1, job)
        said(started, pb.Started)
        said(started, pb.Use, cores=cores, memory=1.0)
        said(started + 10, pb.Ended, outcome=pb.DONE)
    traffic = gather(s.r.entries)
    assert report.earned_share(traffic, day, {"web": 2}) == pytest.approx((10 + 4 + 5) / (2 * 14))
    assert report.earned_share(traffic, day, {"web": 4}) == pytest.approx((10 + 4 + 5) / (4 * 14))


# sessions


class Session(Script):
    """The front's link belongs to a session."""

    def open(self, to, role, name, t, life=1, number=1):
        if role != pb.CLIENT:
            return super().open(to, role, name, t, life, number)
        link = self.r.opened(t, to)
        self.r.data(t, link, ">", encode(pb.Hello(version=1, role=role, name=name, session="s")))
        return link

    def standing(self, t, spec, stage):
        self.back(t, self.front, pb.Standing(key=spec.id[4:], job=spec, stage=stage))

    def reopen(self, lost, t):
        self.r.ended(lost, self.front, "<")
        self.front = self.open("c", pb.CLIENT, "owners", t)


def test_a_sessions_job_may_be_joined_and_told_again():
    s = Session()
    job = s.job(1.0)
    s.answer(2.0, job)
    s.reopen(2.5, 3.0)
    s.job(3.1)
    s.answer(3.1, job)
    s.standing(3.2, job, pb.STAGE_RUNNING)
    assert s.broken() == set()


def test_a_job_whose_answer_is_told_by_its_standing_counts_as_answered():
    # guards against a table that calls jobs unanswered whose owner came back and was told
    s = Session()
    s.standing(2.0, s.job(1.0), pb.STAGE_RUNNING)
    assert s.broken() == set()
    (row,) = summarize_offerings(gather(s.r.entries))
    assert (row.placed, row.unanswered) == (1, 0)


def test_a_sessions_job_is_told_another_answer():
    s = Session()
    job = s.job(1.0)
    s.answer(2.0, job)
    s.standing(3.0, job, pb.STAGE_REJECTED)
    assert s.broken() == {(1, 3.0)}


def test_one_key_of_a_session_becomes_two_jobs():
    s = Session()
    s.answer(1.5, s.job(1.0))
    spec = pb.JobSpec(offering="web", service="s", cores=1.0, memory=1.0)
    s.forth(2.0, s.front, pb.Submit(key="k", job=spec))
    s.back(2.0, s.front, pb.Taken(key="k", job="c.2.9"))
    s.back(2.1, s.front, pb.Answer(key="k", job="c.2.9", verdict=pb.PLACED))
    assert s.broken() == {(1, 2.0)}


@pytest.mark.parametrize("again", [3.0, 12.0])
def test_neither_kill_nor_broken_link_excuses_a_session_from_its_answer(again):
    s = Session()
    s.job(1.0)
    s.r.mark(1.5, "kill", "c")
    s.reopen(1.5, again)
    assert s.broken() == {(1, max(7.5, again + 2.5))}


def test_while_no_link_of_the_session_stands_nothing_can_be_told():
    s = Session()
    s.job(1.0)
    s.r.ended(1.5, s.front, "<")
    assert s.broken() == set()


def test_a_held_jobs_time_begins_with_its_release():
    s = Session()
    s.forth(1.0, s.front, pb.Submit(key="k", job=pb.JobSpec(offering="web", service="s"), hold=True))
    s.back(1.0, s.front, pb.Taken(key="k", job="c.1.k"))
    s.back(20.0, s.front, pb.Ordered(key="k", kind=pb.RELEASE))
    assert s.broken() == {(1, 26.5)}


def test_a_later_lifes_welcome_proves_that_a_launch_never_ran():
    for named, found in ((False, set()), (True, {(2, 5.0)})):
        s = Session()
        job = s.job(1.0, "feed")
        s.offer(1.0, job, "a")
        s.r.mark(1.5, "kill", "c")
        s.end(1.5, "a")
        held = (
            [pb.Held(launch=pb.LaunchId(controller="c", life=1, number=1), job=job, phase=pb.RUNNING)]
            if named
            else []
        )
        s.link("a", 3.0, life=2, held=held)
        s.link("b", 3.0, life=2)
        said = s.offer(5.0, job, "b", life=2)
        said(5.1, pb.Accepted)
        s.answer(5.1, job)
        assert s.broken() == found


def test_asks_of_one_key_are_answered_in_order():
    # guards against a client that asks again before it is answered: "taken" is of the oldest ask, not of the last
    script = Script()
    spec = pb.JobSpec(offering="web", service="s", cores=1.0, memory=1.0)
    script.forth(1.0, script.front, pb.Submit(key="k", job=spec))
    script.forth(1.0, script.front, pb.Submit(key="k", job=pb.JobSpec(offering="none")))
    script.back(1.1, script.front, pb.Taken(key="k", job="c.1.k"))
    script.back(1.1, script.front, pb.TurnedAway(key="k", reason="this key waits already"))
    spec.id = "c.1.k"
    script.answer(1.5, spec)
    assert script.broken() == set()
