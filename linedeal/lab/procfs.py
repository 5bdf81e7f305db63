"""What the system accounts to the processes of a day."""

import os
from pathlib import Path


def processor_seconds(ground, names) -> float:
    """Seconds of processor time that those processes have used; one that is gone counts no more."""
    ticks = 0
    for name in names:
        try:
            fields = Path(f"/proc/{ground.running[name].pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_memory_mb(ground, name: str) -> float:
    """MB resident; 0 of one that is gone."""
    try:
        lines = Path(f"/proc/{ground.running[name].pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS")), 0.0)
