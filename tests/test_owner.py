"""Sessions: what orders do, the client's retry rules, and jobs followed across lost links and restarts."""

from dataclasses import replace
from random import Random

import anyio
import pytest

from linedeal import interface as api
from linedeal.client import Client, JobDeclinedError, JobRequest
from linedeal.client.contact import Contact, ContactError, parse_contact, read_token
from linedeal.client.owner import (
    END,
    HOLD,
    RELEASE,
    NoSuchJobError,
    OrderRefusedError,
    Owner,
    SessionOpenError,
)
from linedeal.client.retry_rules import Decision, JobView, State, decide_on_link_loss, decide_on_reconnect
from linedeal.controller import owners
from linedeal.engine import effects, events
from linedeal.engine.control import Fault, OrderAction, OrderKind, decide_order
from linedeal.engine.ledger import Entry, Stage
from linedeal.engine.recovery import OldLaunch, OpenJob, StoredAnswer
from linedeal.interface import Effect
from linedeal.protocol import pb
from linedeal.settings import keys as keys_of_customers
from linedeal.settings.cluster import ConfigError, parse_cluster
from linedeal.settings.keys import Keys, hash_of
from tests.cluster_fixture import CLUSTER as PAIR
from tests.cluster_fixture import run_in_memory
from tests.engine_driver import CLUSTER, EngineDriver

JOB = api.Job("c.1.1", "feed", "", "s", 1.0, 1.0, 9.0)


# orders


@pytest.mark.parametrize(
    "kind, stage, launched, may_have_run, effect, action",
    [
        ("END", "WAITING", False, False, "IRREVERSIBLE", OrderAction.REJECT),
        ("END", "WAITING", True, False, "IRREVERSIBLE", OrderAction.WRITE_OFF),
        ("END", "WAITING", True, False, "LABELLED", OrderAction.WRITE_OFF),
        ("END", "WAITING", True, True, "REDOABLE", OrderAction.REJECT),
        ("END", "WAITING", False, True, "LABELLED", OrderAction.WRITE_OFF),
        ("END", "HELD", False, False, "IRREVERSIBLE", OrderAction.REJECT),
        ("END", "PLACED", True, False, "IRREVERSIBLE", OrderAction.STOP),
        ("END", "RUNNING", True, False, "REDOABLE", OrderAction.STOP),
        ("END", "DONE", False, False, "REDOABLE", OrderAction.REFUSE),
        ("HOLD", "WAITING", False, False, "IRREVERSIBLE", OrderAction.HOLD),
        ("HOLD", "LATER", False, False, "IRREVERSIBLE", OrderAction.HOLD),
        ("HOLD", "WAITING", True, False, "REDOABLE", OrderAction.REFUSE),
        ("HOLD", "WAITING", False, True, "LABELLED", OrderAction.REFUSE),
        ("HOLD", "WAITING", False, True, "REDOABLE", OrderAction.HOLD),
        ("HOLD", "HELD", False, False, "REDOABLE", OrderAction.NOTHING),
        ("HOLD", "RUNNING", True, False, "REDOABLE", OrderAction.REFUSE),
        ("RELEASE", "HELD", False, False, "REDOABLE", OrderAction.RELEASE),
        ("RELEASE", "WAITING", False, False, "REDOABLE", OrderAction.REFUSE),
        ("RELEASE", "REJECTED", False, False, "REDOABLE", OrderAction.REFUSE),
    ],
)
def test_order_actions(kind, stage, launched, may_have_run, effect, action):
    assert (
        decide_order(
            OrderKind[kind], Entry("s", "k", JOB, stage=Stage[stage]), launched, may_have_run, Effect[effect]
        ).action
        is action
    )


def submit(d, now, offering="web", key="k", client=1, **rest):
    return d.step(
        now, events.Submitted(client, key, offering, "", "v", 1.0, 1.0, 0.0, "s", follow=True, **rest)
    )


def order(d, now, kind, key="k"):
    return d.step(now, events.Ordered(1, "s", key, OrderKind[kind]))


def reported_stages(d, emitted):
    return [effect.stage.name for effect in d.of_type(effects.JobStatus, emitted)]


def reply_fault(d, emitted):
    return d.of_type(effects.Reply, emitted)[0].fault


def test_a_held_job_is_not_launched_and_its_expiry_is_suspended():
    d = EngineDriver()
    assert not d.of_type(effects.SendLaunch, submit(d, 1.0, hold=True))
    assert not d.of_type(effects.Answer, d.advance(100.0))  # its expiry of six seconds is suspended
    emitted = order(d, 100.0, "RELEASE")
    sent = d.of_type(effects.SendLaunch, emitted)[0]
    assert sent.job.expiry == 106.0 and reported_stages(d, emitted) == ["WAITING"]
    assert effects.RecordHold(sent.job.id, False, 6.0, 0.0) in emitted


def test_a_job_is_not_launched_before_its_start_time():
    d = EngineDriver()
    assert reported_stages(d, submit(d, 1.0, start_in=5.0)) == ["LATER"]
    assert not d.of_type(effects.SendLaunch, d.advance(5.9))
    assert d.of_type(effects.SendLaunch, d.advance(6.1))


def test_a_hold_at_the_moment_of_launch_is_refused():
    # guards against a job that its owner believes held while a host is about to accept it
    d = EngineDriver()
    job = d.of_type(effects.SendLaunch, submit(d, 1.0))[0].job
    assert reply_fault(d, order(d, 1.0, "HOLD")) is Fault.WRONG_STATE
    sent = d.engine.by_job[job.id]
    d.step(1.1, events.Refused(sent.host, sent.id, api.Reason.CORES))
    if job.id not in d.engine.by_job:
        assert reply_fault(d, order(d, 1.1, "HOLD")) is Fault.NONE


def test_a_held_job_is_not_launched_when_capacity_becomes_free():
    d = EngineDriver()
    for number in range(10):
        emitted = submit(d, 1.0, "pair", f"k{number}")
        if not d.of_type(effects.SendLaunch, emitted):
            break
    assert reply_fault(d, order(d, 1.1, "HOLD", f"k{number}")) is Fault.NONE
    sent = next(iter(d.engine.launches.values()))
    d.step(1.2, events.LaunchesSent(sent.host, d.links[sent.host], (sent.id.number,)))
    d.step(1.3, events.Accepted(sent.host, sent.id))
    ended = events.LaunchEnded(sent.host, sent.id, api.Result.DONE, api.Reason.UNTOLD)
    held = d.engine.sessions.ledger.entries["s", f"k{number}"].job.id
    assert held not in [
        launch.job.id for launch in d.of_type(effects.SendLaunch, d.step(1.4, ended) + d.advance(20.0))
    ]
    # the remaining time, over four seconds, starts to run again at the release
    assert d.of_type(effects.SendLaunch, order(d, 50.0, "RELEASE", f"k{number}"))[
        0
    ].job.expiry == pytest.approx(50.0 + 5.9)


def test_a_second_hold_lasts_as_long_as_the_first():
    # guards against the timer of the first hold, which still fires during the second
    d = EngineDriver()
    hold_limit = d.engine.cluster.limits.hold
    d.list_hosts("ab", 0.5, mode=api.Mode.DRAINING)  # so that it is not launched between the holds
    submit(d, 1.0, hold=True)
    order(d, 0.5 * hold_limit, "RELEASE")
    order(d, 0.5 * hold_limit, "HOLD")
    assert not d.verdicts(d.step_without_timers(1.0 + hold_limit))
    assert d.verdicts(d.step_without_timers(1.5 * hold_limit)) == ["rejected"]


def test_a_labelled_job_that_may_have_run_cannot_be_held():
    d = EngineDriver()
    sent = d.of_type(effects.SendLaunch, submit(d, 1.0, "mail"))[0]
    d.step(1.0, events.LaunchesSent(sent.host, d.links[sent.host], (sent.number,)))
    d.engine.unanswered[sent.job.id].uncertain_launch = (sent.host, 1.0)
    d.engine.by_job.pop(sent.job.id)
    assert reply_fault(d, order(d, 1.1, "HOLD")) is Fault.WRONG_STATE


@pytest.mark.parametrize(
    "offering, verdict", [("web", "rejected"), ("mail", "written off"), ("feed", "written off")]
)
def test_ending_a_job_whose_launch_has_no_answer_is_answered_at_once(offering, verdict):
    d = EngineDriver()
    sent = d.of_type(effects.SendLaunch, submit(d, 1.0, offering))[0]
    d.step(1.0, events.LaunchesSent(sent.host, d.links[sent.host], (sent.number,)))
    emitted = order(d, 1.1, "END")
    assert d.verdicts(emitted) == [verdict] and d.of_type(effects.SendStop, emitted)
    late = d.step(1.2, events.Accepted(sent.host, events.LaunchId(3, sent.number)))
    # a late acceptance is stopped and gives no second answer
    assert d.of_type(effects.SendStop, late) and not d.of_type(effects.Answer, late)
    assert not d.of_type(effects.SendLaunch, d.advance(20.0))


def test_a_jobs_progress_is_recorded_and_reported_until_its_end():
    d = EngineDriver()
    sent = d.of_type(effects.SendLaunch, submit(d, 1.0))[0]
    launch = events.LaunchId(3, sent.number)
    d.step(1.0, events.LaunchesSent(sent.host, d.links[sent.host], (sent.number,)))
    assert reported_stages(d, d.step(1.1, events.Accepted(sent.host, launch))) == ["PLACED"]
    assert reported_stages(d, d.step(1.2, events.Started(sent.host, launch))) == ["RUNNING"]
    ran = events.Ran(3, 2.0, 1.5, 0.5)
    emitted = d.step(3.2, events.LaunchEnded(sent.host, launch, api.Result.ERROR, api.Reason.EVICTED, ran))
    assert reported_stages(d, emitted) == ["ERROR"] and d.of_type(effects.JobStatus, emitted)[0].ran == ran
    position = emitted.index(effects.RecordProgress(sent.job.id, "ERROR", "memory ran out", ran, over=True))
    assert position < len(emitted)
    # the job is followed: its record stays until it is forgotten
    assert not d.of_type(effects.DeleteRecord, d.step(3.3, events.AnswerSeen("s", "k")))
    assert d.of_type(effects.DeleteRecord, d.step(3.4, events.ForgetRequested("s", "k")))
    assert reply_fault(d, d.step(3.5, events.StatusRequested(1, "s", "k"))) is Fault.NO_SUCH_JOB


def test_a_running_job_is_not_forgotten():
    d = EngineDriver()
    sent = d.of_type(effects.SendLaunch, submit(d, 1.0))[0]
    d.step(1.1, events.Accepted(sent.host, events.LaunchId(3, sent.number)))
    assert d.step(1.2, events.ForgetRequested("s", "k")) == []


def test_a_stop_is_sent_again_on_a_new_link():
    # guards against a stop that was lost with its link, after which the job would never end
    d = EngineDriver()
    sent = d.of_type(effects.SendLaunch, submit(d, 1.0))[0]
    launch = events.LaunchId(3, sent.number)
    d.step(1.0, events.LaunchesSent(sent.host, d.links[sent.host], (sent.number,)))
    d.step(1.1, events.Accepted(sent.host, launch))
    d.link_down(sent.host, 1.2)
    assert reply_fault(d, order(d, 1.3, "END")) is Fault.NONE
    up = d.link_up(
        sent.host,
        d.engine.fleet.hosts[sent.host].listed.boot,
        2.0,
        held=(events.HeldLaunch(launch, sent.job, events.Phase.RUNNING),),
    )
    assert effects.SendStop(sent.host, launch) in up


def test_a_job_of_a_restarted_host_is_reported_as_lost():
    d = EngineDriver()
    sent = d.of_type(effects.SendLaunch, submit(d, 1.0))[0]
    d.step(1.0, events.LaunchesSent(sent.host, d.links[sent.host], (sent.number,)))
    d.step(1.1, events.Accepted(sent.host, events.LaunchId(3, sent.number)))
    d.link_down(sent.host, 1.2)
    assert "LOST" in reported_stages(d, d.link_up(sent.host, 9, 2.0, age=1.0))


def recovered(*answers, open_jobs=()):
    d = EngineDriver()
    d.engine.recover(tuple(open_jobs), answers)
    return d


def placed(stage="RUNNING", host="a", **rest):
    return StoredAnswer(
        "s", "k", JOB, stage, host, events.LaunchId(1, 4), follow=True, taken_ago=5.0, placed_ago=4.0, **rest
    )


def test_after_a_restart_a_placed_job_is_found_or_reported_as_lost():
    d = recovered(placed())
    host = next(iter(d.engine.fleet.hosts))
    d.engine.sessions.unaccounted[host] = d.engine.sessions.unaccounted.pop("a")
    d.engine.sessions.ledger.by_job[JOB.id].host = host
    d.step(0.1, events.StatusRequested(1, "s", ""))
    emitted = d.link_up(
        host, 1, 0.2, held=(events.HeldLaunch(events.LaunchId(1, 4), JOB, events.Phase.RUNNING),)
    )
    assert "LOST" not in reported_stages(d, emitted)
    d = recovered(placed())
    d.engine.sessions.unaccounted[host] = d.engine.sessions.unaccounted.pop("a")
    d.engine.sessions.ledger.by_job[JOB.id].host = host
    d.step(0.1, events.StatusRequested(1, "s", ""))
    assert reported_stages(d, d.link_up(host, 1, 0.2)) == ["LOST"]


def test_after_a_restart_a_job_on_a_host_that_no_list_names_is_lost():
    d = recovered(placed(host="nowhere"))
    d.step(0.1, events.StatusRequested(1, "s", ""))
    assert reported_stages(d, d.list_hosts(list(d.engine.fleet.hosts), 0.2)) == ["LOST"]


def test_an_end_ordered_before_a_restart_is_carried_out():
    d = recovered(placed(ending=True))
    emitted = d.link_up(
        next(iter(d.engine.fleet.hosts)),
        1,
        0.2,
        held=(events.HeldLaunch(events.LaunchId(1, 4), JOB, events.Phase.RUNNING),),
    )
    assert any(stop.launch == events.LaunchId(1, 4) for stop in d.of_type(effects.SendStop, emitted))


def test_after_a_restart_a_labelled_job_is_relaunched_only_in_its_group_and_window():
    host = next(iter(EngineDriver().engine.fleet.hosts))
    mail = replace(JOB, offering="mail")
    for sent_ago, other_zone, relaunched in (
        (1.0, False, True),
        (3.9, False, False),
        (1.0, True, False),
        (float("inf"), False, False),
    ):
        d = EngineDriver()
        d.engine.recover(
            (OpenJob("s", "k", mail, 5.0, (OldLaunch(events.LaunchId(1, 4), host, 1, False, sent_ago),)),), ()
        )
        if other_zone:  # only hosts of another group remain
            d.list_hosts([name for name in d.engine.fleet.hosts if name != host], 0.1, zone="far")
            d.engine.fleet.hosts[host] = d.engine.fleet.hosts.get(host) or None
            d.engine.fleet.hosts.pop(host)
        emitted = d.link_up(host, 2, 0.2, age=1.0) + d.advance(4.0)
        assert bool(d.of_type(effects.SendLaunch, emitted)) is relaunched, (sent_ago, other_zone)


def test_a_hold_survives_a_restart_and_is_limited_in_time():
    d = recovered(
        open_jobs=[OpenJob("s", "k", replace(JOB, expiry=float("inf")), 4.0, held=True, follow=True)]
    )
    assert not d.of_type(effects.SendLaunch, d.advance(50.0))
    d.step(50.0, events.StatusRequested(1, "s", ""))
    assert d.of_type(effects.SendLaunch, order(d, 50.0, "RELEASE"))[0].job.expiry == 54.0
    d = EngineDriver()
    submit(d, 1.0, hold=True)
    emitted = d.step_without_timers(1.0 + d.engine.cluster.limits.hold)
    assert d.verdicts(emitted) == ["rejected"]


# authentication


def test_only_the_owner_of_a_key_is_admitted():
    keys = Keys({"school": hash_of("secret")})
    assert (
        keys_of_customers.admit(keys, "school", "secret") == "school"
        and keys_of_customers.admit(keys, "", "") == ""
    )
    for customer, token in (("school", "wrong"), ("school", ""), ("shop", "secret"), ("", "secret")):
        with pytest.raises(keys_of_customers.AuthenticationError):
            keys_of_customers.admit(keys, customer, token)
    with pytest.raises(keys_of_customers.AuthenticationError):
        keys_of_customers.admit(replace(keys, needed=True), "shop", "")
    assert owners.qualified("", "school/s") != owners.qualified("school", "s")


def test_keys_are_compared_in_constant_time(monkeypatch):
    # guards against a comparison that stops at the first difference: its duration reveals the matching prefix
    compared = []
    monkeypatch.setattr(
        keys_of_customers.hmac, "compare_digest", lambda a, b: compared.append((a, b)) or a == b
    )
    keys_of_customers.admit(Keys({"school": hash_of("x")}), "school", "x")
    with pytest.raises(keys_of_customers.AuthenticationError):
        keys_of_customers.admit(Keys({"school": hash_of("x")}), "nobody", "x")
    assert len(compared) == 2  # an unknown customer takes the same time


@pytest.mark.parametrize(
    "text, message",
    [
        ('customer "a" {\n key = "secret"\n}', "cluster.hcl: customer a: key is no hash"),
        ('customer "a" {\n}', "customer a: cores or key is missing"),
        ("clients {\n keys_needed = true\n}", "clients: keys_needed, and no customer has a key"),
    ],
)
def test_invalid_keys_are_reported(text, message):
    with pytest.raises(ConfigError, match=message):
        parse_cluster(CLUSTER + text)


# the client's retry rules


@pytest.mark.parametrize(
    "state, sent, redoable, move_allowed, disconnected_for, another, decision",
    [
        ("ASKED", False, False, False, 0.0, True, Decision.MOVE),
        ("ASKED", True, False, False, 99.0, True, Decision.WAIT),
        ("ASKED", True, True, False, 99.0, True, Decision.MOVE),
        ("ASKED", True, True, False, 0.1, True, Decision.WAIT),
        ("TAKEN", True, True, False, 99.0, True, Decision.MOVE),
        ("TAKEN", True, False, False, 99.0, True, Decision.WAIT),
        ("TAKEN", True, False, True, 0.0, True, Decision.MOVE),
        ("TAKEN", True, True, False, 99.0, False, Decision.WAIT),
        ("ANSWERED", True, True, True, 99.0, True, Decision.WAIT),
        ("OVER", True, True, False, 99.0, True, Decision.WAIT),
    ],
)
def test_decisions_after_a_lost_link(
    state, sent, redoable, move_allowed, disconnected_for, another, decision
):
    assert (
        decide_on_link_loss(
            JobView(State[state], sent, redoable, move_allowed), disconnected_for, 2.0, another
        )
        is decision
    )


@pytest.mark.parametrize(
    "state, redoable, listed, decision",
    [
        ("ASKED", False, False, Decision.ASK),
        ("ASKED", False, True, Decision.WAIT),
        ("TAKEN", False, False, Decision.UNKNOWN),
        ("TAKEN", True, False, Decision.ASK),
        ("ANSWERED", True, False, Decision.UNKNOWN),
        ("OVER", False, False, Decision.WAIT),
    ],
)
def test_decisions_after_reconnecting(state, redoable, listed, decision):
    assert decide_on_reconnect(JobView(State[state], True, redoable), listed) is decision


@pytest.mark.parametrize("text", ["", "/s", "host", "h:1/a b", "h:1/s?user=x", "h:1/" + "x" * 121, "h:x/s"])
def test_invalid_contacts_are_rejected(text):
    with pytest.raises(ContactError):
        parse_contact(text)


def test_a_customers_key_is_read_from_a_file(tmp_path, monkeypatch):
    (tmp_path / "key").write_text("secret\n")
    monkeypatch.setenv("LINEDEAL_TOKEN_FILE", str(tmp_path / "key"))
    assert read_token("school") == "secret" and read_token("") == ""
    monkeypatch.setenv("LINEDEAL_TOKEN_FILE", str(tmp_path / "none"))
    with pytest.raises(ContactError, match="no key can be read"):
        read_token("school")


# jobs in a cluster, on a simulated clock

C1 = Contact((("c1", 1),), "s")
BOTH = Contact((("c1", 1), ("c2", 1)), "s")
WEB, MAIL, FEED = (JobRequest(offering, "", "v", 1.0, 1.0) for offering in ("web", "mail", "feed"))


def test_jobs_of_all_effects_are_followed_across_a_controller_restart(tmp_path):
    async def work(cluster):
        async with Owner.open(cluster.net, C1) as owner:
            keys = [await owner.submit(request) for request in (WEB, MAIL, FEED) for _ in range(5)]
            await cluster.kill("c1")
            await anyio.sleep(0.5)
            await cluster.start("c1")
            found = await owner.wait_until(keys, lambda status: status.over, every=True)
            assert owner.keys() == keys
            for key in keys:
                await owner.forget(key)
        async with Owner.open(cluster.net, C1) as owner:
            assert owner.keys() == []
        return [status.stage for status in found]

    assert run_in_memory(tmp_path, work) == ["done"] * 15


def test_a_reopened_session_has_its_jobs(tmp_path):
    async def work(cluster):
        async with Owner.open(cluster.net, C1) as owner:
            held = await owner.submit(FEED, hold=True, work=pb.Work(name="feed 7", command="feed"))
            ended = await owner.submit(WEB)
            await owner.wait_until_over(ended)
        await cluster.kill("c1")
        await cluster.start("c1")
        async with Owner.open(cluster.net, C1) as owner:
            status = owner.status(held)
            assert (status.stage, status.name, status.offering) == ("held", "feed 7", "feed")
            assert owner.status(ended).stage == "done" and owner.status(ended).ran.status == 0
            await owner.order(held, RELEASE)
            assert (await owner.wait_until_over(held)).stage == "done"
            with pytest.raises(NoSuchJobError):
                await owner.find("nothing", 0.1)
            with pytest.raises(OrderRefusedError):
                await owner.order(held, HOLD)

    run_in_memory(tmp_path, work)


def test_an_error_in_the_block_is_not_wrapped(tmp_path):
    # guards against errors that a caller cannot catch by type, because the links' task group has wrapped them
    async def work(cluster):
        with pytest.raises(NoSuchJobError):
            async with Owner.open(cluster.net, C1) as owner:
                owner.status("nothing")
        with pytest.raises(JobDeclinedError):
            async with Client.connect(cluster.net, ("c1", 1), "t") as client:
                await client.submit(JobRequest("nothing", "", "v", 1.0, 1.0))

    run_in_memory(tmp_path, work)


def test_two_clients_with_one_key_share_one_job(tmp_path):
    async def work(cluster):
        async with Owner.open(cluster.net, C1) as one, Owner.open(cluster.net, C1) as other:
            assert await one.submit(FEED, "k") == await other.submit(FEED, "k") == "k"
            assert (await one.wait_until_over("k")).job == (await other.wait_until_over("k")).job
            with pytest.raises(JobDeclinedError, match="names another job"):
                await other.submit(WEB, "k")
        assert (
            sum(
                len(host.model.ended_launches) + len(host.model.launches)
                for name, host in cluster.servers.items()
                if name.startswith("h")
            )
            <= 1
        )

    run_in_memory(tmp_path, work)


def test_a_redoable_job_is_moved_and_an_irreversible_one_waits(tmp_path):
    # guards against a second effect: only the controller that accepted an irreversible job knows its outcome
    async def work(cluster):
        async with Owner.open(cluster.net, BOTH) as owner:
            controller = owner.controllers[0].address[0]
            web, feed = await owner.submit(WEB, hold=True), await owner.submit(FEED, hold=True)
            await cluster.kill(controller)
            await anyio.sleep(4.0)
            assert (
                owner.jobs[web].controller.address[0] != controller
                and owner.jobs[feed].controller.address[0] == controller
            )
            await owner.order(web, RELEASE)
            assert (await owner.wait_until_over(web)).stage == "done"
            assert owner.status(feed).stage == "held"
            await cluster.start(controller)
            await anyio.sleep(1.0)
            await owner.order(feed, RELEASE)
            assert (await owner.wait_until_over(feed)).stage == "done"
            # its first controller, once restarted, ends and forgets the redoable job: it runs once
            await anyio.sleep(3.0)
        engine = cluster.servers[controller].engine
        assert not any(entry.key == web for entry in engine.sessions.ledger.entries.values())

    run_in_memory(tmp_path, work)


def test_a_job_ended_by_its_owner_is_reported_as_stopped(tmp_path):
    async def work(cluster):
        async with Owner.open(cluster.net, C1) as owner:
            key = await owner.submit(FEED)
            await owner.wait_until([key], lambda status: status.stage == "running")
            await owner.order(key, END)
            ended = await owner.wait_until_over(key)
            assert ended.stage == "stopped" and ended.ran.status is None and ended.ending
            late = await owner.submit(WEB, start_in=60.0)
            await owner.order(late, END)
            assert (
                owner.status(late).stage == "rejected" and owner.status(late).reason == "ended by its owner"
            )

    run_in_memory(tmp_path, work, habits="setup=0.1 life=50")


def test_an_order_to_a_dead_controller_is_carried_out_after_its_restart(tmp_path):
    # guards against an owner that waits forever for the reply to an order that was lost with the link
    async def work(cluster):
        async with Owner.open(cluster.net, C1) as owner:
            key = await owner.submit(FEED, hold=True)
            await cluster.kill("c1")
            await anyio.sleep(0.5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner.order, key, RELEASE)
                await anyio.sleep(0.5)
                await cluster.start("c1")
            with anyio.fail_after(20):
                assert (await owner.wait_until_over(key)).stage == "done"

    run_in_memory(tmp_path, work)


def test_a_host_that_answers_probes_only_during_a_controller_restart(tmp_path):
    # guards against a job that the restarted controller has forgotten, or launches again
    async def work(cluster):
        for name in ("h01", "h02", "h03"):
            await cluster.order(name, {"mute": True})
        async with Owner.open(cluster.net, C1) as owner:
            keys = [await owner.submit(FEED) for _ in range(4)]
            await anyio.sleep(0.3)
            await cluster.kill("c1")
            await cluster.start("c1")
            found = await owner.wait_until(keys, lambda status: status.answered, every=True)
            for name in ("h01", "h02", "h03"):
                await cluster.order(name, {"mute": False})
        copies = [
            copy.job.id
            for name, host in cluster.servers.items()
            if name.startswith("h")
            for copy in (*host.model.launches.values(), *host.model.ended_launches.values())
        ]
        assert len(copies) == len(set(copies))
        return {status.stage for status in found}

    assert run_in_memory(tmp_path, work, habits="setup=0.1 life=50") <= {"placed", "running", "written off"}


def test_random_controller_kills_with_hundreds_of_jobs(tmp_path):
    async def work(cluster):
        random, submitted = Random(3), {}
        async with Owner.open(cluster.net, C1) as owner:

            async def load():
                for number in range(400):
                    request = (WEB, MAIL, FEED)[number % 3]
                    try:
                        submitted[await owner.submit(request, f"k{number}", timeout=60.0)] = request.offering
                    except JobDeclinedError:
                        pass
                    await anyio.sleep(0.01)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(load)
                for _ in range(8):
                    await anyio.sleep(random.uniform(0.2, 0.8))
                    await cluster.kill("c1")
                    await anyio.sleep(random.uniform(0.0, 0.3))
                    await cluster.start("c1")
            found = await owner.wait_until(list(submitted), lambda status: status.over, every=True)
            runs = {}
            for name, host in cluster.servers.items():
                if name.startswith("h"):
                    for copy in (*host.model.launches.values(), *host.model.ended_launches.values()):
                        if copy.began:
                            runs[copy.job.id] = runs.get(copy.job.id, 0) + 1
            for status in found:
                if status.offering == "feed":
                    assert runs.get(status.job, 0) <= 1, status
                assert status.stage != "unknown", status
        return len(found)

    assert run_in_memory(tmp_path, work, hosts=20, habits="setup=0.05 life=0.5 look=0.002") >= 390


def test_a_bulk_of_ten_thousand_jobs_is_accepted_once_each(tmp_path):
    async def work(cluster):
        async with Owner.open(cluster.net, C1) as owner:
            keys = await owner.submit_many(
                [(WEB, f"b.{index}", pb.Work(index=index)) for index in range(10_000)], hold=True
            )
            assert len(owner.keys()) == 10_000 and owner.status(keys[-1]).stage == "held"
        async with Owner.open(cluster.net, C1) as again:
            assert sorted(again.keys()) == sorted(keys)
            await again.order(keys[0], RELEASE)
            assert (await again.wait_until_over(keys[0])).stage == "done"

    run_in_memory(tmp_path, work)


def test_a_bulk_that_is_declined_midway_leaves_no_jobs(tmp_path):
    async def work(cluster):
        async with Owner.open(cluster.net, C1) as owner:
            with pytest.raises(JobDeclinedError, match="too many jobs"):
                await owner.submit_many([(WEB, f"b.{i}", None) for i in range(30)], hold=True, timeout=2.0)
            assert not cluster.servers["c1"].engine.unanswered

    run_in_memory(tmp_path, work, cluster=PAIR.replace("held = 20000", "held = 20"))


def test_a_bulk_sent_to_a_dead_controller_raises_timeout_error(tmp_path):
    # guards against a timeout that the bulk's task group wraps, so that callers do not see a TimeoutError
    async def work(cluster):
        async with Owner.open(cluster.net, C1) as owner:
            await cluster.kill("c1")
            await anyio.sleep(0.5)
            with pytest.raises(TimeoutError):
                await owner.submit_many([(FEED, f"b.{i}", None) for i in range(3)], timeout=1.0)

    run_in_memory(tmp_path, work)


def test_a_full_journal_declines_new_jobs_and_completes_accepted_ones(tmp_path):
    # guards against a controller that exits, or loses jobs, because the disk is full
    async def work(cluster):
        runtime = cluster.servers["c1"]
        async with Owner.open(cluster.net, C1) as owner:
            accepted, large = [], pb.Work(command="x" * 20000)
            with pytest.raises(JobDeclinedError, match="the journal is full"):
                for _ in range(200):
                    accepted.append(await owner.submit(FEED, work=large, hold=True, timeout=0.5))
            assert 20 < len(accepted) < 60 and runtime.journal.full
            for key in accepted[:5]:
                await owner.order(key, RELEASE)
            found = await owner.wait_until(accepted[:5], lambda status: status.over, every=True)
            assert {status.stage for status in found} == {"done"}
            for key in accepted[5:]:
                await owner.order(key, END)
            for key in accepted:
                await owner.forget(key)
            await anyio.sleep(3.0)
            # the journal has free space again
            assert (await owner.wait_until_over(await owner.submit(FEED, work=large))).stage == "done"

    run_in_memory(tmp_path, work, cluster=PAIR + "\njournal {\n most = 1100000\n}\n")


def test_sessions_require_the_customers_key(tmp_path):
    async def work(cluster):
        school, shop = replace(C1, customer="school"), replace(C1, customer="shop")
        async with Owner.open(cluster.net, school, "one") as mine:
            key = await mine.submit(replace(FEED, customer="school"), hold=True)
            with pytest.raises(JobDeclinedError, match="submits for customer 'school' only"):
                await mine.submit(replace(FEED, customer="shop"))
            async with Owner.open(
                cluster.net, shop, "two"
            ) as other:  # the same session name, another customer
                with pytest.raises(NoSuchJobError):
                    await other.find(key, 0.1)
        for contact, token in ((school, "two"), (C1, "")):
            with pytest.raises(SessionOpenError, match="key"):
                async with Owner.open(cluster.net, contact, token, timeout=1.0):
                    pass

    config = (
        PAIR
        + "".join(
            f'customer "{name}" {{\n key = "{hash_of(token)}"\n}}\n'
            for name, token in (("school", "one"), ("shop", "two"))
        )
        + "clients {\n keys_needed = true\n}\n"
    )
    run_in_memory(tmp_path, work, cluster=config)


def test_recovered_jobs_return_to_the_module_a_few_per_step():
    # guards against a controller that stops responding, and loses its links, while its module accepts them
    d = recovered(
        open_jobs=[
            OpenJob("s", f"k{n}", replace(JOB, id=f"c.1.{n}", offering="web"), 5.0, follow=True)
            for n in range(200)
        ]
    )
    d.list_hosts(list(d.engine.fleet.hosts), 0.1)
    first = len(d.engine.module.waiting) + len(d.engine.by_job)
    assert 0 < first <= 20 and d.engine.next_due() <= 0.1
    order(d, 0.1, "HOLD", "k199")  # before it is returned to the module
    d.advance(0.2)
    assert len(d.engine.module.tracked_jobs) >= 195 and "c.1.199" not in d.engine.module.tracked_jobs
    order(d, 0.3, "RELEASE", "k199")
    assert "c.1.199" in d.engine.module.tracked_jobs


def test_hosts_of_unresolved_launches_are_connected_first():
    d = recovered(open_jobs=[OpenJob("s", "k", JOB, 5.0, (OldLaunch(events.LaunchId(1, 4), "h29", 1),))])
    d.engine.connect_pacer.waiting.clear()
    opened = d.of_type(effects.OpenLink, d.list_hosts([f"h{n:02}" for n in range(30)], 0.1))
    assert opened[0].host == "h29"
