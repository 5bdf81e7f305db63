"""The journal's clock: seconds that go on over restarts and that no jump of the time of day moves.

While the machine stays up, its own monotonic clock carries on from life to life. After it has started again only the
time of day is left; if that lies before what was written last, how long it was down is not known (`doubt`).
"""

import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True, slots=True)
class Base:
    """What is kept of the clock: journal time is `shift` plus the machine's monotonic time of that boot."""

    machine: str  # this start of the machine; empty where it cannot be told
    shift: float


@dataclass(frozen=True, slots=True)
class Clock:
    base: Base
    doubt: bool  # time that passed before this life may be longer than it seems

    def at(self, monotonic: float) -> float:
        return self.base.shift + monotonic


def resume(kept: Base | None, machine: str, monotonic: float, time_of_day: float, written: float) -> Clock:
    """The clock of this life. `written`: the latest journal time on disk, 0 where there is none.

    >>> resume(Base("m", 900.0), "m", 200.0, 5.0, 1090.0).at(200.0)     # the time of day was set back
    1100.0
    >>> resume(Base("m", 900.0), "n", 10.0, 2000.0, 1090.0).at(10.0)    # the machine has started again
    2000.0
    >>> resume(Base("m", 900.0), "n", 10.0, 500.0, 1090.0)              # ... and its time of day was set back
    Clock(base=Base(machine='n', shift=1080.0), doubt=True)
    """
    if kept is not None and machine and kept.machine == machine:
        return Clock(kept, False)
    back = time_of_day < written
    return Clock(Base(machine, (written if back else time_of_day) - monotonic), back)


def current_boot_id() -> str:
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""  # then every start counts as one of the machine, and the time of day is asked


def monotonic() -> float:
    """Seconds since the machine started, sleep included where the system can tell."""
    clock = getattr(time, "CLOCK_BOOTTIME", None)
    return time.monotonic() if clock is None else time.clock_gettime(clock)
