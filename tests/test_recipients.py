"""The choice of a connection that is told of the end of a job whose own connection has closed."""

import pytest

from linedeal.platform.recipients import FULL_EVIDENCE_TIME, MIN_KEPT_TIME, Recipients

NOBODY = 0


class Scene:
    """Connections 1, 2 and 3, in the order in which they were opened, on a clock that the test sets."""

    def __init__(self):
        self.now = 100.0
        self.recipients = Recipients(lambda: self.now)
        for connection in (1, 2, 3):
            self.recipients.on_connected(connection)

    def choice_after(self, seconds):
        self.now += seconds
        return self.recipients.choose()


@pytest.fixture
def scene():
    return Scene()


def test_connections_that_have_placed_no_job_are_not_chosen(scene):
    assert scene.choice_after(60.0) == NOBODY


def test_job_counts_once_it_has_run_for_some_time(scene):
    # Guards against telling a client that is about to take its job back.
    scene.recipients.on_placed(1, "a")
    assert scene.choice_after(MIN_KEPT_TIME - 0.01) == NOBODY
    assert scene.choice_after(0.02) == 1


def test_job_that_is_taken_back_does_not_count(scene):
    scene.recipients.on_placed(1, "a")
    scene.recipients.on_placed(2, "b")
    scene.now += FULL_EVIDENCE_TIME
    scene.recipients.on_taken_back(2, "b")
    assert scene.recipients.choose() == 1 and not scene.recipients.is_owner(2)


def test_job_that_its_host_ended_counts_from_then_on(scene):
    scene.recipients.on_placed(1, "a")
    scene.recipients.on_ended(1, "a", confirmed=False)
    assert scene.choice_after(0.0) == 1 and scene.recipients.is_owner(1)


def test_connection_that_has_let_its_job_run_for_longer_is_chosen(scene):
    # Guards against telling the client that came last, whatever it has shown so far.
    scene.recipients.on_placed(1, "a")
    scene.now += FULL_EVIDENCE_TIME - MIN_KEPT_TIME
    scene.recipients.on_placed(2, "b")
    assert scene.choice_after(MIN_KEPT_TIME + 0.01) == 1


def test_newest_of_the_connections_with_full_evidence_is_chosen(scene):
    scene.recipients.on_placed(2, "b")
    scene.recipients.on_placed(1, "a")
    scene.now += 1.0
    scene.recipients.on_placed(3, "c")
    assert scene.choice_after(FULL_EVIDENCE_TIME - 1.0) == 2
    assert scene.choice_after(1.0) == 3


def test_handed_over_job_shows_only_a_possible_owner_until_its_host_confirms_it(scene):
    # Guards against telling nobody but a client that made the job up.
    scene.recipients.on_handed_over(2, "b")
    assert scene.choice_after(60.0) == NOBODY and scene.recipients.possible() == [2]
    scene.recipients.on_valid_message(1)
    scene.recipients.on_placed(1, "a")
    assert scene.choice_after(MIN_KEPT_TIME + 0.01) == 1 and scene.recipients.possible() == [2, 1]
    scene.recipients.on_ended(2, "b", confirmed=True)
    assert scene.recipients.choose() == 2


def test_handed_over_job_that_no_host_confirms_does_not_count_after_its_end(scene):
    # Guards against clients that name jobs on hosts that do not exist.
    scene.recipients.on_handed_over(2, "b")
    scene.recipients.on_ended(2, "b", confirmed=False)
    assert scene.choice_after(60.0) == NOBODY and not scene.recipients.is_owner(2)
    assert not scene.recipients.may_be_owner(2) and not scene.recipients.possible()


def test_valid_messages_show_a_possible_owner_that_is_not_chosen(scene):
    scene.recipients.on_valid_message(3)
    scene.recipients.on_valid_message(1)
    scene.recipients.on_refused(1)
    assert scene.choice_after(60.0) == NOBODY and scene.recipients.possible() == [3, 1]
    assert not scene.recipients.is_owner(1) and scene.recipients.was_answered(1)
    assert not scene.recipients.was_answered(3)


def test_connection_that_has_ended_is_not_chosen_and_leaves_nothing_behind(scene):
    scene.recipients.on_placed(1, "a")
    scene.recipients.on_disconnected(1)
    scene.recipients.on_placed(1, "b")
    scene.recipients.on_handed_over(1, "c")
    scene.recipients.on_ended(1, "a", confirmed=True)
    assert scene.choice_after(60.0) == NOBODY and list(scene.recipients.histories) == [2, 3]
