"""Full garbage collections wait until the event loop is idle."""

import gc
from contextlib import contextmanager

import anyio
import pytest

from linedeal.loop import collect_garbage_when_idle, garbage

pytestmark = pytest.mark.anyio


class FixedLateness:
    seconds = 1.0

    def now(self):
        return self.seconds


@contextmanager
def full_collections():
    made = []

    def record(phase, info):
        if phase == "stop" and info["generation"] == 2:
            made.append(info)

    gc.callbacks.append(record)
    try:
        yield made
    finally:
        gc.callbacks.remove(record)


@pytest.fixture
def short_intervals(monkeypatch):
    monkeypatch.setattr(garbage, "CHECK_INTERVAL", 0.01)
    monkeypatch.setattr(garbage, "MIN_INTERVAL", 0.02)


def allocate(count):
    """Objects that stay reachable, as the jobs of a controller do."""
    return [[[number] for number in range(100)] for _ in range(count)]


def allocate_until(made):
    """As many as make the interpreter run a full collection, which depends on how many exist already."""
    kept = []
    while not made:
        kept += allocate(1000)
        assert len(kept) < 100_000, "the interpreter runs no full collection by itself"
    return kept


async def test_full_collections_run_only_while_the_loop_is_idle(short_intervals):
    lateness, previous = FixedLateness(), gc.get_threshold()
    with full_collections() as made:
        gc.collect()
        del made[:]
        kept = allocate_until(made)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(collect_garbage_when_idle, lateness)
            await anyio.sleep(0.05)
            del made[:]
            kept += allocate(2 * len(kept))
            await anyio.sleep(0.1)
            assert not made
            lateness.seconds = 0.0
            with anyio.fail_after(5):
                while not made:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
    assert gc.get_threshold() == previous and not gc.get_freeze_count() and kept


async def test_a_full_collection_runs_after_a_while_however_late_the_loop_is(short_intervals, monkeypatch):
    monkeypatch.setattr(garbage, "MAX_INTERVAL", 0.1)
    with full_collections() as made:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(collect_garbage_when_idle, FixedLateness())
            with anyio.fail_after(5):
                while not made:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
