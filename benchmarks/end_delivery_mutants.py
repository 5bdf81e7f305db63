"""Mutation test of the delivery of ends: its tests against the module without one guard at a time.

    .venv/bin/python benchmarks/end_delivery_mutants.py

Prints a line for each mutant, and exits with 1 if fewer than nine of ten are caught, or one does not apply.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

PROJECT = Path(__file__).resolve().parents[1]
MODULE = Path("linedeal/platform/end_delivery.py")
TEST = Path("tests/test_end_delivery.py")
COPIED = ("linedeal", "docs/architecture.md", "pyproject.toml", "tests/conftest.py", "tests/known_red.py")
MIN_CAUGHT_SHARE = 0.9
TEST_TIMEOUT = 60.0  # seconds for one mutant's tests


@dataclass(frozen=True, slots=True)
class Mutant:
    """The module with one passage, which occurs once, replaced by another."""

    name: str
    original: str
    changed: str


def without_transition(state: str, event: str, target: str) -> Mutant:
    """The mutant in which an event leaves a state as it is."""
    line = f"    (State.{state}, Event.{event}): State.{target},\n"
    return Mutant(f"{event} does nothing in {state}", line, "")


MUTANTS = (
    without_transition("RUNNING", "OWNER_RELEASE", "RELEASED"),
    without_transition("RUNNING", "HOST_END", "OWED"),
    without_transition("RELEASED", "HOST_END", "NOT_OWED"),
    without_transition("OWED", "ASSIGNED", "QUEUED"),
    without_transition("OWED", "CROWDED_OUT", "DROPPED"),
    without_transition("QUEUED", "WRITE_BEGAN", "WRITING"),
    without_transition("QUEUED", "CONNECTION_CLOSED", "OWED"),
    without_transition("OWED", "OFFERS_DONE", "DELIVERED"),
    without_transition("WRITING", "WRITTEN", "SENT"),
    without_transition("WRITING", "CONNECTION_CLOSED", "OWED"),
    without_transition("SENT", "CONNECTION_CLOSED", "OWED"),
    without_transition("SENT", "NOT_CROSSED", "DELIVERED"),
    Mutant("what was written counts as delivered at once", "self.clock() - CROSSING_TIME", "self.clock()"),
    Mutant(
        "what crossed a close counts as told",
        "            delivery.told_at = math.inf\n            self.await_connection",
        "            self.await_connection",
    ),
    Mutant(
        "what was sent on a connection that closed is settled",
        "            if delivery.state is not State.SENT:\n                continue",
        "            if False:\n                continue",
    ),
    Mutant("ends are offered at once", "now - delivery.ended_at >= OFFER_DELAY", "True"),
    Mutant("ends are offered for ever", "now - delivery.ended_at > OFFER_TIME", "False"),
    Mutant("ends that nobody was told count as told", "if delivery.told_at < math.inf and now", "if now"),
    Mutant(
        "an end is offered again and again",
        "                    self.offered_until[connection] = delivery.owed_number\n",
        "",
    ),
    Mutant(
        "only the first ends are offered to a connection",
        "            if offered >= due[-1].owed_number:\n",
        "            if offered:\n",
    ),
    Mutant(
        "a pass of offers has no limit",
        "islice(self.new_offers(due, now), MAX_OFFERS)",
        "self.new_offers(due, now)",
    ),
    Mutant(
        "an owner is told again of what it was offered",
        "if delivery.owed_number <= self.offered_until.get(connection, 0):",
        "if False:",
    ),
    Mutant(
        "offers to closed connections are remembered",
        "        self.offered_until.pop(connection, None)\n",
        "",
    ),
    Mutant(
        "an end is assigned to the connection of its job though that has closed",
        "if self.recipients.is_open(delivery.connection):",
        "if True:",
    ),
    Mutant(
        "ends are assigned to a connection that closes meanwhile",
        "while self.owed and self.recipients.is_open(connection):",
        "while self.owed:",
    ),
    Mutant(
        "ends are assigned to no connection", "            if not connection:\n                return\n", ""
    ),
    Mutant(
        "the newest end is assigned first",
        "delivery, _ = self.owed.popitem(last=False)",
        "delivery, _ = self.owed.popitem()",
    ),
    Mutant(
        "the newest end is dropped",
        "oldest, _ = self.owed.popitem(last=False)",
        "oldest, _ = self.owed.popitem()",
    ),
    Mutant("there is no limit to ends that wait", "if len(self.owed) > self.max_owed:", "if False:"),
    Mutant("a message names its earlier connection", "        delivery.connection = connection\n", ""),
    Mutant(
        "no connection knows what it carries",
        "[delivery] = None\n        return delivery",
        "\n        return delivery",
    ),
    Mutant(
        "what was delivered is kept with its connection",
        "            del self.carried[delivery.connection][delivery]\n",
        "",
    ),
    Mutant(
        "a job taken back still shows an owner",
        "        self.recipients.on_taken_back(delivery.connection, task)\n",
        "",
    ),
    Mutant(
        "a job that has ended shows no owner",
        "        self.recipients.on_ended(delivery.connection, task, confirmed)\n",
        "",
    ),
    Mutant("a late delivery is not counted", "            self.late += 1", "            pass"),
    Mutant(
        "the time counts from the start of the clock",
        "delivery.message, delivery.ended_at = message, self.clock()",
        "delivery.message = message",
    ),
    Mutant("final states are not counted", "        self.counts[delivery.state] += 1\n", ""),
    Mutant("a job that was not adopted is kept", "        self.running.pop(task, None)\n", "        pass\n"),
)


def is_caught(mutant: Mutant, directory: Path) -> bool:
    """Runs the test against the mutant in a copy of the project in `directory`; whether it fails."""
    source = (PROJECT / MODULE).read_text(encoding="utf-8")
    (directory / MODULE).write_text(source.replace(mutant.original, mutant.changed), encoding="utf-8")
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", str(TEST)]
    environment = os.environ | {"PYTHONPATH": str(directory), "PYTHONDONTWRITEBYTECODE": "1"}
    try:
        run = subprocess.run(
            command, cwd=directory, env=environment, capture_output=True, timeout=TEST_TIMEOUT, check=False
        )
    except subprocess.TimeoutExpired:
        return True  # it does not end
    return run.returncode == 1


def copy_project(directory: Path) -> None:
    """Copies what the test needs."""
    for name in (*COPIED, str(TEST), "tests/__init__.py", "tests/scenario_player.py"):
        target = directory / name
        target.parent.mkdir(parents=True, exist_ok=True)
        if (PROJECT / name).is_dir():
            shutil.copytree(PROJECT / name, target, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(PROJECT / name, target)


def main() -> int:
    """Runs all mutants; returns the exit code."""
    source = (PROJECT / MODULE).read_text(encoding="utf-8")
    misfits = [mutant.name for mutant in MUTANTS if source.count(mutant.original) != 1]
    if misfits:
        print(f"{MODULE}: the passage of a mutant does not occur once: {'; '.join(misfits)}", file=sys.stderr)
        return 1
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        copy_project(directory)
        if is_caught(Mutant("none", "", ""), directory):
            print(f"{TEST} fails without a mutant", file=sys.stderr)
            return 1
        caught = 0
        for number, mutant in enumerate(MUTANTS, 1):
            result = is_caught(mutant, directory)
            caught += result
            print(f"{number:3}/{len(MUTANTS)}  {'caught' if result else 'MISSED'}  {mutant.name}", flush=True)
    print(f"{caught} of {len(MUTANTS)} caught")
    return 0 if caught >= MIN_CAUGHT_SHARE * len(MUTANTS) else 1


if __name__ == "__main__":
    sys.exit(main())
