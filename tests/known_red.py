"""A pytest plugin for KNOWN-RED.txt, the list of tests that fail because of a bug which is not fixed yet.

CI tolerates the failures of these tests only. A line is `TEST, cause, issue`, where TEST is a pytest node id;
at most three lines are allowed. With `--known-red FILE` the run fails if a listed test passes or does not
exist. The plugin is loaded by pyproject.toml.
"""

from pathlib import Path

import pytest

MAX_LISTED = 3


def read(path: Path) -> dict[str, str]:
    """The reason for failure by node id; empty without a file. Raises UsageError for an invalid list."""
    lines = [line.strip() for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MAX_LISTED:
        raise pytest.UsageError(f"{path}: {len(lines)} tests are listed, {MAX_LISTED} at most")
    reasons = {}
    for number, line in enumerate(lines, 1):
        test, _, rest = line.partition(", ")
        cause, _, issue = rest.rpartition(", ")
        if not (test and cause and issue):
            raise pytest.UsageError(f"{path}:{number}: not `TEST, cause, issue`")
        reasons[test] = f"{cause} ({issue})"
    return reasons


def pytest_addoption(parser):
    parser.addoption("--known-red", metavar="FILE", help="list of tests whose failures are tolerated")


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config, items):
    if not config.getoption("--known-red"):
        return
    reasons = config.known_red = read(Path(config.getoption("--known-red")))
    items_by_id = {item.nodeid: item for item in items}
    for test, reason in reasons.items():
        if test not in items_by_id:
            raise pytest.UsageError(f"KNOWN-RED: no test {test}")
        items_by_id[test].add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter, config):
    for test, reason in getattr(config, "known_red", {}).items():
        terminalreporter.write_line(f"KNOWN-RED, passed over: {test}: {reason}")
