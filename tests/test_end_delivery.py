"""The delivery of the ends of jobs: each cell of its state machine, and what connections do to it."""

import itertools
from pathlib import Path

import pytest

from linedeal.platform import end_delivery
from linedeal.platform.end_delivery import (
    CROSSING_TIME,
    FINAL,
    MAX_DELIVERY_TIME,
    OFFER_DELAY,
    OFFER_TIME,
    EndDeliveries,
    EndDelivery,
    Event,
    State,
)
from linedeal.platform.recipients import FULL_EVIDENCE_TIME, Recipients

ARCHITECTURE = Path(__file__).parents[1] / "docs" / "architecture.md"
# What each event makes of each state; an event that is not named leaves the state as it is.
EXPECTED = {
    State.RUNNING: {Event.OWNER_RELEASE: State.RELEASED, Event.HOST_END: State.OWED},
    State.RELEASED: {Event.HOST_END: State.NOT_OWED},
    State.OWED: {
        Event.ASSIGNED: State.QUEUED,
        Event.OFFERS_DONE: State.DELIVERED,
        Event.CROWDED_OUT: State.DROPPED,
    },
    State.QUEUED: {Event.WRITE_BEGAN: State.WRITING, Event.CONNECTION_CLOSED: State.OWED},
    State.WRITING: {Event.WRITTEN: State.SENT, Event.CONNECTION_CLOSED: State.OWED},
    State.SENT: {Event.CONNECTION_CLOSED: State.OWED, Event.NOT_CROSSED: State.DELIVERED},
}
PAIRS = list(itertools.product(State, Event))


@pytest.mark.parametrize("state,event", PAIRS, ids=[f"{s.name}-{e.name}" for s, e in PAIRS])
def test_each_event_in_each_state(state, event):
    delivery = EndDelivery("a", 1, state)
    delivery.apply(event)
    assert delivery.state is EXPECTED.get(state, {}).get(event, state)
    assert state not in FINAL or delivery.state is state


def test_the_table_in_the_architecture_page_is_that_of_the_code():
    rows = [line for line in ARCHITECTURE.read_text().splitlines() if line.startswith("|")]
    (start,) = [number for number, row in enumerate(rows) if row.startswith("| state | OWNER_RELEASE")]
    event_names = cells_of(rows[start])[1:]
    table = {}
    for row in rows[start + 2 : start + 2 + len(State)]:
        state_name, *cells = cells_of(row)
        table[State[state_name]] = {
            Event[event]: State[cell] for event, cell in zip(event_names, cells, strict=True) if cell
        }
    assert [Event[name] for name in event_names] == list(Event) and list(table) == list(State)
    assert table == {state: EXPECTED.get(state, {}) for state in State}


def cells_of(row):
    return [cell.strip() for cell in row.strip().strip("|").split("|")]


class Scene:
    """Two open connections, each with a job that shows an owner; `1` has shown more."""

    def __init__(self, max_owed=100):
        self.now = 100.0
        self.recipients = Recipients(lambda: self.now)
        self.ends = EndDeliveries(self.recipients, lambda: self.now, max_owed)
        for connection in (1, 2):
            self.recipients.on_connected(connection)
            self.run(f"shown {connection}", connection)
            self.now += FULL_EVIDENCE_TIME / 2

    def run(self, task, connection):
        self.ends.begin(task, connection)
        self.recipients.on_valid_message(connection)
        self.recipients.on_placed(connection, task)

    def close(self, connection):
        self.recipients.on_disconnected(connection)
        self.ends.on_disconnected(connection)

    def end(self, task, confirmed=True):
        return self.ends.end(task, f"end of {task}".encode(), confirmed)

    def assigned(self):
        return [(delivery.task, delivery.connection) for delivery in self.ends.assign()]

    def write(self, connection):
        self.ends.on_write_began(connection)
        self.ends.on_written(connection)

    def settle(self):
        self.now += CROSSING_TIME
        self.ends.settle()


@pytest.fixture
def scene():
    return Scene()


def test_an_end_is_queued_at_once_on_the_connection_of_its_job(scene):
    scene.run("a", 2)
    delivery = scene.end("a")
    assert (delivery.connection, delivery.state, delivery.message) == (2, State.QUEUED, b"end of a")
    scene.write(2)
    assert delivery.state is State.SENT and not scene.ends.counts
    scene.settle()
    assert delivery.state is State.DELIVERED and scene.ends.counts == {State.DELIVERED: 1}
    assert not scene.assigned() and "a" not in scene.ends.running and not scene.ends.carried[2]


def test_an_end_whose_connection_has_closed_goes_to_another_owners(scene):
    scene.run("a", 2)
    scene.close(2)
    assert scene.end("a") is None
    assert scene.assigned() == [("a", 1)] and not scene.assigned()


def test_an_end_waits_until_a_connection_has_shown_to_be_an_owners(scene):
    scene.run("a", 2)
    scene.close(1)
    scene.close(2)
    assert scene.end("a") is None and not scene.assigned()
    assert scene.ends.summary()["ends waiting"] == 1
    scene.recipients.on_connected(3)
    assert not scene.assigned()
    scene.run("b", 3)
    scene.now += FULL_EVIDENCE_TIME
    assert scene.assigned() == [("a", 3)]
    scene.write(3)
    scene.settle()
    assert scene.ends.summary() == {"ends waiting": 0, "ends late": 1, "ends cut": 0, "ends dropped": 0}


@pytest.mark.parametrize("seconds,late", [(MAX_DELIVERY_TIME, 0), (MAX_DELIVERY_TIME + 0.01, 1)])
def test_an_end_counts_as_late_by_the_time_since_the_job_has_ended(scene, seconds, late):
    scene.run("a", 1)
    scene.end("a")
    scene.now += seconds
    scene.write(1)
    scene.settle()
    assert scene.ends.summary()["ends late"] == late


def test_what_waits_on_a_connection_that_closes_goes_to_another(scene):
    scene.run("a", 2)
    delivery = scene.end("a")
    scene.close(2)
    assert delivery.state is State.OWED and scene.assigned() == [("a", 1)]


def test_what_was_being_written_as_its_connection_closed_is_told_on_another(scene):
    # Guards against an owner that is told nothing: its close and the message may have crossed.
    scene.run("a", 2)
    scene.run("b", 2)
    written = scene.end("a")
    scene.ends.on_write_began(2)
    waiting = scene.end("b")
    scene.close(2)
    assert (written.state, waiting.state) == (State.OWED, State.OWED)
    assert scene.assigned() == [("a", 1), ("b", 1)] and scene.ends.summary()["ends cut"] == 1


def test_what_was_written_just_before_its_connection_closed_is_told_on_another(scene):
    scene.run("a", 2)
    delivery = scene.end("a")
    scene.write(2)
    scene.now += CROSSING_TIME - 0.01
    scene.ends.settle()
    scene.close(2)
    assert delivery.state is State.OWED and scene.assigned() == [("a", 1)]
    scene.write(1)
    scene.settle()
    assert delivery.state is State.DELIVERED and not scene.ends.sent and not scene.ends.carried[1]
    assert scene.ends.summary() == {"ends waiting": 0, "ends late": 0, "ends cut": 1, "ends dropped": 0}


def test_what_was_written_some_time_before_its_connection_closed_is_not_repeated(scene):
    scene.run("a", 2)
    scene.end("a")
    scene.write(2)
    scene.settle()
    scene.close(2)
    assert not scene.assigned() and scene.ends.counts == {State.DELIVERED: 1}


def test_what_crossed_a_close_waits_for_as_long_as_nobody_else_was_told(scene):
    scene.run("a", 2)
    delivery = scene.end("a")
    scene.write(2)
    scene.close(2)
    scene.close(1)
    scene.now += 2 * OFFER_TIME
    scene.ends.settle()
    assert not offered(scene) and delivery.state is State.OWED


def test_what_is_queued_during_a_write_is_not_written_with_it(scene):
    scene.run("a", 2)
    scene.run("b", 2)
    first = scene.end("a")
    scene.ends.on_write_began(2)
    second = scene.end("b")
    scene.ends.on_written(2)
    assert (first.state, second.state) == (State.SENT, State.QUEUED)
    scene.write(2)
    scene.settle()
    assert first.state is second.state is State.DELIVERED


def test_a_close_leaves_the_ends_on_other_connections_as_they_are(scene):
    scene.run("a", 1)
    delivery = scene.end("a")
    scene.close(2)
    assert delivery.state is State.QUEUED and not scene.assigned()


def test_the_owner_of_a_job_that_it_has_ended_is_told_nothing(scene):
    scene.run("a", 2)
    scene.ends.release("a")
    assert scene.ends.is_released("a") and not scene.ends.is_released("shown 2")
    assert scene.end("a") is None and not scene.assigned()
    assert scene.ends.counts == {State.NOT_OWED: 1}


def test_a_job_that_was_not_adopted_is_forgotten(scene):
    scene.ends.begin("a", 2)
    scene.ends.discard("a")
    assert "a" not in scene.ends.running and not scene.ends.is_released("a")
    scene.ends.discard("a")  # none is known: nothing happens


def test_released_and_confirmed_jobs_are_evidence_as_recipients_have_it(scene):
    scene.close(1)
    scene.ends.release("shown 2")
    assert not scene.recipients.is_owner(2)
    scene.ends.begin("a", 2)
    scene.end("a", confirmed=False)
    assert not scene.recipients.is_owner(2)
    scene.ends.begin("b", 2)
    scene.end("b", confirmed=True)
    assert scene.recipients.is_owner(2)


def test_the_oldest_end_is_dropped_if_too_many_wait():
    scene = Scene(max_owed=2)
    for task in "abc":
        scene.run(task, 2)
    scene.close(2)
    for task in "abc":
        scene.end(task)
    assert scene.ends.summary()["ends dropped"] == 1
    assert scene.assigned() == [("b", 1), ("c", 1)]


def owed_scene():
    """Ends of jobs whose connections have closed, and a connection 3 that has shown nothing yet."""
    scene = Scene()
    for task in "ab":
        scene.run(task, 2)
    scene.close(1)
    scene.close(2)
    for task in "ab":
        scene.end(task)
    scene.recipients.on_connected(3)
    return scene


def offered(scene):
    return [(offer.task, offer.connection) for offer in scene.ends.offer()]


def test_ends_are_offered_once_to_each_connection_that_may_be_their_owners():
    # Guards against an owner that is told nothing since all its set-ups are refused.
    scene = owed_scene()
    scene.now += OFFER_DELAY
    assert not offered(scene)  # it has shown nothing
    scene.recipients.on_valid_message(3)
    scene.recipients.on_connected(4)
    scene.run("c", 4)
    assert offered(scene) == [("a", 4), ("b", 4), ("a", 3), ("b", 3)] and not offered(scene)
    scene.recipients.on_connected(5)
    scene.recipients.on_valid_message(5)
    assert offered(scene) == [("a", 5), ("b", 5)]


def test_ends_are_not_offered_before_an_owner_has_had_time_to_show():
    scene = owed_scene()
    scene.recipients.on_valid_message(3)
    scene.now += OFFER_DELAY - 0.01
    assert not offered(scene)


def test_ends_that_were_offered_are_told_again_only_to_another_owner():
    scene = owed_scene()
    scene.now += OFFER_DELAY
    scene.run("c", 3)
    assert offered(scene) == [("a", 3), ("b", 3)]
    scene.now += FULL_EVIDENCE_TIME
    assert not scene.assigned() and not scene.ends.owed
    assert scene.ends.counts == {State.DELIVERED: 2} and scene.ends.late == 0

    scene = owed_scene()
    scene.now += OFFER_DELAY
    scene.recipients.on_valid_message(3)
    assert len(offered(scene)) == 2
    scene.recipients.on_connected(4)
    scene.run("c", 4)
    scene.now += FULL_EVIDENCE_TIME
    assert scene.assigned() == [("a", 4), ("b", 4)]


def test_ends_that_were_offered_count_as_told_after_some_time():
    scene = owed_scene()
    scene.recipients.on_valid_message(3)
    scene.now += MAX_DELIVERY_TIME + 0.01
    assert len(offered(scene)) == 2
    scene.now += OFFER_TIME
    assert not offered(scene) and not scene.ends.owed
    assert scene.ends.counts == {State.DELIVERED: 2} and scene.ends.late == 2


def test_ends_wait_for_as_long_as_nobody_was_told():
    scene = owed_scene()
    scene.now += 2 * OFFER_TIME
    assert not offered(scene) and len(scene.ends.owed) == 2
    scene.recipients.on_valid_message(3)
    assert len(offered(scene)) == 2


def test_offers_of_one_pass_are_limited_and_the_next_goes_on(monkeypatch):
    # Guards against a crowd of clients that are refused, each told of the end of each job.
    monkeypatch.setattr(end_delivery, "MAX_OFFERS", 3)
    scene = owed_scene()
    for connection in (3, 4):
        scene.recipients.on_connected(connection)
        scene.recipients.on_valid_message(connection)
    scene.now += OFFER_DELAY
    assert offered(scene) == [("a", 4), ("b", 4), ("a", 3)]
    assert offered(scene) == [("b", 3)] and not offered(scene)


def test_offers_end_with_a_connection_that_closes_meanwhile():
    # Guards against a connection that is closed since it leaves too much unread, as it is told of an end.
    scene = Scene(max_owed=2)
    for task in "abc":
        scene.run(task, 2)
    scene.close(1)
    scene.close(2)
    scene.recipients.on_connected(3)
    scene.run("c", 3)
    scene.end("c")
    for task in "ab":
        scene.end(task)
    scene.recipients.on_connected(4)
    scene.recipients.on_valid_message(4)
    scene.now += OFFER_TIME + 1.0
    told = []
    for offer in scene.ends.offer():
        told.append((offer.task, offer.connection))
        if len(told) == 1:
            scene.close(4)
            scene.close(3)  # the end that it carried waits as well, and the oldest is dropped
    assert told == [("a", 4)] and not scene.ends.offered_until
    assert [delivery.task for delivery in scene.ends.owed] == ["b", "c"]
    assert scene.ends.counts == {State.DROPPED: 1}


def test_what_was_offered_to_a_connection_that_has_closed_leaves_nothing_behind():
    scene = owed_scene()
    scene.recipients.on_valid_message(3)
    scene.now += OFFER_DELAY
    assert len(offered(scene)) == 2
    scene.close(3)
    assert not scene.ends.offered_until


def test_ends_are_assigned_oldest_first_and_only_while_the_chosen_connection_is_open(scene):
    for task in "abc":
        scene.run(task, 3)  # a connection that has closed
        scene.end(task)
    assigned = []
    for delivery in scene.ends.assign():
        assigned.append((delivery.task, delivery.connection))
        if len(assigned) == 1:
            scene.close(delivery.connection)  # it leaves too much unread
    assert assigned == [("a", 1), ("b", 2), ("c", 2), ("a", 2)]


def test_an_end_is_untold_until_it_has_arrived_or_was_offered():
    scene = Scene()
    assert not scene.ends.has_untold()
    scene.run("a", 2)
    scene.end("a")
    assert scene.ends.has_untold()
    scene.write(2)
    assert scene.ends.has_untold()  # it may have crossed a close
    scene.settle()
    assert not scene.ends.has_untold()
    scene = owed_scene()
    assert scene.ends.has_untold()
    scene.recipients.on_valid_message(3)
    scene.now += OFFER_DELAY
    assert len(offered(scene)) == 2 and not scene.ends.has_untold()
