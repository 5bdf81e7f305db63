"""Clients, customers, hosts and configurations that misbehave within the protocol, against engine and module.

docs/hardening-review.md has the table of faults and stages.
"""

from dataclasses import replace

import pytest

from linedeal import interface as api
from linedeal import policy
from linedeal.controller import translate
from linedeal.engine import effects, events, sessions, timers
from linedeal.engine.control import OrderKind
from linedeal.engine.recovery import OldLaunch, OpenJob, StoredAnswer
from linedeal.interface import Mode
from linedeal.protocol import encode
from linedeal.state import Store
from linedeal.state.journal import Journal
from tests.checked_engine import CheckedEngine

NAN, INF = float("nan"), float("inf")
JOB = api.Job("c.1.1", "web", "", "s", 1.0, 1.0, 9.0)


# Misbehaving customers: the others must not be affected


@pytest.mark.parametrize("field", ["offering", "customer", "service"])
def test_a_job_with_an_overlong_name_is_declined_in_a_short_message(field):
    d = CheckedEngine()
    declined = d.of_type(effects.DeclineJob, d.submit_job(1.0, **{field: "\0" * 400_000}))
    assert len(declined) == 1 and len(encode(translate.message_for_client(declined[0]))) < 1000
    assert d.of_type(effects.SendLaunch, d.submit_job(1.1, key="other"))
    d.check_rules(10)


def test_one_customer_cannot_use_up_the_limit_on_held_jobs():
    d = CheckedEngine()
    d.list_hosts("ab", 0.1, mode=Mode.DRAINING)  # so that all jobs wait
    d.engine.cluster = replace(d.engine.cluster, limits=replace(d.engine.cluster.limits, held=40))
    crowd = [d.submit_job(1.0, key=f"k{i}", customer="crowd") for i in range(60)]
    others = [d.submit_job(1.1, key=f"o{i}", customer=f"school{i}", client=2) for i in range(4)]
    assert sum(len(d.of_type(effects.AcceptJob, emitted)) for emitted in crowd) == 35
    assert all(d.of_type(effects.AcceptJob, emitted) for emitted in others)
    assert d.of_type(effects.DeclineJob, crowd[-1])[0].retry_after > 0
    assert set(d.check_rules(10).values()) == {"rejected"}


def test_one_customers_ended_jobs_do_not_displace_anothers_answer(monkeypatch):
    # guards against forgetting an unseen answer: its owner submits again, and the job would run twice
    monkeypatch.setattr(sessions, "MAX_ENDED_JOBS", 10)
    d = CheckedEngine()
    first = d.of_type(effects.SendLaunch, d.submit_job(1.0, "feed", "press", customer="paper", session="p"))[
        0
    ]
    d.accept(1.1, first)
    for i in range(40):
        sent = d.of_type(
            effects.SendLaunch, d.submit_job(1.2 + i / 100, key=f"k{i}", customer="crowd", session="c")
        )[0]
        d.accept(1.2 + i / 100, sent)
        d.step(
            1.2 + i / 100,
            events.LaunchEnded(
                sent.host, events.LaunchId(3, sent.number), api.Result.DONE, api.Reason.UNTOLD
            ),
        )
    assert len(d.engine.sessions.ledger.entries) <= 12
    emitted = d.submit_job(2.0, "feed", "press", customer="paper", session="p", client=9)
    assert [a.verdict for a in d.of_type(effects.Answer, emitted)] == [
        effects.Verdict.PLACED
    ] and not d.of_type(effects.SendLaunch, emitted)


def test_placement_attempts_per_step_are_bounded_when_thousands_of_job_sizes_wait(monkeypatch):
    d = CheckedEngine()
    d.list_hosts("ab", 0.1, mode=Mode.DRAINING)
    for i in range(2000):  # cores grow while memory falls: no size implies anything about the next
        d.submit_job(0.2, key=f"k{i}", cores=1.0 + i / 1000, memory=4.0 - i / 1000)
    attempts, choose = [], d.engine.module.choose_host
    monkeypatch.setattr(
        d.engine.module, "choose_host", lambda tracked: attempts.append(tracked) or choose(tracked)
    )
    d.list_hosts("ab", 0.3, mode=Mode.DRAINING)
    assert 0 < len(attempts) <= 200
    d.step(0.4)  # later steps try the rest
    for _ in range(30):
        d.advance(d.now + 0.01)
    assert len(attempts) >= 1500
    sent = d.of_type(effects.SendLaunch, d.list_hosts("ab", 0.8, free_cores=9.0, free_memory=18.0))
    assert sent and sent[0].job.id == "c.3.1"  # the first in order is not skipped
    d.check_rules(7)


def test_placement_attempts_per_step_are_bounded_when_there_are_hundreds_of_hosts(monkeypatch):
    # guards against a scheduling pass that delays ends and drains: the cost of a choice grows with the hosts
    d = CheckedEngine()
    hosts = [f"h{i}" for i in range(400)]
    d.list_hosts(hosts, 0.1, mode=Mode.DRAINING)
    for i in range(90):
        d.submit_job(0.2, key=f"k{i}", cores=1.0 + i / 1000, memory=4.0 - i / 1000)
    attempts, choose = [], d.engine.module.choose_host
    monkeypatch.setattr(
        d.engine.module, "choose_host", lambda tracked: attempts.append(tracked) or choose(tracked)
    )
    d.list_hosts(hosts, 0.3, mode=Mode.DRAINING)
    assert 0 < len(attempts) <= 20
    for _ in range(30):
        d.advance(d.now + 0.01)
    assert len(attempts) >= 90


def test_services_with_a_new_name_for_each_job_are_forgotten():
    d = CheckedEngine()
    for i in range(6000):
        d.submit_job(1.0 + i / 1e6, service=f"s{i}", key=f"k{i}", cores=0.001, memory=0.001)
        d.step(1.0 + i / 1e6, events.JobWithdrawn(1, f"k{i}"))
    for launch in list(d.engine.launches.values()):
        d.step(2.0, events.Refused(launch.host, launch.id, api.Reason.UNTOLD, ""))
    d.submit_job(2.1, service="last", key="last")
    assert len(d.engine.module.services) <= 4200


def test_a_service_in_use_is_not_forgotten_and_keeps_its_spread(monkeypatch):
    monkeypatch.setattr(policy, "MAX_SERVICES", 5)
    d = CheckedEngine("a")
    d.accept(1.0, d.of_type(effects.SendLaunch, d.submit_job(1.0, "pair", service="old"))[0])
    for i in range(20):
        d.accept(
            1.1, d.of_type(effects.SendLaunch, d.submit_job(1.1, service=f"s{i}", key=f"k{i}", cores=0.01))[0]
        )
    # at most one of the service per host
    assert not d.of_type(effects.SendLaunch, d.submit_job(1.2, "pair", service="old", key="again"))
    assert not d.of_type(effects.SendLaunch, d.advance(6.0))


def test_one_customers_failing_jobs_do_not_take_hosts_from_the_others():
    d = CheckedEngine("abcd")
    for i in range(3):
        sent = d.of_type(
            effects.SendLaunch, d.submit_job(1.0 + i / 10, key=f"bad{i}", customer="bad", service="bad")
        )[0]
        d.accept(1.0 + i / 10, sent)
        d.step(
            1.0 + i / 10,
            events.LaunchEnded(
                sent.host, events.LaunchId(3, sent.number), api.Result.ERROR, api.Reason.UNTOLD
            ),
        )
    sent = d.of_type(
        effects.SendLaunch,
        [
            e
            for i in range(16)
            for e in d.submit_job(1.4, key=f"g{i}", customer="good", service=f"g{i}", cores=4.0, memory=0.1)
        ],
    )
    assert {launch.host for launch in sent} == set("abcd")
    for launch in sent:
        d.accept(1.5, launch)
    d.check_rules(10)


def test_jobs_that_request_almost_nothing_do_not_pile_up_on_one_host(monkeypatch):
    monkeypatch.setattr(policy, "MAX_ENTRIES_PER_HOST", 50)
    d = CheckedEngine("ab")
    for i in range(120):
        for launch in d.of_type(
            effects.SendLaunch, d.submit_job(1.0, key=f"t{i}", service="tiny", cores=1e-9, memory=1e-9)
        ):
            d.accept(1.0, launch)
    assert sorted(len(host.jobs) for host in d.engine.module.hosts.values()) == [50, 50]
    done = next(iter(d.engine.launches.values()))  # when one ends, another may be placed there
    assert d.of_type(
        effects.SendLaunch,
        d.step(1.1, events.LaunchEnded(done.host, done.id, api.Result.DONE, api.Reason.UNTOLD)),
    )
    d.check_rules(10)


def test_ejections_caused_by_ever_new_customers_are_bounded(monkeypatch):
    monkeypatch.setattr(policy, "MAX_ENTRIES_PER_HOST", 20)
    d = CheckedEngine("ab")
    for i in range(200):
        for sent in d.of_type(effects.SendLaunch, d.submit_job(1.0 + i, key=f"b{i}", customer=f"c{i}")):
            d.accept(1.0 + i, sent)
            d.step(
                1.0 + i,
                events.LaunchEnded(
                    sent.host, events.LaunchId(3, sent.number), api.Result.ERROR, api.Reason.UNTOLD
                ),
            )
    assert max(len(host.ejections) for host in d.engine.module.hosts.values()) <= 21
    d.check_rules(300)


def test_jobs_held_and_withdrawn_leave_no_timers_behind(monkeypatch):
    monkeypatch.setattr(timers, "MIN_CANCELLED", 10)
    d = CheckedEngine()
    for i in range(200):
        d.submit_job(1.0, key=f"k{i}", session="s", hold=i % 2 == 0, start_in=1e6 * (i % 2))
        d.step(1.0, events.JobWithdrawn(1, f"k{i}", "s"))
    assert len(d.engine.timers.heap) <= 30 and not d.engine.unanswered
    assert d.of_type(effects.DeclineJob, d.submit_job(1.1, session="s", start_in=1e9))  # decades ahead


def test_an_order_repeated_many_times_leaves_no_timers_behind(monkeypatch):
    monkeypatch.setattr(timers, "MIN_CANCELLED", 10)
    d = CheckedEngine()
    d.submit_job(1.0, session="s", hold=True)
    for i in range(300):
        d.step(
            1.0 + i * 0.1, events.Ordered(1, "s", "k", OrderKind.RELEASE if i % 2 == 0 else OrderKind.HOLD)
        )
        for launch in list(d.engine.launches.values()):
            d.step(d.now, events.Refused(launch.host, launch.id, api.Reason.UNTOLD, ""))
        d.list_hosts("ab", d.now, free_cores=-9.0)  # so that it is never placed, and can be held again
    d.advance(d.now + 70.0)  # until launches and orphaned launches are forgotten
    d.submit_job(d.now, session="s", key="last", hold=True)
    d.step(d.now, events.JobWithdrawn(1, "last", "s"))
    assert sum(kind == "hold limit" for _, _, kind, _ in d.engine.timers.heap) <= 12


# Hosts that report invalid figures

REPORTS = {
    "use": lambda d, sent, x: [events.UsageReported(sent.host, events.LaunchId(3, sent.number), x, x)],
    "service": lambda d, sent, x: [events.ServiceReported(sent.host, events.LaunchId(3, sent.number), x, x)],
    "list": lambda d, sent, x: [
        events.HostListReceived(
            (replace(d.engine.fleet.hosts[sent.host].listed, free_cores=x, free_memory=x),), False, 2
        )
    ],
    "probe": lambda d, sent, x: [
        events.ProbeReported(sent.host, number, (("idle_cores", x), ("idle_memory", x)))
        for number, host in d.engine.probes.items()
        if host == sent.host
    ],
    "held": lambda d, sent, x: [
        events.LinkUp(
            sent.host,
            9,
            1,
            50.0,
            (
                events.HeldLaunch(events.LaunchId(3, sent.number), sent.job, events.Phase.RUNNING),
                events.HeldLaunch(
                    events.LaunchId(1, 5), replace(JOB, cores=x, memory=x), events.Phase.RUNNING
                ),
            ),
            False,
        )
    ],
    "age": lambda d, sent, x: [
        events.HostListReceived((replace(d.engine.fleet.hosts[sent.host].listed, boot=2, age=x),), False, 2)
    ],
}


@pytest.mark.parametrize("figure", [NAN, INF, -INF, -1e300, 1e300, 1e9])
@pytest.mark.parametrize("what", REPORTS)
def test_a_hosts_invalid_figure_affects_no_other_host(what, figure):
    d = CheckedEngine("abc")
    sent = d.of_type(effects.SendLaunch, d.submit_job(1.0))[0]
    d.accept(1.1, sent)
    d.step(1.2, *REPORTS[what](d, sent, figure))
    d.advance(1.9)
    launched = [
        d.of_type(effects.SendLaunch, d.submit_job(2.0, key=f"k{i}", service=f"new{i}", cores=0.5))
        for i in range(12)
    ]
    assert all(launched), f"{sum(map(bool, launched))} of 12 were sent"
    assert all(
        -INF < figure < INF
        for service in d.engine.module.offering_estimates.values()
        for figure in (service.cores, service.memory)
    )
    d.check_rules(20)


def test_one_hosts_figures_do_not_fill_a_host_whose_capacity_is_unknown():
    d = CheckedEngine("ab")
    d.step(
        1.0,
        events.HostListReceived(
            (
                replace(d.engine.fleet.hosts["a"].listed, free_cores=-1e300, free_memory=-1e300),
                replace(d.engine.fleet.hosts["b"].listed, id="c", free_cores=None, free_memory=None),
            ),
            False,
            2,
        ),
    )
    d.submit_job(1.5)
    module = d.engine.module
    tracked = next(iter(module.tracked_jobs.values()))
    assert (
        module.free_capacity((tracked.job.cores, tracked.job.memory, *tracked.usage()), module.hosts["c"])
        >= 0
    )
    d.check_rules(9)


def test_a_host_whose_capacity_is_unknown_counts_like_the_others():
    d = CheckedEngine("")
    listed = events.ListedHost("a", ("x",), "std", "z", 0, Mode.SERVING, 1, 100.0, -9.5, -9.5)
    d.step(
        1.0,
        events.HostListReceived(
            (listed, replace(listed, id="b"), replace(listed, id="c", free_cores=None)), True, 1
        ),
    )
    assert not d.of_type(effects.SendLaunch, d.submit_job(1.5))
    d.step(2.0, events.HostListReceived((replace(listed, free_cores=5.0, free_memory=15.0),), False, 2))
    d.check_rules(9)


def test_the_usage_of_tiny_jobs_does_not_distort_their_offerings_other_jobs():
    d = CheckedEngine()
    for i in range(30):
        sent = d.of_type(
            effects.SendLaunch,
            d.submit_job(1.0, key=f"t{i}", customer="tiny", service="tiny", cores=1e-9, memory=1e-9),
        )[0]
        d.accept(1.0, sent)
        for _ in range(5):
            d.step(1.0, events.UsageReported(sent.host, events.LaunchId(3, sent.number), 0.01, 0.01))
    assert d.of_type(effects.SendLaunch, d.submit_job(1.1, key="good", service="good", cores=2.0, memory=2.0))
    d.check_rules(20)


def test_a_host_of_an_unknown_kind_receives_no_jobs():
    d = CheckedEngine("")
    d.list_hosts("a", 1.0, kind="unheard of")
    assert not d.of_type(effects.SendLaunch, d.submit_job(1.1, cores=0.1, memory=0.1))
    d.list_hosts("ab", 1.2)
    assert set(d.check_rules(9, answered=False).values()) <= {"placed", "rejected"}


# Configurations that change between two incarnations


def test_a_suspended_job_whose_offering_is_gone_is_rejected_when_it_resumes():
    for job, order in (
        (OpenJob("s", "k", replace(JOB, offering="gone"), 4.0, held=True, follow=True), True),
        (OpenJob("s", "k", replace(JOB, offering="gone"), 4.0, start_in=2.0, follow=True), False),
    ):
        d = CheckedEngine()
        d.engine.recover((job,), ())
        if order:
            d.step(1.0, events.Ordered(1, "s", "k", OrderKind.RELEASE))
        d.advance(8.0)
        assert d.check_rules(9.0) == {"c.1.1": "rejected"}
        assert not d.of_type(effects.SendLaunch, [effect for _, effect in d.log])


def test_a_running_job_whose_offering_is_gone_is_left_alone_and_its_end_reported():
    d = CheckedEngine()
    ran = replace(JOB, offering="gone")
    d.engine.recover((), (StoredAnswer("s", "k", ran, "PLACED", "a", events.LaunchId(1, 4), follow=True),))
    d.step(0.5, events.StatusRequested(1, "s", ""))
    emitted = d.step(
        1.0,
        events.LinkUp(
            "a", 5, 1, 50.0, (events.HeldLaunch(events.LaunchId(1, 4), ran, events.Phase.RUNNING),), False
        ),
    )
    assert not d.of_type(effects.SendStop, emitted)
    emitted = d.step(2.0, events.LaunchEnded("a", events.LaunchId(1, 4), api.Result.DONE, api.Reason.UNTOLD))
    assert [status.stage.name for status in d.of_type(effects.JobStatus, emitted)] == ["DONE"]
    d.check_rules(9.0)


@pytest.mark.parametrize(
    "guarantee, launch_boot, verdict",
    [
        ("IRREVERSIBLE", 0, "written off"),
        ("IRREVERSIBLE", 1, "rejected"),
        ("LABELLED ZONE 4", 0, "written off"),
        ("", 0, "placed"),
        ("REDOABLE", 0, "placed"),
    ],
)
def test_a_recovered_job_keeps_the_effect_guarantee_it_was_accepted_with(guarantee, launch_boot, verdict):
    # the offering is redoable now; the launch may have run if host a has restarted since, and else did not
    d = CheckedEngine()
    d.engine.recover(
        (
            OpenJob(
                "s",
                "k",
                JOB,
                4.0,
                (OldLaunch(events.LaunchId(1, 4), "a", launch_boot, False, 0.5),),
                guarantee=guarantee,
            ),
        ),
        (),
    )
    d.link_up("a", 1, 0.1)
    d.advance(0.4)
    sent = d.of_type(effects.SendLaunch, [effect for _, effect in d.log])
    assert bool(sent) is (verdict == "placed")
    if sent:
        d.accept(0.4, sent[0])
    assert d.check_rules(9.0) == {"c.1.1": verdict}


def test_the_journal_stores_a_jobs_effect_guarantee(tmp_path):
    store = Store(tmp_path)
    journal = Journal(store)
    d = CheckedEngine()
    accepted = d.of_type(
        effects.AcceptJob,
        d.submit_job(1.0, "feed", session="s") + d.submit_job(1.0, "mail", "m", session="s"),
    )
    journal.write(1.0, 1, accepted)
    found = Journal(store).read(2.0, 60.0)
    assert [job.guarantee for job in found.open] == ["IRREVERSIBLE", "LABELLED ZONE 4"]
    store.close()


def test_a_job_is_launched_again_though_the_host_where_it_may_have_run_is_gone():
    d = CheckedEngine("a")
    sent = d.of_type(effects.SendLaunch, d.submit_job(1.0, session="s"))[0]
    d.step(1.0, events.LaunchesSent("a", 1, (sent.number,)))
    d.list_hosts("ab", 1.1, mode=Mode.DRAINING)
    d.link_down("a", 1.2)  # it may have run there
    d.step(1.3, events.Ordered(1, "s", "k", OrderKind.HOLD))
    d.list_hosts("b", 70.0)  # a is gone for good
    d.link_up("b", 1, 70.0)
    again = d.of_type(effects.SendLaunch, d.step(71.0, events.Ordered(1, "s", "k", OrderKind.RELEASE)))
    assert [launch.host for launch in again] == ["b"]
    d.accept(71.1, again[0])
    assert d.check_rules(90.0) == {sent.job.id: "placed"}


def test_a_labelled_job_whose_first_host_is_gone_has_no_group_and_is_written_off():
    d = CheckedEngine("ab")
    mail = replace(JOB, offering="mail")
    d.engine.recover(
        (OpenJob("s", "k", mail, 5.0, (OldLaunch(events.LaunchId(1, 4), "a", 1, False, 0.5),)),), ()
    )
    d.link_up("a", 2, 0.1, age=1.0)  # another boot: it may have run
    d.engine.unresolved.clear()  # as in the step in which it goes back to the module ...
    d.engine.returning.clear()
    d.list_hosts("b", 0.2)  # ... while its host is removed before that
    d.engine.unanswered["c.1.1"].returning = True
    d.engine.unanswered["c.1.1"].uncertain_launch = ("a", 0.0)
    d.engine.returning.append("c.1.1")
    d.engine.timers.arm(0.3, "requeue", "")
    assert not d.of_type(effects.SendLaunch, d.advance(9.0))
    assert d.check_rules(10.0) == {"c.1.1": "written off"}


def test_one_customer_cannot_use_up_the_journal():
    d = CheckedEngine()
    d.list_hosts("ab", 0.1, mode=Mode.DRAINING)
    for i in range(20):
        assert d.of_type(
            effects.AcceptJob,
            d.submit_job(1.0, key=f"k{i}", customer="crowd", session="c", work=b"x" * 60_000),
        )
    d.engine.journal_usage = 1_200_000, 1_300_000  # as the journal would report it, with its limit
    assert d.of_type(
        effects.DeclineJob, d.submit_job(1.1, key="more", customer="crowd", session="c", work=b"x" * 60_000)
    )
    assert d.of_type(effects.AcceptJob, d.submit_job(1.1, key="school", customer="school", session="s"))
    for i in range(20):  # when its jobs are gone, it may have more
        d.step(1.2, events.JobWithdrawn(1, f"k{i}", "c"))
    assert d.of_type(effects.AcceptJob, d.submit_job(1.3, key="more", customer="crowd", session="c"))
    assert d.engine.sessions.journal_bytes.of == {
        "school": sessions.RECORD_BYTES,
        "crowd": sessions.RECORD_BYTES,
    }
