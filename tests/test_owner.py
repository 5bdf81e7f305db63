"""Owners of sessions' jobs: the ruling on orders, the client's rules, and whole courses over breaks and kills."""

from dataclasses import replace
from random import Random

import anyio
import pytest

from linedeal import interface as api
from linedeal.client import Client, JobRequest, JobDeclinedError
from linedeal.client.contact import Contact, ContactError, parse_contact, token_of
from linedeal.client.retry_rules import Next, State, View, home_away, home_back
from linedeal.client.owner import (
    END,
    HOLD,
    RELEASE,
    NoSuchJobError,
    OrderRefusedError,
    Owner,
    SessionOpenError,
)
from linedeal.controller import owners
from linedeal.engine import effects
from linedeal.engine import events
from linedeal.engine.control import Fault, OrderAction, OrderKind, decide_order
from linedeal.engine.ledger import Entry, Stage
from linedeal.engine.recovery import StoredAnswer, OldLaunch, OpenJob
from linedeal.interface import Effect
from linedeal.protocol import pb
from linedeal.settings.cluster import ConfigError, parse_cluster
from linedeal.settings import keys as keys_of_customers
from linedeal.settings.keys import Keys, hash_of
from tests.engine_driver import CLUSTER, EngineDriver
from tests.cluster_fixture import CLUSTER as PAIR
from tests.cluster_fixture import run_in_memory

JOB = api.Job("c.1.1", "feed", "", "s", 1.0, 1.0, 9.0)


# what an order does


@pytest.mark.parametrize(
    "kind, stage, out, ran, effect, move",
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
def test_what_an_order_does(kind, stage, out, ran, effect, move):
    assert (
        decide_order(
            OrderKind[kind], Entry("s", "k", JOB, stage=Stage[stage]), out, ran, Effect[effect]
        ).action
        is move
    )


def ask(d, now, offering="web", key="k", client=1, **rest):
    return d.step(
        now, events.Submitted(client, key, offering, "", "v", 1.0, 1.0, 0.0, "s", follow=True, **rest)
    )


def order(d, now, kind, key="k"):
    return d.step(now, events.Ordered(1, "s", key, OrderKind[kind]))


def stages(d, emitted):
    return [effect.stage.name for effect in d.of_type(effects.JobStatus, emitted)]


def fault(d, emitted):
    return d.of_type(effects.Reply, emitted)[0].fault


def test_a_held_job_is_not_launched_and_its_time_stands_still():
    d = EngineDriver()
    assert not d.of_type(effects.SendLaunch, ask(d, 1.0, hold=True))
    assert not d.of_type(effects.Answer, d.advance(100.0))  # its six seconds do not pass
    emitted = order(d, 100.0, "RELEASE")
    sent = d.of_type(effects.SendLaunch, emitted)[0]
    assert sent.job.expiry == 106.0 and stages(d, emitted) == ["WAITING"]
    assert effects.RecordHold(sent.job.id, False, 6.0, 0.0) in emitted


def test_a_start_time_is_waited_for():
    d = EngineDriver()
    assert stages(d, ask(d, 1.0, start_in=5.0)) == ["LATER"]
    assert not d.of_type(effects.SendLaunch, d.advance(5.9))
    assert d.of_type(effects.SendLaunch, d.advance(6.1))


def test_a_hold_at_the_moment_of_launch_is_refused():
    # guards against a job that its owner believes held while a host is about to say yes
    d = EngineDriver()
    job = d.of_type(effects.SendLaunch, ask(d, 1.0))[0].job
    assert fault(d, order(d, 1.0, "HOLD")) is Fault.WRONG_STATE
    sent = d.engine.by_job[job.id]
    d.step(1.1, events.Refused(sent.host, sent.id, api.Reason.CORES))
    if job.id not in d.engine.by_job:
        assert fault(d, order(d, 1.1, "HOLD")) is Fault.NONE


def test_a_job_that_waits_for_room_is_held_and_then_not_launched_into_it():
    d = EngineDriver()
    for number in range(10):
        emitted = ask(d, 1.0, "pair", f"k{number}")
        if not d.of_type(effects.SendLaunch, emitted):
            break
    assert fault(d, order(d, 1.1, "HOLD", f"k{number}")) is Fault.NONE
    sent = next(iter(d.engine.launches.values()))
    d.step(1.2, events.LaunchesSent(sent.host, d.links[sent.host], (sent.id.number,)))
    d.step(1.3, events.Accepted(sent.host, sent.id))
    ended = events.LaunchEnded(sent.host, sent.id, api.Result.DONE, api.Reason.UNTOLD)
    held = d.engine.sessions.ledger.entries["s", f"k{number}"].job.id
    assert held not in [
        launch.job.id for launch in d.of_type(effects.SendLaunch, d.step(1.4, ended) + d.advance(20.0))
    ]
    # the four seconds and more that it had left begin again with its release
    assert d.of_type(effects.SendLaunch, order(d, 50.0, "RELEASE", f"k{number}"))[
        0
    ].job.expiry == pytest.approx(50.0 + 5.9)


def test_a_second_hold_lasts_as_long_as_the_first():
    # guards against the first hold's timer, which still rings
    d = EngineDriver()
    most = d.engine.cluster.limits.hold
    d.list_hosts("ab", 0.5, mode=api.Mode.DRAINING)  # so that it is not launched in between
    ask(d, 1.0, hold=True)
    order(d, 0.5 * most, "RELEASE")
    order(d, 0.5 * most, "HOLD")
    assert not d.verdicts(d.step_without_timers(1.0 + most))
    assert d.verdicts(d.step_without_timers(1.5 * most)) == ["rejected"]


def test_a_labelled_job_that_may_have_run_cannot_be_held():
    d = EngineDriver()
    sent = d.of_type(effects.SendLaunch, ask(d, 1.0, "mail"))[0]
    d.step(1.0, events.LaunchesSent(sent.host, d.links[sent.host], (sent.number,)))
    d.engine.unanswered[sent.job.id].risk = (sent.host, 1.0)
    d.engine.by_job.pop(sent.job.id)
    assert fault(d, order(d, 1.1, "HOLD")) is Fault.WRONG_STATE


@pytest.mark.parametrize(
    "offering, verdict", [("web", "rejected"), ("mail", "written off"), ("feed", "written off")]
)
def test_ending_a_job_whose_launch_has_no_answer_is_answered_at_once(offering, verdict):
    d = EngineDriver()
    sent = d.of_type(effects.SendLaunch, ask(d, 1.0, offering))[0]
    d.step(1.0, events.LaunchesSent(sent.host, d.links[sent.host], (sent.number,)))
    emitted = order(d, 1.1, "END")
    assert d.verdicts(emitted) == [verdict] and d.of_type(effects.SendStop, emitted)
    late = d.step(1.2, events.Accepted(sent.host, events.LaunchId(3, sent.number)))
    assert d.of_type(effects.SendStop, late) and not d.of_type(
        effects.Answer, late
    )  # what comes after is stopped, and no answer
    assert not d.of_type(effects.SendLaunch, d.advance(20.0))


def test_a_jobs_course_is_kept_and_told_to_its_end():
    d = EngineDriver()
    sent = d.of_type(effects.SendLaunch, ask(d, 1.0))[0]
    launch = events.LaunchId(3, sent.number)
    d.step(1.0, events.LaunchesSent(sent.host, d.links[sent.host], (sent.number,)))
    assert stages(d, d.step(1.1, events.Accepted(sent.host, launch))) == ["PLACED"]
    assert stages(d, d.step(1.2, events.Started(sent.host, launch))) == ["RUNNING"]
    ran = events.Ran(3, 2.0, 1.5, 0.5)
    emitted = d.step(3.2, events.LaunchEnded(sent.host, launch, api.Result.ERROR, api.Reason.EVICTED, ran))
    assert stages(d, emitted) == ["ERROR"] and d.of_type(effects.JobStatus, emitted)[0].ran == ran
    keep = emitted.index(effects.RecordProgress(sent.job.id, "ERROR", "memory ran out", ran, over=True))
    assert keep < len(emitted)
    assert not d.of_type(
        effects.DeleteRecord, d.step(3.3, events.AnswerSeen("s", "k"))
    )  # it is followed: kept until forgotten
    assert d.of_type(effects.DeleteRecord, d.step(3.4, events.ForgetRequested("s", "k")))
    assert fault(d, d.step(3.5, events.StatusRequested(1, "s", "k"))) is Fault.NO_SUCH_JOB


def test_a_running_job_is_not_forgotten():
    d = EngineDriver()
    sent = d.of_type(effects.SendLaunch, ask(d, 1.0))[0]
    d.step(1.1, events.Accepted(sent.host, events.LaunchId(3, sent.number)))
    assert d.step(1.2, events.ForgetRequested("s", "k")) == []


def test_an_end_is_ordered_again_on_a_new_link():
    # guards against a stop that was lost with its link: the job would run on for ever
    d = EngineDriver()
    sent = d.of_type(effects.SendLaunch, ask(d, 1.0))[0]
    launch = events.LaunchId(3, sent.number)
    d.step(1.0, events.LaunchesSent(sent.host, d.links[sent.host], (sent.number,)))
    d.step(1.1, events.Accepted(sent.host, launch))
    d.link_down(sent.host, 1.2)
    assert fault(d, order(d, 1.3, "END")) is Fault.NONE
    up = d.link_up(
        sent.host,
        d.engine.fleet.hosts[sent.host].listed.boot,
        2.0,
        held=(events.HeldLaunch(launch, sent.job, events.Phase.RUNNING),),
    )
    assert effects.SendStop(sent.host, launch) in up


def test_a_job_of_a_host_that_is_reborn_is_told_as_lost():
    d = EngineDriver()
    sent = d.of_type(effects.SendLaunch, ask(d, 1.0))[0]
    d.step(1.0, events.LaunchesSent(sent.host, d.links[sent.host], (sent.number,)))
    d.step(1.1, events.Accepted(sent.host, events.LaunchId(3, sent.number)))
    d.link_down(sent.host, 1.2)
    assert "LOST" in stages(d, d.link_up(sent.host, 9, 2.0, age=1.0))


def recovered(*answers, open_jobs=()):
    d = EngineDriver()
    d.engine.recover(tuple(open_jobs), answers)
    return d


def placed(stage="RUNNING", host="a", **rest):
    return StoredAnswer(
        "s", "k", JOB, stage, host, events.LaunchId(1, 4), follow=True, taken_ago=5.0, placed_ago=4.0, **rest
    )


def test_after_a_restart_a_placed_job_is_found_or_told_as_lost():
    d = recovered(placed())
    host = next(iter(d.engine.fleet.hosts))
    d.engine.sessions.unaccounted[host] = d.engine.sessions.unaccounted.pop("a")
    d.engine.sessions.ledger.by_job[JOB.id].host = host
    d.step(0.1, events.StatusRequested(1, "s", ""))
    emitted = d.link_up(
        host, 1, 0.2, held=(events.HeldLaunch(events.LaunchId(1, 4), JOB, events.Phase.RUNNING),)
    )
    assert "LOST" not in stages(d, emitted)
    d = recovered(placed())
    d.engine.sessions.unaccounted[host] = d.engine.sessions.unaccounted.pop("a")
    d.engine.sessions.ledger.by_job[JOB.id].host = host
    d.step(0.1, events.StatusRequested(1, "s", ""))
    assert stages(d, d.link_up(host, 1, 0.2)) == ["LOST"]


def test_after_a_restart_a_job_on_a_host_that_no_list_names_is_lost():
    d = recovered(placed(host="nowhere"))
    d.step(0.1, events.StatusRequested(1, "s", ""))
    assert stages(d, d.list_hosts(list(d.engine.fleet.hosts), 0.2)) == ["LOST"]


def test_an_end_ordered_in_an_earlier_life_is_carried_out():
    d = recovered(placed(ending=True))
    emitted = d.link_up(
        next(iter(d.engine.fleet.hosts)),
        1,
        0.2,
        held=(events.HeldLaunch(events.LaunchId(1, 4), JOB, events.Phase.RUNNING),),
    )
    assert any(stop.launch == events.LaunchId(1, 4) for stop in d.of_type(effects.SendStop, emitted))


def test_a_labelled_job_goes_on_in_its_group_and_window_after_a_restart():
    host = next(iter(EngineDriver().engine.fleet.hosts))
    mail = replace(JOB, offering="mail")
    for ago, other_zone, goes_on in (
        (1.0, False, True),
        (3.9, False, False),
        (1.0, True, False),
        (float("inf"), False, False),
    ):
        d = EngineDriver()
        d.engine.recover(
            (OpenJob("s", "k", mail, 5.0, (OldLaunch(events.LaunchId(1, 4), host, 1, False, ago),)),), ()
        )
        if other_zone:  # only hosts of another group are left
            d.list_hosts([name for name in d.engine.fleet.hosts if name != host], 0.1, zone="far")
            d.engine.fleet.hosts[host] = d.engine.fleet.hosts.get(host) or None
            d.engine.fleet.hosts.pop(host)
        emitted = d.link_up(host, 2, 0.2, age=1.0) + d.advance(4.0)
        assert bool(d.of_type(effects.SendLaunch, emitted)) is goes_on, (ago, other_zone)


def test_a_hold_lasts_over_a_restart_and_not_for_ever():
    d = recovered(
        open_jobs=[OpenJob("s", "k", replace(JOB, expiry=float("inf")), 4.0, held=True, follow=True)]
    )
    assert not d.of_type(effects.SendLaunch, d.advance(50.0))
    d.step(50.0, events.StatusRequested(1, "s", ""))
    assert d.of_type(effects.SendLaunch, order(d, 50.0, "RELEASE"))[0].job.expiry == 54.0
    d = EngineDriver()
    ask(d, 1.0, hold=True)
    emitted = d.step_without_timers(1.0 + d.engine.cluster.limits.hold)
    assert d.verdicts(emitted) == ["rejected"]


# who may


def test_only_the_owner_of_a_key_is_let_in():
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
    # guards against a comparison that ends at the first difference, which tells how much of a key is right
    compared = []
    monkeypatch.setattr(
        keys_of_customers.hmac, "compare_digest", lambda a, b: compared.append((a, b)) or a == b
    )
    keys_of_customers.admit(Keys({"school": hash_of("x")}), "school", "x")
    with pytest.raises(keys_of_customers.AuthenticationError):
        keys_of_customers.admit(Keys({"school": hash_of("x")}), "nobody", "x")
    assert len(compared) == 2  # an unknown customer costs the same


@pytest.mark.parametrize(
    "text, said",
    [
        ('customer "a" {\n key = "secret"\n}', "cluster.hcl: customer a: key is no hash"),
        ('customer "a" {\n}', "customer a: cores or key is missing"),
        ("clients {\n keys_needed = true\n}", "clients: keys_needed, and no customer has a key"),
    ],
)
def test_faulty_keys_are_named(text, said):
    with pytest.raises(ConfigError, match=said):
        parse_cluster(CLUSTER + text)


# the client's rules


@pytest.mark.parametrize(
    "state, sent, redoable, safe, away, another, step",
    [
        ("ASKED", False, False, False, 0.0, True, Next.MOVE),
        ("ASKED", True, False, False, 99.0, True, Next.WAIT),
        ("ASKED", True, True, False, 99.0, True, Next.MOVE),
        ("ASKED", True, True, False, 0.1, True, Next.WAIT),
        ("TAKEN", True, True, False, 99.0, True, Next.MOVE),
        ("TAKEN", True, False, False, 99.0, True, Next.WAIT),
        ("TAKEN", True, False, True, 0.0, True, Next.MOVE),
        ("TAKEN", True, True, False, 99.0, False, Next.WAIT),
        ("ANSWERED", True, True, True, 99.0, True, Next.WAIT),
        ("OVER", True, True, False, 99.0, True, Next.WAIT),
    ],
)
def test_what_a_client_does_when_its_controller_is_away(state, sent, redoable, safe, away, another, step):
    assert home_away(View(State[state], sent, redoable, safe), away, 2.0, another) is step


@pytest.mark.parametrize(
    "state, redoable, listed, step",
    [
        ("ASKED", False, False, Next.ASK),
        ("ASKED", False, True, Next.WAIT),
        ("TAKEN", False, False, Next.UNKNOWN),
        ("TAKEN", True, False, Next.ASK),
        ("ANSWERED", True, False, Next.UNKNOWN),
        ("OVER", False, False, Next.WAIT),
    ],
)
def test_what_a_client_does_when_its_controller_is_back(state, redoable, listed, step):
    assert home_back(View(State[state], True, redoable), listed) is step


@pytest.mark.parametrize("text", ["", "/s", "host", "h:1/a b", "h:1/s?user=x", "h:1/" + "x" * 121, "h:x/s"])
def test_faulty_contacts_are_named(text):
    with pytest.raises(ContactError):
        parse_contact(text)


def test_a_customers_key_is_read_from_a_file(tmp_path, monkeypatch):
    (tmp_path / "key").write_text("secret\n")
    monkeypatch.setenv("LINEDEAL_TOKEN_FILE", str(tmp_path / "key"))
    assert token_of("school") == "secret" and token_of("") == ""
    monkeypatch.setenv("LINEDEAL_TOKEN_FILE", str(tmp_path / "none"))
    with pytest.raises(ContactError, match="no key can be read"):
        token_of("school")


# whole courses, on a mock clock

C1 = Contact((("c1", 1),), "s")
BOTH = Contact((("c1", 1), ("c2", 1)), "s")
WEB, MAIL, FEED = (JobRequest(offering, "", "v", 1.0, 1.0) for offering in ("web", "mail", "feed"))


def test_jobs_of_all_effects_are_followed_over_a_kill(tmp_path):
    async def work(ground):
        async with Owner.open(ground.net, C1) as owner:
            keys = [await owner.submit(ask) for ask in (WEB, MAIL, FEED) for _ in range(5)]
            await ground.kill("c1")
            await anyio.sleep(0.5)
            await ground.start("c1")
            found = await owner.wait_until(keys, lambda standing: standing.over, every=True)
            assert owner.keys() == keys
            for key in keys:
                await owner.forget(key)
        async with Owner.open(ground.net, C1) as owner:
            assert owner.keys() == []
        return [standing.stage for standing in found]

    assert run_in_memory(tmp_path, work) == ["done"] * 15


def test_a_session_is_opened_again_with_its_jobs(tmp_path):
    async def work(ground):
        async with Owner.open(ground.net, C1) as owner:
            held = await owner.submit(FEED, hold=True, work=pb.Work(name="feed 7", command="feed"))
            ended = await owner.submit(WEB)
            await owner.wait_until_over(ended)
        await ground.kill("c1")
        await ground.start("c1")
        async with Owner.open(ground.net, C1) as owner:
            standing = owner.status(held)
            assert (standing.stage, standing.name, standing.offering) == ("held", "feed 7", "feed")
            assert owner.status(ended).stage == "done" and owner.status(ended).ran.status == 0
            await owner.order(held, RELEASE)
            assert (await owner.wait_until_over(held)).stage == "done"
            with pytest.raises(NoSuchJobError):
                await owner.find("nothing", 0.1)
            with pytest.raises(OrderRefusedError):
                await owner.order(held, HOLD)

    run_in_memory(tmp_path, work)


def test_an_error_in_the_block_comes_out_as_it_is(tmp_path):
    # guards against errors that a caller cannot catch by name, since the links' task group has wrapped them
    async def work(ground):
        with pytest.raises(NoSuchJobError):
            async with Owner.open(ground.net, C1) as owner:
                owner.status("nothing")
        with pytest.raises(JobDeclinedError):
            async with Client.connect(ground.net, ("c1", 1), "t") as client:
                await client.submit(JobRequest("nothing", "", "v", 1.0, 1.0))

    run_in_memory(tmp_path, work)


def test_two_clients_with_one_key_share_one_job(tmp_path):
    async def work(ground):
        async with Owner.open(ground.net, C1) as one, Owner.open(ground.net, C1) as other:
            assert await one.submit(FEED, "k") == await other.submit(FEED, "k") == "k"
            assert (await one.wait_until_over("k")).job == (await other.wait_until_over("k")).job
            with pytest.raises(JobDeclinedError, match="names another job"):
                await other.submit(WEB, "k")
        assert (
            sum(
                len(host.model.ended_launches) + len(host.model.launches)
                for name, host in ground.servers.items()
                if name.startswith("h")
            )
            <= 1
        )

    run_in_memory(tmp_path, work)


def test_a_redoable_job_goes_elsewhere_and_an_irreversible_one_waits(tmp_path):
    # guards against a second effect: only the home of an irreversible job can tell what became of it
    async def work(ground):
        async with Owner.open(ground.net, BOTH) as owner:
            home = owner.homes[0].address[0]
            web, feed = await owner.submit(WEB, hold=True), await owner.submit(FEED, hold=True)
            await ground.kill(home)
            await anyio.sleep(4.0)
            assert owner.courses[web].home.address[0] != home and owner.courses[feed].home.address[0] == home
            await owner.order(web, RELEASE)
            assert (await owner.wait_until_over(web)).stage == "done"
            assert owner.status(feed).stage == "held"
            await ground.start(home)
            await anyio.sleep(1.0)
            await owner.order(feed, RELEASE)
            assert (await owner.wait_until_over(feed)).stage == "done"
            # back at its first home the redoable job is ended and forgotten: it runs once
            await anyio.sleep(3.0)
        engine = ground.servers[home].engine
        assert not any(entry.key == web for entry in engine.sessions.ledger.entries.values())

    run_in_memory(tmp_path, work)


def test_a_job_that_is_ended_at_its_host_says_so(tmp_path):
    async def work(ground):
        async with Owner.open(ground.net, C1) as owner:
            key = await owner.submit(FEED)
            await owner.wait_until([key], lambda standing: standing.stage == "running")
            await owner.order(key, END)
            ended = await owner.wait_until_over(key)
            assert ended.stage == "stopped" and ended.ran.status is None and ended.ending
            late = await owner.submit(WEB, start_in=60.0)
            await owner.order(late, END)
            assert (
                owner.status(late).stage == "rejected" and owner.status(late).reason == "ended by its owner"
            )

    run_in_memory(tmp_path, work, habits="setup=0.1 life=50")


def test_an_order_that_met_a_dead_controller_is_followed_when_it_is_back(tmp_path):
    # guards against an owner that waits for ever for the reply to what was lost with the link
    async def work(ground):
        async with Owner.open(ground.net, C1) as owner:
            key = await owner.submit(FEED, hold=True)
            await ground.kill("c1")
            await anyio.sleep(0.5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner.order, key, RELEASE)
                await anyio.sleep(0.5)
                await ground.start("c1")
            with anyio.fail_after(20):
                assert (await owner.wait_until_over(key)).stage == "done"

    run_in_memory(tmp_path, work)


def test_a_press_feed_host_that_is_silent_over_a_restart_while_probes_succeed(tmp_path):
    # guards against a job that is forgotten with the life that sent it, or sent again by the next
    async def work(ground):
        for name in ("h01", "h02", "h03"):
            await ground.order(name, {"mute": True})
        async with Owner.open(ground.net, C1) as owner:
            keys = [await owner.submit(FEED) for _ in range(4)]
            await anyio.sleep(0.3)
            await ground.kill("c1")
            await ground.start("c1")
            found = await owner.wait_until(keys, lambda standing: standing.answered, every=True)
            for name in ("h01", "h02", "h03"):
                await ground.order(name, {"mute": False})
        copies = [
            copy.job.id
            for name, host in ground.servers.items()
            if name.startswith("h")
            for copy in (*host.model.launches.values(), *host.model.ended_launches.values())
        ]
        assert len(copies) == len(set(copies))
        return {standing.stage for standing in found}

    assert run_in_memory(tmp_path, work, habits="setup=0.1 life=50") <= {"placed", "running", "written off"}


def test_random_kills_with_hundreds_of_jobs_in_flight(tmp_path):
    async def work(ground):
        random, asked = Random(3), {}
        async with Owner.open(ground.net, C1) as owner:

            async def load():
                for number in range(400):
                    ask = (WEB, MAIL, FEED)[number % 3]
                    try:
                        asked[await owner.submit(ask, f"k{number}", timeout=60.0)] = ask.offering
                    except JobDeclinedError:
                        pass
                    await anyio.sleep(0.01)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(load)
                for _ in range(8):
                    await anyio.sleep(random.uniform(0.2, 0.8))
                    await ground.kill("c1")
                    await anyio.sleep(random.uniform(0.0, 0.3))
                    await ground.start("c1")
            found = await owner.wait_until(list(asked), lambda standing: standing.over, every=True)
            runs = {}
            for name, host in ground.servers.items():
                if name.startswith("h"):
                    for copy in (*host.model.launches.values(), *host.model.ended_launches.values()):
                        if copy.began:
                            runs[copy.job.id] = runs.get(copy.job.id, 0) + 1
            for standing in found:
                if standing.offering == "feed":
                    assert runs.get(standing.job, 0) <= 1, standing
                assert standing.stage != "unknown", standing
        return len(found)

    assert run_in_memory(tmp_path, work, hosts=20, habits="setup=0.05 life=0.5 look=0.002") >= 390


def test_a_bulk_of_ten_thousand_is_taken_once_each(tmp_path):
    async def work(ground):
        async with Owner.open(ground.net, C1) as owner:
            keys = await owner.submit_many(
                [(WEB, f"b.{index}", pb.Work(index=index)) for index in range(10_000)], hold=True
            )
            assert len(owner.keys()) == 10_000 and owner.status(keys[-1]).stage == "held"
        async with Owner.open(ground.net, C1) as again:
            assert sorted(again.keys()) == sorted(keys)
            await again.order(keys[0], RELEASE)
            assert (await again.wait_until_over(keys[0])).stage == "done"

    run_in_memory(tmp_path, work)


def test_a_bulk_that_is_refused_midway_leaves_nothing_behind(tmp_path):
    async def work(ground):
        async with Owner.open(ground.net, C1) as owner:
            with pytest.raises(JobDeclinedError, match="too many jobs"):
                await owner.submit_many([(WEB, f"b.{i}", None) for i in range(30)], hold=True, timeout=2.0)
            assert not ground.servers["c1"].engine.unanswered

    run_in_memory(tmp_path, work, cluster=PAIR.replace("held = 20000", "held = 20"))


def test_a_bulk_that_meets_a_dead_controller_times_out_by_name(tmp_path):
    # guards against a time-out that is wrapped with the bulk's tasks, and so no caller's TimeoutError
    async def work(ground):
        async with Owner.open(ground.net, C1) as owner:
            await ground.kill("c1")
            await anyio.sleep(0.5)
            with pytest.raises(TimeoutError):
                await owner.submit_many([(FEED, f"b.{i}", None) for i in range(3)], timeout=1.0)

    run_in_memory(tmp_path, work)


def test_a_full_journal_turns_jobs_away_and_sees_through_what_is_taken(tmp_path):
    # guards against a controller that ends, or forgets, because a disk is full
    async def work(ground):
        runtime = ground.servers["c1"]
        async with Owner.open(ground.net, C1) as owner:
            taken, big = [], pb.Work(command="x" * 20000)
            with pytest.raises(JobDeclinedError, match="the journal is full"):
                for number in range(200):
                    taken.append(await owner.submit(FEED, work=big, hold=True, timeout=0.5))
            assert 20 < len(taken) < 60 and runtime.journal.full
            for key in taken[:5]:
                await owner.order(key, RELEASE)
            found = await owner.wait_until(taken[:5], lambda standing: standing.over, every=True)
            assert {standing.stage for standing in found} == {"done"}
            for key in taken[5:]:
                await owner.order(key, END)
            for key in taken:
                await owner.forget(key)
            await anyio.sleep(3.0)
            assert (
                await owner.wait_until_over(await owner.submit(FEED, work=big))
            ).stage == "done"  # it has room again

    run_in_memory(tmp_path, work, cluster=PAIR + "\njournal {\n most = 1100000\n}\n")


def test_keys_guard_sessions_over_the_wire(tmp_path):
    async def work(ground):
        school, shop = replace(C1, customer="school"), replace(C1, customer="shop")
        async with Owner.open(ground.net, school, "one") as mine:
            key = await mine.submit(replace(FEED, customer="school"), hold=True)
            with pytest.raises(JobDeclinedError, match="submits for customer 'school' only"):
                await mine.submit(replace(FEED, customer="shop"))
            async with Owner.open(ground.net, shop, "two") as other:  # the same session name, another owner
                with pytest.raises(NoSuchJobError):
                    await other.find(key, 0.1)
        for contact, token in ((school, "two"), (C1, "")):
            with pytest.raises(SessionOpenError, match="key"):
                async with Owner.open(ground.net, contact, token, timeout=1.0):
                    pass

    cluster = (
        PAIR
        + "".join(
            f'customer "{name}" {{\n key = "{hash_of(token)}"\n}}\n'
            for name, token in (("school", "one"), ("shop", "two"))
        )
        + "clients {\n keys_needed = true\n}\n"
    )
    run_in_memory(tmp_path, work, cluster=cluster)


def test_thousands_of_jobs_go_back_to_the_module_some_a_turn():
    # guards against a start that answers nobody, and lets its links break, while the module takes them all in
    d = recovered(
        open_jobs=[
            OpenJob("s", f"k{n}", replace(JOB, id=f"c.1.{n}", offering="web"), 5.0, follow=True)
            for n in range(200)
        ]
    )
    d.list_hosts(list(d.engine.fleet.hosts), 0.1)
    first = len(d.engine.module.waiting) + len(d.engine.by_job)
    assert 0 < first <= 20 and d.engine.next_due() <= 0.1
    order(d, 0.1, "HOLD", "k199")  # while it is on its way back
    d.advance(0.2)
    assert len(d.engine.module.tracked_jobs) >= 195 and "c.1.199" not in d.engine.module.tracked_jobs
    order(d, 0.3, "RELEASE", "k199")
    assert "c.1.199" in d.engine.module.tracked_jobs


def test_hosts_that_owners_wait_for_are_asked_first():
    d = recovered(open_jobs=[OpenJob("s", "k", JOB, 5.0, (OldLaunch(events.LaunchId(1, 4), "h29", 1),))])
    d.engine.connect_pacer.waiting.clear()
    asked = d.of_type(effects.OpenLink, d.list_hosts([f"h{n:02}" for n in range(30)], 0.1))
    assert asked[0].host == "h29"
