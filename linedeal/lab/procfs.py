"""Processor time and memory of a test cluster's processes, from /proc."""

import os
from pathlib import Path


def processor_seconds(cluster, names) -> float:
    """Processor time used by the named processes, in seconds; those that have ended are not counted."""
    ticks = 0
    for name in names:
        try:
            fields = Path(f"/proc/{cluster.running[name].pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        ticks += int(fields[11]) + int(fields[12])  # utime and stime
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_memory_mb(cluster, name: str) -> float:
    """Resident memory of a process in MB; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{cluster.running[name].pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS")), 0.0)
