"""Builds the C library on the machine that uses it, once per version of its source and Python interpreter."""

import hashlib
import os
import shutil
import subprocess
import sys
from pathlib import Path

SOURCE = Path(__file__).parent / "library"
FLAGS = ("-std=c11", "-O2", "-fPIC", "-shared", "-Wall", "-Wextra", "-Werror", "-pthread")


class BuildError(Exception):
    """The library cannot be built: no compiler, no writable directory, or the compiler's first message."""


def compiler() -> str:
    """The C compiler that CC or a common name finds in the path; empty if there is none."""
    return next(
        (
            found
            for name in (os.environ.get("CC", ""), "cc", "gcc", "clang")
            if name and (found := shutil.which(name))
        ),
        "",
    )


def default_directory() -> Path:
    """The directory for built libraries in the user's cache."""
    return Path(os.environ.get("XDG_CACHE_HOME") or Path.home() / ".cache") / "linedeal"


def library(directory: Path | None = None) -> Path:
    """Returns the path of the shared library, and builds it if it is not there. Raises BuildError."""
    directory = directory or default_directory()
    source = (SOURCE / "drmaa.c").read_bytes() + (SOURCE / "drmaa.h").read_bytes() + sys.executable.encode()
    target = directory / f"libdrmaa-{hashlib.sha256(source).hexdigest()[:12]}.so"
    if target.exists():
        return target
    cc = compiler()
    if not cc:
        raise BuildError("no C compiler: set CC, or install one")
    try:
        directory.mkdir(parents=True, exist_ok=True)
        # built under another name and renamed: concurrent builds do not collide, no partial file is loaded
        partial = target.with_suffix(f".{os.getpid()}")
        result = subprocess.run(
            [
                cc,
                *FLAGS,
                f'-DLINEDEAL_PYTHON="{sys.executable}"',
                "-I",
                str(SOURCE),
                str(SOURCE / "drmaa.c"),
                "-o",
                str(partial),
            ],
            capture_output=True,
            text=True,
            timeout=120,
        )
        if result.returncode:
            raise BuildError(f"{cc}: {(result.stderr.strip() or 'failed').splitlines()[0]}")
        partial.replace(target)
    except OSError as error:
        raise BuildError(f"{error.filename or directory}: {error.strerror}") from None
    except subprocess.TimeoutExpired:
        raise BuildError(f"{cc}: not finished within 120 s") from None
    return target
