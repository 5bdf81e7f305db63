"""The journal's clock, which continues over restarts and is not affected by changes of the time of day.

While the machine stays up, its monotonic clock continues over restarts of the controller. After a reboot only
the time of day is left; if that lies before the last entry written, the length of the downtime is unknown
(`doubt`).
"""

import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True, slots=True)
class Base:
    """The stored part of the clock: journal time is `shift` plus the monotonic time of that boot."""

    machine: str  # boot ID of the machine; empty if it is not available
    shift: float  # seconds


@dataclass(frozen=True, slots=True)
class Clock:
    """The journal's clock during one run of a controller."""

    base: Base
    doubt: bool  # more time may have passed before this run than the clock shows

    def at(self, monotonic: float) -> float:
        """The journal time, in seconds, at this monotonic time."""
        return self.base.shift + monotonic


def resume(
    stored: Base | None, boot_id: str, monotonic: float, time_of_day: float, last_written: float
) -> Clock:
    """The clock of this run.

    `stored` is the base of an earlier run, `last_written` the latest journal time on disk, 0 if there is
    none.

    >>> resume(Base("m", 900.0), "m", 200.0, 5.0, 1090.0).at(200.0)     # the time of day was set back
    1100.0
    >>> resume(Base("m", 900.0), "n", 10.0, 2000.0, 1090.0).at(10.0)    # the machine was rebooted
    2000.0
    >>> resume(Base("m", 900.0), "n", 10.0, 500.0, 1090.0)              # ... and its time of day was set back
    Clock(base=Base(machine='n', shift=1080.0), doubt=True)
    """
    if stored is not None and boot_id and stored.machine == boot_id:
        return Clock(stored, False)
    set_back = time_of_day < last_written
    return Clock(Base(boot_id, (last_written if set_back else time_of_day) - monotonic), set_back)


def current_boot_id() -> str:
    """The kernel's ID of the current boot, empty if it cannot be read.

    Without an ID each start of the controller is treated as a reboot and the time of day is used.
    """
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


def monotonic() -> float:
    """Seconds since the machine was booted, including suspended time if the system has such a clock."""
    clock = getattr(time, "CLOCK_BOOTTIME", None)
    return time.monotonic() if clock is None else time.clock_gettime(clock)
