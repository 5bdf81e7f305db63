"""Campaigns without processes: decisions, campaigns in simulated time, and the audit on hand-made records.

The simulated campaigns are also run with each safety check removed in turn, which must be detected.
"""

from dataclasses import replace

import pytest

from linedeal.audit import reconstruct_traffic
from linedeal.audit.duties import find_duty_breaches
from linedeal.duties import campaign, duty
from linedeal.duties.campaign import (
    Bounds,
    ClusterView,
    DrainState,
    HostState,
    HostUpdate,
    Mode,
    Plan,
    Progress,
    Stage,
    Want,
    batches,
    decide,
    make_plan,
    validate,
)
from linedeal.duties.campaign_runner import CampaignRunner, OrderKind, OrderReply
from linedeal.duties.census import Census
from linedeal.duties.duty import Duty, DutyError
from linedeal.fleet.hosts import HostNow, HostsNow
from linedeal.fleet.operator import HostSelection, plan_campaign
from linedeal.lab.campaign_simulation import FaultModel, run_simulations
from linedeal.lab.record import Recorder
from linedeal.protocol import encode, pb
from linedeal.settings.cluster import ConfigError, parse_cluster

BOUNDS = Bounds(most=2, cells=2, room=0.5, patience=20.0, warm=5.0, away=30.0)
FLEET = {"a": ("std", 0), "b": ("std", 0), "c": ("std", 1), "d": ("std", 1), "e": ("std", 2)}


def plan(bounds=BOUNDS, want=Want.RUN, fleet=FLEET) -> Plan:
    return replace(make_plan("r1", set(fleet), fleet, bounds), want=want)


def view(**changed) -> ClusterView:
    """All hosts serve at boot 1 except those given, each with a Mode or a HostState."""
    hosts = {host: HostState(Mode.SERVES, 1, 1000.0) for host in FLEET}
    for host, state in changed.items():
        hosts[host] = state if isinstance(state, HostState) else HostState(state, 1, 1000.0)
    return ClusterView(hosts)


def out(progress) -> dict[str, Stage]:
    """The hosts that are out of service, with their stages."""
    return {update.host: update.stage for update in progress.out}


# --- decisions


def test_hosts_go_out_of_service_cell_by_cell_up_to_the_bounds():
    progress = decide(plan(), Progress(), BOUNDS, view())
    assert out(progress) == {"a": Stage.DRAINS, "b": Stage.DRAINS} and not progress.stands
    again = decide(plan(), progress, BOUNDS, view())
    assert out(again) == out(progress) and "2 out of service (a, b), 2 may be" in again.stands
    assert [len(batch) for batch in batches(plan())] == [2, 2, 1]
    assert batches(plan(replace(BOUNDS, cells=1, most=5))) == [["a", "b"], ["c", "d"], ["e"]]


def test_a_host_that_died_or_is_drained_by_others_counts_as_out_of_service():
    assert out(decide(plan(), Progress(), BOUNDS, view(e=Mode.GONE))) == {"a": Stage.DRAINS}
    assert out(decide(plan(), Progress(), BOUNDS, view(e=Mode.DRAINS))) == {"a": Stage.DRAINS}
    both = decide(plan(), Progress(), BOUNDS, view(d=Mode.DRAINS, e=Mode.GONE))
    assert not both.out and "2 out of service (d, e)" in both.stands
    unlisted = view()
    del unlisted.hosts["e"]
    assert out(decide(plan(), Progress(), BOUNDS, unlisted)) == {"a": Stage.DRAINS}


def test_after_the_cluster_files_limit_was_lowered_no_host_is_started_until_it_is_met():
    two_out = Progress("r1", (HostUpdate("a", Stage.DRAINS, 1), HostUpdate("b", Stage.DRAINS, 1)))
    after = decide(plan(), two_out, replace(BOUNDS, most=1), view(a=Mode.DRAINS, b=Mode.DRAINS))
    assert len(after.out) == 2 and "1 may be" in after.stands


def test_the_share_of_a_kind_and_the_cells_limit_what_is_out_of_service():
    fleet = {**FLEET, "p": ("press", 0), "q": ("press", 0)}
    wide = replace(BOUNDS, most=7, cells=9, room=0.5)
    all_serve = ClusterView({host: HostState(Mode.SERVES, 1, 1000.0) for host in fleet})
    progress = decide(plan(wide, fleet=fleet), Progress(), wide, all_serve)
    assert out(progress).keys() == {"a", "b", "p"}, "2 of 5 std, 1 of 2 press"


@pytest.mark.parametrize(
    "drain, spent, after",
    [
        (None, 100.0, Stage.DRAINS),
        (DrainState(1, False, 0, 0), 0.0, Stage.DRAINS),
        (DrainState(1, True, 3, 0), 5.0, Stage.DRAINS),
        (DrainState(1, True, 0, 0), 0.0, Stage.REPLACES),
        (DrainState(1, True, 3, 0), 20.0, Stage.REPLACES),
        (DrainState(1, True, 3, 1), 1e6, Stage.DRAINS),
    ],
    ids=["no reply yet", "not draining", "has work", "empty", "patience over", "irreversible"],
)
def test_a_drain_lasts_until_its_work_or_patience_is_over_and_irreversible_work_always(drain, spent, after):
    begun = Progress("r1", (HostUpdate("a", Stage.DRAINS, 1, spent),))
    drains = {} if drain is None else {"a": drain}
    assert out(decide(plan(), begun, BOUNDS, replace(view(a=Mode.DRAINS), drains=drains)))["a"] is after


def test_a_host_that_died_while_draining_is_replaced_only_after_long_unresponsiveness():
    begun = Progress("r1", (HostUpdate("a", Stage.DRAINS, 1),))
    held = {"a": DrainState(1, True, 2, 1)}
    for seconds, stage in ((5.0, Stage.DRAINS), (20.0, Stage.REPLACES)):
        gone = replace(view(a=Mode.GONE), drains=held, unresponsive_seconds={"a": seconds})
        assert out(decide(plan(), begun, BOUNDS, gone))["a"] is stage
    answers = replace(view(a=Mode.DRAINS), drains=held, unresponsive_seconds={"a": 1e6})
    assert out(decide(plan(), begun, BOUNDS, answers))["a"] is Stage.DRAINS, (
        "it is listed: only this controller may be cut off from it"
    )


def test_a_host_that_restarted_by_itself_drains_in_its_new_boot_and_stays_out_of_service():
    begun = Progress("r1", (HostUpdate("a", Stage.DRAINS, 1, 15.0),))
    restarted = replace(view(a=HostState(Mode.SERVES, 2, 3.0)), drains={"a": DrainState(2, False, 1, 0)})
    assert decide(plan(), begun, BOUNDS, restarted).out[0] == HostUpdate("a", Stage.DRAINS, 2)
    replacing = Progress("r1", (HostUpdate("a", Stage.REPLACES, 1),))
    assert decide(plan(), replacing, BOUNDS, replace(view(), unexpected_boots={"a": 7})).out[0] == HostUpdate(
        "a", Stage.DRAINS, 7
    )


def test_a_replaced_host_counts_once_it_serves_is_warm_and_the_tool_has_confirmed_it():
    begun = Progress("r1", (HostUpdate("a", Stage.REPLACES, 1),))
    warm, too_young = HostState(Mode.SERVES, 2, 5.0), HostState(Mode.SERVES, 2, 4.9)
    confirmed = frozenset({("a", 1)})
    assert decide(plan(), begun, BOUNDS, replace(view(a=warm), replaced=confirmed)).done == (0,)
    for state, replaced in (
        (too_young, confirmed),
        (warm, frozenset()),
        (HostState(Mode.SERVES, 1, 99.0), confirmed),
        (HostState(Mode.DRAINS, 2, 99.0), confirmed),
    ):
        after = decide(plan(), begun, BOUNDS, replace(view(a=state), replaced=replaced))
        assert not after.done and out(after)["a"] is Stage.REPLACES


def test_paused_and_aborted_campaigns_finish_the_hosts_that_are_out_and_start_no_others():
    begun = Progress("r1", (HostUpdate("a", Stage.REPLACES, 1),))
    back = replace(view(a=HostState(Mode.SERVES, 2, 9.0)), replaced=frozenset({("a", 1)}))
    for want in (Want.PAUSE, Want.ABORT):
        assert out(decide(plan(want=want), begun, BOUNDS, view(a=Mode.GONE))) == {"a": Stage.REPLACES}
    paused = decide(plan(want=Want.PAUSE), begun, BOUNDS, back)
    assert paused.done == (0,) and not paused.out and not paused.ended and "operator" in paused.stands
    assert decide(plan(want=Want.ABORT), begun, BOUNDS, back).ended == "aborted"
    assert decide(plan(), paused, BOUNDS, view()).out, "resumed"
    assert decide(plan(want=Want.ABORT), Progress(), BOUNDS, view()).ended == "aborted"


def test_it_pauses_by_itself_on_overload_or_stale_information_and_gives_the_reason():
    for changed in (
        {"overload_reason": "40% of launches were turned away"},
        {"stale_reason": "the list of hosts is 20 s old"},
    ):
        after = decide(plan(), Progress(), BOUNDS, replace(view(), **changed))
        assert not after.out and after.stands == next(iter(changed.values()))


def test_it_continues_without_hosts_that_stay_missing_and_names_them_at_its_end():
    four_done = Progress("r1", (), (0, 1, 2, 3))
    assert (
        decide(plan(), four_done, BOUNDS, replace(view(e=Mode.GONE), idle_seconds=29.0)).stands
        == "e waits: is not there"
    )
    left = decide(plan(), four_done, BOUNDS, replace(view(e=Mode.DRAINS), idle_seconds=30.0))
    assert left.left == {4: "drains by another hand"}
    ended = decide(plan(), left, BOUNDS, view())
    assert ended.ended == "done" and "left out: e drains by another hand" in campaign.describe_progress(
        plan(), ended
    )


@pytest.mark.parametrize(
    "bounds, fleet, expected",
    [
        (
            replace(BOUNDS, room=0.1),
            FLEET,
            "kind std: one of its 5 hosts is 20% of its room, 10% may be out at once",
        ),
        (BOUNDS, {}, "it names no host"),
        (BOUNDS, {f"host-with-a-long-name-{n:04}": ("std", n) for n in range(400)}, "a register holds 8192"),
    ],
    ids=["room", "none", "size"],
)
def test_a_plan_that_could_not_be_carried_out_is_refused(bounds, fleet, expected):
    with pytest.raises(DutyError, match=expected.replace("(", "\\(")):
        validate(plan(bounds, fleet=fleet), ClusterView({}))


def test_four_hundred_hosts_with_names_of_usual_length_fit_into_one_plan():
    fleet = {f"h{n:03}": ("std", n // 8) for n in range(400)}
    full_plan = validate(plan(BOUNDS, fleet=fleet), ClusterView({}))
    progress = Progress(
        "r1", (HostUpdate("h399", Stage.REPLACES, 1 << 60),), tuple(range(399)), {}, "", "x" * 200
    )
    assert len(campaign.encode(progress)) < duty.MAX_PROGRESS_BYTES and len(full_plan.targets) == 400


def test_a_selection_takes_hosts_that_match_all_criteria_and_names_unknown_ones():
    hosts = HostsNow(
        {
            f"h{n}": HostNow("std" if n % 2 else "press", "ab"[n // 4], n // 2, Mode.SERVES, 1, 9.0, "")
            for n in range(8)
        }
    )
    wide = replace(BOUNDS, room=1.0)
    assert plan_campaign("r", hosts, HostSelection(kinds=("std",), zones=("a",)), wide, wide).targets == (
        "h1",
        "h3",
    )
    assert plan_campaign("r", hosts, HostSelection(cells=(0, 3)), wide, wide).targets == (
        "h0",
        "h1",
        "h6",
        "h7",
    )
    assert plan_campaign("r", hosts, HostSelection(("h1",)), replace(wide, most=9), wide).bounds.most == 2, (
        "the cluster file's limit"
    )
    with pytest.raises(DutyError, match="h9"):
        plan_campaign("r", hosts, HostSelection(("h1", "h9")), wide, wide)


@pytest.mark.parametrize(
    "line, expected",
    [
        ('tool = "here"', "campaign: tool: 'here' is not HOST:PORT"),
        ('tool = "a:1"\n most = 0', "most is 0, 1 at least"),
        ('tool = "a:1"\n room = 1.5', "room is 1.5, over 0 and up to 1"),
        ('tool = "a:1"\n warm = -1', "warm is -1, 0 at least"),
        ('tool = "a:1"\n mots = 3', "unknown key mots, the nearest known is most"),
        ("most = 3", "tool is missing"),
    ],
)
def test_an_invalid_block_is_reported_with_its_key(line, expected):
    with pytest.raises(ConfigError) as found:
        parse_cluster(
            "cluster {\n controllers = 1\n}\n"
            'kind "std" {\n cores = 1\n memory = 1\n}\n'
            'offering "w" {\n expiry = 5\n effect = "redoable"\n}\n'
            'council {\n id = "x"\n}\n'
            'member "c1" {\n address = "a:1"\n}\n'
            f"campaign {{\n {line}\n}}"
        )
    assert any(expected in error for error in found.value.lines), found.value.lines


# --- the owner's state machine


def census(token, number, launches=0, refused=0, taken=0, waiting=0) -> Census:
    return Census(
        token,
        number,
        3,
        (),
        0,
        0.0,
        {"launches": launches, "launches refused": refused, "taken": taken},
        {"waiting": waiting},
    )


def test_nothing_is_ordered_before_it_is_stored_in_the_council():
    runner = CampaignRunner(Progress(), 0.0)
    runner.receive_census(census(1, 1), 0.0)
    after = runner.step(plan(), BOUNDS, view().hosts, 0.0, 1.0)
    assert after.out and not runner.orders()
    runner.mark_stored(after, 1.0)
    assert {(order.kind, order.host) for order in runner.orders()} == {
        (OrderKind.DRAIN, "a"),
        (OrderKind.DRAIN, "b"),
    }
    assert runner.step(plan(), BOUNDS, view(a=Mode.DRAINS, b=Mode.DRAINS).hosts, 0.0, 2.0).stands
    for order in runner.orders():
        runner.receive_reply(order, OrderReply(True, 1, True), 3.0)
    assert {order.kind for order in runner.orders()} == {OrderKind.DRAIN}, "the replacement is not stored yet"


def test_time_out_of_service_is_counted_across_owners():
    begun = Progress("r1", (HostUpdate("a", Stage.DRAINS, 1, 15.0),))
    runner = CampaignRunner(begun, 100.0)
    runner.receive_census(census(1, 1), 100.0)
    order = runner.orders()[0]
    runner.receive_reply(order, OrderReply(True, 1, True, jobs=2), 101.0)
    assert out(runner.step(plan(want=Want.PAUSE), BOUNDS, view().hosts, 0.0, 104.0)) == {"a": Stage.DRAINS}
    assert out(runner.step(plan(want=Want.PAUSE), BOUNDS, view().hosts, 0.0, 105.0)) == {"a": Stage.REPLACES}


def test_overload_between_two_censuses_pauses_it_until_well_under_the_limit():
    runner = CampaignRunner(Progress(), 0.0)
    hosts = view().hosts

    def state(number, now, **figures):
        runner.receive_census(census(1, number, **figures), now)
        after = runner.step(plan(), BOUNDS, hosts, 0.0, now) or runner.stored
        return after.stands if not after.out else "begins"

    assert state(1, 0.0, launches=100, refused=90) == "begins", "one census shows no rate"
    assert "31% of launches were turned away" in state(2, 3.0, launches=200, refused=121)
    assert "turned away" in state(3, 6.0, launches=300, refused=146), (
        "25%: the pause starts at 30% and ends under 22.5%"
    )
    assert state(4, 9.0, launches=400, refused=166) == "begins"
    assert "50% of the jobs to be placed still wait" in state(
        5, 12.0, launches=500, refused=166, taken=40, waiting=20
    )
    assert "still wait" in state(6, 15.0, launches=600, refused=166, taken=60, waiting=10), "10 of 40"
    assert state(7, 18.0, launches=700, refused=166, taken=90, waiting=8) == "begins", "8 of 40"
    assert state(8, 21.0, launches=705, refused=171, taken=91, waiting=9) == "begins", (
        "too few launches for a rate"
    )
    assert "no census for 16 s" in (runner.step(plan(), BOUNDS, hosts, 0.0, 37.0) or runner.stored).stands
    assert "list of hosts is 16 s old" in runner.step(plan(), BOUNDS, hosts, 16.0, 38.0).stands


# --- campaigns in simulated time


def test_campaigns_end_within_their_bounds_although_owners_die_at_any_step():
    results = run_simulations(range(30))
    assert [result.violations for result in results] == [[]] * len(results)
    ended = [result for result in results if result.progress.ended == "done"]
    assert len(ended) >= 28, [result.progress for result in results if not result.progress.ended]
    assert (
        sum(result.owner_count for result in results) > 500
        and sum(result.rejected for result in results) > 100
    )
    assert max(result.max_out for result in results) == 3
    prompt = run_simulations(
        range(20),
        fault_model=FaultModel(max_delay=0.5, list_delay=1.0, host_failure_rate=0.02, max_downtime=60.0),
    )
    assert [result.violations for result in prompt] == [[]] * len(prompt)


def test_a_campaign_continues_after_its_owner_dies_at_each_single_step_in_turn():
    """The owner dies once, at its n-th step, for every n; only the delays of messages are random."""
    from linedeal.lab.campaign_simulation import CampaignSimulation

    class DiesAt(CampaignSimulation):
        steps, at = 0, 0

        def maybe_fail_owner(self, owner, token, orders):
            self.steps += 1
            self.fault_model = replace(
                self.fault_model, owner_failure_rate=1.0 if self.steps == self.at else 0.0
            )
            return super().maybe_fail_owner(owner, token, orders)

    calm = FaultModel(
        host_failure_rate=0.0, manual_drain_rate=0.0, loss_rate=0.0, max_delay=0.4, frozen_share=1.0
    )
    clean = DiesAt(5, hosts=4, fault_model=calm)
    assert clean.play(900.0).progress.ended == "done"
    for step in range(1, clean.steps + 1):
        releases = DiesAt(5, hosts=4, fault_model=calm)
        releases.at = step
        result = releases.play(900.0)
        assert (result.violations, result.progress.ended, result.owner_count) == ([], "done", 2), step
    assert clean.steps > 100


blocking_reason, advance_host = campaign.blocking_reason, campaign.advance_host


def ignore_deaths(plan, progress, view):
    return {update.host for update in progress.out}


def ignore_irreversible_jobs(update, bounds, view):
    drain = view.drains.get(update.host)
    if drain is not None:
        view = replace(view, drains={**view.drains, update.host: replace(drain, irreversible=0)})
    return advance_host(update, bounds, view)


def accept_any_reply(update, bounds, view):
    drain = view.drains.get(update.host)
    if drain is not None:
        view = replace(view, drains={**view.drains, update.host: replace(drain, draining=True, jobs=0)})
    return advance_host(update, bounds, view)


def drain_successor(update, bounds, view):
    """Takes a replaced host that serves for the one that was to drain."""
    host = view.hosts.get(update.host)
    if (
        update.stage is Stage.REPLACES
        and host is not None
        and host.mode is Mode.SERVES
        and host.boot != update.boot
    ):
        return HostUpdate(update.host, Stage.DRAINS, host.boot)
    return advance_host(update, bounds, view)


# safety checks to remove: where, what, and what takes its place
REMOVED_CHECKS = {
    "a limit that is not checked": (
        campaign,
        "blocking_reason",
        lambda plan, bounds, view, out, host: blocking_reason(
            plan, replace(bounds, most=99, cells=99, room=1.0), view, set(), host
        ),
    ),
    "deaths that do not count": (campaign, "out_of_service", ignore_deaths),
    "progress that the next owner does not get": (campaign, "decode", lambda body, kind: Progress()),
    "irreversible jobs not waited for": (campaign, "advance_host", ignore_irreversible_jobs),
    "a host's reply from before it drained": (campaign, "advance_host", accept_any_reply),
    "a replaced host taken for its former boot": (campaign, "advance_host", drain_successor),
}


@pytest.mark.parametrize("module, name, replacement", REMOVED_CHECKS.values(), ids=REMOVED_CHECKS)
def test_each_removed_check_is_detected(monkeypatch, module, name, replacement):
    monkeypatch.setattr(module, name, replacement)
    prompt = FaultModel(max_delay=0.5, list_delay=1.0, host_failure_rate=0.02, max_downtime=60.0)
    assert any(
        result.violations
        for trouble in (FaultModel(), prompt)
        for result in run_simulations(range(40), 600.0, fault_model=trouble)
    )


# --- the audit of effects

AUDITED = parse_cluster("""
cluster {
  controllers = 1
}
council {
  id = "x"
}
member "c1" {
  address = "a:1"
}
campaign {
  tool = "a:2"
  most = 1
  cells = 9
  room = 1.0
}
kind "std" {
  cores = 16
  memory = 64
}
offering "feed" {
  expiry = 10
  effect = "irreversible"
}
""")


class Record:
    """A hand-made traffic record: hosts a and b at boot 1, owner c1/1 with token 1."""

    def __init__(self):
        self.recorder, self.last_number = Recorder(), 0
        self.watch = self.open("discovery", pb.CONTROLLER, "c1", 0.0)
        for host in "ab":
            self.listed(0.0, host, 1, 100.0)
        self.council = self.open("c1/council", pb.CONTROLLER, "c1", 0.0)
        fleet = {"a": ("std", 0), "b": ("std", 1)}
        self.change(
            1.0,
            "campaign/plan",
            campaign.encode(make_plan("r", {"a", "b"}, fleet, Bounds(most=1, cells=9, room=1))),
        )

    def open(self, to, role, name, t):
        link = self.recorder.opened(t, to)
        self.recorder.data(t, link, ">", encode(pb.Hello(version=1, role=role, name=name)))
        return link

    def listed(self, t, host, boot, age, mode=pb.SERVING):
        self.recorder.data(
            t,
            self.watch,
            "<",
            encode(
                pb.HostList(
                    version=1, hosts=[pb.HostEntry(id=host, kind="std", mode=mode, boot=boot, age=age)]
                )
            ),
        )

    def change(self, t, key, body, made=True):
        self.last_number += 1
        self.recorder.data(
            t,
            self.council,
            ">",
            encode(pb.CouncilAsk(number=self.last_number, kind=pb.CHANGE, key=key, body=body)),
        )
        if made:
            self.recorder.data(
                t, self.council, "<", encode(pb.CouncilTold(number=self.last_number, outcome="DONE"))
            )

    def progress(self, t, *out, token=1, made=True, **rest):
        body = campaign.encode(Progress("r", tuple(out), **rest))
        self.change(t, "duty/campaign", duty.encode(Duty(f"c{token}/1", token, 6.0, 1, "", body)), made)

    def order(
        self,
        t,
        kind,
        host,
        boot=1,
        token=1,
        owner="",
        answered_at=0.0,
        done=True,
        draining=False,
        irreversible=0,
    ):
        link = self.open("tool" if kind == pb.HOST_REPLACE else host, pb.OWNER, owner or f"c{token}/1", t)
        self.recorder.data(
            t,
            link,
            ">",
            encode(
                pb.DutyOrder(
                    number=1, duty="duty/campaign", token=token, campaign="r", kind=kind, host=host, boot=boot
                )
            ),
        )
        self.recorder.data(
            answered_at or t + 0.01,
            link,
            "<",
            encode(
                pb.DutyTold(
                    number=1, done=done, boot=boot, token=token, draining=draining, irreversible=irreversible
                )
            ),
        )

    def breaches(self):
        return {
            breach.claim for breach in find_duty_breaches(reconstruct_traffic(self.recorder.entries), AUDITED)
        }


def complete_first_host(record):
    """Adds the drain and the replacement of host a."""
    record.progress(2.0, HostUpdate("a", Stage.DRAINS, 1))
    record.order(3.0, pb.HOST_DRAIN, "a")
    record.progress(4.0, HostUpdate("a", Stage.REPLACES, 1))
    record.recorder.mark(5.0, "replace", "a")
    record.order(5.0, pb.HOST_REPLACE, "a")
    record.listed(6.0, "a", 2, 0.5)
    return record


def test_a_correct_campaign_breaks_no_claim():
    record = complete_first_host(Record())
    record.progress(8.0, HostUpdate("b", Stage.DRAINS, 1), done=(0,))
    record.order(9.0, pb.HOST_DRAIN, "b")
    record.order(9.5, pb.HOST_DRAIN, "b", token=1)
    record.progress(9.8, HostUpdate("b", Stage.DRAINS, 1), token=2, done=(0,))
    record.order(10.0, pb.HOST_DRAIN, "b", token=2)
    record.order(11.0, pb.HOST_DRAIN, "b", token=1, done=False)
    record.progress(12.0, token=2, done=(0, 1), ended="done")
    assert record.breaches() == set()


def test_an_order_of_an_old_owner_carried_out_after_a_later_ones_is_detected():
    record = complete_first_host(Record())
    record.order(7.0, pb.HOST_DRAIN, "a", token=3, done=True)
    record.order(8.0, pb.HOST_DRAIN, "a", token=2, done=True)
    assert "tokens" in record.breaches()


def test_one_token_used_by_two_owners_is_detected():
    record = complete_first_host(Record())
    record.order(7.0, pb.HOST_DRAIN, "a", token=1, owner="c9/1", done=False)
    assert record.breaches() == {"tokens"}


def test_an_order_before_its_progress_is_stored_is_detected():
    record = Record()
    record.order(3.0, pb.HOST_DRAIN, "a")
    record.progress(3.5, HostUpdate("a", Stage.DRAINS, 1))
    assert record.breaches() == {"planned"}
    record = Record()
    record.progress(2.0, HostUpdate("a", Stage.DRAINS, 1), made=False)
    record.order(3.0, pb.HOST_DRAIN, "a")
    assert "planned" in record.breaches()


def test_a_second_drain_after_the_replacement_is_detected():
    record = complete_first_host(Record())
    record.progress(8.0, HostUpdate("a", Stage.DRAINS, 2))
    record.order(9.0, pb.HOST_DRAIN, "a", boot=2)
    assert record.breaches() == {"twice"}


@pytest.mark.parametrize("since, broken", [(8.5, set()), (2.0, {"limit"})])
def test_a_death_counts_from_when_it_must_be_known(since, broken):
    record = complete_first_host(Record())
    record.recorder.mark(since, "kill", "a")
    record.progress(8.8, HostUpdate("b", Stage.DRAINS, 1), done=(0,))
    record.order(9.0, pb.HOST_DRAIN, "b")
    if since > 6:
        assert record.breaches() == broken
    else:  # it died before it was replaced, and never came back
        other = Record()
        other.recorder.mark(since, "kill", "a")
        other.progress(8.8, HostUpdate("b", Stage.DRAINS, 1))
        other.order(9.0, pb.HOST_DRAIN, "b")
        assert other.breaches() == broken


def test_two_hosts_out_of_service_where_one_is_allowed_are_detected():
    record = Record()
    record.progress(2.0, HostUpdate("a", Stage.DRAINS, 1), HostUpdate("b", Stage.DRAINS, 1))
    record.order(3.0, pb.HOST_DRAIN, "a")
    record.order(4.0, pb.HOST_DRAIN, "b")
    assert record.breaches() == {"limit"}


LAUNCH = pb.LaunchId(controller="c1", life=1, number=1)


def open_host_link(record, t, *held):
    """Opens a link of c1 to host a, which reports the launches that it holds."""
    link = record.open("a", pb.CONTROLLER, "c1", t)
    record.recorder.data(t, link, "<", encode(pb.Welcome(version=1, name="a", boot=1, age=100.0, held=held)))
    return link


def start_irreversible_job(record):
    """Starts an irreversible job on host a, and returns the link."""
    link = open_host_link(record, 1.0)
    spec = pb.JobSpec(id="c1.1.1", offering="feed", cores=1.0)
    record.recorder.data(1.5, link, ">", encode(pb.Offer(launch=LAUNCH, job=spec)))
    record.recorder.data(1.6, link, "<", encode(pb.Accepted(launch=LAUNCH)))
    return link


def test_a_replacement_of_a_host_with_an_irreversible_job_is_detected():
    record = Record()
    start_irreversible_job(record)
    assert complete_first_host(record).breaches() == {"irreversible"}


@pytest.mark.parametrize("arrived, broken", [(4.5, False), (5.5, True), (0.0, True)])
def test_an_irreversible_job_whose_end_a_cut_holds_is_over_from_when_its_host_sent_it(arrived, broken):
    # Host a is replaced at 5.0.
    record = Record()
    link = start_irreversible_job(record)
    complete_first_host(record)
    ended = encode(pb.Ended(launch=LAUNCH, outcome=pb.DONE))
    record.recorder.data(7.0, link, "<", ended, arrived=arrived)
    assert record.breaches() == ({"irreversible"} if broken else set())


@pytest.mark.parametrize(
    "link_ended, reply, broken",
    [
        (3.2, {}, False),  # the controller's link ended, and the host reported it empty after that
        (9.0, {}, True),  # the link was open, and reported no end
        (3.8, {}, True),  # the link ended after the host's reply
        (3.2, {"irreversible": 1}, True),
        (3.2, {"draining": False}, True),  # a new job could have started
        (3.2, {"boot": 2}, True),  # the reply of another boot
    ],
    ids=str,
)
def test_an_irreversible_job_of_a_lost_controller_is_over_if_the_host_reports_it(link_ended, reply, broken):
    record = Record()
    link = start_irreversible_job(record)
    record.recorder.ended(link_ended, link, ">")
    record.order(3.5, pb.HOST_LOOK, "a", **{"draining": True, **reply})
    assert complete_first_host(record).breaches() == ({"irreversible"} if broken else set())


@pytest.mark.parametrize("link_ended, broken", [(3.4, False), (9.0, True), (3.8, True)])
def test_a_controller_that_reconnected_must_be_told_the_end_of_its_irreversible_job(link_ended, broken):
    # The host's reply to the owner counts only after the last link that knew of the job has ended.
    record = Record()
    first = start_irreversible_job(record)
    second = open_host_link(record, 3.1, pb.Held(launch=LAUNCH, phase=pb.RUNNING))
    record.recorder.ended(3.2, first, ">")
    record.recorder.ended(link_ended, second, ">")
    record.order(3.5, pb.HOST_LOOK, "a", draining=True)
    assert complete_first_host(record).breaches() == ({"irreversible"} if broken else set())


def test_a_campaign_that_stops_without_a_reason_is_detected():
    record = Record()
    assert record.breaches() == {"ends"}
    record.progress(2.0, stands="a waits: is not there")
    assert record.breaches() == set()
