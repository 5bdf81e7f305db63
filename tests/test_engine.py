"""The engine alone: late, duplicate, unknown and missing answers, broken links and stalls."""

import pytest

from linedeal import interface as api
from linedeal.engine import effects, events
from linedeal.engine.engine import InvariantError
from linedeal.interface import Reason, Result
from tests.engine_driver import OWN_LIFE, EngineDriver


def held_by(sent, phase=events.Phase.ACCEPTED, life=OWN_LIFE):
    return events.HeldLaunch(events.LaunchId(life, sent.number), sent.job, phase)


def test_a_job_is_accepted_launched_and_answered_once():
    d = EngineDriver()
    emitted = d.submit(1.0)
    assert [type(e) for e in emitted] == [effects.AcceptJob, effects.SendProbe, effects.SendLaunch]
    sent = emitted[-1]
    d.step(1.0, events.LaunchesSent(sent.host, 1, (sent.number,)))
    assert d.verdicts(d.host_reply(events.Accepted, sent, 1.1)) == ["placed"]
    assert d.verdicts(d.host_reply(events.Accepted, sent, 1.2)) == []
    assert d.engine.unanswered == {}


def test_an_acceptance_after_the_timeout_is_no_answer_and_stops_the_launch():
    # guards against counting a late acceptance as the answer: the job has been launched elsewhere by then
    d = EngineDriver()
    first = d.launch(1.0)
    emitted = d.advance(1.6)
    second = d.of_type(effects.SendLaunch, emitted)[0]
    assert second.host != first.host
    # its host is told of the cancellation
    assert effects.SendStop(first.host, events.LaunchId(OWN_LIFE, first.number)) in emitted
    d.step(1.6, events.LaunchesSent(second.host, 1, (second.number,)))
    late = d.host_reply(events.Accepted, first, 1.7)
    assert d.verdicts(late) == []
    assert effects.SendStop(first.host, events.LaunchId(OWN_LIFE, first.number)) in late
    assert d.verdicts(d.host_reply(events.Accepted, second, 1.8)) == ["placed"]


def test_an_irreversible_job_accepted_late_is_left_running_and_counted_on_its_host():
    # guards against stopping the only run of a job that was written off
    d = EngineDriver()
    sent = d.launch(1.0, "feed")
    assert d.verdicts(d.advance(7.5)) == ["written off"]
    late = d.host_reply(events.Accepted, sent, 7.6)
    assert d.verdicts(late) == [] and not d.of_type(effects.SendStop, late)
    assert sent.job.id in d.engine.module.tracked_jobs


def test_answers_for_unknown_launches_change_nothing():
    d = EngineDriver()
    sent = d.launch(1.0)
    other = "b" if sent.host == "a" else "a"
    wrong_host = d.step(1.1, events.Accepted(other, events.LaunchId(OWN_LIFE, sent.number)))
    assert d.verdicts(wrong_host) == []
    d.step(
        1.1,
        events.Refused(sent.host, events.LaunchId(OWN_LIFE, 99), Reason.CORES),
        events.Started("nowhere", events.LaunchId(1, 1)),
    )
    assert d.engine.counts["for an unknown launch"] == 3
    assert d.verdicts(d.host_reply(events.Accepted, sent, 1.2)) == ["placed"]


def test_a_refusal_after_the_acceptance_is_ignored():
    d = EngineDriver()
    sent = d.launch(1.0)
    d.host_reply(events.Accepted, sent, 1.1)
    assert not d.of_type(effects.SendLaunch, d.host_reply(events.Refused, sent, 1.2, Reason.CORES))
    assert sent.job.id in d.engine.by_job


def test_a_launch_that_was_never_sent_did_not_run():
    d = EngineDriver()
    sent = d.launch(1.0, "feed", leave=False)
    again = d.of_type(effects.SendLaunch, d.link_down(sent.host, 1.1, unsent=(sent.number,)))
    assert [launch.host != sent.host for launch in again] == [True]  # launched again although irreversible


def test_a_redoable_job_is_launched_again_when_its_link_breaks():
    d = EngineDriver()
    sent = d.launch(1.0)
    again = d.of_type(effects.SendLaunch, d.link_down(sent.host, 1.1))
    assert again and again[0].host != sent.host


def test_a_probe_is_lost_with_its_link():
    # guards against counting one broken link as two failures, which doubles the host's backoff
    d = EngineDriver("a")
    d.submit(1.0)
    assert list(d.engine.probes.values()) == ["a"]
    d.link_down("a", 1.1)
    assert not d.engine.probes


def test_an_outdated_list_entry_does_not_change_a_hosts_age():
    # guards against a late list that makes a host in slow start count as warmed up
    d = EngineDriver("a")
    d.list_hosts("a", 1.0, boot=5, age=0.5)
    d.list_hosts("a", 1.2, boot=1, age=500.0)
    assert d.engine.fleet.hosts["a"].listed.boot == 5
    d.list_hosts("a", 1.4, boot=5, age=3.0)  # the same boot, computed from a late entry
    assert d.engine.module.hosts["a"].entry.booted == 0.5


def test_an_irreversible_job_waits_for_proof_when_its_link_breaks():
    # guards against repeating a launch that was in a socket buffer as the link broke and may have arrived
    d = EngineDriver()
    sent = d.launch(1.0, "feed")
    assert not d.of_type(effects.SendLaunch, d.link_down(sent.host, 1.1))
    assert not d.of_type(effects.Answer, d.advance(2.0))


def test_an_inventory_of_the_same_boot_without_a_launch_proves_that_it_never_ran():
    d = EngineDriver()
    sent = d.launch(1.0, "feed")
    d.link_down(sent.host, 1.1)
    emitted = d.link_up(sent.host, 1, 1.3)
    assert d.of_type(effects.SendLaunch, emitted)
    assert d.engine.counts["proven not run"] == 1


@pytest.mark.parametrize("boot, forgot", [(2, False), (1, True)])
def test_another_boot_or_a_host_that_forgot_proves_nothing(boot, forgot):
    # guards against a host that restarts at the same address within the timeout: the job may have run before
    d = EngineDriver()
    sent = d.launch(1.0, "feed")
    d.link_down(sent.host, 1.1)
    emitted = d.link_up(sent.host, boot, 1.3, forgot=forgot, age=0.1)
    assert d.verdicts(emitted) == ["written off"]
    assert not d.of_type(effects.SendLaunch, emitted)


def test_a_launch_in_the_inventory_counts_as_accepted():
    d = EngineDriver()
    sent = d.launch(1.0, "feed")
    d.link_down(sent.host, 1.1)
    assert d.verdicts(d.link_up(sent.host, 1, 1.3, [held_by(sent)])) == ["placed"]


def test_a_launch_queued_while_the_link_opens_is_not_judged_by_the_inventory():
    # guards against treating such a launch as missing: the host cannot have known it
    d = EngineDriver()
    d.link_down("a", 0.5)
    d.link_down("b", 0.5)
    sent = d.launch(1.0, "feed", leave=False)
    assert not d.of_type(effects.SendLaunch, d.link_up(sent.host, 1, 1.1))
    assert d.engine.launches[events.LaunchId(OWN_LIFE, sent.number)].job is sent.job


def test_jobs_of_an_earlier_incarnation_are_found_and_their_ends_acknowledged():
    d = EngineDriver()
    job = api.Job("c.2.9", "web", "", "s", 1.0, 1.0, 0.0)
    old, over = events.LaunchId(2, 9), events.LaunchId(2, 8)
    emitted = d.link_up(
        "a",
        1,
        1.0,
        [
            events.HeldLaunch(old, job, events.Phase.RUNNING),
            events.HeldLaunch(over, api.Job("c.2.8", "web", "", "s", 1.0, 1.0, 0.0), events.Phase.OVER),
        ],
    )
    assert effects.SendEndSeen("a", over) in emitted
    assert "c.2.9" in d.engine.module.tracked_jobs
    assert d.of_type(
        effects.SendEndSeen, d.step(2.0, events.LaunchEnded("a", old, Result.DONE, Reason.UNTOLD))
    )
    assert "c.2.9" not in d.engine.module.tracked_jobs


def test_a_placed_job_is_lost_when_its_host_restarts():
    d = EngineDriver()
    sent = d.launch(1.0)
    d.host_reply(events.Accepted, sent, 1.1)
    d.link_down(sent.host, 2.0)
    assert sent.job.id in d.engine.module.tracked_jobs  # it runs on without the link
    d.link_up(sent.host, 2, 3.0, age=0.5)
    assert sent.job.id not in d.engine.module.tracked_jobs


def test_a_new_link_reports_a_host_start_before_the_list_does():
    # guards against overloading a host that restarted between two lists: rule 4 counts from its boot
    d = EngineDriver("a")
    d.link_down("a", 1.0)
    d.link_up("a", 2, 4.0, age=0.5)
    sent = [d.of_type(effects.SendLaunch, d.submit(5.0, key=f"k{i}")) for i in range(5)]
    assert 0 < sum(map(len, sent)) < 4


def test_a_controller_that_stalled_reads_before_it_cancels():
    # guards against a stall of some seconds: answers lie unread while their timeouts are overdue
    d = EngineDriver()
    sent = d.launch(1.0, "feed")
    emitted = d.step_without_timers(6.99)  # late: the timeout is due, the acceptance not read yet
    assert not d.of_type(effects.Answer, emitted)
    assert [message.event for message in d.of_type(effects.LogMessage, emitted)] == ["stood still"]
    assert d.verdicts(d.host_reply(events.Accepted, sent, 7.0)) == ["placed"]


def test_a_controller_that_stalled_still_answers():
    # guards against postponing the timeouts again and again
    d = EngineDriver()
    d.launch(1.0, "feed")
    d.step_without_timers(9.0)
    assert d.verdicts(d.advance(9.1)) == ["written off"]


def test_a_client_that_disconnects_withdraws_its_jobs_while_a_launch_is_out():
    d = EngineDriver()
    sent = d.launch(1.0)
    emitted = d.step(1.1, events.ClientDisconnected(1))
    assert effects.SendStop(sent.host, events.LaunchId(OWN_LIFE, sent.number)) in emitted
    late = d.host_reply(events.Accepted, sent, 1.2)
    assert not d.of_type(effects.Answer, late) and d.of_type(effects.SendStop, late)
    d.step(
        1.3,
        events.LaunchEnded(sent.host, events.LaunchId(OWN_LIFE, sent.number), Result.STOPPED, Reason.UNTOLD),
    )
    assert not d.engine.launches and not d.engine.module.tracked_jobs


def test_a_launch_that_waits_for_its_link_is_withheld_at_its_timeout():
    # guards against sending a launch after its cancellation
    d = EngineDriver()
    sent = d.launch(1.0, leave=False)
    emitted = d.advance(1.52)
    assert effects.WithholdLaunch(sent.host, sent.number) in emitted
    assert d.of_type(effects.SendLaunch, d.step(1.53, events.LaunchesUnsent(sent.host, (sent.number,))))


def test_jobs_beyond_the_limit_are_declined():
    d = EngineDriver()
    d.list_hosts("ab", 0.1, mode=api.Mode.DRAINING)  # so that all jobs wait
    emitted = [d.submit(1.0, key=f"k{i}") for i in range(6)]
    declined = d.of_type(effects.DeclineJob, emitted[5])
    assert len(declined) == 1 and declined[0].retry_after > 0 and not d.of_type(effects.AcceptJob, emitted[5])
    assert all(d.of_type(effects.AcceptJob, of_job) for of_job in emitted[:5])


@pytest.mark.parametrize(
    "field, value",
    [("offering", "none"), ("cores", float("nan")), ("wait", float("inf")), ("memory", 0.0), ("cores", -1.0)],
)
def test_a_job_that_cannot_be_placed_is_declined(field, value):
    d = EngineDriver()
    fields = dict(
        client=1, key="k", offering="web", customer="", service="s", cores=1.0, memory=1.0, wait=0.0
    )
    emitted = d.step(1.0, events.Submitted(**{**fields, field: value}))
    assert [type(effect) for effect in emitted] == [effects.DeclineJob]


def test_a_key_in_use_is_declined():
    d = EngineDriver()
    d.launch(1.0, key="same")
    assert d.of_type(effects.DeclineJob, d.submit(1.1, key="same"))


def test_the_engine_raises_rather_than_break_a_rule():
    d = EngineDriver()
    sent = d.launch(1.0)
    with pytest.raises(InvariantError):
        d.engine.launch(sent.job.id, sent.host, 1.0)
    d.host_reply(events.Accepted, sent, 1.1)
    with pytest.raises(InvariantError):
        d.engine.answer(sent.job.id, effects.Verdict.REJECTED)


def test_after_a_start_links_are_opened_at_a_limited_rate():
    d = EngineDriver("")
    opened = d.of_type(effects.OpenLink, d.list_hosts([f"h{i}" for i in range(60)], 1.0))
    assert len(opened) <= 20
    assert len(opened) + len(d.of_type(effects.OpenLink, d.advance(4.2))) == 60


def test_a_gone_host_is_removed_once_it_has_no_launches():
    d = EngineDriver()
    sent = d.launch(1.0)
    d.host_reply(events.Accepted, sent, 1.1)
    assert not d.of_type(effects.RemoveHost, d.list_hosts([h for h in "ab" if h != sent.host], 2.0))
    emitted = d.link_down(sent.host, 3.0)
    assert effects.RemoveHost(sent.host) in emitted and not d.engine.launches


def test_a_fenced_incarnation_halts():
    d = EngineDriver()
    assert d.of_type(effects.Halt, d.step(1.0, events.Fenced("a", "life 9 is known")))


def launches_after_error(d, sent, now):
    return d.of_type(
        effects.SendLaunch, d.host_reply(events.LaunchEnded, sent, now, Result.ERROR, Reason.UNTOLD)
    )


def test_a_job_that_fails_on_two_hosts_ejects_neither():
    # guards against a faulty job that takes host after host from its customer's sound jobs
    d = EngineDriver("abc")
    first = d.launch(1.0)
    (second,) = launches_after_error(d, first, 1.1)
    assert second.host != first.host
    d.step(1.1, events.LaunchesSent(second.host, 1, (second.number,)))
    emitted = d.host_reply(events.LaunchEnded, second, 1.2, Result.ERROR, Reason.UNTOLD)
    assert d.verdicts(emitted) == ["rejected"] and not d.of_type(effects.SendLaunch, emitted)
    assert not any(host.ejections for host in d.engine.module.hosts.values())


def test_a_host_is_ejected_once_its_job_runs_elsewhere():
    d = EngineDriver("ab")
    first = d.launch(1.0)
    (second,) = launches_after_error(d, first, 1.1)
    d.step(1.1, events.LaunchesSent(second.host, 1, (second.number,)))
    assert not d.engine.module.hosts[first.host].ejections
    d.host_reply(events.Accepted, second, 1.2)
    assert d.engine.module.hosts[first.host].ejections
    assert {d.launch(1.3, key=f"k{number}").host for number in range(3)} == {second.host}


def test_a_failed_irreversible_job_ejects_its_host_at_once():
    d = EngineDriver("ab")
    sent = d.launch(1.0, "feed")
    assert d.verdicts(d.host_reply(events.LaunchEnded, sent, 1.1, Result.ERROR, Reason.UNTOLD)) == [
        "written off"
    ]
    assert d.engine.module.hosts[sent.host].ejections
