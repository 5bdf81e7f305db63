"""Known failures: CI tolerates listed tests only, and only while they fail."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
TESTS = (
    "def test_red():\n    assert False\n\n"
    "def test_other():\n    assert {other}\n\n"
    "def test_green():\n    pass\n"
)


@pytest.mark.parametrize(
    "listed,other,exit_code,message",
    [
        (["test_red"], True, 0, "KNOWN-RED, passed over: test_it.py::test_red: a cause, told (issue 30)"),
        ([], True, 1, "1 failed"),
        (["test_red"], False, 1, "1 failed"),  # a test that is not listed fails
        (["test_red", "test_green"], True, 1, "1 failed"),  # a listed test passes
        (["test_red", "test_gone"], True, 4, "no test test_it.py::test_gone"),
        (["test_red"] * 4, True, 4, "4 tests are listed, 3 at most"),
    ],
)
def test_only_failures_of_listed_tests_are_tolerated(tmp_path, listed, other, exit_code, message):
    (tmp_path / "test_it.py").write_text(TESTS.format(other=other))
    (tmp_path / "KNOWN-RED.txt").write_text(
        "".join(f"test_it.py::{test}, a cause, told, issue 30\n" for test in listed)
    )
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-p",
            "tests.known_red",
            "--known-red",
            "KNOWN-RED.txt",
            "--rootdir",
            ".",
            "-q",
        ],
        cwd=tmp_path,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert result.returncode == exit_code and message in result.stdout + result.stderr


def test_line_without_issue_is_rejected(tmp_path):
    from tests.known_red import read

    (tmp_path / "KNOWN-RED.txt").write_text("tests/test_it.py::test_red, a cause\n")
    with pytest.raises(pytest.UsageError, match=r"KNOWN-RED.txt:1: not `TEST, cause, issue`"):
        read(tmp_path / "KNOWN-RED.txt")
