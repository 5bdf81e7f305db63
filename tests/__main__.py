"""`python -m tests`: plays every scenario and the doctests; the last line counts them."""

import doctest
import sys
from pathlib import Path

from tests import play

HERE = Path(__file__).parent


def main():
    passed, failed = 0, 0
    for path in sorted((HERE / "scenarios").glob("*.txt")):
        for part in path.read_text().split("\n==="):
            title, _, text = part.lstrip("= ").partition("\n")
            try:
                play.Play(text).run()
                passed += 1
            except AssertionError as error:
                failed += 1
                print(f"FAILED {path.name}: {title}: {error}")
    for result in (doctest.testmod(play), doctest.testfile("wire.txt"), doctest.testfile("gate.txt")):
        passed += result.attempted - result.failed
        failed += result.failed
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
