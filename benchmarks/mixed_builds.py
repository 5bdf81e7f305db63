"""Plays a day with processes of two builds: do they understand each other's messages and records?

    python benchmarks/mixed_builds.py --other OTHER_PYTHON examples/short-day.day [DAY ...]

OTHER_PYTHON is the interpreter of an environment in which the other build is installed. Controllers and hosts
with an odd number in their name run on the other build, the rest on this one. Each day is played twice:
clients, the recording proxy and the audit are this build's while discovery is the other's, and the reverse.
Exit status 0 only if all rules were kept each time.
"""

import argparse
import stat
import subprocess
import sys
import tempfile
from pathlib import Path

# Selects the interpreter of a process that the day starts by its command and its name.
DISPATCHER = """#!/usr/bin/env bash
build={this}
case "$3" in
  discovery) build={other} ;;
  controller|host)
    for ((i = 1; i < $#; i++)); do
      if [ "${{!i}}" = --name ]; then
        next=$((i + 1)); name="${{!next}}"
        case "$name" in *[13579]) build={other} ;; esac
      fi
    done ;;
esac
exec "$build" "$@"
"""

# Runs the command line with the dispatcher as the interpreter that it starts its processes with.
DRIVER = """
import sys
sys.executable = sys.argv.pop(1)
from linedeal.cli import main
main()
"""


def play(this: str, other: str, day: str) -> bool:
    """Plays the day with `this` build as driver; returns whether all rules were kept."""
    with tempfile.TemporaryDirectory() as directory:
        dispatcher = Path(directory) / "python"
        dispatcher.write_text(DISPATCHER.format(this=this, other=other))
        dispatcher.chmod(dispatcher.stat().st_mode | stat.S_IXUSR)
        command = [this, "-c", DRIVER, str(dispatcher), "day", str(Path(day).resolve())]
        done = subprocess.run(command, cwd=directory, capture_output=True, text=True)
    print(done.stdout[-2000:], done.stderr[-2000:], sep="\n")
    return done.returncode == 0


def main() -> int:
    """Plays each day with both builds as driver."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--other", required=True, help="interpreter of the other build")
    parser.add_argument("days", nargs="+")
    args = parser.parse_args()
    kept = True
    for day in args.days:
        for this, other in ((sys.executable, args.other), (args.other, sys.executable)):
            print(
                f"== {day}, driven by {'this' if this == sys.executable else 'the other'} build", flush=True
            )
            kept = play(this, other, day) and kept
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
