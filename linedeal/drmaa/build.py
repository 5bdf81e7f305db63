"""Builds the C library on the machine that uses it, once for each version of its source and interpreter."""

import hashlib
import os
import shutil
import subprocess
import sys
from pathlib import Path

SOURCE = Path(__file__).parent / "library"
FLAGS = ("-std=c11", "-O2", "-fPIC", "-shared", "-Wall", "-Wextra", "-Werror", "-pthread")


class BuildError(Exception):
    """No compiler, no place, or the compiler's own words; one line."""


def compiler() -> str:
    """The C compiler to use, by CC or the usual names; empty where there is none."""
    return next(
        (
            found
            for name in (os.environ.get("CC", ""), "cc", "gcc", "clang")
            if name and (found := shutil.which(name))
        ),
        "",
    )


def usual_place() -> Path:
    return Path(os.environ.get("XDG_CACHE_HOME") or Path.home() / ".cache") / "linedeal"


def library(place: Path | None = None) -> Path:
    """The path of the shared library, built if it is not there. Raises BuildError."""
    place = place or usual_place()
    text = (SOURCE / "drmaa.c").read_bytes() + (SOURCE / "drmaa.h").read_bytes() + sys.executable.encode()
    target = place / f"libdrmaa-{hashlib.sha256(text).hexdigest()[:12]}.so"
    if target.exists():
        return target
    cc = compiler()
    if not cc:
        raise BuildError("no C compiler: set CC, or install one")
    try:
        place.mkdir(parents=True, exist_ok=True)
        # built beside and moved: two that build at once do not meet, and a half-written file is never loaded
        half = target.with_suffix(f".{os.getpid()}")
        done = subprocess.run(
            [
                cc,
                *FLAGS,
                f'-DLINEDEAL_PYTHON="{sys.executable}"',
                "-I",
                str(SOURCE),
                str(SOURCE / "drmaa.c"),
                "-o",
                str(half),
            ],
            capture_output=True,
            text=True,
            timeout=120,
        )
        if done.returncode:
            raise BuildError(f"{cc}: {(done.stderr.strip() or 'failed').splitlines()[0]}")
        half.replace(target)
    except OSError as error:
        raise BuildError(f"{error.filename or place}: {error.strerror}") from None
    except subprocess.TimeoutExpired:
        raise BuildError(f"{cc}: took over 120 s") from None
    return target
