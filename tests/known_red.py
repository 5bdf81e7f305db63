"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet. CI passes over these, and only while they fail.

A line is `TEST, cause, issue`, TEST as pytest names it; three lines at most. With `--known-red FILE` a listed test that
passes, or that is not there, fails the run. A plugin of pytest's, loaded by pyproject.toml.
"""

from pathlib import Path

import pytest

MOST = 3


def read(path: Path) -> dict[str, str]:
    """What is wrong, by test. Raises UsageError."""
    lines = [line.strip() for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MOST:
        raise pytest.UsageError(f"{path}: {len(lines)} tests are listed, {MOST} at most")
    known = {}
    for number, line in enumerate(lines, 1):
        test, _, rest = line.partition(", ")
        cause, _, issue = rest.rpartition(", ")
        if not (test and cause and issue):
            raise pytest.UsageError(f"{path}:{number}: not `TEST, cause, issue`")
        known[test] = f"{cause} ({issue})"
    return known


def pytest_addoption(parser):
    parser.addoption("--known-red", metavar="FILE", help="tests that are passed over while they fail")


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config, items):
    if not config.getoption("--known-red"):
        return
    known = config.known_red = read(Path(config.getoption("--known-red")))
    by_id = {item.nodeid: item for item in items}
    for test, why in known.items():
        if test not in by_id:
            raise pytest.UsageError(f"KNOWN-RED: no test {test}")
        by_id[test].add_marker(pytest.mark.xfail(reason=why, strict=True))


def pytest_terminal_summary(terminalreporter, config):
    for test, why in getattr(config, "known_red", {}).items():
        terminalreporter.write_line(f"KNOWN-RED, passed over: {test}: {why}")
