"""Campaigns without processes: what may be done next, courses in simulated time with each guard taken out, and the audit
on records made by hand."""

from dataclasses import replace

import pytest

from linedeal.audit import reconstruct_traffic
from linedeal.audit.duties import find_duty_breaches
from linedeal.duties import campaign, duty
from linedeal.duties.campaign import (
    Bounds,
    DrainState,
    Mode,
    Plan,
    Progress,
    HostState,
    Stage,
    HostUpdate,
    ClusterView,
    Want,
    batches,
    validate,
    decide,
    make_plan,
)
from linedeal.duties.campaign_runner import CampaignRunner, OrderKind, OrderReply
from linedeal.duties.census import Census
from linedeal.duties.duty import Duty, DutyError
from linedeal.fleet.hosts import HostNow, HostsNow
from linedeal.fleet.operator import HostSelection, plan_campaign
from linedeal.lab.record import Recorder
from linedeal.lab.campaign_simulation import FaultModel, run_simulations
from linedeal.protocol import encode, pb
from linedeal.settings.cluster import ConfigError, parse_cluster

BOUNDS = Bounds(most=2, cells=2, room=0.5, patience=20.0, warm=5.0, away=30.0)
FLEET = {"a": ("std", 0), "b": ("std", 0), "c": ("std", 1), "d": ("std", 1), "e": ("std", 2)}


def plan(bounds=BOUNDS, want=Want.RUN, fleet=FLEET) -> Plan:
    return replace(make_plan("r1", set(fleet), fleet, bounds), want=want)


def view(**changed) -> ClusterView:
    """All serve at boot 1 but those named: a Mode, or a HostState."""
    seen = {host: HostState(Mode.SERVES, 1, 1000.0) for host in FLEET}
    for host, stands in changed.items():
        seen[host] = stands if isinstance(stands, HostState) else HostState(stands, 1, 1000.0)
    return ClusterView(seen)


def out(progress) -> dict[str, Stage]:
    return {turn.host: turn.stage for turn in progress.out}


# --- what may be done next


def test_hosts_go_out_cell_by_cell_up_to_the_bounds():
    progress = decide(plan(), Progress(), BOUNDS, view())
    assert out(progress) == {"a": Stage.DRAINS, "b": Stage.DRAINS} and not progress.stands
    again = decide(plan(), progress, BOUNDS, view())
    assert out(again) == out(progress) and "2 out of service (a, b), 2 may be" in again.stands
    assert [len(batch) for batch in batches(plan())] == [2, 2, 1]
    assert batches(plan(replace(BOUNDS, cells=1, most=5))) == [["a", "b"], ["c", "d"], ["e"]]


def test_a_host_that_died_or_drains_by_another_hand_counts_as_out():
    assert out(decide(plan(), Progress(), BOUNDS, view(e=Mode.GONE))) == {"a": Stage.DRAINS}
    assert out(decide(plan(), Progress(), BOUNDS, view(e=Mode.DRAINS))) == {"a": Stage.DRAINS}
    both = decide(plan(), Progress(), BOUNDS, view(d=Mode.DRAINS, e=Mode.GONE))
    assert not both.out and "2 out of service (d, e)" in both.stands
    unlisted = view()
    del unlisted.hosts["e"]
    assert out(decide(plan(), Progress(), BOUNDS, unlisted)) == {"a": Stage.DRAINS}


def test_a_cluster_file_with_a_lower_limit_begins_no_host_before_it_is_met():
    three = Progress("r1", (HostUpdate("a", Stage.DRAINS, 1), HostUpdate("b", Stage.DRAINS, 1)))
    after = decide(plan(), three, replace(BOUNDS, most=1), view(a=Mode.DRAINS, b=Mode.DRAINS))
    assert len(after.out) == 2 and "1 may be" in after.stands


def test_room_of_a_kind_and_cells_bound_what_is_out():
    fleet = {**FLEET, "p": ("press", 0), "q": ("press", 0)}
    wide = replace(BOUNDS, most=7, cells=9, room=0.5)
    seen = ClusterView({host: HostState(Mode.SERVES, 1, 1000.0) for host in fleet})
    progress = decide(plan(wide, fleet=fleet), Progress(), wide, seen)
    assert out(progress).keys() == {"a", "b", "p"}, "2 of 5 std, 1 of 2 press"


@pytest.mark.parametrize(
    "look, spent, after",
    [
        (None, 100.0, Stage.DRAINS),
        (DrainState(1, False, 0, 0), 0.0, Stage.DRAINS),
        (DrainState(1, True, 3, 0), 5.0, Stage.DRAINS),
        (DrainState(1, True, 0, 0), 0.0, Stage.REPLACES),
        (DrainState(1, True, 3, 0), 20.0, Stage.REPLACES),
        (DrainState(1, True, 3, 1), 1e6, Stage.DRAINS),
    ],
    ids=["never heard", "not draining", "has work", "empty", "patience over", "irreversible"],
)
def test_a_drain_lasts_until_its_work_or_patience_is_over_and_irreversible_work_always(look, spent, after):
    begun = Progress("r1", (HostUpdate("a", Stage.DRAINS, 1, spent),))
    looks = {} if look is None else {"a": look}
    assert out(decide(plan(), begun, BOUNDS, replace(view(a=Mode.DRAINS), drains=looks)))["a"] is after


def test_a_host_that_died_in_its_drain_is_replaced_only_after_it_was_silent_for_long():
    begun = Progress("r1", (HostUpdate("a", Stage.DRAINS, 1),))
    held = {"a": DrainState(1, True, 2, 1)}
    for silent, stage in ((5.0, Stage.DRAINS), (20.0, Stage.REPLACES)):
        gone = replace(view(a=Mode.GONE), drains=held, unresponsive_seconds={"a": silent})
        assert out(decide(plan(), begun, BOUNDS, gone))["a"] is stage
    answers = replace(view(a=Mode.DRAINS), drains=held, unresponsive_seconds={"a": 1e6})
    assert out(decide(plan(), begun, BOUNDS, answers))["a"] is Stage.DRAINS, (
        "listed: it may be cut off from here alone"
    )


def test_a_host_that_came_back_by_itself_drains_in_its_new_life_and_stays_out_meanwhile():
    begun = Progress("r1", (HostUpdate("a", Stage.DRAINS, 1, 15.0),))
    back = replace(view(a=HostState(Mode.SERVES, 2, 3.0)), drains={"a": DrainState(2, False, 1, 0)})
    assert decide(plan(), begun, BOUNDS, back).out[0] == HostUpdate("a", Stage.DRAINS, 2)
    found = Progress("r1", (HostUpdate("a", Stage.REPLACES, 1),))
    assert decide(plan(), found, BOUNDS, replace(view(), unexpected_boots={"a": 7})).out[0] == HostUpdate(
        "a", Stage.DRAINS, 7
    )


def test_a_successor_counts_once_it_serves_and_is_warm_and_the_tool_said_so():
    begun = Progress("r1", (HostUpdate("a", Stage.REPLACES, 1),))
    warm, young = HostState(Mode.SERVES, 2, 5.0), HostState(Mode.SERVES, 2, 4.9)
    told = frozenset({("a", 1)})
    assert decide(plan(), begun, BOUNDS, replace(view(a=warm), replaced=told)).done == (0,)
    for stands, replaced in (
        (young, told),
        (warm, frozenset()),
        (HostState(Mode.SERVES, 1, 99.0), told),
        (HostState(Mode.DRAINS, 2, 99.0), told),
    ):
        after = decide(plan(), begun, BOUNDS, replace(view(a=stands), replaced=replaced))
        assert not after.done and out(after)["a"] is Stage.REPLACES


def test_paused_and_aborted_campaigns_see_out_what_is_out_and_begin_nothing():
    begun = Progress("r1", (HostUpdate("a", Stage.REPLACES, 1),))
    back = replace(view(a=HostState(Mode.SERVES, 2, 9.0)), replaced=frozenset({("a", 1)}))
    for want in (Want.PAUSE, Want.ABORT):
        assert out(decide(plan(want=want), begun, BOUNDS, view(a=Mode.GONE))) == {"a": Stage.REPLACES}
    paused = decide(plan(want=Want.PAUSE), begun, BOUNDS, back)
    assert paused.done == (0,) and not paused.out and not paused.ended and "operator" in paused.stands
    assert decide(plan(want=Want.ABORT), begun, BOUNDS, back).ended == "aborted"
    assert decide(plan(), paused, BOUNDS, view()).out, "resumed"
    assert decide(plan(want=Want.ABORT), Progress(), BOUNDS, view()).ended == "aborted"


def test_it_pauses_by_itself_on_strain_or_an_old_view_and_says_why():
    for changed in (
        {"overload_reason": "40% of launches were turned away"},
        {"stale_reason": "the list of hosts is 20 s old"},
    ):
        after = decide(plan(), Progress(), BOUNDS, replace(view(), **changed))
        assert not after.out and after.stands == next(iter(changed.values()))


def test_it_goes_on_without_hosts_that_stay_away_and_names_them_at_its_end():
    rest = Progress("r1", (), (0, 1, 2, 3))
    assert (
        decide(plan(), rest, BOUNDS, replace(view(e=Mode.GONE), idle_seconds=29.0)).stands
        == "e waits: is not there"
    )
    left = decide(plan(), rest, BOUNDS, replace(view(e=Mode.DRAINS), idle_seconds=30.0))
    assert left.left == {4: "drains by another hand"}
    ended = decide(plan(), left, BOUNDS, view())
    assert ended.ended == "done" and "left out: e drains by another hand" in campaign.describe_progress(
        plan(), ended
    )


@pytest.mark.parametrize(
    "bounds, fleet, said",
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
def test_a_plan_that_could_not_be_carried_out_is_refused(bounds, fleet, said):
    with pytest.raises(DutyError, match=said.replace("(", "\\(")):
        validate(plan(bounds, fleet=fleet), ClusterView({}))


def test_four_hundred_hosts_of_usual_names_fit_into_one_plan():
    fleet = {f"h{n:03}": ("std", n // 8) for n in range(400)}
    whole = validate(plan(BOUNDS, fleet=fleet), ClusterView({}))
    progress = Progress(
        "r1", (HostUpdate("h399", Stage.REPLACES, 1 << 60),), tuple(range(399)), {}, "", "x" * 200
    )
    assert len(campaign.encode(progress)) < duty.MAX_PROGRESS_BYTES and len(whole.targets) == 400


def test_an_operators_choice_takes_hosts_that_fit_all_of_it_and_names_those_that_are_not_there():
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
        "the cluster file's"
    )
    with pytest.raises(DutyError, match="h9"):
        plan_campaign("r", hosts, HostSelection(("h1", "h9")), wide, wide)


@pytest.mark.parametrize(
    "line, said",
    [
        ('tool = "here"', "campaign: tool: 'here' is not HOST:PORT"),
        ('tool = "a:1"\n most = 0', "most is 0, 1 at least"),
        ('tool = "a:1"\n room = 1.5', "room is 1.5, over 0 and up to 1"),
        ('tool = "a:1"\n warm = -1', "warm is -1, 0 at least"),
        ('tool = "a:1"\n mots = 3', "unknown key mots, the nearest known is most"),
        ("most = 3", "tool is missing"),
    ],
)
def test_a_faulty_block_is_named(line, said):
    with pytest.raises(ConfigError) as found:
        parse_cluster(
            f'cluster {{\n controllers = 1\n}}\nkind "std" {{\n cores = 1\n memory = 1\n}}\noffering "w" {{\n expiry = 5\n effect = "redoable"\n}}\ncouncil {{\n id = "x"\n}}\nmember "c1" {{\n address = "a:1"\n}}\ncampaign {{\n {line}\n}}'
        )
    assert any(said in one for one in found.value.lines), found.value.lines


# --- the owner's course


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


def test_nothing_is_ordered_before_it_stands_in_the_council():
    course = CampaignRunner(Progress(), 0.0)
    course.receive_census(census(1, 1), 0.0)
    after = course.step(plan(), BOUNDS, view().hosts, 0.0, 1.0)
    assert after.out and not course.orders()
    course.mark_stored(after, 1.0)
    assert {(order.kind, order.host) for order in course.orders()} == {
        (OrderKind.DRAIN, "a"),
        (OrderKind.DRAIN, "b"),
    }
    assert course.step(plan(), BOUNDS, view(a=Mode.DRAINS, b=Mode.DRAINS).hosts, 0.0, 2.0).stands
    for order in course.orders():
        course.receive_reply(order, OrderReply(True, 1, True), 3.0)
    assert {order.kind for order in course.orders()} == {OrderKind.DRAIN}, "not written yet"


def test_time_out_of_service_goes_on_from_owner_to_owner():
    begun = Progress("r1", (HostUpdate("a", Stage.DRAINS, 1, 15.0),))
    course = CampaignRunner(begun, 100.0)
    course.receive_census(census(1, 1), 100.0)
    order = course.orders()[0]
    course.receive_reply(order, OrderReply(True, 1, True, jobs=2), 101.0)
    assert out(course.step(plan(want=Want.PAUSE), BOUNDS, view().hosts, 0.0, 104.0)) == {"a": Stage.DRAINS}
    assert out(course.step(plan(want=Want.PAUSE), BOUNDS, view().hosts, 0.0, 105.0)) == {"a": Stage.REPLACES}


def test_strain_pauses_between_two_censuses_and_ends_well_under_the_limit():
    course = CampaignRunner(Progress(), 0.0)
    seen = view().hosts

    def stands(number, now, **figures):
        course.receive_census(census(1, number, **figures), now)
        after = course.step(plan(), BOUNDS, seen, 0.0, now) or course.stored
        return after.stands if not after.out else "begins"

    assert stands(1, 0.0, launches=100, refused=90) == "begins", "one census shows nothing of now"
    assert "31% of launches were turned away" in stands(2, 3.0, launches=200, refused=121)
    assert "turned away" in stands(3, 6.0, launches=300, refused=146), (
        "25%: it pauses from 30, ends under 22.5"
    )
    assert stands(4, 9.0, launches=400, refused=166) == "begins"
    assert "50% of the jobs to be placed still wait" in stands(
        5, 12.0, launches=500, refused=166, taken=40, waiting=20
    )
    assert "still wait" in stands(6, 15.0, launches=600, refused=166, taken=60, waiting=10), "10 of 40"
    assert stands(7, 18.0, launches=700, refused=166, taken=90, waiting=8) == "begins", "8 of 40"
    assert stands(8, 21.0, launches=705, refused=171, taken=91, waiting=9) == "begins", (
        "of so few it tells nothing"
    )
    assert "no census for 16 s" in (course.step(plan(), BOUNDS, seen, 0.0, 37.0) or course.stored).stands
    assert "list of hosts is 16 s old" in course.step(plan(), BOUNDS, seen, 16.0, 38.0).stands


# --- many courses in simulated time


def test_through_owners_that_die_at_every_step_campaigns_end_within_their_bounds():
    courses = run_simulations(range(30))
    assert [course.violations for course in courses] == [[]] * len(courses)
    ended = [course for course in courses if course.progress.ended == "done"]
    assert len(ended) >= 28, [course.progress for course in courses if not course.progress.ended]
    assert (
        sum(course.owner_count for course in courses) > 500
        and sum(course.rejected for course in courses) > 100
    )
    assert max(course.max_out for course in courses) == 3
    prompt = run_simulations(
        range(20),
        fault_model=FaultModel(max_delay=0.5, list_delay=1.0, host_failure_rate=0.02, max_downtime=60.0),
    )
    assert [course.violations for course in prompt] == [[]] * len(prompt)


def test_a_death_at_each_single_step_in_turn_is_gone_on_from():
    """No chance but the weather's: the owner dies at its n-th step, for every n."""
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
        course = releases.play(900.0)
        assert (course.violations, course.progress.ended, course.owner_count) == ([], "done", 2), step
    assert clean.steps > 100


blocking_reason, advance_host = campaign.blocking_reason, campaign.advance_host


def forgets_deaths(plan, progress, view):
    return {turn.host for turn in progress.out}


def moves_irreversible(turn, bounds, view):
    look = view.drains.get(turn.host)
    if look is not None:
        view = replace(view, drains={**view.drains, turn.host: replace(look, irreversible=0)})
    return advance_host(turn, bounds, view)


def any_look(turn, bounds, view):
    look = view.drains.get(turn.host)
    if look is not None:
        view = replace(view, drains={**view.drains, turn.host: replace(look, draining=True, jobs=0)})
    return advance_host(turn, bounds, view)


def drains_again(turn, bounds, view):
    """A successor that serves, taken for the host that was to drain."""
    seen = view.hosts.get(turn.host)
    if (
        turn.stage is Stage.REPLACES
        and seen is not None
        and seen.mode is Mode.SERVES
        and seen.boot != turn.boot
    ):
        return HostUpdate(turn.host, Stage.DRAINS, seen.boot)
    return advance_host(turn, bounds, view)


WITHOUT = {
    "a limit that is not looked at": (
        campaign,
        "blocking_reason",
        lambda plan, bounds, view, out, host: blocking_reason(
            plan, replace(bounds, most=99, cells=99, room=1.0), view, set(), host
        ),
    ),
    "deaths that do not count": (campaign, "out_of_service", forgets_deaths),
    "progress that is not handed on": (campaign, "decode", lambda body, kind: Progress()),
    "irreversible jobs not waited for": (campaign, "advance_host", moves_irreversible),
    "a host's word before it drains": (campaign, "advance_host", any_look),
    "a successor taken for its predecessor": (campaign, "advance_host", drains_again),
}


@pytest.mark.parametrize("where, what, put", WITHOUT.values(), ids=WITHOUT)
def test_each_guard_taken_out_is_seen(monkeypatch, where, what, put):
    monkeypatch.setattr(where, what, put)
    prompt = FaultModel(max_delay=0.5, list_delay=1.0, host_failure_rate=0.02, max_downtime=60.0)
    assert any(
        course.violations
        for trouble in (FaultModel(), prompt)
        for course in run_simulations(range(40), 600.0, fault_model=trouble)
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
    """A record by hand: hosts a and b at boot 1, owner c1/1 with token 1."""

    def __init__(self):
        self.r, self.numbers = Recorder(), 0
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
        link = self.r.opened(t, to)
        self.r.data(t, link, ">", encode(pb.Hello(version=1, role=role, name=name)))
        return link

    def listed(self, t, host, boot, age, mode=pb.SERVING):
        self.r.data(
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
        self.numbers += 1
        self.r.data(
            t,
            self.council,
            ">",
            encode(pb.CouncilAsk(number=self.numbers, kind=pb.CHANGE, key=key, body=body)),
        )
        if made:
            self.r.data(t, self.council, "<", encode(pb.CouncilTold(number=self.numbers, outcome="DONE")))

    def progress(self, t, *out, token=1, made=True, **rest):
        body = campaign.encode(Progress("r", tuple(out), **rest))
        self.change(t, "duty/campaign", duty.encode(Duty(f"c{token}/1", token, 6.0, 1, "", body)), made)

    def order(
        self, t, kind, host, boot=1, token=1, owner="", told=0.0, done=True, draining=False, irreversible=0
    ):
        link = self.open("tool" if kind == pb.HOST_REPLACE else host, pb.OWNER, owner or f"c{token}/1", t)
        self.r.data(
            t,
            link,
            ">",
            encode(
                pb.DutyOrder(
                    number=1, duty="duty/campaign", token=token, campaign="r", kind=kind, host=host, boot=boot
                )
            ),
        )
        self.r.data(
            told or t + 0.01,
            link,
            "<",
            encode(
                pb.DutyTold(
                    number=1, done=done, boot=boot, token=token, draining=draining, irreversible=irreversible
                )
            ),
        )

    def breaches(self):
        return {breach.claim for breach in find_duty_breaches(reconstruct_traffic(self.r.entries), AUDITED)}


def whole(record):
    record.progress(2.0, HostUpdate("a", Stage.DRAINS, 1))
    record.order(3.0, pb.HOST_DRAIN, "a")
    record.progress(4.0, HostUpdate("a", Stage.REPLACES, 1))
    record.r.mark(5.0, "replace", "a")
    record.order(5.0, pb.HOST_REPLACE, "a")
    record.listed(6.0, "a", 2, 0.5)
    return record


def test_a_campaign_as_it_should_be_breaks_no_claim():
    record = whole(Record())
    record.progress(8.0, HostUpdate("b", Stage.DRAINS, 1), done=(0,))
    record.order(9.0, pb.HOST_DRAIN, "b")
    record.order(9.5, pb.HOST_DRAIN, "b", token=1)
    record.progress(9.8, HostUpdate("b", Stage.DRAINS, 1), token=2, done=(0,))
    record.order(10.0, pb.HOST_DRAIN, "b", token=2)
    record.order(11.0, pb.HOST_DRAIN, "b", token=1, done=False)
    record.progress(12.0, token=2, done=(0, 1), ended="done")
    assert record.breaches() == set()


def test_an_old_owner_carried_out_after_a_later_one_is_seen():
    record = whole(Record())
    record.order(7.0, pb.HOST_DRAIN, "a", token=3, done=True)
    record.order(8.0, pb.HOST_DRAIN, "a", token=2, done=True)
    assert "tokens" in record.breaches()


def test_one_token_of_two_owners_is_seen():
    record = whole(Record())
    record.order(7.0, pb.HOST_DRAIN, "a", token=1, owner="c9/1", done=False)
    assert record.breaches() == {"tokens"}


def test_an_order_ahead_of_its_progress_is_seen():
    record = Record()
    record.order(3.0, pb.HOST_DRAIN, "a")
    record.progress(3.5, HostUpdate("a", Stage.DRAINS, 1))
    assert record.breaches() == {"planned"}
    record = Record()
    record.progress(2.0, HostUpdate("a", Stage.DRAINS, 1), made=False)
    record.order(3.0, pb.HOST_DRAIN, "a")
    assert "planned" in record.breaches()


def test_a_second_drain_after_the_replacement_is_seen():
    record = whole(Record())
    record.progress(8.0, HostUpdate("a", Stage.DRAINS, 2))
    record.order(9.0, pb.HOST_DRAIN, "a", boot=2)
    assert record.breaches() == {"twice"}


@pytest.mark.parametrize("since, broken", [(8.5, set()), (2.0, {"limit"})])
def test_a_death_counts_once_it_must_be_known(since, broken):
    record = whole(Record())
    record.r.mark(since, "kill", "a")
    record.progress(8.8, HostUpdate("b", Stage.DRAINS, 1), done=(0,))
    record.order(9.0, pb.HOST_DRAIN, "b")
    if since > 6:
        assert record.breaches() == broken
    else:  # dead since before its replacement was there; never back
        other = Record()
        other.r.mark(since, "kill", "a")
        other.progress(8.8, HostUpdate("b", Stage.DRAINS, 1))
        other.order(9.0, pb.HOST_DRAIN, "b")
        assert other.breaches() == broken


def test_two_out_where_one_may_be_is_seen():
    record = Record()
    record.progress(2.0, HostUpdate("a", Stage.DRAINS, 1), HostUpdate("b", Stage.DRAINS, 1))
    record.order(3.0, pb.HOST_DRAIN, "a")
    record.order(4.0, pb.HOST_DRAIN, "b")
    assert record.breaches() == {"limit"}


LAUNCH = pb.LaunchId(controller="c1", life=1, number=1)


def welcomed(record, t, *held):
    """A link of c1 to host a."""
    link = record.open("a", pb.CONTROLLER, "c1", t)
    record.r.data(t, link, "<", encode(pb.Welcome(version=1, name="a", boot=1, age=100.0, held=held)))
    return link


def holding(record):
    """The record with an irreversible job on host a; its link."""
    link = welcomed(record, 1.0)
    spec = pb.JobSpec(id="c1.1.1", offering="feed", cores=1.0)
    record.r.data(1.5, link, ">", encode(pb.Offer(launch=LAUNCH, job=spec)))
    record.r.data(1.6, link, "<", encode(pb.Accepted(launch=LAUNCH)))
    return link


def test_a_replacement_under_an_irreversible_job_is_seen():
    record = Record()
    holding(record)
    assert whole(record).breaches() == {"irreversible"}


@pytest.mark.parametrize(
    "gone, word, broken",
    [
        (3.2, {}, False),  # its controller went: over, by the host's word after that
        (9.0, {}, True),  # the link stood, and told no end
        (3.8, {}, True),  # it went after the host's word
        (3.2, {"irreversible": 1}, True),
        (3.2, {"draining": False}, True),  # something new could have come
        (3.2, {"boot": 2}, True),  # another life's word
    ],
    ids=str,
)
def test_an_irreversible_job_whose_controller_went_is_over_by_the_hosts_word_alone(gone, word, broken):
    record = Record()
    link = holding(record)
    record.r.ended(gone, link, ">")
    record.order(3.5, pb.HOST_LOOK, "a", **{"draining": True, **word})
    assert whole(record).breaches() == ({"irreversible"} if broken else set())


@pytest.mark.parametrize("gone, broken", [(3.4, False), (9.0, True), (3.8, True)])
def test_a_controller_that_came_back_to_its_irreversible_job_hears_of_its_end_itself(gone, broken):
    # the host's word counts for what nobody could be told, from the last link that knew of the job
    record = Record()
    first = holding(record)
    second = welcomed(record, 3.1, pb.Held(launch=LAUNCH, phase=pb.RUNNING))
    record.r.ended(3.2, first, ">")
    record.r.ended(gone, second, ">")
    record.order(3.5, pb.HOST_LOOK, "a", draining=True)
    assert whole(record).breaches() == ({"irreversible"} if broken else set())


def test_a_campaign_that_stands_without_a_reason_is_seen():
    record = Record()
    assert record.breaches() == {"ends"}
    record.progress(2.0, stands="a waits: is not there")
    assert record.breaches() == set()
