"""A full look for garbage in cycles waits for a quiet loop."""

import gc
from contextlib import contextmanager

import anyio
import pytest

from linedeal.loop import collect_garbage_when_idle, garbage

pytestmark = pytest.mark.anyio


class Late:
    seconds = 1.0

    def now(self):
        return self.seconds


@contextmanager
def full_collections():
    made = []

    def heard(phase, info):
        if phase == "stop" and info["generation"] == 2:
            made.append(info)

    gc.callbacks.append(heard)
    try:
        yield made
    finally:
        gc.callbacks.remove(heard)


@pytest.fixture
def quick(monkeypatch):
    monkeypatch.setattr(garbage, "LOOK", 0.01)
    monkeypatch.setattr(garbage, "BETWEEN", 0.02)


def hold(many):
    """Objects that stay, as jobs that are held."""
    return [[[number] for number in range(100)] for _ in range(many)]


def hold_until(made):
    """As many as make the interpreter look through all, which it does by what it holds already."""
    kept = []
    while not made:
        kept += hold(1000)
        assert len(kept) < 100_000, "the interpreter makes none by itself"
    return kept


async def test_none_is_made_while_the_loop_is_late_and_one_once_it_is_quiet(quick):
    late, former = Late(), gc.get_threshold()
    with full_collections() as made:
        gc.collect()
        del made[:]
        kept = hold_until(made)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(collect_garbage_when_idle, late)
            await anyio.sleep(0.05)
            del made[:]
            kept += hold(2 * len(kept))
            await anyio.sleep(0.1)
            assert not made
            late.seconds = 0.0
            with anyio.fail_after(5):
                while not made:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
    assert gc.get_threshold() == former and not gc.get_freeze_count() and kept


async def test_one_is_made_after_a_while_however_late_the_loop_is(quick, monkeypatch):
    monkeypatch.setattr(garbage, "MOST", 0.1)
    with full_collections() as made:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(collect_garbage_when_idle, Late())
            with anyio.fail_after(5):
                while not made:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
