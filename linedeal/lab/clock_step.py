"""Steps the wall clock of a process that a test starts, by a library that is preloaded into it."""

import struct
import subprocess
from pathlib import Path

from linedeal.drmaa.build import BuildError, compiler

SOURCE = Path(__file__).with_name("clock_step.c")
BUILD_TIMEOUT = 120.0  # seconds


class SteppedClock:
    """The wall clock of the processes that are started with `environment`."""

    def __init__(self, directory: Path):
        """Builds the library in `directory`. Raises BuildError."""
        self.library, self.step_file = directory / "clock_step.so", directory / "clock_step"
        self.step(0.0)
        if not compiler():
            raise BuildError("no C compiler: set CC, or install one")
        command = [compiler(), "-shared", "-fPIC", "-O2", "-Wall", "-Werror", str(SOURCE), "-ldl"]
        result = subprocess.run(
            [*command, "-o", str(self.library)],
            capture_output=True,
            text=True,
            timeout=BUILD_TIMEOUT,
            check=False,
        )
        if result.returncode:
            raise BuildError(f"{compiler()}: {(result.stderr.strip() or 'failed').splitlines()[0]}")

    @property
    def environment(self) -> dict[str, str]:
        """Variables for the environment of a process."""
        return {"LD_PRELOAD": str(self.library), "LINEDEAL_CLOCK_STEP": str(self.step_file)}

    def step(self, seconds: float) -> None:
        """Steps the clock to so many seconds from the machine's; back if negative."""
        # Written in place: the processes have mapped the file.
        with self.step_file.open("r+b" if self.step_file.exists() else "wb") as file:
            file.write(struct.pack("=d", seconds))
